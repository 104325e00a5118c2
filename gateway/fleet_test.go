package gateway

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/fleetv1"
)

func TestStoresQuestionsAreSharedAmongInstances(t *testing.T) {
	entries := make(map[string]*fleetv1.EntryInstance)
	for i := range 28 {
		entries[fmt.Sprint("e", i)] = nil
	}
	for s := range 20 {
		asking := 0
		for name := range entries {
			if mayWatch(entries, name, fmt.Sprint("store", s), 12) {
				asking++
			}
		}
		require.Equal(t, 12-spareWatchers, asking)
	}
	require.True(t, mayWatch(nil, "e1", "store", 12), "before others are known")
	require.True(t, mayWatch(entries, "e1", "store", 0), "no limit is stated")
}
