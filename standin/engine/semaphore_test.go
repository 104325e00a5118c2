package engine

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// TestYieldLetsMoreUrgentWaiterRunFirst checks that a request keeps its slot between
// prefill chunks unless a more urgent one waits.
func TestYieldLetsMoreUrgentWaiterRunFirst(t *testing.T) {
	cases := []struct {
		name          string
		holder, other int
		first         string
	}{
		{"more urgent", 10, 0, "other"},
		{"equally urgent", 10, 10, "holder"},
		{"less urgent", 0, 10, "holder"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sem := newSemaphore(1)
				ctx := context.Background()
				require.NoError(t, sem.acquire(ctx, c.holder))
				order := make(chan string, 2)
				go func() {
					require.NoError(t, sem.acquire(ctx, c.other))
					order <- "other"
					sem.release()
				}()
				synctest.Wait()
				require.NoError(t, sem.yield(ctx, c.holder))
				order <- "holder"
				sem.release()
				synctest.Wait()
				require.Equal(t, c.first, <-order)
			})
		})
	}
}

func TestYieldWithCancelledContextReleasesSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sem := newSemaphore(1)
		ctx, cancel := context.WithCancel(context.Background())
		require.NoError(t, sem.acquire(ctx, 10))
		go func() { _ = sem.acquire(context.Background(), 0) }()
		synctest.Wait()
		cancel()
		require.Error(t, sem.yield(ctx, 10))
		sem.release()
		require.Equal(t, 1, sem.free, "the slot is released exactly once")
	})
}
