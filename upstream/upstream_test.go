package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A response that arrives while the request is being written may be the repeat of an earlier
// one: the request counts as sent, and its connection is not used again.
func TestResponseDuringWriteEndsConnection(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				reader := bufio.NewReader(connection)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if r.ContentLength == 0 {
						_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") // the peer sees a failed exchange otherwise
						continue
					}
					_, _ = io.WriteString(connection, "HTTP/1.1 503 Full\r\nX-Request-Id: earlier\r\nContent-Length: 0\r\n\r\n")
					time.Sleep(20 * time.Millisecond)
					_ = connection.(*net.TCPConn).CloseWrite()
					_ = connection.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
					_, _ = io.CopyN(io.Discard, connection, 1<<20)
					return
				}
			}()
		}
	}()
	pool := NewPool(listener.Addr().String(), 0)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for range 3 {
		x, err := pool.Send(ctx, &Request{Method: http.MethodGet, Target: "/", Host: "a", Header: make(http.Header)})
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, x)
		require.NoError(t, err)
		x.Finish(0)
		x, err = pool.Send(ctx, &Request{Method: http.MethodPost, Target: "/", Host: "a", Header: make(http.Header), Body: make([]byte, 32<<20)})
		var failed *Error
		if errors.As(err, &failed) {
			require.True(t, failed.Reached())
			continue
		}
		require.Equal(t, "earlier", x.Response.Header.Get("X-Request-Id"))
		_, err = io.Copy(io.Discard, x)
		require.NoError(t, err)
		x.Finish(0)
	}
	require.Equal(t, uint64(3), pool.DialCount())
	require.Empty(t, pool.idle)
}
