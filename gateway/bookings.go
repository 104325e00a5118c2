package gateway

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/fleetview"
	"github.com/galenaarch/galenaarch/placement"
)

const (
	// bookingTimeout limits a booking: a prompt waits for it, and is sent without it after
	// that.
	bookingTimeout = 40 * time.Millisecond
	// keeperBackoff is how long a keeper that did not answer is not asked.
	keeperBackoff = 2 * time.Second
)

// Outcomes of bookings, as label values of a metric.
const (
	bookingAccepted = "accepted"
	bookingRefused  = "refused"
	bookingFailed   = "failed"
)

// bookings books long prompts with the keepers of the servers' accounts, and keeps the
// accounts for which this instance is the keeper. They are advice: without a keeper, a prompt
// is placed by what instances tell each other.
type bookings struct {
	gateway *Gateway
	// outcomes counts bookings of this instance, kept those that it decided on.
	outcomes *prometheus.CounterVec
	kept     *prometheus.CounterVec

	mu     sync.Mutex
	ledger dispatch.WorkLedger
	// silentUntil is until when a keeper is not asked, by instance.
	silentUntil map[string]time.Time
}

func newBookings(g *Gateway, m *metrics) *bookings {
	return &bookings{gateway: g, outcomes: m.spread.bookings, kept: m.spread.accounts, silentUntil: make(map[string]time.Time)}
}

// chooseKeepers sets the keeper of the account of each server of a service: the entry instance
// of highest rank, in the server's failure domain if there are any.
func chooseKeepers(list []*backend, s *fleetview.Snapshot) {
	type candidate struct {
		*fleetv1.EntryInstance
		hash uint64
	}
	candidates := make([]candidate, 0, len(s.Entries))
	for name, e := range s.Entries {
		if e.PeerUrl != "" {
			candidates = append(candidates, candidate{e, placement.HomeHash(name)})
		}
	}
	for _, b := range list {
		var keeper *fleetv1.EntryInstance
		near, best := false, uint64(0)
		for _, e := range candidates {
			if near && e.Zone != b.zone {
				continue
			}
			if rank := placement.HomeRank(e.hash, b.homeHash); keeper == nil || rank > best || (e.Zone == b.zone && !near) {
				keeper, best, near = e.EntryInstance, rank, e.Zone == b.zone
			}
		}
		b.keeper.Store(keeper)
	}
}

// confirm books a prompt that was placed, and reports whether it is sent: not if more is booked at
// the server than was assumed, so that another one may be better.
func (k *bookings) confirm(ctx context.Context, c *call, b *backend, refusals int) bool {
	g := k.gateway
	keeper := b.keeper.Load()
	if c.prompt == nil || b.peer != nil || keeper == nil || b.isRateLimited(time.Now()) || g.evidence.relevant.Load() || c.lastEventAt.Load() != 0 || !g.hasFleetHomes(g.routing.Load(), c.service.Name) {
		return true
	}
	c.state.mu.Lock()
	job := c.job()
	c.state.mu.Unlock()
	booking, wanted := g.policy.NewBooking(&job, &c.decision, refusals)
	if !wanted {
		return true
	}
	ahead, booked, known := k.book(ctx, keeper, b.server, booking)
	if !known {
		k.outcomes.WithLabelValues(bookingFailed).Inc()
		return true
	}
	now := time.Now()
	if !booked {
		k.outcomes.WithLabelValues(bookingRefused).Inc()
		b.update(func(t *dispatch.BackendState) { t.Booked(ahead, now) })
		return false
	}
	k.outcomes.WithLabelValues(bookingAccepted).Inc()
	b.update(func(t *dispatch.BackendState) { t.Booked(ahead+booking.Work, now) })
	return true
}

// isRateLimited reports whether requests to the server take permits: one that was taken for a
// prompt is not returned.
func (b *backend) isRateLimited(now time.Time) bool {
	l := b.rateLimit.Load()
	return l != nil && l.limited(now)
}

// book asks the keeper of a server's account; known is false if it does not answer in time.
func (k *bookings) book(ctx context.Context, keeper *fleetv1.EntryInstance, server string, booking dispatch.Booking) (ahead time.Duration, booked, known bool) {
	if keeper.Name == k.gateway.instance {
		ahead, booked = k.decide(server, booking)
		return ahead, booked, true
	}
	k.mu.Lock()
	silent := time.Now().Before(k.silentUntil[keeper.Name])
	k.mu.Unlock()
	if silent {
		return 0, false, false
	}
	asking, cancel := context.WithTimeout(ctx, bookingTimeout)
	defer cancel()
	response, err := k.gateway.peers.permitClient(keeper.PeerUrl).BookWork(asking, &fleetv1.BookWorkRequest{Server: server, WorkUs: uint64(booking.Work.Microseconds()), LimitUs: uint64(booking.Limit.Microseconds())})
	switch {
	case err == nil:
	case ctx.Err() != nil: // the client has left
		return 0, false, false
	default:
		k.recordSilent(keeper.Name, err)
		return 0, false, false
	}
	return time.Duration(response.AheadUs) * time.Microsecond, response.Booked, true
}

// recordSilent records that a keeper did not answer.
func (k *bookings) recordSilent(keeper string, err error) {
	now := time.Now()
	k.mu.Lock()
	for name, until := range k.silentUntil {
		if now.After(until) {
			delete(k.silentUntil, name)
		}
	}
	k.silentUntil[keeper] = now.Add(keeperBackoff)
	k.mu.Unlock()
	k.gateway.logger.Info("booking failed", slog.String("keeper", keeper), slog.Duration("not_asked_for", keeperBackoff), slog.Any("error", err))
}

// decide decides on a booking at a server whose account this instance keeps.
func (k *bookings) decide(server string, booking dispatch.Booking) (ahead time.Duration, booked bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	ahead, booked = k.ledger.Book(server, booking.Work, booking.Limit, time.Now())
	outcome := bookingRefused
	if booked {
		outcome = bookingAccepted
	}
	k.kept.WithLabelValues(outcome).Inc()
	return ahead, booked
}

// serve responds to a booking of another instance.
func (k *bookings) serve(r *fleetv1.BookWorkRequest) *fleetv1.BookWorkResponse {
	ahead, booked := k.decide(r.Server, dispatch.Booking{Work: microseconds(r.WorkUs), Limit: microseconds(r.LimitUs)})
	return &fleetv1.BookWorkResponse{AheadUs: uint64(ahead.Microseconds()), Booked: booked}
}

// microseconds converts a duration on the wire, at most a day.
func microseconds(us uint64) time.Duration {
	return time.Duration(min(us, uint64((24*time.Hour).Microseconds()))) * time.Microsecond
}
