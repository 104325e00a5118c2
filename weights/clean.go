package weights

import (
	"context"
	"log/slog"
	"time"

	"github.com/galenaarch/galenaarch/contexts"
)

// Times of the cleaning of stores.
const (
	// cleanAfter is how long versions must have been asked for, with all servers
	// on them, before contexts of older ones are freed: by then no instance
	// reads them, and no transfer of them is under way.
	cleanAfter   = 12 * time.Second
	cleanTimeout = 3 * time.Second
)

// Stores frees kept contexts.
type Stores interface {
	contexts.Feed
	// Free drops parts of a store in the given life of it.
	Free(ctx context.Context, address string, epoch uint64, keys []contexts.Key) error
}

// cleaner frees the contexts of weights that no server runs any more: stores
// keep them until they are told.
type cleaner struct {
	stores Stores
	logger *slog.Logger
	// cleaned is the sum of the versions that were last cleaned up for, and
	// settled when all servers were first seen on them.
	cleaned uint64
	sum     uint64
	settled time.Time
}

// due reports whether stores are to be cleaned. Versions only rise, so that
// their sum names a state.
func (c *cleaner) due(wanted map[string]uint64, servers []Server, now time.Time) bool {
	sum := uint64(0)
	for _, v := range wanted {
		sum += v
	}
	behind := len(servers) == 0
	for _, s := range servers {
		m, _ := lacking(s.Versions, wanted)
		behind = behind || m != ""
	}
	if sum != c.sum || behind {
		c.sum, c.settled = sum, now
		return false
	}
	if sum == c.cleaned || now.Sub(c.settled) < cleanAfter {
		return false
	}
	c.cleaned = sum
	return true
}

// oldest is the lowest version that any model is asked for at: a salt names a
// version but no model.
func oldest(wanted map[string]uint64) uint64 {
	least := uint64(0)
	for _, v := range wanted {
		if least == 0 || v < least {
			least = v
		}
	}
	return least
}

// clean frees what older versions left at one store.
func (c *cleaner) clean(ctx context.Context, address string, least uint64) {
	ctx, cancel := context.WithTimeout(ctx, cleanTimeout)
	defer cancel()
	listing, err := c.stores.List(ctx, address)
	var old []contexts.Key
	if err == nil {
		for _, held := range listing.Changes {
			if v, ok := contexts.SaltVersion(held.Salt); ok && v < least {
				old = append(old, held.Key)
			}
		}
		if len(old) > 0 {
			err = c.stores.Free(ctx, address, listing.Epoch, old)
		}
	}
	c.logger.Info("store cleaned", slog.String("address", address), slog.Uint64("below_version", least), slog.Int("parts", len(old)), slog.Any("error", err))
}
