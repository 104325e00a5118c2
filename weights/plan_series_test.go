package weights

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenaarch/galenaarch/dispatch"
)

// versionSeries names versions at set times and records servers that are late.
type versionSeries struct {
	*simulation
	limit time.Duration
	// namedAt holds when the versions from 2 on are named, after the start.
	namedAt []time.Duration
	start   time.Time
	// late is the time, summed over the servers, for which one runs a version older than one
	// that was named longer ago than the limit, and does not load.
	late time.Duration
}

func newVersionSeries(servers int, limit time.Duration, namedAt ...time.Duration) *versionSeries {
	s := &versionSeries{simulation: newSimulation(servers, limit), limit: limit, namedAt: namedAt}
	s.start, s.requested = s.now, map[string]uint64{"m": 1}
	return s
}

// evenly returns n times that are gap apart.
func evenly(n int, gap time.Duration) (times []time.Duration) {
	for i := range n {
		times = append(times, time.Duration(i)*gap)
	}
	return times
}

// targets returns the versions named until now.
func (s *versionSeries) targets() (targets dispatch.WeightTargets) {
	for i, at := range s.namedAt {
		if !s.start.Add(at).After(s.now) {
			targets = targets.With(uint64(i+2), s.start.Add(at))
		}
	}
	return targets
}

// run steps until all servers run the newest version, or a minute has passed. each is called before each step.
func (s *versionSeries) run(each func()) {
	for s.now.Sub(s.start) < time.Minute {
		targets := s.targets()
		if len(targets) == len(s.namedAt) && s.requested["m"] == targets.Newest() && s.done() {
			return
		}
		s.requested = map[string]uint64{"m": max(1, targets.Newest())}
		each()
		s.step()
		for _, e := range s.engines {
			if next, outdated := targets.After(e.version); outdated && e.loadingVersion == 0 && s.now.Sub(next.Since) > s.limit {
				s.late += 50 * time.Millisecond
			}
		}
	}
}

// Guards against servers that are passed over when versions are named in succession, so that they run one that is older than
// the time limit of a newer one allows, although there was time to load.
func TestVersionsInSuccessionMeetTheirOwnLimits(t *testing.T) {
	const limit = 8 * time.Second
	for _, servers := range []int{2, 5, 9, 20, 60} {
		for versions := 2; versions <= 6; versions++ {
			for gap := 2 * time.Second; gap <= 6*time.Second; gap += time.Second {
				s := newVersionSeries(servers, limit, evenly(versions, gap)...)
				s.run(func() {})
				require.True(t, s.done(), "%d servers, %d versions %v apart", servers, versions, gap)
				require.Zero(t, s.late, "%d servers, %d versions %v apart", servers, versions, gap)
				require.LessOrEqual(t, s.maxLoading, max(2, (servers+2)/3), "%d servers, %d versions %v apart", servers, versions, gap)
			}
		}
	}
}

// Guards against a new leader that counts the limits of all versions from when it became one: the servers that
// wait for longest then have the most time.
func TestLimitsOutliveChangeOfLeader(t *testing.T) {
	const limit = 8 * time.Second
	for _, servers := range []int{5, 9, 20} {
		for _, gap := range []time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second} {
			for at := time.Second; at < 12*time.Second; at += time.Second {
				s, changed := newVersionSeries(servers, limit, evenly(4, gap)...), false
				s.run(func() {
					if !changed && s.now.Sub(s.start) >= at {
						changed = true
						s.plan = NewPlan(limit)
						s.plan.SetTargets("m", s.targets())
					}
				})
				require.True(t, s.done())
				require.Zero(t, s.late, "%d servers, versions %v apart, leader changes at %v", servers, gap, at)
			}
		}
	}
}

// Guards against more reloads at once than a single version needs, on a calm day: they cost callers.
func TestSingleVersionReloadsFewServersAtOnce(t *testing.T) {
	for servers, most := range map[int]int{1: 1, 2: 2, 5: 2, 9: 2, 12: 3, 20: 5, 33: 8, 60: 13, 72: 16, 89: 20} {
		s := newVersionSeries(servers, 8*time.Second, 0)
		s.run(func() {})
		require.True(t, s.done())
		require.Zero(t, s.late, "%d servers", servers)
		require.LessOrEqual(t, s.maxLoading, most, "%d servers", servers)
	}
}

// Guards against servers that no limit is met for: slow ones, ones that restart while they load, and leaders that change, beside versions at
// any times. Servers are late only by what they need themselves.
func TestVersionSeriesConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 8 * time.Second
		servers := rapid.IntRange(2, 20).Draw(t, "servers")
		namedAt, at := []time.Duration(nil), time.Duration(0)
		for range rapid.IntRange(1, 6).Draw(t, "versions") {
			namedAt = append(namedAt, at)
			at += time.Duration(rapid.IntRange(4, 120).Draw(t, "gap")) * 50 * time.Millisecond
		}
		s := newVersionSeries(servers, limit, namedAt...)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for _, e := range s.engines {
			if random.IntN(5) == 0 {
				e.reloadTime += time.Duration(random.IntN(1500)) * time.Millisecond
			}
		}
		crashes := rapid.IntRange(0, 3).Draw(t, "crashes")
		// A new plan does not know which servers load.
		most := max(minConcurrentReloads, servers/2)
		s.run(func() {
			if crashes > 0 && random.IntN(100) == 0 {
				crashes--
				s.engines[random.IntN(servers)].restart()
			}
			if random.IntN(200) == 0 {
				s.plan = NewPlan(limit)
				s.plan.SetTargets("m", s.targets())
				most += s.loading()
			}
		})
		if !s.done() {
			t.Fatal(fmt.Sprint("not all servers reached the newest version, named at ", namedAt))
		}
		if s.maxLoading > most {
			t.Fatalf("%d of %d servers loaded at once", s.maxLoading, servers)
		}
	})
}

// BenchmarkPlanInSuccession measures a look at all servers of a large service, half of which are outdated by several versions.
func BenchmarkPlanInSuccession(b *testing.B) {
	for _, servers := range []int{60, 690, 6900} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			now, list := time.Unix(1000, 0), make([]Server, 0, servers)
			for i := range servers {
				list = append(list, Server{ID: fmt.Sprint("s", i), Service: "x", StartUnixMs: 1, Versions: map[string]uint64{"m": uint64(1 + i%6)}})
			}
			targets := dispatch.WeightTargets{{Version: 2, Since: now.Add(-6 * time.Second)}, {Version: 3, Since: now.Add(-4 * time.Second)}, {Version: 4, Since: now.Add(-2 * time.Second)}}
			for b.Loop() {
				plan := NewPlan(8 * time.Second)
				plan.SetTargets("m", targets)
				plan.DueTasks(list, map[string]uint64{"m": 4}, now)
			}
		})
	}
}
