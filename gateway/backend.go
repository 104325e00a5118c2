package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/config/site"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/upstream"
)

// life names one life of a backend server.
type life struct {
	server string
	born   int64
}

// backend is one life of a backend server, as this instance knows it.
type backend struct {
	life
	address, zone string
	service       *site.Service
	pool          *upstream.Pool
	// room guards what is believed, with all that is believed of the service's
	// other servers: a decision needs one picture of them.
	room *room
	// retired is set when the server must get no more requests.
	retired atomic.Bool

	belief  dispatch.Belief
	weights map[string]uint64
}

func newBackend(a *fleetv1.Announcement, s *site.Service, r *room, connections int, now time.Time) *backend {
	announced := dispatch.Server{Zone: a.Zone, Slots: int(a.Slots), ColdUntil: time.UnixMilli(a.ColdUntilUnixMs)}
	if s.Engine != nil {
		announced.MemoryTokens = s.Engine.MemoryTokens
		if announced.Slots == 0 {
			announced.Slots = s.Engine.Slots
		}
	}
	return &backend{
		life: life{a.Server, a.BornUnixMs}, address: a.Address, zone: a.Zone, service: s, room: r,
		pool: upstream.NewPool(a.Address, connections), belief: dispatch.NewBelief(announced, now), weights: make(map[string]uint64),
	}
}

// news changes what is believed of the server.
func (b *backend) news(tell func(*dispatch.Belief)) {
	b.room.mu.Lock()
	defer b.room.mu.Unlock()
	tell(&b.belief)
}

// learnWeights takes a server's word on its weights; versions only rise.
func (b *backend) learnWeights(model string, version uint64) {
	b.room.mu.Lock()
	defer b.room.mu.Unlock()
	b.weights[model] = max(b.weights[model], version)
}

func (b *backend) weightVersion(model string) uint64 {
	b.room.mu.Lock()
	defer b.room.mu.Unlock()
	return b.weights[model]
}

// stuck reports whether the server has said nothing since it was asked, for longer
// than it can take it.
func (b *backend) stuck(now time.Time) bool {
	b.room.mu.Lock()
	defer b.room.mu.Unlock()
	return b.belief.Stuck(now, &b.room.reader)
}

// mute reports whether the server has shown no life since a time, for long enough
// that it cannot only be slow.
func (b *backend) mute(since, now time.Time) bool {
	b.room.mu.Lock()
	defer b.room.mu.Unlock()
	return b.belief.Mute(since, now, &b.room.reader)
}

// fail counts a failure; see dispatch.Belief.Failed.
func (b *backend) fail(hard bool, now time.Time) (resting time.Duration) {
	b.news(func(belief *dispatch.Belief) { resting = belief.Failed(hard, now) })
	return resting
}

// shed counts a request that the server turned away unrun.
func (b *backend) shed(l *Load, now time.Time) (resting time.Duration) {
	b.news(func(belief *dispatch.Belief) { resting = belief.Shed((*dispatch.Report)(l), now) })
	return resting
}

// leavers are the lives of servers that said they leave. It answers planned work on
// servers: control may call one ready long after, the document may drop its service
// and name it again, and it may be heard of at another address.
//
// Invariant: a life that is noted stays so until it is forgotten as too old to be
// still there.
type leavers struct {
	mu    sync.Mutex
	since map[life]time.Time
}

const (
	// leaverKept is how long a leaving life is remembered; servers leave within
	// seconds, and control forgets ended ones sooner.
	leaverKept = 15 * time.Minute
	// mostLeavers bounds what is remembered.
	mostLeavers = 32768
	// toldLeaverFor is how long others are told of a leaving life: a process that
	// starts meanwhile hears of it too.
	toldLeaverFor = time.Minute
)

// add notes that a life leaves and reports whether that is new.
func (l *leavers) add(who life, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.since[who]; known || len(l.since) >= mostLeavers {
		return false
	}
	if l.since == nil {
		l.since = make(map[life]time.Time)
	}
	l.since[who] = now
	return true
}

func (l *leavers) has(who life) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, known := l.since[who]
	return known
}

// told lists the lives that others are to be told of.
func (l *leavers) told(now time.Time) []*fleetv1.ServerLife {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []*fleetv1.ServerLife
	for who, since := range l.since {
		switch age := now.Sub(since); {
		case age > leaverKept:
			delete(l.since, who)
		case age < toldLeaverFor:
			list = append(list, &fleetv1.ServerLife{Server: who.server, BornUnixMs: who.born})
		}
	}
	return list
}
