package gateway

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/fleetview"
	"github.com/galenaarch/galenaarch/registry"
)

const (
	// evidenceDelay batches the interruptions of one crash.
	evidenceDelay = 10 * time.Millisecond
	// evidenceTick is the time between reviews of the evidence while there is any.
	evidenceTick = 200 * time.Millisecond
	// confirmDelay is the time between an interruption and the dial that confirms the end
	// of the server, whose listener may be closed a little later than its connections;
	// confirmTimeout limits the dial.
	confirmDelay   = 30 * time.Millisecond
	confirmTimeout = 350 * time.Millisecond
	// confirmInterval is the least time between two such dials to one incarnation, and
	// how long it is remembered that an incarnation refused a connection.
	confirmInterval = 5 * time.Second
	// maxConfirming bounds the incarnations that were dialed, or refused a connection,
	// within confirmInterval.
	maxConfirming = 256
	// trialLeadTime is how long this instance must have ranked first for a cause before it
	// may try it: another one may not know for dispatch.LeadTTL that it no longer does.
	trialLeadTime = 2 * time.Second
)

// crashEvidence is what this instance knows of the requests and the parts of prompts under
// which servers crash.
type crashEvidence struct {
	gateway *Gateway
	// relevant is false while nothing is suspect or quarantined: the request path then
	// takes no lock.
	relevant atomic.Bool
	// wake has an element while a change waits to be passed on.
	wake chan struct{}
	// urgent is set if the change must be passed on at once.
	urgent atomic.Bool
	// hasClosed is false while closed is empty.
	hasClosed atomic.Bool

	// mu guards the fields below.
	mu       sync.Mutex
	evidence dispatch.CrashEvidence
	// log holds what this instance has observed, for the others, who have been told to fetch
	// it up to passedRevision.
	log            dispatch.EvidenceLog
	passedRevision uint64
	// dialed and refused hold when an incarnation was last dialed for confirmation of an
	// interruption, and when it last refused a connection; checked holds when it was
	// dialed after a close-delimited response, which says nothing about later interruptions.
	dialed, refused, checked map[incarnation]time.Time
	// closed are the latest close-delimited responses.
	closed map[incarnation][]closedResponse
	// known are the quarantines that were logged.
	known map[dispatch.CrashCause]knownQuarantine
	// candidates is the version of the list of instances that may try a cause, valid since
	// candidatesSince.
	candidates      uint64
	candidatesSince time.Time
}

// knownQuarantine is a logged state of a quarantine.
type knownQuarantine struct {
	round  int
	lifted bool
}

func newCrashEvidence(g *Gateway) *crashEvidence {
	e := &crashEvidence{gateway: g, wake: make(chan struct{}, 1), dialed: make(map[incarnation]time.Time), refused: make(map[incarnation]time.Time), checked: make(map[incarnation]time.Time), closed: make(map[incarnation][]closedResponse), known: make(map[dispatch.CrashCause]knownQuarantine)}
	e.evidence.CollectNews(false)
	return e
}

func (id incarnation) run() dispatch.ServerRun {
	return dispatch.ServerRun{Server: id.server, StartedMs: id.startedMs}
}

// notify wakes run, which passes on the changed evidence.
func (e *crashEvidence) notify(urgent bool) {
	if urgent {
		e.urgent.Store(true)
	}
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// interrupted records an attempt whose connection broke before the whole response was
// received; begun reports whether the response headers had just arrived.
func (e *crashEvidence) interrupted(c *call, a *attempt, begun bool) {
	suspects := c.suspectCauses(a, begun)
	if len(suspects) == 0 {
		return
	}
	id := a.backend.incarnation
	c.interruptedAt, c.suspects = id.run(), suspects
	if confirm := e.recordInterrupted(id, suspects, time.Now()); confirm {
		go e.confirmEnd(a.backend)
	}
}

// recordInterrupted records the suspects of an interruption, and reports whether it is to be
// found out whether the server has ended.
func (e *crashEvidence) recordInterrupted(id incarnation, suspects []dispatch.Suspect, now time.Time) (confirm bool) {
	e.mu.Lock()
	e.evidence.Interrupted(id.run(), suspects, now)
	e.relevant.Store(true)
	if now.Sub(e.refused[id]) < confirmInterval {
		e.evidence.Ended(id.run(), now)
	}
	confirm = e.evidence.AwaitsEnd(id.run()) && now.Sub(e.dialed[id]) >= confirmInterval && remember(e.dialed, id, now)
	e.mu.Unlock()
	e.notify(true)
	return confirm
}

// remember records the time of an event at an incarnation and forgets old ones. It returns
// false if there are too many.
func remember(times map[incarnation]time.Time, id incarnation, now time.Time) bool {
	if len(times) >= maxConfirming {
		maps.DeleteFunc(times, func(_ incarnation, at time.Time) bool { return now.Sub(at) >= confirmInterval })
	}
	if len(times) >= maxConfirming {
		return false
	}
	times[id] = now
	return true
}

// confirmEnd finds out by one connection whether a server has ended.
func (e *crashEvidence) confirmEnd(b *backend) {
	time.Sleep(confirmDelay)
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp4", b.address)
	if err == nil {
		connection.Close()
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		e.gateway.recordRefused(b)
	}
}

// endedByRefusal reports whether a server that has refused a connection has ended. One that keeps
// open connections has not: in a partition these may live on while new ones are refused. Those of
// a process that ends are closed one after the other.
func (b *backend) endedByRefusal() bool {
	if !b.pool.LivesOn() {
		return true
	}
	time.Sleep(confirmDelay)
	return !b.pool.LivesOn()
}

// recordRefused records that a server has refused a connection, and so has ended, unless that is
// in doubt.
func (g *Gateway) recordRefused(b *backend) {
	ended := func() {
		b.recordBroken(time.Now())
		g.serverEnded(b.incarnation, endRefused)
	}
	if !b.pool.LivesOn() {
		ended()
		return
	}
	go func() {
		if b.endedByRefusal() {
			ended()
		}
	}()
}

// serverEnded records that an incarnation of a server has ended.
func (g *Gateway) serverEnded(id incarnation, by string) {
	now := time.Now()
	g.evidence.ended(id, now)
	g.interruptions.markEnded(id, by, now)
}

// recordAnnouncedEnds records the servers that have ended by the announcements in a fleet
// snapshot.
func (g *Gateway) recordAnnouncedEnds(s *fleetview.Snapshot) {
	now := time.Now()
	for _, id := range g.evidence.closedAndEnded(s) {
		g.evidence.ended(id, now)
	}
	for _, id := range g.interruptions.markAnnouncedEnds(s, now) {
		g.evidence.ended(id, now)
	}
}

// ended records that an incarnation has ended. The close-delimited responses that it ended
// with are recorded as interrupted.
func (e *crashEvidence) ended(id incarnation, now time.Time) {
	e.mu.Lock()
	closed := e.takeClosed(id, now)
	for _, r := range closed {
		e.evidence.Interrupted(id.run(), r.suspects, now)
		e.relevant.Store(true)
	}
	awaited := e.evidence.AwaitsEnd(id.run())
	e.evidence.Ended(id.run(), now)
	remember(e.refused, id, now)
	e.mu.Unlock()
	for _, r := range closed {
		e.gateway.interruptions.add(r.backend, r.request, now)
	}
	if awaited {
		e.notify(true)
	}
}

// recordAlive records that the server has responded to an attempt, so that interruptions
// before it was sent were not the server's end.
func (a *attempt) recordAlive() {
	e := a.gateway.evidence
	if !(e.relevant.Load() || e.hasClosed.Load()) || a.err != nil || a.status == http.StatusMisdirectedRequest || (a.response.Server != "" && a.response.Server != a.backend.server) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.evidence.Alive(a.backend.run(), a.startedAt)
	e.aliveAfter(a.backend.incarnation, a.startedAt)
}

// blocks is rejectQuarantined for a caller that holds e.mu. A trial that did not run may go
// to another server.
func (e *crashEvidence) blocks(c *call, causes []dispatch.CrashCause, now time.Time) bool {
	if c.trial.Load() && !c.mayHaveRun {
		return false
	}
	cause, until, blocked := e.evidence.Blocked(causes, e.mayTry, now)
	if blocked {
		c.quarantined, c.quarantinedUntil = cause, until
	}
	return blocked
}

// admitCauses reports whether a request may be sent in spite of what it may crash servers
// with. If it tries a cause whose quarantine is over, the other instances are told.
func (c *call) admitCauses(now time.Time) bool {
	e := c.gateway.evidence
	if !e.relevant.Load() {
		return true
	}
	causes := c.knownCauses()
	if len(causes) == 0 {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.blocks(c, causes, now) {
		return false
	}
	if !c.trial.Load() && e.evidence.Sent(causes, now) {
		c.trial.Store(true)
		e.gateway.logger.Info("quarantine tried", slog.String("request", c.request.ID), slog.String("backend", c.service.Name))
		e.notify(true)
	}
	return true
}

// mayTry reports whether this instance is the one that may try a cause whose quarantine is
// over. The caller holds e.mu.
//
// Invariant: only the first in rank among the instances that the control instances list as
// accepting clients tries a cause, and only after it has been so for trialLeadTime.
func (e *crashEvidence) mayTry(p dispatch.CrashCause) bool {
	now := time.Now()
	list := e.gateway.permits.currentEntries(now)
	return list.eligible && list.version == e.candidates && now.Sub(e.candidatesSince) >= trialLeadTime &&
		dispatch.FirstIssuer(trialKey(p), list.candidates) == e.gateway.instance
}

// trialKey identifies a cause where instances are ranked for its trial.
func trialKey(p dispatch.CrashCause) string {
	if p.IsRequest() {
		return "request/" + string(p.Request[:])
	}
	return p.Service + "/" + p.Part
}

// reportSince returns what this instance has observed after a revision, nil for nothing, and
// the newest revision. To those that know nothing it also lists all quarantines.
func (e *crashEvidence) reportSince(since uint64, now time.Time) (*fleetv1.CrashEvidence, uint64) {
	if !e.relevant.Load() {
		return nil, 0
	}
	e.mu.Lock()
	last := e.logNews(now)
	r, _ := e.log.Since(since, now)
	if since == 0 {
		r.Quarantined = e.evidence.Quarantines(now)
	}
	e.mu.Unlock()
	return registry.EncodeCrashEvidence(r), last
}

// logNews logs what this instance has observed since the last call, and returns the newest
// revision. The caller holds e.mu.
func (e *crashEvidence) logNews(now time.Time) uint64 {
	e.log.Append(e.evidence.TakeNews(now), now)
	return e.log.Last()
}

// reportAll returns the evidence of all instances, nil for none.
func (e *crashEvidence) reportAll(now time.Time) *fleetv1.CrashEvidence {
	if !e.relevant.Load() {
		return nil
	}
	e.mu.Lock()
	r := e.evidence.Report(now)
	e.mu.Unlock()
	return registry.EncodeCrashEvidence(r)
}

// exchange sends the evidence to the control instances and the peers, and merges theirs. It
// must be called before these are started.
func (e *crashEvidence) exchange(view *fleetview.View, p *peers) {
	p.evidence, p.allEvidence, p.onEvidence = e.reportSince, e.reportAll, e.merge
	view.ExchangeEvidence(e.reportSince, e.merge)
}

// merge adds the evidence of another process.
func (e *crashEvidence) merge(encoded *fleetv1.CrashEvidence, _ string) {
	if !e.gateway.policy.Enabled(dispatch.PartQuarantine) {
		return
	}
	r, now := registry.DecodeCrashEvidence(encoded), time.Now()
	e.mu.Lock()
	changed := e.evidence.Merge(r, now)
	for id, at := range e.refused {
		if now.Sub(at) < confirmInterval && e.evidence.AwaitsEnd(id.run()) {
			e.evidence.Ended(id.run(), now)
			changed = true
		}
	}
	if changed {
		e.relevant.Store(!e.evidence.Empty(now))
	}
	e.mu.Unlock()
	if changed {
		e.notify(false)
	}
}

// run passes on changes of the evidence and reviews it until the context ends.
func (e *crashEvidence) run(ctx context.Context) {
	ticker := time.NewTicker(evidenceTick)
	defer ticker.Stop()
	var passedOn time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
			interval := registry.PollInterval(len(e.gateway.view.Current().Entries))
			select {
			case <-ctx.Done():
				return
			case <-time.After(max(evidenceDelay, time.Until(passedOn.Add(interval)))):
			}
			passedOn = time.Now()
			changed := e.review(passedOn)
			e.passOn(e.urgent.Swap(false) || changed, passedOn)
		case now := <-ticker.C:
			if !e.relevant.Load() {
				continue
			}
			if e.review(now) {
				passedOn = now
				e.passOn(true, now)
			}
		}
	}
}

// passOn sends what this instance has observed to the other instances and to the control
// instances, to these at once if it is urgent.
func (e *crashEvidence) passOn(urgent bool, now time.Time) {
	e.mu.Lock()
	before := e.passedRevision
	e.passedRevision = e.logNews(now)
	revision := e.passedRevision
	e.mu.Unlock()
	e.gateway.peers.evidenceChanged(revision, e.relevant.Load())
	if revision != before {
		e.gateway.view.EvidenceChanged(revision, urgent)
	}
	e.gateway.states.recheckAll()
}

// review confirms ends of servers by announcements and logs what has changed since the last
// review. It reports whether an end was confirmed or a quarantine began or ended.
func (e *crashEvidence) review(now time.Time) (changed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if list := e.gateway.permits.currentEntries(now); list.version != e.candidates || e.candidatesSince.IsZero() {
		e.candidates, e.candidatesSince = list.version, now
	}
	relevant := !e.evidence.Empty(now)
	e.relevant.Store(relevant)
	e.dropClosed(now)
	current, activeParts, activeRequests := make(map[dispatch.CrashCause]knownQuarantine), 0, 0
	if relevant {
		changed = e.confirmAnnouncedEnds(now)
		for _, q := range e.evidence.Quarantines(now) {
			state := knownQuarantine{q.Round, q.Lifted}
			current[q.Cause] = state
			switch {
			case q.Lifted:
			case q.Cause.IsRequest():
				activeRequests++
			default:
				activeParts++
			}
			if before, known := e.known[q.Cause]; before != state {
				changed = true
				e.logQuarantine(&q, known)
			}
		}
	}
	e.known = current
	e.gateway.metrics.quarantined.WithLabelValues(causeKindPart).Set(float64(activeParts))
	e.gateway.metrics.quarantined.WithLabelValues(causeKindRequest).Set(float64(activeRequests))
	return changed
}

// confirmAnnouncedEnds records which of the incarnations, at which this or another instance
// had requests interrupted, have ended by the announcements, and reports whether there are
// any. The caller holds e.mu.
func (e *crashEvidence) confirmAnnouncedEnds(now time.Time) (confirmed bool) {
	snapshot := e.gateway.view.Current()
	for _, run := range e.evidence.AwaitedEnds() {
		if hasEnded(snapshot, incarnation{run.Server, run.StartedMs}, "") {
			e.evidence.Ended(run, now)
			confirmed = true
		}
	}
	return confirmed
}

// logQuarantine logs a quarantine that has begun, been renewed or been lifted. known reports
// whether an earlier state was logged.
func (e *crashEvidence) logQuarantine(q *dispatch.QuarantineReport, known bool) {
	message := "prompt part quarantined"
	switch {
	case q.Lifted && !known:
		return
	case q.Cause.IsRequest() && q.Lifted:
		message = "quarantine of request lifted"
	case q.Cause.IsRequest():
		message = "request quarantined"
	case q.Lifted:
		message = "quarantine of prompt part lifted"
	}
	e.gateway.logger.Warn(message, slog.String("backend", q.Cause.Service), slog.String("part", loggedPart(q.Cause)), slog.String("digest", shortDigest(q.Cause.Request)), slog.Int("round", q.Round),
		slog.Duration("age", q.Age), slog.Duration("remaining", q.Remaining))
}

// loggedPart returns the ID of a part for a log line, empty for a request.
func loggedPart(c dispatch.CrashCause) string { return c.Part[:min(len(c.Part), maxLoggedPartLength)] }

// maxLoggedPartLength bounds a part's ID in a log line.
const maxLoggedPartLength = 64
