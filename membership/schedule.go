package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenaarch/galenaarch/api/memberv1"
)

// Tick advances the protocol and returns the requests to send. It must be
// called every TickInterval.
func (c *Core) Tick(now time.Time) []Message {
	if now.Sub(c.lastTick) > maxTickGap {
		c.resetAfterPause(now)
	}
	c.lastTick = now
	c.ticks++
	c.expire(now)
	c.purgeTombstones(now)
	messages := c.Flush()
	peers := c.regionPeers()
	if len(peers) < largeRegionSize || c.ticks%2 == 0 {
		messages = append(messages, c.gossip(peers)...)
	}
	if c.ticks%rejoinTicks == 1 {
		messages = append(messages, c.rejoin()...)
	}
	if c.ticks%regionExchangeTicks == 2 {
		messages = append(messages, c.exchangeWithOtherRegion()...)
	}
	return messages
}

// resetAfterPause handles a pause of this process. What it knows of others is
// outdated, so no other member counts as reachable until a message from one
// arrives, and failures of probes that were in flight are ignored.
func (c *Core) resetAfterPause(now time.Time) {
	c.ignoreFailuresUntil = now.Add(maxTickGap)
	c.stale = len(c.byRunID) > 1
	for _, member := range c.byRunID {
		c.events = append(c.events, Event{Instance: member.identity.Instance})
	}
	for _, member := range c.byRunID {
		member.failures = 0
	}
}

// expire declares suspected members dead after suspectTimeout and removes old
// records.
func (c *Core) expire(now time.Time) {
	// Invariant: only an instance that reaches a majority, or that the control
	// plane has confirmed, removes records. A partitioned minority therefore
	// never comes to count itself as a majority.
	mayForget := func() bool { return now.Sub(c.confirmedAt) < confirmationTTL || c.SeesMajority(now) }
	for _, member := range c.byRunID {
		if member == c.self {
			continue
		}
		age := now.Sub(member.statusSince)
		switch member.status() {
		case memberv1.Status_STATUS_SUSPECT:
			if age >= suspectTimeout {
				c.applyTrigger(member, triggerExpire, now)
			}
		case memberv1.Status_STATUS_DEAD, memberv1.Status_STATUS_LEFT:
			if age >= forgetAfter && mayForget() {
				c.forget(member)
			}
		}
	}
}

// forget removes the record of a run.
func (c *Core) forget(member *memberState) {
	delete(c.byRunID, member.runID)
	if c.byInstance[member.identity.Instance] == member {
		delete(c.byInstance, member.identity.Instance)
	}
}

// purgeTombstones removes expired tombstones. An instance that lacks their
// versions receives the full map.
func (c *Core) purgeTombstones(now time.Time) {
	for _, member := range c.byRunID {
		for key, deletedAt := range member.deleted {
			if now.Sub(deletedAt) >= tombstoneTTL {
				member.purgedVersion = max(member.purgedVersion, member.items[key].Version)
				delete(member.items, key)
				delete(member.deleted, key)
			}
		}
	}
}

// regionPeers lists the other live members of the region, in ring order, which
// is the same for all members.
func (c *Core) regionPeers() []*memberState {
	var peers []*memberState
	for _, member := range c.byRunID {
		if member != c.self && c.inRegion(member) && member.status() == memberv1.Status_STATUS_ALIVE {
			peers = append(peers, member)
		}
	}
	slices.SortFunc(peers, func(a, b *memberState) int { return cmp.Compare(a.runID, b.runID) })
	return peers
}

// gossip returns the messages of one round: an exchange with a random peer and a
// probe of the peer whose turn it is, unless both are the same.
func (c *Core) gossip(peers []*memberState) []Message {
	if len(peers) == 0 {
		return nil
	}
	partner := peers[c.random.IntN(len(peers))]
	messages := []Message{c.exchangeWith(partner)}
	if target := c.nextProbeTarget(peers); target != partner {
		messages = append(messages, c.probe(target))
	}
	return messages
}

// nextProbeTarget returns the member whose turn it is among the successors of
// this instance in the ring, so that each member is probed by the same few
// others.
func (c *Core) nextProbeTarget(peers []*memberState) *memberState {
	targets := probeTargets
	turn := c.ticks / 2
	if len(peers) < smallRegionSize {
		targets = len(peers)
	}
	if len(peers) < largeRegionSize {
		turn = c.ticks
	}
	successor, _ := slices.BinarySearchFunc(peers, c.self.runID, func(member *memberState, runID uint64) int { return cmp.Compare(member.runID, runID) })
	return peers[(successor+turn%targets)%len(peers)]
}

// probe returns a push without deltas; a response shows that the member is alive.
func (c *Core) probe(member *memberState) Message {
	return Message{URL: member.identity.PeerUrl, RunID: member.runID, Push: &memberv1.PushRequest{FromRun: c.self.runID}}
}

// exchangeWith returns an exchange with a member. The digest lists the runs of the
// region with their item versions or, for a member of another region, the
// identities of all runs.
func (c *Core) exchangeWith(member *memberState) Message {
	if !c.inRegion(member) {
		return Message{URL: member.identity.PeerUrl, RunID: member.runID, Exchange: c.exchange(c.digest(false, true))}
	}
	return Message{URL: member.identity.PeerUrl, RunID: member.runID, Exchange: c.exchange(c.digest(true, false))}
}

func (c *Core) exchange(d *memberv1.Digest) *memberv1.ExchangeRequest {
	return &memberv1.ExchangeRequest{FromRun: c.self.runID, Region: c.self.identity.Region, Digest: d}
}

// digest lists the versions of the runs in the region, or of all runs,
// including their item versions if requested.
func (c *Core) digest(withItems, allRegions bool) *memberv1.Digest {
	d := &memberv1.Digest{All: allRegions}
	for _, member := range c.byRunID {
		if !allRegions && !c.inRegion(member) {
			continue
		}
		d.Runs = append(d.Runs, member.runID)
		d.Identities = append(d.Identities, identityVersion(member.identity))
		if withItems {
			d.Data = append(d.Data, member.itemsVersion)
		}
	}
	return d
}

// rejoin returns an exchange with a seed address that no live member has, or with
// a member considered dead, so that healed partitions find each other.
func (c *Core) rejoin() []Message {
	alive := make(map[string]bool)
	for _, url := range c.seeds {
		alive[url] = false
	}
	for _, member := range c.byRunID {
		url := member.identity.PeerUrl
		alive[url] = alive[url] || member == c.self || member.status() == memberv1.Status_STATUS_ALIVE
	}
	var candidates []string
	for url, isAlive := range alive {
		if !isAlive {
			candidates = append(candidates, url)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	slices.Sort(candidates)
	url := candidates[c.random.IntN(len(candidates))]
	return []Message{{URL: url, Exchange: c.exchange(c.digest(true, true))}}
}

// exchangeWithOtherRegion returns an exchange of identities with one random
// member of another region, visiting the regions in turn.
func (c *Core) exchangeWithOtherRegion() []Message {
	regions := make(map[string][]*memberState)
	for _, member := range c.byRunID {
		if !c.inRegion(member) && member.status() == memberv1.Status_STATUS_ALIVE {
			regions[member.identity.Region] = append(regions[member.identity.Region], member)
		}
	}
	if len(regions) == 0 {
		return c.exchangeAllIdentities()
	}
	names := make([]string, 0, len(regions))
	for name := range regions {
		names = append(names, name)
	}
	slices.Sort(names)
	list := regions[names[c.ticks/regionExchangeTicks%len(names)]]
	slices.SortFunc(list, func(a, b *memberState) int { return cmp.Compare(a.runID, b.runID) })
	return []Message{c.exchangeWith(list[c.random.IntN(len(list))])}
}

// exchangeAllIdentities returns an exchange of every identity with a member of
// the region, for an instance that knows of no other region.
func (c *Core) exchangeAllIdentities() []Message {
	peers := c.regionPeers()
	if len(peers) == 0 {
		return nil
	}
	member := peers[c.random.IntN(len(peers))]
	return []Message{{URL: member.identity.PeerUrl, RunID: member.runID, Exchange: c.exchange(c.digest(true, true))}}
}

// Flush returns pushes of the urgent deltas, one to each member of the region.
func (c *Core) Flush() []Message {
	if len(c.urgentDeltas) == 0 {
		return nil
	}
	push := &memberv1.PushRequest{FromRun: c.self.runID, Deltas: c.urgentDeltas}
	c.urgentDeltas = nil
	var messages []Message
	for _, member := range c.byRunID {
		if member != c.self && c.inRegion(member) && member.status() <= memberv1.Status_STATUS_SUSPECT {
			messages = append(messages, Message{URL: member.identity.PeerUrl, RunID: member.runID, Push: push})
		}
	}
	slices.SortFunc(messages, func(a, b Message) int { return cmp.Compare(a.RunID, b.RunID) })
	return messages
}
