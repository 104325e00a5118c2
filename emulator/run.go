package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenaarch/galenaarch/admission"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/internal/priority"
	"github.com/galenaarch/galenaarch/placement"
)

// Policy is a routing policy: a scorer and the mechanisms that are combined with it.
type Policy struct {
	Name   string
	Scorer placement.Scorer
	// Mechanisms selects the active mechanisms; nil for all.
	Mechanisms *dispatch.Policy
}

// BaselinePolicy returns a policy for comparison. It avoids servers that are
// unresponsive or fail, but has no admission control: deferral, rejection, late binding,
// the backlog limit, the estimate margin and the room for calls are disabled.
func BaselinePolicy(name string, scorer placement.Scorer) Policy {
	p, err := dispatch.Without("behind,turn-away,late-binding,backlog,doubt,call-room")
	if err != nil {
		panic(err) // the names are constants of the dispatch package
	}
	return Policy{Name: name, Scorer: scorer, Mechanisms: p}
}

// event is an action scheduled at a virtual time.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// earlier orders events by time, then in the order of scheduling.
func earlier(a, b event) bool {
	return a.at < b.at || (a.at == b.at && a.sequence < b.sequence)
}

// simulation is one run of a pattern.
type simulation struct {
	pattern *Pattern
	policy  Policy
	random  *rand.Rand
	// callRandom draws for the room of plain servers and for lost updates, apart from all other draws.
	callRandom *rand.Rand
	now        time.Duration
	// sequence numbers the events and the prompts at engines.
	sequence     int
	events       *priority.Queue[event]
	entries      []*entryInstance
	engines      []*server
	plainServers []*server
	// storedPrefixes holds the prefixes in the store, storeFreeTokens is its
	// remaining capacity.
	storedPrefixes  map[int]bool
	storeFreeTokens int
	// readPrefixes holds the prefixes that an engine has prefilled.
	readPrefixes map[int]bool
	// ledger holds the accounts of all servers.
	ledger dispatch.WorkLedger
	// toldDomain and toldFar are the sums of what the instances of each domain have told
	// their own domain and others; groupPositions is that of placement.GroupPositions.
	toldDomain, toldFar []domainUpdate
	groupPositions      []float64
	result              *Result
	crashesAt           []time.Duration
}

// Simulate simulates a pattern under a policy. The same pattern and policy always give
// the same result.
func Simulate(p *Pattern, policy Policy) *Result {
	if policy.Mechanisms == nil {
		policy.Mechanisms = &dispatch.Policy{}
	}
	r := &simulation{pattern: p, policy: policy, random: newRandom(p.Seed), callRandom: newRandom(^p.Seed), events: priority.New(earlier), storedPrefixes: make(map[int]bool), readPrefixes: make(map[int]bool), storeFreeTokens: p.Engines.StoreTokens, result: newResult(p, policy.Name)}
	r.buildModel()
	r.buildFleet()
	r.scheduleSpread()
	r.scheduleCallUpdates()
	for i := range p.Kinds {
		r.scheduleArrival(i)
	}
	for i := range p.Faults {
		if f := &p.Faults[i]; f.Kind == "crash" {
			r.scheduleCrashing(f)
		}
	}
	for r.events.Len() > 0 {
		e := r.events.Pop()
		r.now = e.at
		e.run()
	}
	for _, s := range append(slices.Clone(r.engines), r.plainServers...) {
		r.result.MostAboveLimit = max(r.result.MostAboveLimit, s.mostAboveLimit())
	}
	for _, s := range r.engines {
		r.result.Preemptions += s.engine.preemptions
	}
	r.result.finish()
	return r.result
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// buildModel creates the servers and entry instances, and schedules the faults in which
// instances lose their state.
func (r *simulation) buildModel() {
	p := r.pattern
	for i := range p.Engines.Count {
		r.engines = append(r.engines, &server{id: fmt.Sprint("engine-", i), index: i, domain: p.domainName(i), homeHash: placement.HomeHash(fmt.Sprint("engine-", i)), slots: p.Engines.Slots, engineConfig: &p.Engines, engine: engine{waiting: priority.New(higherPriority)}, faults: serverFaults(p, i, p.Engines.Count)})
	}
	for i := range p.PlainServers.Count {
		r.plainServers = append(r.plainServers, &server{id: fmt.Sprint("plain-", i), slots: p.PlainServers.Slots, queueLimit: p.PlainServers.Queue, slotFreeAt: make([]time.Duration, p.PlainServers.Slots), faults: serverFaults(p, i, p.PlainServers.Count)})
	}
	servers := append(append([]*server{}, r.engines...), r.plainServers...)
	for range p.Entries {
		r.entries = append(r.entries, newEntryInstance(p, servers))
	}
	for i := range p.Faults {
		if f := &p.Faults[i]; f.Kind == "lost" {
			r.schedule(seconds(f.StartSeconds), func() { r.resetInstances(servers, seconds(f.DurationSeconds)) })
		}
	}
}

// resetInstances clears the state of all entry instances; they rediscover the
// servers one by one within the given time. Requests in flight are not affected.
func (r *simulation) resetInstances(servers []*server, within time.Duration) {
	for _, e := range r.entries {
		e.prefillModel, e.promptMix, e.resetAt = dispatch.PrefillModel{}, placement.LengthMix{}, r.now
		for i, s := range servers {
			e.states[s] = newServerState(s, r.now+within*time.Duration(i)/time.Duration(len(servers)))
		}
	}
}

// serverFaults returns the faults of the server with the given index among the count
// servers of its group, the engines or the plain servers. A fault affects the first
// servers of each group.
func serverFaults(p *Pattern, index, count int) []Fault {
	var faults []Fault
	for _, f := range p.Faults {
		if !slices.Contains(faultsElsewhere, f.Kind) && float64(index) < f.ServerShare*float64(count) {
			faults = append(faults, f)
		}
	}
	return faults
}

// faultsElsewhere are the kinds of faults that are not those of a server.
var faultsElsewhere = []string{"burst", "lost", "crash", "deaf", "lost-updates"}

// schedule schedules an action at a virtual time, or now if that has passed.
func (r *simulation) schedule(when time.Duration, action func()) {
	r.sequence++
	r.events.Push(event{max(when, r.now), r.sequence, action})
}

// scheduleArrival schedules the next arrival of a kind; that event schedules the one
// after it.
func (r *simulation) scheduleArrival(kind int) {
	k := &r.pattern.Kinds[kind]
	rate := k.PerSecond
	for i := range r.pattern.Faults {
		if f := &r.pattern.Faults[i]; f.Kind == "burst" && f.active(r.now) {
			rate *= f.Magnitude
		}
	}
	next := r.now + seconds(r.random.ExpFloat64()/rate)
	if next >= seconds(r.pattern.Seconds) {
		return
	}
	r.schedule(next, func() {
		req := &request{kind: kind, firstArrival: r.now, deadline: r.now + milliseconds(k.DeadlineMS), returnsLeft: k.MaxClientRetries}
		if k.PrefixCount > 0 {
			req.prefix = kind<<20 | r.random.IntN(k.PrefixCount)
			if k.HotShare > 0 && r.random.Float64() < k.HotShare {
				req.prefix = kind << 20
			}
		}
		r.result.recordRequest(kind, r.now)
		r.arrive(req)
		r.scheduleArrival(kind)
	})
}

// request is one client's request.
type request struct {
	kind int
	// crashes is set if the request has a part under which engines crash.
	crashes                bool
	prefix                 int
	firstArrival, deadline time.Duration
	// lastArrival is the virtual time when the client last sent the request to an
	// entry instance.
	lastArrival time.Duration
	instance    *entryInstance
	tried       map[*server]bool
	// returnsLeft is how often the client may send the request again after a refusal.
	returnsLeft int
	// givesUpAt is the virtual time when the client stops waiting unless the response
	// has started.
	givesUpAt      time.Duration
	decision       dispatch.Decision
	waiter         *dispatch.Waiter
	waitsForServer string
}

func (req *request) deferred() bool { return req.decision.Verdict != admission.Admit }

// arrive delivers a request to a random entry instance.
func (r *simulation) arrive(req *request) {
	req.lastArrival, req.instance, req.tried, req.decision = r.now, r.entries[r.random.IntN(len(r.entries))], make(map[*server]bool), dispatch.Decision{}
	req.instance.retryBudget.RecordRequest(toTime(r.now))
	k := &r.pattern.Kinds[req.kind]
	req.givesUpAt = min(req.deadline, r.now+k.startTimeout())
	if k.isPrompt() {
		req.instance.promptMix.Observe(k.PrefixTokens+k.SuffixTokens, req.instance.prefillModel.StepTokens(), toTime(r.now))
	}
	r.route(req)
}

// route sends a request to the server that the policy picks, queues it or refuses
// it.
func (r *simulation) route(req *request) {
	var claimed map[string]bool
	queue := req.instance.queueFor(&r.pattern.Kinds[req.kind])
	if r.pattern.Kinds[req.kind].isPrompt() || r.boundsCalls() {
		claimed = queue.Claimed(r.queuePosition(req))
	}
	if r.tryRoute(req, claimed) {
		return
	}
	w := &dispatch.Waiter{Position: r.queuePosition(req), MemoryTokens: r.pattern.Kinds[req.kind].peakMemory()}
	w.Try = func(claimed map[string]bool) (bool, string) {
		if req.waiter == nil || r.tryRoute(req, claimed) {
			req.waiter = nil
			return true, ""
		}
		w.Position = r.queuePosition(req)
		return false, req.waitsForServer
	}
	r.countHeld(req)
	req.waiter = w
	queue.Add(w, toTime(r.now))
	r.schedule(req.givesUpAt, func() {
		if req.waiter != nil {
			queue.Remove(w)
			req.waiter = nil
			r.recordFailure(req)
		}
	})
	r.scheduleQueueRetry(req.instance)
}

// scheduleQueueRetry retries the queued requests of an entry instance periodically
// until its queue is empty.
func (r *simulation) scheduleQueueRetry(e *entryInstance) {
	if e.retryScheduled {
		return
	}
	e.retryScheduled = true
	r.schedule(r.now+queueRetryInterval, func() {
		e.retryScheduled = false
		e.queue.Schedule()
		e.calls.Schedule()
		if e.queue.Len()+e.calls.Len() > 0 {
			r.scheduleQueueRetry(e)
		}
	})
}

// tryRoute makes a routing decision and carries it out. It returns false if the
// request must wait in the queue.
func (r *simulation) tryRoute(req *request, claimed map[string]bool) bool {
	if r.blocked(req) {
		r.refuse(req)
		return true
	}
	s := r.decide(req, claimed)
	for refusals := 0; !r.booked(req, s, refusals); refusals++ {
		s = r.decide(req, claimed)
	}
	switch req.decision.Action {
	case dispatch.NoServer, dispatch.Reject:
		r.refuse(req)
	case dispatch.Hold:
		req.waitsForServer = s.id
		return false
	case dispatch.Send:
		if req.waiter != nil && !r.pattern.Kinds[req.kind].isPrompt() {
			req.instance.calls.Placed(toTime(r.now))
		}
		r.send(req, s)
	}
	return true
}

// queuePosition returns the position of a request in its instance's queue.
func (r *simulation) queuePosition(req *request) dispatch.Position {
	k := &r.pattern.Kinds[req.kind]
	if !k.isPrompt() {
		return r.callPosition(req)
	}
	prefill := req.instance.prefillModel.Overhead() + time.Duration(float64(k.PrefixTokens+k.SuffixTokens)/req.instance.prefillModel.Rate()*float64(time.Millisecond))
	startBy := req.lastArrival + milliseconds(k.ObjectiveMS)
	if req.deferred() {
		startBy = req.givesUpAt
	}
	return dispatch.Position{Priority: k.Rank, StartBy: toTime(startBy - prefill)}
}

// decide returns the server that the policy picks, nil for none, and sets the
// request's decision.
func (r *simulation) decide(req *request, claimed map[string]bool) *server {
	k, e := &r.pattern.Kinds[req.kind], req.instance
	servers := r.plainServers
	routed := &dispatch.Request{Elapsed: r.now - req.lastArrival, Discovering: r.now < e.resetAt+time.Second}
	routed.Job.Retryable = k.Retryable
	if k.isPrompt() {
		servers = r.engines
		routed.Objective, routed.Patience, routed.Errors = milliseconds(k.ObjectiveMS), req.givesUpAt-r.now, &e.estimateErrors[req.kind]
		routed.Job = placement.Job{
			Retryable: k.Retryable, PrefillRate: e.prefillModel.Rate(), Overhead: e.prefillModel.Overhead(), StepTokens: e.prefillModel.StepTokens(),
			PromptTokens: k.PrefixTokens + k.SuffixTokens, MemoryTokens: k.peakMemory(), Long: k.PrefixTokens+k.SuffixTokens >= placement.LongPromptTokens,
		}
	}
	ordered := !k.isPrompt() && r.boundsCalls()
	if ordered {
		routed.CallTime, routed.QueueWait = r.callTime(req), e.calls.ExpectedWait(r.callPosition(req), toTime(r.now))
	}
	servers = e.available(servers, r.now, r.policy.Mechanisms)
	candidates := func(servers []*server, homes []int) *dispatch.Candidates {
		views := r.describe(req, k, routed, servers, homes)
		c := &dispatch.Candidates{Servers: views, Tried: func(i int) bool { return req.tried[servers[i]] }, Claimed: func(i int) bool { return claimed[servers[i].id] }}
		if ordered {
			c.Ordered, c.Full = true, func(i int) bool { return !r.hasCallRoom(req, servers[i]) }
		}
		return c
	}
	var homes placement.Homes
	if k.isPrompt() && r.fleetHomes(e) {
		homes = r.homesAmong(req.prefix, servers, r.groupShare(e), routed.Job.Long)
	}
	var near func() *dispatch.Candidates
	nearServers := servers
	if k.isPrompt() && e.fleet.cell != nil {
		near = func() *dispatch.Candidates {
			nearServers = e.nearServers(servers, homes.Servers())
			return candidates(nearServers, inOrder[:len(homes.Servers())])
		}
	}
	d, outsideCell := r.policy.Mechanisms.Decide(r.policy.Scorer, near, func() *dispatch.Candidates { return candidates(servers, homes.Servers()) }, routed, r.random.Float64())
	req.decision = d
	switch {
	case d.Server < 0:
		return nil
	case outsideCell:
		return servers[d.Server]
	}
	return nearServers[d.Server]
}

// inOrder are the indices of the homes among the servers that nearServers returns.
var inOrder = func() (indices [placement.HomeCount]int) {
	for i := range indices {
		indices[i] = i
	}
	return indices
}()

// describe returns the views of servers for a decision. homes are those of the prefix over
// the whole fleet.
func (r *simulation) describe(req *request, k *RequestKind, routed *dispatch.Request, servers []*server, homes []int) []placement.Server {
	e := req.instance
	views := make([]placement.Server, len(servers))
	for i, s := range servers {
		e.states[s].View(&views[i], r.policy.Mechanisms, r.othersLoad(e, s), r.pattern.domainName(e.fleet.domain), toTime(r.now))
		e.states[s].AddBooked(&views[i], routed.Job.PrefillRate, toTime(r.now))
	}
	if k.isPrompt() {
		r.addPromptState(req, k, servers, views, routed.Job.Long, homes)
		position := r.queuePosition(req)
		if req.waiter != nil {
			position = req.waiter.Position
		}
		routed.QueueWait = dispatch.TimeToFree(views, e.queue.MemoryAhead(position))
	}
	return views
}

// othersLoad returns the sum of the loads that the other entry instances have placed
// on a server; nothing if they tell it only after a delay, see toldCalls.
func (r *simulation) othersLoad(e *entryInstance, s *server) (sum dispatch.Load) {
	if s.engineConfig == nil && r.pattern.UpdateMS > 0 {
		return sum
	}
	if r.toldFar != nil && s.engineConfig != nil {
		return r.toldLoad(e, s)
	}
	for _, other := range r.entries {
		if other == e {
			continue
		}
		own := other.states[s].OwnLoad()
		sum.Requests, sum.PrefillTokens, sum.DeferredTokens, sum.MemoryTokens = sum.Requests+own.Requests, sum.PrefillTokens+own.PrefillTokens, sum.DeferredTokens+own.DeferredTokens, sum.MemoryTokens+own.MemoryTokens
	}
	return sum
}

// addPromptState adds to the views what only matters to prompts: cached and importable
// prefixes, length groups and the home server. long reports whether the prompt belongs
// to the group of long ones.
func (r *simulation) addPromptState(req *request, k *RequestKind, candidates []*server, views []placement.Server, long bool, homes []int) {
	policy, fleetHomes := r.policy.Mechanisms, r.fleetHomes(req.instance)
	if fleetHomes {
		share := r.groupShare(req.instance)
		for i, s := range candidates {
			views[i].Group = placement.GroupAt(r.groupPositions[s.index], share)
		}
	} else if policy.Enabled(dispatch.LengthGroups) {
		placement.AssignGroups(views, req.instance.promptMix.ShortShare(), func(i int) string { return candidates[i].id })
	}
	home, bestRank := -1, uint64(0)
	for i, s := range candidates {
		views[i].CachedTokens = min(k.PrefixTokens, s.cachedTokens(req.prefix))
		if r.storedPrefixes[req.prefix] && views[i].CachedTokens < k.PrefixTokens {
			views[i].FetchTokens, views[i].FetchTime = k.PrefixTokens, req.instance.states[s].PendingTransferTime(toTime(r.now))+r.importTime(k)
		}
		if views[i].Group != placement.GroupAny && (views[i].Group == placement.GroupLong) != long {
			continue
		}
		if fleetHomes {
			continue
		}
		if rank := placement.Rank(fmt.Sprint(req.prefix), s.id); rank >= bestRank {
			home, bestRank = i, rank
		}
	}
	for order, i := range homes {
		views[i].Home, views[i].Alternate = order == 0, order
	}
	if home >= 0 && policy.Enabled(dispatch.PrefixHomes) {
		views[home].Home = true
	}
	if !policy.Enabled(dispatch.NonHomePenalty) {
		for i := range views {
			views[i].Home = true
		}
	}
}

// importTime returns the time to import the shared prefix of a kind over an engine's
// link.
func (r *simulation) importTime(k *RequestKind) time.Duration {
	return milliseconds(float64(k.PrefixTokens) / r.pattern.Engines.ImportTokensPerMS)
}
