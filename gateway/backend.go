package gateway

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/config/site"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/placement"
	"github.com/galenaarch/galenaarch/upstream"
)

// incarnation identifies one run of a backend server between two restarts.
type incarnation struct {
	server    string
	startedMs int64
}

// backend is one incarnation of a backend server, as seen by this instance.
type backend struct {
	incarnation
	address, zone string
	service       *site.Service
	software      dispatch.Software
	pool          *upstream.Pool
	// peer is the entry instance that the backend stands for; nil for a server.
	peer *forwardPeer
	// state is that of the service. Its lock guards tracker and weights, and those of the
	// service's other servers: a decision needs a consistent view of all of them.
	state *serviceState
	// retired is set when the server must get no more requests.
	retired atomic.Bool

	// homeHash is that of the server's name for the homes of shared parts; groupPosition is
	// its place in the order of placement.GroupRank as the bits of a float64 from 0 to 1,
	// and inCell is set if it is in this instance's cell. All three are for fleets with cells.
	homeHash      uint64
	groupPosition atomic.Uint64
	inCell        atomic.Bool
	// keeper is the instance that keeps the account of the server's work; nil for none.
	keeper atomic.Pointer[fleetv1.EntryInstance]

	tracker dispatch.BackendState
	weights map[string]uint64
	// brokenAt is when a connection to the server last broke or was refused, by
	// monotonic; 0 for never.
	brokenAt atomic.Int64
	// rateLimit is the rate limit of the incarnation; nil if it never stated one.
	rateLimit atomic.Pointer[serverLimit]
	// ignoredHeaders limits the log lines on headers of the server that cannot be parsed.
	ignoredHeaders headerLog
}

func newBackend(a *fleetv1.Announcement, s *site.Service, state *serviceState, connections int, now time.Time) *backend {
	announced := dispatch.BackendInfo{Zone: a.Zone, Slots: int(a.Slots), ColdUntil: time.UnixMilli(a.ColdUntilUnixMs)}
	if s.Engine != nil {
		announced.MemoryTokens = s.Engine.MemoryTokens
		if announced.Slots == 0 {
			announced.Slots = s.Engine.Slots
		}
	}
	return &backend{
		incarnation: incarnation{a.Server, a.BornUnixMs}, homeHash: placement.HomeHash(a.Server), address: a.Address, zone: a.Zone, service: s, software: dispatch.Software{Service: s.Name, Version: a.Software}, state: state,
		pool: upstream.NewPool(a.Address, connections), tracker: dispatch.NewBackendState(announced, now), weights: make(map[string]uint64),
	}
}

// mayHaveRestarted reports whether the server may have restarted under its ID with other
// software than it announced: that is known only once it has announced itself again. It is
// unsure for a time after a connection to the server broke, and while no control instance hears
// of it. The caller holds the state's lock.
func (b *backend) mayHaveRestarted(reannounced time.Duration, now time.Time) bool {
	return b.tracker.Unreported() || now.Sub(fromMonotonic(b.brokenAt.Load())) < reannounced || now.Sub(b.pool.LostAt()) < reannounced
}

// unreported reports whether no control instance hears of the server.
func (b *backend) unreported() bool {
	b.state.mu.Lock()
	defer b.state.mu.Unlock()
	return b.tracker.Unreported()
}

// runs returns the software of the server; it must not be modified.
func (b *backend) runs() *dispatch.Software { return &b.software }

// recordBroken records that a connection to the server broke or was refused.
func (b *backend) recordBroken(now time.Time) { b.brokenAt.Store(monotonic(now)) }

// update changes the tracked state of the server under the lock of the service's state,
// which all of its servers share.
func (b *backend) update(change func(*dispatch.BackendState)) {
	b.state.mu.Lock()
	defer b.state.mu.Unlock()
	change(&b.tracker)
}

// raiseWeightVersion records the weight version that a server reports; versions never
// decrease.
func (b *backend) raiseWeightVersion(model string, version uint64) {
	b.state.mu.Lock()
	defer b.state.mu.Unlock()
	b.weights[model] = max(b.weights[model], version)
}

// resetWeightVersion replaces a version that turned out to be wrong, unless another one was
// reported meanwhile.
func (b *backend) resetWeightVersion(model string, wrong, version uint64) {
	b.state.mu.Lock()
	defer b.state.mu.Unlock()
	if b.weights[model] == wrong {
		b.weights[model] = version
	}
}

// weightVersion returns the highest weight version that the server reported for a model;
// 0 if none.
func (b *backend) weightVersion(model string) uint64 {
	b.state.mu.Lock()
	defer b.state.mu.Unlock()
	return b.weights[model]
}

// leaving reports whether the server is to get no new requests because it is about to end.
func (b *backend) leaving() bool {
	b.state.mu.Lock()
	defer b.state.mu.Unlock()
	return b.tracker.Leaving()
}

// stalled reports whether the server has sent nothing for longer than the work of this
// instance should take.
func (b *backend) stalled(now time.Time) bool {
	b.state.mu.Lock()
	defer b.state.mu.Unlock()
	return b.tracker.Stalled(now, &b.state.prefill)
}

// unresponsive reports whether the server has sent nothing since the given time, for
// too long to be merely slow.
func (b *backend) unresponsive(since, now time.Time) bool {
	b.state.mu.Lock()
	defer b.state.mu.Unlock()
	return b.tracker.UnresponsiveSince(since, now, &b.state.prefill)
}

// recordFailure records a failure and returns the resulting cooldown.
func (b *backend) recordFailure(unreachable bool, now time.Time) (cooldown time.Duration) {
	b.update(func(tracker *dispatch.BackendState) { cooldown = tracker.Failed(unreachable, now) })
	return cooldown
}

// recordRejection records a request that the server rejected without running it, and
// returns the resulting cooldown.
func (b *backend) recordRejection(l *ServerLoad, now time.Time) (cooldown time.Duration) {
	b.update(func(tracker *dispatch.BackendState) { cooldown = tracker.Rejected((*dispatch.Report)(l), now) })
	return cooldown
}

// leavingServers are the incarnations that announced that they want no new work. They
// are remembered because, during planned maintenance, a control instance may report
// such a server as ready long afterwards, the site document may drop its service and
// add it again, and the server may reappear at another address.
//
// Invariant: a recorded incarnation stays until it is too old to still exist.
type leavingServers struct {
	mu sync.Mutex
	// since maps each incarnation to when this instance learned that it is leaving.
	since map[incarnation]time.Time
}

const (
	// leavingRetention is how long a leaving incarnation is remembered. Servers exit
	// within seconds, and control instances forget ended ones sooner.
	leavingRetention = 15 * time.Minute
	// maxLeavingServers limits the number of remembered incarnations.
	maxLeavingServers = 32768
)

// add records a leaving incarnation and reports whether it was added: it is not if it
// is already known or the set is full.
func (l *leavingServers) add(id incarnation, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.since[id]; known {
		return false
	}
	if len(l.since) >= maxLeavingServers {
		l.forget(now)
	}
	if len(l.since) >= maxLeavingServers {
		return false
	}
	if l.since == nil {
		l.since = make(map[incarnation]time.Time)
	}
	l.since[id] = now
	return true
}

func (l *leavingServers) contains(id incarnation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, known := l.since[id]
	return known
}

// removeOld forgets the incarnations older than leavingRetention.
func (l *leavingServers) removeOld(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(now)
}

// forget is removeOld for a caller that holds l.mu.
func (l *leavingServers) forget(now time.Time) {
	maps.DeleteFunc(l.since, func(_ incarnation, since time.Time) bool { return now.Sub(since) > leavingRetention })
}
