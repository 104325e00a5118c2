package gateway

import (
	"log/slog"
	"math"
	"slices"
	"time"

	"github.com/galenaarch/galenaarch/contexts"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/placement"
)

// placeServers sets which servers of a service are in this instance's cell, and the place of
// each in the order by which they are divided into groups by prompt length.
func placeServers(list []*backend, cell map[string]bool) {
	positions := placement.GroupPositions(len(list), func(i int) string { return list[i].server })
	for i, b := range list {
		b.groupPosition.Store(math.Float64bits(positions[i]))
		b.inCell.Store(cell[b.server])
	}
}

// hasFleetHomes reports whether the shared parts of prompts have their homes among all
// servers of a service: only if the fleet has several cells.
func (g *Gateway) hasFleetHomes(rs *routingState, service string) bool {
	cell := rs.cells[service]
	return cell != nil && len(cell) < len(rs.services[service]) &&
		g.policy.Enabled(dispatch.FleetHomes) && g.policy.Enabled(dispatch.PrefixHomes) && g.policy.Enabled(dispatch.Cells)
}

// logHomes logs where the shared parts of a service's prompts have their homes, if that has
// changed.
func (g *Gateway) logHomes(old, next *routingState, service string) {
	before, now := old != nil && g.hasFleetHomes(old, service), g.hasFleetHomes(next, service)
	if before == now {
		return
	}
	g.logger.Info("homes of shared parts", slog.String("backend", service), slog.Bool("over_the_fleet", now),
		slog.Int("servers", len(next.services[service])), slog.Int("cell", len(next.cells[service])), slog.Bool("bookings", g.policy.Enabled(dispatch.WorkBooking)))
}

// groupShare returns the share of all servers for short prompts, by the prompts of this
// instance and of those that have told theirs; 0 for no groups.
func (g *Gateway) groupShare(now time.Time) float64 {
	if !g.policy.Enabled(dispatch.LengthGroups) {
		return 0
	}
	return g.promptMix.Work(now).Plus(g.peers.othersMixWork()).ShortShare()
}

// fleetHomesAmong returns the homes of the prompt's last shared part, as indices of
// servers; none if it has no shared parts.
func (c *call) fleetHomesAmong(servers []*backend, shortShare float64) (homes placement.Homes) {
	shared := c.sharedParts()
	if len(shared) == 0 {
		return homes
	}
	prefix, long := placement.HomeHash(shared[len(shared)-1].ID), c.lengthClass() == longPrompt
	for i, b := range servers {
		if b.groupAt(shortShare).Serves(long) {
			homes.Offer(i, placement.HomeRank(prefix, b.homeHash))
		}
	}
	return homes
}

// groupAt returns the group of the server if a share of the servers is for short prompts.
func (b *backend) groupAt(shortShare float64) placement.LengthGroup {
	return placement.GroupAt(math.Float64frombits(b.groupPosition.Load()), shortShare)
}

// nearServers sets the servers that a prompt is sent to unless it would be late there:
// the homes of its shared parts, then the servers of this instance's cell.
func (set *candidateSet) nearServers(usable []*backend, homes []int) {
	list := set.list[:0]
	for _, i := range homes {
		list = append(list, usable[i])
	}
	for i, b := range usable {
		if b.inCell.Load() && !slices.Contains(homes, i) {
			list = append(list, b)
		}
	}
	set.list, set.homes = list, set.homes[:0]
	for order := range homes {
		set.homes = append(set.homes, order)
	}
	set.reset(list)
}

// fillCachedTokens sets how much of the prompt each server is expected to have
// cached. Each shared part has one home server, so that the servers' memory together
// holds as many different parts as possible; other servers import the part from a
// store. The caller holds the state's lock.
func (c *call) fillCachedTokens(set *candidateSet, now time.Time) {
	g, candidates, servers := c.gateway, set.backends, set.servers
	switch {
	case set.fleetHomes:
		for i, b := range candidates {
			servers[i].Group = b.groupAt(set.shortShare)
		}
	case g.policy.Enabled(dispatch.LengthGroups):
		placement.AssignGroups(servers, g.promptMix.ShortShare(), func(i int) string { return candidates[i].server })
	}
	shared := c.sharedParts()
	if len(shared) == 0 {
		return
	}
	estimates := make(map[string]importEstimate)
	cacheUnknown := false
	for i, b := range candidates {
		salt := c.contextSalt(b.weights[c.prompt.Model])
		parts := saltedParts(salt, shared)
		estimate, known := estimates[salt]
		if !known {
			estimate = c.estimateImport(parts)
			estimates[salt] = estimate
		}
		cached, cacheKnown := g.stores.CachedTokens(b.address, parts)
		cacheUnknown = cacheUnknown || !cacheKnown
		servers[i].CachedTokens = cached
		if estimate.tokens > cached {
			servers[i].FetchTokens, servers[i].FetchTime = estimate.tokens-cached, estimate.took+b.tracker.PendingTransferTime(now)
		}
	}
	if g.policy.Enabled(dispatch.PrefixHomes) {
		c.markHomes(set, shared, cacheUnknown)
	}
}

// importEstimate is how much of a prompt can be imported from stores and how long
// that takes.
type importEstimate struct {
	tokens int
	took   time.Duration
}

// estimateImport estimates the import of a prompt's parts from stores; it is zero if they
// are not worth importing.
func (c *call) estimateImport(parts []contexts.Part) (b importEstimate) {
	if c.worthImporting(parts) {
		b.tokens, b.took = c.gateway.stores.FetchableTokens(parts)
	}
	return b
}

// worthImporting reports whether parts are saved to stores and imported from them.
func (c *call) worthImporting(parts []contexts.Part) bool {
	return !c.gateway.policy.Enabled(dispatch.ShortWithoutTransfer) || contexts.ShouldTransfer(parts)
}

// markHomes marks the home of the prompt's shared parts and its alternates. If the cache
// contents are unknown, the home is assumed to hold the parts.
func (c *call) markHomes(set *candidateSet, shared []Part, cacheUnknown bool) {
	servers, home := set.servers, -1
	if set.fleetHomes {
		for order, i := range set.homes {
			servers[i].Alternate = order
		}
		if len(set.homes) > 0 {
			home = set.homes[0]
		}
	} else {
		home = c.homeAmong(set.backends, servers, shared)
	}
	if home < 0 {
		return
	}
	if cacheUnknown {
		tokens := 0
		for _, p := range shared {
			tokens += p.Tokens
		}
		servers[home].CachedTokens, servers[home].FetchTokens = tokens, 0
	}
	servers[home].Home = true
	if !c.gateway.policy.Enabled(dispatch.NonHomePenalty) {
		for i := range servers {
			servers[i].Home = true
		}
	}
}

// homeAmong returns the home of the prompt's last shared part among servers for its
// length class; -1 if there are none.
func (c *call) homeAmong(candidates []*backend, servers []placement.Server, shared []Part) int {
	key, long := shared[len(shared)-1].ID, c.lengthClass() == longPrompt
	home, best := -1, uint64(0)
	for i, b := range candidates {
		if !servers[i].Group.Serves(long) {
			continue
		}
		if rank := placement.Rank(key, b.server); rank >= best {
			home, best = i, rank
		}
	}
	return home
}
