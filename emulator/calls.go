package emulator

import (
	"time"

	"github.com/galenaarch/galenaarch/admission"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/placement"
)

// queueFor returns the queue in which a kind of request waits.
func (e *entryInstance) queueFor(k *RequestKind) *dispatch.WaitQueue {
	if k.isPrompt() {
		return &e.queue
	}
	return &e.calls
}

// callTime returns the time that the client of a plain request has.
func (r *simulation) callTime(req *request) dispatch.CallTime {
	k := &r.pattern.Kinds[req.kind]
	work := milliseconds(k.ServiceTimeMS)
	return dispatch.CallTime{Objective: milliseconds(k.ObjectiveMS), Elapsed: r.now - req.lastArrival, Work: work, Patience: req.givesUpAt - work - r.now}
}

// callPosition returns the position of a plain request in its instance's queue.
func (r *simulation) callPosition(req *request) dispatch.Position {
	t := r.callTime(req)
	return dispatch.Position{Priority: r.pattern.Kinds[req.kind].Rank, StartBy: t.StartBy(toTime(r.now))}
}

// hasCallRoom reports whether a plain request may be sent to a server.
func (r *simulation) hasCallRoom(req *request, s *server) bool {
	e, t := req.instance, r.callTime(req)
	return e.states[s].HasCallRoom(dispatch.CallView{
		Others: r.toldCalls(e, s), Instances: len(r.entries), Queued: e.calls.Len() > 0, MaxWait: t.MaxWait(), Chance: r.callRandom.Float64(),
	}, toTime(r.now))
}

// returnDelay returns the time after which the client of a refused request may send it again.
func (r *simulation) returnDelay(req *request, jitter float64) time.Duration {
	k, e, now := &r.pattern.Kinds[req.kind], req.instance, toTime(r.now)
	rate := e.calls.Rate(now)
	if k.isPrompt() || rate == 0 || !r.boundsCalls() {
		return admission.RetryDelay(req.decision.Estimate, jitter)
	}
	left := req.deadline - milliseconds(k.ServiceTimeMS) - r.now
	return e.returns.Next(dispatch.Refusal{Rate: rate, Wait: e.calls.ExpectedWait(r.callPosition(req), now), Left: left, Jitter: jitter}, now)
}

// scheduleCallUpdates lets each entry instance tell the others its load at plain servers every UpdateMS,
// one after the other.
func (r *simulation) scheduleCallUpdates() {
	interval := milliseconds(r.pattern.UpdateMS)
	if interval == 0 {
		return
	}
	for i, e := range r.entries {
		var tell func()
		tell = func() {
			if !r.chanceOf("lost-updates") {
				e.told = make(map[*server]dispatch.Load)
				for _, s := range r.plainServers {
					e.told[s] = e.states[s].OwnLoad()
				}
			}
			if r.now+interval < seconds(r.pattern.Seconds) {
				r.schedule(r.now+interval, tell)
			}
		}
		r.schedule(interval*time.Duration(i)/time.Duration(len(r.entries)), tell)
	}
}

// chanceOf draws with the probability of the faults of a kind that are active.
func (r *simulation) chanceOf(kind string) bool {
	for i := range r.pattern.Faults {
		if f := &r.pattern.Faults[i]; f.Kind == kind && f.active(r.now) && r.callRandom.Float64() < f.Magnitude {
			return true
		}
	}
	return false
}

// toldCalls returns what the other entry instances have told of their load at a plain server.
func (r *simulation) toldCalls(e *entryInstance, s *server) (sum dispatch.Load) {
	if r.pattern.UpdateMS == 0 {
		return r.othersLoad(e, s)
	}
	for i, other := range r.entries {
		if other != e {
			sum.Requests += other.told[s].Requests
			continue
		}
		for j := range r.pattern.Faults {
			if f := &r.pattern.Faults[j]; f.Kind == "deaf" && f.active(r.now) && float64(i) < f.ServerShare*float64(len(r.entries)) {
				return dispatch.Load{}
			}
		}
	}
	return sum
}

// countHeld counts a plain request that begins to wait beside a free slot.
func (r *simulation) countHeld(req *request) {
	if r.pattern.Kinds[req.kind].isPrompt() {
		return
	}
	for _, s := range r.plainServers {
		running, _ := s.load(r.now)
		if respondsAt, _, _ := s.conditions(r.now); respondsAt <= r.now && running < s.slots && !req.tried[s] {
			r.result.HeldBesideSlots++
			return
		}
	}
}

// boundsCalls reports whether calls wait for room, as in the gateway.
func (r *simulation) boundsCalls() bool {
	return r.policy.Mechanisms.Enabled(dispatch.CallRoom) && placement.UsesCells(r.pattern.Entries)
}
