package kvcache

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// testEpoch is the start of virtual time.
var testEpoch = time.Unix(2_000_000, 0)

// storedBlock is a block in the model of a store.
type storedBlock struct {
	generation uint64
	sealed     bool
}

// storeModel models the guarantees of a store: an address consists of the
// incarnation and a generation that is never reused, and a free request needs a
// fencing number that is not below the highest seen.
type storeModel struct {
	incarnation   uint64
	generation    uint64
	fencingNumber uint64
	blocks        map[BlockKey]storedBlock
}

func (s *storeModel) restart() {
	s.incarnation++
	s.blocks = make(map[BlockKey]storedBlock)
	// The highest fencing number is not durable: after a restart the incarnation
	// rejects old free requests.
	s.fencingNumber = 0
}

// write writes a block completely: it is sealed now, unless it was before.
func (s *storeModel) write(k BlockKey, incarnation uint64) (Location, bool) {
	if incarnation != s.incarnation {
		return Location{}, false
	}
	b, ok := s.blocks[k]
	if !ok {
		s.generation++
		b = storedBlock{generation: s.generation, sealed: true}
		s.blocks[k] = b
	}
	return Location{Store: "store", Bytes: 1, Incarnation: s.incarnation, Generation: b.generation}, true
}

func (s *storeModel) has(k BlockKey, location Location) bool {
	b, ok := s.blocks[k]
	return ok && b.sealed && location.Incarnation == s.incarnation && location.Generation == b.generation
}

// reader holds a read lease, counted from when its lookup was sent.
type reader struct {
	key      BlockKey
	location Location
	leaseEnd time.Time
}

// writer is an exporter with a reservation, before or after its write.
type writer struct {
	key         BlockKey
	reservation Reservation
	incarnation uint64
	written     bool
	location    Location
}

// shardModel models two owners of one shard, a lease service, a store, and
// messages that are late or lost.
type shardModel struct {
	now            time.Time
	keys           []BlockKey
	store          *storeModel
	shards         [2]*Shard
	fencingNumbers [2]uint64
	// holder, leaseExpiry and lastFencingNumber are the state of the lease service;
	// holder is -1 before the first lease.
	holder            int
	leaseExpiry       time.Time
	lastFencingNumber uint64
	readers           []reader
	writers           []writer
	frees             []FreeRequest
	// listings holds the listings that were read and are not applied yet.
	listings []listing
	// Counters of the events that the schedule produced.
	freed, reads, published int
}

type listing struct {
	owner       int
	version     ShardVersion
	incarnation uint64
	list        []ListedBlock
}

const (
	leaseTerm = 6 * time.Second
	// renewInterval is the time between renewals of an owner that keeps its lease.
	renewInterval = 4 * time.Second
)

func newShardModel() *shardModel {
	m := &shardModel{now: testEpoch, keys: testKeys(3), holder: -1, store: &storeModel{incarnation: 1, blocks: make(map[BlockKey]storedBlock)}}
	for i := range m.shards {
		m.shards[i] = NewShard(NewAccessStats(testEpoch), testEpoch)
	}
	return m
}

func pickIndex[T any](t *rapid.T, name string, list []T) int {
	return rapid.IntRange(0, len(list)-1).Draw(t, name)
}

func (m *shardModel) key(t *rapid.T) BlockKey { return m.keys[pickIndex(t, "key", m.keys)] }

func drawOwner(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "owner") }

// actions returns the steps of a schedule.
func (m *shardModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"time passes": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
		},
		"keep lease": func(t *rapid.T) {
			// A read lease lasts longer than the owner's lease, so only an owner that
			// renews reaches its end.
			owner, limit := drawOwner(t), m.now.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "ninths"))*ReadLeaseTTL/9)
			for m.now.Before(limit) {
				m.now = m.now.Add(renewInterval)
				m.lease(owner)
			}
		},
		"lease":         func(t *rapid.T) { m.lease(drawOwner(t)) },
		"list store":    func(t *rapid.T) { m.list(drawOwner(t)) },
		"apply listing": m.applyListing,
		"find copies":   m.findCopies,
		"read":          m.read,
		"reserve": func(t *rapid.T) {
			owner, k := drawOwner(t), m.key(t)
			r, err := m.shards[owner].Reserve([]BlockKey{k}, "store", 1, m.now)
			if err == nil && len(r.Indexes) > 0 {
				m.writers = append(m.writers, writer{key: k, reservation: r, incarnation: m.store.incarnation})
			}
		},
		"write": m.write,
		"seal":  m.seal,
		"begin free": func(t *rapid.T) {
			if request, ok := m.shards[drawOwner(t)].BeginFree(m.key(t), "store", m.now); ok {
				m.frees = append(m.frees, request)
			}
		},
		"free":          m.free,
		"restart store": func(*rapid.T) { m.store.restart() },
		"missing copy": func(t *rapid.T) {
			if len(m.readers) == 0 {
				t.Skip("no reader")
			}
			r := m.readers[pickIndex(t, "reader", m.readers)]
			if !m.store.has(r.key, r.location) {
				m.shards[drawOwner(t)].ReportMissing(r.key, r.location)
			}
		},
		"store restart observed": func(t *rapid.T) { m.shards[drawOwner(t)].HandleStoreRestart("store", m.store.incarnation) },
	}
}

// lease renews or acquires an owner's lease, if the lease service grants it.
func (m *shardModel) lease(owner int) {
	live := m.holder >= 0 && m.now.Before(m.leaseExpiry)
	if live && m.holder != owner {
		return
	}
	if !live || m.fencingNumbers[owner] != m.lastFencingNumber {
		m.lastFencingNumber++
		m.fencingNumbers[owner] = m.lastFencingNumber
	}
	m.holder, m.leaseExpiry = owner, m.now.Add(leaseTerm)
	m.shards[owner].ApplyLease(m.fencingNumbers[owner], m.leaseExpiry, m.now)
}

// list reads the store under the owner's fencing number.
func (m *shardModel) list(owner int) {
	number, err := m.shards[owner].FencingNumber(m.now)
	if err != nil || number < m.store.fencingNumber {
		return
	}
	l := listing{owner: owner, version: m.shards[owner].Version(), incarnation: m.store.incarnation}
	m.store.fencingNumber = number
	for k, b := range m.store.blocks {
		l.list = append(l.list, ListedBlock{Key: k, Bytes: 1, Generation: b.generation})
	}
	m.listings = append(m.listings, l)
}

func (m *shardModel) applyListing(t *rapid.T) {
	if len(m.listings) == 0 {
		t.Skip("no listing")
	}
	i := pickIndex(t, "listing", m.listings)
	l := m.listings[i]
	m.listings = append(m.listings[:i], m.listings[i+1:]...)
	_ = m.shards[l.owner].ApplyListing(l.version, "store", l.incarnation, l.list, m.now) // it may no longer be the owner
}

// findCopies sends a lookup. The reader counts its lease from before the owner
// grants it.
func (m *shardModel) findCopies(t *rapid.T) {
	sent := m.now
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "latency")) * time.Millisecond)
	owner, k := drawOwner(t), m.key(t)
	found, err := m.shards[owner].Lookup(&LookupRequest{Keys: []BlockKey{k}}, m.now)
	if err != nil {
		return
	}
	for _, locations := range found.Copies {
		for _, location := range locations {
			m.readers = append(m.readers, reader{key: k, location: location, leaseEnd: sent.Add(ReadLeaseTTL)})
		}
	}
}

// read reads at an address. The store answers only with a sealed block, because
// it checks the address, and under a live lease no block may be missing because
// it was freed on request.
func (m *shardModel) read(t *rapid.T) {
	if len(m.readers) == 0 {
		t.Skip("no reader")
	}
	i := pickIndex(t, "reader", m.readers)
	r := m.readers[i]
	if !m.now.Before(r.leaseEnd) {
		m.readers = append(m.readers[:i], m.readers[i+1:]...)
		return
	}
	m.reads++
	if r.location.Incarnation != m.store.incarnation {
		require.False(t, m.store.has(r.key, r.location), "the store returned a copy of an earlier incarnation")
		return
	}
	require.True(t, m.store.has(r.key, r.location), "a reader with a live lease found its block freed or unsealed")
}

func (m *shardModel) write(t *rapid.T) {
	if len(m.writers) == 0 {
		t.Skip("no writer")
	}
	w := &m.writers[pickIndex(t, "writer", m.writers)]
	if location, ok := m.store.write(w.key, w.incarnation); ok {
		w.written, w.location = true, location
	}
}

// seal publishes at either owner, possibly long after the write.
func (m *shardModel) seal(t *rapid.T) {
	if len(m.writers) == 0 {
		t.Skip("no writer")
	}
	i := pickIndex(t, "writer", m.writers)
	w := m.writers[i]
	if !w.written {
		return
	}
	if m.shards[drawOwner(t)].Seal(w.key, w.location, w.reservation, m.now) == nil {
		m.published++
	}
	if rapid.Bool().Draw(t, "repeated") {
		return
	}
	m.writers = append(m.writers[:i], m.writers[i+1:]...)
}

// free delivers a free request to the store, late and possibly more than once.
func (m *shardModel) free(t *rapid.T) {
	if len(m.frees) == 0 {
		t.Skip("no free request")
	}
	i := pickIndex(t, "free request", m.frees)
	request := m.frees[i]
	if request.FencingNumber < m.store.fencingNumber {
		return
	}
	m.store.fencingNumber = request.FencingNumber
	if m.store.has(request.Key, request.Location) {
		delete(m.store.blocks, request.Key)
		m.freed++
		for _, r := range m.readers {
			live := m.now.Before(r.leaseEnd) && r.key == request.Key && r.location.sameAddress(request.Location)
			require.False(t, live, "a block was freed under a live lease")
		}
	}
	if rapid.Bool().Draw(t, "confirmed") {
		for _, s := range m.shards {
			s.CompleteFree(request)
		}
		m.frees = append(m.frees[:i], m.frees[i+1:]...)
	}
}

// check verifies that every published block is sealed in the store, unless the store
// has restarted since.
func (m *shardModel) check(t *rapid.T) {
	for _, s := range m.shards {
		number, err := s.FencingNumber(m.now)
		if err != nil || number != m.lastFencingNumber || number < m.store.fencingNumber {
			continue
		}
		s.mu.Lock()
		for k, b := range s.blocks {
			for _, location := range s.locations(b) {
				if location.Incarnation == m.store.incarnation {
					require.True(t, m.store.has(k, location), "a published block is not sealed in its store")
				}
			}
		}
		s.mu.Unlock()
	}
}

// TestNoReadOfFreedOrUnsealedBlocks runs random schedules of owners, readers,
// writers, late free requests and store restarts. It guards against a read that
// returns a freed or an unsealed block, which happens if a block is freed under
// a live lease or published without a valid reservation.
func TestNoReadOfFreedOrUnsealedBlocks(t *testing.T) {
	var freed, reads, published int
	rapid.Check(t, func(t *rapid.T) {
		m := newShardModel()
		actions := m.actions()
		actions[""] = m.check
		t.Repeat(actions)
		freed += m.freed
		reads += m.reads
		published += m.published
	})
	require.Positive(t, freed, "no schedule freed a block")
	require.Positive(t, reads, "no schedule read a block")
	require.Positive(t, published, "no schedule published a block")
}
