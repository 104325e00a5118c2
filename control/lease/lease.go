// Package lease acquires and renews named leases that the control service
// grants.
package lease

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/galenaarch/galenaarch/api/controlv1"
)

// MaxClockDrift bounds the difference in clock rate between two instances,
// as a fraction of the elapsed time. The control leader counts a lease term on
// its clock from the receipt of a request. The holder counts a term shortened by
// this fraction on its own clock, from before it sends the request, so its lease
// ends first.
const MaxClockDrift = 0.01

// A lease is renewed, and a failed attempt is retried, renewalsPerTerm times per
// term.
const (
	renewalsPerTerm = 3
	releaseTimeout  = time.Second
)

// Expiry returns the time by which a holder must have stopped acting, for a
// request sent at the given time. sent must carry a monotonic clock reading.
func Expiry(sent time.Time, term time.Duration) time.Time {
	return sent.Add(time.Duration(float64(term) * (1 - MaxClockDrift)))
}

// Grant is a held lease.
type Grant struct {
	// FencingNumber is higher than that of every earlier grant of any lease.
	FencingNumber uint64
	expiry        time.Time
}

// Valid reports whether the grant is valid at a time. A nil grant is not.
func (g *Grant) Valid(now time.Time) bool { return g != nil && now.Before(g.expiry) }

// Deadline returns the time at which the grant expires unless renewed.
func (g *Grant) Deadline() time.Time { return g.expiry }

// ErrHeld is returned while another holder has the lease.
var ErrHeld = errors.New("lease is held by another holder")

// Holder acquires and renews one named lease.
type Holder struct {
	control controlv1.Control
	name    string
	holder  string
	term    time.Duration
	grant   atomic.Pointer[Grant]
	note    atomic.Pointer[string]
	// acquireID identifies the pending acquisition. A retry after a lost
	// response reuses it, so that control returns the same grant.
	acquireID string
}

// NewHolder returns a holder that does not hold the lease yet.
func NewHolder(control controlv1.Control, name, holder string, term time.Duration) *Holder {
	return &Holder{control: control, name: name, holder: holder, term: term}
}

// Grant returns the current grant, or nil if there is none or it has expired.
func (h *Holder) Grant(now time.Time) *Grant {
	g := h.grant.Load()
	if !g.Valid(now) {
		return nil
	}
	return g
}

// SetNote sets the progress note that is published with each renewal.
func (h *Holder) SetNote(note string) { h.note.Store(&note) }

// AcquireOrRenew makes one attempt to acquire or renew the lease. It returns
// ErrHeld while another holder has it. It is not safe for concurrent use.
func (h *Holder) AcquireOrRenew(ctx context.Context) (*Grant, error) {
	req := &controlv1.AcquireLeaseRequest{Name: h.name, Holder: h.holder, TermMs: uint32(h.term.Milliseconds())}
	if note := h.note.Load(); note != nil {
		req.Note = *note
	}
	sent := time.Now()
	current := h.Grant(sent)
	if current != nil {
		req.FencingNumber = current.FencingNumber
	} else {
		if h.acquireID == "" {
			h.acquireID = uuid.NewString()
		}
		req.AcquireId = h.acquireID
	}
	response, err := h.control.AcquireLease(ctx, req)
	if err != nil {
		return nil, err
	}
	h.acquireID = ""
	if !response.Granted {
		h.grant.Store(nil)
		return nil, ErrHeld
	}
	grant := &Grant{FencingNumber: response.FencingNumber, expiry: Expiry(sent, h.term)}
	h.grant.Store(grant)
	return grant, nil
}

// Run keeps acquiring and renewing the lease until the context is done, then
// releases it. onChange is called with each new grant, and with nil when the
// grant is lost and before it is released.
func (h *Holder) Run(ctx context.Context, logger *slog.Logger, onChange func(*Grant)) {
	defer h.Release()
	var lastNumber uint64
	for ctx.Err() == nil {
		attemptCtx, cancel := context.WithTimeout(ctx, h.term/renewalsPerTerm)
		_, err := h.AcquireOrRenew(attemptCtx)
		cancel()
		if err != nil && !errors.Is(err, ErrHeld) && ctx.Err() == nil {
			logger.Warn("failed to acquire or renew lease", slog.String("lease", h.name), slog.Any("error", err))
		}
		lastNumber = h.notifyIfChanged(lastNumber, onChange)
		h.waitForRenewal(ctx)
		lastNumber = h.notifyIfChanged(lastNumber, onChange)
	}
	if lastNumber != 0 {
		onChange(nil)
	}
}

// notifyIfChanged calls onChange if the current fencing number differs from
// lastNumber; it returns the current one, 0 if the lease is not held.
func (h *Holder) notifyIfChanged(lastNumber uint64, onChange func(*Grant)) uint64 {
	grant := h.Grant(time.Now())
	var number uint64
	if grant != nil {
		number = grant.FencingNumber
	}
	if number != lastNumber {
		onChange(grant)
	}
	return number
}

// waitForRenewal waits until the next renewal is due, but not past the expiry
// of the grant.
func (h *Holder) waitForRenewal(ctx context.Context) {
	wait := h.term / renewalsPerTerm
	if g := h.Grant(time.Now()); g != nil {
		wait = min(wait, time.Until(g.expiry))
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Release gives up a held lease before its term ends. It must not be called
// during an attempt to acquire or renew the lease, nor before all work done under
// the grant has ended.
func (h *Holder) Release() {
	grant := h.grant.Swap(nil)
	if grant == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	// If the release is lost, the next holder waits for the term to end.
	_, _ = h.control.ReleaseLease(ctx, &controlv1.ReleaseLeaseRequest{
		Name: h.name, Holder: h.holder, FencingNumber: grant.FencingNumber,
	})
}
