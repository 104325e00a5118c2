package gateway

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/config/site"
	"github.com/galenaarch/galenaarch/dispatch"
)

// consideredSet is a set of servers that a decision has compared.
type consideredSet struct {
	set        *candidateSet
	candidates *dispatch.Candidates
}

// Explain implements fleetv1.Entries.
func (p *peers) Explain(_ context.Context, r *fleetv1.ExplainRequest) (*fleetv1.ExplainResponse, error) {
	return p.explain(r), nil
}

// explain returns where this instance would send a request that arrived now, and why.
//
// Invariant: it changes nothing that a decision depends on. The decision is made by the code that
// decides on requests, on copies of what is known of the service's servers.
func (g *Gateway) explain(q *fleetv1.ExplainRequest) *fleetv1.ExplainResponse {
	rs, now := g.routing.Load(), time.Now()
	x := &explanation{ExplainResponse: &fleetv1.ExplainResponse{Entry: g.instance, Domain: g.zone, DocumentVersion: rs.documentVersion()}, now: now}
	c := g.describedCall(q, rs, now)
	x.call = c
	if rs.table == nil {
		x.NotReady = true
		return x.rejected(http.StatusServiceUnavailable, reasonNoDocument)
	}
	if status, reason := c.matchDescribed(q); status != 0 {
		x.Refused = true
		return x.rejected(status, rejectReason(reason))
	}
	if !c.endsInTime() {
		x.NotReady = true
		return x.rejected(http.StatusServiceUnavailable, reasonStopping)
	}
	x.decideOnCopies()
	x.describeServers()
	x.describeBounds()
	g.logger.Info("decision explained", slog.String("route", x.Route), slog.String("service", x.Service), slog.String("action", x.Action), slog.String("server", x.Server),
		slog.String("reason", x.Reason), slog.Duration("took", time.Since(x.now)))
	return x.ExplainResponse
}

// decideOnCopies makes the decision on copies of what is known of the service's servers. Requests to
// the service wait for the copies and the decision, not for what follows.
func (x *explanation) decideOnCopies() {
	c := x.call
	s := c.gateway.states.all()[c.service.Name]
	if s == nil {
		s = &serviceState{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.explained = c.routing.copyService(c.service.Name, s)
	c.state = c.explained.copiedState
	x.describeCall()
	x.decide()
}

// describedCall returns a call for a request that is only described.
func (g *Gateway) describedCall(q *fleetv1.ExplainRequest, rs *routingState, now time.Time) *call {
	r := &Request{AccountKey: q.Key, Timeout: time.Duration(q.TimeoutMs) * time.Millisecond}
	if q.PromptTokens > 0 {
		r.Prompt = &Prompt{Model: q.Model, Tokens: int(q.PromptTokens), MaxOutput: int(q.MaxOutputTokens)}
		for _, p := range q.Parts {
			r.Prompt.Parts = append(r.Prompt.Parts, Part{ID: p.Id, Tokens: int(p.Tokens)})
		}
	}
	return &call{gateway: g, routing: rs, request: r, method: q.Method, startedAt: now, triedServers: make(map[string]bool), ranServers: make(map[string]bool), triedPeers: make(map[string]bool)}
}

// matchDescribed finds the route, service and account of a described request.
func (c *call) matchDescribed(q *fleetv1.ExplainRequest) (status int, reason string) {
	t := c.routing.table
	if q.Account != "" {
		i := slices.IndexFunc(t.Accounts, func(a site.Account) bool { return a.Name == q.Account })
		if i < 0 || len(t.Accounts[i].Keys) == 0 {
			return http.StatusUnauthorized, "unknown account"
		}
		c.request.AccountKey = t.Accounts[i].Keys[0]
	}
	path, _, _ := strings.Cut(q.Path, "?")
	if status, reason = c.matchRoute(q.Host, path); status != 0 {
		return status, reason
	}
	name := c.route.PickTarget(rand.Float64())
	if q.Service != "" {
		if !slices.ContainsFunc(c.route.Targets, func(target site.Target) bool { return target.Service == q.Service }) {
			return http.StatusNotFound, "route does not lead to the service"
		}
		name = q.Service
	}
	c.service = t.Service(name)
	c.prompt = c.promptFor(c.service)
	c.setDeadline(c.allowedTime())
	return 0, ""
}

// copyService returns a routing state with copies of the servers of a service, whose state is a copy
// of s. The caller holds the lock of s.
func (rs *routingState) copyService(service string, s *serviceState) *routingState {
	copied := *rs
	state := s.copyState()
	copied.backends, copied.services = make(map[string]*backend), map[string][]*backend{service: nil}
	for name, b := range rs.backends {
		if b.service.Name == service {
			copied.backends[name] = b.copyFor(state)
		}
	}
	for _, b := range rs.services[service] {
		listed := copied.backends[b.server]
		if rs.backends[b.server] != b {
			listed = b.copyFor(state)
		}
		copied.services[service] = append(copied.services[service], listed)
	}
	copied.copiedState = state
	return &copied
}

// copyState returns a copy of the state without its buffers. The waiting requests are shared: they may
// be read only while the caller holds the state's lock, as it must now.
func (s *serviceState) copyState() *serviceState {
	return &serviceState{
		copied: true, queue: s.queue, prefill: s.prefill, estimateErrors: s.estimateErrors, starts: s.starts, firstServerAt: s.firstServerAt, brittle: s.brittle,
		returns: s.returns, line: s.line, lastResumed: s.lastResumed, lastRecheck: s.lastRecheck, paths: s.paths, pathFailedAt: s.pathFailedAt, probeOffset: s.probeOffset,
		peerBackends: maps.Clone(s.peerBackends),
	}
}

// copyFor returns a copy of a backend for a copy of its service's state. The caller holds the lock
// of the state.
func (b *backend) copyFor(state *serviceState) *backend {
	copied := &backend{
		incarnation: b.incarnation, address: b.address, zone: b.zone, service: b.service, software: b.software, pool: b.pool, peer: b.peer, state: state,
		homeHash: b.homeHash, tracker: b.tracker, weights: maps.Clone(b.weights),
	}
	copied.retired.Store(b.retired.Load())
	copied.groupPosition.Store(b.groupPosition.Load())
	copied.inCell.Store(b.inCell.Load())
	copied.keeper.Store(b.keeper.Load())
	copied.brokenAt.Store(b.brokenAt.Load())
	if l := b.rateLimit.Load(); l != nil {
		copied.rateLimit.Store(l.copyLimit())
	}
	return copied
}

// copyLimit returns a copy for which no permits are asked.
func (l *serverLimit) copyLimit() *serverLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &serverLimit{incarnation: l.incarnation, copied: true, stated: l.stated, cold: l.cold, permits: l.permits, issuing: l.issuing, lastIssuer: l.lastIssuer, first: l.first}
}

// decide makes the decision on the described request.
func (x *explanation) decide() {
	c, g := x.call, x.call.gateway
	switch {
	case !c.timeLeft(x.now):
		x.rejected(http.StatusServiceUnavailable, reasonDeadline)
		return
	case c.blockedByVerdict(x.now):
		x.rejected(http.StatusServiceUnavailable, c.quarantineReason())
		return
	}
	d, b := g.decide(c, c.claimedAhead(), x.now)
	c.decision = d
	x.Action, x.Verdict, x.Late = d.Action.String(), d.Verdict.String(), d.Late
	x.WaitNs, x.DeferredWaitNs = int64(d.Estimate.ArrivalOrderWait), int64(d.Estimate.DeferredWait)
	reason, sent := c.keptBack(d, x.now)
	switch {
	case reason != "":
		x.rejected(http.StatusServiceUnavailable, c.resolveReason(reason))
	case !sent && c.state.queue.Full():
		x.rejected(http.StatusServiceUnavailable, reasonNoCapacity)
	case b.peer != nil:
		x.Peer = b.peer.name
	default:
		x.Server = b.server
		if c.prompt == nil { // only prompts are estimated
			x.Verdict = ""
		}
	}
}

// blockedByVerdict is rejectQuarantined without judging new evidence and without the request as a
// whole, whose body is not known.
func (c *call) blockedByVerdict(now time.Time) bool {
	e := c.gateway.evidence
	causes := c.recordableParts()
	if !e.relevant.Load() || len(causes) == 0 {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	cause, until, blocked := e.evidence.BlockedByVerdict(causes, e.mayTry, now)
	if blocked {
		c.quarantined, c.quarantinedUntil = cause, until
	}
	return blocked
}

// explanation is an ExplainResponse in the making.
type explanation struct {
	*fleetv1.ExplainResponse
	call *call
	now  time.Time
}

// rejected records why the request is rejected, and when its client may come back.
func (x *explanation) rejected(status int, reason rejectReason) *fleetv1.ExplainResponse {
	x.Status, x.Reason, x.Action = uint32(status), string(reason), dispatch.Reject.String()
	if status != http.StatusServiceUnavailable {
		return x.ExplainResponse
	}
	after := x.call.retryAfterReason(reason)
	x.RetryAfterNs = int64(after)
	return x.ExplainResponse
}
