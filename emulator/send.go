package emulator

import (
	"time"

	"github.com/galenaarch/galenaarch/admission"
	"github.com/galenaarch/galenaarch/dispatch"
)

// send sends a request to a server and schedules its outcome.
func (r *simulation) send(req *request, s *server) {
	req.tried[s] = true
	k, state, sentAt := &r.pattern.Kinds[req.kind], req.instance.states[s], r.now
	r.countSignalViolations(state, sentAt)
	work := dispatch.Work{PrefillTokens: req.decision.PrefillTokens, Deferred: req.deferred()}
	if k.isPrompt() {
		work.MemoryTokens = k.peakMemory()
	}
	state.takePermit(sentAt)
	if s.rateLimit(sentAt).Limited {
		s.limitedArrivals = append(s.limitedArrivals, sentAt)
	}
	state.Sent(work, toTime(sentAt))
	if sentAt < s.downUntil {
		state.StopAwaiting(work)
		state.Release(work, 0)
		state.Failed(true, toTime(sentAt))
		r.resend(req)
		return
	}
	if r.hasCrashes() {
		r.countCrashing(req)
		req.instance.evidence.Sent(r.parts(req), toTime(sentAt))
	}
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
	if respondsAt > sentAt+responseTimeout && k.Retryable && len(req.tried) < 2 && r.policy.Mechanisms.Enabled(dispatch.StallFailover) {
		r.schedule(sentAt+responseTimeout, func() {
			state.StopAwaiting(work)
			state.Release(work, 0)
			state.Failed(true, toTime(r.now))
			r.resend(req)
		})
		return
	}
	r.schedule(min(outcome.responseAt, req.givesUpAt), func() { r.finishPlain(req, s, work, sentAt, outcome) })
}

// countSignalViolations counts a request that is sent to a server although the server
// has reported to the instance that it is leaving or paused.
func (r *simulation) countSignalViolations(state *serverState, at time.Duration) {
	if state.leavingSince > 0 && at > state.leavingSince {
		r.result.SentToLeaving++
	}
	if at < state.pauseEnd {
		r.result.SentToPaused++
	}
}

// rejectPaused makes a paused server reject a request and ask for a pause.
func (r *simulation) rejectPaused(req *request, s *server, work dispatch.Work) {
	state := req.instance.states[s]
	state.ResponseStarted(work, toTime(r.now))
	state.Release(work, 0)
	req.instance.recordSignals(s, true, r.now, r.random.Float64())
	r.resend(req)
}

// finishPlain handles the response of a plain server, or the end of the client's wait
// for it.
func (r *simulation) finishPlain(req *request, s *server, work dispatch.Work, sentAt time.Duration, outcome plainOutcome) {
	state, k := req.instance.states[s], &r.pattern.Kinds[req.kind]
	state.ReleasedAt(work, r.now-sentAt, toTime(r.now))
	defer req.instance.calls.Schedule()
	if r.now >= req.givesUpAt && outcome.responseAt > r.now {
		state.StopAwaiting(work)
		r.result.recordFailure(req.kind)
		return
	}
	state.ResponseStarted(work, toTime(r.now))
	r.recordReport(req, s)
	switch {
	case outcome.rejected:
		r.result.RejectedAtServers++
		running, waiting := s.load(r.now)
		state.Rejected(&dispatch.Report{Running: running, Waiting: waiting, Slots: s.slots}, toTime(r.now))
		r.resend(req)
	case outcome.failed:
		state.Failed(false, toTime(r.now))
		if k.Retryable {
			r.resend(req)
			return
		}
		r.result.recordFailure(req.kind)
	default:
		state.Succeeded(r.now-sentAt, toTime(r.now))
		r.result.recordResponse(req.kind, req.firstArrival, r.now-req.firstArrival)
	}
}

// recordReport records the load that a server reports with its response.
func (r *simulation) recordReport(req *request, s *server) {
	running, waiting := s.load(r.now)
	req.instance.states[s].ApplyReport(dispatch.Report{Running: running, Waiting: waiting, Slots: s.slots}, r.othersLoad(req.instance, s), toTime(r.now))
	req.instance.recordSignals(s, false, r.now, 0)
}

// sendPrompt sends a prompt to an engine.
func (r *simulation) sendPrompt(req *request, s *server, work dispatch.Work) {
	k, state, e, sentAt := &r.pattern.Kinds[req.kind], req.instance.states[s], req.instance, r.now
	q := &engineRequest{request: req, kind: k, prefix: req.prefix, deadline: req.givesUpAt, rank: k.Rank}
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
	if r.pattern.Fleet.Domains > 0 {
		r.result.Spread.sent(req.kind, s)
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
			r.recordAnswered(req)
			r.result.recordResponse(req.kind, req.firstArrival, r.now-req.firstArrival)
		default:
			state.Failed(false, toTime(r.now))
			q.finished = true
			q.onEnd()
			if k.Retryable {
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
			r.recordFailure(req)
		}
		state.Release(work, r.now-sentAt)
		e.queue.Schedule()
	}
	q.onLost = func() {
		state.StopAwaiting(work)
		state.Release(work, r.now-sentAt)
		state.Failed(true, toTime(r.now))
	}
	r.enqueue(s, q)
}

// deferredRankOffset is added to the rank of a deferred prompt, one that is expected to
// miss its objective.
const deferredRankOffset = 4

// storePrefix adds a prefilled prefix to the store if it fits.
func (r *simulation) storePrefix(prefix int, k *RequestKind) {
	if r.pattern.Engines.ImportTokensPerMS == 0 || k.PrefixCount == 0 || r.storedPrefixes[prefix] || r.storeFreeTokens < k.PrefixTokens {
		return
	}
	r.storedPrefixes[prefix] = true
	r.storeFreeTokens -= k.PrefixTokens
}

// resend retries a request at a second server if the retry budget allows it, and
// refuses it otherwise.
func (r *simulation) resend(req *request) {
	if len(req.tried) >= 2 || !req.instance.retryBudget.TryRetry(toTime(r.now)) {
		r.refuse(req)
		return
	}
	r.route(req)
}

// refuse refuses a request. A client with returns left sends it again after the retry
// delay, unless the deadline comes first.
func (r *simulation) refuse(req *request) {
	if req.crashes {
		return
	}
	r.result.recordRefusal(req.kind, req.firstArrival, r.now-req.lastArrival)
	jitter := r.random.Float64()
	if !r.policy.Mechanisms.Enabled(dispatch.RetryJitter) {
		jitter = 0
	}
	returnAt := r.now + r.returnDelay(req, jitter)
	if req.returnsLeft == 0 || returnAt >= req.deadline {
		r.result.recordFailure(req.kind)
		return
	}
	req.returnsLeft--
	r.schedule(returnAt, func() { r.arrive(req) })
}
