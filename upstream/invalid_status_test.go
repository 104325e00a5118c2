package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/framing"
)

const innerResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ninner"

// A response with an invalid status, or an interim one with a body, must not be skipped: what
// follows may be its body.
func TestInvalidResponseIsNotSkipped(t *testing.T) {
	for _, invalid := range []string{
		"HTTP/1.1 000 \r\nContent-Length: 43\r\n\r\n", "HTTP/1.1 000 Trouble\r\n\r\n", "HTTP/1.1 001 x\r\n\r\n", "HTTP/1.1 099 x\r\n\r\n", "HTTP/1.0 000 x\r\n\r\n",
		"HTTP/1.1 +12 x\r\n\r\n", "HTTP/1.1 -00 x\r\n\r\n", "HTTP/1.1 600 x\r\nContent-Length: 43\r\n\r\n", "HTTP/1.1 999 x\r\nContent-Length: 43\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nContent-Length: 43\r\n\r\n", "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
		"HTTP/1.1 103 x\r\n\r\nHTTP/1.1 000 x\r\n\r\n", strings.Repeat("HTTP/1.1 103 x\r\n\r\n", framing.MaxInterimResponses+1),
	} {
		t.Run(invalid, func(t *testing.T) {
			address := serveOnce(t, func(connection *net.TCPConn, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // the client sees a failed exchange otherwise
				send(connection, invalid+innerResponse)
				_ = connection.CloseWrite()
				time.Sleep(20 * time.Millisecond)
			})
			body, err := upload(t, address, 1)
			require.Error(t, err, "body %q", body)
			var failed *Error
			require.ErrorAs(t, err, &failed)
			require.True(t, failed.Reached())
		})
	}
}

// Valid statuses and interim responses without a body are accepted.
func TestValidResponsesAreAccepted(t *testing.T) {
	for _, response := range []string{
		innerResponse, "HTTP/1.1 100 Continue\r\n\r\n" + innerResponse, "HTTP/1.1 103 x\r\nContent-Length: 0\r\n\r\n" + innerResponse,
		strings.Repeat("HTTP/1.1 103 x\r\n\r\n", framing.MaxInterimResponses) + innerResponse, "HTTP/1.1 599 x\r\n\r\ninner",
	} {
		body, err := upload(t, serveOnce(t, func(connection *net.TCPConn, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // the client sees a failed exchange otherwise
			send(connection, response)
		}), 1)
		require.NoError(t, err, response)
		require.Equal(t, "inner", body)
	}
}

// fuzzCase is a response in raw bytes and how its connection ends.
type fuzzCase struct {
	raw          []byte
	reset, early bool
}

// serve sends the response of a case to one request.
func (c *fuzzCase) serve(connection *net.TCPConn, r *http.Request) {
	if !c.early {
		_, _ = io.Copy(io.Discard, r.Body) // the client sees a failed exchange otherwise
	}
	send(connection, string(c.raw))
	if c.reset || c.early {
		time.Sleep(2 * time.Millisecond) // a reset may overtake what was sent
		resetConnection(connection)
	}
}

// headEnd returns the length of the first message's headers in raw, 0 if they do not end.
func headEnd(raw string) int {
	for i := range len(raw) {
		if strings.HasPrefix(raw[i:], "\n\n") {
			return i + 2
		}
		if strings.HasPrefix(raw[i:], "\n\r\n") {
			return i + 3
		}
	}
	return 0
}

// finalHead returns the headers of the first response in raw that is not an interim one;
// ok is false if there is none or anything else precedes it.
func finalHead(raw string) (head string, ok bool) {
	for {
		n := headEnd(raw)
		if n == 0 || len(raw) < len("HTTP/1.1 200") || !strings.HasPrefix(raw, "HTTP/") {
			return "", false
		}
		status := raw[len("HTTP/1.1 "):len("HTTP/1.1 200")]
		if status[0] != '1' {
			return raw[:n], status[0] >= '2' && status[0] <= '5' && status[1] >= '0' && status[1] <= '9' && status[2] >= '0' && status[2] <= '9'
		}
		raw = raw[n:]
	}
}

// FuzzResponse checks that a response counts as whole only if it is the first final one, has a
// valid status, and has a length or chunks unless its server closed in order after the request.
func FuzzResponse(f *testing.F) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 000 \r\n", "HTTP/1.1 600 x\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 103 x\r\n\r\nHTTP/1.1 200 OK\r\n", "HTTP/1.1 101 x\r\n", "HTTP/1.1 204 x\r\n"} {
		for _, body := range []string{"\r\n0123456789", "Content-Length: 10\r\n\r\n0123456789", "Transfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n0\r\n\r\n", "\r\n" + innerResponse, "Content-Length: 10\r\n\r\n01234"} {
			for ends := range byte(4) {
				f.Add([]byte(head+body), ends)
			}
		}
	}
	f.Fuzz(func(t *testing.T, raw []byte, ends byte) {
		c := &fuzzCase{raw: raw, reset: ends&1 != 0, early: ends&2 != 0}
		pool := NewPool(serveOnce(t, c.serve), 0)
		defer pool.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		size := 10
		if c.early {
			size = 8 << 20
		}
		x, err := pool.Send(ctx, &Request{Method: http.MethodPost, Target: "/", Host: "a", Header: make(http.Header), Body: make([]byte, size)})
		if err != nil {
			return
		}
		defer x.Abandon()
		require.GreaterOrEqual(t, x.Response.StatusCode, 200)
		require.LessOrEqual(t, x.Response.StatusCode, 599)
		if _, err = io.Copy(io.Discard, x); err != nil {
			return
		}
		head, ok := finalHead(string(raw))
		require.True(t, ok, "only interim responses precede a whole one")
		r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head)), &http.Request{Method: http.MethodPost})
		require.NoError(t, err)
		if c.reset || c.early {
			require.False(t, framing.CloseDelimited(r), "the connection was reset")
		}
	})
}
