package dispatch

import (
	"iter"
	"maps"
	"slices"
	"time"
)

// CrashReport describes an incarnation at which requests were interrupted. Until it is
// known to have ended, the interruptions blame nothing.
type CrashReport struct {
	Run   ServerRun
	Ended bool
	// Age is the time since the first interruption that counts. If AliveAge is above
	// 0, the incarnation was alive so long ago: earlier interruptions do not count.
	Age, AliveAge time.Duration
	Suspects      []Suspect
}

// AnsweredReport states when a server last answered a request, or one with a part.
type AnsweredReport struct {
	Cause CrashCause
	Age   time.Duration
}

// QuarantineReport describes a round of a cause's quarantine. Higher rounds replace lower
// ones.
type QuarantineReport struct {
	Cause CrashCause
	Round int
	// Lifted is set once a request with the cause was answered in this round.
	Lifted         bool
	Age, Remaining time.Duration
}

// EvidenceReport is what an instance tells others. It carries ages and remaining times,
// since the clocks of the instances differ.
type EvidenceReport struct {
	Crashes     []CrashReport
	Answered    []AnsweredReport
	Quarantined []QuarantineReport
}

// Empty reports whether there is nothing to tell.
func (r EvidenceReport) Empty() bool {
	return len(r.Crashes) == 0 && len(r.Answered) == 0 && len(r.Quarantined) == 0
}

// Merge adopts what another instance reports, and says whether that is news. Reports may
// be merged in any order and more than once.
//
// What comes within judgeInterval is judged together.
func (e *CrashEvidence) Merge(r EvidenceReport, now time.Time) (changed bool) {
	changed = e.adopt(r, now)
	e.unjudged = e.unjudged || changed
	if changed && now.Sub(e.judgedAt) < judgeInterval {
		if at := e.judgedAt.Add(judgeInterval); e.judgeAt.IsZero() || at.Before(e.judgeAt) {
			e.judgeAt = at
		}
		return true
	}
	if changed || e.settled(now) {
		changed = e.judge(now) || changed
	}
	return changed
}

// adopt adds what another instance reports. That is news to be passed on if all is.
func (e *CrashEvidence) adopt(r EvidenceReport, now time.Time) (changed bool) {
	defer e.news.fromOthers(r.Answered)()
	for _, c := range r.Crashes {
		changed = e.merge(c, now) || changed
	}
	for _, a := range r.Answered {
		changed = e.answeredAt(a.Cause, now.Add(-a.Age-transitAllowance)) || changed
	}
	for _, q := range r.Quarantined {
		changed = e.mergeQuarantine(q, now) || changed
	}
	return changed
}

// judgeInterval is the least time between two judgements of merged reports. A judgement of
// many crashes takes milliseconds, and after a crash all instances report.
const judgeInterval = 50 * time.Millisecond

// settled reports whether the evidence is to be judged again.
func (e *CrashEvidence) settled(now time.Time) bool {
	return !e.judgeAt.IsZero() && !now.Before(e.judgeAt)
}

// merge adds what is known of one incarnation.
func (e *CrashEvidence) merge(r CrashReport, now time.Time) (changed bool) {
	if r.Age < 0 || r.Age >= crashTTL || (!r.Ended && r.Age >= interruptionTTL) {
		return false
	}
	at := now.Add(-r.Age)
	c := e.crashes[r.Run]
	if c == nil {
		if len(e.crashes) >= maxCrashes && !e.dropCrash() {
			return false
		}
		if e.crashes == nil {
			e.crashes = make(map[ServerRun]*crash)
		}
		c = &crash{run: r.Run, at: at, suspects: make(map[CrashCause]bool)}
		e.crashes[r.Run], changed = c, true
	}
	if r.AliveAge > 0 {
		changed = c.seenAlive(now.Add(-r.AliveAge-transitAllowance)) || changed
	}
	if r.Ended && !c.ended {
		c.ended, changed = true, true
	}
	if changed {
		e.news.crash(r.Run)
	}
	if len(r.Suspects) == 0 || !at.After(c.aliveAt) {
		return changed
	}
	if at.Before(c.at) || len(c.suspects) == 0 {
		c.at = at
	}
	for _, s := range r.Suspects {
		if c.add(s) {
			changed = true
			e.news.suspect(r.Run, s.Cause, e.lastAnswer(s.Cause))
		}
		c.addSent(s, at)
	}
	return changed
}

// Report returns what other instances should know.
func (e *CrashEvidence) Report(now time.Time) EvidenceReport {
	e.Expire(now)
	var r EvidenceReport
	open := make(map[CrashCause]bool)
	for _, c := range e.crashes {
		for p := range c.suspects {
			open[p] = open[p] || c.open(p)
		}
		r.Crashes = append(r.Crashes, e.reportCrash(c, maps.Keys(c.suspects), now))
	}
	for p, matters := range open {
		if matters {
			r.Answered = e.appendAnswer(r.Answered, p, now)
		}
	}
	r.Quarantined = e.Quarantines(now)
	r.sort()
	return r
}

// reportCrash returns what others should know of a crash and some of its suspects.
func (e *CrashEvidence) reportCrash(c *crash, suspects iter.Seq[CrashCause], now time.Time) CrashReport {
	report := CrashReport{Run: c.run, Ended: c.ended, Age: max(0, now.Sub(c.at))}
	if !c.aliveAt.IsZero() {
		report.AliveAge = max(1, now.Sub(c.aliveAt))
	}
	for p := range suspects {
		begun, suspect := c.suspects[p]
		if suspect && ((c.explained && e.quarantined[p] != nil) || e.lastAnswer(p).Before(c.at)) {
			report.Suspects = append(report.Suspects, Suspect{Cause: p, Begun: begun, Ran: c.ran(p)})
		}
	}
	slices.SortFunc(report.Suspects, func(a, b Suspect) int { return a.Cause.compare(b.Cause) })
	return report
}

// appendAnswer appends when a cause was last answered, if that may matter to others.
func (e *CrashEvidence) appendAnswer(list []AnsweredReport, p CrashCause, now time.Time) []AnsweredReport {
	if at := e.lastAnswer(p); now.Sub(at) < answeredTTL+crashTTL {
		list = append(list, AnsweredReport{p, max(0, now.Sub(at))})
	}
	return list
}

// sort orders the entries of a report.
func (r *EvidenceReport) sort() {
	slices.SortFunc(r.Crashes, func(a, b CrashReport) int { return a.Run.compare(b.Run) })
	slices.SortFunc(r.Answered, func(a, b AnsweredReport) int { return a.Cause.compare(b.Cause) })
	slices.SortFunc(r.Quarantined, func(a, b QuarantineReport) int { return a.Cause.compare(b.Cause) })
}
