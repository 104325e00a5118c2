package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPaceFollowsWhatAnswersShow replays prompts of a calm day: tokens read and
// the time to the first event without the engine's overhead.
func TestPaceFollowsWhatAnswersShow(t *testing.T) {
	seen := []struct {
		tokens int
		took   time.Duration
	}{{6700, 175}, {9100, 245}, {12_800, 354}, {16_100, 451}, {20_400, 591}, {25_000, 755}}
	pace := 49.6
	for range 20 {
		for _, s := range seen {
			pace = Pace(pace, s.tokens, s.took*time.Millisecond)
		}
	}
	for _, s := range seen {
		expected := time.Duration(float64(s.tokens) / pace * float64(time.Millisecond))
		require.InEpsilon(t, s.took*time.Millisecond, expected, 0.15, "%d tokens", s.tokens)
	}
	require.InDelta(t, FirstPace, pace, 3)
}

func TestPaceIgnoresWhatSaysLittle(t *testing.T) {
	require.Equal(t, 30.0, Pace(30, paceLeast-1, time.Millisecond), "short prompts")
	require.Equal(t, 30.0, Pace(30, 10_000, 0), "no time was taken")
	pace := float64(FirstPace)
	for range 1000 {
		pace = Pace(pace, 10_000, time.Hour)
	}
	require.InDelta(t, FirstPace/paceBound, pace, 0.3, "a stuck server does not make all look stuck")
}
