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

// silentCall returns a request that may leave its silent server, and that server. No server
// accepts connections.
func (h *testGateway) silentCall() (*call, *backend) {
	c, silent := h.call(500), h.routing.services["llm"][0]
	c.route.Resumable, c.route.MaxServers = true, 2
	c.attemptsSent, c.mayHaveRun, c.ranServers = 1, true, map[string]bool{silent.server: true}
	c.triedServers[silent.server] = true
	c.decision = dispatch.Decision{QueuedTokens: 7}
	return c, silent
}

// A search for a replacement that found none must not exclude servers from a later retry.
func TestSearchWithoutReplacementExcludesNoServer(t *testing.T) {
	h := newTestGateway(t, 6)
	h.retryLimits.ExtraRetries, h.retryLimits.RetryWindow = 1000, time.Millisecond
	h.started = h.started.Add(-h.retryLimits.RetryWindow) // the allowance grows for that long
	c, silent := h.silentCall()
	for range 2 {
		require.False(t, c.reserveReplacement(context.Background(), silent, time.Now()))
	}
	require.Equal(t, map[string]bool{silent.server: true}, c.triedServers)
	require.Equal(t, 7, c.decision.QueuedTokens, "the estimates are of the server in use")
	require.Empty(t, c.takeRetry(time.Now()), "the silent server goes on and breaks off later")
	retried := h.place(t.Context(), c)
	require.NotNil(t, retried.backend)
}

// Servers that do not accept connections must not be dialed in each search.
func TestSearchDoesNotDialRestingServers(t *testing.T) {
	h := newTestGateway(t, 3)
	h.retryLimits.ExtraRetries, h.retryLimits.RetryWindow = 1000, time.Millisecond
	h.started = h.started.Add(-h.retryLimits.RetryWindow) // the allowance grows for that long
	c, silent := h.silentCall()
	dials := func() (n uint64) {
		for _, b := range h.routing.services["llm"] {
			n += b.pool.DialCount()
		}
		return n
	}
	require.False(t, c.reserveReplacement(context.Background(), silent, time.Now()))
	first := dials()
	require.Positive(t, first)
	for range 10 {
		require.False(t, c.reserveReplacement(context.Background(), silent, time.Now()))
	}
	require.Equal(t, first, dials())
}

// Without a retry left, the search must neither open connections nor use permits: it is
// repeated for as long as the server is silent.
func TestSearchWithoutRetryBudgetUsesNothing(t *testing.T) {
	h := newTestGateway(t, 2)
	h.retryLimits.RetryWindow = time.Millisecond
	c, silent := h.silentCall()
	other := h.routing.services["llm"][1]
	limit := h.limits.getOrAdd(other.incarnation, time.Now())
	limit.stated = dispatch.StatedLimit{RateLimit: dispatch.RateLimit{Limited: true, PerSecond: 1}}
	limit.permits.Granted(1, 0, time.Now(), time.Now())
	other.rateLimit.Store(limit)
	require.False(t, c.reserveReplacement(context.Background(), silent, time.Now()))
	require.Zero(t, other.pool.DialCount())
	require.True(t, h.takePermit(other, time.Now()), "the permit is still there")
}

// setRetries sets the number of retries that this instance may send.
func (h *testGateway) setRetries(n int) {
	h.retryLimits.ExtraRetries, h.retryLimits.RetryWindow = (float64(n)+0.5)/retryBudgetShare*float64(h.routing.entryCount), time.Minute
	h.started = h.started.Add(-h.retryLimits.RetryWindow) // the allowance grows for that long
}

// A request that has left a silent server must not end because the replacement rejects it while
// others have used up the retries.
func TestRequestThatLeftSilentServerHasSpareRetry(t *testing.T) {
	h := newTestGateway(t, 2)
	h.setRetries(4)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	h.routing.services["llm"][1].pool = upstream.NewPool(listener.Addr().String(), 0)
	budget := h.retryBudget("llm")
	c, silent := h.silentCall()
	require.True(t, c.reserveReplacement(t.Context(), silent, time.Now()))
	others := 0
	for budget.TryRetry(time.Now()) {
		others++
	}
	replacement := c.takeReserved()
	require.NotNil(t, replacement)
	require.Empty(t, c.takeRetry(time.Now()), "the retry was reserved")
	h.undoPlacement(c, replacement) // it rejects the request
	clear(c.triedServers)
	c.attemptsSent, c.leftSilent = c.attemptsSent+1, true
	require.Empty(t, c.takeRetry(time.Now()), "the spare retry")
	require.Equal(t, reasonNoBudget, c.takeRetry(time.Now()))
	require.Equal(t, 4-2, others)
}

// A spare retry is returned once the request has a response, and a request does not leave its
// server without one.
func TestSpareRetryIsReturned(t *testing.T) {
	h := newTestGateway(t, 2)
	h.setRetries(2)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	h.routing.services["llm"][1].pool = upstream.NewPool(listener.Addr().String(), 0)
	budget := h.retryBudget("llm")
	c, silent := h.silentCall()
	require.True(t, c.reserveReplacement(t.Context(), silent, time.Now()))
	require.False(t, budget.TryRetry(time.Now()))
	c.refundSpareRetry()
	c.refundSpareRetry()
	require.True(t, budget.Allows(time.Now(), 1))
	require.False(t, budget.Allows(time.Now(), 2))
	other, silent := h.silentCall()
	require.False(t, other.reserveReplacement(t.Context(), silent, time.Now()), "one retry is left")
}
