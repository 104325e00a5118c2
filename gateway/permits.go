package gateway

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/fleetview"
	"github.com/galenaarch/galenaarch/registry"
)

const (
	// permitTimeout limits one request for permits. Permits that come later have
	// expired.
	permitTimeout = 250 * time.Millisecond
	// permitInterval is the longest time between updates of the roles and reports of
	// limits.
	permitInterval = 100 * time.Millisecond
	// unlimitedRetry is how soon an instance may ask again for a server of which the issuer
	// does not know that it is limited.
	unlimitedRetry = 20 * time.Millisecond
	// entryListTTL is how long the list of entry instances is reused.
	entryListTTL = 100 * time.Millisecond
)

// permitClient gets permits for rate-limited servers: from this instance if it issues
// them, otherwise from the instance that does.
type permitClient struct {
	gateway *Gateway
	// wake has an element while a decision lacked a permit.
	wake chan struct{}
	// drainStartedAt is when this instance began to stop; nil before.
	drainStartedAt atomic.Pointer[time.Time]

	// mu guards the fields below.
	mu sync.Mutex
	// granted is closed and replaced when permits arrive.
	granted chan struct{}
	entries entryList
	// steady is since when this instance has been a candidate in the same list of issuers,
	// steadySince its last result.
	steady      dispatch.SteadyList
	steadySince time.Time
	// failureLoggedAt is when a failed request to each peer was last logged.
	failureLoggedAt map[string]time.Time
}

// entryList is a result of View.CurrentEntries and when it was obtained.
type entryList struct {
	byName map[string]*fleetv1.EntryInstance
	at     time.Time
	// candidates may issue permits, in the order of their names; version changes with
	// them. eligible reports whether this instance is one of them.
	candidates []string
	version    uint64
	eligible   bool
}

func newPermitClient(g *Gateway) *permitClient {
	return &permitClient{gateway: g, wake: make(chan struct{}, 1), granted: make(chan struct{}), failureLoggedAt: make(map[string]time.Time)}
}

// notify wakes run.
func (c *permitClient) notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// arrival returns a channel that is closed when permits arrive.
func (c *permitClient) arrival() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.granted
}

func (c *permitClient) announceArrival() {
	c.mu.Lock()
	close(c.granted)
	c.granted = make(chan struct{})
	c.mu.Unlock()
	c.gateway.states.recheckAll()
}

// run asks for permits and reports limits to the control instances until the context ends.
func (c *permitClient) run(ctx context.Context, view *fleetview.View) {
	timer := time.NewTimer(permitInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		case <-timer.C:
		}
		now := time.Now()
		next := c.acquire(ctx, now)
		c.gateway.applyBrittleness(now)
		view.ReportRateLimits(c.gateway.limits.unreported(now))
		timer.Reset(max(time.Millisecond, next.Sub(now)))
	}
}

// currentEntries lists the entry instances that the control instances know.
func (c *permitClient) currentEntries(now time.Time) entryList {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.entries.at) >= entryListTTL {
		c.entries = c.listEntries(now, c.entries)
	}
	return c.entries
}

// listEntries lists the entry instances anew. A stopping instance stays a candidate for
// its own permits until it resigns.
func (c *permitClient) listEntries(now time.Time, previous entryList) entryList {
	entries, listed, accepting := c.gateway.view.CurrentEntries(now, dispatch.LeadTTL-entryListTTL)
	list := entryList{byName: entries, at: now, eligible: accepting, version: previous.version}
	if startedAt := c.drainStartedAt.Load(); startedAt != nil {
		list.eligible = listed && now.Sub(*startedAt) < dispatch.ResignTime-entryListTTL
	}
	for name, e := range entries {
		if (name == c.gateway.instance && list.eligible) || (name != c.gateway.instance && e.Accepting) {
			list.candidates = append(list.candidates, name)
		}
	}
	slices.Sort(list.candidates)
	if !slices.Equal(list.candidates, previous.candidates) {
		list.version++
	}
	return list
}

// firstIssuer returns the entry instance that ranks first for a server, nil if none is
// known, and whether this instance leads. The caller holds l.mu.
func (c *permitClient) firstIssuer(l *serverLimit, now time.Time) (first *fleetv1.EntryInstance, leads bool) {
	list := c.currentEntries(now)
	if l.rankedVersion != list.version {
		l.first, l.rankedVersion = dispatch.FirstIssuer(l.server, list.candidates), list.version
	}
	return list.byName[l.first], list.eligible && l.first == c.gateway.instance
}

// updateRole updates whether this instance issues the permits of a server. The caller
// holds l.mu.
func (c *permitClient) updateRole(l *serverLimit, leads bool, now time.Time) bool {
	var issuing bool
	if l.cold.Active(now) {
		issuing = l.role.UpdateSteady(leads, c.listSteadySince(), now)
	} else {
		issuing = l.role.Update(leads, now)
	}
	if issuing != l.issuing {
		l.issuing, l.issuer = issuing, dispatch.PermitIssuer{}
		c.gateway.logger.Info("permit issuer changed", slog.String("server", l.server), slog.Bool("issuing", issuing))
	}
	return issuing
}

// noteList records the current list of issuers.
func (c *permitClient) noteList(now time.Time) {
	list := c.currentEntries(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.steadySince = c.steady.Update(list.version, list.eligible, now)
}

func (c *permitClient) listSteadySince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.steadySince
}

// permitTarget is what is asked of one issuer.
type permitTarget struct {
	entry    *fleetv1.EntryInstance
	limits   []*serverLimit
	requests []*fleetv1.PermitRequest
}

// acquire asks for the permits that decisions lacked, and returns when it is due again.
func (c *permitClient) acquire(ctx context.Context, now time.Time) (next time.Time) {
	targets := make(map[string]*permitTarget)
	next = now.Add(permitInterval)
	arrived := false
	c.noteList(now)
	for _, l := range c.gateway.limits.all() {
		arrived = c.gateway.endCold(l, now) || arrived
		if !l.limited(now) {
			continue
		}
		l.mu.Lock()
		first, leads := c.firstIssuer(l, now)
		issuing := c.updateRole(l, leads, now)
		wanted := l.permits.Wanted(l.inForce(now), now)
		switch {
		case wanted == 0:
		case issuing:
			granted, retryAfter := c.issue(l, c.gateway.instance, wanted, now)
			l.permits.Granted(granted, retryAfter, now, now)
			arrived = arrived || granted > 0
		case first == nil:
			l.permits.Unanswered(now)
		default:
			c.addRequest(targets, c.issuerToAsk(l, first), l, wanted, now)
		}
		if at, lacking := l.permits.NextAsk(); lacking && at.Before(next) {
			next = at
		}
		l.mu.Unlock()
	}
	for _, t := range targets {
		go c.request(ctx, t)
	}
	if arrived {
		c.announceArrival()
	}
	return next
}

// issue issues permits of a server to an instance. The caller holds l.mu.
func (c *permitClient) issue(l *serverLimit, instance string, wanted int, now time.Time) (granted int, retryAfter time.Duration) {
	granted, retryAfter = l.issuer.Issue(l.inForce(now), instance, wanted, now)
	c.gateway.metrics.permitsIssued.Add(float64(granted))
	return granted, retryAfter
}

// issuerToAsk returns the instance to ask for permits: the one that issued last, as long
// as it responds, since the first in rank may not issue yet. The caller holds l.mu.
func (c *permitClient) issuerToAsk(l *serverLimit, first *fleetv1.EntryInstance) *fleetv1.EntryInstance {
	if last := c.currentEntries(time.Now()).byName[l.lastIssuer]; last != nil && last.Name != c.gateway.instance {
		return last
	}
	return first
}

// addRequest adds a request for permits to those of its target. The caller holds l.mu.
func (c *permitClient) addRequest(targets map[string]*permitTarget, entry *fleetv1.EntryInstance, l *serverLimit, wanted int, now time.Time) {
	if entry.PeerUrl == "" || entry.Name == c.gateway.instance {
		l.permits.Unanswered(now)
		return
	}
	t := targets[entry.Name]
	if t == nil {
		t = &permitTarget{entry: entry}
		targets[entry.Name] = t
	}
	t.limits = append(t.limits, l)
	t.requests = append(t.requests, &fleetv1.PermitRequest{Server: &fleetv1.ServerLife{Server: l.server, BornUnixMs: l.startedMs}, Limit: registry.EncodeRateLimit(l.stated), Wanted: uint32(wanted)})
}

// request asks one instance for permits and records its response.
func (c *permitClient) request(ctx context.Context, t *permitTarget) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	sentAt := time.Now()
	response, err := c.gateway.peers.permitClient(t.entry.PeerUrl).AcquirePermits(ctx, &fleetv1.AcquirePermitsRequest{Entry: c.gateway.instance, Requests: t.requests})
	now := time.Now()
	if err != nil || len(response.Grants) != len(t.requests) {
		c.gateway.metrics.permitRequests.WithLabelValues("failed").Inc()
		c.logFailure(t.entry.Name, err, now)
		for _, l := range t.limits {
			l.mu.Lock()
			l.permits.Unanswered(now)
			l.lastIssuer = ""
			l.mu.Unlock()
		}
		return
	}
	arrived := false
	for i, grant := range response.Grants {
		arrived = c.recordGrant(t, t.limits[i], grant, sentAt, now) || arrived
	}
	if arrived {
		c.announceArrival()
	}
}

// recordGrant records the response on one server and reports whether permits arrived.
func (c *permitClient) recordGrant(t *permitTarget, l *serverLimit, grant *fleetv1.PermitGrant, sentAt, now time.Time) bool {
	c.gateway.mergeRateLimit(l.incarnation, registry.DecodeRateLimit(grant.Limit), t.entry.Name)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !grant.Issuing {
		c.gateway.metrics.permitRequests.WithLabelValues("not issuing").Inc()
		l.permits.Unanswered(now)
		l.lastIssuer = ""
		return false
	}
	c.gateway.metrics.permitRequests.WithLabelValues("answered").Inc()
	l.lastIssuer = t.entry.Name
	l.permits.Granted(int(grant.Granted), time.Duration(grant.RetryMs)*time.Millisecond, sentAt, now)
	return grant.Granted > 0
}

// serve responds to another instance's request for permits.
func (c *permitClient) serve(r *fleetv1.AcquirePermitsRequest) *fleetv1.AcquirePermitsResponse {
	response := &fleetv1.AcquirePermitsResponse{}
	for _, request := range r.Requests {
		id := incarnation{request.Server.GetServer(), request.Server.GetBornUnixMs()}
		c.gateway.mergeRateLimit(id, registry.DecodeRateLimit(request.Limit), r.Entry)
		grant := &fleetv1.PermitGrant{}
		response.Grants = append(response.Grants, grant)
		l := c.gateway.limits.get(id)
		if l == nil {
			continue
		}
		now := time.Now()
		l.mu.Lock()
		_, leads := c.firstIssuer(l, now)
		grant.Issuing = c.updateRole(l, leads, now)
		grant.Limit = registry.EncodeRateLimit(l.stated)
		if grant.Issuing && l.inForce(now).Limited {
			granted, retryAfter := c.issue(l, r.Entry, int(request.Wanted), now)
			grant.Granted, grant.RetryMs = uint32(granted), uint32(retryAfter.Milliseconds())
		} else if grant.Issuing {
			grant.RetryMs = uint32(unlimitedRetry.Milliseconds())
		}
		l.mu.Unlock()
	}
	return response
}

// await waits until a permit may have arrived for a request that has no other server. It
// returns false at once if none is expected before the deadline.
func (c *permitClient) await(ctx context.Context, arrival <-chan struct{}, limited []*backend, deadline time.Time) bool {
	now := time.Now()
	expected := false
	for _, b := range limited {
		if l := b.rateLimit.Load(); l != nil {
			l.mu.Lock()
			expected = expected || l.permits.Expected(deadline)
			l.mu.Unlock()
		}
	}
	if !expected || !now.Before(deadline) {
		return false
	}
	timer := time.NewTimer(deadline.Sub(now))
	defer timer.Stop()
	select {
	case <-arrival:
		return true
	case <-timer.C:
		return true // a fallback turn may have begun
	case <-ctx.Done():
		return false
	}
}

// failureLogInterval is the least time between two log lines on one peer.
const failureLogInterval = 5 * time.Second

// logFailure logs a failed request to a peer, at most one in failureLogInterval.
func (c *permitClient) logFailure(peer string, err error, now time.Time) {
	c.mu.Lock()
	recent := now.Sub(c.failureLoggedAt[peer]) < failureLogInterval
	if !recent {
		maps.DeleteFunc(c.failureLoggedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= failureLogInterval })
		c.failureLoggedAt[peer] = now
	}
	c.mu.Unlock()
	if !recent {
		c.gateway.logger.Info("request for permits failed", slog.String("peer", peer), slog.Any("error", err))
	}
}
