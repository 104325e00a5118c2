package emulator

import (
	"fmt"
	"slices"
	"time"

	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/internal/priority"
)

// Times of engines that crash, and of the exchange of evidence between the instances.
const (
	restartTime   = 4 * time.Second
	confirmTime   = 40 * time.Millisecond  // until an instance knows that an engine has ended
	exchangeTime  = 100 * time.Millisecond // until the others have an instance's report
	crashingPart  = "crashing"
	promptService = "engines"
)

// The users' bound on the requests with a part that crashes servers.
const (
	crashGrace        = 3 * time.Second
	crashesUntilGrace = 5
)

// hasCrashes reports whether the pattern has requests that crash engines. Without them the
// instances gather no evidence.
func (r *simulation) hasCrashes() bool {
	return slices.ContainsFunc(r.pattern.Faults, func(f Fault) bool { return f.Kind == "crash" })
}

// scheduleCrashing schedules the next request of a fault of the kind crash.
func (r *simulation) scheduleCrashing(f *Fault) {
	next := max(r.now, seconds(f.StartSeconds)) + seconds(r.random.ExpFloat64()/f.Magnitude)
	if next >= seconds(f.StartSeconds+f.DurationSeconds) {
		return
	}
	r.schedule(next, func() {
		kind := slices.IndexFunc(r.pattern.Kinds, func(k RequestKind) bool { return k.isPrompt() })
		k := &r.pattern.Kinds[kind]
		req := &request{kind: kind, crashes: true, firstArrival: r.now, deadline: r.now + milliseconds(k.DeadlineMS)}
		if k.PrefixCount > 0 {
			req.prefix = kind<<20 | r.random.IntN(k.PrefixCount)
		}
		r.arrive(req)
		r.scheduleCrashing(f)
	})
}

// run identifies the current incarnation of an engine.
func (s *server) run() dispatch.ServerRun {
	return dispatch.ServerRun{Server: s.id, StartedMs: int64(s.restarts)}
}

// parts returns the parts of a prompt that others may have too.
func (r *simulation) parts(req *request) (parts []dispatch.CrashCause) {
	if k := &r.pattern.Kinds[req.kind]; !k.isPrompt() {
		return nil
	} else if k.PrefixCount > 0 {
		parts = append(parts, dispatch.PartCause(promptService, fmt.Sprint(req.prefix)))
	}
	if req.crashes {
		parts = append(parts, dispatch.PartCause(promptService, crashingPart))
	}
	return parts
}

// quarantines reports whether the instances look for parts that crash engines.
func (r *simulation) quarantines() bool {
	return r.hasCrashes() && r.policy.Mechanisms.Enabled(dispatch.PartQuarantine)
}

// blocked reports whether a request is rejected because of one of its parts.
func (r *simulation) blocked(req *request) bool {
	if !r.quarantines() {
		return false
	}
	_, _, blocked := req.instance.evidence.Blocked(r.parts(req), nil, toTime(r.now))
	if blocked && !req.crashes {
		r.result.SoundBlocked++
	}
	return blocked
}

// countCrashing counts a request with the crashing part that is sent after the grace.
func (r *simulation) countCrashing(req *request) {
	if req.crashes && len(r.crashesAt) >= crashesUntilGrace && r.now > r.crashesAt[crashesUntilGrace-1]+crashGrace {
		r.result.SentAfterCrashes++
	}
}

// crash ends an engine and all its requests. It starts again after restartTime.
func (r *simulation) crash(s *server) {
	r.crashesAt = append(r.crashesAt, r.now)
	r.result.Crashes++
	ended := s.run()
	lost := slices.Clone(s.engine.running)
	for s.engine.waiting.Len() > 0 {
		lost = append(lost, s.engine.waiting.Pop())
	}
	s.restarts++
	s.downUntil = r.now + restartTime
	s.engine.running, s.engine.waiting, s.engine.linkFreeAt, s.cachedPrefixes = nil, priority.New(higherPriority), 0, nil
	var unanswered []*engineRequest
	for _, q := range lost {
		if q.finished || q.abandoned {
			continue
		}
		q.finished = true
		if q.started && !q.request.crashes {
			q.onEnd()
			continue
		}
		unanswered = append(unanswered, q)
	}
	for _, q := range unanswered {
		r.interrupt(q.request, s, ended, q.request.crashes)
		q.onLost()
	}
	for _, q := range unanswered {
		r.repeatInterrupted(q.request, ended)
	}
}

// interrupt records that a request ended with its engine.
func (r *simulation) interrupt(req *request, s *server, ended dispatch.ServerRun, begun bool) {
	if !r.quarantines() {
		return
	}
	e := req.instance
	e.evidence.Interrupted(ended, suspects(r.parts(req), begun), toTime(r.now))
	r.schedule(r.now+confirmTime, func() {
		if e.evidence.AwaitsEnd(ended) && s.run() != ended {
			e.evidence.Ended(ended, toTime(r.now))
			r.tellOthers(e)
		}
	})
}

func suspects(parts []dispatch.CrashCause, begun bool) []dispatch.Suspect {
	suspects := make([]dispatch.Suspect, len(parts))
	for i, p := range parts {
		suspects[i] = dispatch.Suspect{Cause: p, Begun: begun}
	}
	return suspects
}

// tellOthers sends an instance's evidence to the others, which tell what it lacks.
func (r *simulation) tellOthers(e *entryInstance) {
	if e.telling {
		return
	}
	e.telling = true
	r.schedule(r.now+exchangeTime, func() {
		e.telling = false
		report := e.evidence.Report(toTime(r.now))
		for _, other := range r.entries {
			if other != e && other.evidence.Merge(report, toTime(r.now)) {
				r.tellOthers(other)
			}
		}
	})
}

// recordAnswered records that an engine answered a request.
func (r *simulation) recordAnswered(req *request) {
	if r.quarantines() && req.instance.evidence.Answered(r.parts(req), toTime(r.now)) {
		r.tellOthers(req.instance)
	}
}

// repeatInterrupted sends a request that ended with its engine to another one if that is
// allowed.
func (r *simulation) repeatInterrupted(req *request, ended dispatch.ServerRun) {
	retryable := r.pattern.Kinds[req.kind].Retryable
	if r.quarantines() && !req.instance.evidence.RepeatAllowed(ended, suspects(r.parts(req), req.crashes), toTime(r.now)) {
		retryable = false
	}
	if retryable {
		r.resend(req)
		return
	}
	r.recordFailure(req)
}

// recordFailure counts the failure of a request; those that crash engines do not count.
func (r *simulation) recordFailure(req *request) {
	if !req.crashes {
		r.result.recordFailure(req.kind)
	}
}
