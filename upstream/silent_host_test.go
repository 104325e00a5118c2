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

	"github.com/galenaarch/galenaarch/platform/platformtest"
)

// TestSilentHostIsWaitedFor guards against a sound server that acknowledges nothing for two seconds
// and loses the requests that it runs or is about to get: TCP_USER_TIMEOUT ends connections, and
// decides when keep-alive probes give up.
func TestSilentHostIsWaitedFor(t *testing.T) {
	const silence = 2 * time.Second
	for name, test := range map[string]struct {
		// runs is how long the server has run the request when it falls silent; 0 if the
		// request is sent in the silence.
		runs time.Duration
		body int
	}{
		"request is sent in the silence":           {0, 100},
		"large request is sent in the silence":     {0, 200 << 10},
		"silence begins before a keep-alive probe": {keepAliveIdle - 100*time.Millisecond, 100},
		"silence begins with the second probe":     {keepAliveIdle + keepAliveInterval - 100*time.Millisecond, 100},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			connections := make(chan net.Conn, 4)
			go func() {
				for {
					c, err := listener.Accept()
					if err != nil {
						return
					}
					connections <- c
				}
			}()
			pool := NewPool(listener.Addr().String(), 0)
			defer pool.Close()
			require.NoError(t, pool.Prepare(t.Context()))
			server := <-connections
			defer server.Close()
			if test.runs == 0 {
				restore, err := platformtest.DropIncoming(server)
				require.NoError(t, err)
				time.AfterFunc(silence, restore)
			}
			go func() {
				reader := bufio.NewReader(server)
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				if test.runs > 0 {
					time.Sleep(test.runs)
					restore, err := platformtest.DropIncoming(server)
					if err != nil {
						return
					}
					time.Sleep(silence)
					restore()
				}
				time.Sleep(200 * time.Millisecond)
				_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			x, err := pool.Send(ctx, &Request{Method: http.MethodPost, Target: "/", Host: "a", Header: http.Header{}, Body: []byte(strings.Repeat("x", test.body))})
			require.NoError(t, err)
			defer x.Abandon()
			require.Equal(t, http.StatusOK, x.Response.StatusCode)
		})
	}
}
