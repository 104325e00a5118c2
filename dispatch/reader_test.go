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
	require.InDelta(t, firstPace, r.Pace(), 1e-6)
	require.InDelta(t, milliseconds(firstOverhead), milliseconds(r.Overhead()), 1e-3)
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

// TestReaderBearsABadBegin: load pattern, all instances were lost and callers come
// back at once. Prompts of all lengths wait behind others that nobody tells of; what
// is believed of the engines stays within reason, and is right soon after.
func TestReaderBearsABadBegin(t *testing.T) {
	var r Reader
	for n := range 20 {
		r.Learn(2000, time.Duration(300+100*(n%7))*time.Millisecond)
		r.Learn(300, time.Duration(900-100*(n%7))*time.Millisecond)
	}
	for n := range 100 {
		tokens := []int{300, 2000, 9000}[n%3]
		r.Learn(tokens, 20*time.Millisecond+time.Duration(float64(tokens)/50*float64(time.Millisecond)))
	}
	require.InEpsilon(t, 50, r.Pace(), 0.35)
	require.Less(t, r.Overhead(), 100*time.Millisecond)
	require.Less(t, r.StepTokens(), 1500)
}
