package gateway

import (
	"context"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/fleetview"
	"github.com/galenaarch/galenaarch/placement"
	"github.com/galenaarch/galenaarch/registry"
)

// Intervals and limits of the updates between entry instances.
const (
	// updateDelay batches changes that occur at about the same time.
	// cellUpdateDelay is used with cells, where each update goes to as many as
	// maxPeers instances and costs processing time on both sides.
	updateDelay     = 8 * time.Millisecond
	cellUpdateDelay = 25 * time.Millisecond
	// callUpdateInterval is the longest time for which a change of calls waits for an update.
	callUpdateInterval = 50 * time.Millisecond
	// refreshInterval is the time after which an unchanged update is resent while
	// there is work.
	refreshInterval = 400 * time.Millisecond
	// updateTimeout limits the sending of one update to one peer.
	updateTimeout = 300 * time.Millisecond
	// updateTTL is how long an update counts if it is not renewed.
	updateTTL = time.Second
	// unreachableBackoff is how long a peer that did not respond is skipped.
	unreachableBackoff = 2 * time.Second
	// maxPeers limits the peers to which an instance sends its own load: the cost
	// grows with the square of their number. With cells, the peers are those of its
	// failure domain.
	maxPeers = 8
	// zoneUpdateInterval is the time between updates to each other failure domain,
	// with cells; zoneUpdateTTL is how long such an update counts.
	zoneUpdateInterval = 100 * time.Millisecond
	zoneUpdateTTL      = 500 * time.Millisecond
)

// peerUpdate is the last update received from another instance.
type peerUpdate struct {
	startedMs  int64
	sequence   uint64
	receivedAt time.Time
	load       map[string]dispatch.Load
	mix        placement.MixWork
}

// peers exchanges the load at engines and the leaving servers between entry
// instances. A server reports its own load only with a response; until then, without
// this exchange, several instances would send long prompts to the same server and fill
// its memory.
//
// With cells, an instance sends its own load to the others of its failure domain, and
// the load of the whole domain to one instance of each other domain, in rotation.
// Every instance knows the load of all others, a few hundred ms late if they are in
// another domain, and its traffic grows with the number of domains, not of instances.
type peers struct {
	self   *fleetv1.EntryInstance
	client *http.Client
	logger *slog.Logger
	// changed has an element while a change waits to be sent.
	changed chan struct{}

	// totals is the load of the other instances at each server, by their last
	// updates; totalsStale is set when it must be recomputed. Updates arrive far more
	// often than decisions are made.
	totals      atomic.Pointer[map[string]dispatch.Load]
	totalsStale atomic.Bool
	// othersMix is the work of the other instances' prompts by length, with the totals;
	// ownMix returns that of this instance.
	othersMix atomic.Pointer[placement.MixWork]
	ownMix    func(now time.Time) placement.MixWork
	// onUpdate is called after an update from another instance, with the incarnations
	// that it reports as leaving.
	onUpdate func(leaving []incarnation, from string)
	// limits lists the rate limits to include in updates, onLimit is called for each
	// limit in an update from another instance, and servePermits responds to requests
	// for permits.
	limits       func(now time.Time) []*fleetv1.ServerRateLimit
	onLimit      func(id incarnation, limit dispatch.StatedLimit, from string)
	servePermits func(r *fleetv1.AcquirePermitsRequest) *fleetv1.AcquirePermitsResponse
	// serveBooking responds to the booking of a prompt.
	serveBooking func(r *fleetv1.BookWorkRequest) *fleetv1.BookWorkResponse
	// evidence returns what this instance has observed of crashes after a revision, and
	// allEvidence what it knows; nil for none. onEvidence is called for the evidence in an
	// update from another instance.
	evidence    func(since uint64, now time.Time) (*fleetv1.CrashEvidence, uint64)
	allEvidence func(now time.Time) *fleetv1.CrashEvidence
	onEvidence  func(e *fleetv1.CrashEvidence, from string)
	// domainWork returns this instance's work at one failure domain, or at all.
	domainWork func(domain string) *fleetv1.GetDomainWorkResponse
	// explain returns where this instance would send a request.
	explain func(*fleetv1.ExplainRequest) *fleetv1.ExplainResponse
	// evidenceNews schedules the evidence in updates to peers, evidenceZones that in
	// updates to other failure domains.
	evidenceNews, evidenceZones evidenceSchedule

	mu      sync.Mutex
	ownLoad map[string]dispatch.Load
	// callsChanged is set while a change of calls in progress waits for the next update.
	callsChanged bool
	leaving      []incarnation
	// zoneUpdates are the updates on whole failure domains; rotation selects the
	// instance of a domain to send to.
	zoneUpdates  map[string]*peerUpdate
	rotation     int
	updates      map[string]*peerUpdate
	sequence     uint64
	backoffUntil map[string]time.Time
	clients      map[string]fleetv1.Entries
}

func newPeers(self *fleetv1.EntryInstance, client *http.Client, logger *slog.Logger) *peers {
	p := &peers{
		self: self, client: client, logger: logger, changed: make(chan struct{}, 1), ownLoad: make(map[string]dispatch.Load), zoneUpdates: make(map[string]*peerUpdate), onUpdate: func([]incarnation, string) {},
		ownMix: func(time.Time) placement.MixWork { return placement.MixWork{} },
		limits: func(time.Time) []*fleetv1.ServerRateLimit { return nil }, onLimit: func(incarnation, dispatch.StatedLimit, string) {},
		servePermits: func(*fleetv1.AcquirePermitsRequest) *fleetv1.AcquirePermitsResponse {
			return &fleetv1.AcquirePermitsResponse{}
		},
		serveBooking: func(*fleetv1.BookWorkRequest) *fleetv1.BookWorkResponse {
			return &fleetv1.BookWorkResponse{Booked: true}
		},
		evidence:    func(uint64, time.Time) (*fleetv1.CrashEvidence, uint64) { return nil, 0 },
		allEvidence: func(time.Time) *fleetv1.CrashEvidence { return nil }, onEvidence: func(*fleetv1.CrashEvidence, string) {},
		domainWork: func(string) *fleetv1.GetDomainWorkResponse { return &fleetv1.GetDomainWorkResponse{} },
		explain: func(*fleetv1.ExplainRequest) *fleetv1.ExplainResponse {
			return &fleetv1.ExplainResponse{NotReady: true}
		},
		updates: make(map[string]*peerUpdate), backoffUntil: make(map[string]time.Time), clients: make(map[string]fleetv1.Entries),
	}
	p.totals.Store(&map[string]dispatch.Load{})
	p.othersMix.Store(&placement.MixWork{})
	return p
}

var _ fleetv1.Entries = (*peers)(nil)

// setOwnLoad sets this instance's load at a server and schedules an update.
func (p *peers) setOwnLoad(server string, l dispatch.Load) {
	p.mu.Lock()
	changed := p.ownLoad[server] != l
	if l == (dispatch.Load{}) {
		delete(p.ownLoad, server)
	} else {
		p.ownLoad[server] = l
	}
	p.mu.Unlock()
	if changed {
		p.notify()
	}
}

// announceLeaving adds a leaving server to the updates and schedules one. Only the last
// maxLeavingPerUpdate servers are kept.
func (p *peers) announceLeaving(id incarnation) {
	p.mu.Lock()
	if p.leaving = append(p.leaving, id); len(p.leaving) > maxLeavingPerUpdate {
		p.leaving = p.leaving[1:]
	}
	p.mu.Unlock()
	p.notify()
}

// maxLeavingPerUpdate limits the leaving servers in each update; the control instances
// report all of them.
const maxLeavingPerUpdate = 16

// notify wakes run, which sends the changes after a delay. Calls until then are merged
// into one update.
func (p *peers) notify() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// othersLoad returns the load of the other instances at each server. It must not be
// modified.
func (p *peers) othersLoad() map[string]dispatch.Load {
	if p.totalsStale.Swap(false) {
		p.mu.Lock()
		p.recomputeTotals(time.Now())
		p.mu.Unlock()
	}
	return *p.totals.Load()
}

// othersMixWork returns the work of the other instances' recent prompts by length.
func (p *peers) othersMixWork() placement.MixWork {
	p.othersLoad()
	return *p.othersMix.Load()
}

// zoneKnown reports whether the load of a failure domain's instances is known; that
// of the own domain always is.
func (p *peers) zoneKnown(zone string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.zoneUpdates[zone]
	return zone == p.self.Zone || (u != nil && now.Sub(u.receivedAt) < zoneUpdateTTL)
}

// recomputeTotals updates the totals and forgets expired updates; the caller holds p.mu.
func (p *peers) recomputeTotals(now time.Time) {
	totals, mix := make(map[string]dispatch.Load), placement.MixWork{}
	for name, u := range p.updates {
		if now.Sub(u.receivedAt) > updateTTL {
			delete(p.updates, name)
			continue
		}
		addLoads(totals, u.load)
		mix = mix.Plus(u.mix)
	}
	for zone, u := range p.zoneUpdates {
		if now.Sub(u.receivedAt) > zoneUpdateTTL {
			delete(p.zoneUpdates, zone)
			continue
		}
		addLoads(totals, u.load)
		mix = mix.Plus(u.mix)
	}
	p.totals.Store(&totals)
	p.othersMix.Store(&mix)
}

// addLoads adds loads to totals, server by server.
func addLoads(totals, loads map[string]dispatch.Load) {
	for server, l := range loads {
		s := totals[server]
		s.Rejections += l.Rejections
		s.Requests, s.PrefillTokens, s.DeferredTokens, s.MemoryTokens = s.Requests+l.Requests, s.PrefillTokens+l.PrefillTokens, s.DeferredTokens+l.DeferredTokens, s.MemoryTokens+l.MemoryTokens
		totals[server] = s
	}
}

// Tell implements fleetv1.Entries. It stores an update from another instance, and calls
// onUpdate unless the update is outdated.
func (p *peers) Tell(_ context.Context, r *fleetv1.TellRequest) (*fleetv1.TellResponse, error) {
	for _, l := range r.Limits {
		p.onLimit(incarnation{l.Server.GetServer(), l.Server.GetBornUnixMs()}, registry.DecodeRateLimit(l.Limit), r.Entry)
	}
	if r.Evidence != nil {
		p.onEvidence(r.Evidence, r.Entry)
	}
	if p.apply(r) {
		leaving := make([]incarnation, len(r.Leaving))
		for i, l := range r.Leaving {
			leaving[i] = incarnation{l.Server, l.BornUnixMs}
		}
		p.onUpdate(leaving, r.Entry)
	}
	return &fleetv1.TellResponse{}, nil
}

// AcquirePermits implements fleetv1.Entries.
func (p *peers) AcquirePermits(_ context.Context, r *fleetv1.AcquirePermitsRequest) (*fleetv1.AcquirePermitsResponse, error) {
	return p.servePermits(r), nil
}

// BookWork implements fleetv1.Entries.
func (p *peers) BookWork(_ context.Context, r *fleetv1.BookWorkRequest) (*fleetv1.BookWorkResponse, error) {
	return p.serveBooking(r), nil
}

// permitClient returns the client for requests for permits, and for bookings, to a peer.
func (p *peers) permitClient(url string) fleetv1.Entries {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clientOf(url)
}

// apply stores an update and reports whether it is the newest of its instance.
func (p *peers) apply(r *fleetv1.TellRequest) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Zone != "" {
		return p.applyZone(r)
	}
	previous := p.updates[r.Entry]
	if previous != nil && (r.StartedUnixMs < previous.startedMs || (r.StartedUnixMs == previous.startedMs && r.Sequence <= previous.sequence)) {
		return false
	}
	now := time.Now()
	p.updates[r.Entry] = &peerUpdate{startedMs: r.StartedUnixMs, sequence: r.Sequence, receivedAt: now, load: decodeWork(r.Work), mix: decodeMix(r.Mix)}
	p.totalsStale.Store(true)
	return true
}

// applyZone stores an update on a whole failure domain: the last one received counts,
// whichever of the domain's instances sent it. The caller holds p.mu.
func (p *peers) applyZone(r *fleetv1.TellRequest) bool {
	if r.Zone == p.self.Zone {
		return false
	}
	now := time.Now()
	p.zoneUpdates[r.Zone] = &peerUpdate{receivedAt: now, load: decodeWork(r.Work), mix: decodeMix(r.Mix)}
	p.totalsStale.Store(true)
	return true
}

// run sends updates until the context ends.
func (p *peers) run(ctx context.Context, view *fleetview.View) {
	refreshTicker, zoneTicker, callTicker := time.NewTicker(refreshInterval), time.NewTicker(zoneUpdateInterval), time.NewTicker(callUpdateInterval)
	defer refreshTicker.Stop()
	defer zoneTicker.Stop()
	defer callTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.changed:
			select {
			case <-ctx.Done():
				return
			case <-time.After(updateDelayFor(len(view.Current().Entries))):
			}
		case <-zoneTicker.C:
			p.sendZoneUpdates(ctx, view.Current().Entries)
			continue
		case <-callTicker.C:
			if !p.callsDue() {
				continue
			}
		case <-refreshTicker.C:
			p.mu.Lock()
			idle := len(p.ownLoad) == 0
			p.totalsStale.Store(true)
			p.mu.Unlock()
			if idle && !p.evidenceNews.due(time.Now()) {
				continue
			}
		}
		p.sendUpdates(ctx, view.Current().Entries)
	}
}

// updateDelayFor returns how long changes are batched with the given number of entry
// instances.
func updateDelayFor(entries int) time.Duration {
	if placement.UsesCells(entries) {
		return cellUpdateDelay
	}
	return updateDelay
}

// sendUpdates sends this instance's load and leaving servers once, to at most maxPeers
// other instances, with cells only to those of its failure domain. It does not wait for
// the responses. entries is keyed by instance name.
func (p *peers) sendUpdates(ctx context.Context, entries map[string]*fleetv1.EntryInstance) {
	limits, evidence, mix := p.limits(time.Now()), p.evidenceNewsFor(&p.evidenceNews), p.ownMix(time.Now())
	p.mu.Lock()
	p.sequence++
	p.callsChanged = false
	req := &fleetv1.TellRequest{Entry: p.self.Name, StartedUnixMs: p.self.StartedUnixMs, Sequence: p.sequence, Limits: limits, Evidence: evidence}
	if placement.UsesCells(len(entries)) {
		req.Mix = encodeMix(mix)
	}
	req.Work = encodeWork(p.ownLoad)
	for _, id := range p.leaving {
		req.Leaving = append(req.Leaving, &fleetv1.ServerLife{Server: id.server, BornUnixMs: id.startedMs})
	}
	p.mu.Unlock()
	var urls []string
	var clients []fleetv1.Entries
	for name, e := range entries {
		if name == p.self.Name || e.PeerUrl == "" || len(urls) >= maxPeers || (placement.UsesCells(len(entries)) && e.Zone != p.self.Zone) {
			continue
		}
		if c := p.clientFor(e.PeerUrl, time.Now()); c != nil {
			urls, clients = append(urls, e.PeerUrl), append(clients, c)
		}
	}
	turn := p.evidenceNews.takeTurn(len(urls), time.Now())
	for i, c := range clients {
		if i == turn {
			go p.sendUpdate(ctx, urls[i], c, p.withAllEvidence(req))
			continue
		}
		go p.sendUpdate(ctx, urls[i], c, req)
	}
}

// withAllEvidence returns an update that includes all crash evidence.
func (p *peers) withAllEvidence(req *fleetv1.TellRequest) *fleetv1.TellRequest {
	next := proto.CloneOf(req)
	next.Evidence = p.allEvidence(time.Now())
	return next
}

// sendZoneUpdates sends the load of this failure domain to one instance of each other
// domain, in rotation, with cells.
func (p *peers) sendZoneUpdates(ctx context.Context, entries map[string]*fleetv1.EntryInstance) {
	if !placement.UsesCells(len(entries)) {
		return
	}
	byZone, limits, mix := make(map[string][]string), p.limits(time.Now()), p.ownMix(time.Now())
	for name, e := range entries {
		if e.Zone != p.self.Zone && e.PeerUrl != "" {
			byZone[e.Zone] = append(byZone[e.Zone], name)
		}
	}
	p.mu.Lock()
	now := time.Now()
	work := maps.Clone(p.ownLoad)
	for _, u := range p.updates {
		if now.Sub(u.receivedAt) <= updateTTL {
			addLoads(work, u.load)
			mix = mix.Plus(u.mix)
		}
	}
	p.rotation++
	req := &fleetv1.TellRequest{Entry: p.self.Name, StartedUnixMs: p.self.StartedUnixMs, Zone: p.self.Zone, Work: encodeWork(work), Limits: limits, Mix: encodeMix(mix)}
	p.mu.Unlock()
	turn := p.evidenceZones.takeTurn(len(byZone), now)
	for i, zone := range slices.Sorted(maps.Keys(byZone)) {
		names := byZone[zone]
		slices.Sort(names)
		// Each instance starts at a different peer, so that all instances of a domain
		// are reached.
		peer := entries[names[(p.rotation+int(placement.Rank(p.self.Name, "")%uint64(len(names))))%len(names)]]
		c := p.clientFor(peer.PeerUrl, now)
		switch {
		case c == nil:
		case i == turn:
			go p.sendUpdate(ctx, peer.PeerUrl, c, p.withAllEvidence(req))
		default:
			go p.sendUpdate(ctx, peer.PeerUrl, c, req)
		}
	}
}

// clientFor returns a client for a peer, or nil while the peer is skipped because it did
// not respond.
func (p *peers) clientFor(url string, now time.Time) fleetv1.Entries {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.backoffUntil[url]) {
		return nil
	}
	return p.clientOf(url)
}

// clientOf returns the client for a peer. The caller holds p.mu.
func (p *peers) clientOf(url string) fleetv1.Entries {
	c := p.clients[url]
	if c == nil {
		c = fleetv1.NewEntriesProtobufClient(url, p.client)
		p.clients[url] = c
	}
	return c
}

// sendUpdate sends an update to one peer and waits for the response, up to updateTimeout.
// A peer that does not respond is skipped for unreachableBackoff.
func (p *peers) sendUpdate(ctx context.Context, url string, c fleetv1.Entries, req *fleetv1.TellRequest) {
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	_, err := c.Tell(ctx, req)
	p.mu.Lock()
	defer p.mu.Unlock()
	_, wasUnreachable := p.backoffUntil[url]
	if err != nil {
		p.backoffUntil[url] = time.Now().Add(unreachableBackoff)
		if !wasUnreachable {
			p.logger.Info("peer update failed", slog.String("peer", url), slog.Any("error", err))
		}
		return
	}
	if wasUnreachable {
		delete(p.backoffUntil, url)
		p.logger.Info("peer updates resumed", slog.String("peer", url))
	}
}
