package catalogue

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/galenaarch/galenaarch/api/controlv1"
)

const (
	// leaseTerm is the duration of a shard's lease, renewInterval the time between
	// renewals.
	leaseTerm     = 6 * time.Second
	renewInterval = time.Second
	// leaseTimeout bounds one round of renewals.
	leaseTimeout = 2 * time.Second
	// leaseMargin is subtracted from a lease's duration to allow for clock drift.
	leaseMargin = 200 * time.Millisecond
)

// lease is the state of this entry's lease on a shard. Only the renewal of the shard
// accesses it, one renewal at a time.
type lease struct {
	// fencingNumber is 0 if this entry does not hold the lease.
	fencingNumber uint64
	// incarnations holds the incarnation of each store whose listing was applied
	// under this fencing number.
	incarnations map[string]uint64
}

// scope returns the name of a shard's lease, which stores also use for the shard's
// blocks.
func (c *Catalogue) scope(shard int) string {
	return fmt.Sprintf("catalogue/%s/%d", c.Environment, shard)
}

// renewLeases renews the leases of the shards that this entry should own and
// releases the others.
func (c *Catalogue) renewLeases(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		var wg sync.WaitGroup
		for shard := range c.shards {
			wg.Go(func() { c.renewLease(ctx, shard) })
		}
		wg.Wait()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// renewLease acquires or renews the lease of a shard, or releases it if another entry
// should own the shard.
func (c *Catalogue) renewLease(ctx context.Context, shard int) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	l := &c.leases[shard]
	if c.owner(shard) != c.Self {
		c.releaseLease(ctx, shard, l)
		return
	}
	// Invariant: this entry counts the lease from when it sent the request, so that
	// its lease ends before the one that control granted.
	sent := time.Now()
	response, err := c.Control.AcquireLease(ctx, &controlv1.AcquireLeaseRequest{
		Name: c.scope(shard), Holder: c.Self, FencingNumber: l.fencingNumber, TermMs: uint32(leaseTerm.Milliseconds()),
	})
	if err != nil {
		c.Logger.Warn("failed to renew shard lease", slog.Int("shard", shard), slog.Any("error", err))
		return
	}
	if !response.Granted {
		c.shards[shard].Resign()
		l.fencingNumber = 0
		return
	}
	if response.FencingNumber != l.fencingNumber {
		l.fencingNumber = response.FencingNumber
		l.incarnations = make(map[string]uint64)
	}
	c.shards[shard].ApplyLease(l.fencingNumber, sent.Add(leaseTerm-leaseMargin), time.Now())
	c.listStores(ctx, shard, l)
}

// releaseLease gives up a shard and releases its lease; a failed release is not
// retried, because the lease expires.
func (c *Catalogue) releaseLease(ctx context.Context, shard int, l *lease) {
	if l.fencingNumber == 0 {
		return
	}
	c.shards[shard].Resign()
	_, err := c.Control.ReleaseLease(ctx, &controlv1.ReleaseLeaseRequest{
		Name: c.scope(shard), Holder: c.Self, FencingNumber: l.fencingNumber,
	})
	if err != nil {
		c.Logger.Warn("failed to release shard lease", slog.Int("shard", shard), slog.Any("error", err))
	}
	l.fencingNumber = 0
}

// listStores applies the listings of reachable stores that were not yet listed under
// this lease or have restarted since.
func (c *Catalogue) listStores(ctx context.Context, shard int, l *lease) {
	for _, s := range c.stores.reachable() {
		if l.incarnations[s.Name] == s.incarnation {
			continue
		}
		if err := c.listStore(ctx, shard, l, s); err != nil {
			c.Logger.Warn("failed to list store for shard", slog.String("store", s.Name), slog.Int("shard", shard), slog.Any("error", err))
		}
	}
}

// listStore reads a store's listing of a shard and applies it.
func (c *Catalogue) listStore(ctx context.Context, shard int, l *lease, s storeState) error {
	version := c.shards[shard].Version()
	// Invariant: listing under the fencing number invalidates the requests of
	// earlier owners at this store, so listed blocks stay until this owner frees
	// them.
	list, incarnation, err := c.stores.list(ctx, s.Store, c.scope(shard), l.fencingNumber)
	if err != nil {
		return err
	}
	if err := c.shards[shard].ApplyListing(version, s.Name, incarnation, list, time.Now()); err != nil {
		return err
	}
	l.incarnations[s.Name] = incarnation
	return nil
}
