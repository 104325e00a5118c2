package gateway

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/placement"
)

// Exclusions of servers that a decision does not compare with others.
const (
	excludedEmptied   = "failure domain emptied"
	excludedRetired   = "other incarnation, or wrong server"
	excludedLeaving   = "leaving"
	excludedPaused    = "paused"
	excludedSoftware  = "software"
	excludedNoPermit  = "rate limited, no permit"
	excludedLost      = "not reported, silent"
	excludedOutdated  = "older weights"
	excludedOtherCell = "other cell, not needed"
)

// describeCall describes what is known of the request before a decision.
func (x *explanation) describeCall() {
	c := x.call
	x.Route, x.Service, x.Priority = c.route.Name, c.service.Name, uint32(max(0, c.priority()))
	if c.account != nil {
		x.Account = c.account.Name
	}
	_, objective := c.awaitedEvent()
	x.ObjectiveNs, x.PatienceNs = int64(objective), int64(c.leavesAt(x.now).Sub(x.now))
	x.QueueLength = uint32(c.state.queue.Len())
}

// describeServers describes all servers of the service: first those that were compared, the
// cheapest first, then the others.
func (x *explanation) describeServers() {
	c := x.call
	compared := make(map[*backend]bool)
	job := c.job()
	job.Deferred = c.deferred()
	for _, considered := range slices.Backward(c.considered) { // those of the wider set replace those of the cell
		for i, b := range considered.set.backends {
			if !compared[b] {
				compared[b] = true
				x.Servers = append(x.Servers, x.comparedServer(considered, i, &job))
			}
		}
	}
	slices.SortStableFunc(x.Servers, func(a, b *fleetv1.ExplainedServer) int { return cmp.Compare(a.CostNs, b.CostNs) })
	for _, name := range slices.Sorted(maps.Keys(c.explained.backends)) {
		if b := c.explained.backends[name]; !compared[b] {
			server := x.newServer(b)
			server.Excluded = x.exclusion(b)
			x.Servers = append(x.Servers, server)
		}
	}
}

// newServer describes what is known of any server.
func (x *explanation) newServer(b *backend) *fleetv1.ExplainedServer {
	heard, reported := b.tracker.BeliefAges(x.now)
	server := &fleetv1.ExplainedServer{Server: b.server, Domain: b.zone, Software: b.software.Version, HeardMs: heard.Milliseconds(), ReportedMs: -1}
	if reported >= 0 {
		server.ReportedMs = reported.Milliseconds()
	}
	if x.call.prompt != nil {
		server.WeightVersion = b.weights[x.call.prompt.Model]
	}
	return server
}

// comparedServer describes candidate i of a decision.
func (x *explanation) comparedServer(considered consideredSet, i int, job *placement.Job) *fleetv1.ExplainedServer {
	g, b, s := x.call.gateway, considered.set.backends[i], &considered.set.servers[i]
	server := x.newServer(b)
	server.Considered, server.Chosen = true, b.server == x.Server
	server.Excluded = g.policy.Exclusion(considered.candidates, i, job).String()
	for _, term := range placement.CostTerms(g.scorer, s, job) {
		server.Terms = append(server.Terms, &fleetv1.CostTerm{Name: term.Name, CostNs: int64(term.Cost)})
	}
	server.CostNs = int64(g.scorer.Cost(s, job))
	server.Running, server.Waiting, server.Slots = s.Running, s.Waiting, uint32(max(0, s.Slots))
	server.PrefillTokens, server.DeferredTokens = int64(s.PrefillTokens), int64(s.DeferredTokens)
	server.UsedMemoryTokens, server.MemoryTokens = int64(s.UsedMemoryTokens), int64(s.MemoryTokens)
	server.Slowness, server.FailureRate = 1+s.Slowdown, s.FailureRate
	server.CachedTokens, server.FetchTokens, server.Home = int64(s.CachedTokens), int64(s.FetchTokens), s.Home
	return server
}

// exclusion returns why the decision has left out a server before comparing costs.
func (x *explanation) exclusion(b *backend) string {
	c, rs := x.call, x.call.explained
	until := b.tracker.PausedUntil()
	switch {
	case rs.evacuations.Empties(b.zone):
		return excludedEmptied
	case b.retired.Load():
		return excludedRetired
	case b.tracker.Leaving():
		return excludedLeaving
	case x.now.Before(until):
		return fmt.Sprintf("%s for %v", excludedPaused, until.Sub(x.now).Round(time.Millisecond))
	case slices.Contains(c.withheld, b):
		return excludedSoftware
	case slices.Contains(c.rateLimited, b):
		return excludedNoPermit
	case b.tracker.Lost(x.now):
		return excludedLost
	case len(c.considered) == 0:
		return ""
	case slices.Contains(c.usable, b):
		return excludedOtherCell
	}
	return excludedOutdated
}

// describeBounds lists the limits, quarantines, weights and orders that bind the decision.
func (x *explanation) describeBounds() {
	c, rs := x.call, x.call.explained
	bound := func(format string, args ...any) { x.Bounds = append(x.Bounds, fmt.Sprintf(format, args...)) }
	if wait := c.quarantinedUntil.Sub(x.now); wait > 0 {
		bound("quarantine: part %s for %v", loggedPart(c.quarantined), wait.Round(time.Millisecond))
	}
	domains := make(map[string]bool)
	limited := 0
	for _, b := range rs.backends {
		if rs.evacuations.Empties(b.zone) {
			domains[b.zone] = true
		}
		if b.isRateLimited(x.now) {
			limited++
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(domains)) {
		bound("evacuation: failure domain %s, order %d by %s", domain, rs.evacuations[domain].Version, rs.evacuations[domain].Author)
	}
	if limited > 0 {
		bound("rate limits: %d servers, %d of them without a permit; a request waits up to %v for one", limited, len(c.rateLimited), dispatch.MaxPermitWait)
	}
	if c.state.brittle.Brittle {
		bound("brittle: servers end at more than %d rejections in a second", c.state.brittle.MaxRejections)
	}
	if c.prompt != nil {
		if targets := rs.targets[c.prompt.Model]; len(targets) > 0 {
			newest := targets[len(targets)-1]
			bound("weights: version %d of %s, required since %v", newest.Version, c.prompt.Model, x.now.Sub(newest.Since).Round(time.Millisecond))
		}
		if c.discovering(x.now) {
			bound("servers are still being discovered: a prompt is not rejected for want of room")
		}
	}
	if targets := c.route.Targets; len(targets) > 1 {
		bound("route leads to %d services by weight; this is the decision for %s", len(targets), c.service.Name)
	}
}
