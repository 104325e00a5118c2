package entry

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/httpserver"
)

// A request on a connection that waits to be accepted is answered although a drain closes the listener.
func TestQueuedConnectionsAreNotResetAtEndOfDrain(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	e := &Entry{logger: slog.New(slog.DiscardHandler), tracker: newRequestTracker()}
	e.publicListener = listener
	stalled, release := make(chan struct{}), make(chan struct{})
	first := true
	e.public = &http.Server{Handler: e.tracker.wrap(http.NotFoundHandler()), ConnState: func(c net.Conn, state http.ConnState) {
		e.tracker.trackConn(c, state)
		if state == http.StateNew && first { // called by the loop that accepts
			first = false
			close(stalled)
			<-release
		}
	}}
	defer e.public.Close()
	go func() { _ = e.public.Serve(listener) }()
	var queued []net.Conn
	for range 20 {
		c, err := net.Dial("tcp4", listener.Addr().String())
		require.NoError(t, err)
		defer c.Close()
		_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
		require.NoError(t, err)
		queued = append(queued, c)
		<-stalled
	}
	time.AfterFunc(httpserver.AcceptTimeout/5, func() { close(release) })
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	require.NoError(t, e.closePublic(ctx))
	for i, c := range queued {
		require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err, "connection %d", i)
		require.NoError(t, response.Body.Close())
	}
}
