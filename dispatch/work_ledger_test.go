package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/admission"
	"github.com/galenaarch/galenaarch/placement"
)

func TestLedgerRefusesWhatIsBookedAhead(t *testing.T) {
	var l WorkLedger
	now := time.Unix(100, 0)
	ahead, booked := l.Book("s", 300*time.Millisecond, 0, now)
	require.True(t, booked)
	require.Zero(t, ahead)
	ahead, booked = l.Book("s", time.Second, 50*time.Millisecond, now.Add(100*time.Millisecond))
	require.False(t, booked)
	require.Equal(t, 200*time.Millisecond, ahead)
	ahead, booked = l.Book("s", time.Second, 50*time.Millisecond, now.Add(260*time.Millisecond))
	require.True(t, booked, "booked work ends by the clock")
	require.Equal(t, 40*time.Millisecond, ahead)
	_, booked = l.Book("other", time.Second, 0, now)
	require.True(t, booked)
}

// A caller that books a lot, or many servers, keeps no account for ever.
func TestLedgerIsBounded(t *testing.T) {
	var l WorkLedger
	now := time.Unix(100, 0)
	_, booked := l.Book("s", time.Hour, 0, now)
	require.True(t, booked)
	ahead, _ := l.Book("s", 0, 0, now)
	require.Equal(t, maxBookedWork, ahead)
	for n := range 2 * maxAccounts {
		_, booked := l.Book(fmt.Sprint(n), time.Second, 0, now)
		require.True(t, booked)
	}
	require.LessOrEqual(t, len(l.busyUntil), maxAccounts)
	_, booked = l.Book("new", time.Second, 0, now.Add(maxBookedWork+time.Second))
	require.True(t, booked)
	require.Len(t, l.busyUntil, 1)
}

// Only long prompts that are sent in arrival order are booked, and after some refusals with any
// work ahead: a booking never keeps a prompt from being sent.
func TestOnlyLongPromptsAreBooked(t *testing.T) {
	p := &Policy{}
	job := placement.Job{Long: true, PrefillRate: 50}
	sent := Decision{Action: Send, PrefillTokens: 10_000, QueuedTokens: 5000}
	b, wanted := p.NewBooking(&job, &sent, 0)
	require.True(t, wanted)
	require.Equal(t, Booking{Work: 200 * time.Millisecond, Limit: 100*time.Millisecond + bookingSlack}, b)
	b, _ = p.NewBooking(&job, &sent, MaxBookingRefusals)
	require.Greater(t, b.Limit, maxBookedWork)
	deferred, held := sent, sent
	deferred.Verdict, held.Action = admission.Defer, Hold
	without, err := Without("bookings")
	require.NoError(t, err)
	for _, tt := range []struct {
		p   *Policy
		job placement.Job
		d   Decision
	}{{p, placement.Job{PrefillRate: 50}, sent}, {p, job, deferred}, {p, job, held}, {p, placement.Job{Long: true}, sent}, {without, job, sent}} {
		_, wanted := tt.p.NewBooking(&tt.job, &tt.d, 0)
		require.False(t, wanted)
	}
}

func TestBookedWorkCountsUntilItEnds(t *testing.T) {
	now := time.Unix(100, 0)
	b := NewBackendState(BackendInfo{Slots: 4}, now)
	b.Booked(200*time.Millisecond, now)
	s := placement.Server{PrefillTokens: 1000}
	b.AddBooked(&s, 50, now.Add(100*time.Millisecond))
	require.Equal(t, 5000, s.PrefillTokens)
	s.PrefillTokens = 1000
	b.AddBooked(&s, 50, now.Add(200*time.Millisecond))
	require.Equal(t, 1000, s.PrefillTokens)
}
