package dispatch

import (
	"bytes"
	"cmp"
	"hash/maphash"
	"maps"
	"slices"
	"strings"
	"time"
)

// CrashCause identifies what servers may crash under: a part of the prompts of one service, or
// one request.
type CrashCause struct {
	// Service and Part identify a part; both are empty for a request.
	Service, Part string
	// Request identifies a request, whichever service serves it; zero for a part.
	Request RequestDigest
}

// RequestDigest identifies requests with the same method, path, query, client account and
// body.
type RequestDigest [16]byte

// PartCause returns a part of the prompts of a service as a cause.
func PartCause(service, part string) CrashCause { return CrashCause{Service: service, Part: part} }

// RequestCause returns a request as a cause.
func RequestCause(d RequestDigest) CrashCause { return CrashCause{Request: d} }

// IsRequest reports whether the cause is a request.
func (c CrashCause) IsRequest() bool { return c.Request != RequestDigest{} }

// compare orders causes.
func (c CrashCause) compare(other CrashCause) int {
	return cmp.Or(strings.Compare(c.Service, other.Service), strings.Compare(c.Part, other.Part), bytes.Compare(c.Request[:], other.Request[:]))
}

// ServerRun identifies one incarnation of a backend server.
type ServerRun struct {
	Server    string
	StartedMs int64
}

// compare orders incarnations.
func (r ServerRun) compare(other ServerRun) int {
	return cmp.Or(strings.Compare(r.Server, other.Server), cmp.Compare(r.StartedMs, other.StartedMs))
}

// Suspect is a request that ended with its server, or one of its parts.
type Suspect struct {
	Cause CrashCause
	// Begun is set if the response had begun at most BegunWindow before. It incriminates
	// a part more than a request that waited for its response, or that had been in
	// progress for long. For a request it means nothing.
	Begun bool
	// Ran is the time from the sending of a request to the interruption; 0 if it is not
	// known. For a part it means nothing.
	Ran time.Duration
}

// BegunWindow is how long before the interruption a response may have begun to count as
// begun.
const BegunWindow = 250 * time.Millisecond

// Bounds on what is remembered.
const (
	crashTTL        = 10 * time.Minute
	interruptionTTL = 15 * time.Second // without a confirmed end
	answeredTTL     = 5 * time.Minute
	maxCrashes      = 64
	maxSuspects     = 128 // parts of one crash
	// maxSuspectRequests bounds the requests of one crash: those in progress and queued at
	// a server, at all instances.
	maxSuspectRequests = 256
	maxAnswered        = 8192 // in each of two generations
	maxQuarantined     = 1024 // parts, and as many requests
)

// crash is what is known of an incarnation at which requests were interrupted.
type crash struct {
	run         ServerRun
	at, aliveAt time.Time
	ended       bool
	suspects    map[CrashCause]bool // begun
	requests    int                 // suspects that are requests
	// sent holds when those requests were sent to the server, as far as it is known.
	sent map[CrashCause]time.Time
	// explained is set if a quarantined cause explains the crash, byRequest too if that is
	// a request. suspects then holds all requests, which matter for repeats only, and all
	// parts, without byRequest the quarantined ones.
	explained, byRequest bool
}

// open reports whether more about a cause may change the judgement of the crash.
func (c *crash) open(p CrashCause) bool { return !c.explained || (c.byRequest && !p.IsRequest()) }

// add adds a suspect unless there are too many.
func (c *crash) add(s Suspect) (changed bool) {
	begun, known := c.suspects[s.Cause]
	count, limit := len(c.suspects)-c.requests, maxSuspects
	if s.Cause.IsRequest() {
		count, limit = c.requests, maxSuspectRequests
	}
	if (c.explained && !c.byRequest && !s.Cause.IsRequest()) || (known && (begun || !s.Begun)) || (!known && count >= limit) {
		return false
	}
	if !known && s.Cause.IsRequest() {
		c.requests++
	}
	c.suspects[s.Cause] = s.Begun
	return true
}

// addSent records when a request among the suspects was sent to the server; of several times
// the last one counts.
func (c *crash) addSent(s Suspect, interrupted time.Time) {
	if _, suspect := c.suspects[s.Cause]; !suspect || !s.Cause.IsRequest() || s.Ran <= 0 {
		return
	}
	if c.sent == nil {
		c.sent = make(map[CrashCause]time.Time)
	}
	if at := interrupted.Add(-s.Ran); at.After(c.sent[s.Cause]) {
		c.sent[s.Cause] = at
	}
}

// ran returns how long before the crash a request was sent; 0 if it is not known.
func (c *crash) ran(p CrashCause) time.Duration {
	at, known := c.sent[p]
	if !known {
		return 0
	}
	return max(1, c.at.Sub(at))
}

// CrashEvidence finds the requests and the parts of prompts under which servers crash. All
// instances exchange their evidence and come to the same result. The zero value is ready for use;
// the caller holds a lock.
type CrashEvidence struct {
	crashes     map[ServerRun]*crash
	quarantined map[CrashCause]*quarantine
	// answered and answeredBefore hold the times of the last answers by the hash of
	// the part; when answered is full it replaces answeredBefore.
	seed                     maphash.Seed
	answered, answeredBefore map[uint64]time.Time
	// answeredRequests holds the times of the last answers of requests that are suspect
	// or quarantined, and of no others: clients may invent any number.
	answeredRequests map[CrashCause]time.Time
	// judgeAt is when a crash settles, or when what was merged is judged; zero if there is
	// neither. judgedAt is when the evidence was judged last.
	judgeAt, judgedAt time.Time
	// unjudged is set if the evidence has changed since then.
	unjudged bool
	// news is what has changed since TakeNews; nil unless it is collected.
	news *evidenceNews
}

// Interrupted records that a request was sent to a server and its response has broken off
// or never came. The suspects are the request itself, if its digest is known, and its parts.
func (e *CrashEvidence) Interrupted(run ServerRun, suspects []Suspect, now time.Time) {
	e.merge(CrashReport{Run: run, Suspects: suspects}, now)
	e.judge(now)
}

// Ended records that an incarnation has ended. It matters only for one at which requests
// were interrupted, here or, as others may report later, elsewhere.
func (e *CrashEvidence) Ended(run ServerRun, now time.Time) {
	if c := e.crashes[run]; c != nil && !c.ended {
		c.ended = true
		e.news.crash(run)
		e.judge(now)
	}
}

// Alive records that an incarnation has answered something that was sent to it after the
// interruptions, so that these were not its end.
func (e *CrashEvidence) Alive(run ServerRun, now time.Time) {
	if c := e.crashes[run]; c != nil && !c.ended && c.seenAlive(now) {
		e.unjudged = true
		e.news.crash(run)
	}
}

// seenAlive drops the interruptions before a time. Requests that are known to have been sent
// later stay: they were interrupted later too.
func (c *crash) seenAlive(at time.Time) (changed bool) {
	if !at.After(c.aliveAt) {
		return false
	}
	c.aliveAt = at
	if at.Before(c.at) {
		return false
	}
	changed = len(c.suspects) > 0
	before, sent := c.suspects, c.sent
	c.suspects, c.requests, c.sent, c.explained, c.byRequest = make(map[CrashCause]bool), 0, nil, false, false
	for p, sentAt := range sent {
		if !sentAt.After(at) {
			continue
		}
		if c.requests == 0 || sentAt.Before(c.at) {
			c.at = sentAt
		}
		c.add(Suspect{Cause: p, Begun: before[p]})
		c.addSent(Suspect{Cause: p, Ran: 1}, sentAt.Add(1))
	}
	return changed
}

// AwaitsEnd reports whether requests were interrupted at an incarnation that is not known
// to have ended.
func (e *CrashEvidence) AwaitsEnd(run ServerRun) bool {
	c := e.crashes[run]
	return c != nil && !c.ended && len(c.suspects) > 0
}

// Answered records that a server has answered a request with the causes: the request itself
// only by its whole response, its parts by as much of it as shows that they are sound. It
// reports whether that changes what is known of a suspect or quarantined cause; others should
// then be told.
func (e *CrashEvidence) Answered(causes []CrashCause, now time.Time) (changed bool) {
	for _, p := range causes {
		changed = e.answeredAt(p, now) || changed
	}
	return changed
}

// answeredAt records an answer, and reports whether it changes what is known of a suspect
// or quarantined cause.
func (e *CrashEvidence) answeredAt(p CrashCause, at time.Time) (changed bool) {
	if p.IsRequest() && !e.remembers(p) {
		return false
	}
	if len(e.answeredRequests) >= maxCrashes*maxSuspectRequests+maxQuarantined {
		e.forgetAnswers()
	}
	before := e.lastAnswer(p)
	if !at.After(before) {
		return false
	}
	switch {
	case !p.IsRequest():
		if len(e.answered) >= maxAnswered {
			e.answeredBefore, e.answered = e.answered, nil
		}
		if e.answered == nil {
			e.answered = make(map[uint64]time.Time)
		}
		e.answered[e.hash(p)] = at
	case e.answeredRequests == nil:
		e.answeredRequests = map[CrashCause]time.Time{p: at}
	default:
		e.answeredRequests[p] = at
	}
	if q := e.quarantined[p]; q != nil && !q.lifted && !at.Before(q.since) {
		q.lifted, changed = true, true
		e.news.quarantine(p)
	}
	for _, c := range e.crashes {
		if _, suspect := c.suspects[p]; suspect && c.open(p) && before.Before(c.at) && (!at.Before(c.at) || c.at.Sub(before) >= answeredTTL) {
			changed = true // later answers before the same crash are no news
		}
	}
	if changed {
		e.unjudged = true
		e.news.answer(p)
	}
	return changed
}

func (e *CrashEvidence) hash(p CrashCause) uint64 {
	if e.seed == (maphash.Seed{}) {
		e.seed = maphash.MakeSeed()
	}
	return maphash.Comparable(e.seed, p)
}

// remembers reports whether a request is suspect or quarantined.
func (e *CrashEvidence) remembers(request CrashCause) bool {
	if e.quarantined[request] != nil {
		return true
	}
	for _, c := range e.crashes {
		if _, suspect := c.suspects[request]; suspect {
			return true
		}
	}
	return false
}

// lastAnswer returns when a cause was last answered; zero if that is not known.
func (e *CrashEvidence) lastAnswer(p CrashCause) time.Time {
	if p.IsRequest() {
		return e.answeredRequests[p]
	}
	h := e.hash(p)
	if at, ok := e.answered[h]; ok {
		return at
	}
	return e.answeredBefore[h]
}

// dropCrash drops the crash that matters least: explained ones and those without a
// confirmed end first, then the oldest.
func (e *CrashEvidence) dropCrash() bool {
	var least *crash
	var leastRun ServerRun
	matters := func(c *crash) bool { return c.ended && !c.explained }
	for run, c := range e.crashes {
		if least == nil || (matters(least) && !matters(c)) || (matters(least) == matters(c) && c.at.Before(least.at)) {
			least, leastRun = c, run
		}
	}
	delete(e.crashes, leastRun)
	return least != nil
}

// AwaitedEnds lists the incarnations at which requests were interrupted and that are not known to
// have ended.
func (e *CrashEvidence) AwaitedEnds() (runs []ServerRun) {
	for run, c := range e.crashes {
		if !c.ended {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, ServerRun.compare)
	return runs
}

// Quarantines lists the quarantines that are remembered.
func (e *CrashEvidence) Quarantines(now time.Time) (list []QuarantineReport) {
	e.Expire(now)
	for p, q := range e.quarantined {
		list = append(list, q.report(p, now))
	}
	slices.SortFunc(list, func(a, b QuarantineReport) int { return a.Cause.compare(b.Cause) })
	return list
}

// Empty reports whether nothing is suspect or quarantined.
func (e *CrashEvidence) Empty(now time.Time) bool {
	e.Expire(now)
	return len(e.crashes) == 0 && len(e.quarantined) == 0
}

// Expire judges the evidence if it has changed, and drops what is too old to matter.
func (e *CrashEvidence) Expire(now time.Time) {
	if e.unjudged || e.settled(now) {
		e.judge(now)
	}
	for run, c := range e.crashes {
		if age := now.Sub(c.at); age >= crashTTL || (!c.ended && age >= interruptionTTL) {
			delete(e.crashes, run)
		}
	}
	for p, q := range e.quarantined {
		if now.Sub(q.ends) >= quarantineMemory {
			delete(e.quarantined, p)
		}
	}
	e.forgetAnswers()
}

// forgetAnswers drops the answers of requests that are neither suspect nor quarantined.
func (e *CrashEvidence) forgetAnswers() {
	maps.DeleteFunc(e.answeredRequests, func(p CrashCause, _ time.Time) bool { return !e.remembers(p) })
}
