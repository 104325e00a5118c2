package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The split must follow the observed work, for few long prompts among many short ones
// and for prompts of medium length.
func TestShortShareFollowsWork(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name                string
		shorts, shortTokens int
		longs, longTokens   int
		minimum, maximum    float64
	}{
		{"few long among many short", 207, 383, 14, 17_060, 0.3, 0.4},
		{"medium lengths", 84, 2368, 21, 11_992, 0.4, 0.5},
		{"only short", 100, 500, 0, 0, 0, 0},
		{"only long", 0, 0, 10, 9000, 0, 0},
		{"negligible short prompts", 1, 100, 100, 9000, 0, 0},
		{"few short prompts keep the minimum", 30, 700, 60, 9000, minShare, minShare},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var m LengthMix
			for range tt.shorts {
				m.Observe(tt.shortTokens, 256, now)
			}
			for range tt.longs {
				m.Observe(tt.longTokens, 256, now)
			}
			share := m.ShortShare()
			require.GreaterOrEqual(t, share, tt.minimum)
			require.LessOrEqual(t, share, tt.maximum)
		})
	}
}

func TestMixForgetsOldWork(t *testing.T) {
	var m LengthMix
	require.Zero(t, m.ShortShare(), "no share before any prompt")
	now := time.Unix(1000, 0)
	for range 100 {
		m.Observe(20_000, 256, now)
	}
	for range 100 {
		m.Observe(2000, 256, now.Add(20*mixHalfLife))
	}
	require.Zero(t, m.ShortShare(), "only short prompts remain")
}
