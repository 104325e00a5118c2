package steward

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/config"
)

// observation is the state of the control plane and the announced servers, read
// once per reconciliation.
type observation struct {
	status  *controlv1.GetStatusResponse
	servers []backend.Announcement
}

// observeFleet reads the control status and the announced servers, and updates
// d.draining.
func (d *Driver) observeFleet(ctx context.Context) (*observation, error) {
	bounded, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	status, err := d.Control.GetStatus(bounded, &controlv1.GetStatusRequest{Environment: d.Environment})
	if err != nil {
		return nil, eris.Wrap(err, "read control status")
	}
	servers, err := d.Backends.ListServers(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "list backend servers")
	}
	d.draining = len(status.Drains) > 0 || slices.ContainsFunc(status.Routes, func(route *controlv1.ServerRoute) bool {
		return strings.HasPrefix(route.Deployment, servicePrefix)
	})
	return &observation{status: status, servers: servers}, nil
}

// planInput returns the input of a plan for one deployment, without server states
// and order outcomes.
func (d *Driver) planInput(view *config.View, dep *config.Deployment, obs *observation, l *leaseState) PlanInput {
	input := PlanInput{
		Now:               time.UnixMilli(obs.status.NowUnixMs),
		Environment:       d.Environment,
		Stage:             view.Document.Stage,
		Revision:          view.Revision,
		Deployment:        dep,
		Kinds:             make(map[string]config.ServerKind),
		WeightStore:       view.Document.WeightStore,
		ServerRoutes:      make(map[string]*controlv1.ServerRoute),
		AcknowledgedEpoch: lowestAcknowledgedEpoch(obs.status),
	}
	// The deadline is kept on this process's clock; the plan uses the control
	// plane's.
	input.NonFencingAfter = input.Now.Add(time.Until(l.nonFencingAfter))
	for _, k := range view.Document.ServerKinds {
		input.Kinds[k.Name] = k
	}
	for _, route := range obs.status.Routes {
		if route.State == stateLoading {
			input.ActiveLoads++
		}
		if route.Deployment == dep.Name {
			input.ServerRoutes[route.Server] = route
		}
	}
	input.DeploymentRoute, input.YieldLoads = routeOf(obs.status, dep)
	for _, drain := range obs.status.Drains {
		input.Drains = append(input.Drains, drain.Request)
	}
	for _, a := range obs.servers {
		if a.Deployment == dep.Name || (a.Service != "" && servicePrefix+a.Service == dep.Name) {
			input.Servers = append(input.Servers, Server{Announcement: a})
		}
	}
	slices.SortFunc(input.Servers, func(a, b Server) int { return strings.Compare(a.Server, b.Server) })
	return input
}

// lowestAcknowledgedEpoch returns the lowest routing epoch among the entries
// with a live lease. The control plane makes the same check, and includes
// former incarnations, when a load is committed.
func lowestAcknowledgedEpoch(status *controlv1.GetStatusResponse) uint64 {
	lowest := status.RoutingEpoch
	for _, instance := range status.Instances {
		if instance.Role == "entry" && instance.LeaseExpiresUnixMs > status.NowUnixMs {
			lowest = min(lowest, instance.RoutingEpoch)
		}
	}
	return lowest
}

// routeOf returns a deployment's route, and whether another deployment that
// waits for a load has a smaller share of its servers in service.
func routeOf(status *controlv1.GetStatusResponse, dep *config.Deployment) (*controlv1.DeploymentRoute, bool) {
	waiting := make(map[string]bool)
	for _, route := range status.Routes {
		if route.State == stateHeld && !route.Drain && route.Failures == 0 {
			waiting[route.Deployment] = true
		}
	}
	var ownRoute *controlv1.DeploymentRoute
	for _, r := range status.Deployments {
		if r.Deployment == dep.Name {
			ownRoute = r
		}
	}
	for _, r := range status.Deployments {
		if r.Deployment != dep.Name && waiting[r.Deployment] && servingShare(r.Checks) < servingShare(ownRoute.GetChecks()) {
			return ownRoute, true
		}
	}
	return ownRoute, false
}

// servingShare is the share of the declared servers that serve; 1 if unknown.
func servingShare(c *controlv1.DeploymentChecks) float64 {
	if c.GetDeclared() == 0 {
		return 1
	}
	return float64(c.Serving) / float64(c.Declared)
}

// readStates reads the state of the servers that are out of routing and, every
// idleInterval, of a sample of the others, and stores the states in input.Servers.
// l determines when a sample is due and which servers it contains.
func (d *Driver) readStates(ctx context.Context, input *PlanInput, l *leaseState) {
	sample := l.nextSample(len(input.Servers))
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	slots := make(chan struct{}, maxConcurrentReads)
	var wg sync.WaitGroup
	for i := range input.Servers {
		s := &input.Servers[i]
		route := input.ServerRoutes[s.Server]
		if (route == nil || route.State == stateServing) && !sample(i) {
			continue
		}
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if state, err := d.Backends.ReadState(ctx, s.URL); err == nil && state.Server == s.Server {
				s.State = state
			}
		})
	}
	wg.Wait()
}

// nextSample returns a predicate that selects, among n servers by index, those of
// the sample that is due; it selects none if no sample is due. A due sample is
// recorded as taken.
func (l *leaseState) nextSample(n int) func(i int) bool {
	if time.Since(l.lastSample) < idleInterval {
		return func(int) bool { return false }
	}
	l.lastSample = time.Now()
	l.sampleStart += stateSampleSize
	first := l.sampleStart % max(1, n)
	return func(i int) bool { return (i-first+n)%n < stateSampleSize }
}

// addOrderOutcomes adds refusals and probe results to the servers in input, and
// discards those of servers without a route.
func (l *leaseState) addOrderOutcomes(input *PlanInput) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range input.Servers {
		s := &input.Servers[i]
		route := input.ServerRoutes[s.Server]
		if route == nil {
			delete(l.refusals, s.Server)
			delete(l.probes, s.Server)
			continue
		}
		if r := l.refusals[s.Server]; r.orderID == route.OrderId {
			s.RefusalReason = r.reason
		}
		s.Probe = l.probes[s.Server]
	}
}
