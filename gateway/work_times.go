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

// callerTime returns the time that the client still has, and the work that is left.
func (c *call) callerTime(now time.Time) dispatch.CallerTime {
	t := dispatch.CallerTime{Deadline: c.deadline}
	t.ToEvent, t.ToEnd = c.gateway.workTimes.shortest(c.route.Name, now)
	if c.route.Kind != site.KindStream {
		return t
	}
	lastEventAt := c.lastEventAt.Load()
	if lastEventAt != 0 || c.request.LastEventID != "" {
		t.ToEnd = t.ToEvent // part of the stream has been sent, how much is not known
	}
	if c.route.ClientTimeout > 0 {
		t.LeavesAt = c.startedAt.Add(c.route.ClientTimeout)
		if lastEventAt != 0 {
			t.LeavesAt = time.Unix(0, lastEventAt).Add(c.route.ClientTimeout)
		}
	}
	return t
}

// timeLeft reports whether a server that gets the request now can still serve the client.
func (c *call) timeLeft(now time.Time) bool {
	t := c.callerTime(now)
	return !now.After(t.LatestStart())
}
