// Package weights performs rolling updates of backend servers to the weight
// versions that operators request. Only the leader of the control group sends
// load orders. Plan is a pure state machine; Runner performs the calls and
// ensures that only the current leader sends orders.
package weights

import (
	"cmp"
	"math"
	"slices"
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
	// slowReloadFactor is the ratio of measured to expected reload duration
	// above which concurrency is raised so that the remaining servers finish
	// within the rollout limit.
	slowReloadFactor = 1.25
	// maxConcurrentShare is the largest share of a service's servers that
	// reload at the same time.
	maxConcurrentShare = 0.5
	// maxConsecutiveFailures is the number of failed calls in a row after which
	// a server's reload slot is given to another server.
	maxConsecutiveFailures = 3
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
	// startedAt is when the server accepted its first order.
	startedAt time.Time
	// failures is the number of failed calls in a row.
	failures int
}

// Plan decides which servers reload and when. It reads no clock and is not safe
// for concurrent use.
type Plan struct {
	rolloutLimit time.Duration
	reloads      map[incarnation]*serverReload
	// reloadEstimate is the moving average of reload durations. outdatedSince is
	// when each service first had a server on an outdated version.
	reloadEstimate time.Duration
	outdatedSince  map[string]time.Time
}

// NewPlan returns an empty plan that aims to update all servers within
// rolloutLimit.
func NewPlan(rolloutLimit time.Duration) *Plan {
	return &Plan{rolloutLimit: rolloutLimit, reloads: make(map[incarnation]*serverReload), reloadEstimate: initialReloadEstimate, outdatedSince: make(map[string]time.Time)}
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

// DueTasks returns the tasks that are due. It discards the reloads of servers that
// are no longer present or have restarted: these free their slots at once.
func (p *Plan) DueTasks(servers []Server, requested map[string]uint64, now time.Time) []Task {
	present := make(map[incarnation]bool, len(servers))
	serverCounts, outdatedCounts := make(map[string]int), make(map[string]int)
	for _, s := range servers {
		present[s.incarnation()] = true
		serverCounts[s.Service]++
		if m, _ := outdatedModel(s.Versions, requested); m != "" {
			outdatedCounts[s.Service]++
		}
	}
	p.trackOutdated(outdatedCounts, now)
	active := make(map[string]int)
	for key, reload := range p.reloads {
		if !present[key] {
			delete(p.reloads, key)
			continue
		}
		active[reload.server.Service]++
	}
	servers = interleaveGroups(servers)
	var tasks []Task
	for _, s := range servers {
		reload := p.reloads[s.incarnation()]
		if reload == nil {
			if m, _ := outdatedModel(s.Versions, requested); m == "" || active[s.Service] >= p.concurrencyLimit(s.Service, serverCounts[s.Service], outdatedCounts[s.Service], now) {
				continue
			}
			active[s.Service]++
			reload = &serverReload{}
			p.reloads[s.incarnation()] = reload
		}
		reload.server = s
		if t := reload.nextTask(requested, now); t.Step != StepNone {
			tasks = append(tasks, t)
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

// trackOutdated records since when each service has had outdated servers.
func (p *Plan) trackOutdated(outdated map[string]int, now time.Time) {
	for service := range p.outdatedSince {
		if outdated[service] == 0 {
			delete(p.outdatedSince, service)
		}
	}
	for service := range outdated {
		if _, ok := p.outdatedSince[service]; !ok {
			p.outdatedSince[service] = now
		}
	}
}

// concurrencyLimit returns how many servers of a service may reload at the same
// time. It is the lowest number that meets the rollout limit, because the
// remaining servers carry the load meanwhile and must prefill every context
// again. The limit rises when reloads take longer than expected, as under load:
// each server waits for its running requests to finish.
func (p *Plan) concurrencyLimit(service string, servers, outdated int, now time.Time) int {
	estimate := float64(max(p.reloadEstimate, p.medianActiveReload(service, now)))
	limit := max(minConcurrentReloads, int(math.Ceil(float64(servers)/max(1, float64(p.rolloutLimit-rolloutMargin)/estimate))))
	if estimate > slowReloadFactor*float64(initialReloadEstimate) {
		// Divides the outdated servers by the number of rounds that can still
		// start and finish in time.
		remaining := float64(p.outdatedSince[service].Add(p.rolloutLimit).Sub(now))
		rounds := 1 + math.Floor(max(0, remaining-estimate)/estimate)
		limit = max(limit, int(math.Ceil(float64(outdated)/rounds)))
	}
	return min(max(minConcurrentReloads, int(maxConcurrentShare*float64(servers))), limit)
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
		if !reload.startedAt.IsZero() {
			p.reloadEstimate += time.Duration(reloadEWMAWeight * float64(polledAt.Sub(reload.startedAt)-p.reloadEstimate))
		}
		delete(p.reloads, s.incarnation())
		return true
	}
	return false
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
