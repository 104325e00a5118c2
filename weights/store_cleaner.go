package weights

import (
	"context"
	"log/slog"
	"time"

	"github.com/galenaarch/galenaarch/config/site"
	"github.com/galenaarch/galenaarch/contexts"
)

// Delays and timeouts of the store cleanup.
const (
	// storeCleanupDelay is how long all servers must have run the requested
	// versions, and the same accounts must have been isolated, before other contexts
	// are freed: by then no instance reads them and no transfer of them is in progress.
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

// storeCleaner frees the contexts that no request can read any more: those of weight
// versions that no server runs, and those shared by accounts before the set of isolated
// accounts changed. Stores keep such contexts until they receive a request to free them.
type storeCleaner struct {
	stores StoreClient
	logger *slog.Logger
	// cleaned is the state for which the stores were last cleaned. stableSince is when all
	// servers were first seen in the state observed.
	cleaned     cleanupState
	observed    cleanupState
	stableSince time.Time
}

// cleanupState determines which contexts can be read.
type cleanupState struct {
	// versionSum identifies the set of requested versions, since for a fixed set of models
	// they only increase.
	versionSum uint64
	// isolatedGroup identifies the set of isolated accounts.
	isolatedGroup string
}

// checkDue reports whether to clean the stores now: once for each set of requested
// versions and of isolated accounts, after it has been in use for storeCleanupDelay. It
// records what it saw.
func (c *storeCleaner) checkDue(requested map[string]uint64, isolatedGroup string, servers []Server, now time.Time) bool {
	state := cleanupState{isolatedGroup: isolatedGroup}
	for _, v := range requested {
		state.versionSum += v
	}
	outdated := len(servers) == 0
	for _, s := range servers {
		model, _ := outdatedModel(s.Versions, requested)
		outdated = outdated || model != ""
	}
	if state != c.observed || outdated {
		c.observed, c.stableSince = state, now
		return false
	}
	if state == c.cleaned || now.Sub(c.stableSince) < storeCleanupDelay {
		return false
	}
	c.cleaned = state
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

// unused reports whether no request reads contexts under a salt any more.
func unused(salt string, minVersion uint64, table *site.Table) bool {
	version, scope, ok := contexts.ParseSalt(salt)
	if !ok {
		return false
	}
	if version < minVersion {
		return true
	}
	if scope.Isolated != "" {
		isolated, listed := table.Isolated(scope.Isolated)
		return listed && !isolated
	}
	return scope.Group != table.IsolatedGroup()
}

// clean frees the contexts at one store that are unused under a site document and the
// lowest requested version.
func (c *storeCleaner) clean(ctx context.Context, address string, minVersion uint64, table *site.Table) {
	ctx, cancel := context.WithTimeout(ctx, storeCleanupTimeout)
	defer cancel()
	listing, err := c.stores.List(ctx, address)
	var keys []contexts.Key
	if err == nil {
		for _, change := range listing.Changes {
			if unused(change.Salt, minVersion, table) {
				keys = append(keys, change.Key)
			}
		}
		if len(keys) > 0 {
			err = c.stores.Free(ctx, address, listing.Epoch, keys)
		}
	}
	c.logger.Info("context store cleaned up", slog.String("address", address), slog.Uint64("below_version", minVersion),
		slog.Uint64("document", table.Version), slog.String("isolated_group", table.IsolatedGroup()), slog.Int("parts", len(keys)), slog.Any("error", err))
}
