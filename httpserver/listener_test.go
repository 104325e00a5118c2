package httpserver

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stalledServer serves a listener and accepts nothing after the first connection until it is
// released. It returns connections that wait to be accepted, each with a request sent.
func stalledServer(t *testing.T, handler http.Handler) (listener net.Listener, release func(), queued []net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	stalled, released := make(chan struct{}), make(chan struct{})
	first := true
	server := &http.Server{Handler: handler, ConnState: func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew && first { // called by the loop that accepts
			first = false
			close(stalled)
			<-released
		}
	}}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	for range 20 {
		c, err := net.Dial("tcp4", listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
		require.NoError(t, err)
		queued = append(queued, c)
		<-stalled
	}
	return listener, func() { close(released) }, queued
}

// requireAnswered checks that every request gets a response.
func requireAnswered(t *testing.T, connections []net.Conn) {
	t.Helper()
	for i, c := range connections {
		require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err, "connection %d", i)
		require.NoError(t, response.Body.Close())
	}
}

// A request on a connection that waits to be accepted is answered although the listener closes.
func TestQueuedConnectionsAreNotResetByClose(t *testing.T) {
	listener, release, queued := stalledServer(t, http.NotFoundHandler())
	time.AfterFunc(AcceptTimeout/5, release)
	require.NoError(t, CloseListener(listener))
	requireAnswered(t, queued)
}

// A request on a connection that waits to be accepted is answered although a drain begins.
func TestQueuedConnectionsAreNotResetByDrain(t *testing.T) {
	var requests Requests
	listener, release, queued := stalledServer(t, requests.Track(http.NotFoundHandler()))
	time.AfterFunc(AcceptTimeout/5, release)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	require.NoError(t, requests.Drain(ctx, 100*time.Millisecond, listener))
	requireAnswered(t, queued)
}

// Connections that are never accepted do not keep a listener open.
func TestListenerClosesBesideStalledAccept(t *testing.T) {
	listener, release, _ := stalledServer(t, http.NotFoundHandler())
	defer release()
	startedAt := time.Now()
	require.NoError(t, CloseListener(listener))
	require.GreaterOrEqual(t, time.Since(startedAt), AcceptTimeout)
	_, err := net.Dial("tcp4", listener.Addr().String())
	require.Error(t, err)
}

// A listener refuses connections at once when it is closed, also before the accepting goroutine
// has run: they would be reset then.
func TestClosingListenerRefusesConnectionsAtOnce(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	require.True(t, stopListening(listener))
	_, err = net.Dial("tcp4", listener.Addr().String())
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	_, err = listener.Accept()
	require.True(t, IsClosed(err), "%v", err)
}
