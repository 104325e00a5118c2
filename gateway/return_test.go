package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/upstream"
)

// A stream that tries an unproven server keeps its place at the silent one: others must not take the last
// connection, without which it could not return in its client's time.
func TestConnectionIsHeldForReturnFromUnprovenServer(t *testing.T) {
	h := newTestGateway(t, 2)
	c, silent, since := h.waitingCall(1200 * time.Millisecond)
	silent.pool = upstream.NewPool(silent.address, 1)
	other := h.routing.services["llm"][1]
	require.True(t, c.reserveReplacement(t.Context(), silent, since))
	require.Equal(t, other, c.takeReserved())
	c.holdReturn()
	require.False(t, silent.pool.Hold(), "the place is kept")
	c.leftSilent = true
	sentAt := time.Now()
	silent.update(func(tracker *dispatch.BackendState) { tracker.Responded(time.Now()) })
	require.True(t, c.reserveReplacement(t.Context(), other, sentAt))
	require.Equal(t, silent, c.takeReserved())
	require.True(t, c.takeHold(silent))
	c.releaseReturn()
	require.False(t, silent.pool.Hold(), "the request uses the connection")
}

// The place is free again once the stream goes on elsewhere, and none is kept where the other server is
// known to respond.
func TestHoldForReturnEnds(t *testing.T) {
	h := newTestGateway(t, 2)
	c, silent, since := h.waitingCall(1200 * time.Millisecond)
	silent.pool = upstream.NewPool(silent.address, 1)
	other := h.routing.services["llm"][1]
	require.True(t, c.reserveReplacement(t.Context(), silent, since))
	c.holdReturn()
	c.releaseReturn()
	c.releaseReturn()
	require.True(t, silent.pool.Hold())
	silent.pool.Unhold()
	c.releaseReserved()

	other.responding(since)
	require.False(t, c.reserveReplacement(t.Context(), silent, since))
	other.update(func(tracker *dispatch.BackendState) { tracker.Responded(time.Now()) })
	require.True(t, c.reserveReplacement(t.Context(), silent, since))
	c.holdReturn()
	require.True(t, silent.pool.Hold())
}

// A request that the unproven server rejects is sent to its former server by the connection held there.
func TestHoldForReturnServesRetry(t *testing.T) {
	h := newTestGateway(t, 2)
	c, silent, since := h.waitingCall(1200 * time.Millisecond)
	silent.pool = upstream.NewPool(silent.address, 1)
	require.True(t, c.reserveReplacement(t.Context(), silent, since))
	require.True(t, c.takeHold(c.takeReserved()))
	c.holdReturn()
	require.True(t, c.takeHold(silent))
	require.False(t, c.takeHold(silent))
}
