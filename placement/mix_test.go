package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestShareOfServersFollowsWhatComes: load patterns, few long prompts among many
// short ones, and prompts of middle length.
func TestShareOfServersFollowsWhatComes(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name                string
		shorts, shortTokens int
		longs, longTokens   int
		least, most         float64
	}{
		{"few long among many short", 207, 383, 14, 17_060, 0.3, 0.4},
		{"middle lengths", 84, 2368, 21, 11_992, 0.4, 0.5},
		{"only short", 100, 500, 0, 0, 0, 0},
		{"only long", 0, 0, 10, 9000, 0, 0},
		{"hardly any short", 1, 100, 100, 9000, 0, 0},
		{"a few short keep some", 30, 700, 60, 9000, leastShare, leastShare},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var m Mix
			for range tt.shorts {
				m.Note(tt.shortTokens, 256, now)
			}
			for range tt.longs {
				m.Note(tt.longTokens, 256, now)
			}
			share := m.ShortShare()
			require.GreaterOrEqual(t, share, tt.least)
			require.LessOrEqual(t, share, tt.most)
		})
	}
}

func TestMixForgetsAnOldLoad(t *testing.T) {
	var m Mix
	require.Zero(t, m.ShortShare(), "nothing is known")
	now := time.Unix(1000, 0)
	for range 100 {
		m.Note(20_000, 256, now)
	}
	for range 100 {
		m.Note(2000, 256, now.Add(20*mixHalf))
	}
	require.Zero(t, m.ShortShare(), "only short ones come now")
}
