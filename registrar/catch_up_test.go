package registrar

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWaitingPollsAreWokenOnceWhenAReplicaHasCaughtUp guards against a replica without a leader that
// wakes the polls of all entry instances again and again.
func TestWaitingPollsAreWokenOnceWhenAReplicaHasCaughtUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const polls = 76
		var s catchUpSignal
		var caughtUp atomic.Bool
		var woken atomic.Int64
		for range polls {
			go func() {
				<-s.wait(caughtUp.Load)
				woken.Add(1)
			}()
		}
		time.Sleep(100 * catchUpInterval)
		require.Zero(t, woken.Load())
		caughtUp.Store(true)
		time.Sleep(2 * catchUpInterval)
		require.EqualValues(t, polls, woken.Load())
		<-s.wait(caughtUp.Load)
	})
}
