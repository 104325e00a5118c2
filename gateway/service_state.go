package gateway

import (
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/placement"
)

// serviceState is the scheduling state of one service: the trackers of its servers,
// the queue of waiting requests, and the prefill model. Its lock is held for one
// decision or one update.
type serviceState struct {
	mu sync.Mutex
	// copied is set for a copy that only explains a decision.
	copied  bool
	queue   dispatch.WaitQueue
	prefill dispatch.PrefillModel
	// estimateErrors are the errors of the wait estimates, indexed by shortPrompt and
	// longPrompt.
	estimateErrors [2]dispatch.EstimateErrors
	// starts are the times that prompts took from being sent to their first event.
	starts dispatch.RecentTimes
	// firstServerAt is when this process first learned of a server of the service.
	firstServerAt time.Time
	// brittle is whether the servers end when they have to reject requests.
	brittle dispatch.BrittleService
	// returns spreads the return of clients rejected because of rate limits.
	returns dispatch.ReturnSchedule
	// line is that of the callers refused for want of room.
	line dispatch.ReturnLine
	// lastResumed is when a client last resumed a stream of a software version.
	lastResumed map[string]time.Time
	// lastRecheck is when a waiting request last had the queue rescheduled. The others
	// then skip theirs for half of queueRecheckInterval.
	lastRecheck time.Time

	// paths is what is known of the paths to the servers; pathFailedAt is when a connection
	// last failed, and probeOffset rotates the servers to probe.
	paths        dispatch.ServicePaths
	pathFailedAt time.Time
	probeOffset  int
	// peerBackends stand for other entry instances, by name.
	peerBackends map[string]*backend

	// cellScratch and allScratch are reused buffers of a decision.
	cellScratch, allScratch, coldScratch candidateSet
}

// candidateSet holds the servers of a decision and their description for the scorer.
type candidateSet struct {
	backends []*backend
	servers  []placement.Server
	// fleetHomes is set if shared parts have their homes among all servers of the service:
	// homes are then those of the prompt, as indices, and shortShare is the share of the
	// service's servers for short prompts. list is a reused buffer for backends.
	fleetHomes bool
	homes      []int
	shortShare float64
	list       []*backend
}

// reset sets the servers and resizes their descriptions, which keep old values until
// describeServers fills them in.
func (set *candidateSet) reset(list []*backend) {
	set.backends = list
	if cap(set.servers) < len(list) {
		set.servers = make([]placement.Server, len(list), 2*len(list))
	}
	set.servers = set.servers[:len(list)]
}

// serviceStates are the states of all services.
type serviceStates struct {
	mu        sync.Mutex
	byService map[string]*serviceState
}

// get returns the state of a service, and creates it if there is none.
func (s *serviceStates) get(service string) *serviceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byService == nil {
		s.byService = make(map[string]*serviceState)
	}
	state := s.byService[service]
	if state == nil {
		state = &serviceState{}
		s.byService[service] = state
	}
	return state
}

// all returns the states by service.
func (s *serviceStates) all() map[string]*serviceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.byService)
}

// recheckAll reconsiders the queued requests of all services.
func (s *serviceStates) recheckAll() {
	for _, state := range s.all() {
		state.mu.Lock()
		state.queue.Schedule()
		state.mu.Unlock()
	}
}

// undoPlacement removes the load of a request from a server to which it was never
// sent. The caller holds the state's lock.
func (g *Gateway) undoPlacement(c *call, b *backend) {
	if b == nil {
		return
	}
	b.tracker.StopAwaiting(c.work)
	b.tracker.ReleasedAt(c.work, 0, time.Now())
	g.capacityFreed(b)
}

// tryPlace decides on a request now, and counts its load at the chosen server; queued
// is set if it must wait at this instance. The caller holds the state's lock.
func (g *Gateway) tryPlace(c *call, claimed map[string]bool, now time.Time) (result placementResult, queued bool) {
	if c.rejectQuarantined(now) {
		return placementResult{reason: c.quarantineReason()}, false
	}
	d, b := g.decide(c, claimed, now)
	c.decision, c.awaitedServer = d, ""
	if reason, sent := c.keptBack(d, now); !sent {
		if d.Action == dispatch.Hold && reason == "" {
			c.awaitedServer = b.server
			return placementResult{}, true
		}
		return placementResult{reason: reason}, false
	}
	if d.Action == dispatch.Forward {
		c.work = dispatch.Work{}
		b.tracker.Sent(c.work, now)
		return placementResult{backend: b}, false
	}
	if !c.admitCauses(now) {
		return placementResult{reason: c.quarantineReason()}, false
	}
	if !g.takePermit(b, now) {
		c.rateLimited = append(c.rateLimited, b)
		return placementResult{reason: reasonNoServer}, false
	}
	c.work = dispatch.Work{PrefillTokens: d.PrefillTokens, MemoryTokens: c.job().MemoryTokens, Deferred: c.deferred()}
	b.tracker.Sent(c.work, now)
	g.publishLoad(b)
	return placementResult{backend: b}, false
}

// publishLoad shares this instance's load at an engine, at a server of a brittle service, or of
// calls that wait for room, with the other instances. The caller holds the state's lock.
func (g *Gateway) publishLoad(b *backend) {
	switch {
	case b.peer != nil:
	case b.service.Engine != nil || b.state.brittle.Brittle:
		g.peers.setOwnLoad(b.server, b.tracker.SharedLoad(time.Now()))
	case g.sharesCalls(b):
		g.peers.setCallLoad(b.server, dispatch.Load{Requests: b.tracker.OwnLoad().Requests})
	}
}

// capacityFreed publishes the reduced load of a server and reconsiders the queued
// requests. The caller holds the state's lock.
func (g *Gateway) capacityFreed(b *backend) {
	g.publishLoad(b)
	b.state.queue.Schedule()
}

// decide makes the scheduling decision on a request. The caller holds the state's
// lock.
func (g *Gateway) decide(c *call, claimed map[string]bool, now time.Time) (dispatch.Decision, *backend) {
	rs, s := c.decisionRouting(), c.state
	usable, pausedUntil := g.usableBackends(c, rs.services[c.service.Name], now)
	c.pausedUntil = pausedUntil
	if c.prompt != nil {
		usable = c.excludeOutdated(rs, usable, now)
	}
	if c.explained != nil {
		c.usable = usable
	}
	req, ordered := g.newDecisionRequest(c, now), c.ordered()
	forwardPeers := c.forwardCandidates(rs, req, now)
	candidates := func(set *candidateSet, list []*backend) *dispatch.Candidates {
		set.reset(list)
		g.describeServers(rs, c, set, now)
		if c.prompt != nil && s.queue.Len() > 0 {
			req.QueueWait = dispatch.TimeToFree(set.servers, s.queue.MemoryAhead(c.currentPosition()))
		}
		full := g.full(s, set, now)
		if ordered {
			full = g.callRoom(c, set, now)
		}
		made := &dispatch.Candidates{
			Servers: set.servers,
			Tried:   func(i int) bool { return c.onlyPeers || !c.mayUseServer(set.backends[i].server) },
			Full:    full,
			Claimed: func(i int) bool { return claimed[set.backends[i].server] },
			Ordered: ordered,
		}
		if c.explained != nil {
			c.considered = append(c.considered, consideredSet{set, made})
		}
		return made
	}
	var inCell func() *dispatch.Candidates
	cell := rs.cells[c.service.Name]
	fleetHomes := c.prompt != nil && g.hasFleetHomes(rs, c.service.Name)
	s.cellScratch.fleetHomes, s.allScratch.fleetHomes = fleetHomes, fleetHomes
	loadKnown := func(b *backend) bool { return cell[b.server] || g.peers.zoneKnown(b.zone, now) }
	switch {
	case fleetHomes:
		share := g.groupShare(now)
		homes := c.fleetHomesAmong(usable, share)
		s.cellScratch.shortShare, s.allScratch.shortShare = share, share
		s.allScratch.homes = append(s.allScratch.homes[:0], homes.Servers()...)
		inCell = func() *dispatch.Candidates {
			set := &s.cellScratch
			set.nearServers(usable, homes.Servers())
			near := candidates(set, set.list)
			placement.FillUnknownLoad(near.Servers, func(i int) bool { return loadKnown(set.backends[i]) })
			return near
		}
	case cell != nil && c.prompt != nil:
		inCell = func() *dispatch.Candidates {
			list := make([]*backend, 0, len(cell))
			for _, b := range usable {
				if cell[b.server] {
					list = append(list, b)
				}
			}
			return candidates(&s.cellScratch, list)
		}
	}
	all := func() *dispatch.Candidates {
		everyServer := candidates(&s.allScratch, usable)
		if inCell != nil {
			placement.FillUnknownLoad(everyServer.Servers, func(i int) bool { return loadKnown(usable[i]) })
		}
		return everyServer
	}
	d, outsideCell := g.policy.Decide(g.scorer, inCell, all, req, rand.Float64())
	chosen := &s.cellScratch
	if outsideCell {
		chosen, cell = &s.allScratch, nil
	}
	switch {
	case d.Action == dispatch.Forward:
		return d, s.peerBackend(c, forwardPeers[d.Peer], now)
	case d.Server < 0:
		g.askCold(rs, c, cell, nil, now)
		return d, nil
	}
	g.askCold(rs, c, cell, &chosen.servers[d.Server], now)
	return d, chosen.backends[d.Server]
}

// excludeOutdated removes the servers on older weights from those that may be used and from
// those left out for lack of a permit, once the prompt might begin there after the time given to
// switch, which counts for each version from when it was named. The latter count among the servers that have switched, and so do those withheld for their
// software: a prompt must not go to older weights instead. The caller holds the state's lock.
//
// Invariant: while any server has switched, no other one is sent a prompt that may begin too late.
func (c *call) excludeOutdated(rs *routingState, usable []*backend, now time.Time) []*backend {
	leavesAt := c.leavesAt(now)
	mayBegin := func(r dispatch.WeightRollout) bool { return r.MayBegin(leavesAt, &c.state.starts, now) }
	// The limit of the first version that was named ends first.
	if targets := rs.targets[c.prompt.Model]; len(targets) == 0 || mayBegin(dispatch.WeightRollout{Until: targets[0].Since.Add(rs.weightRolloutTime)}) {
		return usable
	}
	if len(c.rateLimited) == 0 && len(c.withheld) == 0 {
		return rs.excludeOutdated(c.prompt.Model, usable, mayBegin)
	}
	all := slices.Concat(usable, c.rateLimited, c.withheld)
	kept := rs.excludeOutdated(c.prompt.Model, all, mayBegin)
	if len(kept) == len(all) {
		return usable
	}
	outdated := func(b *backend) bool { return !slices.Contains(kept, b) }
	c.rateLimited = slices.DeleteFunc(c.rateLimited, outdated)
	return slices.DeleteFunc(usable, outdated)
}

// currentPosition returns the position of the request in the queue, or the one that it
// would get.
func (c *call) currentPosition() dispatch.Position {
	if c.waiter != nil {
		return c.waiter.Position
	}
	return c.queuePosition()
}

func (g *Gateway) newDecisionRequest(c *call, now time.Time) *dispatch.Request {
	a := &dispatch.Request{Job: c.job(), Continues: c.lastEventAt.Load() != 0 || c.request.LastEventID != ""}
	if c.prompt != nil {
		since, objective := c.awaitedEvent()
		a.Elapsed, a.Objective, a.Patience = now.Sub(since), objective, c.leavesAt(now).Sub(now)
		a.Errors = &c.state.estimateErrors[c.lengthClass()]
		a.Discovering = c.discovering(now)
	} else if c.ordered() {
		a.CallTime, a.QueueWait = c.callTime(now), c.state.queue.ExpectedWait(c.currentPosition(), now)
		a.Discovering = c.discovering(now)
	}
	return a
}

// discovering reports whether servers of the service, and the other instances' load
// there, are still being discovered. The caller holds the state's lock.
func (c *call) discovering(now time.Time) bool {
	return now.Sub(c.state.firstServerAt) < discoveryHalfIntervals*c.gateway.announceInterval/2
}

// discoveryHalfIntervals is how long a process that has just started may still discover
// servers of a service, in halves of the announcement interval.
const discoveryHalfIntervals = 3

// describeServers fills in the scorer's description of the servers in a set. The
// caller holds the state's lock.
func (g *Gateway) describeServers(rs *routingState, c *call, set *candidateSet, now time.Time) {
	others := g.peers.othersLoad()
	for i, b := range set.backends {
		b.tracker.View(&set.servers[i], g.policy, g.placementLoad(b, others), g.zone, now)
	}
	if c.prompt == nil {
		return
	}
	for i, b := range set.backends {
		b.tracker.AddBooked(&set.servers[i], c.state.prefill.Rate(), now)
	}
	if g.policy.Enabled(dispatch.StaleWeightsPenalty) {
		rs.penalizeOutdated(c.prompt.Model, set.backends, set.servers)
	}
	c.fillCachedTokens(set, now)
}

// usableBackends returns the servers that requests may be sent to: the reachable ones,
// or the unreachable ones if there are no others. Leaving and paused servers are never
// included, and rate-limited ones only with a permit; those left out for lack of one are
// listed in c.rateLimited, and in c.withheld those that the request must not use because of the
// software that they run. pausedUntil is when the first paused server accepts requests
// again, zero if other servers are usable.
func (g *Gateway) usableBackends(c *call, all []*backend, now time.Time) (reachable []*backend, pausedUntil time.Time) {
	c.rateLimited, c.withheld = c.rateLimited[:0], c.withheld[:0]
	reachable = make([]*backend, 0, len(all))
	var unreachable []*backend
	reserved := c.reservedSlots(all, now)
	for _, b := range all {
		until := b.tracker.PausedUntil()
		switch {
		case b.retired.Load() || b.tracker.Leaving():
		case now.Before(until):
			if pausedUntil.IsZero() || until.Before(pausedUntil) {
				pausedUntil = until
			}
		case !c.mayContinueAt(b, now) || (reserved != nil && reserved(b)):
			if !b.tracker.Lost(now) {
				c.withheld = append(c.withheld, b)
			}
		case !c.mayUseServer(b.server):
			reachable = append(reachable, b) // needs no permit: it is not used again
		case !g.mayUse(b, now):
			c.rateLimited = append(c.rateLimited, b)
		case b.tracker.Lost(now):
			unreachable = append(unreachable, b)
		default:
			reachable = append(reachable, b)
		}
	}
	if len(reachable) == 0 && len(c.rateLimited) == 0 {
		reachable = unreachable
	}
	if len(reachable) > 0 {
		pausedUntil = time.Time{}
	}
	return reachable, pausedUntil
}

// markLeaving records that a server announced that it is leaving, and reports it to the
// other entry instances and to the control instances. request is the ID of the request
// whose response said so, empty if it was one of this process's own calls.
func (g *Gateway) markLeaving(b *backend, request string) {
	b.update((*dispatch.BackendState).MarkLeaving)
	if g.leaving.add(b.incarnation, time.Now()) {
		g.logger.Info("server is leaving", slog.String("server", b.server), slog.Int64("born_unix_ms", b.startedMs), slog.String("request", request))
		g.peers.announceLeaving(b.incarnation)
		g.view.ReportLeaving(b.server, b.startedMs)
	}
}

// applyDirectivesAt applies what the server at an address says about itself in response to
// one of this process's own calls.
func (g *Gateway) applyDirectivesAt(address string, d dispatch.Directives) {
	for _, b := range g.routing.Load().backends {
		if b.address != address || (d.Server != "" && d.Server != b.server) {
			continue
		}
		if d.Leaving {
			g.markLeaving(b, "")
		}
		g.observeLimits(b, d.RateLimit, d.Brittleness, "")
		if d.PauseFor != nil {
			g.pause(b, *d.PauseFor, "")
		}
	}
}

// applyLeavingReport records the leaving servers that another process reports.
func (g *Gateway) applyLeavingReport(incarnations []incarnation, from string) {
	rs := g.routing.Load()
	for _, id := range incarnations {
		if !g.leaving.add(id, time.Now()) {
			continue
		}
		g.logger.Info("server is leaving", slog.String("server", id.server), slog.Int64("born_unix_ms", id.startedMs), slog.String("told_by", from))
		if b := rs.backends[id.server]; b != nil && b.incarnation == id {
			b.update((*dispatch.BackendState).MarkLeaving)
		}
	}
}
