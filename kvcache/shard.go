package kvcache

import (
	"errors"
	"sync"
	"time"
)

// Durations and bounds in the lifecycle of stored copies.
const (
	// ReadLeaseTTL is how long a reader may read the copies that a lookup returned.
	// The reader counts it from when it sent the lookup. It must exceed the wait in
	// an engine's queue, because the copies are read after that wait.
	ReadLeaseTTL = 10 * time.Second
	// ReservationTTL is how long a reservation is valid.
	ReservationTTL = 30 * time.Second
	// freeRetryInterval is the time after which a free request without a known
	// outcome is sent again.
	freeRetryInterval = 5 * time.Second
	// maxCopies is the maximum number of stores that hold a block.
	maxCopies = 2
	// maxGhosts bounds the ghost entries of a shard: blocks with neither a copy nor a
	// reservation whose access record is still remembered.
	maxGhosts = 1 << 15
)

// Errors of a shard.
var (
	// ErrNotOwner reports that this instance holds no valid lease on the shard.
	ErrNotOwner = errors.New("this instance holds no valid lease on the shard")
	// ErrNoReservation reports that a block was to be sealed without a valid
	// reservation.
	ErrNoReservation = errors.New("no matching reservation")
)

// Location identifies a sealed copy of a block in a store.
type Location struct {
	Store string
	Bytes int64
	// Incarnation is that of the store, Generation numbers the copies within an
	// incarnation. Together with the store's name they form an address that is never
	// reused.
	Incarnation uint64
	Generation  uint64
}

// copyState is the state of a copy in its lifecycle: reserved, sealed, freeing.
// copyNone means that there is no copy. Readers hold leases on sealed copies
// only.
type copyState uint8

const (
	copyNone copyState = iota
	// copyReserved: the slot is reserved and an exporter may write.
	copyReserved
	// copySealed: completely written to the store, and published.
	copySealed
	// copyFreeing: a free request was made and its outcome is unknown.
	copyFreeing
)

// copyRecord is one copy of a block.
type copyRecord struct {
	// id is the generation of a sealed copy, or the number of the reservation.
	id uint64
	// expiresAt is when a reservation expires or a free request is due for a
	// retry; relative to the shard's epoch.
	expiresAt time.Duration
	store     uint8
	state     copyState
}

// blockEntry is a shard's record of a block.
type blockEntry struct {
	copies [maxCopies]copyRecord
	// leaseEnd is when the last read lease ends; relative to the shard's epoch.
	leaseEnd time.Duration
	access   AccessRecord
	bytes    uint32
}

// Shard is a part of the catalogue: the stored blocks of all contexts whose
// first block maps to it. It has at most one owner at a time, under a lease with
// a fencing number. It does no I/O.
type Shard struct {
	mu sync.Mutex
	// epoch is the zero of the times that the shard stores as durations.
	epoch time.Time
	// fencingNumber is that of the lease, which is valid until leaseExpiry.
	fencingNumber uint64
	leaseExpiry   time.Time
	// freeNotBefore is the time by which all read leases granted by earlier owners
	// have ended; no block is freed before it.
	freeNotBefore time.Time
	blocks        map[BlockKey]*blockEntry
	// ghosts counts the blocks with neither a copy nor a reservation. Only their access
	// record is kept, and at most maxGhosts of them.
	ghosts int
	// stores lists the store names; a copy refers to its store by index.
	// incarnations[i] is the last known incarnation of stores[i], 0 if unknown.
	stores          []string
	incarnations    []uint64
	lastReservation uint64
	// freeOps counts the free requests made and completed. A listing that was read
	// before such a change is outdated.
	freeOps uint64
	stats   *AccessStats
}

// NewShard returns a shard without an owner. The shards of an instance share
// their access statistics.
func NewShard(stats *AccessStats, epoch time.Time) *Shard {
	return &Shard{epoch: epoch, blocks: make(map[BlockKey]*blockEntry), stats: stats}
}

func (s *Shard) sinceEpoch(now time.Time) time.Duration { return now.Sub(s.epoch) }

// ApplyLease applies a lease that was acquired or renewed. The caller counts expiry
// from when it sent the request. With a new fencing number the shard is empty until
// the stores are listed.
func (s *Shard) ApplyLease(fencingNumber uint64, expiry, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fencingNumber != s.fencingNumber {
		s.fencingNumber = fencingNumber
		s.blocks = make(map[BlockKey]*blockEntry)
		s.ghosts = 0
		s.stores, s.incarnations = nil, nil
		// Invariant: no block is freed while a reader may hold a lease from an
		// earlier owner, whose last grant was before this lease began.
		s.freeNotBefore = now.Add(ReadLeaseTTL)
	}
	s.leaseExpiry = expiry
}

// Resign ends the ownership: until the next lease every method that needs it fails.
func (s *Shard) Resign() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseExpiry = time.Time{}
}

// FencingNumber returns the fencing number of the current lease, with ErrNotOwner
// if the lease is not valid.
func (s *Shard) FencingNumber(now time.Time) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fencingNumber, s.checkLease(now)
}

// checkLease returns ErrNotOwner if the lease is not valid.
func (s *Shard) checkLease(now time.Time) error {
	if !now.Before(s.leaseExpiry) {
		return ErrNotOwner
	}
	return nil
}

// LookupRequest asks for the stored copies of a context's blocks.
type LookupRequest struct {
	Keys          []BlockKey
	ClientAccount string
	// Class groups accesses with similar reuse behavior.
	Class string
	// Weight is the relative value of time saved for the class.
	Weight float64
	// Repeated marks a further lookup for the same request, which does not count as
	// an access.
	Repeated bool
}

// LookupResult is the result of a lookup.
type LookupResult struct {
	// Copies lists the sealed copies of each leading block, up to the last block
	// that has one.
	Copies [][]Location
	// Access is the access record of the context's first block, from which the value
	// of retaining the context is computed.
	Access AccessRecord
}

// Lookup looks up the copies of a context's blocks, grants the reader a lease of
// ReadLeaseTTL on them and records the access. The error is ErrNotOwner.
func (s *Shard) Lookup(request *LookupRequest, now time.Time) (LookupResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkLease(now); err != nil {
		return LookupResult{}, err
	}
	elapsed := s.sinceEpoch(now)
	result := LookupResult{Copies: make([][]Location, 0, len(request.Keys))}
	end := 0
	for i, k := range request.Keys {
		b := s.getOrCreate(k, i)
		if !request.Repeated {
			s.stats.recordAccess(&b.access, request, i == 0, now)
		}
		result.Copies = append(result.Copies, s.locations(b))
		if len(result.Copies[i]) > 0 {
			// Invariant: a reader holds a lease on every copy returned to it.
			b.leaseEnd = max(b.leaseEnd, elapsed+ReadLeaseTTL)
			end = i + 1
		}
	}
	result.Copies = result.Copies[:end]
	if len(request.Keys) > 0 {
		result.Access = s.blocks[request.Keys[0]].access
	}
	return result, nil
}

// getOrCreate returns the entry of a block, and creates it if there is none.
func (s *Shard) getOrCreate(k BlockKey, depth int) *blockEntry {
	b, ok := s.blocks[k]
	if !ok {
		s.evictGhosts()
		b = &blockEntry{access: AccessRecord{depth: uint16(min(depth, 1<<16-1))}}
		s.blocks[k] = b
		s.ghosts++
	}
	return b
}

// evictGhosts removes ghost entries, down to half of the bound, once the bound
// is reached.
func (s *Shard) evictGhosts() {
	if s.ghosts < maxGhosts {
		return
	}
	for k, b := range s.blocks {
		if b.isGhost() {
			delete(s.blocks, k)
			s.ghosts--
		}
		if s.ghosts < maxGhosts/2 {
			return
		}
	}
}

// isGhost reports whether the block has neither a copy nor a reservation.
func (b *blockEntry) isGhost() bool {
	for _, c := range b.copies {
		if c.state != copyNone {
			return false
		}
	}
	return true
}

// updateCopy replaces a copy's record and maintains the number of ghost entries.
func (s *Shard) updateCopy(b *blockEntry, c *copyRecord, next copyRecord) {
	wasGhost := b.isGhost()
	*c = next
	isGhost := b.isGhost()
	switch {
	case wasGhost && !isGhost:
		s.ghosts--
	case !wasGhost && isGhost:
		s.ghosts++
	}
}

// locations returns the sealed copies of a block.
func (s *Shard) locations(b *blockEntry) []Location {
	var list []Location
	for i := range b.copies {
		if c := &b.copies[i]; c.state == copySealed {
			list = append(list, s.location(b, c))
		}
	}
	return list
}

func (s *Shard) location(b *blockEntry, c *copyRecord) Location {
	return Location{
		Store: s.stores[c.store], Bytes: int64(b.bytes), Incarnation: s.incarnations[c.store], Generation: c.id,
	}
}

// storeIndexFor returns a store's index, and adds the store if it is unknown.
func (s *Shard) storeIndexFor(name string) uint8 {
	for i, known := range s.stores {
		if known == name {
			return uint8(i)
		}
	}
	s.stores = append(s.stores, name)
	s.incarnations = append(s.incarnations, 0)
	return uint8(len(s.stores) - 1)
}
