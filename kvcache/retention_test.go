package kvcache

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// accessAt records accesses to a context at the given times since testEpoch and
// returns its access record.
func accessAt(stats *AccessStats, class string, times ...time.Duration) *AccessRecord {
	record := &AccessRecord{}
	for _, offset := range times {
		stats.recordAccess(record, &LookupRequest{ClientAccount: "a", Class: class, Weight: 1}, true, testEpoch.Add(offset))
	}
	return record
}

// trainPeriodic records periodic accesses to contexts of a class.
func trainPeriodic(stats *AccessStats, class string) {
	for i := range 20 {
		interval := time.Duration(i+1) * time.Hour
		accessAt(stats, class, 0, interval, 2*interval, 3*interval)
	}
}

func TestExpectedSavingRanksBlocks(t *testing.T) {
	now := testEpoch.Add(100 * time.Hour)
	cases := []struct {
		name          string
		higher, lower func(s *AccessStats) *AccessRecord
	}{
		{"a short period ranks above a long one accessed later",
			func(s *AccessStats) *AccessRecord { return accessAt(s, "r", 90*time.Hour, 94*time.Hour, 98*time.Hour) },
			func(s *AccessStats) *AccessRecord { return accessAt(s, "r", 19*time.Hour, 59*time.Hour, 99*time.Hour) }},
		{"nearly due ranks above just accessed, with the same period",
			func(s *AccessStats) *AccessRecord {
				return accessAt(s, "r", 51*time.Hour, 71*time.Hour, 81*time.Hour+time.Hour)
			},
			func(s *AccessStats) *AccessRecord { return accessAt(s, "r", 59*time.Hour, 79*time.Hour, 99*time.Hour) }},
		{"on schedule ranks above long overdue",
			func(s *AccessStats) *AccessRecord { return accessAt(s, "r", 79*time.Hour, 89*time.Hour, 99*time.Hour) },
			func(s *AccessStats) *AccessRecord { return accessAt(s, "r", 18*time.Hour, 19*time.Hour, 20*time.Hour) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			stats := NewAccessStats(testEpoch)
			trainPeriodic(stats, "r")
			higher, lower := c.higher(stats), c.lower(stats)
			var saving ExpectedSaving
			require.Greater(t, saving.Value(stats, higher, now), saving.Value(stats, lower, now))
		})
	}
}

// TestExpectedSavingFollowsClassReuseRate: a context of a class that is seldom reused
// has a lower value.
func TestExpectedSavingFollowsClassReuseRate(t *testing.T) {
	stats := NewAccessStats(testEpoch)
	for i := range 50 {
		first := time.Duration(i) * time.Minute
		accessAt(stats, "once", first)
		accessAt(stats, "often", first, first+10*time.Minute, first+30*time.Minute)
	}
	now := testEpoch.Add(100 * time.Minute)
	once, often := accessAt(stats, "once", 99*time.Minute), accessAt(stats, "often", 99*time.Minute)
	var saving ExpectedSaving
	require.Greater(t, saving.Value(stats, often, now), 4*saving.Value(stats, once, now))
	var recency Recency
	require.Equal(t, recency.Value(stats, often, now), recency.Value(stats, once, now))
}

func TestMetadataRoundTrip(t *testing.T) {
	stats := NewAccessStats(testEpoch)
	record := accessAt(stats, "d/interactive", time.Minute, 3*time.Minute, 5*time.Minute)
	record.depth = 7
	metadata := ParseBlockMetadata(stats.metadata(record).String())
	require.Equal(t, BlockMetadata{ClientAccount: "a", Class: "d/interactive", Weight: 1, Accesses: 3, Depth: 7, MeanInterval: 2 * time.Minute}, metadata)

	other := NewAccessStats(testEpoch)
	var restored AccessRecord
	other.restore(&restored, metadata, testEpoch)
	require.Equal(t, 3, restored.Accesses())
	require.Equal(t, 7, restored.Depth())
	for _, text := range []string{"", "a|b", "a|b|x|1|1|1s", "a|b|1|1|1|soon", "a|b|1|70000|1|1s"} {
		require.Equal(t, BlockMetadata{}, ParseBlockMetadata(text), fmt.Sprintf("%q", text))
	}
}

func TestCalibration(t *testing.T) {
	var c Calibration
	require.Equal(t, 1.0, c.Ratio("d"))
	for range 300 {
		c.Observe("d", 1000, 1300)
	}
	require.InDelta(t, 1.3, c.Ratio("d"), 0.01)
	c.Observe("d", 0, 10)
	c.Observe("d", 10, 0)
	require.InDelta(t, 1.3, c.Ratio("d"), 0.01)
	require.Equal(t, 1.0, c.Ratio("other"))
}
