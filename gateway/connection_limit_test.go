package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/upstream"
)

// A server whose connections are all in use must not count as one that has refused the request:
// a stream that has left its silent server would end although connections become free.
func TestConnectionLimitIsNoRefusalOfTheServer(t *testing.T) {
	h := newTestGateway(t, 1)
	c, b := h.silentCall()
	c.leftSilent = true
	c.recordAttempt(&attempt{gateway: c.gateway, backend: b, startedAt: time.Now(), result: notRun, err: &upstream.Error{Phase: upstream.PhaseConnectionLimit, Address: b.address, Err: upstream.ErrConnectionLimit}})
	require.True(t, c.mayBeTaken())
}

// A request must not leave its silent server for one that responds to others but to which no
// further connection may be opened.
func TestSilentServerIsNotLeftWithoutConnection(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	h := newTestGateway(t, 2)
	h.retryLimits.ExtraRetries, h.retryLimits.RetryWindow = 1000, time.Millisecond
	h.started = h.started.Add(-h.retryLimits.RetryWindow) // the allowance grows for that long
	c, silent := h.silentCall()
	other := h.routing.services["llm"][1]
	other.pool = upstream.NewPool(listener.Addr().String(), 1)
	since := time.Now()
	other.update(func(tracker *dispatch.BackendState) { tracker.Responded(since.Add(time.Millisecond)) })
	require.NoError(t, other.pool.Prepare(t.Context()))
	require.True(t, other.pool.Hold(), "the connection is idle")
	other.pool.Unhold()

	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go other.pool.Send(ctx, &upstream.Request{Method: "GET", Target: "/"})
	require.Eventually(t, func() bool {
		held := other.pool.Hold()
		if held {
			other.pool.Unhold()
		}
		return !held
	}, time.Second, time.Millisecond, "the connection is in use")
	require.False(t, c.reserveReplacement(ctx, silent, since))
}
