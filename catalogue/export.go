package catalogue

import (
	"context"
	"log/slog"
	"time"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/api/cachev1"
	"github.com/galenaarch/galenaarch/kvcache"
)

// ExportJob is a set of a context's blocks that an engine is to write to one store
// under a reservation.
type ExportJob struct {
	Store string
	// Targets is what the engine is sent, Bytes the total size of the blocks.
	Targets []backend.BlockTarget
	Bytes   int64

	// indexes are the positions in keys of the blocks to write; keys are those of the
	// whole context.
	indexes []int
	keys    []kvcache.BlockKey
	// fencingNumber and number identify the reservation.
	fencingNumber uint64
	number        uint64
}

// Outcome is the result of a request to store a context.
type Outcome int

// Outcomes of Reserve.
const (
	// OutcomeRefused: the owner is unreachable or there is no space.
	OutcomeRefused Outcome = iota
	// OutcomeGranted: there are blocks to write.
	OutcomeGranted
	// OutcomeComplete: all blocks are stored already.
	OutcomeComplete
)

// Reserve asks the context's owner to reserve space for the blocks that are not
// stored yet. The job is set only for OutcomeGranted. keys must not be empty.
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
	job := &ExportJob{Store: response.Store, keys: keys, fencingNumber: response.FencingNumber, number: response.Number}
	for i, index := range response.Indexes {
		if int(index) >= len(keys) {
			continue
		}
		job.indexes = append(job.indexes, int(index))
		job.Targets = append(job.Targets, backend.BlockTarget{
			Key: keys[index].String(), URL: WriteURL(state.URL, keys[index], state.incarnation),
			FencingScope: response.Scope, Metadata: response.Notes[i],
		})
	}
	job.Bytes = int64(len(job.Targets)) * blockBytes
	return job, OutcomeGranted
}

// Seal publishes the blocks that an engine reports as completely written, and
// releases the reservation of the others.
func (c *Catalogue) Seal(ctx context.Context, job *ExportJob, sealed []backend.SealedBlock) {
	request := &cachev1.SealRequest{Keys: packKeys(job.keys), FencingNumber: job.fencingNumber, Number: job.number}
	for _, b := range sealed {
		key, ok := kvcache.ParseBlockKey(b.Key)
		if !ok || b.Generation == 0 {
			continue
		}
		for _, index := range job.indexes {
			if job.keys[index] == key {
				request.Copies = append(request.Copies, copyOf(index, kvcache.Location{
					Store: job.Store, Bytes: b.Bytes, Incarnation: b.Incarnation, Generation: b.Generation,
				}))
			}
		}
	}
	if _, err := callOwner(ctx, c, ShardOf(job.keys[0]), request, cachev1.Catalogue.Seal); err != nil {
		c.Logger.Warn("sealed blocks not published to their owner", slog.String("store", job.Store), slog.Any("error", err))
	}
}
