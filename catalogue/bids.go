package catalogue

import (
	"context"
	"sync"
	"time"

	"github.com/galenaarch/galenaarch/api/cachev1"
)

// bidTTL is how long this entry sends its own bid for a store to the other entries.
// Bids from others have no time limit: they are valid until the next takeOthers.
const bidTTL = time.Second

// bids holds the space that entry instances need in stores. The blocks of a store
// belong to shards of several owners. With bids the least valuable blocks are freed
// first, whichever entry owns their shards.
type bids struct {
	mu sync.Mutex
	// own holds this entry's bid for each store.
	own map[string]bid
	// others holds, for each store, the bid with the highest value that another entry
	// instance has sent since the last takeOthers.
	others map[string]bid
}

// bid is a request for space in a store.
type bid struct {
	// value is the value per byte of the context that needs the space, as returned by
	// RetentionPolicy.Value.
	value      float64
	bytes      int64
	recordedAt time.Time
}

// record records a bid for space that this entry could not free itself. An unexpired
// bid of a higher value is kept instead.
func (b *bids) record(store string, value float64, bytes int64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.own == nil {
		b.own = make(map[string]bid)
	}
	if previous, ok := b.own[store]; ok && now.Sub(previous.recordedAt) < bidTTL && previous.value > value {
		return
	}
	b.own[store] = bid{value: value, bytes: bytes, recordedAt: now}
}

// active returns this entry's bids that have not expired.
func (b *bids) active(now time.Time) []*cachev1.Bid {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*cachev1.Bid
	for store, x := range b.own {
		if now.Sub(x.recordedAt) >= bidTTL {
			delete(b.own, store)
			continue
		}
		list = append(list, &cachev1.Bid{Store: store, Value: x.value, Bytes: x.bytes})
	}
	return list
}

// merge records bids of another entry. For each store it keeps the bid with the highest
// value among those of all other entries since the last takeOthers.
func (b *bids) merge(list []*cachev1.Bid, now time.Time) {
	if len(list) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.others == nil {
		b.others = make(map[string]bid)
	}
	for _, x := range list {
		if x.Value > b.others[x.Store].value {
			b.others[x.Store] = bid{value: x.Value, bytes: x.Bytes, recordedAt: now}
		}
	}
}

// takeOthers returns and removes the bids of the other entries.
func (b *bids) takeOthers() map[string]bid {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.others
	b.others = nil
	return list
}

// freeForBids frees blocks of this entry's shards for the bids of other entries, which
// it uses up. For each store it frees the least valuable blocks first, only those of a
// value below that of the bid divided by minValueRatio, until the free requests cover
// the bytes of the bid. A bid is skipped if the store is unknown or already has that
// many bytes free.
func (c *Catalogue) freeForBids(ctx context.Context) {
	now := time.Now()
	for store, x := range c.bids.takeOthers() {
		if state, ok := c.stores.get(store); !ok || state.freeBytes() >= x.bytes {
			continue
		}
		c.freeBelow(ctx, store, x.bytes, x.value/minValueRatio, now)
	}
}
