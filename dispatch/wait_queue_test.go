package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenaarch/galenaarch/placement"
)

// Requests must be tried in the order of their positions, whatever their arrival
// order, also after some of them have left.
func TestQueueIsOrdered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queue WaitQueue
		var tried []Position
		for range rapid.IntRange(0, 40).Draw(t, "requests") {
			w := &Waiter{Position: Position{
				Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
				StartBy:  start.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "start by"))),
			}}
			sent := rapid.Bool().Draw(t, "sent")
			w.Try = func(map[string]bool) (bool, string) {
				tried = append(tried, w.Position)
				return sent, ""
			}
			queue.Add(w, start)
		}
		for range 3 {
			tried = nil
			queue.Schedule()
			for i := 1; i < len(tried); i++ {
				require.False(t, tried[i].Before(tried[i-1]), "%v after %v", tried[i], tried[i-1])
			}
		}
	})
}

// Small prompts arrive faster than a large one finds room. Memory that becomes free
// must be kept for the large one.
func TestSmallRequestsDoNotStarveLargeOnes(t *testing.T) {
	var queue WaitQueue
	room := map[string]int{"a": 100, "b": 50}
	try := func(memory int, waitsFor string) func(map[string]bool) (bool, string) {
		return func(claimed map[string]bool) (bool, string) {
			for _, s := range []string{"a", "b"} {
				if !claimed[s] && room[s] >= memory {
					room[s] -= memory
					return true, ""
				}
			}
			return false, waitsFor
		}
	}
	queue.Add(&Waiter{Position: Position{StartBy: start}, MemoryTokens: 500, Try: try(500, "a")}, start)
	for n := range 6 {
		queue.Add(&Waiter{Position: Position{StartBy: start.Add(time.Duration(n + 1))}, MemoryTokens: 10, Try: try(10, "b")}, start)
	}
	queue.Schedule()
	require.Equal(t, 100, room["a"], "memory is kept for the large request")
	require.Equal(t, 0, room["b"])
	require.Equal(t, 2, queue.Len())
	require.True(t, queue.Claimed(Position{StartBy: start.Add(time.Hour)})["a"])
	require.Nil(t, queue.Claimed(Position{}), "more urgent requests may take the server")
	room["a"] = 500
	queue.Schedule()
	require.Equal(t, 0, room["a"])
	require.Equal(t, 1, queue.Len())
}

func TestRemovedRequestIsNotTried(t *testing.T) {
	var queue WaitQueue
	tried, last := 0, Position{Priority: 9}
	w := &Waiter{MemoryTokens: 7, Try: func(map[string]bool) (bool, string) { tried++; return false, "" }}
	queue.Add(w, start)
	require.Equal(t, 7, queue.MemoryAhead(last))
	queue.Remove(w)
	queue.Schedule()
	require.Zero(t, tried+queue.Len()+queue.MemoryAhead(last))
}

// The wait of a request follows from the requests ahead of it and the rate at which servers have taken
// requests lately.
func TestExpectedWaitFollowsRate(t *testing.T) {
	var queue WaitQueue
	position := func(n int) Position { return Position{StartBy: start.Add(time.Duration(n))} }
	require.Zero(t, queue.ExpectedWait(position(0), start), "an empty queue")
	var waiters []*Waiter
	for n := range 6 {
		waiters = append(waiters, &Waiter{Position: position(n), Try: func(map[string]bool) (bool, string) { return false, "" }})
		queue.Add(waiters[n], start)
	}
	require.Zero(t, queue.ExpectedWait(position(6), start), "the rate is not known")
	now := start
	for n := range 3 {
		now = now.Add(200 * time.Millisecond)
		queue.Remove(waiters[n])
		queue.Placed(now)
	}
	require.Equal(t, 200*time.Millisecond, queue.ExpectedWait(position(0), now))
	require.Equal(t, 800*time.Millisecond, queue.ExpectedWait(position(6), now))
	require.Equal(t, 700*time.Millisecond, queue.ExpectedWait(position(6), now.Add(100*time.Millisecond)))
	require.Equal(t, 600*time.Millisecond, queue.ExpectedWait(position(6), now.Add(time.Second)), "the next one is overdue")
	for _, w := range waiters {
		queue.Remove(w)
	}
	queue.Add(waiters[0], now.Add(2*time.Second))
	require.Zero(t, queue.ExpectedWait(position(6), now.Add(2*time.Second)), "the servers may take more than before")
}

func TestPassIsBounded(t *testing.T) {
	var queue WaitQueue
	tried := 0
	for range 1000 {
		queue.Add(&Waiter{Try: func(map[string]bool) (bool, string) { tried++; return false, "" }}, start)
	}
	queue.Schedule()
	require.Equal(t, maxFailedTries, tried)
	require.Equal(t, 1000, queue.Len())
}

func TestFreeingTimeFollowsRunTime(t *testing.T) {
	list := []placement.Server{{MemoryTokens: 1000, UsedMemoryTokens: 900, RunTime: time.Second}, {MemoryTokens: 1000, UsedMemoryTokens: 900, RunTime: time.Second}, {MemoryTokens: 1000}}
	require.InDelta(t, 500, milliseconds(TimeToFree(list, 900)), 0.01)
	list[1].RunTime = 0
	require.InDelta(t, 500, milliseconds(TimeToFree(list, 900)), 0.01, "an unknown run time counts as the mean")
	require.Zero(t, TimeToFree(list, 0))
	require.Zero(t, TimeToFree(nil, 900))
}
