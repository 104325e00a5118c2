package steward

import (
	"fmt"
	"slices"
	"time"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/api/controlv1"
)

// advanceServer advances the state of a server that has a route.
func (p *planner) advanceServer(s *Server) {
	route := p.plannedRoutes[s.Server]
	if route == nil {
		return
	}
	switch route.State {
	case stateServing:
		p.advanceServing(s, route)
	case stateHeld:
		p.advanceHeld(s, route)
	case stateLoading:
		p.advanceLoading(s, route)
	case stateProbing:
		p.advanceProbing(s, route)
	case stateSetAside:
		if route.Incarnation != s.Incarnation || route.WeightVersion != p.targetVersion || p.timeInState(route) >= setAsideRetryDelay {
			p.setServerRoute(s, &controlv1.ServerRoute{State: stateHeld, WeightVersion: p.targetVersion, Reason: "to be ordered again after it was set aside"})
		}
	case stateDrained:
		if p.drainOf(s) == nil {
			p.returnToService(s, route)
		}
	}
}

// advanceServing removes a route once the server's announcement agrees with it.
func (p *planner) advanceServing(s *Server, route *controlv1.ServerRoute) {
	agrees := route.Incarnation != s.Incarnation || route.WeightVersion == s.WeightVersion
	if agrees && p.timeInState(route) >= announcementLag {
		p.removeServerRoute(s.Server)
		return
	}
	p.plan.Busy = p.plan.Busy || p.timeInState(route) < announcementLag
}

// returnToService returns a held server to service, or holds it for the orders
// that it needs.
func (p *planner) returnToService(s *Server, route *controlv1.ServerRoute) {
	if reason := p.outdatedReason(s); reason != "" {
		p.setServerRoute(s, &controlv1.ServerRoute{State: stateHeld, WeightVersion: p.targetVersion, Reason: reason})
		return
	}
	p.setServerRoute(s, &controlv1.ServerRoute{State: stateServing, WeightVersion: p.targetVersion, Reason: "in service again", OrderId: route.OrderId})
}

// advanceHeld waits until the entries have acknowledged the hold and the
// running requests have ended. If the server does not check fencing numbers, it
// also waits until orders of a former steward can no longer arrive.
func (p *planner) advanceHeld(s *Server, route *controlv1.ServerRoute) {
	if s.State == nil {
		if p.timeInState(route) >= p.WeightStore.LoadTimeout.Std() {
			p.recordFailure(s, route, "its state cannot be read")
		}
		return
	}
	if p.AcknowledgedEpoch < route.HeldEpoch {
		return
	}
	idle := s.State.Running == 0
	if p.drainOf(s) != nil {
		if idle {
			p.setServerRoute(s, &controlv1.ServerRoute{State: stateDrained, WeightVersion: route.WeightVersion, Reason: route.Reason, Drain: true})
		}
		return
	}
	if p.outdatedReason(s) == "" && route.Failures == 0 {
		p.returnToService(s, route)
		return
	}
	if !idle && p.timeInState(route) < p.Deployment.DrainTimeout.Std() {
		return
	}
	slotFree := p.loads < p.WeightStore.ConcurrentLoads && !p.YieldLoads
	if slotFree && p.mayOrder(s) && p.canaryAllows(route) && p.timeInState(route) >= backoff(route.Failures) {
		p.loads++
		p.startLoad(s, route.Failures, route.Reason)
	}
}

// backoff returns the wait after a number of failed orders.
func backoff(failures uint32) time.Duration {
	if failures == 0 {
		return 0
	}
	return initialBackoff << (failures - 1)
}

// mayOrder reports whether a server may be sent an order. A new lease holder sends
// the first one to a server that does not check fencing numbers only when no order
// of the former holder can reach the server any more.
func (p *planner) mayOrder(s *Server) bool {
	return p.checksFencing(s) || !p.Now.Before(p.NonFencingAfter)
}

// checksFencing is true only if both the document and the announcement say so.
func (p *planner) checksFencing(s *Server) bool {
	return s.ChecksFencing && p.Kinds[s.Kind].ChecksFencing
}

// startLoad moves a server to the loading state and adds its load order to the plan.
func (p *planner) startLoad(s *Server, failures uint32, reason string) {
	p.setServerRoute(s, &controlv1.ServerRoute{
		State:         stateLoading,
		WeightVersion: p.targetVersion,
		Reason:        reason,
		Failures:      failures,
		OrderId:       orderID(s, p.Deployment.Name, p.targetOf(s), failures),
	})
	p.addOrder(s, p.plannedRoutes[s.Server])
}

// advanceLoading confirms an order by reading the server's state.
func (p *planner) advanceLoading(s *Server, route *controlv1.ServerRoute) {
	timedOut := p.timeInState(route) >= p.WeightStore.LoadTimeout.Std()
	wantID := orderID(s, p.Deployment.Name, p.targetOf(s), route.Failures)
	switch {
	case route.Incarnation != s.Incarnation:
		p.recordFailure(s, route, "restarted while loading")
	case s.State == nil || s.State.Incarnation != s.Incarnation:
		if timedOut {
			p.recordFailure(s, route, "its state cannot be read")
		}
	case s.State.Loading:
		if timedOut {
			p.recordFailure(s, route, "the load takes longer than load_timeout")
		}
	case route.OrderId != wantID:
		// The declared state changed, and no load is in progress.
		p.startLoad(s, 0, "declared state changed")
	case s.RefusalReason != "":
		p.recordFailure(s, route, s.RefusalReason)
	case s.State.LastOrderID != route.OrderId:
		p.resendOrder(s, route, timedOut)
	default:
		p.finishLoad(s, route)
	}
}

// finishLoad moves a server whose load has ended to the probing state and requests
// a probe, or records a failed order if its state does not match the target. The
// load slot of the weight store is released before the probe.
func (p *planner) finishLoad(s *Server, route *controlv1.ServerRoute) {
	if reason := p.outdatedReason(s); reason != "" {
		p.recordFailure(s, route, "the load ended with "+reason)
		return
	}
	p.loads--
	p.setServerRoute(s, &controlv1.ServerRoute{
		State: stateProbing, WeightVersion: route.WeightVersion, OrderId: route.OrderId, Failures: route.Failures, Reason: "test run",
	})
	p.plan.Probes = append(p.plan.Probes, s.Server)
}

// advanceProbing checks the probe result. It holds the server again if its order is
// outdated, and records a failed order if the server restarted or its state cannot
// be read for too long.
func (p *planner) advanceProbing(s *Server, route *controlv1.ServerRoute) {
	wantID := orderID(s, p.Deployment.Name, p.targetOf(s), route.Failures)
	switch {
	case route.Incarnation != s.Incarnation:
		p.recordFailure(s, route, "restarted before its test run")
	case route.OrderId != wantID:
		p.setServerRoute(s, &controlv1.ServerRoute{State: stateHeld, WeightVersion: p.targetVersion, Reason: "declared state changed"})
	case s.State == nil:
		if p.timeInState(route) >= p.WeightStore.LoadTimeout.Std() {
			p.recordFailure(s, route, "its state cannot be read")
		}
	default:
		p.checkProbe(s, route)
	}
}

// resendOrder sends the order of a server route again. An engine that already
// has the order acknowledges it without a second load.
func (p *planner) resendOrder(s *Server, route *controlv1.ServerRoute, timedOut bool) {
	if timedOut {
		p.recordFailure(s, route, "orders are not taken")
		return
	}
	if p.mayOrder(s) {
		p.addOrder(s, route)
	}
}

// addOrder adds the load order of a server route to the plan.
func (p *planner) addOrder(s *Server, route *controlv1.ServerRoute) {
	t := p.targetOf(s)
	order := Order{Server: s.Server, URL: s.URL, LoadOrder: backend.LoadOrder{
		OrderID:       route.OrderId,
		Deployment:    p.Deployment.Name,
		WeightVersion: t.version,
		Adapters:      t.adapters,
		Role:          t.role,
	}}
	if p.WeightStore.URL != "" {
		order.WeightsURL = p.WeightStore.URL + "/weights/" + p.Deployment.Name + "/" + t.version
	}
	p.plan.Orders = append(p.plan.Orders, order)
}

// checkProbe returns a probing server to service if its state matches the target
// and its probe succeeded. It requests the probe if there is no result for this
// order, and records a failed order otherwise. Texts for operators call the probe
// a "test run".
func (p *planner) checkProbe(s *Server, route *controlv1.ServerRoute) {
	if reason := p.outdatedReason(s); reason != "" {
		p.recordFailure(s, route, "it fell back to "+reason)
		return
	}
	if s.Probe.OrderID != route.OrderId {
		p.plan.Probes = append(p.plan.Probes, s.Server)
		return
	}
	if s.Probe.FailureReason != "" {
		p.recordFailure(s, route, s.Probe.FailureReason)
		return
	}
	p.setServerRoute(s, &controlv1.ServerRoute{State: stateServing, WeightVersion: p.targetVersion, Reason: "order confirmed", OrderId: route.OrderId})
	if !slices.Contains(p.servingVersions, p.targetVersion) {
		p.servingVersions = append(p.servingVersions, p.targetVersion)
		p.updateCounts()
	}
}

// recordFailure counts a failed order. The server is held until its next order,
// or set aside after maxFailures.
func (p *planner) recordFailure(s *Server, route *controlv1.ServerRoute, reason string) {
	if route.State == stateLoading {
		p.loads--
	}
	failures := route.Failures + 1
	if failures >= maxFailures {
		p.setServerRoute(s, &controlv1.ServerRoute{
			State: stateSetAside, WeightVersion: p.targetVersion, Failures: failures,
			Reason: fmt.Sprintf("set aside after %d failed orders; last: %s", failures, reason),
		})
		return
	}
	p.setServerRoute(s, &controlv1.ServerRoute{State: stateHeld, WeightVersion: p.targetVersion, Failures: failures, Reason: "order failed: " + reason})
}

// removeAbsent removes the routes of servers that are no longer announced.
func (p *planner) removeAbsent() {
	announced := make(map[string]bool, len(p.Servers))
	for _, s := range p.Servers {
		announced[s.Server] = true
	}
	for _, name := range slices.Sorted(serverNames(p.plannedRoutes)) {
		route := p.plannedRoutes[name]
		limit := absenceTimeout
		if route.State == stateLoading {
			limit = max(limit, p.WeightStore.LoadTimeout.Std())
		}
		if !announced[name] && p.timeInState(route) >= limit {
			p.removeServerRoute(name)
		}
	}
}
