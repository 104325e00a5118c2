package entry

import (
	"slices"
	"time"

	"github.com/galenaarch/galenaarch/config/routes"
	"github.com/galenaarch/galenaarch/fleet"
	"github.com/galenaarch/galenaarch/kvcache"
	"github.com/galenaarch/galenaarch/routing"
)

// groupKey identifies the backend servers that can run the same prompts.
type groupKey struct{ deployment, weightVersion string }

// eligibility indexes the backend servers that accept new runs in one routing
// epoch and one fleet snapshot. It is immutable and replaced as a whole, so
// that a routing decision need not inspect every server.
type eligibility struct {
	view   *routes.View
	all    []*fleet.Server
	groups map[groupKey]*serverGroup
}

// serverGroup holds the servers of one deployment and weight version. The slice
// must not be modified.
type serverGroup struct {
	servers     []*fleet.Server
	byCacheView map[*kvcache.CacheView]*fleet.Server
}

// eligible returns the eligibility of a routing epoch, recomputing it if the
// epoch or the fleet has changed.
func (e *Entry) eligible(view *routes.View) *eligibility {
	all := e.fleet.All()
	if cached := e.cachedEligibility.Load(); cached != nil && cached.view == view && sameSlice(cached.all, all) {
		return cached
	}
	next := newEligibility(view, all)
	e.cachedEligibility.Store(next)
	return next
}

// sameSlice reports whether two slices share the same elements. The fleet
// allocates a new slice on every change, so comparing addresses suffices.
func sameSlice(a, b []*fleet.Server) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func newEligibility(view *routes.View, all []*fleet.Server) *eligibility {
	el := &eligibility{view: view, all: all, groups: make(map[groupKey]*serverGroup)}
	for _, s := range all {
		version, ok := view.WeightVersion(&s.Announcement)
		if !ok || s.Deployment == "" {
			continue
		}
		key := groupKey{s.Deployment, version}
		g := el.groups[key]
		if g == nil {
			g = &serverGroup{byCacheView: make(map[*kvcache.CacheView]*fleet.Server)}
			el.groups[key] = g
		}
		g.servers = append(g.servers, s)
		g.byCacheView[s.Cache] = s
	}
	return el
}

// servers returns the eligible servers of a deployment and weight version.
func (el *eligibility) servers(deployment, version string) []*fleet.Server {
	if g := el.groups[groupKey{deployment, version}]; g != nil {
		return g.servers
	}
	return nil
}

// excludeTried returns the servers that are not named in tried.
func excludeTried(servers []*fleet.Server, tried []string) []*fleet.Server {
	if len(tried) == 0 {
		return servers
	}
	return slices.DeleteFunc(slices.Clone(servers), func(s *fleet.Server) bool { return slices.Contains(tried, s.Server) })
}

// cacheHolders finds the eligible servers that have a prompt's blocks cached.
type cacheHolders struct {
	*fleet.Table
	group *serverGroup
	now   time.Time
}

// Interface guard.
var _ routing.PrefixFinder = cacheHolders{}

// ServerForView returns the server with the given cache view if it is eligible and not
// ejected. Invariant: a server that the control plane excludes from routing is
// never a candidate, however much of the prompt it has cached.
func (h cacheHolders) ServerForView(v *kvcache.CacheView) *fleet.Server {
	s := h.group.byCacheView[v]
	if s == nil || !s.Health.Usable(h.now) {
		return nil
	}
	return s
}
