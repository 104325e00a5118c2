package dispatch

import "time"

// Times of a quarantine. With the doubling, three trials at most fall within an hour.
const (
	quarantineTime    = 10 * time.Minute // in the first round, after the last crash
	maxQuarantineTime = 160 * time.Minute
	// doubtfulTime is the first round of a request if another one may be the cause: a sound
	// request is tried and answered soon, and the others get the second round.
	doubtfulTime = 15 * time.Second
	// quarantineMemory is how long the round is remembered after a quarantine.
	quarantineMemory = time.Hour
	// trialRetryAfter is when to come back if only another instance may try a part.
	trialRetryAfter = 30 * time.Second
	// minRequestRetryAfter is the least time until a quarantined request may come back.
	minRequestRetryAfter = time.Minute
)

// quarantinePeriod is how long a round of quarantine lasts.
func quarantinePeriod(round int) time.Duration {
	return min(maxQuarantineTime, quarantineTime<<min(max(round-1, 0), 8))
}

// quarantine is a cause's round of quarantine. When its time is over, the cause stays
// rejected but for one trial, which begins the next round; an answer lifts it.
type quarantine struct {
	round       int
	lifted      bool
	since, ends time.Time
}

// report returns what others should know of the quarantine of a cause.
func (q *quarantine) report(p CrashCause, now time.Time) QuarantineReport {
	return QuarantineReport{p, q.round, q.lifted, max(0, now.Sub(q.since)), q.ends.Sub(now)}
}

// mergeQuarantine adopts a round of quarantine. Of reports of the same round, the
// earlier end counts: the time in transit makes the others late.
func (e *CrashEvidence) mergeQuarantine(r QuarantineReport, now time.Time) (changed bool) {
	if r.Round <= 0 || r.Age < 0 || r.Remaining <= -quarantineMemory {
		return false
	}
	since, ends := now.Add(-r.Age), now.Add(min(r.Remaining, maxQuarantineTime))
	q := e.quarantined[r.Cause]
	if q == nil || r.Round > q.round {
		q = e.setQuarantine(r.Cause, quarantine{round: r.Round, since: since, ends: ends})
		changed = true
	}
	if r.Round < q.round {
		return changed
	}
	if since.Before(q.since) {
		q.since = since
	}
	if ends.Before(q.ends) {
		q.ends = ends
	}
	if !q.lifted && (r.Lifted || !e.lastAnswer(r.Cause).Before(q.since)) {
		q.lifted, changed = true, true
	}
	if changed {
		e.news.quarantine(r.Cause)
	}
	return changed
}

// setQuarantine begins a round of quarantine.
func (e *CrashEvidence) setQuarantine(p CrashCause, q quarantine) *quarantine {
	if e.quarantined == nil {
		e.quarantined = make(map[CrashCause]*quarantine)
	}
	if _, known := e.quarantined[p]; !known && len(e.quarantined) >= maxQuarantined {
		e.dropQuarantine(p.IsRequest())
	}
	e.quarantined[p] = &q
	e.news.quarantine(p)
	return &q
}

// dropQuarantine drops the quarantine of a request, or of a part, that ends first if there
// are maxQuarantined of that kind.
func (e *CrashEvidence) dropQuarantine(ofRequest bool) {
	var first *quarantine
	var firstCause CrashCause
	count := 0
	for p, q := range e.quarantined {
		if p.IsRequest() != ofRequest {
			continue
		}
		count++
		if first == nil || q.ends.Before(first.ends) {
			first, firstCause = q, p
		}
	}
	if count >= maxQuarantined {
		delete(e.quarantined, firstCause)
	}
}

// Blocked reports whether a request with the causes must be rejected, under which one,
// and when it may come back. mayTry tells whether this instance is the one that may try
// a cause whose quarantine is over. A request that is sent nevertheless is announced by
// Sent.
func (e *CrashEvidence) Blocked(causes []CrashCause, mayTry func(CrashCause) bool, now time.Time) (cause CrashCause, until time.Time, blocked bool) {
	if e.settled(now) {
		e.judge(now)
	}
	return e.BlockedByVerdict(causes, mayTry, now)
}

// BlockedByVerdict is Blocked by the quarantines that are in force: evidence that has come in since
// it was last judged does not count yet. It changes nothing.
func (e *CrashEvidence) BlockedByVerdict(causes []CrashCause, mayTry func(CrashCause) bool, now time.Time) (cause CrashCause, until time.Time, blocked bool) {
	if len(e.quarantined) == 0 {
		return CrashCause{}, time.Time{}, false
	}
	for _, p := range causes {
		q := e.quarantined[p]
		if q == nil || q.lifted {
			continue
		}
		ends := q.ends
		if !now.Before(ends) {
			if mayTry != nil && mayTry(p) {
				continue
			}
			ends = now.Add(trialRetryAfter)
		}
		if earliest := now.Add(minRequestRetryAfter); p.IsRequest() && ends.Before(earliest) {
			ends = earliest
		}
		if !blocked || ends.After(until) {
			cause, until, blocked = p, ends, true
		}
	}
	return cause, until, blocked
}

// Sent records that a request with the causes, which is not blocked, is sent to a server.
// If it tries a cause whose quarantine is over, the next round begins: nobody else tries
// it until an answer lifts the quarantine or that round is over. It reports
// whether the request is such a trial; others should then be told at once.
func (e *CrashEvidence) Sent(causes []CrashCause, now time.Time) (trial bool) {
	for _, p := range causes {
		if q := e.quarantined[p]; q != nil && !q.lifted {
			e.setQuarantine(p, quarantine{round: q.round + 1, since: now, ends: now.Add(quarantinePeriod(q.round + 1))})
			trial = true
		}
	}
	return trial
}

// RepeatAllowed reports whether a request that was interrupted at a server may be sent
// again: not if it is quarantined or two other incarnations have already ended under it
// without an answer since; nor if another server has already ended under one of its parts, of which no
// request was answered recently, if such a part is quarantined at another service, or if
// several servers have ended under one that was answered only before.
func (e *CrashEvidence) RepeatAllowed(run ServerRun, suspects []Suspect, now time.Time) bool {
	for _, s := range suspects {
		if q := e.quarantined[s.Cause]; q != nil && !q.lifted {
			return false
		}
		if s.Cause.IsRequest() && e.endedUnder(s.Cause, run) >= maxEndedRequest {
			return false
		}
		if !s.Begun || s.Cause.IsRequest() {
			continue
		}
		answered := e.lastAnswer(s.Cause)
		if now.Sub(answered) >= answeredTTL && e.quarantinedElsewhere(s.Cause) {
			return false
		}
		ended := e.endedUnder(s.Cause, run)
		if ended >= maxEndedAnswered || (ended > 0 && now.Sub(answered) >= answeredTTL) {
			return false
		}
	}
	return true
}

// endedUnder counts the other incarnations that have ended under a cause without an answer
// since: under a part only those whose response had begun.
func (e *CrashEvidence) endedUnder(p CrashCause, except ServerRun) (ended int) {
	answered := e.lastAnswer(p)
	for run, c := range e.crashes {
		begun, suspect := c.suspects[p]
		if run != except && c.ended && suspect && (!c.explained || p.IsRequest()) && (begun || p.IsRequest()) && answered.Before(c.at) {
			ended++
		}
	}
	return ended
}
