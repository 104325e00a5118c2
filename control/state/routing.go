package state

import (
	"encoding/json"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/config"
)

const (
	// maxRouteRemovals bounds the removed routes kept per environment to
	// compute deltas.
	maxRouteRemovals = 4096
	// maxRetiredVersions bounds the retired weight versions kept per
	// deployment.
	maxRetiredVersions = 8
	// roleEntry is the role of the instances that route requests and must
	// acknowledge routing epochs.
	roleEntry = "entry"
)

// routing holds the routes of the backend servers and deployments of one
// environment.
type routing struct {
	epoch uint64
	// requiredEpoch is the highest epoch that a permitted weight load relies
	// on. Invariant: an entry that routes on a lower epoch gets no lease.
	requiredEpoch uint64
	servers       map[string]*controlv1.ServerRoute
	deployments   map[string]*controlv1.DeploymentRoute
	removals      []*controlv1.RouteRemoval
	deltaFloor    uint64
	drains        map[drainKey]*controlv1.DrainStatus
	// formerIncarnations holds earlier incarnations of entries whose leases
	// have not expired: a partitioned process may still dispatch requests.
	formerIncarnations []*controlv1.InstanceStatus
}

func newRouting() *routing {
	return &routing{
		servers:     make(map[string]*controlv1.ServerRoute),
		deployments: make(map[string]*controlv1.DeploymentRoute),
		drains:      make(map[drainKey]*controlv1.DrainStatus),
	}
}

// StewardLeaseName returns the name of the lease held by a deployment's steward.
func StewardLeaseName(environment, deployment string) string {
	return "steward/" + environment + "/" + deployment
}

// updateRouting applies a steward's routing update if the steward holds the
// deployment's lease under the given fencing number.
func (s *State) updateRouting(req *controlv1.UpdateRoutingRequest) *controlv1.UpdateRoutingResponse {
	e := s.environment(req.Environment)
	response := &controlv1.UpdateRoutingResponse{Epoch: e.routing.epoch}
	lease, ok := s.leases[StewardLeaseName(req.Environment, req.Deployment)]
	if !ok || lease.ExpiresUnixMs <= s.nowMS || lease.Holder != req.Holder || lease.FencingNumber != req.FencingNumber {
		response.Reason = "the deployment's lease is not held under this fencing number"
		return response
	}
	change := &routingChange{routing: e.routing, env: e, req: req, nowMS: s.nowMS, nextEpoch: e.routing.epoch + 1}
	change.apply()
	if change.epochChanged {
		e.routing.epoch = change.nextEpoch
	}
	response.Accepted = true
	response.Epoch = e.routing.epoch
	response.RefusedLoads = change.refusedLoads
	return response
}

// routingChange applies one accepted request. All its changes get the epoch
// nextEpoch.
type routingChange struct {
	*routing
	env          *environment
	req          *controlv1.UpdateRoutingRequest
	nowMS        int64
	nextEpoch    uint64
	epochChanged bool
	refusedLoads []string
}

func (c *routingChange) apply() {
	for _, name := range c.req.Removes {
		c.removeServer(name)
	}
	for _, route := range c.req.Upserts {
		c.updateServer(proto.CloneOf(route))
	}
	if c.req.Route != nil {
		c.updateDeployment(proto.CloneOf(c.req.Route))
	}
	for _, p := range c.req.Drains {
		c.updateDrainProgress(p)
	}
}

// removeServer deletes the route of a server if it belongs to the requesting
// deployment.
func (c *routingChange) removeServer(name string) {
	if previous, ok := c.servers[name]; !ok || previous.Deployment != c.req.Deployment {
		return
	}
	c.deleteServer(name, c.nextEpoch)
	c.epochChanged = true
}

// updateServer sets the route of a server. The route stays unchanged if another
// deployment has taken the server out of routing, or if canLoad does not permit a
// weight load; a refused load is recorded in refusedLoads.
func (c *routingChange) updateServer(route *controlv1.ServerRoute) {
	previous := c.servers[route.Server]
	if previous != nil && previous.Deployment != c.req.Deployment && blocked(previous) {
		return // another deployment's steward has taken the server out of routing
	}
	if route.State == controlv1.RouteState_ROUTE_STATE_LOADING && !c.canLoad(previous) {
		c.refusedLoads = append(c.refusedLoads, route.Server)
		return
	}
	route.Deployment = c.req.Deployment
	route.FencingNumber = c.req.FencingNumber
	route.HeldEpoch, route.Epoch, route.SinceUnixMs = previous.GetHeldEpoch(), previous.GetEpoch(), previous.GetSinceUnixMs()
	if blocked(route) && !blocked(previous) {
		route.HeldEpoch = c.nextEpoch
	}
	if previous == nil || previous.State != route.State {
		route.SinceUnixMs = c.nowMS
	}
	if previous == nil || routesDiffer(previous, route) {
		route.Epoch = c.nextEpoch
		c.epochChanged = true
	}
	c.servers[route.Server] = route
}

// routesDiffer reports whether two server routes differ for an entry. The
// states that block routing are equivalent.
func routesDiffer(a, b *controlv1.ServerRoute) bool {
	if blocked(a) || blocked(b) {
		return blocked(a) != blocked(b)
	}
	return a.Incarnation != b.Incarnation || a.WeightVersion != b.WeightVersion
}

// blocked reports whether a route excludes its server from new requests.
func blocked(route *controlv1.ServerRoute) bool {
	return route != nil && route.State != controlv1.RouteState_ROUTE_STATE_SERVING
}

// canLoad permits a weight load once every entry that may still dispatch routes
// on the epoch in which the server was taken out of routing, or a later one. It
// also bounds the number of concurrent loads.
func (c *routingChange) canLoad(previous *controlv1.ServerRoute) bool {
	if previous == nil || !blocked(previous) || previous.Deployment != c.req.Deployment {
		return false
	}
	if previous.State == controlv1.RouteState_ROUTE_STATE_LOADING {
		return true
	}
	if c.loadingCount() >= int(c.req.MaxLoads) || !c.env.epochAcknowledged(previous.HeldEpoch, c.nowMS) {
		return false
	}
	c.requiredEpoch = max(c.requiredEpoch, previous.HeldEpoch)
	return true
}

func (r *routing) loadingCount() int {
	n := 0
	for _, route := range r.servers {
		if route.State == controlv1.RouteState_ROUTE_STATE_LOADING {
			n++
		}
	}
	return n
}

// epochAcknowledged reports whether every entry with an unexpired lease routes
// on the given epoch or a later one.
func (e *environment) epochAcknowledged(epoch uint64, nowMS int64) bool {
	behind := func(in *controlv1.InstanceStatus) bool {
		return in.Role == roleEntry && in.LeaseExpiresUnixMs > nowMS && in.RoutingEpoch < epoch
	}
	for _, in := range e.instances {
		if behind(in) {
			return false
		}
	}
	return !slices.ContainsFunc(e.routing.formerIncarnations, behind)
}

// addFormerIncarnation keeps an earlier incarnation of an entry until its lease
// expires, and discards those whose leases have expired.
func (r *routing) addFormerIncarnation(previous *controlv1.InstanceStatus, nowMS int64) {
	r.formerIncarnations = slices.DeleteFunc(slices.Clone(r.formerIncarnations), func(in *controlv1.InstanceStatus) bool {
		return in.LeaseExpiresUnixMs <= nowMS
	})
	if previous.Role == roleEntry && previous.LeaseExpiresUnixMs > nowMS {
		r.formerIncarnations = append(r.formerIncarnations, previous)
	}
}

// updateDeployment sets the route of the requesting deployment and keeps only its newest
// retired versions.
func (c *routingChange) updateDeployment(r *controlv1.DeploymentRoute) {
	previous := c.deployments[c.req.Deployment]
	r.Deployment = c.req.Deployment
	r.Epoch = previous.GetEpoch()
	if excess := len(r.RetiredVersions) - maxRetiredVersions; excess > 0 {
		r.RetiredVersions = r.RetiredVersions[excess:]
	}
	same := slices.Equal(previous.GetServingVersions(), r.ServingVersions) && slices.Equal(previous.GetRetiredVersions(), r.RetiredVersions)
	if previous == nil || !same {
		r.Epoch = c.nextEpoch
		c.epochChanged = true
	}
	c.deployments[c.req.Deployment] = r
}

// deleteServer deletes the route of a server and records the removal for deltas.
func (r *routing) deleteServer(name string, epoch uint64) {
	delete(r.servers, name)
	r.recordRemoval(&controlv1.RouteRemoval{Server: name, Epoch: epoch})
}

// recordRemoval keeps a removal for deltas, and discards the oldest ones beyond
// maxRouteRemovals.
func (r *routing) recordRemoval(removal *controlv1.RouteRemoval) {
	r.removals = append(r.removals, removal)
	if excess := len(r.removals) - maxRouteRemovals; excess > 0 {
		// A delta from before a discarded removal would miss it.
		r.deltaFloor = r.removals[excess-1].Epoch
		r.removals = slices.Delete(r.removals, 0, excess)
	}
}

// syncDeployments keeps one route for each declared deployment. A new deployment
// serves its declared weight version. Removing a deployment also removes the routes of
// its servers. syncDeployments does not change the versions of an existing route: the
// steward does, once servers have confirmed the new one.
func (r *routing) syncDeployments(upserts []*controlv1.ConfigItem, removes []*controlv1.ConfigKey) {
	nextEpoch := r.epoch + 1
	for _, k := range removes {
		if _, ok := r.deployments[k.Name]; ok && k.Kind == config.KindDeployment {
			r.deleteDeployment(k.Name, nextEpoch)
			r.epoch = nextEpoch
		}
	}
	for _, it := range upserts {
		var d config.Deployment
		if it.Kind != config.KindDeployment || r.deployments[it.Name] != nil || json.Unmarshal(it.Body, &d) != nil {
			continue
		}
		r.deployments[it.Name] = &controlv1.DeploymentRoute{
			Deployment: it.Name, ServingVersions: []string{d.WeightVersion}, Epoch: nextEpoch,
		}
		r.epoch = nextEpoch
	}
}

// deleteDeployment deletes the routes of a deployment and of its servers, and records
// the removals for deltas.
func (r *routing) deleteDeployment(name string, epoch uint64) {
	delete(r.deployments, name)
	r.recordRemoval(&controlv1.RouteRemoval{Deployment: name, Epoch: epoch})
	for _, server := range sortedKeys(r.servers) {
		if r.servers[server].Deployment == name {
			r.deleteServer(server, epoch)
		}
	}
}

// delta returns the changes after an epoch, or nil if there are none.
func (r *routing) delta(knownEpoch uint64) *controlv1.RoutingDelta {
	if knownEpoch == r.epoch {
		return nil
	}
	full := knownEpoch == 0 || knownEpoch < r.deltaFloor || knownEpoch > r.epoch
	d := &controlv1.RoutingDelta{Epoch: r.epoch, Full: full}
	for _, name := range sortedKeys(r.servers) {
		if route := r.servers[name]; full || route.Epoch > knownEpoch {
			d.Servers = append(d.Servers, route)
		}
	}
	for _, name := range sortedKeys(r.deployments) {
		if route := r.deployments[name]; full || route.Epoch > knownEpoch {
			d.Deployments = append(d.Deployments, route)
		}
	}
	if !full {
		r.addRemovals(d, knownEpoch)
	}
	return d
}

func (r *routing) addRemovals(d *controlv1.RoutingDelta, knownEpoch uint64) {
	for _, removal := range r.removals {
		if removal.Epoch <= knownEpoch {
			continue
		}
		if removal.Server != "" && r.servers[removal.Server] == nil {
			d.RemovedServers = append(d.RemovedServers, removal.Server)
		}
		if removal.Deployment != "" && r.deployments[removal.Deployment] == nil {
			d.RemovedDeployments = append(d.RemovedDeployments, removal.Deployment)
		}
	}
}

func (r *routing) addStatus(response *controlv1.GetStatusResponse) {
	response.RoutingEpoch = r.epoch
	for _, name := range sortedKeys(r.servers) {
		response.Routes = append(response.Routes, r.servers[name])
	}
	for _, name := range sortedKeys(r.deployments) {
		response.Deployments = append(response.Deployments, r.deployments[name])
	}
	response.Drains = r.sortedDrains()
}

func (r *routing) snapshot() *controlv1.RoutingState {
	snap := &controlv1.RoutingState{
		Epoch: r.epoch, Barrier: r.requiredEpoch, Removals: r.removals, DeltaFloor: r.deltaFloor, Drains: r.sortedDrains(), Former: r.formerIncarnations,
	}
	for _, name := range sortedKeys(r.servers) {
		snap.Servers = append(snap.Servers, r.servers[name])
	}
	for _, name := range sortedKeys(r.deployments) {
		snap.Deployments = append(snap.Deployments, r.deployments[name])
	}
	return snap
}

func restoreRouting(snap *controlv1.RoutingState) *routing {
	r := newRouting()
	if snap == nil {
		return r
	}
	r.epoch, r.requiredEpoch = snap.Epoch, snap.Barrier
	r.removals, r.deltaFloor, r.formerIncarnations = snap.Removals, snap.DeltaFloor, snap.Former
	for _, route := range snap.Servers {
		r.servers[route.Server] = route
	}
	for _, d := range snap.Deployments {
		r.deployments[d.Deployment] = d
	}
	for _, d := range snap.Drains {
		r.drains[newDrainKey(d.Request.Target, d.Request.Name)] = d
	}
	return r
}
