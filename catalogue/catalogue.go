// Package catalogue spreads the catalogue of kept context over the entries:
// each owns some shards under leases, serves them to the others, asks the
// owners of the rest, and decides what is kept in which store.
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

// ShardCount is the number of shards. It is part of the protocol between the
// entries and the stores: all of a system use the same.
const ShardCount = 16

const (
	// peerTimeout bounds a call of another entry.
	peerTimeout = 250 * time.Millisecond
	// unreachableFor is how long an entry that did not answer is not asked. Who
	// is dead, and thus no owner, is for the membership to say.
	unreachableFor = 250 * time.Millisecond
)

// errUnreachable reports an entry that did not answer a moment ago.
var errUnreachable = errors.New("the owner did not answer a moment ago")

// Store is a store of kept context as configured.
type Store struct {
	Name               string
	URL                string
	LinkBytesPerSecond float64
	CapacityBytes      int64
}

// Settings of a catalogue.
type Settings struct {
	// Self is this entry's peer URL, which names it among the owners.
	Self        string
	Environment string
	Members     membership.View
	Control     controlv1.Control
	// Peers calls the other entries, Client the stores.
	Peers   *http.Client
	Client  *http.Client
	Links   *link.Set
	Keeping kvcache.Keeping
	Logger  *slog.Logger
}

// Catalogue is one entry's part in the catalogue.
type Catalogue struct {
	Settings
	epoch  time.Time
	uses   *kvcache.Uses
	shards [ShardCount]*kvcache.Shard
	leases [ShardCount]lease
	stores *stores
	bids   bids
	// held maps heldKey to what ends a reservation's count.
	held sync.Map

	// peers holds a client for each peer URL that was ever asked.
	peers sync.Map
	// unreachable maps peer URLs to the time.Time until which they are left
	// alone.
	unreachable sync.Map
}

// New returns a catalogue that owns nothing.
func New(s Settings) *Catalogue {
	now := time.Now()
	c := &Catalogue{Settings: s, epoch: now, uses: kvcache.NewUses(now), stores: newStores(s.Client, s.Links)}
	for i := range c.shards {
		c.shards[i] = kvcache.NewShard(c.uses, now)
	}
	return c
}

// Run holds leases, watches stores and serves bids until the context ends.
func (c *Catalogue) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { c.holdLeases(ctx) })
	wg.Go(func() { c.watchStores(ctx) })
	wg.Wait()
}

// Configure sets the stores that may be used.
func (c *Catalogue) Configure(list []Store) {
	nominal := make(map[string]float64, len(list))
	for _, s := range list {
		nominal[s.Name] = s.LinkBytesPerSecond
	}
	c.Links.Configure(nominal, len(c.Members.Members()), time.Now())
	c.stores.configure(list)
}

// ShardOf returns the shard of a context by its root.
func ShardOf(root kvcache.BlockKey) int { return int(xxhash.Sum64(root[:]) % ShardCount) }

// owner returns the peer URL of the entry that should own a shard: the
// highest of the members' hashes with it.
func (c *Catalogue) owner(shard int) string {
	var best string
	var highest uint64
	for _, m := range c.Members.Members() {
		h := rendezvous(m.PeerURL, shard)
		if best == "" || h > highest {
			best, highest = m.PeerURL, h
		}
	}
	return best
}

func rendezvous(member string, shard int) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(shard))
	_, _ = d.WriteString(member) // never fails
	return d.Sum64()
}

func (c *Catalogue) isUnreachable(url string, now time.Time) bool {
	until, ok := c.unreachable.Load(url)
	return ok && now.Before(until.(time.Time))
}

// peer returns a client of another entry's catalogue.
func (c *Catalogue) peer(url string) cachev1.Catalogue {
	if p, ok := c.peers.Load(url); ok {
		return p.(cachev1.Catalogue)
	}
	p, _ := c.peers.LoadOrStore(url, cachev1.NewCatalogueProtobufClient(url, c.Peers))
	return p.(cachev1.Catalogue)
}

// ask calls the owner of a shard; this entry itself without a connection.
func ask[Q, R any](ctx context.Context, c *Catalogue, shard int, request Q, method func(cachev1.Catalogue, context.Context, Q) (R, error)) (R, error) {
	owner := c.owner(shard)
	if owner == c.Self || owner == "" {
		return method(&server{c}, ctx, request)
	}
	if c.isUnreachable(owner, time.Now()) {
		var none R
		return none, errUnreachable
	}
	bounded, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	response, err := method(c.peer(owner), bounded, request)
	switch {
	case err == nil:
		c.reached(owner)
	case ctx.Err() == nil:
		// A caller that left says nothing of the owner.
		c.leaveAlone(owner, err)
	}
	return response, err
}

// leaveAlone spares an entry that did not answer; the first time is logged.
func (c *Catalogue) leaveAlone(owner string, err error) {
	if _, known := c.unreachable.Swap(owner, time.Now().Add(unreachableFor)); !known {
		c.Logger.Warn("catalogue: owner lost, its contexts are not found", slog.String("peer", owner), slog.Any("error", err))
	}
}

func (c *Catalogue) reached(owner string) {
	if _, known := c.unreachable.LoadAndDelete(owner); known {
		c.Logger.Info("catalogue: owner reached", slog.String("peer", owner))
	}
}

// Find looks up the kept copies of a context. An owner that does not answer
// leaves nothing found. It also returns the worth of keeping the context.
func (c *Catalogue) Find(ctx context.Context, v *kvcache.Visit) ([][]kvcache.Location, float64) {
	if len(v.Keys) == 0 {
		return nil, 0
	}
	shard := ShardOf(v.Keys[0])
	response, err := ask(ctx, c, shard, &cachev1.FindRequest{
		Keys: packKeys(v.Keys), Account: v.Account, Class: v.Class, Weight: v.Weight, Again: v.Again, Bids: c.bids.current(time.Now()),
	}, cachev1.Catalogue.Find)
	if err != nil || !response.Owner {
		return nil, 0
	}
	kept := make([][]kvcache.Location, 0, len(v.Keys))
	for _, copy := range response.Copies {
		i := int(copy.Index)
		if i >= len(v.Keys) {
			continue
		}
		for len(kept) <= i {
			kept = append(kept, nil)
		}
		kept[i] = append(kept[i], locationOf(copy))
	}
	return kept, response.Value
}

// Missing tells the owner of a copy that was not at its address.
func (c *Catalogue) Missing(ctx context.Context, root, key kvcache.BlockKey, at kvcache.Location) {
	copies := []*cachev1.Copy{copyOf(0, at)}
	_, err := ask(ctx, c, ShardOf(root), &cachev1.MissingRequest{Keys: packKeys([]kvcache.BlockKey{root, key}), Copies: copies}, cachev1.Catalogue.Missing)
	if err != nil {
		c.Logger.Debug("missing copy not told", slog.Any("error", err))
	}
}

func packKeys(keys []kvcache.BlockKey) []byte {
	packed := make([]byte, 0, len(keys)*len(kvcache.BlockKey{}))
	for _, k := range keys {
		packed = append(packed, k[:]...)
	}
	return packed
}

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
