package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/platform/platformtest"
)

// A server that reads nothing for a while and goes on must not lose the request that is
// being sent to it.
func TestServerThatPausesReadingGetsTheWholeBody(t *testing.T) {
	const pause = 2 * time.Second
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	served := make(chan error, 1)
	go func() {
		served <- func() error {
			connection, err := listener.Accept()
			if err != nil {
				return err
			}
			defer connection.Close()
			time.Sleep(pause)
			r, err := http.ReadRequest(bufio.NewReader(connection))
			if err != nil {
				return err
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return err
			}
			_, err = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			return err
		}()
	}()
	pool := NewPool(listener.Addr().String(), 0)
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	x, err := pool.Send(ctx, &Request{Method: http.MethodPost, Target: "/", Host: "a.example", Header: http.Header{}, Body: make([]byte, 4<<20)})
	require.NoError(t, err)
	defer x.Abandon()
	body, err := io.ReadAll(x)
	require.NoError(t, err)
	require.Equal(t, "ok", string(body))
	require.NoError(t, <-served)
}

// A server whose connections are all idle must count as reachable.
func TestPrepareReplacesAnIdleConnectionAtTheLimit(t *testing.T) {
	server := platformtest.New(t, "i-1")
	pool := NewPool(server.Address, 1)
	defer pool.Close()
	send := func() {
		x, err := pool.Send(t.Context(), &Request{Method: http.MethodGet, Target: "/", Host: "a.example", Header: http.Header{}})
		require.NoError(t, err)
		_, err = io.ReadAll(x)
		require.NoError(t, err)
		x.Finish(0)
	}
	send()
	require.NoError(t, pool.Prepare(t.Context()))
	send()
	require.Equal(t, uint64(2), pool.DialCount(), "the new connection is used")
	x, err := pool.Send(t.Context(), &Request{Method: http.MethodGet, Target: "/", Host: "a.example", Header: http.Header{}})
	require.NoError(t, err)
	defer x.Abandon()
	require.ErrorIs(t, pool.Prepare(t.Context()), ErrConnectionLimit, "the connection is in use")
}
