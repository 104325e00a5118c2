// Package weights performs rolling updates of backend servers to the weight
// versions that operators request. Only the leader of the control group sends
// load orders. Plan is a pure state machine; Runner performs the calls and
// ensures that only the current leader sends orders.
package weights

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/placement"
)

// Delays and limits of a rollout.
const (
	// orderRetryDelay is how long an order may show no effect before it is sent
	// again: the order or its response may have been lost.
	orderRetryDelay = 1200 * time.Millisecond
	// refusalBackoff is the wait after a server refused an order or could not
	// be reached.
	refusalBackoff = 300 * time.Millisecond
	// pollInterval is the time between two polls of a server that reloads.
	// firstPollDelay is the wait before the first poll after an order, since no
	// reload finishes earlier.
	pollInterval   = 100 * time.Millisecond
	firstPollDelay = 500 * time.Millisecond
	// initialReloadEstimate is the expected duration of one reload until one
	// has been measured; about half of it is waiting for running requests to
	// finish. rolloutMargin is the part of the rollout limit that is reserved
	// for lost orders and slow servers.
	initialReloadEstimate = 1400 * time.Millisecond
	rolloutMargin         = 1500 * time.Millisecond
	minConcurrentReloads  = 2
	// reloadEWMAWeight is the weight of the newest sample in the moving average
	// of reload durations.
	reloadEWMAWeight = 0.5
	// maxConcurrentShare is the largest share of a service's servers that
	// reload at the same time.
	maxConcurrentShare = 0.5
	// maxConsecutiveFailures is the number of failed calls in a row after which
	// a server's reload slot is given to another server.
	maxConsecutiveFailures = 3
	// deadlineMargin is the part of a version's time limit within which no reload is planned to end.
	deadlineMargin = 500 * time.Millisecond
)

// Server is the known state of a backend server that runs models.
type Server struct {
	ID, Address, Service string
	StartUnixMs          int64
	// Versions maps each model to the weight version that the server runs.
	Versions map[string]uint64
}

// incarnation identifies one start of a backend server. A server that restarts keeps
// its ID, but nothing that was ordered from, or said by, its former incarnation
// applies to it.
type incarnation struct {
	id          string
	startUnixMs int64
}

func (s Server) incarnation() incarnation {
	return incarnation{id: s.ID, startUnixMs: s.StartUnixMs}
}

// Report is the state that a backend server reports about itself.
type Report struct {
	dispatch.Directives
	Versions map[string]uint64
	// Busy is true while the server executes an order.
	Busy bool
	// Sequence is the number of orders that the server has accepted since it
	// started.
	Sequence uint64
}

// Step is the next action for a server.
type Step int

// Steps of a reload.
const (
	StepNone Step = iota
	// StepPoll requests the server's state.
	StepPoll
	// StepSendOrder sends an order to load the version, conditional on the expected
	// sequence.
	StepSendOrder
)

// Task is a step to perform on one server.
type Task struct {
	Step             Step
	Server           Server
	Model            string
	Version          uint64
	ExpectedSequence uint64
}

// serverReload is the state of the reload of one incarnation of a server.
type serverReload struct {
	server    Server
	report    *Report
	polledAt  time.Time
	orderedAt time.Time
	notBefore time.Time
	// ordered is the last order that was due, startedAt when the server accepted the first one since its last
	// change of weights.
	ordered   Task
	startedAt time.Time
	// failures is the number of failed calls in a row.
	failures int
}

// Plan decides which servers reload and when. It reads no clock and is not safe
// for concurrent use.
//
// Each requested version has its own time limit. A server is due at the end of the limit of the first version above
// the one that it runs; those that are due first reload first.
type Plan struct {
	rolloutLimit time.Duration
	reloads      map[incarnation]*serverReload
	// reloadEstimate is the moving average of reload durations.
	reloadEstimate time.Duration
	// targets are the requested versions by model, with when each was named.
	targets map[string]dispatch.WeightTargets
	// waiting is when the first server of each service that waits for a reload is due.
	waiting map[string]time.Time
}

// NewPlan returns an empty plan that aims to update all servers within
// rolloutLimit.
func NewPlan(rolloutLimit time.Duration) *Plan {
	return &Plan{rolloutLimit: rolloutLimit, reloads: make(map[incarnation]*serverReload), reloadEstimate: initialReloadEstimate, targets: make(map[string]dispatch.WeightTargets), waiting: make(map[string]time.Time)}
}

// outdatedModel returns the first model, in name order, whose version on a
// server is lower than the requested one, and the requested version.
func outdatedModel(versions, requested map[string]uint64) (model string, version uint64) {
	models := make([]string, 0, len(versions))
	for m := range versions {
		models = append(models, m)
	}
	slices.Sort(models)
	for _, m := range models {
		if requested[m] > versions[m] {
			return m, requested[m]
		}
	}
	return "", 0
}

// SetTargets sets when the requested versions of a model, and those before, were named.
func (p *Plan) SetTargets(model string, targets dispatch.WeightTargets) { p.targets[model] = targets }

// noteRequested records the requested versions that SetTargets was not called for as named now.
func (p *Plan) noteRequested(requested map[string]uint64, now time.Time) {
	for model, version := range requested {
		p.targets[model] = p.targets[model].With(version, now)
	}
}

// dueAt returns when a server with some versions is due; ok is false if none is outdated.
func (p *Plan) dueAt(versions map[string]uint64) (at time.Time, ok bool) {
	for model, version := range versions {
		if t, outdated := p.targets[model].After(version); outdated {
			if end := t.Since.Add(p.rolloutLimit); !ok || end.Before(at) {
				at, ok = end, true
			}
		}
	}
	return at, ok
}

// waitingServer is a server that is to reload, and when it is due.
type waitingServer struct {
	Server
	dueAt time.Time
}

// DueTasks returns the tasks that are due. It discards the reloads of servers that
// are no longer present or have restarted: these free their slots at once.
func (p *Plan) DueTasks(servers []Server, requested map[string]uint64, now time.Time) []Task {
	p.noteRequested(requested, now)
	present := make(map[incarnation]bool, len(servers))
	serverCounts, active := make(map[string]int), make(map[string]int)
	for _, s := range servers {
		present[s.incarnation()] = true
		serverCounts[s.Service]++
	}
	for key, reload := range p.reloads {
		if !present[key] {
			delete(p.reloads, key)
			continue
		}
		active[reload.server.Service]++
	}
	servers = interleaveGroups(servers)
	var tasks []Task
	waiting := make(map[string][]waitingServer)
	for _, s := range servers {
		if reload := p.reloads[s.incarnation()]; reload != nil {
			reload.server = s
			if t := reload.nextTask(requested, now); t.Step != StepNone {
				tasks = append(tasks, t)
			}
		} else if dueAt, outdated := p.dueAt(s.Versions); outdated {
			waiting[s.Service] = append(waiting[s.Service], waitingServer{s, dueAt})
		}
	}
	clear(p.waiting)
	for service, list := range waiting {
		// Servers that are due at the same time keep their order.
		slices.SortStableFunc(list, func(a, b waitingServer) int { return a.dueAt.Compare(b.dueAt) })
		begin := min(len(list), max(0, p.concurrencyLimit(service, serverCounts[service], list, now)-active[service]))
		for _, s := range list[:begin] {
			reload := &serverReload{server: s.Server}
			p.reloads[s.incarnation()] = reload
			if t := reload.nextTask(requested, now); t.Step != StepNone {
				tasks = append(tasks, t)
			}
		}
		if begin < len(list) {
			p.waiting[service] = list[begin].dueAt
		}
	}
	return tasks
}

// interleaveGroups orders servers so that the two placement groups take turns.
// Otherwise one group could lose several servers at once.
func interleaveGroups(servers []Server) []Server {
	sorted := slices.Clone(servers)
	slices.SortFunc(sorted, func(a, b Server) int {
		return cmp.Compare(groupRank(b.ID), groupRank(a.ID))
	})
	interleaved := make([]Server, 0, len(sorted))
	for i, j := 0, len(sorted)-1; i <= j; i, j = i+1, j-1 {
		interleaved = append(interleaved, sorted[i])
		if i < j {
			interleaved = append(interleaved, sorted[j])
		}
	}
	return interleaved
}

// concurrencyLimit returns how many servers of a service may reload at the same
// time. It is the lowest number that meets the time limits, because the
// remaining servers carry the load meanwhile and must prefill every context
// again. The limit rises when reloads take longer than expected, as under load:
// each server waits for its running requests to finish.
func (p *Plan) concurrencyLimit(service string, servers int, waiting []waitingServer, now time.Time) int {
	estimate := max(p.reloadEstimate, p.medianActiveReload(service, now))
	limit := max(minConcurrentReloads, int(math.Ceil(float64(servers)/max(1, float64(p.rolloutLimit-rolloutMargin)/float64(estimate)))))
	most := max(minConcurrentReloads, int(maxConcurrentShare*float64(servers)))
	free := p.activeReloadEnds(service, estimate, now)
	if limit >= most {
		return most
	}
	// With more slots no server begins later.
	return limit + sort.Search(most-limit, func(more int) bool { return meetsLimits(limit+more, free, waiting, estimate, now) })
}

// activeReloadEnds returns when the reloads in progress for a service are expected to end, in order.
func (p *Plan) activeReloadEnds(service string, estimate time.Duration, now time.Time) (ends []time.Time) {
	for _, reload := range p.reloads {
		if reload.server.Service != service {
			continue
		}
		end := now.Add(estimate)
		if !reload.startedAt.IsZero() {
			end = reload.startedAt.Add(estimate)
		}
		if end.Before(now) {
			end = now
		}
		ends = append(ends, end)
	}
	slices.SortFunc(ends, time.Time.Compare)
	return ends
}

// meetsLimits reports whether all waiting servers, in the order in which they are due, are in time if so many reload at
// once. active is when the reloads in progress end. Servers that cannot be in time any more are to reload now.
func meetsLimits(slots int, active []time.Time, waiting []waitingServer, estimate time.Duration, now time.Time) bool {
	ends := make([]time.Time, 0, slots+len(waiting))
	ends = append(ends, active...)
	for len(ends) < slots {
		ends = append(ends, now)
	}
	slices.SortFunc(ends, time.Time.Compare)
	// Reloads take equally long, so that they end in the order in which they begin: a slot becomes free at the next end.
	ends = ends[max(0, len(ends)-slots):]
	for i, s := range waiting {
		latestStart := s.dueAt.Add(-deadlineMargin - estimate)
		if latestStart.Before(now) {
			latestStart = now
		}
		if ends[i].After(latestStart) {
			return false
		}
		ends = append(ends, ends[i].Add(estimate))
	}
	return true
}

// medianActiveReload returns the median age of the reloads in progress for a
// service. A median is used so that one stuck server does not raise the
// estimate.
func (p *Plan) medianActiveReload(service string, now time.Time) time.Duration {
	var ages []time.Duration
	for _, reload := range p.reloads {
		if reload.server.Service == service && !reload.startedAt.IsZero() {
			ages = append(ages, now.Sub(reload.startedAt))
		}
	}
	if len(ages) == 0 {
		return 0
	}
	slices.Sort(ages)
	return ages[len(ages)/2]
}

// nextTask returns the task that is due for this server.
func (r *serverReload) nextTask(requested map[string]uint64, now time.Time) Task {
	t := Task{Server: r.server}
	if now.Before(r.notBefore) {
		return t
	}
	if !r.orderedAt.IsZero() && now.Sub(r.orderedAt) < firstPollDelay {
		return t
	}
	if r.report == nil || now.Sub(r.polledAt) >= pollInterval {
		t.Step = StepPoll
		return t
	}
	if r.report.Busy || (!r.orderedAt.IsZero() && now.Sub(r.orderedAt) < orderRetryDelay) {
		return t
	}
	// Another order requires a poll that started after the last order.
	if t.Model, t.Version = outdatedModel(r.report.Versions, requested); t.Model != "" && r.polledAt.After(r.orderedAt) {
		t.Step, t.ExpectedSequence = StepSendOrder, r.report.Sequence
		r.ordered = t
	}
	return t
}

// RecordReport records a server's report from a poll that started at polledAt. It
// returns true if the reload is complete: the server runs all requested
// versions and is idle.
func (p *Plan) RecordReport(s Server, report *Report, requested map[string]uint64, polledAt time.Time) bool {
	reload := p.reloads[s.incarnation()]
	if reload == nil {
		return false
	}
	reload.report, reload.polledAt, reload.failures = report, polledAt, 0
	if m, _ := outdatedModel(report.Versions, requested); m == "" && !report.Busy {
		p.recordDuration(reload, polledAt)
		delete(p.reloads, s.incarnation())
		return true
	}
	// A newer version was named during the order: the server may not be the one that is due first any more.
	if dueAt, outdated := p.dueAt(report.Versions); outdated && !report.Busy && reload.loaded(report) {
		p.recordDuration(reload, polledAt)
		if next, waits := p.waiting[s.Service]; waits && next.Before(dueAt) {
			delete(p.reloads, s.incarnation())
		}
	}
	return false
}

// recordDuration takes the duration of a server's order, which is complete, into the estimate.
func (p *Plan) recordDuration(reload *serverReload, endedAt time.Time) {
	if !reload.startedAt.IsZero() {
		p.reloadEstimate += time.Duration(reloadEWMAWeight * float64(endedAt.Sub(reload.startedAt)-p.reloadEstimate))
	}
	reload.startedAt = time.Time{}
}

// loaded reports whether the server runs the version of its last order.
func (r *serverReload) loaded(report *Report) bool {
	return r.ordered.Version > 0 && report.Versions[r.ordered.Model] >= r.ordered.Version
}

// DueTask returns the task that is due for one server now.
func (p *Plan) DueTask(s Server, requested map[string]uint64, now time.Time) Task {
	reload := p.reloads[s.incarnation()]
	if reload == nil {
		return Task{}
	}
	return reload.nextTask(requested, now)
}

// RecordOrder records that an order was sent to a server. accepted is false if the
// server refused it.
func (p *Plan) RecordOrder(s Server, accepted bool, now time.Time) {
	reload := p.reloads[s.incarnation()]
	if reload == nil {
		return
	}
	if accepted {
		reload.orderedAt = now
		if reload.startedAt.IsZero() {
			reload.startedAt = now
		}
		return
	}
	reload.report, reload.notBefore = nil, now.Add(refusalBackoff)
}

// RecordFailure records that a server could not be reached. After
// maxConsecutiveFailures it drops the reload, so that another server can use its slot.
func (p *Plan) RecordFailure(s Server, now time.Time) {
	reload := p.reloads[s.incarnation()]
	if reload == nil {
		return
	}
	reload.report, reload.notBefore = nil, now.Add(refusalBackoff)
	reload.failures++
	if reload.failures >= maxConsecutiveFailures {
		delete(p.reloads, s.incarnation())
	}
}

// groupRank returns the position of a server in the order of placement groups.
func groupRank(server string) uint64 { return placement.GroupRank(server) }
