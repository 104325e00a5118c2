package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLatestStartLeavesTimeForTheWork(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name           string
		deadline       time.Duration
		leaves         time.Duration
		toEnd, toEvent time.Duration
		want           time.Duration
	}{
		{"work unknown", time.Second, 0, 0, 0, time.Second - minWorkTime},
		{"work known", time.Second, 0, 500 * time.Millisecond, 0, 500 * time.Millisecond},
		{"more work than time", time.Second, 0, 3 * time.Second, 0, -2 * time.Second},
		{"stream whose client stays until the deadline", time.Second, 2 * time.Second, 500 * time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond},
		{"stream whose client leaves sooner", 5 * time.Second, 2 * time.Second, 500 * time.Millisecond, 300 * time.Millisecond, 1700 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := ClientTime{Deadline: now.Add(tt.deadline), ToEnd: tt.toEnd, ToEvent: tt.toEvent}
			if tt.leaves > 0 {
				c.LeavesAt = now.Add(tt.leaves)
			}
			require.Equal(t, tt.want, c.LatestStart().Sub(now))
		})
	}
}

// A request that no server takes is looked after for as long as one can still serve it, at growing
// intervals if it reaches servers, and is given up at once when none can.
func TestSearchEndsWhenNoServerCanServeInTime(t *testing.T) {
	begin := time.Unix(1000, 0)
	client := ClientTime{Deadline: begin.Add(2 * time.Second), ToEnd: 500 * time.Millisecond}
	run := func(reached bool) (searches int, end time.Duration) {
		var s ServerSearch
		now, sends := begin, 1
		for {
			wait, ok := s.Next(&client, sends, time.Time{}, now)
			if !ok {
				return searches, now.Sub(begin)
			}
			now, searches = now.Add(wait), searches+1
			if reached {
				sends++
			}
		}
	}
	searches, end := run(false)
	require.Equal(t, 15, searches)
	require.Equal(t, 1500*time.Millisecond-searchMargin, end, "until the work can no longer be done, not until the deadline")
	searches, end = run(true)
	require.Equal(t, 4, searches)
	require.Equal(t, 1500*time.Millisecond-searchMargin, end)

	var s ServerSearch
	wait, ok := s.Next(&client, 1, begin.Add(time.Second), begin)
	require.True(t, ok)
	require.Equal(t, time.Second, wait, "all servers have asked for a pause that leaves time for the work")
	_, ok = s.Next(&client, 1, begin.Add(1600*time.Millisecond), begin)
	require.False(t, ok, "all servers have asked for a pause that leaves no time for the work")
}

// A server that does not begin its response is left in time for another one to do the work, and the
// last search for a server comes before that is too late: otherwise a request would leave its server
// only to be given up.
func TestServerIsLeftInTimeForAnother(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, work := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond, 700 * time.Millisecond} {
		for _, leaves := range []time.Duration{0, 2 * time.Second} {
			c := ClientTime{Deadline: now.Add(time.Second), ToEnd: work, ToEvent: work / 2}
			if leaves > 0 {
				c.LeavesAt = now.Add(leaves)
			}
			timeout := c.AttemptTimeout(now)
			require.Positive(t, timeout)
			require.True(t, c.MaySwitch(now.Add(timeout+switchTime/2)), "work of %v", work)
		}
	}
	c := ClientTime{Deadline: now.Add(time.Second), ToEnd: 990 * time.Millisecond}
	require.False(t, c.MaySwitch(now))
	require.Positive(t, c.AttemptTimeout(now), "no other server has time: this one gets what it needs")

	c = ClientTime{Deadline: now.Add(time.Second), ToEnd: 300 * time.Millisecond}
	var s ServerSearch
	at := now
	for {
		wait, ok := s.Next(&c, 1, time.Time{}, at)
		if !ok {
			break
		}
		at = at.Add(wait)
		require.True(t, at.Add(searchMargin/2).Before(c.LatestStart()), "a search that is a little late is still of use")
	}
}

// TestEventTimeoutLeavesTimeForAnotherServer guards against a server that takes a stream over, sends
// no event, and is left only after the client.
func TestEventTimeoutLeavesTimeForAnotherServer(t *testing.T) {
	now := time.Unix(1000, 0)
	limit := 1200 * time.Millisecond
	for _, test := range []struct {
		name             string
		deadline, leaves time.Duration
		want             time.Duration
	}{
		{"client waits for long", time.Minute, time.Minute, limit},
		{"client leaves soon", time.Minute, 800 * time.Millisecond, 680 * time.Millisecond},
		{"deadline soon", 500 * time.Millisecond, 800 * time.Millisecond, 380 * time.Millisecond},
		{"no time for another server", time.Minute, 120 * time.Millisecond, limit},
		{"time for another server, but not for an event before", time.Minute, 150 * time.Millisecond, limit},
		{"just time for both", time.Minute, 160 * time.Millisecond, 40 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			client := ClientTime{Deadline: now.Add(test.deadline), LeavesAt: now.Add(test.leaves)}
			require.Equal(t, test.want, client.EventTimeout(limit, now))
		})
	}
}
