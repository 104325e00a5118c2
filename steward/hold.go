package steward

import (
	"iter"
	"maps"
	"math"
	"net/url"
	"slices"
	"strings"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/config"
)

func serverNames(routes map[string]*controlv1.ServerRoute) iter.Seq[string] { return maps.Keys(routes) }

// holdServers takes further outdated servers out of routing, as long as enough
// servers keep serving and the weight store can serve their loads soon.
func (p *planner) holdServers() {
	p.holdDrains()
	limit := p.maxOutOfService()
	for _, s := range p.candidates(limit) {
		if p.outOfService >= limit {
			return
		}
		reason := p.outdatedReason(s)
		if p.isRoutable(s) && p.routable <= p.minServing {
			continue
		}
		p.setServerRoute(s, &controlv1.ServerRoute{State: stateHeld, WeightVersion: p.targetVersion, Reason: reason})
	}
}

// maxOutOfService is the number of servers that may be held or loading at once:
// as many as may load concurrently, and as many again whose running requests
// finish meanwhile.
func (p *planner) maxOutOfService() int { return 2 * p.WeightStore.ConcurrentLoads }

// canaryAllows reports whether the server of route may load the target version.
// Until a server has confirmed the version, only its canaries load it: the first
// servers, as many as may load concurrently. A failed canary may load it again.
func (p *planner) canaryAllows(route *controlv1.ServerRoute) bool {
	if route.Failures > 0 || slices.Contains(p.servingVersions, p.targetVersion) {
		return true
	}
	exposed := 0
	for _, other := range p.plannedRoutes {
		if other.WeightVersion == p.targetVersion && (other.State == stateLoading || other.State == stateProbing || other.Failures > 0) {
			exposed++
		}
	}
	return exposed < p.WeightStore.ConcurrentLoads
}

// candidates returns up to n servers that need an order and are not out of
// routing. Servers that receive no requests come first, then servers of the
// failure domain with the most routable servers left.
func (p *planner) candidates(n int) []*Server {
	var servers []*Server
	routableInDomain := make(map[string]int)
	for i := range p.Servers {
		s := &p.Servers[i]
		route := p.plannedRoutes[s.Server]
		if p.isRoutable(s) {
			routableInDomain[s.FailureDomain]++
		}
		if (route == nil || route.State == stateServing) && p.outdatedReason(s) != "" && p.drainOf(s) == nil {
			servers = append(servers, s)
		}
	}
	var ordered []*Server
	for len(servers) > 0 && len(ordered) < n {
		best := slices.IndexFunc(servers, func(s *Server) bool { return !p.isRoutable(s) })
		if best < 0 {
			best = largestDomain(servers, routableInDomain)
			routableInDomain[servers[best].FailureDomain]--
		}
		ordered = append(ordered, servers[best])
		servers = slices.Delete(servers, best, best+1)
	}
	return ordered
}

// largestDomain returns the index of the first server in the failure domain with
// the most routable servers.
func largestDomain(servers []*Server, routableInDomain map[string]int) int {
	best := 0
	for i, s := range servers {
		if routableInDomain[s.FailureDomain] > routableInDomain[servers[best].FailureDomain] {
			best = i
		}
	}
	return best
}

// drainOf returns the drain request that applies to a server, or nil.
func (p *planner) drainOf(s *Server) *controlv1.DrainRequest {
	for _, d := range p.Drains {
		if drainMatches(d, s) {
			return d
		}
	}
	return nil
}

// drainMatches reports whether a drain request names the server, its failure domain
// or its host.
func drainMatches(d *controlv1.DrainRequest, s *Server) bool {
	switch d.Target {
	case controlv1.DrainTarget_DRAIN_TARGET_SERVER:
		return d.Name == s.Server
	case controlv1.DrainTarget_DRAIN_TARGET_FAILURE_DOMAIN:
		return d.Name == s.FailureDomain
	case controlv1.DrainTarget_DRAIN_TARGET_INSTANCE:
		u, err := url.Parse(s.URL)
		return err == nil && u.Hostname() == d.Name
	}
	return false
}

// holdDrains holds servers that are to be drained, within each request's limit
// on lost capacity.
func (p *planner) holdDrains() {
	for i := range p.Servers {
		s := &p.Servers[i]
		d := p.drainOf(s)
		route := p.plannedRoutes[s.Server]
		if d == nil || (route != nil && route.State != stateServing && route.State != stateSetAside) {
			continue
		}
		if p.isRoutable(s) && p.routable <= p.minServingDuringDrain(d) {
			continue
		}
		p.setServerRoute(s, &controlv1.ServerRoute{
			State: stateHeld, WeightVersion: p.versionOf(s), Drain: true, Reason: strings.TrimSpace("drain " + d.Reason),
		})
	}
}

// minServingDuringDrain is the number of servers that a drain leaves in
// service.
func (p *planner) minServingDuringDrain(d *controlv1.DrainRequest) int {
	if d.MaxLost <= 0 {
		return p.minServing
	}
	declared := min(p.Deployment.Servers, len(p.Servers))
	return declared - int(math.Floor(d.MaxLost*float64(declared)))
}

// drainProgress adds the progress of each drain request to the plan.
func (p *planner) drainProgress() {
	for _, d := range p.Drains {
		progress := &controlv1.DrainProgress{Target: d.Target, Name: d.Name, Deployment: p.Deployment.Name}
		for i := range p.Servers {
			s := &p.Servers[i]
			if !drainMatches(d, s) {
				continue
			}
			progress.Matched++
			route := p.plannedRoutes[s.Server]
			switch {
			case route != nil && route.State == stateDrained:
				progress.Drained++
			case route != nil && route.State != stateServing:
				progress.Held++
			}
		}
		progress.Note = drainNote(progress)
		p.plan.Busy = p.plan.Busy || progress.Held > 0
		p.plan.Drains = append(p.plan.Drains, progress)
	}
}

func drainNote(d *controlv1.DrainProgress) string {
	switch {
	case d.Drained == d.Matched:
		return "done"
	case d.Drained+d.Held < d.Matched:
		return "the rest waits: more would pass the bound on lost capacity"
	}
	return "waits for runs to end"
}

// haltFailedRollout stops a rollout whose canaries failed: the servers
// return to the version that is still served. A trial environment gets a new
// revision. A production environment accepts only promotions, so its document
// stays until an operator acts.
func (p *planner) haltFailedRollout() {
	if p.targetVersion == p.Deployment.WeightVersion && !p.canariesFailed() {
		return
	}
	p.markHalted()
	if p.Stage == config.StageTrial {
		p.plan.RollbackVersion = p.servingVersions[0]
	}
}

// canariesFailed reports whether as many servers as may load concurrently, or all
// if there are fewer, were set aside on the target version while another
// version is served and no server has confirmed the target version.
func (p *planner) canariesFailed() bool {
	if slices.Contains(p.servingVersions, p.targetVersion) || len(p.servingVersions) == 0 {
		return false
	}
	failed := 0
	for _, route := range p.plannedRoutes {
		if route.State == stateSetAside && route.WeightVersion == p.targetVersion {
			failed++
		}
	}
	return failed > 0 && failed >= min(p.WeightStore.ConcurrentLoads, len(p.Servers))
}
