package fleetview

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// spreadTimes returns the times from the acknowledgement of a version until it is in force, sorted.
func (f *simFleet) spreadTimes(ctx context.Context, processes []*simProcess, version uint64) []time.Duration {
	times := make([]time.Duration, len(processes))
	acknowledgedAt := time.Now()
	f.publish(ctx, version)
	var all sync.WaitGroup
	for n, p := range processes {
		all.Go(func() {
			for changed := p.view.Changed(); p.version() < version; changed = p.view.Changed() {
				if p.version() >= version {
					break
				}
				<-changed
			}
			times[n] = time.Since(acknowledgedAt)
		})
	}
	all.Wait()
	slices.Sort(times)
	return times
}

// spreadCounts returns the numbers of entry instances to test with: GALENA_VIEW_INSTANCES adds one.
func spreadCounts(t *testing.T) []int {
	t.Helper()
	counts := []int{4, 40}
	if text := os.Getenv("GALENA_VIEW_INSTANCES"); text != "" {
		n, err := strconv.Atoi(text)
		require.NoError(t, err)
		counts = append(counts, n)
	}
	return counts
}

// A version is in force at all entry instances soon after its acknowledgement, however many they
// are: for an order that empties a failure domain this is when the last request goes there.
func TestVersionIsInForceSoonAtManyInstances(t *testing.T) {
	const controls, versions = 9, 10
	for _, count := range spreadCounts(t) {
		t.Run(fmt.Sprint(count, " instances"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer func() {
					cancel()
					time.Sleep(10 * time.Second)
				}()
				f := newSimFleet(uint64(count), controls)
				var processes []*simProcess
				for n := range count {
					processes = append(processes, f.start(ctx, fmt.Sprint("e-", n)))
				}
				f.publish(ctx, 1)
				time.Sleep(soakInTouchAfter)
				var times []time.Duration
				for version := uint64(2); version < versions+2; version++ {
					times = append(times, f.spreadTimes(ctx, processes, version)...)
					time.Sleep(time.Second + time.Duration(version)*37*time.Millisecond)
				}
				slices.Sort(times)
				t.Logf("in force after %v (median), %v (99 of 100), %v (all)", times[len(times)/2], times[len(times)*99/100], times[len(times)-1])
				require.Less(t, times[len(times)-1], soakInForceWithin)
			})
		})
	}
}

// An entry instance is cut off from all control instances while a version is acknowledged. It holds
// the one before, and has the new one soon after the cut.
func TestVersionIsInForceSoonAfterCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(10 * time.Second)
		}()
		f := newSimFleet(1, 5)
		p := f.start(ctx, "e")
		f.publish(ctx, 1)
		time.Sleep(soakInTouchAfter)
		require.Equal(t, uint64(1), p.version())
		healsAt := time.Now().Add(20 * time.Second)
		f.mu.Lock()
		for _, c := range f.controls {
			p.cutUntil[c.url] = healsAt
		}
		f.mu.Unlock()
		f.publish(ctx, 2)
		time.Sleep(19 * time.Second)
		require.Equal(t, uint64(1), p.version())
		require.Eventually(t, func() bool { return p.version() == 2 }, time.Second+soakInTouchAfter, simStep)
		t.Logf("in force %v after the cut", time.Since(healsAt))
	})
}
