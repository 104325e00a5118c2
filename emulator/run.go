package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/galenaarch/galenaarch/admission"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/internal/priority"
	"github.com/galenaarch/galenaarch/placement"
)

// Policy is what is compared.
type Policy struct {
	Name   string
	Scorer placement.Scorer
	// Decisions says which mechanisms are at work; nil for all.
	Decisions *dispatch.Policy
}

// Baseline is a scorer with what takes part in every comparison: servers that are
// dark or fail are left, and nothing is judged.
func Baseline(name string, by placement.Scorer) Policy {
	p, err := dispatch.Without("behind,turn-away,late-binding,backlog,doubt")
	if err != nil {
		panic(err) // the names are of this module
	}
	return Policy{Name: name, Scorer: by, Decisions: p}
}

// event is something that happens at a time.
type event struct {
	at     time.Duration
	serial int
	do     func()
}

func sooner(a, b event) bool {
	return a.at < b.at || (a.at == b.at && a.serial < b.serial)
}

// play is one run of a pattern.
type play struct {
	pattern *Pattern
	policy  Policy
	random  *rand.Rand
	now     time.Duration
	serial  int
	queue   *priority.Queue[event]
	entries []*entry
	engines []*server
	plain   []*server
	// stored are the parts that the store keeps, room is what it has left.
	stored map[int]bool
	room   int
	result *Result
}

// Play runs a pattern under a policy. The same pattern and policy always give
// the same result.
func Play(p *Pattern, policy Policy) *Result {
	if policy.Decisions == nil {
		policy.Decisions = &dispatch.Policy{}
	}
	r := &play{pattern: p, policy: policy, random: newRandom(p.Seed), queue: priority.New(sooner), stored: make(map[int]bool), room: p.Engines.StoreTokens, result: newResult(p, policy.Name)}
	r.build()
	for i := range p.Kinds {
		r.arrivals(i)
	}
	for r.queue.Len() > 0 {
		e := r.queue.Pop()
		r.now = e.at
		e.do()
	}
	for _, s := range r.engines {
		r.result.Preempted += s.engine.preempts
	}
	r.result.finish()
	return r.result
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

func (r *play) build() {
	p := r.pattern
	for i := range p.Engines.Count {
		r.engines = append(r.engines, &server{id: fmt.Sprint("engine-", i), slots: p.Engines.Slots, engines: &p.Engines, engine: engine{waiting: priority.New(urgent)}, troubles: troublesOf(p, i, p.Engines.Count)})
	}
	for i := range p.Plain.Count {
		r.plain = append(r.plain, &server{id: fmt.Sprint("plain-", i), slots: p.Plain.Slots, queue: p.Plain.Queue, free: make([]time.Duration, p.Plain.Slots), troubles: troublesOf(p, i, p.Plain.Count)})
	}
	all := append(append([]*server{}, r.engines...), r.plain...)
	for range p.Entries {
		r.entries = append(r.entries, newEntry(p, all))
	}
	for i := range p.Troubles {
		if t := &p.Troubles[i]; t.Kind == "lost" {
			r.at(seconds(t.AtSeconds), func() { r.forget(all, seconds(t.ForSeconds)) })
		}
	}
}

// forget has all entry instances begin anew; they hear of the servers again one
// after another within a time. Answers under way still reach
// their callers.
func (r *play) forget(all []*server, within time.Duration) {
	for _, e := range r.entries {
		e.reader, e.mix, e.began = dispatch.PrefillModel{}, placement.LengthMix{}, r.now
		for i, s := range all {
			e.beliefs[s] = newKnown(s, r.now+within*time.Duration(i)/time.Duration(len(all)))
		}
	}
}

// troublesOf lists what befalls a server: the first ones of each service.
func troublesOf(p *Pattern, i, count int) []Trouble {
	var list []Trouble
	for _, t := range p.Troubles {
		if t.Kind != "burst" && t.Kind != "lost" && float64(i) < t.Share*float64(count) {
			list = append(list, t)
		}
	}
	return list
}

func (r *play) at(when time.Duration, do func()) {
	r.serial++
	r.queue.Push(event{max(when, r.now), r.serial, do})
}

// arrivals brings the next request of a kind, and those after it.
func (r *play) arrivals(kind int) {
	k := &r.pattern.Kinds[kind]
	rate := k.PerSecond
	for i := range r.pattern.Troubles {
		if t := &r.pattern.Troubles[i]; t.Kind == "burst" && t.active(r.now) {
			rate *= t.X
		}
	}
	next := r.now + seconds(r.random.ExpFloat64()/rate)
	if next >= seconds(r.pattern.Seconds) {
		return
	}
	r.at(next, func() {
		c := &call{kind: kind, asked: r.now, deadline: r.now + milliseconds(k.DeadlineMS), returns: k.Returns}
		if k.Things > 0 {
			c.part = kind<<20 | r.random.IntN(k.Things)
		}
		r.result.ask(kind, r.now)
		r.come(c)
		r.arrivals(kind)
	})
}

// call is one caller's request.
type call struct {
	kind            int
	part            int
	asked, deadline time.Duration
	// came is when it last came, to any entry instance.
	came    time.Duration
	entry   *entry
	tried   map[*server]bool
	returns int
	// leaves is when the caller leaves unless the answer has begun.
	leaves   time.Duration
	decision dispatch.Decision
	waiter   *dispatch.Waiter
	waitsFor string
}

func (c *call) behind() bool { return c.decision.Verdict != admission.Admit }

// come has a caller ask an entry instance.
func (r *play) come(c *call) {
	c.came, c.entry, c.tried, c.decision = r.now, r.entries[r.random.IntN(len(r.entries))], make(map[*server]bool), dispatch.Decision{}
	c.entry.budget.RecordRequest(clock(r.now))
	k := &r.pattern.Kinds[c.kind]
	c.leaves = min(c.deadline, r.now+k.bears())
	if k.prompt() {
		c.entry.mix.Observe(k.SharedTokens+k.OwnTokens, c.entry.reader.StepTokens(), clock(r.now))
	}
	r.place(c)
}

// place sends a request to the server that the policy picks, lets it wait, or
// refuses it.
func (r *play) place(c *call) {
	var claimed map[string]bool
	if r.pattern.Kinds[c.kind].prompt() {
		claimed = c.entry.line.Claimed(r.spot(c))
	}
	if r.try(c, claimed) {
		return
	}
	w := &dispatch.Waiter{Position: r.spot(c), MemoryTokens: r.pattern.Kinds[c.kind].size()}
	w.Try = func(claimed map[string]bool) (bool, string) {
		if c.waiter == nil || r.try(c, claimed) {
			c.waiter = nil
			return true, ""
		}
		w.Position = r.spot(c)
		return false, c.waitsFor
	}
	c.waiter = w
	c.entry.line.Add(w)
	r.at(c.leaves, func() {
		if c.waiter != nil {
			c.entry.line.Remove(w)
			c.waiter = nil
			r.result.fail(c.kind)
		}
	})
	r.look(c.entry)
}

// look has those that wait at an entry instance tried again as long as any wait.
func (r *play) look(e *entry) {
	if e.looked {
		return
	}
	e.looked = true
	r.at(r.now+holdStep, func() {
		e.looked = false
		e.line.Schedule()
		if e.line.Len() > 0 {
			r.look(e)
		}
	})
}

// try decides what becomes of a request now and carries it out; it returns false if
// the request waits.
func (r *play) try(c *call, claimed map[string]bool) bool {
	s := r.decide(c, claimed)
	switch c.decision.Action {
	case dispatch.NoServer, dispatch.Reject:
		r.refuse(c)
	case dispatch.Hold:
		c.waitsFor = s.id
		return false
	case dispatch.Send:
		r.send(c, s)
	}
	return true
}

// spot is where a request waits.
func (r *play) spot(c *call) dispatch.Position {
	k := &r.pattern.Kinds[c.kind]
	read := c.entry.reader.Overhead() + time.Duration(float64(k.SharedTokens+k.OwnTokens)/c.entry.reader.Rate()*float64(time.Millisecond))
	return dispatch.Position{Deferred: c.behind(), Priority: k.Rank, StartBy: clock(c.came + milliseconds(k.ObjectiveMS) - read)}
}

// decide has the policy say what becomes of a request.
func (r *play) decide(c *call, claimed map[string]bool) *server {
	k, e := &r.pattern.Kinds[c.kind], c.entry
	list := r.plain
	ask := &dispatch.Request{Elapsed: r.now - c.came, Resumed: len(c.tried) > 0, Discovering: r.now < e.began+time.Second}
	ask.Job.Retryable = k.Repeatable
	if k.prompt() {
		list = r.engines
		ask.Objective, ask.CallerTimeout, ask.Errors = milliseconds(k.ObjectiveMS), k.bears(), &e.errors[c.kind]
		ask.Job = placement.Job{
			Retryable: k.Repeatable, PrefillRate: e.reader.Rate(), Overhead: e.reader.Overhead(), StepTokens: e.reader.StepTokens(),
			PromptTokens: k.SharedTokens + k.OwnTokens, MemoryTokens: k.size(), Long: k.SharedTokens+k.OwnTokens >= placement.LongPromptTokens,
		}
	}
	list = e.servers(list, r.now)
	views := make([]placement.Server, len(list))
	for i, s := range list {
		e.beliefs[s].View(&views[i], r.policy.Decisions, r.others(e, s), "", clock(r.now))
	}
	if k.prompt() {
		r.describe(c, k, list, views, ask.Job.Long)
		place := r.spot(c)
		if c.waiter != nil {
			place = c.waiter.Position
		}
		ask.QueueWait = dispatch.TimeToFree(views, e.line.MemoryAhead(place))
	}
	all := func() *dispatch.Candidates {
		return &dispatch.Candidates{Servers: views, Tried: func(i int) bool { return c.tried[list[i]] }, Claimed: func(i int) bool { return claimed[list[i].id] }}
	}
	c.decision, _ = r.policy.Decisions.Decide(r.policy.Scorer, nil, all, ask, r.random.Float64())
	if c.decision.Server < 0 {
		return nil
	}
	return list[c.decision.Server]
}

// others is what the other entry instances have at a server.
func (r *play) others(e *entry, s *server) (sum dispatch.Load) {
	for _, other := range r.entries {
		if other == e {
			continue
		}
		own := other.beliefs[s].OwnLoad()
		sum.Requests, sum.PrefillTokens, sum.DeferredTokens, sum.MemoryTokens = sum.Requests+own.Requests, sum.PrefillTokens+own.PrefillTokens, sum.DeferredTokens+own.DeferredTokens, sum.MemoryTokens+own.MemoryTokens
	}
	return sum
}

// describe adds what is known of prompts: what engines hold and can bring, groups
// and homes.
func (r *play) describe(c *call, k *Kind, candidates []*server, views []placement.Server, long bool) {
	policy := r.policy.Decisions
	if policy.Enabled(dispatch.LengthGroups) {
		placement.AssignGroups(views, c.entry.mix.ShortShare(), func(i int) string { return candidates[i].id })
	}
	home, best := -1, uint64(0)
	for i, s := range candidates {
		views[i].CachedTokens = min(k.SharedTokens, s.held(c.part))
		if r.stored[c.part] && views[i].CachedTokens < k.SharedTokens {
			views[i].ImportTokens, views[i].ImportTime = k.SharedTokens, c.entry.beliefs[s].PendingTransferTime(clock(r.now))+r.bringTime(k)
		}
		if views[i].Group != placement.GroupAny && (views[i].Group == placement.GroupLong) != long {
			continue
		}
		if rank := placement.Rank(fmt.Sprint(c.part), s.id); rank >= best {
			home, best = i, rank
		}
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

// bringTime is how long a kind's shared part takes over an engine's link.
func (r *play) bringTime(k *Kind) time.Duration {
	return milliseconds(float64(k.SharedTokens) / r.pattern.Engines.BringPerMS)
}
