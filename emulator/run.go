package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/galenaarch/galenaarch/admission"
	"github.com/galenaarch/galenaarch/internal/priority"
	"github.com/galenaarch/galenaarch/placement"
)

// Policy is what is compared.
type Policy struct {
	Name   string
	Scorer placement.Scorer
	// Pace is the reading speed that entry instances believe in; tokens a
	// millisecond, 0 for the engines' own.
	Pace float64
	// Judged says that prompts that are late anyway go behind the others, or are
	// turned away.
	Judged bool
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
	result  *Result
}

// Play runs a pattern under a policy. The same pattern and policy always give
// the same result.
func Play(p *Pattern, policy Policy) *Result {
	if policy.Pace == 0 {
		policy.Pace = p.Engines.TokensPerMS
	}
	r := &play{pattern: p, policy: policy, random: newRandom(p.Seed), queue: priority.New(sooner), result: newResult(p, policy.Name)}
	r.build()
	for i := range p.Kinds {
		r.arrivals(i)
	}
	for r.queue.Len() > 0 {
		e := r.queue.Pop()
		r.now = e.at
		e.do()
	}
	r.result.finish()
	return r.result
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

func (r *play) build() {
	p := r.pattern
	for i := range p.Engines.Count {
		r.engines = append(r.engines, &server{id: fmt.Sprint("engine-", i), slots: p.Engines.Slots, engines: &p.Engines, waiting: priority.New(urgent), troubles: troublesOf(p, i, p.Engines.Count)})
	}
	for i := range p.Plain.Count {
		r.plain = append(r.plain, &server{id: fmt.Sprint("plain-", i), slots: p.Plain.Slots, queue: p.Plain.Queue, free: make([]time.Duration, p.Plain.Slots), troubles: troublesOf(p, i, p.Plain.Count)})
	}
	for range p.Entries {
		r.entries = append(r.entries, newEntry(append(append([]*server{}, r.engines...), r.plain...), p.Entries))
	}
}

// troublesOf lists what befalls a server: the first ones of each service.
func troublesOf(p *Pattern, i, count int) []Trouble {
	var list []Trouble
	for _, t := range p.Troubles {
		if t.Kind != "burst" && float64(i) < t.Share*float64(count) {
			list = append(list, t)
		}
	}
	return list
}

func (r *play) at(when time.Duration, do func()) {
	r.serial++
	r.queue.Push(event{when, r.serial, do})
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
		r.result.ask(kind)
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
	leaves  time.Duration
	verdict admission.Verdict
	outlook admission.Outlook
}

// come has a caller ask an entry instance.
func (r *play) come(c *call) {
	c.came, c.entry, c.tried = r.now, r.entries[r.random.IntN(len(r.entries))], make(map[*server]bool)
	c.entry.budget.Request(epoch.Add(r.now))
	c.leaves = min(c.deadline, r.now+r.pattern.Kinds[c.kind].bears())
	if k := &r.pattern.Kinds[c.kind]; k.prompt() {
		c.entry.mix.Note(k.SharedTokens+k.OwnTokens, epoch.Add(r.now))
	}
	r.send(c)
}

// send sends a request to the server that the policy picks.
func (r *play) send(c *call) {
	s, unread := r.choose(c)
	if s == nil {
		r.refuse(c)
		return
	}
	c.tried[s] = true
	k, b, sent := &r.pattern.Kinds[c.kind], c.entry.beliefs[s], r.now
	job := sending{unread: unread, later: c.verdict != admission.InTurn}
	if k.prompt() {
		job.memory = k.size()
	}
	b.begin(job, sent)
	answer := func(got run) {
		r.at(max(got.end, r.now), func() { b.free(job, r.now-sent) })
		if r.now >= c.leaves {
			b.left(job)
			r.result.fail(c.kind)
			return
		}
		b.answered(job, s.load(r.now)+s.queued(), r.now-sent, r.now, got.failed)
		switch {
		case got.refused, got.failed && k.Repeatable:
			r.again(c)
		case got.failed:
			r.result.fail(c.kind)
		default:
			r.result.serve(c.kind, r.now-c.asked)
		}
	}
	dark, _, _ := s.trouble(sent)
	if dark > sent+patience && k.Repeatable && len(c.tried) < 2 {
		r.at(sent+patience, func() {
			b.left(job)
			b.free(job, 0)
			r.again(c)
		})
		return
	}
	if !k.prompt() {
		got := s.serve(k, sent, r.random)
		r.at(min(got.first, c.leaves), func() { answer(got) })
		return
	}
	r.prompt(s, &reading{kind: k, part: c.part, deadline: c.leaves, later: job.later, done: func(got run) {
		r.at(min(got.first, c.leaves), func() { answer(got) })
	}})
}

// again sends a request to a second server, if that is allowed.
func (r *play) again(c *call) {
	if len(c.tried) >= 2 || !c.entry.budget.Take(epoch.Add(r.now)) {
		r.refuse(c)
		return
	}
	r.send(c)
}

// refuse answers a caller at once; some come back.
func (r *play) refuse(c *call) {
	r.result.refuse(c.kind, r.now-c.came)
	back := r.now + admission.ComeBack(c.outlook, r.random.Float64())
	if c.returns == 0 || back >= c.deadline {
		r.result.fail(c.kind)
		return
	}
	c.returns--
	r.at(back, func() { r.come(c) })
}

// choose has the policy pick a server, and says how much of the prompt it has to
// read.
func (r *play) choose(c *call) (*server, int) {
	k := &r.pattern.Kinds[c.kind]
	candidates := r.plain
	job := placement.Job{Repeatable: k.Repeatable, ReadRate: r.policy.Pace}
	if k.prompt() {
		candidates = r.engines
		job.PromptTokens, job.MemoryTokens = k.SharedTokens+k.OwnTokens, k.size()
		job.Long = job.PromptTokens >= placement.LongPrompt
	}
	views := make([]placement.Server, len(candidates))
	for i, s := range candidates {
		views[i] = c.entry.beliefs[s].view(s, r.now)
	}
	if k.prompt() {
		r.describe(c, k, candidates, views, job.Long)
	}
	skip, at := func(i int) bool { return c.tried[candidates[i]] }, r.random.Float64()
	i := placement.Pick(r.policy.Scorer, views, job, skip, at)
	if i < 0 {
		return nil, 0
	}
	if !k.prompt() {
		return candidates[i], 0
	}
	if r.policy.Judged {
		o := admission.Outlook{Waited: r.now - c.came, Objective: milliseconds(k.ObjectiveMS), Bears: k.bears()}
		o.InTurn = r.policy.Scorer.Cost(&views[i], &job)
		o.Behind = o.InTurn
		if c.verdict = admission.Judge(o); c.verdict != admission.InTurn {
			job.Later = true
			i = placement.Pick(r.policy.Scorer, views, job, skip, at)
			o.Behind = r.policy.Scorer.Cost(&views[i], &job)
			c.verdict = admission.Judge(o)
		}
		if c.outlook = o; c.verdict == admission.TurnAway && len(c.tried) == 0 {
			return nil, 0
		}
	}
	return candidates[i], placement.Unread(views[i], job)
}

// describe adds what is known of prompts: what engines hold, what all entry
// instances have sent there, groups and homes.
func (r *play) describe(c *call, k *Kind, candidates []*server, views []placement.Server, long bool) {
	placement.Split(views, c.entry.mix.ShortShare(), func(i int) string { return candidates[i].id })
	home, best := -1, uint64(0)
	for i, s := range candidates {
		views[i].CachedTokens = min(k.SharedTokens, s.held(c.part))
		for _, e := range r.entries {
			views[i].ReadingTokens += e.beliefs[s].reading
			views[i].LaterTokens += e.beliefs[s].later
		}
		if views[i].Group != placement.GroupAny && (views[i].Group == placement.GroupLong) != long {
			continue
		}
		if rank := placement.Rank(fmt.Sprint(c.part), s.id); rank >= best {
			home, best = i, rank
		}
	}
	if home >= 0 {
		views[home].Home = true
	}
}
