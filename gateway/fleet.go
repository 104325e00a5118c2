package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/config/site"
	"github.com/galenaarch/galenaarch/contextrelay"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/fleetview"
	"github.com/galenaarch/galenaarch/placement"
)

// connectionShare is the part of a server's connections that the entry
// instances use together: its own bound falls while its queue is long.
const connectionShare = 0.8

// world is what requests are served by: the document in force and the servers
// of each service. It is replaced as a whole and never modified.
type world struct {
	table    *site.Table
	backends map[string]*backend
	services map[string][]*backend
	// cells are the servers of each service of engines that this instance prefers;
	// nil for all: see placement.Cell.
	cells map[string]map[string]bool
	// wanted is the newest weight version asked for, by model.
	wanted map[string]uint64
	// named is when this instance first heard of the versions wanted.
	named map[string]time.Time
	// weightsWithin is the time in which all servers are to run what is wanted.
	weightsWithin time.Duration
	// entries is the number of entry instances, the lost ones among them.
	entries int
}

// rebuild makes the world of a picture of the fleet. Servers keep what was
// learned of them.
func (g *Gateway) rebuild(ctx context.Context, s *fleetview.Snapshot) {
	old := g.world.Load()
	next := &world{weightsWithin: g.weightsWithin, backends: make(map[string]*backend), services: make(map[string][]*backend), wanted: make(map[string]uint64), named: make(map[string]time.Time)}
	next.table = g.document(s, old)
	next.entries = countEntries(len(s.Entries), old.entries)
	for name, d := range s.Documents {
		if model, ok := site.WeightsModel(name); ok {
			next.want(old, model, d.Version)
		}
	}
	if next.table != nil {
		g.list(s, old, next)
		g.cell(s, next)
		g.followContexts(ctx, s, next)
	}
	g.world.Store(next)
	g.retire(old, next)
	g.rooms.look()
	if old == nil || (old.table == nil && next.table != nil) {
		g.view.Announce(next.table != nil && !g.stopping.begun())
	}
}

// followContexts asks stores and engines what they hold, or listens to the
// control instances that do.
func (g *Gateway) followContexts(ctx context.Context, s *fleetview.Snapshot, next *world) {
	asked, told := contextrelay.Split(contextrelay.Holders(next.table, s), next.entries)
	g.stores.Set(ctx, asked, told)
	if len(told) > 0 {
		g.follower.Set(ctx, s.Hosts)
	} else {
		g.follower.Set(ctx, nil)
	}
}

// want notes the version of a model that operators ask for.
func (w *world) want(old *world, model string, version uint64) {
	w.wanted[model] = version
	w.named[model] = time.Now()
	if old != nil && old.wanted[model] == version {
		w.named[model] = old.named[model]
	}
}

const (
	// outdatedAfter is when answers on older weights begin to lose their worth, by
	// the users' rules.
	outdatedAfter = 1200 * time.Millisecond
	// refusedShare is the part of the time in which all servers are to change after
	// which one that is still on older weights gets no more prompts if enough
	// others have changed, overdueShare that after which it gets none in any case:
	// prompts wait at a server before they begin.
	refusedShare = 0.69
	overdueShare = 0.75
	// outdatedPenalty is what a server on older weights costs more: servers swap
	// in turn, and the first ones done must not get all prompts.
	outdatedPenalty = 60 * time.Millisecond
	// enoughCurrent is the share of servers that must have changed before the
	// others are left out early: fewer could not carry the load.
	enoughCurrent = 0.5
)

// withoutOutdated leaves out the servers of a service that are still on older
// weights, once they had the time to change: it looks at all of them, since those of
// one cell may change last. Invariant: while any server has changed, none that has
// not is sent a prompt later than overdueShare of the time given. The caller holds
// the lock of the servers' room.
func (w *world) withoutOutdated(model string, all []*backend, now time.Time) []*backend {
	age := now.Sub(w.named[model])
	if w.wanted[model] == 0 || age < time.Duration(refusedShare*float64(w.weightsWithin)) {
		return all
	}
	changed := make([]*backend, 0, len(all))
	for _, b := range all {
		if b.weights[model] >= w.wanted[model] {
			changed = append(changed, b)
		}
	}
	if len(changed) == 0 || (age < time.Duration(overdueShare*float64(w.weightsWithin)) && float64(len(changed)) < enoughCurrent*float64(len(all))) {
		return all
	}
	return changed
}

// preferCurrent makes servers on older weights cost more, once their answers begin
// to lose their worth.
func (w *world) preferCurrent(model string, candidates []*backend, servers []placement.Server, now time.Time) {
	if w.wanted[model] == 0 || now.Sub(w.named[model]) < outdatedAfter {
		return
	}
	for i, b := range candidates {
		if b.weights[model] < w.wanted[model] {
			servers[i].Penalty = outdatedPenalty
		}
	}
}

// document compiles the newest document, or keeps the one in force.
func (g *Gateway) document(s *fleetview.Snapshot, old *world) *site.Table {
	var held *site.Table
	if old != nil {
		held = old.table
	}
	d := s.Documents[site.DocumentName]
	if d == nil || (held != nil && d.Version <= held.Version) {
		return held
	}
	decoded, err := g.dialect.Document(d.Content)
	if err == nil {
		err = decoded.Check()
	}
	if err != nil {
		g.logger.Error("document not put in force", slog.Uint64("version", d.Version), slog.Any("error", err))
		return held
	}
	compiled := site.Compile(decoded)
	g.needs.keep(decoded.Routes)
	g.logger.Info("document in force", slog.Uint64("version", d.Version), slog.Int("routes", len(decoded.Routes)),
		slog.Int("services", len(decoded.Services)), slog.Int("accounts", len(decoded.Accounts)), slog.Int("isolated", decoded.Isolated()))
	return compiled
}

// list lists the servers of each service. Of two lives at one address only the
// younger one is there.
func (g *Gateway) list(s *fleetview.Snapshot, old, next *world) {
	now := time.Now()
	var leaving []life
	for _, a := range s.Youngest() {
		service := next.table.Service(a.Service)
		if a.Leaving {
			leaving = append(leaving, life{a.Server, a.BornUnixMs})
		}
		if service == nil || a.State != fleetv1.ServerState_SERVER_STATE_READY {
			continue
		}
		b := g.keep(a, service, connectionsOf(service, next.entries), old, now)
		next.backends[a.Server] = b
		if !b.retired.Load() {
			next.services[a.Service] = append(next.services[a.Service], b)
		}
	}
	g.heardLeaving(leaving, "control")
}

// keep returns what is known of a life of a server; what it said of its leaving
// holds wherever it is heard of.
func (g *Gateway) keep(a *fleetv1.Announcement, service *site.Service, connections int, old *world, now time.Time) *backend {
	var b *backend
	if old != nil {
		b = old.backends[a.Server]
	}
	if b == nil || b.born != a.BornUnixMs || b.address != a.Address || b.service.Name != service.Name {
		b = newBackend(a, service, g.rooms.of(service.Name), connections, now)
	} else {
		b.pool.SetMax(connections)
	}
	for _, w := range a.Weights {
		b.learnWeights(w.Model, w.Version)
	}
	leaves := a.Leaving || g.leavers.has(b.life)
	b.news(func(belief *dispatch.Belief) {
		belief.Silent(a.Silent)
		if leaves {
			belief.Leave()
		}
		if b.room.opened.IsZero() {
			b.room.opened = now
		}
	})
	return b
}

// cell chooses the engines that this instance prefers of each service.
func (g *Gateway) cell(s *fleetview.Snapshot, next *world) {
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
		if own := placement.Cell(g.instance, entries, servers); own != nil {
			next.cells[name] = own
		}
	}
}

// countEntries is among how many instances shared bounds are split. Invariant:
// shares only shrink in one life of this process, since an instance that was
// lost may still be at work.
func countEntries(seen, before int) int { return max(1, seen, before) }

func connectionsOf(s *site.Service, entries int) int {
	if s.MaxConnections == 0 {
		return 0
	}
	return max(1, int(connectionShare*float64(s.MaxConnections)/float64(entries)))
}

// retire closes the idle connections of servers that left.
func (g *Gateway) retire(old, next *world) {
	if old == nil {
		return
	}
	for id, b := range old.backends {
		if next.backends[id] != b {
			b.pool.Close()
		}
	}
}

// trim closes connections that lie idle for too long.
func (g *Gateway) trim(now time.Time) {
	if w := g.world.Load(); w != nil {
		for _, b := range w.backends {
			b.pool.Trim(now)
		}
	}
}
