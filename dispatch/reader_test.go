package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReaderLearnsAnyEngines: engines of other speeds than any that was measured
// are known after some prompts, the short ones' share of their time too.
func TestReaderLearnsAnyEngines(t *testing.T) {
	for _, pace := range []float64{8, 33, 60, 250} {
		for _, overhead := range []time.Duration{5 * time.Millisecond, 30 * time.Millisecond, 120 * time.Millisecond} {
			t.Run(fmt.Sprint(pace, overhead), func(t *testing.T) {
				var r Reader
				for n := range 120 {
					tokens := []int{300, 900, 2500, 6000, 15000}[n%5]
					r.Learn(tokens, overhead+time.Duration(float64(tokens)/pace*float64(time.Millisecond)))
				}
				require.InEpsilon(t, pace, r.Pace(), 0.1)
				require.InDelta(t, milliseconds(overhead), milliseconds(r.Overhead()), 6)
			})
		}
	}
}

func TestReaderBelievesItsFirstFiguresAtFirst(t *testing.T) {
	var r Reader
	require.InDelta(t, firstPace, r.Pace(), 0)
	require.Equal(t, firstOverhead, r.Overhead())
	r.Learn(500, 40*time.Millisecond)
	require.InEpsilon(t, firstPace, r.Pace(), 0.2, "one short prompt says little of the pace")
}

func TestReaderStaysWithinBounds(t *testing.T) {
	var r Reader
	for range 200 {
		r.Learn(4000, time.Hour)
	}
	require.GreaterOrEqual(t, r.Pace(), slowestPace)
	require.LessOrEqual(t, r.Overhead(), longestOverhead)
	r = Reader{}
	for range 200 {
		r.Learn(4000, 0)
	}
	require.LessOrEqual(t, r.Pace(), fastestPace)
}

// TestLateOnlyIfItIsSure: waits that err by up to a third. Of prompts that would be
// judged late by the middle of the estimates, those that most of their kind would
// make on time are not.
func TestLateOnlyIfItIsSure(t *testing.T) {
	var e Errors
	const expected = 300 * time.Millisecond
	require.Equal(t, expected, e.Least(expected), "nothing is known")
	for n := range errorsKept {
		e.Learn(expected, expected+time.Duration(n-errorsKept/2)*3*time.Millisecond)
	}
	least, sooner := e.Least(expected), 0
	for n := range errorsKept {
		if expected+time.Duration(n-errorsKept/2)*3*time.Millisecond < least {
			sooner++
		}
	}
	require.Less(t, least, expected)
	require.LessOrEqual(t, float64(sooner), doubtQuantile*errorsKept)
	for range errorsKept {
		e.Learn(time.Minute, time.Millisecond)
	}
	require.Equal(t, expected/2, e.Least(expected), "what is taken off is bounded")
	for range errorsKept {
		e.Learn(expected, time.Minute)
	}
	require.Equal(t, expected, e.Least(expected), "nothing is added: what is late anyway is only judged by what is sure")
}
