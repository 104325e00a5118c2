package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/config/site"
	"github.com/galenaarch/galenaarch/placement"
	"github.com/galenaarch/galenaarch/upstream"
)

// Weights of what is learned of a server.
const (
	// learnRate is the weight of the newest request in a mean.
	learnRate = 0.1
	// firstRest is how long a server rests after a failure; it doubles with
	// each further one up to maxRest. A restart takes about a second.
	firstRest = 400 * time.Millisecond
	maxRest   = 4 * time.Second
	// restStreak is how many failures in a row rest a server that answers: one
	// may be an accident of its connection.
	restStreak = 3
	// shedRest follows a refusal of a full server, orderRest one of a server
	// that carries out an order: loads of weights take some 600 ms.
	shedRest  = 60 * time.Millisecond
	orderRest = 450 * time.Millisecond
	// reportLife is how long a server's own word on its load is worth more than
	// what this instance has sent there.
	reportLife = time.Second
	// silentLife is how long a server that control no longer hears of is used
	// because it answers this instance.
	silentLife = 2 * time.Second
)

// backend is one life of a backend server, as this instance knows it.
type backend struct {
	id, address, zone string
	born              int64
	service           *site.Service
	slots             int
	coldUntil         time.Time
	pool              *upstream.Pool

	inflight atomic.Int64
	// awaiting counts requests without a first byte, reading their tokens.
	awaiting atomic.Int64
	reading  atomic.Int64
	// later is what of reading belongs to prompts that are late anyway.
	later atomic.Int64
	// holding is the memory that this instance's requests take there; tokens.
	holding atomic.Int64
	// bringing is the expected time of this instance's transfers of kept context
	// to the server that are under way; nanoseconds.
	bringing atomic.Int64
	// heard is when the server last showed life to this instance, asked when
	// awaiting rose from 0; nanoseconds of Unix time.
	heard, asked atomic.Int64
	// silent is set while no control instance hears of the server.
	silent atomic.Bool
	// retired is set when the server must get no more requests.
	retired atomic.Bool

	mu   sync.Mutex
	mean time.Duration
	// size is the memory that a prompt usually takes there, ran how long it
	// usually holds it; tokens.
	size      float64
	ran       time.Duration
	failing   float64
	streak    int
	restUntil time.Time
	trial     bool
	others    float64
	reported  time.Time
	weights   map[string]uint64
}

func newBackend(a *fleetv1.Announcement, s *site.Service, connections int) *backend {
	b := &backend{
		id: a.Server, address: a.Address, zone: a.Zone, born: a.BornUnixMs, service: s, slots: int(a.Slots),
		coldUntil: time.UnixMilli(a.ColdUntilUnixMs), pool: upstream.NewPool(a.Address, connections), weights: make(map[string]uint64),
	}
	if b.slots == 0 && s.Engine != nil {
		b.slots = s.Engine.Slots
	}
	b.heard.Store(time.Now().UnixNano())
	return b
}

// learnWeights takes a server's word on its weights; versions only rise.
func (b *backend) learnWeights(model string, version uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.weights[model] = max(b.weights[model], version)
}

func (b *backend) weightVersion(model string) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.weights[model]
}

// lost reports whether neither control nor this instance hears of the server.
func (b *backend) lost(now time.Time) bool {
	return b.silent.Load() && now.Sub(time.Unix(0, b.heard.Load())) > silentLife
}

// silence is how long the server has said nothing although it was asked.
func (b *backend) silence(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, max(b.heard.Load(), b.asked.Load())))
}

// mute reports whether the server has shown no life since a time, for long enough
// that it cannot only be slow.
func (b *backend) mute(since, now time.Time) bool {
	return now.Sub(since) >= silentFor && b.heard.Load() < since.UnixNano()
}

// bringTime is how long the transfers under way to the server still take.
func (b *backend) bringTime() time.Duration { return time.Duration(b.bringing.Load()) }

// begin counts a request that is about to be sent, with the tokens that are to be
// read and the memory that it takes.
func (b *backend) begin(tokens, memory int, later bool, now time.Time) {
	b.inflight.Add(1)
	b.queue(later).Add(int64(tokens))
	b.holding.Add(int64(memory))
	if memory > 0 {
		b.mu.Lock()
		if b.size == 0 {
			b.size = float64(memory)
		}
		b.size += learnRate * (float64(memory) - b.size)
		b.mu.Unlock()
	}
	if b.awaiting.Add(1) == 1 {
		b.asked.Store(now.UnixNano())
	}
}

// queue is the count of tokens that are to be read, in time or later.
func (b *backend) queue(later bool) *atomic.Int64 {
	if later {
		return &b.later
	}
	return &b.reading
}

// firstByte counts a request whose answer has begun.
func (b *backend) firstByte(tokens int, later bool, now time.Time) {
	b.awaiting.Add(-1)
	b.queue(later).Add(int64(-tokens))
	b.heard.Store(now.UnixNano())
}

// end counts a request that is over and frees its memory; ran is how long it
// held it, 0 if it did not run.
func (b *backend) end(memory int, ran time.Duration) {
	b.inflight.Add(-1)
	if memory == 0 {
		return
	}
	b.holding.Add(int64(-memory))
	if ran == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ran == 0 {
		b.ran = ran
	}
	// What is free again when is decided by the large ones.
	weight := min(1, float64(memory)/max(1, b.size))
	b.ran += time.Duration(learnRate * weight * float64(ran-b.ran))
}

// report takes a server's word on its load.
func (b *backend) report(l *Load, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.others = max(0, float64(l.Running+l.Waiting)-float64(b.inflight.Load()))
	b.reported = now
}

// succeed counts an answer of the usual kind that took a time.
func (b *backend) succeed(took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.streak, b.trial = 0, false
	b.failing *= 1 - learnRate
	if b.mean == 0 {
		b.mean = took
	}
	b.mean += time.Duration(learnRate * float64(took-b.mean))
}

// fail counts a failure. hard ones show that the server is not there at all.
func (b *backend) fail(hard bool, now time.Time) (resting time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failing += learnRate * (1 - b.failing)
	b.streak++
	if !hard && b.streak < restStreak {
		return 0
	}
	rest := firstRest
	for i := 1; i < b.streak && rest < maxRest; i++ {
		rest *= 2
	}
	resting = min(rest, maxRest)
	b.restUntil = now.Add(resting)
	b.trial = true
	return resting
}

// shed counts a request that the server turned away unrun. A server with free
// places does so while it carries out an order, which takes a while; a full one
// has places again soon. Without the rest, every request would be offered there
// first, at the cost of a repeat each.
func (b *backend) shed(l *Load, now time.Time) (resting time.Duration) {
	resting = shedRest
	if l != nil && l.Running+l.Waiting < l.Slots {
		resting = orderRest
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if until := now.Add(resting); until.After(b.restUntil) {
		b.restUntil = until
	}
	return resting
}

// view is the server as a decision sees it.
func (b *backend) view(zone string, now time.Time) placement.Server {
	own := float64(b.inflight.Load())
	s := placement.Server{Near: b.zone == zone, Slots: b.slots, ReadingTokens: int(b.reading.Load()), LaterTokens: int(b.later.Load()), Cold: now.Before(b.coldUntil)}
	if b.awaiting.Load() > 0 {
		s.Silence = b.silence(now)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	others := b.others
	if age := now.Sub(b.reported); age > reportLife {
		others *= float64(reportLife) / float64(age)
	}
	total := own + others
	s.Running = min(total, float64(b.slots))
	s.Waiting = total - s.Running
	s.Mean, s.Failing = b.mean, b.failing
	if e := b.service.Engine; e != nil {
		// Others' requests there are known by their number only.
		s.MemoryTokens, s.RunTime = e.MemoryTokens, b.ran
		s.HeldTokens = int(b.holding.Load()) + int(others*b.size)
	}
	s.Resting, s.Trial = now.Before(b.restUntil), b.trial
	return s
}
