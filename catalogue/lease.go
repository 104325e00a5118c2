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
	// leaseTerm is the term of a shard's lease, renewInterval the pause between
	// renewals.
	leaseTerm     = 6 * time.Second
	renewInterval = time.Second
	// leaseTimeout bounds one round of renewals.
	leaseTimeout = 2 * time.Second
	// leaseMargin is subtracted from a lease's term to allow for clock drift.
	leaseMargin = 200 * time.Millisecond
)

// lease is the state of this entry's lease on a shard. Only renewLeases touches it.
type lease struct {
	fencing uint64
	// incarnations holds the incarnation of each store whose listing was adopted
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

func (c *Catalogue) renewLease(ctx context.Context, shard int) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	l := &c.leases[shard]
	if c.owner(shard) != c.Self {
		c.releaseLease(ctx, shard, l)
		return
	}
	// Invariant: the term counts from when the request was sent.
	sent := time.Now()
	response, err := c.Control.AcquireLease(ctx, &controlv1.AcquireLeaseRequest{
		Name: c.scope(shard), Holder: c.Self, FencingNumber: l.fencing, TermMs: uint32(leaseTerm.Milliseconds()),
	})
	if err != nil {
		c.Logger.Warn("failed to renew shard lease", slog.Int("shard", shard), slog.Any("error", err))
		return
	}
	if !response.Granted {
		c.shards[shard].Resign()
		l.fencing = 0
		return
	}
	if response.FencingNumber != l.fencing {
		l.fencing = response.FencingNumber
		l.incarnations = make(map[string]uint64)
	}
	c.shards[shard].ApplyLease(l.fencing, sent.Add(leaseTerm-leaseMargin), time.Now())
	c.listStores(ctx, shard, l)
}

func (c *Catalogue) releaseLease(ctx context.Context, shard int, l *lease) {
	if l.fencing == 0 {
		return
	}
	c.shards[shard].Resign()
	_, err := c.Control.ReleaseLease(ctx, &controlv1.ReleaseLeaseRequest{
		Name: c.scope(shard), Holder: c.Self, FencingNumber: l.fencing,
	})
	if err != nil {
		c.Logger.Warn("failed to release shard lease", slog.Int("shard", shard), slog.Any("error", err))
	}
	l.fencing = 0
}

// listStores adopts the listings of reachable stores that were not yet listed under
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

func (c *Catalogue) listStore(ctx context.Context, shard int, l *lease, s storeState) error {
	mark := c.shards[shard].Version()
	// Invariant: listing under the fencing number invalidates the requests of
	// earlier owners at this store, so listed blocks stay until this owner frees
	// them.
	list, incarnation, err := c.stores.list(ctx, s.Store, c.scope(shard), l.fencing)
	if err != nil {
		return err
	}
	if err := c.shards[shard].ApplyListing(mark, s.Name, incarnation, list, time.Now()); err != nil {
		return err
	}
	l.incarnations[s.Name] = incarnation
	return nil
}
