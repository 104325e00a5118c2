package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/config/site"
	"github.com/galenaarch/galenaarch/contextrelay"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/evacuation"
	"github.com/galenaarch/galenaarch/fleetview"
	"github.com/galenaarch/galenaarch/placement"
	"github.com/galenaarch/galenaarch/registry"
)

// connectionShare is the share of a server's connections that all entry instances use
// together: a server lowers its own limit while its queue is long.
const connectionShare = 0.8

// routingState is the data by which requests are routed: the current site document and
// the backends of each service. It is replaced as a whole and never modified.
type routingState struct {
	table *site.Table
	// examinedDocument is the version of the newest site document that was examined; it is
	// not in force if it was rejected.
	examinedDocument uint64

	backends map[string]*backend
	services map[string][]*backend
	// cells are the preferred servers of this instance for each service of engines;
	// nil for all.
	cells map[string]map[string]bool
	// targetVersions is the newest requested weight version by model, targets are those of before as well, with
	// when this instance first learned of each.
	targetVersions map[string]uint64
	targets        map[string]dispatch.WeightTargets
	// weightRolloutTime is the time in which all servers are to run a new target
	// version.
	weightRolloutTime time.Duration
	// entryCount is the number of entry instances, including lost ones.
	entryCount int
	// movedRoutes is when the services to which a route of streams leads last changed, within
	// maxResumeTime.
	movedRoutes map[string]time.Time
	// evacuations are the operators' orders that empty failure domains.
	evacuations evacuation.Orders
	// forwardPeers are the instances to which requests may be passed on.
	forwardPeers []*forwardPeer
	// copiedState is set in a copy that explains a decision, see copyService.
	copiedState *serviceState
	// resumeTime is how long after its start a stream may be resumed.
	resumeTime time.Duration
}

// rebuild derives the routing state from a fleet snapshot. Backends keep what was
// learned about them.
func (g *Gateway) rebuild(ctx context.Context, s *fleetview.Snapshot) {
	old := g.routing.Load()
	next := &routingState{weightRolloutTime: g.weightRolloutTime, backends: make(map[string]*backend), services: make(map[string][]*backend), targetVersions: make(map[string]uint64), targets: make(map[string]dispatch.WeightTargets)}
	next.table, next.examinedDocument = g.compileDocument(s, old), s.Documents[site.DocumentName].GetVersion()
	next.forwardPeers, next.evacuations = g.listForwardPeers(s, old), evacuation.FromDocuments(s.Documents)
	next.entryCount = countEntries(len(s.Entries), old.entryCount)
	for name, d := range s.Documents {
		if model, ok := site.WeightsModel(name); ok {
			next.targetVersions[model] = d.Version
			next.targets[model] = fleetview.WeightTargets(old.weightTargets(model), d, g.started, time.Now(), 2*g.weightRolloutTime)
		}
	}
	moved := false
	if next.table != nil {
		moved = next.noteMovedRoutes(old, time.Now())
		g.applyReports(s)
		g.listBackends(s, old, next)
		g.chooseCells(s, next)
		for name := range next.services {
			g.logHomes(old, next, name)
		}
		g.followContexts(ctx, s, next)
	}
	g.routing.Store(next)
	g.metrics.document.Set(float64(next.documentVersion()))
	g.logEvacuations(old, next)
	g.streams.sendOlder(time.Now(), next.resumeTime, moved)
	g.attachRateLimits(next)
	g.closeRemoved(old, next)
	g.closeForwardPeers(old, next)
	g.recordAnnouncedEnds(s)
	g.states.recheckAll()
	if old == nil || (old.table == nil && next.table != nil) {
		g.view.SetAccepting(next.table != nil && !g.drain.started())
	}
}

// followContexts polls stores and engines for their contents, or subscribes to the
// control instances that do.
func (g *Gateway) followContexts(ctx context.Context, s *fleetview.Snapshot, next *routingState) {
	holders := contextrelay.ListHolders(next.table, s)
	pauses := g.pauses.byAddress(next)
	for i := range holders {
		holders[i].PausedUntil = pauses[holders[i].Address]
	}
	polled, subscribed := contextrelay.SplitByPolling(holders, next.entryCount)
	g.stores.SetHolders(ctx, polled, subscribed)
	if len(subscribed) > 0 {
		g.follower.SetSources(ctx, s.ControlURLs)
	} else {
		g.follower.SetSources(ctx, nil)
	}
}

// weightTargets returns the versions that operators named for a model.
func (rs *routingState) weightTargets(model string) dispatch.WeightTargets {
	if rs == nil {
		return nil
	}
	return rs.targets[model]
}

// excludeOutdated removes the servers of a service that run weights on which a prompt may not begin any more: older than a
// version whose rollout time may be over by then. Where all servers do, those on the newest of such versions are kept. The
// caller holds the lock of the servers' state.
func (rs *routingState) excludeOutdated(model string, all []*backend, mayBegin func(dispatch.WeightRollout) bool) []*backend {
	targets := rs.targets[model]
	for i := len(targets) - 1; i >= 0; i-- {
		if mayBegin(dispatch.WeightRollout{Until: targets[i].Since.Add(rs.weightRolloutTime)}) {
			continue
		}
		kept := make([]*backend, 0, len(all))
		for _, b := range all {
			if b.weights[model] >= targets[i].Version {
				kept = append(kept, b)
			}
		}
		if len(kept) > 0 {
			return kept
		}
	}
	return all
}

// penalizeOutdated raises the cost of servers on older weights: new ones are wanted from the
// moment at which they were named.
func (rs *routingState) penalizeOutdated(model string, candidates []*backend, servers []placement.Server) {
	for i, b := range candidates {
		if b.weights[model] < rs.targetVersions[model] {
			servers[i].Penalty = dispatch.OutdatedPenalty
		}
	}
}

// compileDocument compiles the newest site document, or keeps the current one.
func (g *Gateway) compileDocument(s *fleetview.Snapshot, old *routingState) *site.Table {
	var current *site.Table
	if old != nil {
		current = old.table
	}
	d := s.Documents[site.DocumentName]
	if d == nil || (current != nil && d.Version <= current.Version) || (current == nil && awaitsEvacuations(s)) {
		return current
	}
	decoded, err := g.dialect.DecodeDocument(d.Content)
	if err == nil {
		err = decoded.Validate()
	}
	if err != nil {
		g.logger.Error("site document rejected", slog.Uint64("version", d.Version), slog.Any("error", err))
		return current
	}
	compiled := site.Compile(decoded)
	g.workTimes.retain(decoded.Routes)
	g.logger.Info("site document applied", slog.Uint64("version", d.Version), slog.Int("routes", len(decoded.Routes)),
		slog.Int("services", len(decoded.Services)), slog.Int("accounts", len(decoded.Accounts)), slog.Int("isolated", decoded.IsolatedAccounts()))
	return compiled
}

// applyReports applies what the control instances report of all servers that have not
// ended, also those of services that the current document does not name.
func (g *Gateway) applyReports(s *fleetview.Snapshot) {
	var leaving []incarnation
	for _, a := range s.Servers {
		if a.State == fleetv1.ServerState_SERVER_STATE_GONE {
			continue
		}
		id := incarnation{a.Server, a.BornUnixMs}
		if a.Leaving {
			leaving = append(leaving, id)
		}
		if a.RateLimit != nil {
			g.mergeRateLimit(id, registry.DecodeRateLimit(a.RateLimit), "control")
			g.limits.markReported(id, a.RateLimit.Revision)
		}
	}
	g.applyLeavingReport(leaving, "control")
}

// listBackends lists the backends of each service. Of two incarnations at one address
// only the younger is listed.
func (g *Gateway) listBackends(s *fleetview.Snapshot, old, next *routingState) {
	now := time.Now()
	for _, a := range s.NewestIncarnations(next.table.HasService) {
		if a.State != fleetv1.ServerState_SERVER_STATE_READY {
			continue
		}
		service := next.table.Service(a.Service)
		b := g.backendFor(a, service, connectionLimit(service, next.entryCount), old, now)
		next.backends[a.Server] = b
		if !b.retired.Load() && !next.evacuations.Empties(a.Zone) {
			next.services[a.Service] = append(next.services[a.Service], b)
		}
	}
}

// backendFor returns the existing backend of an incarnation or a new one. An
// incarnation that announced that it is leaving stays so, whatever is reported of it.
func (g *Gateway) backendFor(a *fleetv1.Announcement, service *site.Service, connections int, old *routingState, now time.Time) *backend {
	var b *backend
	if old != nil {
		b = old.backends[a.Server]
	}
	if b == nil || b.startedMs != a.BornUnixMs || b.address != a.Address || b.service.Name != service.Name || b.software.Version != a.Software {
		b = newBackend(a, service, g.states.get(service.Name), connections, now)
		b.tracker.ResumePause(g.pauses.get(b.incarnation), now)
	} else {
		b.pool.SetMax(connections)
	}
	for _, w := range a.Weights {
		b.raiseWeightVersion(w.Model, w.Version)
	}
	leaving := a.Leaving || g.leaving.contains(b.incarnation)
	b.update(func(tracker *dispatch.BackendState) {
		tracker.SetUnreported(a.Silent)
		tracker.ColdUntil = time.UnixMilli(a.ColdUntilUnixMs)
		if leaving {
			tracker.MarkLeaving()
		}
		if b.state.firstServerAt.IsZero() {
			b.state.firstServerAt = now
		}
	})
	return b
}

// chooseCells chooses the engines of each service that this instance prefers.
func (g *Gateway) chooseCells(s *fleetview.Snapshot, next *routingState) {
	entries := make([]placement.Member, 0, len(s.Entries))
	for name, e := range s.Entries {
		entries = append(entries, placement.Member{ID: name, Zone: e.Zone})
	}
	next.cells = make(map[string]map[string]bool)
	for name, list := range next.services {
		if service := next.table.Service(name); service == nil || service.Engine == nil {
			continue
		}
		servers := make([]placement.Member, len(list))
		for i, b := range list {
			servers[i] = placement.Member{ID: b.server, Zone: b.zone}
		}
		if cell := placement.CellServers(g.instance, entries, servers); cell != nil {
			next.cells[name] = cell
			placeServers(list, cell)
			chooseKeepers(list, s)
		}
	}
}

// countEntries returns the number of instances among which shared limits are split.
// Invariant: while this process runs the shares only shrink, since an instance that
// was lost may still be running.
func countEntries(seen, before int) int { return max(1, seen, before) }

// connectionLimit returns this instance's share of a service's connection limit, at least
// 1; 0 if the service has no limit.
func connectionLimit(s *site.Service, entries int) int {
	if s.MaxConnections == 0 {
		return 0
	}
	return max(1, int(connectionShare*float64(s.MaxConnections)/float64(entries)))
}

// closeRemoved closes the idle connections of backends that are gone.
func (g *Gateway) closeRemoved(old, next *routingState) {
	if old == nil {
		return
	}
	for id, b := range old.backends {
		if next.backends[id] != b {
			b.pool.Close()
		}
	}
}

// closeIdle closes connections whose idle timeout has passed.
func (g *Gateway) closeIdle(now time.Time) {
	if rs := g.routing.Load(); rs != nil {
		for _, b := range rs.backends {
			b.pool.CloseIdle(now)
		}
		for _, p := range rs.forwardPeers {
			p.pool.CloseIdle(now)
		}
	}
}
