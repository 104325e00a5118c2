package gateway

import (
	"sync"
	"time"

	"github.com/galenaarch/galenaarch/config/site"
	"github.com/galenaarch/galenaarch/dispatch"
)

// workTimes are the shortest times that servers have lately taken for the requests of each route:
// the work that is left of a request takes at least as long.
type workTimes struct {
	routes sync.Map // route name to *routeWork
}

// routeWork is that of one route, from when a request is sent to a server: to its first event, and
// to the end of its response.
type routeWork struct {
	mu             sync.Mutex
	toEvent, toEnd dispatch.RecentTimes
}

func (w *workTimes) route(name string) *routeWork {
	value, ok := w.routes.Load(name)
	if !ok {
		value, _ = w.routes.LoadOrStore(name, new(routeWork))
	}
	return value.(*routeWork)
}

// recordEvent adds an attempt whose first event has arrived.
func (w *workTimes) recordEvent(route string, took time.Duration, now time.Time) {
	r := w.route(route)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.toEvent.Observe(took, now)
}

// recordEnd adds an attempt that has served a whole response.
func (w *workTimes) recordEnd(route string, took time.Duration, now time.Time) {
	r := w.route(route)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.toEnd.Observe(took, now)
}

// shortest returns the shortest recent times of a route; 0 for those that are not known.
func (w *workTimes) shortest(route string, now time.Time) (toEvent, toEnd time.Duration) {
	r := w.route(route)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.toEvent.Shortest(now), r.toEnd.Shortest(now)
}

// peek is shortest without forgetting old times.
func (w *workTimes) peek(route string, now time.Time) (toEvent, toEnd time.Duration) {
	value, ok := w.routes.Load(route)
	if !ok {
		return 0, 0
	}
	r := value.(*routeWork)
	r.mu.Lock()
	events, ends := r.toEvent, r.toEnd
	r.mu.Unlock()
	return events.Shortest(now), ends.Shortest(now)
}

// retain removes the routes that are no longer in the site document.
func (w *workTimes) retain(routes []site.Route) {
	known := make(map[string]bool, len(routes))
	for i := range routes {
		known[routes[i].Name] = true
	}
	w.routes.Range(func(route, _ any) bool {
		if !known[route.(string)] {
			w.routes.Delete(route)
		}
		return true
	})
}

// clientTime returns the time that the client still has, and the work that is left.
func (c *call) clientTime(now time.Time) dispatch.ClientTime {
	t := dispatch.ClientTime{Deadline: c.deadline}
	if c.explained != nil {
		t.ToEvent, t.ToEnd = c.gateway.workTimes.peek(c.route.Name, now)
	} else {
		t.ToEvent, t.ToEnd = c.gateway.workTimes.shortest(c.route.Name, now)
	}
	if c.route.Kind != site.KindStream {
		return t
	}
	if c.lastEventAt.Load() != 0 || c.request.LastEventID != "" {
		t.ToEnd = t.ToEvent // part of the stream has been sent, how much is not known
	}
	if c.route.ClientTimeout > 0 {
		since, _ := c.awaitedEvent()
		t.LeavesAt = since.Add(c.route.ClientTimeout)
	}
	return t
}

// awaitedEvent returns since when the client waits for the next event, and the target for how long
// it should: the latency objective for the first one, the target gap for the others. A request
// that is no stream awaits its response as one event.
func (c *call) awaitedEvent() (since time.Time, objective time.Duration) {
	if at := c.lastEventAt.Load(); at != 0 {
		return fromMonotonic(at), max(c.route.TargetLatency, c.route.TargetEventGap)
	}
	return c.startedAt, c.route.TargetLatency
}

// leavesAt returns when the client leaves if no event comes: at its deadline, or sooner if it
// waits less long for an event.
func (c *call) leavesAt(now time.Time) time.Time {
	if c.route.ClientTimeout > 0 {
		since, _ := c.awaitedEvent()
		if leaves := since.Add(c.route.ClientTimeout); leaves.After(now) && leaves.Before(c.deadline) {
			return leaves
		}
	}
	return c.deadline
}

// timeLeft reports whether a server that gets the request now can still serve the client.
func (c *call) timeLeft(now time.Time) bool {
	t := c.clientTime(now)
	return !now.After(t.LatestStart())
}
