package catalogue

import (
	"context"
	"net/http"
	"time"

	"github.com/galenaarch/galenaarch/api/cachev1"
	"github.com/galenaarch/galenaarch/kvcache"
)

// server handles requests for the shards that this entry owns.
type server struct{ c *Catalogue }

var _ cachev1.Catalogue = (*server)(nil)

// Handler returns the handler for requests of the other entries and its path
// prefix.
func (c *Catalogue) Handler() (prefix string, handler http.Handler) {
	s := cachev1.NewCatalogueServer(&server{c})
	return s.PathPrefix(), s
}

// Find implements cachev1.Catalogue. It records the bids in the request, and returns the
// sealed copies of a context's blocks and the value of retaining the context. The copies
// get a read lease, and the lookup counts as an access unless the request sets Again.
// Owner is unset in the response if this entry holds no valid lease on the shard.
func (s *server) Find(_ context.Context, r *cachev1.FindRequest) (*cachev1.FindResponse, error) {
	now := time.Now()
	s.c.bids.merge(r.Bids, now)
	keys := unpackKeys(r.Keys)
	if len(keys) == 0 {
		return &cachev1.FindResponse{}, nil
	}
	found, err := s.c.shards[ShardOf(keys[0])].Lookup(&kvcache.LookupRequest{
		Keys: keys, ClientAccount: r.Account, Class: r.Class, Weight: r.Weight, Repeated: r.Again,
	}, now)
	if err != nil {
		return &cachev1.FindResponse{}, nil
	}
	response := &cachev1.FindResponse{Owner: true, Value: s.c.RetentionPolicy.Value(s.c.stats, &found.Access, now)}
	for i, copies := range found.Copies {
		for _, location := range copies {
			response.Copies = append(response.Copies, copyOf(i, location))
		}
	}
	return response, nil
}

// Reserve implements cachev1.Catalogue. It records the bids in the request, and reserves
// space for a context's blocks in one store, for which it may free less valuable blocks.
func (s *server) Reserve(ctx context.Context, r *cachev1.ReserveRequest) (*cachev1.ReserveResponse, error) {
	s.c.bids.merge(r.Bids, time.Now())
	keys := unpackKeys(r.Keys)
	if len(keys) == 0 {
		return &cachev1.ReserveResponse{}, nil
	}
	return s.c.reserve(ctx, keys, r), nil
}

// Seal implements cachev1.Catalogue. It publishes the copies written under a reservation
// and releases the rest of it.
func (s *server) Seal(_ context.Context, r *cachev1.SealRequest) (*cachev1.SealResponse, error) {
	keys := unpackKeys(r.Keys)
	if len(keys) == 0 {
		return &cachev1.SealResponse{}, nil
	}
	now := time.Now()
	number := ShardOf(keys[0])
	shard := s.c.shards[number]
	s.c.endReservation(number, r.Number)
	reservation := kvcache.Reservation{FencingNumber: r.FencingNumber, Number: r.Number}
	response := &cachev1.SealResponse{Owner: true}
	for _, blockCopy := range r.Copies {
		if int(blockCopy.Index) >= len(keys) {
			continue
		}
		if shard.Seal(keys[blockCopy.Index], locationOf(blockCopy), reservation, now) == nil {
			response.Published++
			s.c.stores.addUsed(blockCopy.Store, blockCopy.Bytes)
		}
	}
	shard.Abort(keys, reservation)
	return response, nil
}

// Missing implements cachev1.Catalogue. It removes copies that a reader did not find in
// their store. The first key selects the shard; key i+1 is the block of copy i.
func (s *server) Missing(_ context.Context, r *cachev1.MissingRequest) (*cachev1.MissingResponse, error) {
	keys := unpackKeys(r.Keys)
	if len(keys) < 2 {
		return &cachev1.MissingResponse{}, nil
	}
	shard := s.c.shards[ShardOf(keys[0])]
	for i, blockCopy := range r.Copies {
		if i+1 < len(keys) {
			shard.ReportMissing(keys[i+1], locationOf(blockCopy))
		}
	}
	return &cachev1.MissingResponse{}, nil
}
