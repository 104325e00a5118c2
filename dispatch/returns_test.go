package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAsManyReturnAsServersTake refuses a crowd at once: its callers return one after the other.
func TestAsManyReturnAsServersTake(t *testing.T) {
	now := time.Unix(1000, 0)
	var line ReturnLine
	perSecond := make([]int, 3)
	for range 60 {
		delay := line.Next(Refusal{Rate: 20, Left: 30 * time.Second}, now)
		perSecond[min(2, int((delay-1)/time.Second))]++
	}
	require.Equal(t, []int{20, 20, 20}, perSecond)
	require.Greater(t, line.Next(Refusal{Rate: 20, Left: 30 * time.Second}, now.Add(time.Minute)), 40*time.Millisecond, "an empty line again")
	require.Equal(t, 550*time.Millisecond, line.Next(Refusal{Rate: 20, Wait: 500 * time.Millisecond, Left: 30 * time.Second}, now.Add(2*time.Minute)), "behind those that wait")
}

// A caller with less time left is told to return sooner, while it can still be served.
func TestPressedCallersReturnFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	next := func(left time.Duration) time.Duration {
		line := ReturnLine{lastAt: now.Add(800 * time.Millisecond)}
		return line.Next(Refusal{Rate: 20, Left: left, Jitter: rand.Float64()}, now)
	}
	for range 100 {
		require.LessOrEqual(t, next(1200*time.Millisecond), 400*time.Millisecond)
		require.GreaterOrEqual(t, next(1200*time.Millisecond), 200*time.Millisecond)
		require.LessOrEqual(t, next(900*time.Millisecond), 300*time.Millisecond)
	}
	require.Equal(t, 850*time.Millisecond, next(10*time.Second), "its place in the line")
	require.Equal(t, 850*time.Millisecond, next(700*time.Millisecond), "no place in the line serves it: the true time")
}

// Callers that will not return hold no place.
func TestCallersWithoutTimeHoldNoPlace(t *testing.T) {
	now := time.Unix(1000, 0)
	line := ReturnLine{lastAt: now.Add(2 * time.Second)}
	for range 100 {
		require.Equal(t, 2100*time.Millisecond, line.Next(Refusal{Rate: 10, Left: time.Second}, now))
	}
	require.Equal(t, maxReturnDelay, (&ReturnLine{lastAt: now.Add(time.Minute)}).Next(Refusal{Rate: 10, Left: time.Second}, now))
}

// TestCallerThatReturnsInTimeIsAhead shows why a returned caller needs no memory of it: of two calls
// that arrive now, the one whose client has no time to return again is ahead, and waits although it
// misses its objective.
func TestCallerThatReturnsInTimeIsAhead(t *testing.T) {
	now := time.Unix(1000, 0)
	returned := CallTime{Objective: 200 * time.Millisecond, Work: callTime, Patience: 120 * time.Millisecond}
	first := CallTime{Objective: 200 * time.Millisecond, Work: callTime, Patience: 1400 * time.Millisecond}
	require.True(t, Position{StartBy: returned.StartBy(now)}.Before(Position{StartBy: first.StartBy(now)}))
	require.Equal(t, now.Add(170*time.Millisecond), first.StartBy(now))
}
