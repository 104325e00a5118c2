package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/placement"
)

// The users' bound on the servers that end in one time in which a service is brittle: two and a
// tenth of their number.
func allowedEnds(servers int) int { return 2 + servers/10 }

// Times of the simulated service.
const (
	brittleFrom  = 2 * time.Second
	brittleGrace = 3 * time.Second
	brittleUntil = 16 * time.Second
	brittleEnd   = 18 * time.Second
	// brittleLink is one way between an instance and a server, brittleShare the time until
	// an instance knows another one's load.
	brittleLink    = time.Millisecond
	brittleShare   = 10 * time.Millisecond
	brittleRestart = 3 * time.Second
	// brittleTries is the number of servers to which a request is sent.
	brittleTries = 3
	clientPause  = 50 * time.Millisecond
)

// brittleShape is a kind of service.
type brittleShape struct {
	servers, slots, queue int
	work                  time.Duration
	// load is the share of the servers' capacity that arrives, burst that for two of each
	// six seconds.
	load, burst float64
	// hold is how long a request waits at an instance.
	hold time.Duration
	// memory bounds the running requests below the slots; 0 for no bound.
	memory int
	// clients is the number of clients of all instances that send one request after another,
	// instead of load and burst; 0 for none. They pause for clientPause after a rejection.
	clients int
}

// brittleServer is a simulated server.
type brittleServer struct {
	name           string
	incarnation    int
	running        int
	waiting        []*brittleRequest
	rejected       []time.Duration
	down           bool
	ends, rejects  int
	smallQueue     int
	maxRejections  int
	inFlightCancel map[*brittleRequest]bool
}

// brittleRequest is one request.
type brittleRequest struct {
	instance *brittleInstance
	deadline time.Duration
	tried    map[int]bool
	// done is called with its outcome; nil for a request of no client.
	done func(served bool)
}

// brittleInstance is a simulated entry instance.
type brittleInstance struct {
	trackers   []BackendState
	lives      []int
	statements []StatedLimit
	service    BrittleService
	others     []map[int]Load
	queue      []*brittleRequest
	served     int
	lost       int
}

// brittleSim is one simulated service in virtual time.
type brittleSim struct {
	brittleShape
	now       time.Duration
	events    brittleEvents
	sequence  int
	rng       *rand.Rand
	policy    *Policy
	instances []*brittleInstance
	list      []*brittleServer
}

type brittleEvents []simEvent

func (e brittleEvents) Len() int { return len(e) }
func (e brittleEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].sequence < e[j].sequence)
}
func (e brittleEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *brittleEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *brittleEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (s *brittleSim) after(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, simEvent{at: s.now + d, sequence: s.sequence, run: run})
}

func (s *brittleSim) clock() time.Time { return start.Add(s.now) }

func (s *brittleSim) brittle() bool { return s.now >= brittleFrom && s.now < brittleUntil }

func newBrittleSim(shape brittleShape, instances int, seed uint64, policy *Policy) *brittleSim {
	s := &brittleSim{brittleShape: shape, rng: rand.New(rand.NewPCG(seed, 7)), policy: policy}
	for n := range shape.servers {
		s.list = append(s.list, &brittleServer{name: "s" + strconv.Itoa(n), smallQueue: s.rng.IntN(shape.queue/4 + 1), maxRejections: 2 + s.rng.IntN(10), inFlightCancel: make(map[*brittleRequest]bool)})
	}
	for range instances {
		e := &brittleInstance{trackers: make([]BackendState, shape.servers), lives: make([]int, shape.servers), statements: make([]StatedLimit, shape.servers)}
		for n := range e.trackers {
			e.trackers[n] = NewBackendState(BackendInfo{Slots: shape.slots}, s.clock())
			e.others = append(e.others, make(map[int]Load))
		}
		s.instances = append(s.instances, e)
		s.recheck(e)
		if shape.clients == 0 {
			s.arrive(e)
		}
	}
	for n := range shape.clients {
		s.client(s.instances[n%instances])
	}
	return s
}

// capacity returns the requests that the servers can serve in a second.
func (s *brittleSim) capacity() float64 {
	slots := s.slots
	if s.memory > 0 {
		slots = s.memory
	}
	return float64(s.servers*slots) / s.work.Seconds()
}

// client lets a client send a request within some ms, and another one once that has ended.
func (s *brittleSim) client(e *brittleInstance) {
	s.after(time.Duration(s.rng.ExpFloat64()*float64(time.Millisecond)), func() {
		r := &brittleRequest{deadline: s.now + s.hold, tried: make(map[int]bool), instance: e}
		r.done = func(served bool) {
			if served {
				s.client(e)
				return
			}
			s.after(clientPause, func() { s.client(e) })
		}
		if !s.place(e, r) {
			e.queue = append(e.queue, r)
		}
	})
}

// arrive lets requests arrive at an instance.
func (s *brittleSim) arrive(e *brittleInstance) {
	load := s.load
	if s.now%(6*time.Second) > 4*time.Second {
		load = s.burst
	}
	rate := s.capacity() * load / float64(len(s.instances))
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		r := &brittleRequest{instance: e, deadline: s.now + s.hold, tried: make(map[int]bool)}
		if !s.place(e, r) {
			e.queue = append(e.queue, r)
		}
		s.arrive(e)
	})
}

// recheck reconsiders the requests that wait at an instance, and shares its load.
func (s *brittleSim) recheck(e *brittleInstance) {
	s.after(40*time.Millisecond, func() {
		s.schedule(e)
		for n := range s.list {
			s.share(e, n)
		}
		s.recheck(e)
	})
}

func (s *brittleSim) schedule(e *brittleInstance) {
	failed := 0
	e.queue = slices.DeleteFunc(e.queue, func(r *brittleRequest) bool {
		if s.now > r.deadline {
			e.lose(r)
			return true
		}
		if failed >= maxFailedTries {
			return false
		}
		placed := s.place(e, r)
		if !placed {
			failed++
		}
		return placed
	})
}

// share sends the load of an instance at a server to the others.
func (s *brittleSim) share(e *brittleInstance, server int) {
	l, stated := e.trackers[server].SharedLoad(s.clock()), e.statements[server]
	from, life := slices.Index(s.instances, e), e.lives[server]
	s.after(brittleShare, func() {
		for _, other := range s.instances {
			if other != e {
				other.others[server][from] = l
				if other.lives[server] == life {
					other.statements[server].Merge(stated)
				}
			}
		}
	})
}

func (e *brittleInstance) othersLoad(server int) (l Load) {
	for _, other := range e.others[server] {
		l.Requests += other.Requests
		l.Rejections += other.Rejections
	}
	return l
}

// place decides on a request and reports whether it has left the instance's queue.
func (s *brittleSim) place(e *brittleInstance, r *brittleRequest) bool {
	now, stated := s.clock(), Brittleness{}
	for n := range e.statements {
		stated = StrictestOf(stated, e.statements[n].Brittleness)
	}
	e.service.Update(stated, now)
	brittleness := e.service.Brittleness
	c := &Candidates{Servers: make([]placement.Server, s.servers), Tried: func(i int) bool { return r.tried[i] }}
	for n := range s.list {
		e.trackers[n].View(&c.Servers[n], s.policy, e.othersLoad(n), "", now)
	}
	if s.policy.Enabled(BrittleRoom) && brittleness.Brittle {
		c.Full = func(i int) bool {
			return !e.trackers[i].HasRoom(brittleness, e.othersLoad(i), len(s.instances), s.rng.Float64(), now)
		}
	}
	d, _ := s.policy.Decide(placement.ExpectedTime{}, nil, func() *Candidates { return c }, &Request{}, s.rng.Float64())
	if d.Action != Send {
		return false
	}
	r.tried[d.Server] = true
	e.trackers[d.Server].Sent(Work{}, now)
	s.share(e, d.Server)
	server, life := s.list[d.Server], e.lives[d.Server]
	s.after(brittleLink, func() { s.receive(server, d.Server, r, life) })
	return true
}

// receive handles a request at a server.
func (s *brittleSim) receive(b *brittleServer, server int, r *brittleRequest, life int) {
	if b.down || life != b.incarnation {
		s.respond(b, server, r, life, false, true)
		return
	}
	queue, slots := s.queue, s.slots
	if s.now >= brittleFrom+brittleGrace && s.brittle() {
		queue = b.smallQueue
	}
	if s.memory > 0 {
		slots = s.memory
	}
	switch {
	case b.running < slots:
		s.run(b, server, r)
	case len(b.waiting) < queue:
		b.waiting = append(b.waiting, r)
	default:
		b.rejects++
		b.rejected = append(slices.DeleteFunc(b.rejected, func(at time.Duration) bool { return s.now-at >= time.Second }), s.now)
		s.respond(b, server, r, life, false, false)
		if s.brittle() && s.now >= brittleFrom+brittleGrace && len(b.rejected) > b.maxRejections {
			s.end(b, server)
		}
	}
}

func (s *brittleSim) run(b *brittleServer, server int, r *brittleRequest) {
	b.running++
	b.inFlightCancel[r] = true
	life := b.incarnation
	s.after(time.Duration((0.5+s.rng.Float64())*float64(s.work)), func() {
		if b.incarnation != life || b.down {
			return
		}
		b.running--
		delete(b.inFlightCancel, r)
		s.respond(b, server, r, life, true, false)
		if len(b.waiting) > 0 {
			next := b.waiting[0]
			b.waiting = b.waiting[1:]
			s.run(b, server, next)
		}
	})
}

// end ends a server, which is back as a new incarnation later.
func (s *brittleSim) end(b *brittleServer, server int) {
	b.ends++
	b.down = true
	for r := range b.inFlightCancel {
		s.respond(b, server, r, b.incarnation, false, true)
	}
	for _, r := range b.waiting {
		s.respond(b, server, r, b.incarnation, false, true)
	}
	clear(b.inFlightCancel)
	b.running, b.waiting, b.rejected = 0, nil, nil
	s.after(brittleRestart, func() {
		b.down = false
		b.incarnation++
		for _, e := range s.instances {
			e.trackers[server] = NewBackendState(BackendInfo{Slots: s.slots}, s.clock())
			e.lives[server], e.statements[server] = b.incarnation, StatedLimit{}
		}
	})
}

// respond lets an instance receive the outcome of a request.
func (s *brittleSim) respond(b *brittleServer, server int, r *brittleRequest, life int, served, broken bool) {
	report := Report{Running: b.running, Waiting: len(b.waiting), Slots: s.slots}
	stated := Brittleness{}
	if s.brittle() {
		stated = Brittleness{Brittle: true, MaxRejections: b.maxRejections}
	}
	s.after(brittleLink, func() {
		e := r.instance
		if e.lives[server] != life {
			s.retry(e, r, served)
			return
		}
		now, tracker := s.clock(), &e.trackers[server]
		tracker.StopAwaiting(Work{})
		tracker.ReleasedAt(Work{}, 0, now)
		switch {
		case broken:
			tracker.Failed(true, now)
		default:
			tracker.ApplyReport(report, e.othersLoad(server), now)
			e.statements[server].ObserveBrittleness(stated)
			if !served {
				tracker.Rejected(&report, now)
				if s.brittle() {
					tracker.RejectedForRoom(&report, now)
				}
			} else {
				tracker.Succeeded(s.work, now)
			}
		}
		s.share(e, server)
		s.retry(e, r, served)
		s.schedule(e)
	})
}

// retry queues a request again unless it was served.
func (s *brittleSim) retry(e *brittleInstance, r *brittleRequest, served bool) {
	if served {
		e.served++
		if r.done != nil {
			r.done(true)
		}
		return
	}
	if len(r.tried) >= brittleTries {
		e.lose(r)
		return
	}
	e.queue = append(e.queue, r)
}

// lose ends a request that was not served.
func (e *brittleInstance) lose(r *brittleRequest) {
	e.lost++
	if r.done != nil {
		r.done(false)
	}
}

// servedBetween returns the requests served in a part of the simulation; it is called once the
// simulation has ended.
func (s *brittleSim) servedBetween(from, until time.Duration) func() int {
	served := 0
	count := func(sign int) func() {
		return func() {
			for _, e := range s.instances {
				served += sign * e.served
			}
		}
	}
	s.after(from, count(-1))
	s.after(until, count(1))
	return func() int { return served }
}

func (s *brittleSim) simulate() (ends, rejects, served int) {
	for len(s.events) > 0 {
		event := heap.Pop(&s.events).(simEvent)
		if s.now = event.at; s.now > brittleEnd {
			break
		}
		event.run()
	}
	for _, b := range s.list {
		ends, rejects = ends+b.ends, rejects+b.rejects
	}
	for _, e := range s.instances {
		served += e.served
	}
	return ends, rejects, served
}

var brittleShapes = map[string]brittleShape{
	"plain, three":     {servers: 3, slots: 6, queue: 24, work: 40 * time.Millisecond, load: 0.5, burst: 1.3, hold: 150 * time.Millisecond},
	"plain, four full": {servers: 4, slots: 6, queue: 24, work: 60 * time.Millisecond, load: 1.1, burst: 2, hold: 150 * time.Millisecond},
	"engines, nine":    {servers: 9, slots: 64, queue: 192, work: 300 * time.Millisecond, load: 0.7, burst: 1.3, hold: 400 * time.Millisecond},
	"engines, memory":  {servers: 12, slots: 64, queue: 192, work: 500 * time.Millisecond, load: 0.8, burst: 1.3, hold: 400 * time.Millisecond, memory: 20},
	"many small":       {servers: 20, slots: 2, queue: 8, work: 50 * time.Millisecond, load: 0.8, burst: 1.5, hold: 150 * time.Millisecond},
}

// brittleSeeds returns the seeds to simulate: BRITTLE_SEED alone if it is set.
func brittleSeeds(t *testing.T) []uint64 {
	if text := os.Getenv("BRITTLE_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
		return []uint64{seed}
	}
	return []uint64{1, 2}
}

// TestBrittleServersSurvive guards against servers that end because instances send them more than
// they have room for, while they say that they survive few rejections.
func TestBrittleServersSurvive(t *testing.T) {
	for name, shape := range brittleShapes {
		for _, instances := range []int{1, 5, 9} {
			for _, seed := range brittleSeeds(t) {
				t.Run(fmt.Sprintf("%s, %d instances, seed %d", name, instances, seed), func(t *testing.T) {
					t.Parallel()
					ends, rejects, served := newBrittleSim(shape, instances, seed, &Policy{}).simulate()
					t.Logf("ends %d, rejections %d, served %d", ends, rejects, served)
					require.LessOrEqual(t, ends, allowedEnds(shape.servers))
				})
			}
		}
	}
}

// TestRoomOfBrittleServersIsUsed guards against instances that leave much of the room at brittle
// servers unused, because each of them tries by itself whether more fits than ran at a full server.
func TestRoomOfBrittleServersIsUsed(t *testing.T) {
	shape := brittleShape{servers: 3, slots: 6, memory: 4, queue: 16, work: 40 * time.Millisecond, hold: 50 * time.Millisecond, clients: 40}
	share := func(instances int, seed uint64) float64 {
		s := newBrittleSim(shape, instances, seed, &Policy{})
		for _, b := range s.list {
			b.smallQueue, b.maxRejections = 0, 4
		}
		served := s.servedBetween(brittleFrom+brittleGrace, brittleUntil)
		ends, rejects, _ := s.simulate()
		used := float64(served()) / s.capacity() / (brittleUntil - brittleFrom - brittleGrace).Seconds()
		t.Logf("%d instances, seed %d: ends %d, rejections %d, share of the capacity %.2f", instances, seed, ends, rejects, used)
		require.LessOrEqual(t, ends, allowedEnds(shape.servers))
		return used
	}
	for _, seed := range brittleSeeds(t) {
		one := share(1, seed)
		for _, instances := range []int{4, 9} {
			assert.Greater(t, share(instances, seed), 0.9*one, "%d instances, seed %d", instances, seed)
		}
	}
}

// TestSlotsReturnBesideRejectionsElsewhere guards against an instance that learned of too few slots
// and sends nothing for as long as other instances have rejections at the full server.
func TestSlotsReturnBesideRejectionsElsewhere(t *testing.T) {
	stated := Brittleness{Brittle: true, MaxRejections: 10}
	b := NewBackendState(BackendInfo{Slots: 8}, start)
	b.ApplyReport(Report{Running: 0, Waiting: 1, Slots: 8}, Load{Requests: 1}, start)
	others := Load{Requests: 4, Rejections: 1}
	hasRoom := func(at time.Duration) bool { return b.HasRoom(stated, others, 3, 0, start.Add(at)) }
	for at := time.Duration(0); at < 3*time.Second; at += 10 * time.Millisecond {
		require.False(t, hasRoom(at), "after %v: the others have four there, one slot is known", at)
	}
	for at := 3 * time.Second; at < 10*time.Second; at += 10 * time.Millisecond {
		require.False(t, hasRoom(at), "after %v: the fifth is what the others try", at)
	}
	others = Load{Requests: 3, Rejections: 1}
	require.True(t, hasRoom(10*time.Second), "the server has the four slots that the others used")
}
