package dispatch

import (
	"maps"
	"time"
)

// evidenceNews collects which parts of the evidence have changed. A nil pointer collects
// nothing.
type evidenceNews struct {
	// all is set if what others report is news too.
	all bool
	// others is set while a report of another instance is merged, answers holds the causes
	// whose answers it states.
	others  bool
	answers map[CrashCause]bool

	crashes               map[ServerRun]map[CrashCause]bool
	answered, quarantined map[CrashCause]bool
}

// CollectNews makes TakeNews return changes: those that this instance has observed and the
// quarantines that it has begun, and with all also those of which others report.
func (e *CrashEvidence) CollectNews(all bool) {
	e.news = &evidenceNews{all: all}
	e.news.clear()
}

func (n *evidenceNews) clear() {
	n.crashes = make(map[ServerRun]map[CrashCause]bool)
	n.answered, n.quarantined = make(map[CrashCause]bool), make(map[CrashCause]bool)
}

// fromOthers begins the merge of a report; the function that it returns ends it.
func (n *evidenceNews) fromOthers(answers []AnsweredReport) func() {
	if n == nil {
		return func() {}
	}
	n.others, n.answers = true, make(map[CrashCause]bool, len(answers))
	for _, a := range answers {
		n.answers[a.Cause] = true
	}
	return func() { n.others, n.answers = false, nil }
}

// ignored reports whether a change is not collected.
func (n *evidenceNews) ignored() bool { return n == nil || (n.others && !n.all) }

// crash records that an incarnation has ended, was seen alive, or is new.
func (n *evidenceNews) crash(run ServerRun) {
	if !n.ignored() && n.crashes[run] == nil {
		n.crashes[run] = make(map[CrashCause]bool)
	}
}

// suspect records a new suspect. When this instance last saw an answer to the cause is news
// too, unless the report that brings the suspect says so.
func (n *evidenceNews) suspect(run ServerRun, p CrashCause, answered time.Time) {
	if n != nil && !answered.IsZero() && !n.answers[p] {
		n.answered[p] = true
	}
	if n.ignored() {
		return
	}
	n.crash(run)
	n.crashes[run][p] = true
}

// answer records that an answer to a cause changes what is known.
func (n *evidenceNews) answer(p CrashCause) {
	if !n.ignored() {
		n.answered[p] = true
	}
}

// quarantine records that the quarantine of a cause has begun, was renewed or was lifted.
func (n *evidenceNews) quarantine(p CrashCause) {
	if !n.ignored() {
		n.quarantined[p] = true
	}
}

// TakeNews returns what has changed since the last call.
func (e *CrashEvidence) TakeNews(now time.Time) EvidenceReport {
	var r EvidenceReport
	if e.news == nil {
		return r
	}
	for run, suspects := range e.news.crashes {
		if c := e.crashes[run]; c != nil {
			r.Crashes = append(r.Crashes, e.reportCrash(c, maps.Keys(suspects), now))
		}
	}
	for p := range e.news.answered {
		r.Answered = e.appendAnswer(r.Answered, p, now)
	}
	for p := range e.news.quarantined {
		if q := e.quarantined[p]; q != nil {
			r.Quarantined = append(r.Quarantined, q.report(p, now))
		}
	}
	e.news.clear()
	r.sort()
	return r
}

// maxLoggedEvidence bounds the entries of an EvidenceLog: crashes, suspects, answers and
// quarantines.
const maxLoggedEvidence = 16384

// EvidenceLog holds the latest changes of the evidence in their order, so that others can be
// told what they lack. The zero value is empty.
type EvidenceLog struct {
	changes []loggedEvidence
	// last is the number of the last change; 0 before the first. entries counts the entries
	// of all changes that are held.
	last    uint64
	entries int
}

type loggedEvidence struct {
	report  EvidenceReport
	at      time.Time
	entries int
}

// Append adds a change. Older ones are dropped if there are too many or if they are older
// than any evidence.
func (l *EvidenceLog) Append(r EvidenceReport, now time.Time) {
	if r.Empty() {
		return
	}
	entries := r.entries()
	l.last++
	l.entries += entries
	l.changes = append(l.changes, loggedEvidence{report: r, at: now, entries: entries})
	for len(l.changes) > 1 && (l.entries > maxLoggedEvidence || now.Sub(l.changes[0].at) >= crashTTL) {
		l.entries -= l.changes[0].entries
		l.changes[0] = loggedEvidence{}
		l.changes = l.changes[1:]
	}
}

// Last returns the number of the last change.
func (l *EvidenceLog) Last() uint64 { return l.last }

// Since returns the changes after the one with the given number, with ages as of now. complete
// is false if some of them are no longer held.
func (l *EvidenceLog) Since(number uint64, now time.Time) (r EvidenceReport, complete bool) {
	first := l.last - uint64(len(l.changes)) // the number of the last change that is not held
	if number > l.last {
		number = 0 // of another log
	}
	for _, c := range l.changes[max(number, first)-first:] {
		r.appendAged(c.report, now.Sub(c.at))
	}
	return r, number >= first
}

// entries counts the entries of a report.
func (r *EvidenceReport) entries() int {
	n := len(r.Crashes) + len(r.Answered) + len(r.Quarantined)
	for _, c := range r.Crashes {
		n += len(c.Suspects)
	}
	return n
}

// appendAged appends a report that was made some time ago.
func (r *EvidenceReport) appendAged(of EvidenceReport, age time.Duration) {
	for _, c := range of.Crashes {
		c.Age += age
		if c.AliveAge > 0 {
			c.AliveAge += age
		}
		r.Crashes = append(r.Crashes, c)
	}
	for _, a := range of.Answered {
		a.Age += age
		r.Answered = append(r.Answered, a)
	}
	for _, q := range of.Quarantined {
		q.Age += age
		q.Remaining -= age
		r.Quarantined = append(r.Quarantined, q)
	}
}
