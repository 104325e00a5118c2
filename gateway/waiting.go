package gateway

import (
	"context"
	"time"

	"github.com/galenaarch/galenaarch/dispatch"
)

// queueRecheckInterval is how often queued requests are reconsidered even if nothing
// changed.
const queueRecheckInterval = 40 * time.Millisecond

// placementResult is the backend chosen for a request, or the reason why there is
// none.
type placementResult struct {
	backend *backend
	reason  rejectReason
}

// place chooses a server for a request and counts its load there. A prompt is queued
// while all servers are full, and so is, for a while, any request to a brittle service. A request that only rate-limited servers can take waits up
// to dispatch.MaxPermitWait for a permit. Without a server, the backend is nil and the
// reason is set.
func (g *Gateway) place(ctx context.Context, c *call) placementResult {
	deadline, refused := time.Now().Add(dispatch.MaxPermitWait), 0
	for {
		c.prepareCauses() // evidence may have come during the wait
		arrival := g.permits.arrival()
		result := g.placeOnce(ctx, c)
		if result.backend != nil && !g.bookings.confirm(ctx, c, result.backend, refused) {
			c.undoReservation(result.backend)
			refused++
			c.bookingsRefused++
			continue
		}
		if result.backend != nil || result.reason != reasonNoServer || len(c.rateLimited) == 0 || !g.permits.await(ctx, arrival, c.rateLimited, deadline) {
			return result
		}
	}
}

// placeOnce is place without the wait for a permit.
func (g *Gateway) placeOnce(ctx context.Context, c *call) placementResult {
	result, w, results := g.placeOrEnqueue(c)
	if w == nil {
		return result
	}
	g.metrics.queued.Inc()
	defer g.metrics.queued.Dec()
	startedAt := time.Now()
	result = g.await(ctx, c, w, results)
	waited := time.Since(startedAt)
	c.waiter, c.queueTime = nil, c.queueTime+waited
	g.metrics.waitTime.WithLabelValues(c.service.Name).Observe(waited.Seconds())
	return result
}

// placeOrEnqueue decides on a request. The waiter is nil unless it was queued; its result
// is then sent to results.
func (g *Gateway) placeOrEnqueue(c *call) (placementResult, *dispatch.Waiter, chan placementResult) {
	s := c.state
	s.mu.Lock()
	defer s.mu.Unlock()
	result, queued := g.tryPlace(c, c.claimedAhead(), time.Now())
	if queued && s.queue.Full() {
		result, queued = placementResult{reason: reasonNoCapacity}, false
	}
	if !queued {
		return result, nil, nil
	}
	results := make(chan placementResult, 1)
	return placementResult{}, g.enqueue(c, results), results
}

// claimedAhead returns the servers that requests ahead of a new one wait for. The caller holds the
// state's lock.
func (c *call) claimedAhead() map[string]bool {
	if c.prompt == nil && !c.ordered() {
		return nil
	}
	return c.state.queue.Claimed(c.queuePosition())
}

// enqueue queues a request. The caller holds the state's lock.
func (g *Gateway) enqueue(c *call, results chan<- placementResult) *dispatch.Waiter {
	w := &dispatch.Waiter{Position: c.queuePosition(), MemoryTokens: c.job().MemoryTokens}
	w.Try = func(claimed map[string]bool) (bool, string) {
		now := time.Now()
		result, queued := g.tryPlace(c, claimed, now)
		if !queued {
			if result.backend != nil {
				c.state.queue.Placed(now)
			}
			results <- result
			return true, ""
		}
		w.Position = c.queuePosition()
		return false, c.awaitedServer
	}
	c.waiter = w
	c.state.queue.Add(w, time.Now())
	return w
}

// await waits until a request is placed or its context ends.
func (g *Gateway) await(ctx context.Context, c *call, w *dispatch.Waiter, results chan placementResult) placementResult {
	s := c.state
	recheck := time.NewTicker(queueRecheckInterval)
	defer recheck.Stop()
	for {
		select {
		case result := <-results:
			return result
		case <-ctx.Done():
			if result := c.leaveQueue(w, results); result.backend != nil {
				c.undoReservation(result.backend)
			}
			return placementResult{reason: reasonDeadline}
		case now := <-recheck.C:
			c.prepareCauses()
			s.recheck(now)
			if !c.timeLeft(now) {
				return c.leaveQueue(w, results)
			}
		}
	}
}

// leaveQueue removes a request from the queue that no server can serve in its client's time any more,
// unless its result has just been decided.
func (c *call) leaveQueue(w *dispatch.Waiter, results <-chan placementResult) placementResult {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	select {
	case result := <-results:
		return result
	default:
		c.state.queue.Remove(w)
		return placementResult{reason: reasonDeadline}
	}
}

// recheck reconsiders the queued requests unless that was done just now.
func (s *serviceState) recheck(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastRecheck) >= queueRecheckInterval/2 {
		s.lastRecheck = now
		s.queue.Schedule()
	}
}

// queuePosition returns the position of the request in the queue of its service. The caller holds the
// state's lock.
func (c *call) queuePosition() dispatch.Position {
	if c.ordered() {
		now := time.Now()
		t := c.callTime(now)
		return dispatch.Position{Priority: c.priority(), StartBy: t.StartBy(now)}
	}
	since, objective := c.awaitedEvent()
	startBy := since.Add(objective)
	if c.deferred() {
		startBy = c.leavesAt(time.Now())
	}
	if c.prompt != nil {
		prefillTime := c.state.prefill.Overhead() + time.Duration(float64(c.prompt.Tokens)/c.state.prefill.Rate()*float64(time.Millisecond))
		startBy = startBy.Add(-prefillTime)
	}
	return dispatch.Position{Priority: c.priority(), StartBy: startBy}
}
