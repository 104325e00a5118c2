package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A draining instance accepts what ends before it exits, whatever the server does: requests of all
// kinds, early and late in the drain, and also if they arrived before it and are sent now.
func TestDrainAdmitsRequestsThatEndInTime(t *testing.T) {
	const grace = 8 * time.Second
	begin := time.Unix(1000, 0)
	tests := []struct {
		name string
		// after is when the request arrives, counted from the start of the drain.
		after, timeout time.Duration
		want           bool
	}{
		{"short timeout at the start", 0, time.Second, true},
		{"timeout that just ends in time", 0, 7250 * time.Millisecond, true},
		{"timeout above the grace period", 0, 15 * time.Second, false},
		{"late, ends in time", 5 * time.Second, 2250 * time.Millisecond, true},
		{"late, may take longer", 5 * time.Second, 2251 * time.Millisecond, false},
		{"arrived before the drain, ends in time", -2 * time.Second, 9250 * time.Millisecond, true},
		{"arrived before the drain, may take longer", -2 * time.Second, 9251 * time.Millisecond, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &call{gateway: &Gateway{}, startedAt: begin.Add(tt.after)}
			c.setDeadline(tt.timeout)
			drain := &c.gateway.drain
			require.True(t, c.endsInTime(), "before the drain")
			drain.start(begin, grace)
			require.True(t, drain.started())
			require.Equal(t, tt.want, c.endsInTime())
			require.False(t, drain.expired(begin.Add(grace-graceMargin-1)))
			require.True(t, drain.expired(begin.Add(grace-graceMargin)))
			drain.end()
			require.False(t, c.endsInTime(), "after the end")
		})
	}
}
