// Package weights brings backend servers to the weight versions that operators
// ask for. One control instance, the leader, gives the orders; the plan is pure
// and the runner keeps the rules of who may order when.
package weights

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/galenaarch/galenaarch/placement"
)

// Times of a swap.
const (
	// orderPatience is how long an order may show no effect before it is given
	// again: its answer, or the order itself, may be lost.
	orderPatience = 1200 * time.Millisecond
	// refusalPause follows an order that a server refused.
	refusalPause = 300 * time.Millisecond
	// reportEvery is the pause between two looks at a server that swaps, and
	// firstReport the time after an order in which no load is done.
	reportEvery = 100 * time.Millisecond
	firstReport = 500 * time.Millisecond
	// swapTime is about what one server takes before any has shown it: half of it is
	// waiting for runs to finish. swapMargin is kept of the time in which all must
	// have changed, for orders that are lost and servers that are slow.
	swapTime   = 1400 * time.Millisecond
	swapMargin = 1500 * time.Millisecond
	leastSwaps = 2
	// swapLearn is the weight of the newest swap in what one takes.
	swapLearn = 0.5
	// slowSwap is how many times as long as expected swaps must take for the ones
	// that are left to be crowded together.
	slowSwap = 1.25
	// mostSwaps is the largest part of a service's servers that change at once.
	mostSwaps = 0.5
)

// Server is what is known of an engine.
type Server struct {
	ID, Address, Service string
	Born                 int64
	// Versions holds its weight version by model.
	Versions map[string]uint64
}

// Report is an engine's own word on its state.
type Report struct {
	// Leaving says that the engine gets no new requests any more.
	Leaving  bool
	Versions map[string]uint64
	// Busy says that it carries an order out.
	Busy bool
	// Sequence is the number of orders that it has accepted in this life.
	Sequence uint64
}

// Step is what is to be done with a server next.
type Step int

// Steps of a swap.
const (
	StepNone Step = iota
	// StepLook: ask the server for its state.
	StepLook
	// StepOrder: order it to load the version, expecting the sequence.
	StepOrder
)

// Task is a step at a server.
type Task struct {
	Step     Step
	Server   Server
	Model    string
	Version  uint64
	Expected uint64
}

// progress is the swap of one server.
type progress struct {
	server   Server
	report   *Report
	looked   time.Time
	ordered  time.Time
	notUntil time.Time
	// first is when the first order was accepted.
	first time.Time
}

// Plan decides the next steps of all swaps. It has no clock and is not safe for
// concurrent use.
type Plan struct {
	within time.Duration
	swaps  map[string]*progress
	// took is what a swap takes lately, since when servers of each service have
	// been behind.
	took  time.Duration
	since map[string]time.Time
}

// NewPlan returns a plan without swaps that is to have all servers changed
// within a time.
func NewPlan(within time.Duration) *Plan {
	return &Plan{within: within, swaps: make(map[string]*progress), took: swapTime, since: make(map[string]time.Time)}
}

// lacking returns a model for which a server is behind what is wanted.
func lacking(versions, wanted map[string]uint64) (model string, version uint64) {
	models := make([]string, 0, len(versions))
	for m := range versions {
		models = append(models, m)
	}
	slices.Sort(models)
	for _, m := range models {
		if wanted[m] > versions[m] {
			return m, wanted[m]
		}
	}
	return "", 0
}

// Next lists the steps that are due. Servers that left are forgotten.
func (p *Plan) Next(servers []Server, wanted map[string]uint64, now time.Time) []Task {
	present := make(map[string]bool, len(servers))
	counts, behind := make(map[string]int), make(map[string]int)
	for _, s := range servers {
		present[s.ID] = true
		counts[s.Service]++
		if m, _ := lacking(s.Versions, wanted); m != "" {
			behind[s.Service]++
		}
	}
	p.note(behind, now)
	active := make(map[string]int)
	for id, sw := range p.swaps {
		if !present[id] {
			delete(p.swaps, id)
			continue
		}
		active[sw.server.Service]++
	}
	servers = inTurn(servers)
	var tasks []Task
	for _, s := range servers {
		sw := p.swaps[s.ID]
		if sw != nil && sw.server.Born != s.Born {
			sw = nil // another life: nothing that was ordered holds
		}
		if sw == nil {
			if m, _ := lacking(s.Versions, wanted); m == "" || active[s.Service] >= p.limit(s.Service, counts[s.Service], behind[s.Service], now) {
				continue
			}
			active[s.Service]++
			sw = &progress{}
			p.swaps[s.ID] = sw
		}
		sw.server = s
		if t := sw.next(wanted, now); t.Step != StepNone {
			tasks = append(tasks, t)
		}
	}
	return tasks
}

// inTurn orders servers so that those of the two groups of placement change side
// by side: neither group is to lose several at once.
func inTurn(servers []Server) []Server {
	sorted := slices.Clone(servers)
	slices.SortFunc(sorted, func(a, b Server) int {
		return cmp.Compare(groupRank(b.ID), groupRank(a.ID))
	})
	turns := make([]Server, 0, len(sorted))
	for i, j := 0, len(sorted)-1; i <= j; i, j = i+1, j-1 {
		turns = append(turns, sorted[i])
		if i < j {
			turns = append(turns, sorted[j])
		}
	}
	return turns
}

// note keeps since when servers of each service are behind.
func (p *Plan) note(behind map[string]int, now time.Time) {
	for service := range p.since {
		if behind[service] == 0 {
			delete(p.since, service)
		}
	}
	for service := range behind {
		if _, ok := p.since[service]; !ok {
			p.since[service] = now
		}
	}
}

// limit is how many of a service's servers change at once: as few as will do in
// the time that is left, since the others carry the load meanwhile and have to read
// every context again. It answers a load under which swaps take longer, since each
// waits for the server's runs to finish.
func (p *Plan) limit(service string, servers, behind int, now time.Time) int {
	took := float64(max(p.took, p.underWay(service, now)))
	planned := max(leastSwaps, int(math.Ceil(float64(servers)/max(1, float64(p.within-swapMargin)/took))))
	if took > slowSwap*float64(swapTime) {
		// Those behind now, in the rounds that still begin and end in time.
		left := float64(p.since[service].Add(p.within).Sub(now))
		rounds := 1 + math.Floor(max(0, left-took)/took)
		planned = max(planned, int(math.Ceil(float64(behind)/rounds)))
	}
	return min(max(leastSwaps, int(mostSwaps*float64(servers))), planned)
}

// underWay is how long the swaps of a service that are under way have taken so far,
// in the middle: one server that is stuck says nothing of the others.
func (p *Plan) underWay(service string, now time.Time) time.Duration {
	var ages []time.Duration
	for _, sw := range p.swaps {
		if sw.server.Service == service && !sw.first.IsZero() {
			ages = append(ages, now.Sub(sw.first))
		}
	}
	if len(ages) == 0 {
		return 0
	}
	slices.Sort(ages)
	return ages[len(ages)/2]
}

// next is the step that is due at one server.
func (sw *progress) next(wanted map[string]uint64, now time.Time) Task {
	t := Task{Server: sw.server}
	if now.Before(sw.notUntil) {
		return t
	}
	if !sw.ordered.IsZero() && now.Sub(sw.ordered) < firstReport {
		return t
	}
	if sw.report == nil || now.Sub(sw.looked) >= reportEvery {
		t.Step = StepLook
		return t
	}
	if sw.report.Busy || (!sw.ordered.IsZero() && now.Sub(sw.ordered) < orderPatience) {
		return t
	}
	// Only a look that began after the last order may lead to another one.
	if t.Model, t.Version = lacking(sw.report.Versions, wanted); t.Model != "" && sw.looked.After(sw.ordered) {
		t.Step, t.Expected = StepOrder, sw.report.Sequence
	}
	return t
}

// Looked takes a server's report on a look that began at a time. It returns
// true when the server has all that is wanted.
func (p *Plan) Looked(id string, r *Report, wanted map[string]uint64, began time.Time) bool {
	sw := p.swaps[id]
	if sw == nil {
		return false
	}
	sw.report, sw.looked = r, began
	if m, _ := lacking(r.Versions, wanted); m == "" && !r.Busy {
		if !sw.first.IsZero() {
			p.took += time.Duration(swapLearn * float64(began.Sub(sw.first)-p.took))
		}
		delete(p.swaps, id)
		return true
	}
	return false
}

// Due is the step that is due at a server now.
func (p *Plan) Due(id string, wanted map[string]uint64, now time.Time) Task {
	sw := p.swaps[id]
	if sw == nil {
		return Task{}
	}
	return sw.next(wanted, now)
}

// Ordered notes that an order was sent; accepted is false if the server refused
// it.
func (p *Plan) Ordered(id string, accepted bool, now time.Time) {
	sw := p.swaps[id]
	if sw == nil {
		return
	}
	if accepted {
		sw.ordered = now
		if sw.first.IsZero() {
			sw.first = now
		}
		return
	}
	sw.report, sw.notUntil = nil, now.Add(refusalPause)
}

// Failed notes a server that could not be reached.
func (p *Plan) Failed(id string, now time.Time) {
	if sw := p.swaps[id]; sw != nil {
		sw.report, sw.notUntil = nil, now.Add(refusalPause)
	}
}

// Release gives up the place of a server that cannot be reached, so that others
// may swap meanwhile.
func (p *Plan) Release(id string) { delete(p.swaps, id) }

// groupRank is the order of servers by their group of placement.
func groupRank(server string) uint64 { return placement.GroupRank(server) }
