package catalogue

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/galenaarch/galenaarch/api/cachev1"
	"github.com/galenaarch/galenaarch/kvcache"
)

const (
	// minValueRatio is the minimum ratio of a context's value to that of the blocks
	// freed for it, since replacing blocks has a cost too.
	minValueRatio = 1.2
	// duplicateValueFactor scales the value of a copy if another store holds a sealed
	// copy of the same block.
	duplicateValueFactor = 0.1
	// secondCopyMinFree is the fraction of a store that must be free for a second
	// copy.
	secondCopyMinFree = 0.5
	// secondCopyMinAccesses is the number of accesses before a second copy is made.
	secondCopyMinAccesses = 2
	// fairShareFactor is the multiple of an equal share of a store that a client
	// account may occupy before the value of its blocks is lowered.
	fairShareFactor = 2.0
	// maxConcurrentFrees bounds the concurrent free requests.
	maxConcurrentFrees = 8
	// reservationTimeout is when a reservation that was never sealed stops counting
	// towards a store's reserved bytes.
	reservationTimeout = kvcache.ReservationTTL
)

// victim is a candidate for freeing: a sealed copy with its value per byte.
type victim struct {
	key   kvcache.BlockKey
	shard int
	depth int
	bytes int64
	value float64
}

// reserve reserves space for a context's blocks in one store. If there is too
// little, it first frees less valuable blocks.
func (c *Catalogue) reserve(ctx context.Context, keys []kvcache.BlockKey, r *cachev1.ReserveRequest) *cachev1.ReserveResponse {
	now := time.Now()
	shard := ShardOf(keys[0])
	coverage, err := c.shards[shard].Coverage(keys, now)
	if err != nil {
		return &cachev1.ReserveResponse{}
	}
	store, secondCopy, ok := c.chooseStore(coverage, r.Stores)
	if !ok {
		return &cachev1.ReserveResponse{Owner: true}
	}
	if len(coverage.Missing) == 0 && !secondCopy {
		return &cachev1.ReserveResponse{Owner: true, Complete: true}
	}
	blocks := coverage.Missing
	if secondCopy {
		blocks = coverage.SingleCopy
	}
	need := int64(len(blocks)) * r.BlockBytes
	if deficit := need - store.freeBytes(); deficit > 0 && !secondCopy {
		value := c.RetentionPolicy.Value(c.stats, &coverage.Access, now)
		c.makeRoom(ctx, store.Name, deficit, value, now)
		store, _ = c.stores.get(store.Name)
	}
	maxBlocks := int(max(0, store.freeBytes()) / max(1, r.BlockBytes))
	blocks = blocks[:min(len(blocks), maxBlocks)]
	if len(blocks) == 0 {
		return &cachev1.ReserveResponse{Owner: true}
	}
	return c.grant(shard, keys, blocks, store, r.BlockBytes, now)
}

// grant reserves the blocks with the given indexes in a store.
func (c *Catalogue) grant(shard int, keys []kvcache.BlockKey, blocks []int, store storeState, blockBytes int64, now time.Time) *cachev1.ReserveResponse {
	chosen := make([]kvcache.BlockKey, len(blocks))
	for i, index := range blocks {
		chosen[i] = keys[index]
	}
	granted, err := c.shards[shard].Reserve(chosen, store.Name, blockBytes, now)
	if err != nil {
		return &cachev1.ReserveResponse{}
	}
	response := &cachev1.ReserveResponse{
		Owner: true, Store: store.Name, FencingNumber: granted.FencingNumber, Number: granted.Number, Scope: c.scope(shard),
	}
	for _, i := range granted.Indexes {
		response.Indexes = append(response.Indexes, uint32(blocks[i]))
		response.Notes = append(response.Notes, c.shards[shard].Metadata(chosen[i]).String())
	}
	c.trackReservation(shard, granted.Number, store.Name, int64(len(granted.Indexes))*blockBytes)
	return response
}

// reservationKey identifies a reservation in this entry's shards.
type reservationKey struct {
	shard  int
	number uint64
}

// trackReservation adds a reservation's bytes to the store's reserved bytes until the
// reservation is sealed or times out.
func (c *Catalogue) trackReservation(shard int, number uint64, store string, bytes int64) {
	c.stores.reserve(store, bytes)
	key := reservationKey{shard, number}
	end := sync.OnceFunc(func() {
		c.reservations.Delete(key)
		c.stores.reserve(store, -bytes)
	})
	c.reservations.Store(key, end)
	time.AfterFunc(reservationTimeout, end)
}

// endReservation subtracts a reservation's bytes from the store's reserved bytes.
func (c *Catalogue) endReservation(shard int, number uint64) {
	if end, ok := c.reservations.Load(reservationKey{shard, number}); ok {
		end.(func())()
	}
}

// chooseStore returns the store for a context: the one with most of its copies, else
// the one with the most free space. A context that is complete in one store gets a
// second copy if it is accessed often enough and another store has enough free space.
// ok is false if no store can be used; with nothing left to store, the zero store is
// returned.
func (c *Catalogue) chooseStore(coverage kvcache.Coverage, allowed []string) (store storeState, secondCopy, ok bool) {
	var primary *storeState
	var emptiest *storeState
	for _, s := range c.stores.reachable() {
		if !slices.Contains(allowed, s.Name) {
			continue
		}
		if l := c.Links.Get(s.Name); l == nil || l.State(time.Now()).Down {
			continue
		}
		if s.Name == coverage.PrimaryStore {
			primary = &s
			continue
		}
		if emptiest == nil || s.freeBytes() > emptiest.freeBytes() {
			emptiest = &s
		}
	}
	switch {
	case coverage.PrimaryStore != "" && len(coverage.Missing) == 0 && len(coverage.SingleCopy) > 0 && emptiest != nil &&
		coverage.Access.Accesses() >= secondCopyMinAccesses && float64(emptiest.freeBytes()) > secondCopyMinFree*float64(emptiest.CapacityBytes):
		return *emptiest, true, true
	case primary != nil && len(coverage.Missing) > 0:
		return *primary, false, true
	case emptiest != nil && len(coverage.Missing) > 0:
		return *emptiest, false, true
	}
	return storeState{}, false, coverage.PrimaryStore != "" && len(coverage.Missing) == 0
}

// makeRoom frees blocks of a store that are worth less than the incoming context.
// The remaining deficit becomes a bid to the other entries.
func (c *Catalogue) makeRoom(ctx context.Context, store string, bytes int64, value float64, now time.Time) {
	freed := c.freeBelow(ctx, store, bytes, value/minValueRatio, now)
	if freed < bytes {
		c.bids.record(store, value, bytes-freed, now)
	}
}

// freeBelow frees copies in a store whose value is below a limit, least valuable
// first, until the free requests cover the given number of bytes. It returns the
// number of bytes that the store has confirmed as freed.
func (c *Catalogue) freeBelow(ctx context.Context, store string, bytes int64, value float64, now time.Time) int64 {
	var freed, requested int64
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentFrees)
	for _, v := range c.victims(store, now) {
		if requested >= bytes || v.value >= value {
			break
		}
		request, ok := c.shards[v.shard].BeginFree(v.key, store, now)
		if !ok {
			continue
		}
		requested += v.bytes
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			if c.free(ctx, v.shard, request) {
				mu.Lock()
				freed += v.bytes
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return freed
}

// free requests that a store free a copy, and reports whether the store confirmed it.
func (c *Catalogue) free(ctx context.Context, shard int, request kvcache.FreeRequest) bool {
	if err := c.stores.free(ctx, request, c.scope(shard)); err != nil {
		c.Logger.Warn("failed to free block", slog.String("store", request.Location.Store), slog.Any("error", err))
		return false
	}
	c.shards[shard].CompleteFree(request)
	return true
}

// retryFrees retries the free requests whose outcome is unknown. They are
// idempotent.
func (c *Catalogue) retryFrees(ctx context.Context) {
	for i, shard := range c.shards {
		for _, request := range shard.FreesToRetry(time.Now()) {
			c.free(ctx, i, request)
		}
	}
}

// victims returns the sealed copies in a store in ascending order of value; for
// equal values the tail of a context comes before its head.
func (c *Catalogue) victims(store string, now time.Time) []victim {
	var list []victim
	accounts := make(map[int]int64)
	var total int64
	var blockAccounts []int
	for i, shard := range c.shards {
		shard.ForEachSealed(func(k kvcache.BlockKey, storedIn string, bytes int64, record *kvcache.AccessRecord, hasOtherCopy bool) {
			if storedIn != store {
				return
			}
			value := c.RetentionPolicy.Value(c.stats, record, now)
			if hasOtherCopy {
				value *= duplicateValueFactor
			}
			list = append(list, victim{key: k, shard: i, depth: record.Depth(), bytes: bytes, value: value})
			blockAccounts = append(blockAccounts, record.AccountID())
			accounts[record.AccountID()] += bytes
			total += bytes
		})
	}
	for i := range list {
		list[i].value *= shareFactor(accounts[blockAccounts[i]], total, len(accounts))
	}
	slices.SortFunc(list, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.value, b.value), cmp.Compare(b.depth, a.depth))
	})
	return list
}

// shareFactor returns the factor that lowers the value of the blocks of an account
// with more than its fair share of the store.
func shareFactor(own, total int64, accounts int) float64 {
	if total == 0 || accounts < 2 {
		return 1
	}
	share := float64(own) / float64(total)
	fair := fairShareFactor / float64(accounts)
	return min(1, fair/share)
}
