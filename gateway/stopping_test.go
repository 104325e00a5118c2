package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/config/site"
)

// TestStoppingTakesWhatEndsInTime: load pattern, callers that still come to an
// instance that is to stop, with answers and with streams of seconds.
func TestStoppingTakesWhatEndsInTime(t *testing.T) {
	const grace = 8 * time.Second
	told := time.Unix(1000, 0)
	tests := []struct {
		name         string
		after, needs time.Duration
		want         bool
	}{
		{"at once, short", 0, 300 * time.Millisecond, true},
		{"at once, longer than the grace", 0, 15 * time.Second, false},
		{"a stream that just ends", 4 * time.Second, 3250 * time.Millisecond, true},
		{"a stream that would be broken off", 5 * time.Second, 2500 * time.Millisecond, false},
		{"a short one at the end", 7 * time.Second, 200 * time.Millisecond, true},
		{"nothing after the end", 8 * time.Second, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var s stopping
			require.True(t, s.takes(told, time.Hour), "before the order")
			s.order(told, grace)
			require.True(t, s.begun())
			require.Equal(t, tt.want, s.takes(told.Add(tt.after), tt.needs))
			require.Equal(t, tt.after >= grace-graceMargin, s.over(told.Add(tt.after)))
		})
	}
}

func TestNeedsAreTheLongestLately(t *testing.T) {
	var n needs
	require.Equal(t, 15*time.Second, n.of("stream", 15*time.Second), "not known: the route's own bound")
	n.note("stream", 2*time.Second)
	n.note("stream", 4*time.Second)
	n.note("stream", time.Second)
	require.InDelta(t, float64(4*time.Second), float64(n.of("stream", 15*time.Second)), float64(100*time.Millisecond))
	require.Equal(t, time.Second, n.of("stream", time.Second), "no request lasts longer than its route allows")
	for range 1000 {
		n.note("stream", time.Second)
	}
	require.InDelta(t, float64(time.Second), float64(n.of("stream", 15*time.Second)), float64(50*time.Millisecond), "an old load is forgotten")
	n.keep([]site.Route{{Name: "other"}})
	require.Equal(t, 15*time.Second, n.of("stream", 15*time.Second))
}
