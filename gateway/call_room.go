package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/placement"
)

// ordered reports whether a request waits for room in the order of its position: one without a
// prompt, to a service whose servers are no engines. Brittle services have stricter rules, and a
// draining instance holds no calls: what it does not serve it refuses at once. The caller holds
// the state's lock.
func (c *call) ordered() bool {
	g := c.gateway
	return c.prompt == nil && c.service.Engine == nil && !c.state.brittle.Brittle && g.boundsCalls() && !g.drain.started()
}

// boundsCalls reports whether calls wait for room at all: where callers compete for it, in fleets that
// are divided into cells. There an instance alone sends a server too few calls to know its load.
func (g *Gateway) boundsCalls() bool {
	return g.terms.CallersCompete && g.policy.Enabled(dispatch.CallRoom) && placement.UsesCells(g.routing.Load().entryCount)
}

// sharesCalls reports whether this instance shares the calls that it has in progress at a server
// with the others, for the room there. The caller holds the state's lock.
func (g *Gateway) sharesCalls(b *backend) bool {
	return b.service.Engine == nil && b.tracker.Slots > 0 && g.boundsCalls()
}

// placementLoad returns the load of the other instances at a server by which servers are chosen.
// Their calls do not count for that: by updates that all have received, they would all choose the same
// server. The caller holds the state's lock.
func (g *Gateway) placementLoad(b *backend, others map[string]dispatch.Load) dispatch.Load {
	if b.service.Engine == nil && !b.state.brittle.Brittle {
		return dispatch.Load{}
	}
	return others[b.server]
}

// callTime returns the time that the client of a request without a prompt has.
func (c *call) callTime(now time.Time) dispatch.CallTime {
	since, objective := c.awaitedEvent()
	client := c.clientTime(now)
	return dispatch.CallTime{Objective: objective, Elapsed: now.Sub(since), Work: client.WorkTime(), Patience: client.LatestStart().Sub(now)}
}

// callRoom returns a function that reports the servers of a set without room for a call. The caller
// holds the state's lock.
func (g *Gateway) callRoom(c *call, set *candidateSet, now time.Time) func(i int) bool {
	t, others := c.callTime(now), g.peers.othersLoad()
	view := dispatch.CallView{Instances: g.routing.Load().entryCount, Queued: c.state.queue.Len() > 0, MaxWait: t.MaxWait()}
	return func(i int) bool {
		b := set.backends[i]
		view.Others, view.Chance = others[b.server], rand.Float64()
		return !b.tracker.HasCallRoom(view, now)
	}
}

// returnDelay returns the place in the line of those that return, for a call that is refused for want of
// room; false if servers have not taken calls of the queue lately.
func (c *call) returnDelay(jitter float64, now time.Time) (time.Duration, bool) {
	s := c.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.ordered() {
		return 0, false
	}
	rate := s.queue.Rate(now)
	if rate == 0 {
		return 0, false
	}
	t := c.callTime(now)
	if c.explained == nil {
		c.gateway.metrics.returnsTold.WithLabelValues(c.service.Name).Inc()
	}
	return s.line.Next(dispatch.Refusal{Rate: rate, Wait: s.queue.ExpectedWait(c.queuePosition(), now), Left: t.Patience, Jitter: jitter}, now), true
}

// setCallLoad sets this instance's calls in progress at a server without prompts. It schedules no
// update: the next one carries them, at the latest the one after callUpdateInterval. Calls come
// and end far more often.
func (p *peers) setCallLoad(server string, l dispatch.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callsChanged = p.callsChanged || p.ownLoad[server] != l
	if l == (dispatch.Load{}) {
		delete(p.ownLoad, server)
	} else {
		p.ownLoad[server] = l
	}
}

// callsDue reports whether calls have changed since the last update.
func (p *peers) callsDue() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.callsChanged
}
