package intake

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A response of the connection itself must name the request that it belongs to, and no other.
func TestEchoedFieldOfHead(t *testing.T) {
	const start = "POST / HTTP/1.1\r\nHost: a\r\n"
	for name, tt := range map[string]struct{ head, want string }{
		"field":            {start + "X-Request-Id: r-1\r\n\r\n", "r-1"},
		"other case":       {start + "x-request-id:r-1 \n\n", "r-1"},
		"none":             {start + "X-Request-Id-2: r-1\r\n\r\n", ""},
		"not ended":        {start + "X-Request-Id: r-1", ""},
		"first of two":     {start + "X-Request-Id: r-1\r\nX-Request-Id: r-2\r\n\r\n", "r-1"},
		"in the body":      {start + "\r\nX-Request-Id: r-1\r\n\r\n", ""},
		"behind long line": {start + "Cookie: " + strings.Repeat("c", 2*maxEchoLine) + "\r\nX-Request-Id: r-1\r\n\r\n", "r-1"},
		"too long":         {start + "X-Request-Id: " + strings.Repeat("r", maxEchoLine) + "\r\n\r\n", ""},
		"two lines in one": {start + "X-Request-Id: r-1\rSet-Cookie: a\r\n\r\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			for _, size := range []int{1, 7, len(tt.head)} {
				var e headEcho
				for rest := tt.head; rest != ""; rest = rest[min(size, len(rest)):] {
					e.write("X-Request-Id", []byte(rest[:min(size, len(rest))]))
				}
				require.Equal(t, tt.want, e.found(), "in pieces of %d", size)
			}
		})
	}
}
