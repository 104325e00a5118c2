// Package routes holds an instance's current routing table: which backend
// servers receive new requests and which weight versions those may use. The
// table is updated by read-copy-update: readers on the request path pin the
// current epoch, and an epoch is acknowledged once no reader holds an older one.
package routes

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/api/controlv1"
)

// View is the routing state at one epoch. It is immutable except for its reader
// count.
type View struct {
	Epoch uint64
	// servers and deployments are keyed by name.
	servers     map[string]*controlv1.ServerRoute
	deployments map[string]*controlv1.DeploymentRoute

	table   *Table
	readers atomic.Int64
}

// WeightVersion returns the weight version on which a backend server runs new
// requests, and false if it must not receive any.
func (v *View) WeightVersion(a *backend.Announcement) (string, bool) {
	route, ok := v.servers[a.Server]
	if !ok {
		return a.WeightVersion, hasVersionOrService(a)
	}
	if route.State != controlv1.RouteState_ROUTE_STATE_SERVING {
		return "", false
	}
	if route.Incarnation == a.Incarnation && route.Deployment == a.Deployment {
		return route.WeightVersion, true
	}
	return a.WeightVersion, hasVersionOrService(a)
}

// hasVersionOrService reports whether an announcement is of an engine with a weight
// version or of a plain service. It does not consider Leaving: fleet.Table does not
// list leaving servers.
func hasVersionOrService(a *backend.Announcement) bool {
	return a.WeightVersion != "" || a.Service != ""
}

// ServingVersions returns the weight versions that new requests to a deployment may
// use, or the declared version if the control plane has no route for the
// deployment yet.
func (v *View) ServingVersions(deployment, declared string) []string {
	if route, ok := v.deployments[deployment]; ok && len(route.ServingVersions) > 0 {
		return route.ServingVersions
	}
	return []string{declared}
}

// ServerRoute returns the route of a server, or nil.
func (v *View) ServerRoute(server string) *controlv1.ServerRoute { return v.servers[server] }

// ServerRoutes returns the routes of all servers. The map must not be modified.
func (v *View) ServerRoutes() map[string]*controlv1.ServerRoute { return v.servers }

// DeploymentRoute returns the route of a deployment, or nil.
func (v *View) DeploymentRoute(name string) *controlv1.DeploymentRoute { return v.deployments[name] }

// Release releases a reader's reference to the view. Each acquired view must be
// released exactly once, when the backend server has accepted the request or the
// dispatch has failed.
func (v *View) Release() {
	if v.readers.Add(-1) == 0 && v.table.current.Load() != v {
		v.table.notifyReadersDrained()
	}
}

// Table holds the current view and the older views that still have readers.
type Table struct {
	current        atomic.Pointer[View]
	readersDrained chan struct{}

	// mu guards older and serializes Apply.
	mu    sync.Mutex
	older []*View
}

// NewTable returns a table at epoch 0, without routes.
func NewTable() *Table {
	t := &Table{readersDrained: make(chan struct{}, 1)}
	t.current.Store(&View{table: t})
	return t
}

// Current returns the current view without counting a reader. Callers must not
// dispatch requests by it.
func (t *Table) Current() *View { return t.current.Load() }

// Acquire returns the current view and counts a reader on it until the view is
// released.
func (t *Table) Acquire() *View {
	for {
		v := t.current.Load()
		v.readers.Add(1)
		// Invariant: a reader keeps only a view on which it was counted while that
		// view was current, so the acknowledged epoch takes the reader into account
		// after the view is replaced.
		if t.current.Load() == v {
			return v
		}
		v.Release()
	}
}

// Apply applies a delta and reports whether the epoch advanced.
func (t *Table) Apply(delta *controlv1.RoutingDelta) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous := t.current.Load()
	if delta == nil || delta.Epoch <= previous.Epoch {
		return false
	}
	next := &View{Epoch: delta.Epoch, table: t}
	if delta.Full {
		next.servers = make(map[string]*controlv1.ServerRoute)
		next.deployments = make(map[string]*controlv1.DeploymentRoute)
	} else {
		next.servers, next.deployments = copyMap(previous.servers), copyMap(previous.deployments)
	}
	next.applyDelta(delta)
	t.older = append(t.older, previous)
	t.current.Store(next)
	return true
}

func copyMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return make(map[string]V)
	}
	return maps.Clone(m)
}

// applyDelta applies the changes of a delta, removals first. It must be called before
// the view is published.
func (v *View) applyDelta(delta *controlv1.RoutingDelta) {
	for _, name := range delta.RemovedServers {
		delete(v.servers, name)
	}
	for _, name := range delta.RemovedDeployments {
		delete(v.deployments, name)
	}
	for _, server := range delta.Servers {
		v.servers[server.Server] = server
	}
	for _, deployment := range delta.Deployments {
		v.deployments[deployment.Deployment] = deployment
	}
}

// AcknowledgedEpoch returns the highest epoch for which no reader still
// dispatches on an older epoch.
func (t *Table) AcknowledgedEpoch() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.older = slices.DeleteFunc(t.older, func(v *View) bool { return v.readers.Load() == 0 })
	if len(t.older) > 0 {
		return t.older[0].Epoch
	}
	return t.current.Load().Epoch
}

// ReadersDrained receives a value when the last reader of an older view
// releases it. Signals are coalesced.
func (t *Table) ReadersDrained() <-chan struct{} { return t.readersDrained }

// notifyReadersDrained signals ReadersDrained; it does nothing if a signal is already
// pending.
func (t *Table) notifyReadersDrained() {
	select {
	case t.readersDrained <- struct{}{}:
	default:
	}
}
