package gateway

import (
	"bufio"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/fleetview"
	"github.com/galenaarch/galenaarch/httpserver"
	"github.com/galenaarch/galenaarch/intake"
)

// closeHookListener calls a function when it is closed.
type closeHookListener struct {
	net.Listener
	onClose func()
}

// Close implements net.Listener.
func (l closeHookListener) Close() error {
	l.onClose()
	return nil
}

// A request that is admitted between the last check of a drain that ends early and the end
// of admission must get the rest of the grace period, not only the time of the shutdown.
func TestRequestAdmittedAsDrainEndsEarlyIsAwaited(t *testing.T) {
	const took = time.Second
	g := newTestGateway(t, 1).Gateway
	p := &Process{settings: Settings{GracePeriod: 8 * time.Second}, logger: slog.New(slog.DiscardHandler), gateway: g, view: fleetview.New(nil, nil, nil, slog.New(slog.DiscardHandler))}
	var finished atomic.Bool
	p.clientListener = closeHookListener{onClose: func() {
		// The request passed admission just before the drain ended it.
		g.inflight.Add(1)
		time.AfterFunc(took, func() {
			finished.Store(true)
			g.inflight.Add(-1)
		})
	}}
	startedAt := time.Now()
	require.NoError(t, p.Drain(t.Context()))
	require.True(t, finished.Load(), "the drain ends after the request")
	require.Less(t, time.Since(startedAt), minDrainTime+2*took)
}

// A request that outlasts the grace period does not keep a drain from ending.
func TestDrainThatEndsEarlyEndsWithGracePeriod(t *testing.T) {
	const grace = 5 * time.Second
	g := newTestGateway(t, 1).Gateway
	p := &Process{settings: Settings{GracePeriod: grace}, logger: slog.New(slog.DiscardHandler), gateway: g, view: fleetview.New(nil, nil, nil, slog.New(slog.DiscardHandler))}
	p.clientListener = closeHookListener{onClose: func() { g.inflight.Add(1) }}
	startedAt := time.Now()
	require.NoError(t, p.Drain(t.Context()))
	took := time.Since(startedAt)
	require.GreaterOrEqual(t, took, grace-graceMargin)
	require.Less(t, took, grace-shutdownTimeout-answerTimeout, "the shutdown fits into the grace period")
}

// A request of another instance on a connection that waits to be accepted gets a response although
// the process stops.
func TestQueuedConnectionsOfInstancesAreAnsweredAtStop(t *testing.T) {
	logger := slog.New(slog.DiscardHandler)
	budget, err := intake.New(intake.Settings{}, 0, logger)
	require.NoError(t, err)
	p := &Process{logger: logger, intake: budget, gateway: newTestGateway(t, 1).Gateway}
	stalled, released := make(chan struct{}), make(chan struct{})
	first := true
	p.peerServer = httpserver.New(p.acceptForwarded(http.NotFoundHandler()), httpserver.InternalLimits)
	p.peerServer.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew && first { // called by the loop that accepts
			first = false
			close(stalled)
			<-released
		}
	}
	p.peerListener, p.peersAccepted, err = p.serve(listenerPeers, p.peerServer, "127.0.0.1:0")
	require.NoError(t, err)
	var connections []net.Conn
	for range 20 {
		c, err := net.Dial("tcp4", p.peerListener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
		require.NoError(t, err)
		connections = append(connections, c)
		<-stalled
	}
	time.AfterFunc(httpserver.AcceptTimeout/5, func() { close(released) })
	require.NoError(t, p.Stop(t.Context()))
	for i, c := range connections {
		require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err, "connection %d", i)
		require.NoError(t, response.Body.Close())
	}
}
