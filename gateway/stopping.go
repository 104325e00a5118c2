package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenaarch/galenaarch/config/site"
)

// Bounds of a stopping instance.
const (
	// graceMargin is kept of the grace period for the end of the process.
	graceMargin = 500 * time.Millisecond
	// finishMargin is added to the time that a request is expected to need: its
	// answer must have left before the process ends.
	finishMargin = 250 * time.Millisecond
	// goElsewhere is when a caller that a stopping instance turns away may come
	// back: at once, since the other instances have room for it.
	goElsewhere = 10 * time.Millisecond
	// longestDecay is the part of a route's longest time that is forgotten with
	// each answer that took less: some hundred answers count.
	longestDecay = 1.0 / 128
)

// stopping is the rule for what an instance that was told to stop still takes
// and finishes. Invariant: what is taken is expected to end before the process
// does, so that nothing that was accepted is cut off; all else is told at once
// that it has not run. Before the order to stop, everything is taken.
type stopping struct {
	// end is when the process must have finished, in nanoseconds of Unix time;
	// 0 before the order.
	end atomic.Int64
}

// order notes the order to stop, with the time that is left for it.
func (s *stopping) order(now time.Time, grace time.Duration) {
	s.end.Store(now.Add(grace - graceMargin).UnixNano())
}

// begun reports whether the instance is to stop.
func (s *stopping) begun() bool { return s.end.Load() != 0 }

// takes reports whether a request may still be taken that needs a time.
func (s *stopping) takes(now time.Time, needs time.Duration) bool {
	end := s.end.Load()
	return end == 0 || now.Add(needs+finishMargin).UnixNano() <= end
}

// over reports whether nothing more can be waited for.
func (s *stopping) over(now time.Time) bool {
	end := s.end.Load()
	return end != 0 && now.UnixNano() >= end
}

// needs is how long the requests of each route take from their arrival to the
// end of their answer: the longest of the last ones.
type needs struct {
	routes sync.Map // route name to *atomic.Int64, nanoseconds
}

// note counts an answered request.
func (n *needs) note(route string, took time.Duration) {
	value, ok := n.routes.Load(route)
	if !ok {
		value, _ = n.routes.LoadOrStore(route, new(atomic.Int64))
	}
	longest := value.(*atomic.Int64)
	for {
		old := longest.Load()
		next := max(int64(took), old-int64(float64(old)*longestDecay))
		if next == old || longest.CompareAndSwap(old, next) {
			return
		}
	}
}

// of is what a request of a route is expected to need; the route's own bound
// where none was answered yet.
func (n *needs) of(route string, timeout time.Duration) time.Duration {
	value, ok := n.routes.Load(route)
	if !ok {
		return timeout
	}
	return min(timeout, time.Duration(value.(*atomic.Int64).Load()))
}

// keep forgets the routes that are no longer in the document.
func (n *needs) keep(routes []site.Route) {
	known := make(map[string]bool, len(routes))
	for i := range routes {
		known[routes[i].Name] = true
	}
	n.routes.Range(func(route, _ any) bool {
		if !known[route.(string)] {
			n.routes.Delete(route)
		}
		return true
	})
}
