package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/config/site"
	"github.com/galenaarch/galenaarch/dispatch"
)

// A weight rollout takes longer than intended under load. No prompt may go to older weights so
// late that it could begin there after the rollout time, however few servers have switched and
// whichever cell they are in. A prompt that begins in time may use all servers.
func TestOutdatedServersGetNoPromptsThatBeginTooLate(t *testing.T) {
	service := &site.Service{Name: "llm", Engine: &site.Engine{}}
	requestedAt := time.Unix(1000, 0)
	const rollout = 8 * time.Second
	tests := []struct {
		name string
		// switched of ten servers run the new weights at the given time after the request for them.
		switched int
		after    time.Duration
		// clientWaits is how long the client still waits for its first event, longest the longest
		// recent time to one, 0 if unknown.
		clientWaits, longest time.Duration
		want                 int
	}{
		{"all serve at first", 2, time.Second, 2 * time.Second, 0, 10},
		{"waits are unknown, and the client leaves in time", 2, 5900 * time.Millisecond, 2 * time.Second, 0, 10},
		{"waits are unknown, and the client may wait too long", 2, 6100 * time.Millisecond, 2 * time.Second, 0, 2},
		{"a patient client may wait too long", 2, 3 * time.Second, 6 * time.Second, 0, 2},
		{"a patient client, but prompts begin soon", 2, 3 * time.Second, 6 * time.Second, time.Second, 10},
		{"prompts begin soon: few servers need not carry the load", 2, 6900 * time.Millisecond, 2 * time.Second, 500 * time.Millisecond, 10},
		{"prompts begin soon, but it is late", 2, 7100 * time.Millisecond, 2 * time.Second, 500 * time.Millisecond, 2},
		{"prompts wait for long", 6, 5600 * time.Millisecond, 6 * time.Second, 1300 * time.Millisecond, 6},
		{"none has switched", 0, time.Minute, 2 * time.Second, 0, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := requestedAt.Add(tt.after)
			rs := &routingState{weightRolloutTime: rollout, targetVersions: map[string]uint64{"m": 2}, targets: map[string]dispatch.WeightTargets{"m": {{Version: 2, Since: requestedAt}}}}
			c := newTestGateway(t, 0).call(500)
			for range 50 {
				if tt.longest > 0 {
					c.state.starts.Observe(tt.longest, now)
				}
			}
			c.startedAt, c.route.ClientTimeout, c.deadline = now, tt.clientWaits, now.Add(10*time.Second)
			var all []*backend
			for n := range 10 {
				b := newBackend(&fleetv1.Announcement{Server: fmt.Sprint("i-", n)}, service, c.state, 0, requestedAt)
				b.raiseWeightVersion("m", 1)
				if n < tt.switched {
					b.raiseWeightVersion("m", 2)
				}
				all = append(all, b)
			}
			candidates := c.excludeOutdated(rs, all, now)
			require.Len(t, candidates, tt.want)
			if tt.want < 10 {
				for _, b := range candidates {
					require.Equal(t, uint64(2), b.weightVersion("m"))
				}
			}
		})
	}
}

// New weights are wanted from the moment at which they were named: servers on older ones cost more
// from then on.
func TestOutdatedServersCostMoreAtOnce(t *testing.T) {
	h := newTestGateway(t, 2)
	servers := h.routing.services["llm"]
	servers[0].raiseWeightVersion("m", 2)
	servers[1].raiseWeightVersion("m", 1)
	h.routing.targetVersions = map[string]uint64{"m": 2}
	h.routing.targets = map[string]dispatch.WeightTargets{"m": {{Version: 2, Since: time.Now()}}}
	h.routing.weightRolloutTime = 8 * time.Second
	c, set := h.call(500), candidateSet{}
	set.reset(servers)
	h.describeServers(h.routing, c, &set, time.Now())
	require.Zero(t, set.servers[0].Penalty)
	require.Equal(t, dispatch.OutdatedPenalty, set.servers[1].Penalty)
}

// TestRateLimitedServerIsNotReplacedByOutdatedOne guards against prompts that go to older
// weights after the rollout time because this instance has no permit for the servers that
// have switched.
func TestRateLimitedServerIsNotReplacedByOutdatedOne(t *testing.T) {
	requestedAt := time.Unix(1000, 0)
	rs := &routingState{weightRolloutTime: 8 * time.Second, targetVersions: map[string]uint64{"m": 2}, targets: map[string]dispatch.WeightTargets{"m": {{Version: 2, Since: requestedAt}}}}
	service, state := &site.Service{Name: "llm", Engine: &site.Engine{}}, &serviceState{}
	backendOn := func(name string, version uint64) *backend {
		b := newBackend(&fleetv1.Announcement{Server: name}, service, state, 0, requestedAt)
		b.raiseWeightVersion("m", version)
		return b
	}
	switched, outdated, limitedOutdated := backendOn("i-1", 2), backendOn("i-2", 1), backendOn("i-3", 1)
	c := newTestGateway(t, 0).call(500)
	c.rateLimited, c.startedAt, c.deadline = []*backend{switched, limitedOutdated}, requestedAt, requestedAt.Add(time.Minute)
	require.Equal(t, []*backend{outdated}, c.excludeOutdated(rs, []*backend{outdated}, requestedAt.Add(time.Second)), "early: older weights are used")
	require.Len(t, c.rateLimited, 2)
	require.Empty(t, c.excludeOutdated(rs, []*backend{outdated}, requestedAt.Add(8*time.Second)))
	require.Equal(t, []*backend{switched}, c.rateLimited)
}

// Guards against prompts that go to weights older than a version whose rollout time is over, because a newer one was named since: it has a
// limit of its own, and extends no other.
func TestNewerWeightsDoNotExtendTheLimitOfOlderOnes(t *testing.T) {
	const rollout = 8 * time.Second
	named := time.Unix(1000, 0)
	service := &site.Service{Name: "llm", Engine: &site.Engine{}}
	rs := &routingState{weightRolloutTime: rollout, targetVersions: map[string]uint64{"m": 4}, targets: map[string]dispatch.WeightTargets{"m": {
		{Version: 2, Since: named}, {Version: 3, Since: named.Add(3 * time.Second)}, {Version: 4, Since: named.Add(6 * time.Second)},
	}}}
	for _, tt := range []struct {
		after    time.Duration
		versions []uint64
		want     []uint64
	}{
		{7 * time.Second, []uint64{1, 2, 3, 4}, []uint64{1, 2, 3, 4}},
		{9 * time.Second, []uint64{1, 2, 3, 4}, []uint64{2, 3, 4}},
		{12 * time.Second, []uint64{1, 2, 3}, []uint64{3}},
		{12 * time.Second, []uint64{1, 2}, []uint64{2}},
		{15 * time.Second, []uint64{1, 1}, []uint64{1, 1}},
		{15 * time.Second, []uint64{1, 2, 3}, []uint64{3}},
		{15 * time.Second, []uint64{3, 4}, []uint64{4}},
	} {
		t.Run(fmt.Sprint(tt.after, tt.versions), func(t *testing.T) {
			now := named.Add(tt.after)
			c := newTestGateway(t, 0).call(500)
			c.startedAt, c.deadline, c.route.ClientTimeout = now, now.Add(10*time.Second), 500*time.Millisecond
			var all []*backend
			for n, version := range tt.versions {
				b := newBackend(&fleetv1.Announcement{Server: fmt.Sprint("i-", n)}, service, c.state, 0, named)
				b.raiseWeightVersion("m", version)
				all = append(all, b)
			}
			var got []uint64
			for _, b := range c.excludeOutdated(rs, all, now) {
				got = append(got, b.weightVersion("m"))
			}
			require.Equal(t, tt.want, got)
		})
	}
}
