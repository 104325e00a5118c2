package weights

import (
	"context"
	"log/slog"
	"time"

	"github.com/galenaarch/galenaarch/contexts"
)

// Delays and timeouts of the store cleanup.
const (
	// storeCleanupDelay is how long all servers must have run the requested
	// versions before contexts of older versions are freed: by then no instance
	// reads them and no transfer of them is in progress.
	storeCleanupDelay   = 12 * time.Second
	storeCleanupTimeout = 3 * time.Second
)

// StoreClient lists and frees the contexts in context stores.
type StoreClient interface {
	contexts.Feed
	// Free deletes contexts from the store at address. epoch identifies the
	// store incarnation that the keys were listed from.
	Free(ctx context.Context, address string, epoch uint64, keys []contexts.Key) error
}

// storeCleaner frees the contexts of weight versions that no server runs any
// more. Stores keep such contexts until they receive a request to free them.
type storeCleaner struct {
	stores StoreClient
	logger *slog.Logger
	// cleanedVersionSum is the versionSum of the last cleanup. convergedAt is
	// when all servers were first seen on the versions in versionSum.
	cleanedVersionSum uint64
	versionSum        uint64
	convergedAt       time.Time
}

// checkDue reports whether to clean the stores now: once for each set of requested
// versions, after all servers have run it for storeCleanupDelay. It records what it
// saw. The sum of the versions identifies the set, since for a fixed set of models
// they only increase.
func (c *storeCleaner) checkDue(requested map[string]uint64, servers []Server, now time.Time) bool {
	sum := uint64(0)
	for _, v := range requested {
		sum += v
	}
	outdated := len(servers) == 0
	for _, s := range servers {
		model, _ := outdatedModel(s.Versions, requested)
		outdated = outdated || model != ""
	}
	if sum != c.versionSum || outdated {
		c.versionSum, c.convergedAt = sum, now
		return false
	}
	if sum == c.cleanedVersionSum || now.Sub(c.convergedAt) < storeCleanupDelay {
		return false
	}
	c.cleanedVersionSum = sum
	return true
}

// lowestVersion returns the lowest version requested for any model. A salt
// contains a version but no model, so only contexts below this version are
// known to be unused.
func lowestVersion(requested map[string]uint64) uint64 {
	lowest := uint64(0)
	for _, v := range requested {
		if lowest == 0 || v < lowest {
			lowest = v
		}
	}
	return lowest
}

// clean frees the contexts of versions below minVersion at one store.
func (c *storeCleaner) clean(ctx context.Context, address string, minVersion uint64) {
	ctx, cancel := context.WithTimeout(ctx, storeCleanupTimeout)
	defer cancel()
	listing, err := c.stores.List(ctx, address)
	var keys []contexts.Key
	if err == nil {
		for _, change := range listing.Changes {
			if v, ok := contexts.SaltVersion(change.Salt); ok && v < minVersion {
				keys = append(keys, change.Key)
			}
		}
		if len(keys) > 0 {
			err = c.stores.Free(ctx, address, listing.Epoch, keys)
		}
	}
	c.logger.Info("context store cleaned up", slog.String("address", address), slog.Uint64("below_version", minVersion), slog.Int("parts", len(keys)), slog.Any("error", err))
}
