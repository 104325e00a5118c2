package dispatch

import (
	"time"

	"github.com/galenaarch/galenaarch/admission"
	"github.com/galenaarch/galenaarch/placement"
)

// Request is a request as seen by a decision.
type Request struct {
	Job placement.Job
	// Elapsed, Objective and Patience are those of admission.WaitEstimate. They are the same for
	// a request that was sent before.
	Elapsed, Objective, Patience time.Duration
	// CallTime is that of a request without a prompt, if such requests wait in order.
	CallTime CallTime
	// Continues is set for a stream of which the client already has events: without a server, the
	// client loses more than a place in a queue.
	Continues bool
	// QueueWait is the time until servers have room for the requests ahead in the
	// local wait queue.
	QueueWait time.Duration
	// Discovering is set while servers are still being discovered: a prompt then waits as long as
	// its client does.
	Discovering bool
	// Errors holds the estimate errors for this kind of prompt; nil for none.
	Errors *EstimateErrors
	// Peers are the instances that the request may be passed on to, and Paths are those of
	// the service at Now. Unreachable is the number of servers that the request was sent to
	// and did not reach; Exhausted is set if it may be sent to no further server.
	Peers       []Peer
	Paths       *ServicePaths
	Now         time.Time
	Unreachable int
	Exhausted   bool
}

// Candidates are the servers considered by a decision. The functions may be nil.
type Candidates struct {
	Servers []placement.Server
	// Tried reports servers to which the request was already sent. They are skipped.
	Tried func(i int) bool
	// Full reports servers of a brittle service that cannot take another request. A request
	// waits for one (Hold) if no other server is left.
	Full func(i int) bool
	// Claimed reports servers that requests ahead in the wait queue wait for. A prompt
	// is not sent to one now, but may still wait for it (Hold) if no server has room. It
	// does not apply to requests without a prompt, unless Ordered is set.
	Claimed func(i int) bool
	// Ordered is set if requests without a prompt wait here in the order of their positions.
	Ordered bool
}

// Action is what to do with a request now.
type Action int

// Actions of a decision.
const (
	// NoServer: no server is eligible.
	NoServer Action = iota
	Send
	// Hold: the request waits at this instance until a server has room.
	Hold
	Reject
	// Forward: the request is passed on to another entry instance.
	Forward
)

// Decision is the outcome for a request and the estimates behind it.
type Decision struct {
	Action Action
	// Server is the index of the server to send to or to wait for; -1 for none.
	Server int
	// Peer is the index of the instance to pass the request on to.
	Peer    int
	Verdict admission.Verdict
	// Late is set if the request misses its objective.
	Late     bool
	Estimate admission.WaitEstimate
	// PrefillTokens is the prefill work of this prompt at the server, QueuedTokens the
	// prefill work queued there before it.
	PrefillTokens, QueuedTokens int
	// Home is set if the server is the home of the prompt's shared prefix; Alternate is that
	// of placement.Server.
	Home      bool
	Alternate int
}

// Decide places a request at another entry instance if this one reaches nearly no server, or
// else within the instance's own cell, or among all servers if the request would miss its
// objective in the cell and fares better elsewhere. near and
// all return the candidates; near is nil without cells. elsewhere is set if the server
// was chosen from all. tieBreak in [0, 1) breaks ties between servers.
func (p *Policy) Decide(scorer placement.Scorer, near func() *Candidates, all func() *Candidates, req *Request, tieBreak float64) (d Decision, elsewhere bool) {
	if peer := p.decidePeer(req, tieBreak); peer >= 0 {
		return Decision{Action: Forward, Server: -1, Peer: peer}, false
	}
	if near == nil || req.Job.PromptTokens == 0 || !p.Enabled(Cells) {
		return p.decideAmong(scorer, all(), req, tieBreak), true
	}
	d = p.decideAmong(scorer, near(), req, tieBreak)
	if d.Action == Send && !d.Late && d.Verdict == admission.Admit {
		return d, false
	}
	if far := p.decideAmong(scorer, all(), req, tieBreak); d.Action == NoServer || better(&far, &d) {
		return far, true
	}
	return d, false
}

// better reports whether a is the better decision for the client: the milder outcome,
// or being sent instead of held.
func better(a, b *Decision) bool {
	if a.Action == NoServer {
		return false
	}
	if a.outcome() != b.outcome() {
		return a.outcome() < b.outcome()
	}
	return a.Action == Send && b.Action == Hold
}

// outcome ranks decisions, best for the client first: on time, late although all others go first,
// late in arrival order, rejected.
func (d *Decision) outcome() int {
	switch {
	case d.Verdict == admission.Reject:
		return 3
	case d.Verdict == admission.Admit && d.Late:
		return 2
	case d.Late:
		return 1
	}
	return 0
}

func (p *Policy) decideAmong(scorer placement.Scorer, c *Candidates, req *Request, tieBreak float64) Decision {
	excluded := func(i int) bool { return c.Tried != nil && c.Tried(i) }
	job := req.Job
	full := func(i int) bool { return c.Full != nil && c.Full(i) }
	unavailable := func(i int) bool { return excluded(i) || full(i) || p.waitReason(c, i, &job) != MayBeSent }
	d := Decision{Server: placement.Pick(scorer, c.Servers, job, unavailable, tieBreak)}
	if job.PromptTokens == 0 {
		if d.Server >= 0 {
			d.Action = Send
		} else if d.Server = placement.Pick(scorer, c.Servers, job, excluded, tieBreak); d.Server >= 0 {
			d.Action = Hold
			if c.Ordered {
				p.judgeCall(&c.Servers[d.Server], req, &d)
			}
		}
		return d
	}
	d.Action = Send
	if d.Server < 0 {
		// No server has room: the request waits for the one that would be best.
		if d.Server = placement.Pick(scorer, c.Servers, job, excluded, tieBreak); d.Server < 0 {
			d.Action = NoServer
			return d
		}
		d.Action = Hold
	}
	p.judgeArrivalOrder(scorer, c, req, &d)
	if d.Verdict != admission.Admit && p.Enabled(Deferral) {
		inOrder := d
		job.Deferred = true
		if i := placement.Pick(scorer, c.Servers, job, unavailable, tieBreak); i >= 0 {
			d.Action, d.Server = Send, i
		} else {
			d.Action = Hold
		}
		p.judgeDeferred(scorer, c, req, &d, &job)
		if d.Verdict == admission.Admit {
			// Its client cannot wait behind the others.
			d.Action, d.Server, job.Deferred = inOrder.Action, inOrder.Server, false
		}
		if d.Action == Hold && !req.Continues {
			// If late prompts waited here, the queue would grow until clients leave, and many
			// would be rejected only after they have waited.
			d.Verdict = p.restrictVerdict(req, admission.Reject)
		}
	}
	if d.Verdict == admission.Reject {
		d.Action = Reject
	}
	s := &c.Servers[d.Server]
	d.PrefillTokens, d.Home, d.Alternate, d.QueuedTokens = placement.PrefillWork(*s, job), s.Home, s.Alternate, s.PrefillTokens
	return d
}

// waitReason returns why a prompt must not be sent to server i now: requests ahead wait
// for it, its memory has no room, or its backlog is too long. A job without a prompt only
// waits for requests ahead, and only if such jobs wait in order.
func (p *Policy) waitReason(c *Candidates, i int, j *placement.Job) Exclusion {
	claimed := c.Claimed != nil && c.Claimed(i)
	if j.PromptTokens == 0 {
		if c.Ordered && claimed {
			return Claimed
		}
		return MayBeSent
	}
	s := &c.Servers[i]
	switch {
	case claimed:
		return Claimed
	case p.Enabled(LateBinding) && !placement.HasMemory(s, j):
		return NoMemory
	case p.Enabled(BacklogLimit) && placement.Backlogged(s, j):
		return Backlogged
	}
	return MayBeSent
}

// judgeArrivalOrder sets the verdict for a prompt served in arrival order.
func (p *Policy) judgeArrivalOrder(scorer placement.Scorer, c *Candidates, req *Request, d *Decision) {
	d.Estimate = admission.WaitEstimate{Elapsed: req.Elapsed, Objective: req.Objective, Patience: req.Patience}
	d.Estimate.ArrivalOrderWait = scorer.Cost(&c.Servers[d.Server], &req.Job)
	if d.Action == Hold {
		d.Estimate.ArrivalOrderWait += req.QueueWait
	}
	d.Estimate.DeferredWait = d.Estimate.ArrivalOrderWait
	optimistic := p.optimistic(req, d.Estimate)
	d.Late = !optimistic.OnTime()
	d.Verdict = p.restrictVerdict(req, admission.Judge(optimistic))
}

// judgeDeferred sets the verdict for a prompt that misses its objective in arrival
// order.
func (p *Policy) judgeDeferred(scorer placement.Scorer, c *Candidates, req *Request, d *Decision, job *placement.Job) {
	d.Estimate.DeferredWait = scorer.Cost(&c.Servers[d.Server], job)
	if d.Action == Hold {
		d.Estimate.DeferredWait += req.QueueWait
	}
	d.Verdict = p.restrictVerdict(req, admission.Judge(p.optimistic(req, d.Estimate)))
}

// optimistic returns an estimate with the margin of the recent errors.
func (p *Policy) optimistic(req *Request, e admission.WaitEstimate) admission.WaitEstimate {
	if req.Errors != nil && p.Enabled(EstimateMargin) {
		e.ArrivalOrderWait = req.Errors.LowerBound(e.ArrivalOrderWait)
	}
	return e
}

// restrictVerdict replaces a verdict whose mechanism is switched off, or that does
// not apply to the request, by the next milder one.
func (p *Policy) restrictVerdict(req *Request, v admission.Verdict) admission.Verdict {
	if v == admission.Reject && (req.Discovering || !p.Enabled(Rejection)) {
		v = admission.Defer
	}
	if v == admission.Defer && !p.Enabled(Deferral) {
		v = admission.Admit
	}
	return v
}
