package faults

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The client of the soaks must accept comments where the gateway may send them, and nowhere else.
func TestStreamClientSkipsCommentsForHalfClosedConnections(t *testing.T) {
	const first, second, comment = "id: 1\ndata: r-1 1\n\n", "id: 2\ndata: r-1 2\n\n", ":\n\n"
	for name, tt := range map[string]struct {
		stream    string
		halfClose bool
		sound     bool
	}{
		"no comment":          {first + second, true, true},
		"first":               {comment + first + second, true, true},
		"between, two":        {first + comment + comment + second, true, true},
		"last":                {first + second + comment, true, true},
		"sending side open":   {first + comment + second, false, false},
		"within an event":     {"id: 1\n:\ndata: r-1 1\n\n" + second, true, false},
		"not ended":           {first + second + ":\n", true, false},
		"no line before it":   {first + ":\n" + second, true, false},
		"empty event":         {first + "\n" + second, true, false},
		"event twice":         {first + comment + first + second, true, false},
		"event missing":       {first + comment, true, false},
		"comment of any text": {first + ": text\n\n" + second, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := &clientRequest{id: "r-1", events: 2, behavior: clientBehavior{halfClose: tt.halfClose}}
			require.NoError(t, r.readEvents(strings.NewReader(tt.stream), func() {}))
			require.Equal(t, tt.sound, r.wrong == "", r.wrong)
		})
	}
}
