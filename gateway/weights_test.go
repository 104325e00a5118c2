package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/config/site"
)

// A weight rollout takes longer than intended under load. No prompt may go to older
// weights so late that it could start there after the rollout time, however few servers
// have switched and whichever cell they are in.
func TestOutdatedServersGetNoPrompts(t *testing.T) {
	service := &site.Service{Name: "llm", Engine: &site.Engine{}}
	requestedAt := time.Unix(1000, 0)
	for _, rolloutTime := range []time.Duration{4 * time.Second, 8 * time.Second, 20 * time.Second} {
		t.Run(rolloutTime.String(), func(t *testing.T) { testOutdatedServers(t, service, requestedAt, rolloutTime) })
	}
}

func testOutdatedServers(t *testing.T, service *site.Service, requestedAt time.Time, rolloutTime time.Duration) {
	t.Helper()
	early, final := time.Duration(earlyExclusionShare*float64(rolloutTime)), time.Duration(finalExclusionShare*float64(rolloutTime))
	tests := []struct {
		name     string
		switched int
		after    time.Duration
		want     int
	}{
		{"all serve at first", 2, rolloutTime / 8, 10},
		{"most have switched: the others are excluded early", 6, early, 6},
		{"few have switched: the others still carry the load", 2, early, 10},
		{"few have switched, and it is late", 2, final, 2},
		{"none has switched", 0, time.Minute, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rs := &routingState{weightRolloutTime: rolloutTime, targetVersions: map[string]uint64{"m": 2}, targetSince: map[string]time.Time{"m": requestedAt}}
			state := &serviceState{}
			var all []*backend
			for n := range 10 {
				b := newBackend(&fleetv1.Announcement{Server: fmt.Sprint("i-", n)}, service, state, 0, requestedAt)
				b.raiseWeightVersion("m", 1)
				if n < tt.switched {
					b.raiseWeightVersion("m", 2)
				}
				all = append(all, b)
			}
			candidates := rs.excludeOutdated("m", all, requestedAt.Add(tt.after))
			require.Len(t, candidates, tt.want)
			if tt.want < 10 {
				for _, b := range candidates {
					require.Equal(t, uint64(2), b.weightVersion("m"))
				}
			}
		})
	}
}

// TestRateLimitedServerIsNotReplacedByOutdatedOne guards against prompts that go to older
// weights after the rollout time because this instance has no permit for the servers that
// have switched.
func TestRateLimitedServerIsNotReplacedByOutdatedOne(t *testing.T) {
	requestedAt := time.Unix(1000, 0)
	rs := &routingState{weightRolloutTime: 8 * time.Second, targetVersions: map[string]uint64{"m": 2}, targetSince: map[string]time.Time{"m": requestedAt}}
	service, state := &site.Service{Name: "llm", Engine: &site.Engine{}}, &serviceState{}
	backendOn := func(name string, version uint64) *backend {
		b := newBackend(&fleetv1.Announcement{Server: name}, service, state, 0, requestedAt)
		b.raiseWeightVersion("m", version)
		return b
	}
	switched, outdated, limitedOutdated := backendOn("i-1", 2), backendOn("i-2", 1), backendOn("i-3", 1)
	c := &call{prompt: &Prompt{Model: "m"}, rateLimited: []*backend{switched, limitedOutdated}}
	require.Equal(t, []*backend{outdated}, c.excludeOutdated(rs, []*backend{outdated}, requestedAt.Add(time.Second)), "early: older weights are used")
	require.Len(t, c.rateLimited, 2)
	require.Empty(t, c.excludeOutdated(rs, []*backend{outdated}, requestedAt.Add(8*time.Second)))
	require.Equal(t, []*backend{switched}, c.rateLimited)
}
