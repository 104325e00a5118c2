package weights

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenaarch/galenaarch/config/site"
	"github.com/galenaarch/galenaarch/contexts"
)

// fakeEngine simulates a backend server. It finishes its running requests, then
// loads the ordered version.
type fakeEngine struct {
	Server
	version        uint64
	sequence       uint64
	loadedAt       time.Time
	loadingVersion uint64
	// reloadTime is the duration of a reload, including the wait for running
	// requests.
	reloadTime time.Duration
}

func (e *fakeEngine) finishLoad(now time.Time) {
	if e.loadingVersion != 0 && !now.Before(e.loadedAt) {
		e.version, e.loadingVersion = e.loadingVersion, 0
	}
}

// restart ends the engine's process and starts another with the weights it had.
func (e *fakeEngine) restart() {
	e.StartUnixMs++
	e.sequence, e.loadingVersion = 0, 0
}

func (e *fakeEngine) handleOrder(t Task, now time.Time) (accepted bool) {
	e.finishLoad(now)
	if e.loadingVersion != 0 || t.ExpectedSequence != e.sequence {
		return false
	}
	e.sequence++
	e.loadingVersion, e.loadedAt = t.Version, now.Add(e.reloadTime)
	return true
}

// simulation runs a plan against simulated engines on virtual time.
type simulation struct {
	plan      *Plan
	engines   []*fakeEngine
	requested map[string]uint64
	now       time.Time
	// loseResponse decides whether the response to an order is lost; delayOrder
	// decides whether the order itself is delivered later. maxLoading is the
	// largest number of engines that loaded at the same time.
	loseResponse, delayOrder func() bool
	delayed                  []func()
	maxLoading               int
}

func newSimulation(n int, rolloutLimit time.Duration) *simulation {
	sim := &simulation{plan: NewPlan(rolloutLimit), requested: map[string]uint64{"m": 2}, now: time.Unix(1000, 0), loseResponse: func() bool { return false }, delayOrder: func() bool { return false }}
	for i := range n {
		sim.engines = append(sim.engines, &fakeEngine{version: 1, reloadTime: initialReloadEstimate, Server: Server{ID: fmt.Sprint("s", i), Service: "x", StartUnixMs: 1}})
	}
	return sim
}

func (sim *simulation) step() {
	sim.now = sim.now.Add(50 * time.Millisecond)
	var servers []Server
	byID := make(map[string]*fakeEngine)
	loading := 0
	for _, e := range sim.engines {
		e.finishLoad(sim.now)
		if e.loadingVersion != 0 {
			loading++
		}
		s := e.Server
		s.Versions = map[string]uint64{"m": e.version}
		servers = append(servers, s)
		byID[s.ID] = e
	}
	sim.maxLoading = max(sim.maxLoading, loading)
	for _, t := range sim.plan.DueTasks(servers, sim.requested, sim.now) {
		e := byID[t.Server.ID]
		switch t.Step {
		case StepPoll:
			sim.plan.RecordReport(t.Server, &Report{Versions: map[string]uint64{"m": e.version}, Busy: e.loadingVersion != 0, Sequence: e.sequence}, sim.requested, sim.now)
		case StepSendOrder:
			if sim.delayOrder() {
				sim.delayed = append(sim.delayed, func() { e.handleOrder(t, sim.now) })
				sim.plan.RecordOrder(t.Server, true, sim.now)
				continue
			}
			accepted := e.handleOrder(t, sim.now)
			sim.plan.RecordOrder(t.Server, accepted || sim.loseResponse(), sim.now)
		}
	}
}

// loading returns the number of engines that load weights.
func (sim *simulation) loading() (n int) {
	for _, e := range sim.engines {
		if e.loadingVersion != 0 {
			n++
		}
	}
	return n
}

func (sim *simulation) done() bool {
	for _, e := range sim.engines {
		if e.version != sim.requested["m"] || e.loadingVersion != 0 {
			return false
		}
	}
	return true
}

func TestAllServersReloadWithinRolloutLimit(t *testing.T) {
	for _, n := range []int{1, 2, 9, 12, 72, 89} {
		sim := newSimulation(n, 8*time.Second)
		start := sim.now
		for !sim.done() && sim.now.Sub(start) < time.Minute {
			sim.step()
		}
		require.True(t, sim.done())
		require.Less(t, sim.now.Sub(start), 8*time.Second, "%d servers", n)
		require.LessOrEqual(t, sim.maxLoading, max(2, (n+3)/4), "no more concurrent reloads than the rollout limit requires")
	}
}

// TestSlowReloadsRaiseConcurrency covers a load of long-running requests: each
// reload takes more than twice as long as expected, because the running
// requests finish first.
func TestSlowReloadsRaiseConcurrency(t *testing.T) {
	const rolloutLimit, reloadTime = 10 * time.Second, 3200 * time.Millisecond
	for _, n := range []int{12, 72, 90} {
		sim := newSimulation(n, rolloutLimit)
		for _, e := range sim.engines {
			e.reloadTime = reloadTime
		}
		start := sim.now
		for !sim.done() && sim.now.Sub(start) < time.Minute {
			sim.step()
		}
		require.True(t, sim.done())
		require.Less(t, sim.now.Sub(start), rolloutLimit, "%d servers", n)
		require.LessOrEqual(t, sim.maxLoading, n/2, "at least half of the servers keep serving")
	}
}

// TestRolloutContinuesAfterServersRestart guards against reloads of servers that crashed
// and came back under their IDs: they kept their slots, and the rollout stopped. The
// servers that load at the moment of the crash are the ones that restart.
func TestRolloutContinuesAfterServersRestart(t *testing.T) {
	const rolloutLimit = 8 * time.Second
	for _, n := range []int{2, 3, 5, 12, 72} {
		for _, crashes := range []int{1, 2, 3} {
			sim := newSimulation(n, rolloutLimit)
			start := sim.now
			for range crashes {
				for sim.step(); sim.loading() == 0 && !sim.done(); {
					sim.step()
				}
				for _, e := range sim.engines {
					if e.loadingVersion != 0 {
						e.restart()
					}
				}
			}
			restarted := sim.now
			for !sim.done() && sim.now.Sub(start) < time.Minute {
				sim.step()
			}
			require.True(t, sim.done(), "%d servers, %d crashes", n, crashes)
			require.Less(t, sim.now.Sub(restarted), rolloutLimit, "%d servers, %d crashes", n, crashes)
			require.LessOrEqual(t, sim.maxLoading, max(2, n/2))
		}
	}
}

// TestReportOfFormerIncarnationIsNotUsed guards against late results of calls to a
// process that has ended since: they would be taken for those of its successor.
func TestReportOfFormerIncarnationIsNotUsed(t *testing.T) {
	plan, now, requested := NewPlan(8*time.Second), time.Unix(1000, 0), map[string]uint64{"m": 2}
	former := Server{ID: "s", Service: "x", StartUnixMs: 1, Versions: map[string]uint64{"m": 1}}
	restarted := former
	restarted.StartUnixMs = 2
	require.Len(t, plan.DueTasks([]Server{former}, requested, now), 1)
	require.Len(t, plan.DueTasks([]Server{restarted}, requested, now), 1)
	require.False(t, plan.RecordReport(former, &Report{Versions: requested}, requested, now), "the report is of a process that has ended")
	plan.RecordOrder(former, true, now)
	require.Equal(t, StepPoll, plan.DueTask(restarted, requested, now).Step, "no order to the restarted server waits for its effect")
}

func TestVersionRequestedDuringRolloutReplacesEarlierOne(t *testing.T) {
	sim := newSimulation(6, 8*time.Second)
	for range 30 {
		sim.step()
	}
	sim.requested = map[string]uint64{"m": 5}
	for range 200 {
		sim.step()
	}
	require.True(t, sim.done())
}

// TestLostAndDelayedOrdersConverge checks, with randomly lost responses and
// delayed orders, that every server reaches the requested version and that no
// server returns to a lower one.
func TestLostAndDelayedOrdersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.IntRange(1, 8).Draw(t, "servers"), 8*time.Second)
		oneInFour := func(name string) func() bool {
			return func() bool { return rapid.IntRange(0, 3).Draw(t, name) == 0 }
		}
		sim.loseResponse, sim.delayOrder = oneInFour("lose response"), oneInFour("delay order")
		lastVersion := make(map[string]uint64)
		for i := 0; i < 400; i++ {
			if i == 60 {
				sim.requested = map[string]uint64{"m": 3}
			}
			if i == 200 {
				sim.delayOrder = func() bool { return false }
			}
			if len(sim.delayed) > 0 && rapid.Bool().Draw(t, "arrives") {
				sim.delayed[0]()
				sim.delayed = sim.delayed[1:]
			}
			sim.step()
			for _, e := range sim.engines {
				if e.version < lastVersion[e.ID] {
					t.Fatalf("%s went from %d to %d", e.ID, lastVersion[e.ID], e.version)
				}
				lastVersion[e.ID] = e.version
			}
		}
		if !sim.done() {
			t.Fatal("not all servers reached the requested version")
		}
	})
}

func TestPlacementGroupsAreInterleaved(t *testing.T) {
	var servers []Server
	for i := range 12 {
		servers = append(servers, Server{ID: fmt.Sprint("s", i)})
	}
	interleaved := interleaveGroups(servers)
	require.Len(t, interleaved, 12)
	position := func(s Server) int {
		higher := 0
		for _, o := range servers {
			if groupRank(o.ID) > groupRank(s.ID) {
				higher++
			}
		}
		return higher
	}
	require.Equal(t, 0, position(interleaved[0]))
	require.Equal(t, 11, position(interleaved[1]))
}

func TestStoresAreCleanedAfterAllServersConverge(t *testing.T) {
	c, now := &storeCleaner{}, time.Unix(1000, 0)
	requested := map[string]uint64{"m": 2}
	outdated := []Server{{ID: "a", Versions: map[string]uint64{"m": 1}}}
	updated := []Server{{ID: "a", Versions: map[string]uint64{"m": 2}}}
	require.False(t, c.checkDue(requested, "", outdated, now))
	require.False(t, c.checkDue(requested, "", updated, now.Add(storeCleanupDelay-time.Second)), "the delay starts when the last server is updated")
	require.True(t, c.checkDue(requested, "", updated, now.Add(storeCleanupDelay)))
	require.False(t, c.checkDue(requested, "", updated, now.Add(2*storeCleanupDelay)), "one cleanup per version")
	require.False(t, c.checkDue(map[string]uint64{"m": 3}, "", updated, now.Add(2*storeCleanupDelay)))
}

// TestStoresAreCleanedAfterIsolationChanges guards against stores that stay full of
// contexts which no request reads since other accounts are isolated.
func TestStoresAreCleanedAfterIsolationChanges(t *testing.T) {
	c, now := &storeCleaner{}, time.Unix(1000, 0)
	servers := []Server{{ID: "a", Versions: map[string]uint64{"m": 1}}}
	require.False(t, c.checkDue(nil, "", servers, now))
	require.False(t, c.checkDue(nil, "", servers, now.Add(storeCleanupDelay)), "nothing has changed yet")
	now = now.Add(time.Minute)
	require.False(t, c.checkDue(nil, "g", servers, now))
	require.True(t, c.checkDue(nil, "g", servers, now.Add(storeCleanupDelay)))
	require.False(t, c.checkDue(nil, "g", servers, now.Add(2*storeCleanupDelay)))

	table := site.Compile(&site.Document{Version: 3, Accounts: []site.Account{{Name: "ward", Isolated: true}, {Name: "guest"}}})
	for salt, want := range map[string]bool{
		contexts.Salt(2, contexts.Scope{}):                             true,
		contexts.Salt(2, contexts.Scope{Group: table.IsolatedGroup()}): false,
		contexts.Salt(1, contexts.Scope{Group: table.IsolatedGroup()}): true,
		contexts.Salt(2, contexts.Scope{Group: "other"}):               true,
		contexts.Salt(2, contexts.Scope{Isolated: "ward"}):             false,
		contexts.Salt(2, contexts.Scope{Isolated: "guest"}):            true,
		contexts.Salt(2, contexts.Scope{Isolated: "unknown"}):          false,
		"unrelated": false,
	} {
		require.Equal(t, want, unused(salt, 2, table), salt)
	}
}
