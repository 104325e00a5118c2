package steward

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/config"
)

// Bounds of a plan.
const (
	// maxFailures is the number of failed orders after which a server is set
	// aside.
	maxFailures = 3
	// firstBackoff is the wait after the first failed order; it doubles.
	firstBackoff = time.Second
	// asideRetry is the time after which a server that was set aside is tried
	// again.
	asideRetry = 5 * time.Minute
	// goneLimit is the silence after which a server's mark ends.
	goneLimit = 30 * time.Second
	// settleTime is the time for which a confirmed version overrules
	// announcements that may be older.
	settleTime = 3 * time.Second
)

// Short names of the states of a mark.
const (
	stateHeld     = controlv1.RouteState_ROUTE_STATE_HELD
	stateLoading  = controlv1.RouteState_ROUTE_STATE_LOADING
	stateServing  = controlv1.RouteState_ROUTE_STATE_SERVING
	stateSetAside = controlv1.RouteState_ROUTE_STATE_SET_ASIDE
	stateProbing  = controlv1.RouteState_ROUTE_STATE_PROBING
	stateDrained  = controlv1.RouteState_ROUTE_STATE_DRAINED
)

// Server is one announced backend server and what was read back of it.
type Server struct {
	backend.Announcement
	// State is what the server said when asked last; nil if it was not asked
	// or did not answer.
	State *backend.EngineState
	// Refused says why the server refused the order that is its mark's, empty
	// if it did not.
	Refused string
	// Probe is the outcome of a run sent to the server under its mark's order.
	Probe ProbeResult
}

// ProbeResult is the outcome of a test run.
type ProbeResult struct {
	// OrderID is the order after which the run was sent; empty before one.
	OrderID string
	// Fault is empty if the run was whole and on the ordered version.
	Fault string
}

// World is what a plan is made from: the declared state, what was observed,
// and the time by control's clock.
type World struct {
	Now         time.Time
	Environment string
	Stage       config.Stage
	Revision    uint64
	Deployment  *config.Deployment
	Kinds       map[string]config.ServerKind
	WeightStore config.WeightStore
	// Servers are those that announce the deployment, sorted by name.
	Servers []Server
	// Marks are the deployment's, Loads those of the environment that load,
	// and Yield is true if another deployment is shorter of servers.
	Marks  map[string]*controlv1.ServerRoute
	Loads  int
	Yield  bool
	Route  *controlv1.DeploymentRoute
	Drains []*controlv1.DrainRequest
	// Acknowledged is the lowest routing epoch of the entries that may
	// dispatch.
	Acknowledged uint64
	// UncheckedAfter is the time from which servers that ignore fencing
	// numbers may be ordered.
	UncheckedAfter time.Time
}

// Order is a load order for a server.
type Order struct {
	Server string
	URL    string
	backend.LoadOrder
}

// Plan is what is to be done now. Its marks are committed before its orders
// are sent.
type Plan struct {
	Upserts []*controlv1.ServerRoute
	Removes []string
	// Route is set if the deployment's route changes.
	Route *controlv1.DeploymentRoute
	// Orders may be sent once the marks are committed, but those of loads that
	// control refused.
	Orders []Order
	// Probes names servers to send a test run to.
	Probes []string
	Drains []*controlv1.DrainProgress
	// RollBack is the weight version to declare again, empty if none.
	RollBack string
	// Busy is true while something is awaited.
	Busy bool
}

// target is what a server is to be brought to.
type target struct {
	version  string
	adapters []string
	role     string
}

// planner works out one plan.
type planner struct {
	World
	plan Plan
	// marks are the marks as they will stand; a nil mark was removed.
	marks    map[string]*controlv1.ServerRoute
	version  string
	roles    map[string]string
	serving  []string
	required int
	// routable is the number of servers that new requests may use.
	routable int
	pending  int
	loads    int
}

// MakePlan compares declared and observed state.
func MakePlan(w World) Plan {
	p := &planner{World: w, marks: make(map[string]*controlv1.ServerRoute, len(w.Marks)), loads: w.Loads}
	for name, m := range w.Marks {
		p.marks[name] = m
	}
	p.version = targetVersion(w.Deployment, w.Route)
	p.serving = slices.Clone(w.Route.GetServingVersions())
	if len(p.serving) == 0 {
		p.serving = []string{w.Deployment.WeightVersion} // what entries route by without a route
	}
	p.roles = assignRoles(w.Deployment.Roles, w.Servers)
	p.required = required(w.Deployment.MinServing, w.Deployment.Servers, len(w.Servers))
	p.count()
	for i := range p.Servers {
		p.step(&p.Servers[i])
	}
	p.forgetGone()
	p.holdMore()
	p.halt()
	p.setRoute()
	p.drainProgress()
	p.plan.Busy = p.plan.Busy || p.pending > 0
	return p.plan
}

// targetVersion is the declared version, or the one served before it if a swap
// to it was stopped.
func targetVersion(d *config.Deployment, r *controlv1.DeploymentRoute) string {
	if r.GetHaltedVersion() != d.WeightVersion || len(r.GetServingVersions()) == 0 {
		return d.WeightVersion
	}
	return r.ServingVersions[0]
}

// required is the number of servers to keep serving: a share of the declared
// ones, or of the announced ones if these are fewer. It leaves one free unless
// the share is whole, since nothing could ever change otherwise.
func required(share float64, declared, announced int) int {
	n := int(math.Ceil(share * float64(min(declared, announced))))
	if share < 1 && n >= announced {
		n = announced - 1
	}
	return max(0, n)
}

// assignRoles keeps each server in its role while the role wants it.
func assignRoles(roles []config.ServerRole, servers []Server) map[string]string {
	out := make(map[string]string)
	left := make(map[string]int)
	for _, r := range roles {
		left[r.Name] = r.Servers
	}
	for _, s := range servers {
		if left[s.Role] > 0 {
			left[s.Role]--
			out[s.Server] = s.Role
		}
	}
	for _, s := range servers {
		if _, ok := out[s.Server]; ok {
			continue
		}
		for _, r := range roles {
			if left[r.Name] > 0 {
				left[r.Name]--
				out[s.Server] = r.Name
				break
			}
		}
	}
	return out
}

func (p *planner) target(s *Server) target {
	return target{version: p.version, adapters: p.Deployment.Adapters, role: p.roles[s.Server]}
}

// orderID is the same for the same intent at every steward: only a failure of
// the order before it, or a restart of the server, makes another one.
func orderID(s *Server, deployment string, t target, failures uint32) string {
	digest := xxhash.Sum64String(strings.Join(t.adapters, "\x00"))
	return fmt.Sprintf("%s/%d/%s/%s/%s/%x/%d", s.Server, s.Incarnation, deployment, t.version, t.role, digest, failures)
}

// versionOf is the version a server runs new requests on as far as is known.
func (p *planner) versionOf(s *Server) string {
	m := p.marks[s.Server]
	if m != nil && m.State == stateServing && m.Incarnation == s.Incarnation {
		return m.WeightVersion
	}
	return s.WeightVersion
}

func (p *planner) isRoutable(s *Server) bool {
	m := p.marks[s.Server]
	if m != nil && m.State != stateServing {
		return false
	}
	return slices.Contains(p.serving, p.versionOf(s))
}

func (p *planner) count() {
	p.routable, p.pending = 0, 0
	for i := range p.Servers {
		if p.isRoutable(&p.Servers[i]) {
			p.routable++
		}
	}
	for _, m := range p.marks {
		if m != nil && (m.State == stateHeld || m.State == stateLoading || m.State == stateProbing) {
			p.pending++
		}
	}
}

// needs says why a server must be ordered, or "".
func (p *planner) needs(s *Server) string {
	t := p.target(s)
	version, adapters, role := p.versionOf(s), s.Adapters, s.Role
	if m := p.marks[s.Server]; m != nil && m.State == stateServing {
		adapters, role = t.adapters, t.role // announcements may be older than the order
	}
	if s.State != nil && !s.State.Loading && s.State.Incarnation == s.Incarnation {
		version, adapters, role = s.State.WeightVersion, s.State.Adapters, s.State.Role
	}
	switch {
	case version != t.version:
		return fmt.Sprintf("weight version %q instead of %q", version, t.version)
	case !slices.Equal(sorted(adapters), sorted(t.adapters)):
		return "adapters differ from the declared ones"
	case t.role != "" && role != t.role:
		return fmt.Sprintf("role %q instead of %q", role, t.role)
	}
	return ""
}

func sorted(list []string) []string { return slices.Sorted(slices.Values(list)) }

// set puts a changed mark into the plan.
func (p *planner) set(s *Server, m *controlv1.ServerRoute) {
	m.Server, m.Deployment, m.Incarnation = s.Server, p.Deployment.Name, s.Incarnation
	p.plan.Upserts = append(p.plan.Upserts, m)
	p.marks[s.Server] = m
	p.count()
}

func (p *planner) remove(server string) {
	p.plan.Removes = append(p.plan.Removes, server)
	delete(p.marks, server)
	p.count()
}

func (p *planner) since(m *controlv1.ServerRoute) time.Duration {
	return p.Now.Sub(time.UnixMilli(m.SinceUnixMs))
}
