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
	// worthMore is how much more worth a context must be than what is freed
	// for it, since moving it costs too.
	worthMore = 1.2
	// duplicateValue is the worth of a block's second copy, as a part.
	duplicateValue = 0.1
	// secondCopyRoom is the part of a store that must be free for a second
	// copy.
	secondCopyRoom = 0.5
	// secondCopyVisits is the number of uses before a second copy.
	secondCopyVisits = 2
	// fairShare is how many times its even share an account may keep before
	// its blocks lose worth.
	fairShare = 2.0
	// freesAtOnce bounds the orders to free that are under way together.
	freesAtOnce = 8
	// reservedFor is after how long a reservation that was not heard of again
	// is taken off a store's reserved bytes.
	reservedFor = kvcache.WriteTerm
)

// victim is a sealed copy with its worth.
type victim struct {
	key   kvcache.BlockKey
	shard int
	depth int
	bytes int64
	value float64
}

// reserve grants room for a context's blocks in one store, and frees what is
// worth less if there is none.
func (c *Catalogue) reserve(ctx context.Context, keys []kvcache.BlockKey, r *cachev1.ReserveRequest) *cachev1.ReserveResponse {
	now := time.Now()
	shard := ShardOf(keys[0])
	plan, err := c.shards[shard].Plan(keys, now)
	if err != nil {
		return &cachev1.ReserveResponse{}
	}
	store, second, ok := c.chooseStore(plan, r.Stores)
	if !ok {
		return &cachev1.ReserveResponse{Owner: true}
	}
	if len(plan.Lacking) == 0 && !second {
		return &cachev1.ReserveResponse{Owner: true, Complete: true}
	}
	wanted := plan.Lacking
	if second {
		wanted = plan.Single
	}
	need := int64(len(wanted)) * r.BlockBytes
	if short := need - store.room(); short > 0 && !second {
		value := c.Keeping.Value(c.uses, &plan.Use, now)
		c.makeRoom(ctx, store.Name, short, value, now)
		store, _ = c.stores.get(store.Name)
	}
	fits := int(max(0, store.room()) / max(1, r.BlockBytes))
	wanted = wanted[:min(len(wanted), fits)]
	if len(wanted) == 0 {
		return &cachev1.ReserveResponse{Owner: true}
	}
	return c.grant(shard, keys, wanted, store, r.BlockBytes, now)
}

func (c *Catalogue) grant(shard int, keys []kvcache.BlockKey, wanted []int, store storeState, blockBytes int64, now time.Time) *cachev1.ReserveResponse {
	chosen := make([]kvcache.BlockKey, len(wanted))
	for i, at := range wanted {
		chosen[i] = keys[at]
	}
	granted, err := c.shards[shard].Reserve(chosen, store.Name, blockBytes, now)
	if err != nil {
		return &cachev1.ReserveResponse{}
	}
	response := &cachev1.ReserveResponse{
		Owner: true, Store: store.Name, FencingNumber: granted.Fencing, Number: granted.Number, Scope: c.scope(shard),
	}
	for _, i := range granted.Indexes {
		response.Indexes = append(response.Indexes, uint32(wanted[i]))
		response.Notes = append(response.Notes, c.shards[shard].Note(chosen[i]).String())
	}
	c.hold(shard, granted.Number, store.Name, int64(len(granted.Indexes))*blockBytes)
	return response
}

// heldKey names a reservation of this entry's shards.
type heldKey struct {
	shard  int
	number uint64
}

// hold counts reserved bytes until the reservation ends.
func (c *Catalogue) hold(shard int, number uint64, store string, bytes int64) {
	c.stores.reserve(store, bytes)
	key := heldKey{shard, number}
	end := sync.OnceFunc(func() {
		c.held.Delete(key)
		c.stores.reserve(store, -bytes)
	})
	c.held.Store(key, end)
	time.AfterFunc(reservedFor, end)
}

// unhold ends a reservation's count.
func (c *Catalogue) unhold(shard int, number uint64) {
	if end, ok := c.held.Load(heldKey{shard, number}); ok {
		end.(func())()
	}
}

// chooseStore returns the store for a context: the one that has a part of it,
// else the one with the most room. Once a context is whole in one store, it
// gets a second copy while another is mostly empty.
func (c *Catalogue) chooseStore(plan kvcache.Plan, allowed []string) (store storeState, second, ok bool) {
	var home *storeState
	var widest *storeState
	for _, s := range c.stores.well() {
		if !slices.Contains(allowed, s.Name) {
			continue
		}
		if l := c.Links.Get(s.Name); l == nil || l.State(time.Now()).Down {
			continue
		}
		if s.Name == plan.Home {
			home = &s
			continue
		}
		if widest == nil || s.room() > widest.room() {
			widest = &s
		}
	}
	switch {
	case plan.Home != "" && len(plan.Lacking) == 0 && len(plan.Single) > 0 && widest != nil &&
		plan.Use.Visits() >= secondCopyVisits && float64(widest.room()) > secondCopyRoom*float64(widest.CapacityBytes):
		return *widest, true, true
	case home != nil && len(plan.Lacking) > 0:
		return *home, false, true
	case widest != nil && len(plan.Lacking) > 0:
		return *widest, false, true
	}
	return storeState{}, false, plan.Home != "" && len(plan.Lacking) == 0
}

// makeRoom frees blocks of a store that are worth less than what is to come.
// What it lacks becomes a bid to the other entries.
func (c *Catalogue) makeRoom(ctx context.Context, store string, bytes int64, value float64, now time.Time) {
	freed := c.freeBelow(ctx, store, bytes, value/worthMore, now)
	if freed < bytes {
		c.bids.want(store, value, bytes-freed, now)
	}
}

// freeBelow frees the least valued copies in a store below a value, up to a
// number of bytes, and returns the bytes freed.
func (c *Catalogue) freeBelow(ctx context.Context, store string, bytes int64, value float64, now time.Time) int64 {
	var freed, ordered int64
	var mu sync.Mutex
	var wg sync.WaitGroup
	places := make(chan struct{}, freesAtOnce)
	for _, v := range c.victims(store, now) {
		if ordered >= bytes || v.value >= value {
			break
		}
		order, ok := c.shards[v.shard].BeginFree(v.key, store, now)
		if !ok {
			continue
		}
		ordered += v.bytes
		places <- struct{}{}
		wg.Go(func() {
			defer func() { <-places }()
			if c.free(ctx, v.shard, order) {
				mu.Lock()
				freed += v.bytes
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return freed
}

func (c *Catalogue) free(ctx context.Context, shard int, o kvcache.FreeOrder) bool {
	if err := c.stores.free(ctx, o, c.scope(shard)); err != nil {
		c.Logger.Warn("block not freed", slog.String("store", o.At.Store), slog.Any("error", err))
		return false
	}
	c.shards[shard].EndFree(o)
	return true
}

// freeAgain repeats the orders to free whose outcome is not known: they are
// idempotent.
func (c *Catalogue) freeAgain(ctx context.Context) {
	for i, shard := range c.shards {
		for _, order := range shard.Unfinished(time.Now()) {
			c.free(ctx, i, order)
		}
	}
}

// victims lists the sealed copies in a store, least worth first and the tail
// of a context before its head.
func (c *Catalogue) victims(store string, now time.Time) []victim {
	var list []victim
	accounts := make(map[int]int64)
	var total int64
	var users []int
	for i, shard := range c.shards {
		shard.Sealed(func(k kvcache.BlockKey, at string, bytes int64, u *kvcache.Use, another bool) {
			if at != store {
				return
			}
			value := c.Keeping.Value(c.uses, u, now)
			if another {
				value *= duplicateValue
			}
			list = append(list, victim{key: k, shard: i, depth: u.Depth(), bytes: bytes, value: value})
			users = append(users, u.Account())
			accounts[u.Account()] += bytes
			total += bytes
		})
	}
	for i := range list {
		list[i].value *= shareFactor(accounts[users[i]], total, len(accounts))
	}
	slices.SortFunc(list, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.value, b.value), cmp.Compare(b.depth, a.depth))
	})
	return list
}

// shareFactor lowers the worth of the blocks of an account that has more than
// a fair share of what is kept.
func shareFactor(own, total int64, accounts int) float64 {
	if total == 0 || accounts < 2 {
		return 1
	}
	share := float64(own) / float64(total)
	fair := fairShare / float64(accounts)
	return min(1, fair/share)
}
