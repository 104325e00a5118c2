package dispatch

import (
	"time"

	"github.com/galenaarch/galenaarch/admission"
	"github.com/galenaarch/galenaarch/placement"
)

// Ask is one request as a decision sees it.
type Ask struct {
	Job placement.Job
	// Waited is the time since the caller asked, Objective the time in which an
	// answer must begin to be on time, Bears the time after which the caller no
	// longer waits for it; 0 where there is none.
	Waited, Objective, Bears time.Duration
	// Resumed requests have begun at another server: they are never turned away.
	Resumed bool
	// Before is the time until those that wait here before it have room; Young
	// says that servers are still becoming known: a prompt that may yet be on time
	// waits for them.
	Before time.Duration
	Young  bool
	// Errors of the estimates for its kind; nil for none.
	Errors *Errors
}

// Candidates are the servers of a decision. Tried servers, and those claimed by
// requests that wait before this one, are left out; both may be nil.
type Candidates struct {
	Servers []placement.Server
	Tried   func(i int) bool
	Claimed func(i int) bool
}

// Action is what becomes of a request now.
type Action int

// Actions.
const (
	// Nowhere: there is no server that it may be sent to.
	Nowhere Action = iota
	Send
	// Hold: it waits here until a server has room for it.
	Hold
	Refuse
)

// Decision is what becomes of a request, and why.
type Decision struct {
	Action Action
	// Server is the index of the server that it goes to or waits for; -1 for none.
	Server  int
	Verdict admission.Verdict
	Outlook admission.Outlook
	// Unread and Ahead are what the server must read of the prompt and before it,
	// in tokens; Home says that it is the home of the prompt's shared part.
	Unread, Ahead int
	Home          bool
}

// Decide says what becomes of a request: at a server of the own cell, or of all
// where it would be late there and is judged better elsewhere. near and all are the
// candidates; near is nil where there are no cells. elsewhere says that the server
// is one of all. at breaks ties and is in [0, 1).
func (p *Policy) Decide(by placement.Scorer, near func() *Candidates, all func() *Candidates, a *Ask, at float64) (d Decision, elsewhere bool) {
	if near == nil || a.Job.PromptTokens == 0 || !p.On(Cells) {
		return p.among(by, all(), a, at), true
	}
	d = p.among(by, near(), a, at)
	if d.Action == Send && d.Verdict == admission.InTurn {
		return d, false
	}
	if far := p.among(by, all(), a, at); d.Action == Nowhere || better(&far, &d) {
		return far, true
	}
	return d, false
}

// better reports whether one decision serves a caller sooner than another.
func better(a, b *Decision) bool {
	if a.Action == Nowhere {
		return false
	}
	if a.Verdict != b.Verdict {
		return a.Verdict < b.Verdict
	}
	return a.Action == Send && b.Action == Hold
}

// among decides among candidates.
func (p *Policy) among(by placement.Scorer, c *Candidates, a *Ask, at float64) Decision {
	out := func(i int) bool { return c.Tried != nil && c.Tried(i) }
	job := a.Job
	full := func(i int) bool { return out(i) || p.full(c, i, &job) }
	d := Decision{Server: placement.Pick(by, c.Servers, job, full, at)}
	if job.PromptTokens == 0 {
		if d.Server >= 0 {
			d.Action = Send
		}
		return d
	}
	d.Action = Send
	if d.Server < 0 {
		// Nothing has room: it waits for the server that would be best.
		if d.Server = placement.Pick(by, c.Servers, job, out, at); d.Server < 0 {
			d.Action = Nowhere
			return d
		}
		d.Action = Hold
	}
	p.judge(by, c, a, &d)
	if d.Verdict != admission.InTurn && p.On(Behind) {
		job.Later = true
		if i := placement.Pick(by, c.Servers, job, full, at); i >= 0 {
			d.Action, d.Server = Send, i
		} else {
			d.Action = Hold
		}
		p.judgeBehind(by, c, a, &d, &job)
		if d.Action == Hold {
			// It is late anyway, and would make those behind it late: its caller
			// is better told to come back.
			d.Verdict = p.allowed(a, admission.TurnAway)
		}
	}
	if d.Verdict == admission.TurnAway {
		d.Action = Refuse
	}
	s := &c.Servers[d.Server]
	d.Unread, d.Home, d.Ahead = placement.Unread(*s, job), s.Home, s.ReadingTokens
	return d
}

// full reports whether a server has no room for a job now.
func (p *Policy) full(c *Candidates, i int, j *placement.Job) bool {
	if j.PromptTokens == 0 {
		return false
	}
	s := &c.Servers[i]
	if c.Claimed != nil && c.Claimed(i) {
		return true
	}
	return (p.On(LateBinding) && !placement.HasMemory(s, j)) || (p.On(Backlog) && placement.Backlogged(s, j))
}

// judge says whether a prompt is on time in turn.
func (p *Policy) judge(by placement.Scorer, c *Candidates, a *Ask, d *Decision) {
	d.Outlook = admission.Outlook{Waited: a.Waited, Objective: a.Objective, Bears: a.Bears}
	d.Outlook.InTurn = by.Cost(&c.Servers[d.Server], &a.Job)
	if d.Action == Hold {
		d.Outlook.InTurn += a.Before
	}
	d.Outlook.Behind = d.Outlook.InTurn
	least := d.Outlook
	if a.Errors != nil && p.On(Doubt) {
		least.InTurn = a.Errors.Least(least.InTurn)
	}
	d.Verdict = p.allowed(a, admission.Judge(least))
}

// judgeBehind says whether a prompt that is late in turn is served behind the
// others.
func (p *Policy) judgeBehind(by placement.Scorer, c *Candidates, a *Ask, d *Decision, job *placement.Job) {
	d.Outlook.Behind = by.Cost(&c.Servers[d.Server], job)
	if d.Action == Hold {
		d.Outlook.Behind += a.Before
	}
	d.Verdict = p.allowed(a, max(admission.Behind, admission.Judge(d.Outlook)))
}

// allowed is a verdict as far as the mechanisms that it needs are at work.
func (p *Policy) allowed(a *Ask, v admission.Verdict) admission.Verdict {
	if v == admission.TurnAway && (a.Resumed || (a.Young && a.Waited <= a.Objective) || !p.On(TurnAway)) {
		v = admission.Behind
	}
	if v == admission.Behind && !p.On(Behind) {
		v = admission.InTurn
	}
	return v
}
