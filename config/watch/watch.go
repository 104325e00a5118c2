// Package watch keeps an instance's configuration up to date: it polls the
// control quorum, applies only higher revisions and reports what it applied.
package watch

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/config/routes"
	"github.com/galenaarch/galenaarch/control/lease"
)

// Timing of polls and reports.
const (
	longPollWait   = 2 * time.Second
	reportInterval = time.Second
	leaseTerm      = 10 * time.Second
	retryDelay     = 200 * time.Millisecond
	requestTimeout = 5 * time.Second
)

// Instance identifies an instance in its reports.
type Instance struct {
	Name          string
	Role          string
	Environment   string
	FailureDomain string
	Incarnation   uint64
}

// Watcher holds the applied configuration and routing table of an instance.
type Watcher struct {
	control  controlv1.Control
	instance Instance
	logger   *slog.Logger

	current atomic.Pointer[config.View]
	// expiry is the end of the routing lease, measured from the time at which
	// the last granted renewal was sent.
	expiry atomic.Pointer[time.Time]
	ready  chan struct{}
	routes *routes.Table

	// mu guards store.
	mu    sync.Mutex
	store itemStore
}

// New returns a watcher without an applied configuration.
func New(control controlv1.Control, instance Instance, logger *slog.Logger) *Watcher {
	w := &Watcher{
		control:  control,
		instance: instance,
		logger:   logger,
		store:    newItemStore(),
		ready:    make(chan struct{}),
		routes:   routes.NewTable(),
	}
	w.current.Store(config.NewView(0, &config.Document{}))
	return w
}

// View returns the applied configuration.
func (w *Watcher) View() *config.View { return w.current.Load() }

// Ready is closed once the first revision has been applied.
func (w *Watcher) Ready() <-chan struct{} { return w.ready }

// Routes returns the routing table.
func (w *Watcher) Routes() *routes.Table { return w.routes }

// LeaseValid reports whether the routing lease of this instance is valid. The
// term is measured on this process's monotonic clock from the time at which the
// renewal was sent and is shortened by the bound on clock-rate error, so the
// lease expires here before the control plane considers it expired.
func (w *Watcher) LeaseValid(now time.Time) bool {
	expiry := w.expiry.Load()
	return expiry != nil && now.Before(*expiry)
}

// Run polls and reports until the context is done.
func (w *Watcher) Run(ctx context.Context) {
	go w.reportLoop(ctx)
	for ctx.Err() == nil {
		if err := w.poll(ctx); err != nil && ctx.Err() == nil {
			w.logger.Warn("configuration poll failed", slog.Any("error", err))
			sleep(ctx, retryDelay)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (w *Watcher) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, longPollWait+requestTimeout)
	defer cancel()
	response, err := w.control.GetConfig(ctx, &controlv1.GetConfigRequest{
		Environment:   w.instance.Environment,
		KnownRevision: w.baseRevision(),
		WaitMs:        uint32(longPollWait.Milliseconds()),
		WithRouting:   true,

		KnownRoutingEpoch: w.routes.Current().Epoch,
	})
	if err != nil {
		return err
	}
	epochAdvanced := w.routes.Apply(response.Routing)
	applied, err := w.Apply(response)
	if err != nil || !(applied || epochAdvanced) {
		return err
	}
	return w.report(ctx)
}

// baseRevision returns the revision from which to request changes. It is 0,
// which requests the full document, while the digests differ.
func (w *Watcher) baseRevision() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.store.digestMismatch {
		return 0
	}
	return w.store.revision
}

// Apply applies a revision received from the control plane or another instance
// and reports whether it was applied. A response that is not newer, or whose
// delta starts after the current revision, is ignored. Invariant: the applied
// revision never decreases.
func (w *Watcher) Apply(response *controlv1.GetConfigResponse) (bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next, ok := w.store.next(response)
	if !ok {
		return false, nil
	}
	view, err := w.View().WithChanges(response.Revision, response.Full, next.upserts, next.removes)
	if err != nil {
		return false, err
	}
	first := w.store.revision == 0
	w.store = next.store
	w.current.Store(view)
	w.logger.Info("configuration applied", slog.Uint64("revision", response.Revision), slog.Bool("full", response.Full))
	if first {
		close(w.ready)
	}
	return true, nil
}

// DeltaSince returns the changes after a revision, for another instance to
// apply. It returns the full document if the removals since that revision are
// no longer known, and nil if the applied revision is not newer or its digest
// does not match the control plane's.
func (w *Watcher) DeltaSince(from uint64) *controlv1.GetConfigResponse {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.store.digestMismatch || w.store.revision <= from {
		return nil
	}
	return w.store.delta(from)
}

func (w *Watcher) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		if err := w.report(ctx); err != nil && ctx.Err() == nil {
			w.logger.Warn("applied revision report failed", slog.Any("error", err))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-w.routes.ReadersDrained():
		}
	}
}

func (w *Watcher) report(ctx context.Context) error {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	response, err := w.control.ReportApplied(ctx, &controlv1.ReportAppliedRequest{
		Environment:   w.instance.Environment,
		Instance:      w.instance.Name,
		Role:          w.instance.Role,
		FailureDomain: w.instance.FailureDomain,
		Revision:      w.View().Revision,
		Incarnation:   w.instance.Incarnation,
		LeaseMs:       uint32(leaseTerm.Milliseconds()),
		RoutingEpoch:  w.routes.AcknowledgedEpoch(),
	})
	if err != nil {
		return err
	}
	w.extendLease(lease.Expiry(sent, time.Duration(response.LeaseMs)*time.Millisecond))
	return nil
}

// extendLease sets the lease expiry unless the current one is later: a refused
// renewal or a reordered response does not revoke a granted term.
func (w *Watcher) extendLease(until time.Time) {
	for {
		previous := w.expiry.Load()
		if previous != nil && !until.After(*previous) {
			return
		}
		if w.expiry.CompareAndSwap(previous, &until) {
			return
		}
	}
}
