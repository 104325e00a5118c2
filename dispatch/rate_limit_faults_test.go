package dispatch

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/internal/priority"
)

// The users' bound on the requests that reach a rate-limited server.
const (
	limitGrace    = 3 * time.Second
	limitWindow   = 4 * time.Second
	limitFactor   = 1.5
	limitSlack    = 5
	limitPassedOn = 500 * time.Millisecond
)

// Times of the simulated system; they are those of the entry and control instances.
const (
	simPollWait  = 600 * time.Millisecond
	simPollGrace = 1200 * time.Millisecond
	simTick      = 20 * time.Millisecond
	simRecheck   = 4 * time.Millisecond
	simListTTL   = 100 * time.Millisecond
	simTimeout   = 250 * time.Millisecond
	simTime      = 30 * time.Second
)

// simEvent is an action at a virtual time.
type simEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

// simControl is a control instance: the entry instances that it lists.
type simControl struct {
	down    bool
	entries map[string]*simListing
	// list is the last response, reused within simTick.
	list   *simList
	listAt time.Duration
}

// simList is the listed entry instances, and the accepting ones in the order of names.
type simList struct {
	listed, accepting map[string]bool
	names             []string
	// first is the first issuer among names, and second the first without it.
	first, second string
	ranked        bool
}

// firstWithout returns the first issuer among the accepting instances other than name.
func (l *simList) firstWithout(name string) string {
	if !l.ranked {
		l.first, l.ranked = FirstIssuer("server", l.names), true
		l.second = FirstIssuer("server", slices.DeleteFunc(slices.Clone(l.names), func(n string) bool { return n == l.first }))
	}
	if l.first == name {
		return l.second
	}
	return l.first
}

// respond lists the entry instances.
func (c *simControl) respond(now time.Duration) *simList {
	if c.list != nil && now-c.listAt < simTick {
		return c.list
	}
	c.list, c.listAt = &simList{listed: make(map[string]bool), accepting: make(map[string]bool)}, now
	for name, l := range c.entries {
		if l.polls > 0 || now-l.lastPoll <= simPollGrace {
			c.list.listed[name] = true
			if l.accepting {
				c.list.accepting[name] = true
				c.list.names = append(c.list.names, name)
			}
		}
	}
	slices.Sort(c.list.names)
	return c.list
}

type simListing struct {
	accepting bool
	polls     int
	lastPoll  time.Duration
}

// simEntry is an entry instance.
type simEntry struct {
	name string
	// life counts the restarts; events of an earlier life are dropped.
	life, known     int
	down, accepting bool
	drainedAt       time.Duration
	frozenUntil     time.Duration
	stated          StatedLimit
	permits         Permits
	role            IssuerRole
	issuer          PermitIssuer
	issuing         bool
	lastIssuer      string
	roleAt          time.Duration
	confirmedAt     []time.Duration
	listedBy        []*simList // by control instance
	ranked          []*simList // the lists for which first was computed
	first           string
	passedOnAt      time.Duration // when the server's limit first reached this life; 0 before
	demand          float64       // requests per second
}

// rateLimitSim simulates entry instances, control instances and one server.
type rateLimitSim struct {
	random   *rand.Rand
	now      time.Duration
	sequence int
	events   *priority.Queue[simEvent]
	entries  []*simEntry
	controls []*simControl
	// cut holds the severed pairs of processes, by name.
	cut     map[[2]string]bool
	limitAt func(at time.Duration) RateLimit
	// arrivals are the requests that count for the bound, by time; all those are all.
	arrivals, all []time.Duration
	firstStatedAt time.Duration
	issuers       int
}

// upTo returns a random duration below d.
func upTo(random *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(d)))
}

func simClock(at time.Duration) time.Time { return start.Add(time.Hour + at) }

func (s *rateLimitSim) after(d time.Duration, run func()) {
	s.sequence++
	s.events.Push(simEvent{s.now + max(0, d), s.sequence, run})
}

// on runs an action of an entry instance: later if it is frozen, not at all if it was
// restarted.
func (s *rateLimitSim) on(e *simEntry, d time.Duration, run func()) {
	life := e.life
	var attempt func()
	attempt = func() {
		switch {
		case e.life != life || e.down:
		case s.now < e.frozenUntil:
			s.after(e.frozenUntil-s.now, attempt)
		default:
			run()
		}
	}
	s.after(d, attempt)
}

func (s *rateLimitSim) delay() time.Duration {
	return 200*time.Microsecond + upTo(s.random, 3*time.Millisecond)
}

func (s *rateLimitSim) connected(a, b string) bool {
	return !s.cut[[2]string{a, b}] && !s.cut[[2]string{b, a}]
}

// startEntry starts an entry instance with empty state.
func (s *rateLimitSim) startEntry(e *simEntry) {
	*e = simEntry{name: e.name, life: e.life + 1, demand: e.demand, confirmedAt: make([]time.Duration, len(s.controls)), listedBy: make([]*simList, len(s.controls))}
	for c := range s.controls {
		e.confirmedAt[c] = -time.Hour
		s.on(e, upTo(s.random, 50*time.Millisecond), func() { s.poll(e, c) })
	}
	s.on(e, 400*time.Millisecond, func() { e.accepting = true })
	s.on(e, upTo(s.random, simTick), func() { s.tick(e) })
	s.on(e, 500*time.Millisecond, func() { s.request(e) })
}

func controlName(c int) string { return fmt.Sprint("control-", c) }

// poll polls a control instance for the entry instances.
func (s *rateLimitSim) poll(e *simEntry, c int) {
	startedAt, accepting := s.now, e.accepting
	again := func(d time.Duration) { s.on(e, d, func() { s.poll(e, c) }) }
	s.after(s.delay(), func() {
		control := s.controls[c]
		if control.down || !s.connected(e.name, controlName(c)) {
			again(300 * time.Millisecond)
			return
		}
		l := control.entries[e.name]
		if l == nil {
			l = &simListing{}
			control.entries[e.name] = l
		}
		l.accepting, l.lastPoll = accepting, s.now
		l.polls++
		wait := simPollWait
		if s.random.IntN(4) == 0 {
			wait = upTo(s.random, simPollWait) // ended early by a change
		}
		s.after(wait, func() {
			l.polls, l.lastPoll = l.polls-1, s.now
			if s.controls[c] != control || control.down || !s.connected(e.name, controlName(c)) {
				again(500 * time.Millisecond)
				return
			}
			list := control.respond(s.now)
			s.on(e, s.delay(), func() {
				e.confirmedAt[c], e.listedBy[c] = startedAt, list
				again(0)
			})
		})
	})
}

// firstIssuer mirrors the gateway: the first in rank among the listed instances, and
// whether this instance leads.
func (s *rateLimitSim) firstIssuer(e *simEntry) (first string, leads bool) {
	var current []*simList
	listed, accepted := 0, 0
	for c, list := range e.listedBy {
		if s.now-e.confirmedAt[c] > LeadTTL-simListTTL {
			continue
		}
		current = append(current, list)
		e.known = max(e.known, len(list.listed))
		if list.listed[e.name] {
			listed++
		}
		if list.accepting[e.name] {
			accepted++
		}
	}
	eligible := 2*accepted > len(s.controls)
	if e.drainedAt > 0 {
		eligible = 2*listed > len(s.controls) && s.now-e.drainedAt < ResignTime-simListTTL
	}
	if !slices.Equal(current, e.ranked) || e.first == "" {
		// The first of all is the first among the first of each list.
		var candidates []string
		for _, list := range current {
			candidates = append(candidates, list.firstWithout(e.name))
		}
		e.first, e.ranked = FirstIssuer("server", slices.DeleteFunc(candidates, func(name string) bool { return name == "" })), current
	}
	if first = e.first; eligible {
		first = FirstIssuer("server", slices.DeleteFunc([]string{e.first, e.name}, func(name string) bool { return name == "" }))
	}
	return first, first == e.name && eligible
}

func (s *rateLimitSim) updateRole(e *simEntry) bool {
	_, leads := s.firstIssuer(e)
	issuing := e.role.Update(leads, simClock(s.now))
	if issuing != e.issuing {
		e.issuing, e.issuer = issuing, PermitIssuer{}
	}
	return issuing
}

func (s *rateLimitSim) observe(e *simEntry, l RateLimit) {
	before := e.stated
	if e.stated.Observe(l) {
		e.permits.LimitChanged(before.RateLimit, e.stated.RateLimit)
	}
}

func (s *rateLimitSim) merge(e *simEntry, l StatedLimit) {
	before := e.stated
	if e.stated.Merge(l) {
		e.permits.LimitChanged(before.RateLimit, e.stated.RateLimit)
	}
}

func (s *rateLimitSim) fallback(e *simEntry) Fallback {
	return Fallback{Limit: e.stated.RateLimit, Instances: e.known, Jitter: s.random.Float64()}
}

// tick updates the role of an instance and asks for permits again.
func (s *rateLimitSim) tick(e *simEntry) {
	s.on(e, simTick, func() { s.tick(e) })
	if e.stated.Limited {
		s.acquire(e)
	}
}

// acquire asks for the permits that requests lacked.
func (s *rateLimitSim) acquire(e *simEntry) {
	now := simClock(s.now)
	wanted := e.permits.Wanted(e.stated.RateLimit, now)
	if wanted == 0 && s.now < e.roleAt+simListTTL {
		return
	}
	e.roleAt = s.now
	issuing := s.updateRole(e)
	if wanted == 0 {
		return
	}
	if issuing {
		granted, retryAfter := e.issuer.Issue(e.stated.RateLimit, e.name, wanted, now)
		e.permits.Granted(granted, retryAfter, now, now)
		return
	}
	target, _ := s.firstIssuer(e)
	if e.lastIssuer != "" {
		target = e.lastIssuer
	}
	if target == "" || target == e.name {
		e.permits.Unanswered(now)
		return
	}
	s.askFor(e, target, wanted)
}

func (s *rateLimitSim) askFor(e *simEntry, target string, wanted int) {
	sentAt, answered := s.now, false
	unanswered := func() {
		if !answered {
			answered, e.lastIssuer = true, ""
			e.permits.Unanswered(simClock(s.now))
		}
	}
	s.on(e, simTimeout, unanswered)
	issuer := s.entries[slices.IndexFunc(s.entries, func(x *simEntry) bool { return x.name == target })]
	stated := e.stated
	s.on(issuer, s.delay(), func() {
		if !s.connected(e.name, target) {
			return
		}
		s.merge(issuer, stated)
		issuing, granted, retryAfter := s.updateRole(issuer), 0, time.Duration(0)
		if issuing && issuer.stated.Limited {
			granted, retryAfter = issuer.issuer.Issue(issuer.stated.RateLimit, e.name, wanted, simClock(s.now))
		}
		reply := issuer.stated
		s.on(e, s.delay(), func() {
			if answered || !s.connected(e.name, target) {
				return
			}
			s.merge(e, reply)
			if !issuing {
				unanswered()
				return
			}
			answered, e.lastIssuer = true, target
			e.permits.Granted(granted, retryAfter, simClock(sentAt), simClock(s.now))
		})
	})
}

// request lets a client send a request to an entry instance, which sends it to the server
// or elsewhere.
func (s *rateLimitSim) request(e *simEntry) {
	s.on(e, time.Duration(s.random.ExpFloat64()/e.demand*float64(time.Second)), func() { s.request(e) })
	s.place(e, s.now+MaxPermitWait)
}

// place sends a request if the rate limit allows it; otherwise it waits for a permit, but
// not beyond the deadline.
func (s *rateLimitSim) place(e *simEntry, deadline time.Duration) {
	now := simClock(s.now)
	if e.stated.Limited && (!e.permits.Available(s.fallback(e), now) || !e.permits.Take(s.fallback(e), now)) {
		s.acquire(e)
		s.await(e, deadline)
		return
	}
	s.after(s.delay(), func() {
		if !s.connected(e.name, "server") {
			return
		}
		s.all = append(s.all, s.now)
		if e.passedOnAt > 0 && s.now-e.passedOnAt >= limitPassedOn {
			s.arrivals = append(s.arrivals, s.now)
		}
		limit := s.limitAt(s.now)
		if limit.Limited && s.firstStatedAt == 0 {
			s.firstStatedAt = s.now
		}
		s.on(e, s.delay()+upTo(s.random, 20*time.Millisecond), func() {
			if s.connected(e.name, "server") {
				if limit.Limited && e.passedOnAt == 0 {
					e.passedOnAt = s.now
				}
				s.observe(e, limit)
			}
		})
	})
}

// await waits for a permit until the deadline, if one may come by then.
func (s *rateLimitSim) await(e *simEntry, deadline time.Duration) {
	if s.now >= deadline || !e.permits.Expected(simClock(deadline)) {
		return
	}
	s.on(e, simRecheck, func() {
		s.acquire(e)
		if len(e.permits.grants) > 0 || s.now >= deadline {
			s.place(e, deadline)
			return
		}
		s.await(e, deadline)
	})
}

// exchange passes recent statements to some other instances, as peer updates and the
// control instances do.
func (s *rateLimitSim) exchange() {
	defer s.after(100*time.Millisecond, s.exchange)
	for _, e := range s.entries {
		for range 4 {
			other := s.entries[s.random.IntN(len(s.entries))]
			if e.down || s.now < e.frozenUntil || !s.connected(e.name, other.name) {
				continue
			}
			stated := e.stated
			s.on(other, s.delay(), func() { s.merge(other, stated) })
		}
	}
}

// injectFault makes a fault that ends by itself, and schedules the next one.
func (s *rateLimitSim) injectFault() {
	defer s.after(300*time.Millisecond+upTo(s.random, 2*time.Second), s.injectFault)
	e, lasts := s.entries[s.random.IntN(len(s.entries))], 300*time.Millisecond+upTo(s.random, 5*time.Second)
	if first, _ := s.firstIssuer(s.entries[0]); s.random.IntN(2) == 0 && first != "" {
		e = s.entries[slices.IndexFunc(s.entries, func(x *simEntry) bool { return x.name == first })]
	}
	if e.down || s.now < e.frozenUntil || e.drainedAt > 0 {
		return
	}
	sever := func(pairs ...[2]string) {
		for _, p := range pairs {
			s.cut[p] = true
		}
		s.after(lasts, func() {
			for _, p := range pairs {
				delete(s.cut, p)
			}
		})
	}
	switch s.random.IntN(7) {
	case 0: // killed and started again
		e.down = true
		s.after(lasts, func() { s.startEntry(e) })
	case 1: // stopped in an orderly way and started again
		e.accepting, e.drainedAt = false, s.now
		s.on(e, 3500*time.Millisecond, func() {
			e.down = true
			s.after(lasts, func() { s.startEntry(e) })
		})
	case 2:
		// The users excuse a frozen instance: it knows an old limit until the next
		// response. (One instance, seed 161: 6 requests at the end of a freeze during which
		// the limit fell to 0.)
		e.frozenUntil = s.now + lasts
		s.after(lasts, func() { e.passedOnAt = 0 })
	case 3: // cut off from all other processes of the system
		var pairs [][2]string
		for _, other := range s.entries {
			pairs = append(pairs, [2]string{e.name, other.name})
		}
		for c := range s.controls {
			pairs = append(pairs, [2]string{e.name, controlName(c)})
		}
		sever(pairs...)
	case 4: // cut off from some control instances
		var pairs [][2]string
		for c := range s.controls {
			if s.random.IntN(2) == 0 {
				pairs = append(pairs, [2]string{e.name, controlName(c)})
			}
		}
		sever(pairs...)
	case 5:
		sever([2]string{e.name, s.entries[s.random.IntN(len(s.entries))].name})
	case 6:
		c := s.random.IntN(len(s.controls))
		s.controls[c].down = true
		s.after(lasts, func() { s.controls[c] = &simControl{entries: make(map[string]*simListing)} })
	}
}

// checkIssuers fails if two instances issue permits at the same time.
func (s *rateLimitSim) checkIssuers(t *testing.T) {
	defer s.after(simTick, func() { s.checkIssuers(t) })
	issuing := 0
	for _, e := range s.entries {
		if e.down || s.now < e.frozenUntil || e.role.leadsSince.IsZero() {
			continue
		}
		_, leads := s.firstIssuer(e)
		role := e.role
		if role.Update(leads, simClock(s.now)) {
			issuing++
		}
	}
	s.issuers = max(s.issuers, issuing)
}

// limitSchedule returns limits that fall, rise, end and begin again.
func limitSchedule(random *rand.Rand, steady bool) func(at time.Duration) RateLimit {
	limits := []RateLimit{{}, {Limited: true, PerSecond: 2 + 30*random.Float64()}}
	begins := []time.Duration{0, 4 * time.Second}
	for at := begins[1]; !steady && at < simTime; {
		at += time.Second + upTo(random, 8*time.Second)
		next := RateLimit{Limited: true, PerSecond: limits[1].PerSecond * (0.1 + 2*random.Float64())}
		switch random.IntN(8) {
		case 0:
			next = RateLimit{}
		case 1:
			next.PerSecond = 0
		}
		limits, begins = append(limits, next), append(begins, at)
	}
	return func(at time.Duration) RateLimit {
		current := RateLimit{}
		for i, begin := range begins {
			if at >= begin {
				current = limits[i]
			}
		}
		return current
	}
}

// runRateLimitSim simulates a number of entry instances under a total demand in requests
// per second.
func runRateLimitSim(t *testing.T, seed uint64, instances int, demand float64, faults, steady bool) *rateLimitSim {
	s := &rateLimitSim{random: rand.New(rand.NewPCG(seed, uint64(instances))), cut: make(map[[2]string]bool)}
	s.events = priority.New(func(a, b simEvent) bool { return a.at < b.at || (a.at == b.at && a.sequence < b.sequence) })
	s.limitAt = limitSchedule(s.random, steady)
	for range 3 + 2*s.random.IntN(2) {
		s.controls = append(s.controls, &simControl{entries: make(map[string]*simListing)})
	}
	total := 0.0
	for i := range instances {
		e := &simEntry{name: fmt.Sprint("entry-", i), demand: s.random.ExpFloat64() + 0.01}
		s.entries, total = append(s.entries, e), total+e.demand
	}
	for _, e := range s.entries {
		e.demand *= demand / total
		s.startEntry(e)
	}
	s.exchange()
	s.checkIssuers(t)
	if faults {
		s.after(5*time.Second, s.injectFault)
	}
	for s.events.Len() > 0 {
		event := s.events.Pop()
		if event.at > simTime {
			break
		}
		s.now = event.at
		event.run()
	}
	return s
}

// allowed returns the requests that the users' bound allows in a window. A limit binds the
// instances that passed on a response with it limitPassedOn ago or earlier, so the
// highest of the limits since then counts.
func (s *rateLimitSim) allowed(from time.Duration) (bound float64, limited bool) {
	const step = 20 * time.Millisecond
	sum, limited := 0.0, true
	for at := from; at < from+limitWindow; at += step {
		highest := 0.0
		for _, l := range []RateLimit{s.limitAt(at), s.limitAt(at - limitPassedOn)} {
			limited = limited && l.Limited
			highest = max(highest, l.PerSecond)
		}
		sum += highest * step.Seconds()
	}
	return limitFactor*sum + limitSlack, limited
}

// requireBound checks the users' bound in every window.
func (s *rateLimitSim) requireBound(t *testing.T) {
	t.Helper()
	last := 0
	for first, from := range s.arrivals {
		for last < len(s.arrivals) && s.arrivals[last] < from+limitWindow {
			last++
		}
		if from < s.firstStatedAt+limitGrace {
			continue
		}
		bound, limited := s.allowed(from)
		if limited {
			require.LessOrEqual(t, float64(last-first), bound, "requests in 4 s from %v", from)
		}
	}
}

// limitSeeds returns the number of seeds to run and the first one: GALENA_LIMIT_SEEDS and
// GALENA_LIMIT_SEED replace the defaults.
func limitSeeds(t *testing.T, count int) (first uint64, seeds int) {
	first, seeds = 1, count
	if text := os.Getenv("GALENA_LIMIT_SEEDS"); text != "" {
		n, err := strconv.Atoi(text)
		require.NoError(t, err)
		seeds = n
	}
	if text := os.Getenv("GALENA_LIMIT_SEED"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
		first = n
	}
	return first, seeds
}

// TestRateLimitHoldsUnderFaults guards against instances that together send more than a
// server's rate limit allows: with uneven load, instances that are killed, stopped, frozen
// or cut off, control instances that are lost, and a limit that falls, rises, ends and
// begins again. At no time do two instances issue permits.
func TestRateLimitHoldsUnderFaults(t *testing.T) {
	t.Parallel()
	for instances, count := range map[int]int{1: 20, 5: 40, 9: 20, 300: 1} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			t.Parallel()
			first, seeds := limitSeeds(t, count)
			for seed := first; seed < first+uint64(seeds); seed++ {
				t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
					s := runRateLimitSim(t, seed, instances, 200, true, false)
					s.requireBound(t)
					require.LessOrEqual(t, s.issuers, 1, "instances that issue at the same time")
				})
			}
		})
	}
}

// TestRateLimitIsUsed guards against a limit that is kept by sending much less than the
// server takes, although clients ask for more.
func TestRateLimitIsUsed(t *testing.T) {
	t.Parallel()
	const minUsedShare = 0.9
	for _, instances := range []int{1, 5, 9, 300} {
		for _, demandFactor := range []float64{1.5, 10} {
			t.Run(fmt.Sprintf("%d instances, demand %.1f times the limit", instances, demandFactor), func(t *testing.T) {
				t.Parallel()
				random := rand.New(rand.NewPCG(7, uint64(instances)))
				limit := limitSchedule(random, true)(simTime).PerSecond
				s := runRateLimitSim(t, 7, instances, demandFactor*limit, false, true)
				from, used := 10*time.Second, 0
				for _, at := range s.all {
					if at >= from {
						used++
					}
				}
				limit = s.limitAt(simTime).PerSecond
				t.Logf("%d of %.0f used", used, limit*(simTime-from).Seconds())
				require.GreaterOrEqual(t, float64(used), minUsedShare*limit*(simTime-from).Seconds(), "limit %.1f a second", limit)
				s.requireBound(t)
			})
		}
	}
}
