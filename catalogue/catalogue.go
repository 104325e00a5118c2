// Package catalogue distributes the catalogue of cached contexts over the entry
// instances. Each owns some shards under leases, serves them to the others, queries
// the owners of the other shards, and decides what is cached in which store.
package catalogue

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenaarch/galenaarch/api/cachev1"
	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/kvcache"
	"github.com/galenaarch/galenaarch/link"
	"github.com/galenaarch/galenaarch/membership"
)

// ShardCount is the number of shards. It is part of the protocol between the entry
// instances and the stores, so it must be the same throughout a system.
const ShardCount = 16

const (
	// peerTimeout bounds a call to another entry.
	peerTimeout = 250 * time.Millisecond
	// unreachableCooldown is how long an entry that did not answer is not called.
	// It does not affect ownership, which depends on the membership only.
	unreachableCooldown = 250 * time.Millisecond
)

// errUnreachable reports an entry that failed to answer within the cooldown.
var errUnreachable = errors.New("shard owner recently unreachable")

// Store is the configuration of a store of cached contexts.
type Store struct {
	Name               string
	URL                string
	LinkBytesPerSecond float64
	CapacityBytes      int64
}

// Settings configures a catalogue.
type Settings struct {
	// Self is this entry's peer URL, which identifies it among the owners.
	Self        string
	Environment string
	Members     membership.MemberSource
	Control     controlv1.Control
	// PeerClient is the HTTP client for calls to the other entries.
	PeerClient *http.Client
	// StoreClient is the HTTP client for requests to the stores.
	StoreClient     *http.Client
	Links           *link.Set
	RetentionPolicy kvcache.RetentionPolicy
	Logger          *slog.Logger
}

// Catalogue is one entry's share of the distributed catalogue.
type Catalogue struct {
	Settings
	epoch  time.Time
	stats  *kvcache.AccessStats
	shards [ShardCount]*kvcache.Shard
	leases [ShardCount]lease
	stores *stores
	bids   bids
	// reservations maps a reservationKey to the function that subtracts its bytes
	// from the store's reserved bytes.
	reservations sync.Map

	// peers caches a client for each peer URL that was called.
	peers sync.Map
	// unreachable maps a peer URL to the time.Time before which it is not called.
	unreachable sync.Map
}

// New returns a catalogue that owns no shard.
func New(s Settings) *Catalogue {
	now := time.Now()
	c := &Catalogue{Settings: s, epoch: now, stats: kvcache.NewAccessStats(now), stores: newStores(s.StoreClient, s.Links)}
	for i := range c.shards {
		c.shards[i] = kvcache.NewShard(c.stats, now)
	}
	return c
}

// Run renews leases, polls stores and frees blocks for bids until the context ends.
func (c *Catalogue) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { c.renewLeases(ctx) })
	wg.Go(func() { c.pollStores(ctx) })
	wg.Wait()
}

// Configure sets the stores that may be used, in place of the earlier ones.
func (c *Catalogue) Configure(list []Store) {
	nominal := make(map[string]float64, len(list))
	for _, s := range list {
		nominal[s.Name] = s.LinkBytesPerSecond
	}
	c.Links.Configure(nominal, len(c.Members.Members()), time.Now())
	c.stores.configure(list)
}

// ShardOf returns the shard of a context, given its root block.
func ShardOf(root kvcache.BlockKey) int { return int(xxhash.Sum64(root[:]) % ShardCount) }

// owner returns the peer URL of the entry that should own a shard, by rendezvous
// hashing over the members.
func (c *Catalogue) owner(shard int) string {
	var best string
	var highest uint64
	for _, m := range c.Members.Members() {
		h := rendezvousHash(m.PeerURL, shard)
		if best == "" || h > highest {
			best, highest = m.PeerURL, h
		}
	}
	return best
}

// rendezvousHash returns the rank of a member as the owner of a shard; the highest owns it.
func rendezvousHash(member string, shard int) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(shard))
	_, _ = d.WriteString(member) // never fails
	return d.Sum64()
}

// isUnreachable reports whether calls to an entry are suspended.
func (c *Catalogue) isUnreachable(url string, now time.Time) bool {
	until, ok := c.unreachable.Load(url)
	return ok && now.Before(until.(time.Time))
}

// peer returns a client for another entry's catalogue.
func (c *Catalogue) peer(url string) cachev1.Catalogue {
	if p, ok := c.peers.Load(url); ok {
		return p.(cachev1.Catalogue)
	}
	p, _ := c.peers.LoadOrStore(url, cachev1.NewCatalogueProtobufClient(url, c.PeerClient))
	return p.(cachev1.Catalogue)
}

// callOwner calls the owner of a shard, or this entry directly if it is the owner.
func callOwner[Q, R any](ctx context.Context, c *Catalogue, shard int, request Q, method func(cachev1.Catalogue, context.Context, Q) (R, error)) (R, error) {
	owner := c.owner(shard)
	if owner == c.Self || owner == "" {
		return method(&server{c}, ctx, request)
	}
	if c.isUnreachable(owner, time.Now()) {
		var zero R
		return zero, errUnreachable
	}
	bounded, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	response, err := method(c.peer(owner), bounded, request)
	switch {
	case err == nil:
		c.markReachable(owner)
	case ctx.Err() == nil:
		// A cancelled call says nothing about the owner.
		c.markUnreachable(owner, err)
	}
	return response, err
}

// markUnreachable suspends calls to an entry that did not answer. Only the first
// failure is logged.
func (c *Catalogue) markUnreachable(owner string, err error) {
	if _, known := c.unreachable.Swap(owner, time.Now().Add(unreachableCooldown)); !known {
		c.Logger.Warn("catalogue: owner unreachable, lookups in its shards return nothing", slog.String("peer", owner), slog.Any("error", err))
	}
}

// markReachable ends the suspension of calls to an entry, and logs it if there was one.
func (c *Catalogue) markReachable(owner string) {
	if _, known := c.unreachable.LoadAndDelete(owner); known {
		c.Logger.Info("catalogue: owner reachable again", slog.String("peer", owner))
	}
}

// Lookup returns the stored copies of a context's leading blocks, by block index, and
// the value of storing the context as computed by the retention policy. If the owner
// does not answer, it returns nothing.
func (c *Catalogue) Lookup(ctx context.Context, request *kvcache.LookupRequest) ([][]kvcache.Location, float64) {
	if len(request.Keys) == 0 {
		return nil, 0
	}
	shard := ShardOf(request.Keys[0])
	response, err := callOwner(ctx, c, shard, &cachev1.FindRequest{
		Keys: packKeys(request.Keys), Account: request.ClientAccount, Class: request.Class, Weight: request.Weight, Again: request.Repeated, Bids: c.bids.active(time.Now()),
	}, cachev1.Catalogue.Find)
	if err != nil || !response.Owner {
		return nil, 0
	}
	cached := make([][]kvcache.Location, 0, len(request.Keys))
	for _, blockCopy := range response.Copies {
		i := int(blockCopy.Index)
		if i >= len(request.Keys) {
			continue
		}
		for len(cached) <= i {
			cached = append(cached, nil)
		}
		cached[i] = append(cached[i], locationOf(blockCopy))
	}
	return cached, response.Value
}

// ReportMissing reports to the owner that a copy was not at its address.
func (c *Catalogue) ReportMissing(ctx context.Context, root, key kvcache.BlockKey, location kvcache.Location) {
	copies := []*cachev1.Copy{copyOf(0, location)}
	_, err := callOwner(ctx, c, ShardOf(root), &cachev1.MissingRequest{Keys: packKeys([]kvcache.BlockKey{root, key}), Copies: copies}, cachev1.Catalogue.Missing)
	if err != nil {
		c.Logger.Debug("missing copy not reported to its owner", slog.Any("error", err))
	}
}

// packKeys concatenates keys for a message.
func packKeys(keys []kvcache.BlockKey) []byte {
	packed := make([]byte, 0, len(keys)*len(kvcache.BlockKey{}))
	for _, k := range keys {
		packed = append(packed, k[:]...)
	}
	return packed
}

// unpackKeys splits concatenated keys and ignores an incomplete one at the end.
func unpackKeys(packed []byte) []kvcache.BlockKey {
	const size = len(kvcache.BlockKey{})
	keys := make([]kvcache.BlockKey, 0, len(packed)/size)
	for len(packed) >= size {
		keys = append(keys, kvcache.BlockKey(packed[:size]))
		packed = packed[size:]
	}
	return keys
}

func locationOf(c *cachev1.Copy) kvcache.Location {
	return kvcache.Location{Store: c.Store, Bytes: c.Bytes, Incarnation: c.Incarnation, Generation: c.Generation}
}

func copyOf(index int, l kvcache.Location) *cachev1.Copy {
	return &cachev1.Copy{Index: uint32(index), Store: l.Store, Bytes: l.Bytes, Incarnation: l.Incarnation, Generation: l.Generation}
}
