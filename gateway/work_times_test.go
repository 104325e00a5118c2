package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/config/site"
)

// A request whose work takes longer than its client waits is of no use to a server: it must be
// given up at once, whether it was sent before or not, and a request must not leave a silent
// server for one that cannot serve it in time.
func TestRequestWithoutTimeForItsWorkIsGivenUp(t *testing.T) {
	const work, toEvent = 500 * time.Millisecond, 300 * time.Millisecond
	plain := &site.Route{Name: "look", Kind: site.KindIdempotent, MaxServers: 2}
	stream := &site.Route{Name: "stream", Kind: site.KindStream, Resumable: true, MaxServers: 2, ClientTimeout: 2 * time.Second}
	tests := []struct {
		name  string
		route *site.Route
		// sinceStart and sinceEvent count from the arrival and the last event to now; the latter is 0
		// for none. left is the time until the deadline.
		sinceStart, sinceEvent, left time.Duration
		unknown                      bool
		want                         bool
	}{
		{"time for the work", plain, 0, 0, 600 * time.Millisecond, false, true},
		{"less time than the work", plain, 0, 0, 400 * time.Millisecond, false, false},
		{"work unknown", plain, 0, 0, 400 * time.Millisecond, true, true},
		{"stream with time for the work", stream, 0, 0, 600 * time.Millisecond, false, true},
		{"stream with less time than the work", stream, 0, 0, 400 * time.Millisecond, false, false},
		{"stream with time for the next event", stream, 3 * time.Second, 100 * time.Millisecond, 400 * time.Millisecond, false, true},
		{"stream whose client leaves before the next event", stream, 3 * time.Second, 1800 * time.Millisecond, 5 * time.Second, false, false},
		{"stream whose client leaves before the first event", stream, 1800 * time.Millisecond, 0, 5 * time.Second, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newTestGateway(t, 2)
			now := time.Now()
			for range 50 {
				if !tt.unknown {
					h.workTimes.recordEnd(tt.route.Name, work, now)
					h.workTimes.recordEvent(tt.route.Name, toEvent, now)
				}
			}
			for _, sends := range []int{0, 1} {
				c := h.call(500)
				c.route, c.attemptsSent, c.ranServers = tt.route, sends, make(map[string]bool)
				c.startedAt, c.deadline = now.Add(-tt.sinceStart), now.Add(tt.left)
				if tt.sinceEvent > 0 {
					c.lastEventAt.Store(monotonic(now.Add(-tt.sinceEvent)))
				}
				require.Equal(t, tt.want, c.timeLeft(now))
				require.Equal(t, tt.want, c.maySwitchServer(h.routing.services["llm"][0], now))
			}
		})
	}
	h := newTestGateway(t, 1)
	for range 50 {
		h.workTimes.recordEnd("look", work, time.Now())
	}
	h.workTimes.retain([]site.Route{*stream})
	_, toEnd := h.workTimes.shortest("look", time.Now())
	require.Zero(t, toEnd, "the route is no longer in the document")
}
