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
	require.Equal(t, 1500*time.Millisecond, end, "until the work can no longer be done, not until the deadline")
	searches, end = run(true)
	require.Equal(t, 4, searches)
	require.Equal(t, 1500*time.Millisecond, end)

	var s ServerSearch
	wait, ok := s.Next(&client, 1, begin.Add(time.Second), begin)
	require.True(t, ok)
	require.Equal(t, time.Second, wait, "all servers have asked for a pause that leaves time for the work")
	_, ok = s.Next(&client, 1, begin.Add(1600*time.Millisecond), begin)
	require.False(t, ok, "all servers have asked for a pause that leaves no time for the work")
}
