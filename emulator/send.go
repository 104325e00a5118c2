package emulator

import (
	"time"

	"github.com/galenaarch/galenaarch/admission"
	"github.com/galenaarch/galenaarch/dispatch"
)

// send sends a request to a server.
func (r *simulation) send(req *request, s *server) {
	req.tried[s] = true
	k, state, sentAt := &r.pattern.Kinds[req.kind], req.instance.states[s], r.now
	r.countUnwanted(state, sentAt)
	work := dispatch.Work{PrefillTokens: req.decision.PrefillTokens, Deferred: req.deferred()}
	if k.isPrompt() {
		work.MemoryTokens = k.peakMemory()
	}
	state.Sent(work, toTime(sentAt))
	if _, pause := s.signals(r.now); pause > 0 {
		r.rejectPaused(req, s, work)
		return
	}
	if k.isPrompt() {
		r.sendPrompt(req, s, work)
		return
	}
	outcome := s.serve(k, sentAt, r.random)
	respondsAt, _, _ := s.conditions(sentAt)
	if respondsAt > sentAt+answerTimeout && k.Repeatable && len(req.tried) < 2 && r.policy.Decisions.Enabled(dispatch.StallFailover) {
		r.schedule(sentAt+answerTimeout, func() {
			state.StopAwaiting(work)
			state.Release(work, 0)
			state.Failed(true, toTime(r.now))
			r.resend(req)
		})
		return
	}
	r.schedule(min(outcome.answeredAt, req.givesUpAt), func() { r.finishPlain(req, s, work, sentAt, outcome) })
}

// countUnwanted counts requests sent to a draining or paused server.
func (r *simulation) countUnwanted(state *serverState, at time.Duration) {
	if state.drainingSince > 0 && at > state.drainingSince {
		r.result.SentToLeaving++
	}
	if at < state.pauseEnd {
		r.result.SentToPaused++
	}
}

// rejectPaused has a paused server reject a request and name the time to come back.
func (r *simulation) rejectPaused(req *request, s *server, work dispatch.Work) {
	state := req.instance.states[s]
	state.ResponseStarted(work, toTime(r.now))
	state.Release(work, 0)
	req.instance.recordSignals(s, true, r.now, r.random.Float64())
	r.resend(req)
}

// finishPlain handles the answer of a plain server.
func (r *simulation) finishPlain(req *request, s *server, work dispatch.Work, sentAt time.Duration, outcome plainOutcome) {
	state, k := req.instance.states[s], &r.pattern.Kinds[req.kind]
	state.Release(work, r.now-sentAt)
	if r.now >= req.givesUpAt && outcome.answeredAt > r.now {
		state.StopAwaiting(work)
		r.result.recordFailure(req.kind)
		return
	}
	state.ResponseStarted(work, toTime(r.now))
	r.recordReport(req, s)
	switch {
	case outcome.refused:
		running, waiting := s.load(r.now)
		state.Rejected(&dispatch.Report{Running: running, Waiting: waiting, Slots: s.slots}, toTime(r.now))
		r.resend(req)
	case outcome.failed:
		state.Failed(false, toTime(r.now))
		if k.Repeatable {
			r.resend(req)
			return
		}
		r.result.recordFailure(req.kind)
	default:
		state.Succeeded(r.now-sentAt, toTime(r.now))
		r.result.recordAnswer(req.kind, req.firstArrival, r.now-req.firstArrival)
	}
}

// recordReport records the load that a server reports with its answer.
func (r *simulation) recordReport(req *request, s *server) {
	running, waiting := s.load(r.now)
	req.instance.states[s].ApplyReport(dispatch.Report{Running: running, Waiting: waiting, Slots: s.slots}, r.othersLoad(req.instance, s), toTime(r.now))
	req.instance.recordSignals(s, false, r.now, 0)
}

// sendPrompt sends a prompt to an engine.
func (r *simulation) sendPrompt(req *request, s *server, work dispatch.Work) {
	k, state, e, sentAt := &r.pattern.Kinds[req.kind], req.instance.states[s], req.instance, r.now
	q := &engineRequest{kind: k, prefix: req.prefix, deadline: req.givesUpAt, rank: k.Rank}
	if work.Deferred {
		q.rank += deferredRankOffset
	}
	importing := r.storedPrefixes[req.prefix] && s.cachedTokens(req.prefix) < k.PrefixTokens
	if importing {
		state.AddTransfer(r.importTime(k), toTime(r.now))
		s.engine.linkFreeAt = max(s.engine.linkFreeAt, r.now) + r.importTime(k)
		q.importedAt = s.engine.linkFreeAt
		r.schedule(q.importedAt, func() { r.startStep(s) })
	}
	decision := req.decision
	q.onFirstToken = func(failed bool) {
		state.ResponseStarted(work, toTime(r.now))
		r.recordReport(req, s)
		r.storePrefix(req.prefix, k)
		if decision.Verdict == admission.Admit {
			e.estimateErrors[req.kind].Observe(decision.Estimate.ArrivalOrderWait, r.now-sentAt)
			r.result.recordEstimate(req.kind, req.firstArrival, decision.Estimate.ArrivalOrderWait, r.now-sentAt)
		}
		if decision.QueuedTokens == 0 && !importing {
			e.prefillModel.Observe(max(0, work.PrefillTokens-e.prefillModel.StepTokens()), r.now-sentAt)
		}
		switch {
		case !failed:
			state.Succeeded(r.now-sentAt, toTime(r.now))
			r.result.recordAnswer(req.kind, req.firstArrival, r.now-req.firstArrival)
		default:
			state.Failed(false, toTime(r.now))
			q.finished = true
			q.onEnd()
			if k.Repeatable {
				r.resend(req)
				return
			}
			r.result.recordFailure(req.kind)
		}
	}
	q.onEnd = func() {
		if !q.started {
			state.StopAwaiting(work)
			if state.UnresponsiveSince(toTime(sentAt), toTime(r.now), &e.prefillModel) {
				state.Failed(true, toTime(r.now))
			}
			r.result.recordFailure(req.kind)
		}
		state.Release(work, r.now-sentAt)
		e.queue.Schedule()
	}
	r.enqueue(s, q)
}

// deferredRankOffset is added to the rank of a prompt that will miss its objective
// anyway.
const deferredRankOffset = 4

// storePrefix adds a prefilled prefix to the store if it fits.
func (r *simulation) storePrefix(prefix int, k *RequestKind) {
	if r.pattern.Engines.ImportTokensPerMS == 0 || k.PrefixCount == 0 || r.storedPrefixes[prefix] || r.storeFreeTokens < k.PrefixTokens {
		return
	}
	r.storedPrefixes[prefix] = true
	r.storeFreeTokens -= k.PrefixTokens
}

// resend routes a request to a second server if the retry budget allows it, and
// else refuses it.
func (r *simulation) resend(req *request) {
	if len(req.tried) >= 2 || !req.instance.retryBudget.TryRetry(toTime(r.now)) {
		r.refuse(req)
		return
	}
	r.route(req)
}

// refuse answers a client at once. A client with attempts left comes back later.
func (r *simulation) refuse(req *request) {
	r.result.recordRefusal(req.kind, req.firstArrival, r.now-req.lastArrival)
	spread := r.random.Float64()
	if !r.policy.Decisions.Enabled(dispatch.RetryJitter) {
		spread = 0
	}
	returnAt := r.now + admission.RetryDelay(req.decision.Estimate, spread)
	if req.returnsLeft == 0 || returnAt >= req.deadline {
		r.result.recordFailure(req.kind)
		return
	}
	req.returnsLeft--
	r.schedule(returnAt, func() { r.arrive(req) })
}
