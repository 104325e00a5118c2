package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/config/site"
	"github.com/galenaarch/galenaarch/dispatch"
)

// newColdGateway returns a gateway with engines that bear 20 requests a second while cold.
func newColdGateway(t *testing.T, engines int) *testGateway {
	t.Helper()
	h := newTestGateway(t, engines)
	h.routing.table = site.Compile(&site.Document{Services: []site.Service{{Name: "llm", ColdPerSecond: 20}}})
	return h
}

func (h *testGateway) announceCold(b *backend, until time.Time) {
	b.update(func(tracker *dispatch.BackendState) { tracker.ColdUntil = until })
	h.applyCold(h.routing, time.Now())
}

// A server turns cold while it is listed, and a permit is asked for only once a request would
// have gone there.
func TestColdServerNeedsPermit(t *testing.T) {
	h := newColdGateway(t, 2)
	cold := h.routing.services["llm"][0]
	require.True(t, h.takePermit(cold, time.Now()))
	h.announceCold(cold, time.Now().Add(time.Minute))
	l := cold.rateLimit.Load()
	require.False(t, h.takePermit(cold, time.Now()))
	require.Zero(t, l.current().Revision, "the server itself has stated nothing")

	d, b := h.decide(h.call(500), nil, time.Now())
	require.Equal(t, dispatch.Send, d.Action)
	require.NotSame(t, cold, b)
	_, lacking := l.permits.NextAsk()
	require.False(t, lacking, "the warm server is the better one")
	other := h.routing.services["llm"][1]
	other.tracker.Sent(dispatch.Work{PrefillTokens: 100_000}, time.Now())
	h.decide(h.call(500), nil, time.Now())
	_, lacking = l.permits.NextAsk()
	require.True(t, lacking)

	l.permits.Granted(1, 0, time.Now(), time.Now())
	require.True(t, h.takePermit(cold, time.Now()))
	require.False(t, h.takePermit(cold, time.Now()))
	require.Nil(t, other.rateLimit.Load())
}

// The limit ends by time, with a newer announcement, or with the incarnation.
func TestColdLimitEnds(t *testing.T) {
	h := newColdGateway(t, 1)
	b := h.routing.services["llm"][0]
	h.announceCold(b, time.Now().Add(time.Minute))
	l := b.rateLimit.Load()
	require.False(t, h.endCold(l, time.Now()))
	require.True(t, h.endCold(l, time.Now().Add(2*time.Minute)))
	require.False(t, h.endCold(l, time.Now().Add(2*time.Minute)))

	h.announceCold(b, time.Now().Add(time.Minute))
	require.False(t, h.takePermit(b, time.Now()))
	h.announceCold(b, time.UnixMilli(0))
	require.True(t, h.endCold(l, time.Now()))
	require.True(t, h.takePermit(b, time.Now()))

	h.announceCold(b, time.Now().Add(time.Minute))
	next := newTestGateway(t, 1).routing.services["llm"][0]
	next.startedMs++
	require.Nil(t, h.limits.get(next.incarnation))
}

func TestColdLimitsAreSwitchedOff(t *testing.T) {
	for name, h := range map[string]*testGateway{"service without a rate": newTestGateway(t, 1), "switch": newColdGateway(t, 1)} {
		if name == "switch" {
			policy, err := dispatch.Without("cold-limits")
			require.NoError(t, err)
			h.policy = policy
		}
		b := h.routing.services["llm"][0]
		h.announceCold(b, time.Now().Add(time.Minute))
		require.Nil(t, b.rateLimit.Load(), name)
		require.True(t, h.takePermit(b, time.Now()), name)
	}
}
