package dispatch

import (
	"time"

	"github.com/galenaarch/galenaarch/admission"
	"github.com/galenaarch/galenaarch/placement"
)

// WorkLedger is the account that one instance keeps of the prefill work of long prompts
// at some of the servers. It is for large fleets: what instances tell each other of
// their load is older than a prompt takes, and two that know nothing of each other's
// prompt send both to the same server. Each instance books the work of a prompt with the
// keeper of the server's account before it sends the prompt. An account needs no message when
// work is done: booked work ends by the clock. It is not safe for concurrent use.
type WorkLedger struct{ busyUntil map[string]time.Time }

// maxBookedWork bounds the work that is booked at a server: bookings of prompts that were abandoned
// or sent again are not returned.
const maxBookedWork = 10 * time.Second

// maxAccounts bounds the accounts of a ledger. Accounts without work are deleted first; a
// booking beyond the bound is accepted and not kept.
const maxAccounts = 4096

// Book books work at a server if what is booked there ends within limit, and returns the
// time until then.
func (l *WorkLedger) Book(server string, work, limit time.Duration, now time.Time) (ahead time.Duration, booked bool) {
	ahead = max(0, l.busyUntil[server].Sub(now))
	if ahead > limit {
		return ahead, false
	}
	if l.busyUntil == nil {
		l.busyUntil = make(map[string]time.Time)
	}
	if len(l.busyUntil) >= maxAccounts {
		l.removeIdle(now)
	}
	if _, known := l.busyUntil[server]; known || len(l.busyUntil) < maxAccounts {
		l.busyUntil[server] = now.Add(min(ahead+max(0, work), maxBookedWork))
	}
	return ahead, true
}

// removeIdle deletes the accounts whose work has ended.
func (l *WorkLedger) removeIdle(now time.Time) {
	for server, until := range l.busyUntil {
		if !until.After(now) {
			delete(l.busyUntil, server)
		}
	}
}

const (
	// bookingSlack is how much more work than assumed may be booked ahead of a prompt before
	// another server is considered.
	bookingSlack = 50 * time.Millisecond
	// MaxBookingRefusals is the number of refused bookings after which a prompt is sent to the
	// server that is then the best, whatever is booked there.
	MaxBookingRefusals = 2
)

// Booking is what is asked of the keeper of a server's account.
type Booking struct{ Work, Limit time.Duration }

// NewBooking returns the booking for a decision to send a prompt; false if the prompt is
// not booked: short ones end sooner than a question is worth, and those that yield to others
// are read when nothing else is. refusals counts the bookings refused before.
func (p *Policy) NewBooking(req *placement.Job, d *Decision, refusals int) (Booking, bool) {
	if !p.Enabled(WorkBooking) || !req.Long || d.Action != Send || d.Verdict != admission.Admit || req.PrefillRate <= 0 {
		return Booking{}, false
	}
	b := Booking{Work: prefillTime(d.PrefillTokens, req.PrefillRate), Limit: prefillTime(d.QueuedTokens, req.PrefillRate) + bookingSlack}
	if refusals >= MaxBookingRefusals {
		b.Limit = maxBookedWork * maxAccounts
	}
	return b, true
}

// prefillTime returns the time to prefill tokens at a rate in tokens per millisecond.
func prefillTime(tokens int, rate float64) time.Duration {
	return time.Duration(float64(tokens) / rate * float64(time.Millisecond))
}

// Booked records the answer of the keeper of the server's account: the work that is booked
// there, with that of this instance's prompt if it was accepted.
func (b *BackendState) Booked(work time.Duration, now time.Time) {
	b.bookedUntil = now.Add(min(work, maxBookedWork))
}

// AddBooked raises the work in a view to what is booked at the server, as far as known. rate
// is the prefill rate in tokens per millisecond.
func (b *BackendState) AddBooked(s *placement.Server, rate float64, now time.Time) {
	if left := b.bookedUntil.Sub(now); left > 0 {
		s.PrefillTokens = max(s.PrefillTokens, int(rate*float64(left)/float64(time.Millisecond)))
	}
}
