package catalogue

import (
	"context"
	"log/slog"
	"time"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/api/cachev1"
	"github.com/galenaarch/galenaarch/kvcache"
)

// ExportJob is the set of a context's blocks that is to be written to a store.
type ExportJob struct {
	Store string
	// Targets is what the engine is sent, Bytes the total size of the blocks.
	Targets []backend.BlockTarget
	Bytes   int64

	indexes []int
	keys    []kvcache.BlockKey
	fencing uint64
	number  uint64
}

// Outcome is the result of a request to cache a context.
type Outcome int

// Outcomes of Reserve.
const (
	// OutcomeRefused: the owner is unreachable or there is no space.
	OutcomeRefused Outcome = iota
	// OutcomeGranted: there are blocks to write.
	OutcomeGranted
	// OutcomeComplete: all blocks are cached already.
	OutcomeComplete
)

// Reserve asks the context's owner which blocks to write to which store.
func (c *Catalogue) Reserve(ctx context.Context, keys []kvcache.BlockKey, account string, stores []string, blockBytes int64) (*ExportJob, Outcome) {
	response, err := callOwner(ctx, c, ShardOf(keys[0]), &cachev1.ReserveRequest{
		Keys: packKeys(keys), Account: account, Stores: stores, BlockBytes: blockBytes, Bids: c.bids.active(time.Now()),
	}, cachev1.Catalogue.Reserve)
	if err != nil || !response.Owner {
		return nil, OutcomeRefused
	}
	if response.Complete {
		return nil, OutcomeComplete
	}
	state, ok := c.stores.get(response.Store)
	if !ok || len(response.Indexes) == 0 || len(response.Notes) != len(response.Indexes) {
		return nil, OutcomeRefused
	}
	x := &ExportJob{Store: response.Store, keys: keys, fencing: response.FencingNumber, number: response.Number}
	for i, at := range response.Indexes {
		if int(at) >= len(keys) {
			continue
		}
		x.indexes = append(x.indexes, int(at))
		x.Targets = append(x.Targets, backend.BlockTarget{
			Key: keys[at].String(), URL: WriteURL(state.URL, keys[at], state.incarnation),
			FencingScope: response.Scope, Metadata: response.Notes[i],
		})
	}
	x.Bytes = int64(len(x.Targets)) * blockBytes
	return x, OutcomeGranted
}

// Seal publishes the blocks that an engine reports as completely written, and
// releases the reservation of the others.
func (c *Catalogue) Seal(ctx context.Context, x *ExportJob, sealed []backend.SealedBlock) {
	request := &cachev1.SealRequest{Keys: packKeys(x.keys), FencingNumber: x.fencing, Number: x.number}
	for _, b := range sealed {
		key, ok := kvcache.ParseBlockKey(b.Key)
		if !ok || b.Generation == 0 {
			continue
		}
		for _, at := range x.indexes {
			if x.keys[at] == key {
				request.Copies = append(request.Copies, copyOf(at, kvcache.Location{
					Store: x.Store, Bytes: b.Bytes, Incarnation: b.Incarnation, Generation: b.Generation,
				}))
			}
		}
	}
	if _, err := callOwner(ctx, c, ShardOf(x.keys[0]), request, cachev1.Catalogue.Seal); err != nil {
		c.Logger.Warn("sealed blocks not published to their owner", slog.String("store", x.Store), slog.Any("error", err))
	}
}
