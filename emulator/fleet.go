package emulator

import (
	"fmt"
	"slices"
	"time"

	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/placement"
)

// Fleet describes how entry instances and engines are spread over failure domains, and
// how late the instances learn what others have sent. Without it, all are in one domain
// and know at once.
type Fleet struct {
	// Domains is the number of failure domains; instances and servers are dealt out in
	// turn.
	Domains int `json:"domains"`
	// DomainUpdateMS is the time between the updates of an instance on its own load to
	// the others of its domain, FarUpdateMS that to other domains.
	DomainUpdateMS float64 `json:"domain_update_ms"`
	FarUpdateMS    float64 `json:"far_update_ms"`
}

// domainUpdate is what the instances of a domain have told.
type domainUpdate struct {
	load told
	mix  placement.MixWork
}

// replace replaces what one instance has told by what it knows now.
func (w *domainUpdate) replace(own *domainUpdate, e *entryInstance, engines []*server, now time.Duration) {
	w.load.replace(own.load, e, engines)
	mix := e.promptMix.Work(toTime(now))
	w.mix = w.mix.Plus(placement.MixWork{Short: mix.Short - own.mix.Short, Long: mix.Long - own.mix.Long})
	own.mix = mix
}

// told is what instances have told of their load at the engines, by engine.
type told []dispatch.Load

// replace replaces what one instance has told by its current load.
func (t told) replace(own told, e *entryInstance, engines []*server) {
	for i, s := range engines {
		load := e.states[s].OwnLoad()
		t[i] = addLoad(t[i], own[i], -1)
		t[i], own[i] = addLoad(t[i], load, 1), load
	}
}

// addLoad returns sum plus sign times l.
func addLoad(sum, l dispatch.Load, sign int) dispatch.Load {
	sum.Requests += sign * l.Requests
	sum.PrefillTokens += sign * l.PrefillTokens
	sum.DeferredTokens += sign * l.DeferredTokens
	sum.MemoryTokens += sign * l.MemoryTokens
	return sum
}

// fleetMember is an entry instance's place in the fleet.
type fleetMember struct {
	domain int
	// cell are the engines that the instance prefers; nil for all.
	cell map[string]bool
	// toldDomain and toldFar are what it has last told its domain and the others.
	toldDomain, toldFar domainUpdate
}

// domainName returns the name of the failure domain of the instance or server with an
// index; empty without a fleet.
func (p *Pattern) domainName(index int) string {
	if p.Fleet.Domains == 0 {
		return ""
	}
	return fmt.Sprint("domain-", index%p.Fleet.Domains)
}

// buildFleet places the instances in domains and cells and schedules their updates.
func (r *simulation) buildFleet() {
	f := r.pattern.Fleet
	if f.Domains == 0 {
		return
	}
	var instances, servers []placement.Member
	for i := range r.entries {
		instances = append(instances, placement.Member{ID: entryName(i), Zone: r.pattern.domainName(i)})
	}
	for i, s := range r.engines {
		servers = append(servers, placement.Member{ID: s.id, Zone: r.pattern.domainName(i)})
	}
	r.toldDomain, r.toldFar = make([]domainUpdate, f.Domains), make([]domainUpdate, f.Domains)
	for d := range f.Domains {
		r.toldDomain[d].load, r.toldFar[d].load = make(told, len(r.engines)), make(told, len(r.engines))
	}
	r.groupPositions = placement.GroupPositions(len(r.engines), func(i int) string { return r.engines[i].id })
	for i, e := range r.entries {
		e.fleet = fleetMember{domain: i % f.Domains, toldDomain: domainUpdate{load: make(told, len(r.engines))}, toldFar: domainUpdate{load: make(told, len(r.engines))}, cell: placement.CellServers(entryName(i), instances, servers)}
		phase := float64(i) / float64(len(r.entries))
		r.scheduleUpdates(e, milliseconds(f.DomainUpdateMS), phase, &r.toldDomain[e.fleet.domain], &e.fleet.toldDomain)
		r.scheduleUpdates(e, milliseconds(f.FarUpdateMS), phase, &r.toldFar[e.fleet.domain], &e.fleet.toldFar)
	}
}

func entryName(index int) string { return fmt.Sprint("entry-", index) }

// scheduleUpdates schedules the updates of an instance until new requests end.
func (r *simulation) scheduleUpdates(e *entryInstance, every time.Duration, phase float64, sum, own *domainUpdate) {
	var update func()
	update = func() {
		sum.replace(own, e, r.engines, r.now)
		if r.now < seconds(r.pattern.Seconds) {
			r.schedule(r.now+every, update)
		}
	}
	r.schedule(time.Duration(phase*float64(every)), update)
}

// toldLoad returns what the other instances have told of their load at an engine.
func (r *simulation) toldLoad(e *entryInstance, s *server) dispatch.Load {
	sum := addLoad(r.toldDomain[e.fleet.domain].load[s.index], e.fleet.toldDomain.load[s.index], -1)
	for d := range r.toldFar {
		if d != e.fleet.domain {
			sum = addLoad(sum, r.toldFar[d].load[s.index], 1)
		}
	}
	return sum
}

// groupShare returns the share of all engines for short prompts, by the prompts of this
// instance and what others have told; 0 for no groups.
func (r *simulation) groupShare(e *entryInstance) float64 {
	if !r.policy.Mechanisms.Enabled(dispatch.LengthGroups) {
		return 0
	}
	own := e.fleet.toldDomain.mix
	mix := e.promptMix.Work(toTime(r.now)).Plus(placement.MixWork{Short: -own.Short, Long: -own.Long})
	for d := range r.toldFar {
		if d == e.fleet.domain {
			mix = mix.Plus(r.toldDomain[d].mix)
			continue
		}
		mix = mix.Plus(r.toldFar[d].mix)
	}
	return mix.ShortShare()
}

// fleetHomes reports whether prefixes have their homes among all engines.
func (r *simulation) fleetHomes(e *entryInstance) bool {
	p := r.policy.Mechanisms
	return e.fleet.cell != nil && len(e.fleet.cell) < len(r.engines) && p.Enabled(dispatch.FleetHomes) && p.Enabled(dispatch.PrefixHomes) && p.Enabled(dispatch.Cells)
}

// homesAmong returns the homes of a prefix as indices of servers.
func (r *simulation) homesAmong(prefix int, servers []*server, shortShare float64, long bool) (homes placement.Homes) {
	hash := placement.HomeHash(fmt.Sprint(prefix))
	for i, s := range servers {
		if placement.GroupAt(r.groupPositions[s.index], shortShare).Serves(long) {
			homes.Offer(i, placement.HomeRank(hash, s.homeHash))
		}
	}
	return homes
}

// nearServers returns the servers of an instance's cell, and before them the homes.
func (e *entryInstance) nearServers(servers []*server, homes []int) []*server {
	near := make([]*server, 0, len(e.fleet.cell)+len(homes))
	for _, i := range homes {
		near = append(near, servers[i])
	}
	for i, s := range servers {
		if e.fleet.cell[s.id] && !slices.Contains(homes, i) {
			near = append(near, s)
		}
	}
	return near
}

// booked books a prompt at its server and reports whether it is sent there. It is true for
// requests that are not booked.
func (r *simulation) booked(req *request, s *server, refusals int) bool {
	e, k := req.instance, &r.pattern.Kinds[req.kind]
	if s == nil || !k.isPrompt() || !r.fleetHomes(e) {
		return true
	}
	job := placement.Job{Long: k.PrefixTokens+k.SuffixTokens >= placement.LongPromptTokens, PrefillRate: e.prefillModel.Rate()}
	booking, wanted := r.policy.Mechanisms.NewBooking(&job, &req.decision, refusals)
	if !wanted {
		return true
	}
	ahead, booked := r.ledger.Book(s.id, booking.Work, booking.Limit, toTime(r.now))
	if booked {
		ahead += booking.Work
	}
	e.states[s].Booked(ahead, toTime(r.now))
	return booked
}
