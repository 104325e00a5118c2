package weights

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// engine is a backend server in the model: it finishes its runs, loads, and may
// carry an order out late or lose its answer.
type engine struct {
	Server
	version  uint64
	sequence uint64
	until    time.Time
	target   uint64
	// takes is the time of a swap, runs that are finished among it.
	takes time.Duration
}

func (e *engine) settle(now time.Time) {
	if e.target != 0 && !now.Before(e.until) {
		e.version, e.target = e.target, 0
	}
}

func (e *engine) order(t Task, now time.Time) (accepted bool) {
	e.settle(now)
	if e.target != 0 || t.Expected != e.sequence {
		return false
	}
	e.sequence++
	e.target, e.until = t.Version, now.Add(e.takes)
	return true
}

// world plays a plan against engines on virtual time.
type world struct {
	plan    *Plan
	engines []*engine
	wanted  map[string]uint64
	now     time.Time
	// lose says whether an order's answer is lost, late whether the order itself
	// comes later; most is the largest number of engines that loaded at once.
	lose, late func() bool
	delayed    []func()
	most       int
}

func newWorld(n int, within time.Duration) *world {
	w := &world{plan: NewPlan(within), wanted: map[string]uint64{"m": 2}, now: time.Unix(1000, 0), lose: func() bool { return false }, late: func() bool { return false }}
	for i := range n {
		w.engines = append(w.engines, &engine{version: 1, takes: swapTime, Server: Server{ID: fmt.Sprint("s", i), Service: "x", Born: 1}})
	}
	return w
}

func (w *world) step() {
	w.now = w.now.Add(50 * time.Millisecond)
	var servers []Server
	byID := make(map[string]*engine)
	loading := 0
	for _, e := range w.engines {
		e.settle(w.now)
		if e.target != 0 {
			loading++
		}
		s := e.Server
		s.Versions = map[string]uint64{"m": e.version}
		servers = append(servers, s)
		byID[s.ID] = e
	}
	w.most = max(w.most, loading)
	for _, t := range w.plan.Next(servers, w.wanted, w.now) {
		e := byID[t.Server.ID]
		switch t.Step {
		case StepLook:
			w.plan.Looked(t.Server.ID, &Report{Versions: map[string]uint64{"m": e.version}, Busy: e.target != 0, Sequence: e.sequence}, w.wanted, w.now)
		case StepOrder:
			if w.late() {
				w.delayed = append(w.delayed, func() { e.order(t, w.now) })
				w.plan.Ordered(t.Server.ID, true, w.now)
				continue
			}
			accepted := e.order(t, w.now)
			w.plan.Ordered(t.Server.ID, accepted || w.lose(), w.now)
		}
	}
}

func (w *world) done() bool {
	for _, e := range w.engines {
		if e.version != w.wanted["m"] || e.target != 0 {
			return false
		}
	}
	return true
}

func TestAllServersChangeWithinTheBound(t *testing.T) {
	for _, n := range []int{1, 2, 9, 12, 72, 89} {
		w := newWorld(n, 8*time.Second)
		began := w.now
		for !w.done() && w.now.Sub(began) < time.Minute {
			w.step()
		}
		require.True(t, w.done())
		require.Less(t, w.now.Sub(began), 8*time.Second, "%d servers", n)
		require.LessOrEqual(t, w.most, max(2, (n+3)/4), "no more at once than the bound needs")
	}
}

// TestSlowSwapsAreMadeUpForByMoreAtOnce: load pattern, long runs. Each server takes
// over twice as long to change as expected, since its runs finish first.
func TestSlowSwapsAreMadeUpForByMoreAtOnce(t *testing.T) {
	const within, takes = 10 * time.Second, 3200 * time.Millisecond
	for _, n := range []int{12, 72, 90} {
		w := newWorld(n, within)
		for _, e := range w.engines {
			e.takes = takes
		}
		began := w.now
		for !w.done() && w.now.Sub(began) < time.Minute {
			w.step()
		}
		require.True(t, w.done())
		require.Less(t, w.now.Sub(began), within, "%d servers", n)
		require.LessOrEqual(t, w.most, n/2, "half of them carry the load")
	}
}

func TestVersionNamedMeanwhileIsTheOneThatCounts(t *testing.T) {
	w := newWorld(6, 8*time.Second)
	for range 30 {
		w.step()
	}
	w.wanted = map[string]uint64{"m": 5}
	for range 200 {
		w.step()
	}
	require.True(t, w.done())
}

// TestLostAndLateOrdersEndWell checks over random losses that every server ends
// on the version asked for, and that none goes back.
func TestLostAndLateOrdersEndWell(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(1, 8).Draw(t, "servers"), 8*time.Second)
		chance := func(name string) func() bool {
			return func() bool { return rapid.IntRange(0, 3).Draw(t, name) == 0 }
		}
		w.lose, w.late = chance("lose"), chance("late")
		last := make(map[string]uint64)
		for i := 0; i < 400; i++ {
			if i == 60 {
				w.wanted = map[string]uint64{"m": 3}
			}
			if i == 200 {
				w.late = func() bool { return false }
			}
			if len(w.delayed) > 0 && rapid.Bool().Draw(t, "arrives") {
				w.delayed[0]()
				w.delayed = w.delayed[1:]
			}
			w.step()
			for _, e := range w.engines {
				if e.version < last[e.ID] {
					t.Fatalf("%s went from %d to %d", e.ID, last[e.ID], e.version)
				}
				last[e.ID] = e.version
			}
		}
		if !w.done() {
			t.Fatal("not all servers changed")
		}
	})
}

func TestServersOfBothGroupsChangeSideBySide(t *testing.T) {
	var list []Server
	for i := range 12 {
		list = append(list, Server{ID: fmt.Sprint("s", i)})
	}
	turns := inTurn(list)
	require.Len(t, turns, 12)
	place := func(s Server) int {
		higher := 0
		for _, o := range list {
			if groupRank(o.ID) > groupRank(s.ID) {
				higher++
			}
		}
		return higher
	}
	require.Equal(t, 0, place(turns[0]))
	require.Equal(t, 11, place(turns[1]))
}

func TestStoresAreCleanedOnceNobodyReadsOldContexts(t *testing.T) {
	c, now := &cleaner{}, time.Unix(1000, 0)
	wanted := map[string]uint64{"m": 2}
	behind := []Server{{ID: "a", Versions: map[string]uint64{"m": 1}}}
	there := []Server{{ID: "a", Versions: map[string]uint64{"m": 2}}}
	require.False(t, c.due(wanted, behind, now))
	require.False(t, c.due(wanted, there, now.Add(cleanAfter-time.Second)), "the time counts from the last server behind")
	require.True(t, c.due(wanted, there, now.Add(cleanAfter)))
	require.False(t, c.due(wanted, there, now.Add(2*cleanAfter)), "once for a version")
	require.False(t, c.due(map[string]uint64{"m": 3}, there, now.Add(2*cleanAfter)))
}
