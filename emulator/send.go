package emulator

import (
	"time"

	"github.com/galenaarch/galenaarch/admission"
	"github.com/galenaarch/galenaarch/dispatch"
)

// send sends a request to a server.
func (r *play) send(c *call, s *server) {
	c.tried[s] = true
	k, b, sent := &r.pattern.Kinds[c.kind], c.entry.beliefs[s], r.now
	r.count(b, sent)
	work := dispatch.Work{PrefillTokens: c.decision.PrefillTokens, Deferred: c.behind()}
	if k.prompt() {
		work.MemoryTokens = k.size()
	}
	b.Sent(work, clock(sent))
	if _, pause := s.says(r.now); pause > 0 {
		r.shed(c, s, work)
		return
	}
	if k.prompt() {
		r.ask(c, s, work)
		return
	}
	got := s.serve(k, sent, r.random)
	dark, _, _ := s.trouble(sent)
	if dark > sent+patience && k.Repeatable && len(c.tried) < 2 && r.policy.Decisions.Enabled(dispatch.StallFailover) {
		r.at(sent+patience, func() {
			b.StopAwaiting(work)
			b.Release(work, 0)
			b.Failed(true, clock(r.now))
			r.again(c)
		})
		return
	}
	r.at(min(got.first, c.leaves), func() { r.answered(c, s, work, sent, got) })
}

// count notes a sending that a server has asked not to get.
func (r *play) count(b *known, at time.Duration) {
	if b.told > 0 && at > b.told {
		r.result.ToLeaving++
	}
	if at < b.paused {
		r.result.ToPaused++
	}
}

// shed is a server that turns a request away and names a time.
func (r *play) shed(c *call, s *server, work dispatch.Work) {
	b := c.entry.beliefs[s]
	b.ResponseStarted(work, clock(r.now))
	b.Release(work, 0)
	c.entry.hear(s, true, r.now, r.random.Float64())
	r.again(c)
}

// answered is the answer of a plain server.
func (r *play) answered(c *call, s *server, work dispatch.Work, sent time.Duration, got run) {
	b, k := c.entry.beliefs[s], &r.pattern.Kinds[c.kind]
	b.Release(work, r.now-sent)
	if r.now >= c.leaves && got.first > r.now {
		b.StopAwaiting(work)
		r.result.fail(c.kind)
		return
	}
	b.ResponseStarted(work, clock(r.now))
	r.report(c, s)
	switch {
	case got.refused:
		running, waiting := s.load(r.now)
		b.Shed(&dispatch.Report{Running: running, Waiting: waiting, Slots: s.slots}, clock(r.now))
		r.again(c)
	case got.failed:
		b.Failed(false, clock(r.now))
		if k.Repeatable {
			r.again(c)
			return
		}
		r.result.fail(c.kind)
	default:
		b.Succeeded(r.now-sent, clock(r.now))
		r.result.serve(c.kind, c.asked, r.now-c.asked)
	}
}

// report takes what a server says with its answer.
func (r *play) report(c *call, s *server) {
	running, waiting := s.load(r.now)
	c.entry.beliefs[s].ApplyReport(dispatch.Report{Running: running, Waiting: waiting, Slots: s.slots}, r.others(c.entry, s), clock(r.now))
	c.entry.hear(s, false, r.now, 0)
}

// ask sends a prompt to an engine.
func (r *play) ask(c *call, s *server, work dispatch.Work) {
	k, b, e, sent := &r.pattern.Kinds[c.kind], c.entry.beliefs[s], c.entry, r.now
	q := &reading{kind: k, part: c.part, deadline: c.leaves, rank: k.Rank}
	if work.Deferred {
		q.rank += laterRanks
	}
	fetched := r.stored[c.part] && s.held(c.part) < k.SharedTokens
	if fetched {
		b.AddTransfer(r.bringTime(k), clock(r.now))
		s.engine.linkFree = max(s.engine.linkFree, r.now) + r.bringTime(k)
		q.brought = s.engine.linkFree
		r.at(q.brought, func() { r.step(s) })
	}
	decision := c.decision
	q.first = func(failed bool) {
		b.ResponseStarted(work, clock(r.now))
		r.report(c, s)
		r.keep(c.part, k)
		if decision.Verdict == admission.Admit {
			e.errors[c.kind].Observe(decision.Estimate.ArrivalOrderWait, r.now-sent)
			r.result.estimated(c.kind, c.asked, decision.Estimate.ArrivalOrderWait, r.now-sent)
		}
		if decision.QueuedTokens == 0 && !fetched {
			e.reader.Observe(max(0, work.PrefillTokens-e.reader.StepTokens()), r.now-sent)
		}
		switch {
		case !failed:
			b.Succeeded(r.now-sent, clock(r.now))
			r.result.serve(c.kind, c.asked, r.now-c.asked)
		default:
			b.Failed(false, clock(r.now))
			q.over = true
			q.ended()
			if k.Repeatable {
				r.again(c)
				return
			}
			r.result.fail(c.kind)
		}
	}
	q.ended = func() {
		if !q.begun {
			b.StopAwaiting(work)
			if b.UnresponsiveSince(clock(sent), clock(r.now), &e.reader) {
				b.Failed(true, clock(r.now))
			}
			r.result.fail(c.kind)
		}
		b.Release(work, r.now-sent)
		e.line.Schedule()
	}
	r.prompt(s, q)
}

// laterRanks is how much less urgent a prompt is that is late anyway.
const laterRanks = 4

// keep has the store keep a part that was read, if it has room.
func (r *play) keep(part int, k *Kind) {
	if r.pattern.Engines.BringPerMS == 0 || k.Things == 0 || r.stored[part] || r.room < k.SharedTokens {
		return
	}
	r.stored[part] = true
	r.room -= k.SharedTokens
}

// again sends a request to a second server, if that is allowed.
func (r *play) again(c *call) {
	if len(c.tried) >= 2 || !c.entry.budget.TryRetry(clock(r.now)) {
		r.refuse(c)
		return
	}
	r.place(c)
}

// refuse answers a caller at once; some come back.
func (r *play) refuse(c *call) {
	r.result.refuse(c.kind, c.asked, r.now-c.came)
	at := r.random.Float64()
	if !r.policy.Decisions.Enabled(dispatch.RetryJitter) {
		at = 0
	}
	back := r.now + admission.RetryDelay(c.decision.Estimate, at)
	if c.returns == 0 || back >= c.deadline {
		r.result.fail(c.kind)
		return
	}
	c.returns--
	r.at(back, func() { r.come(c) })
}
