package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenaarch/galenaarch/config/site"
)

// Time limits of a draining instance.
const (
	// graceMargin is the end of the grace period that is reserved for process exit.
	graceMargin = 500 * time.Millisecond
	// finishMargin is added to the expected duration of a request: its response must
	// be sent before the process exits.
	finishMargin = 250 * time.Millisecond
	// maxSilence is how long a sound server may send nothing in the middle of a stream:
	// the shortest time that clients wait for the next event. It is reserved for
	// streams, which can only be cut, up to maxSilenceShare of the grace period.
	maxSilence      = 2 * time.Second
	maxSilenceShare = 0.25
	// answerTimeout is how long requests without a response get to receive one after
	// lingerTime and shutdownTimeout. The sum of the three, and flushTimeout, is below
	// graceMargin.
	answerTimeout = 150 * time.Millisecond
	// drainRetryAfter is when a client that a draining instance rejects may retry: at
	// once, since the other instances have capacity.
	drainRetryAfter = 10 * time.Millisecond
	// estimatedArrivalTime is how long after the start of a drain requests may count on the
	// usual duration of their route. Later ones must end in time even if their server takes
	// as long as their timeout allows.
	estimatedArrivalTime = 3 * time.Second
	// longestDecay is the share by which a route's longest duration decays with each
	// shorter response: about the last hundred responses count.
	longestDecay = 1.0 / 128
)

// drainState decides which requests a draining instance still accepts. Invariant: an
// accepted request is expected to end before the process does, so that none is cut
// off; all others are rejected at once as not run. Before the drain starts,
// everything is accepted.
type drainState struct {
	// deadline is when the process must have finished, in nanoseconds of Unix time; 0
	// before the drain.
	deadline atomic.Int64
	// silence is reserved for the servers of streams, in nanoseconds.
	silence atomic.Int64
	// ended is set when no further request is accepted.
	ended atomic.Bool
	// estimatedUntil ends estimatedArrivalTime, in nanoseconds of Unix time.
	estimatedUntil atomic.Int64
}

func (s *drainState) start(now time.Time, grace time.Duration) {
	s.estimatedUntil.Store(now.Add(estimatedArrivalTime).UnixNano())
	s.silence.Store(int64(min(maxSilence, time.Duration(maxSilenceShare*float64(grace)))))
	s.deadline.Store(now.Add(grace - graceMargin).UnixNano())
}

// end ends the drain: no further request is accepted.
func (s *drainState) end() { s.ended.Store(true) }

func (s *drainState) started() bool { return s.deadline.Load() != 0 }

// admits reports whether a request with the given expected duration may still be
// accepted.
func (s *drainState) admits(now time.Time, needed time.Duration, kind site.Kind) bool {
	if s.ended.Load() {
		return false
	}
	deadline := s.deadline.Load()
	if kind == site.KindStream {
		needed += time.Duration(s.silence.Load())
	}
	return deadline == 0 || now.Add(needed+finishMargin).UnixNano() <= deadline
}

// endsInTime reports whether the request, if it goes on now, may be passed on to a server by
// a draining instance. durations are those from now on to the end of the response.
func (c *call) endsInTime(now time.Time, durations *routeDurations) bool {
	drain := &c.gateway.drain
	if !drain.started() {
		return true
	}
	needed := c.deadline.Sub(now)
	if c.receivedAt.UnixNano() <= drain.estimatedUntil.Load() {
		needed = durations.estimate(c.route.Name, needed)
	}
	return drain.admits(now, needed, c.route.Kind)
}

// expired reports whether the time for draining is over.
func (s *drainState) expired(now time.Time) bool {
	deadline := s.deadline.Load()
	return deadline != 0 && now.UnixNano() >= deadline
}

// routeDurations tracks how long the requests of each route take to the end of the
// response, from their arrival or from when they were sent to a server: the longest of the
// recent ones.
type routeDurations struct {
	routes sync.Map // route name to *routeDuration
}

// routeDuration is that of one route. count is the number of its requests so far, longest
// in nanoseconds.
type routeDuration struct{ count, longest atomic.Int64 }

// minDurations is the number of requests from which on the longest one counts: that of
// fewer is often much shorter than what follows.
const minDurations = 50

// record adds a request that got a response.
func (n *routeDurations) record(route string, took time.Duration) {
	value, ok := n.routes.Load(route)
	if !ok {
		value, _ = n.routes.LoadOrStore(route, new(routeDuration))
	}
	d := value.(*routeDuration)
	defer d.count.Add(1)
	for {
		old := d.longest.Load()
		next := max(int64(took), old-int64(float64(old)*longestDecay))
		if next == old || d.longest.CompareAndSwap(old, next) {
			return
		}
	}
}

// estimate returns the expected duration of a request of a route, at most timeout; it
// is timeout if fewer than minDurations requests of the route have got a response.
func (n *routeDurations) estimate(route string, timeout time.Duration) time.Duration {
	value, ok := n.routes.Load(route)
	if !ok || value.(*routeDuration).count.Load() < minDurations {
		return timeout
	}
	return min(timeout, time.Duration(value.(*routeDuration).longest.Load()))
}

// retain removes the routes that are no longer in the site document.
func (n *routeDurations) retain(routes []site.Route) {
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
