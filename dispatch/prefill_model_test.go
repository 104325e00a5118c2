package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The model must converge for engines far slower and far faster than the prior, in
// rate and in overhead.
func TestPrefillModelConverges(t *testing.T) {
	for _, rate := range []float64{8, 33, 60, 250} {
		for _, overhead := range []time.Duration{5 * time.Millisecond, 30 * time.Millisecond, 120 * time.Millisecond} {
			t.Run(fmt.Sprint(rate, overhead), func(t *testing.T) {
				var model Reader
				for n := range 120 {
					tokens := []int{300, 900, 2500, 6000, 15000}[n%5]
					model.Learn(tokens, overhead+time.Duration(float64(tokens)/rate*float64(time.Millisecond)))
				}
				require.InEpsilon(t, rate, model.Pace(), 0.1)
				require.InDelta(t, milliseconds(overhead), milliseconds(model.Overhead()), 6)
			})
		}
	}
}

func TestPrefillModelStartsFromPrior(t *testing.T) {
	var model Reader
	require.InDelta(t, priorRate, model.Pace(), 1e-6)
	require.InDelta(t, milliseconds(priorOverhead), milliseconds(model.Overhead()), 1e-3)
	model.Learn(500, 40*time.Millisecond)
	require.InEpsilon(t, priorRate, model.Pace(), 0.2, "one short prompt barely changes the rate")
}

func TestPrefillModelIsBounded(t *testing.T) {
	var model Reader
	for range 200 {
		model.Learn(4000, time.Hour)
	}
	require.GreaterOrEqual(t, model.Pace(), minRate)
	require.LessOrEqual(t, model.Overhead(), maxOverhead)
	model = Reader{}
	for range 200 {
		model.Learn(4000, 0)
	}
	require.LessOrEqual(t, model.Pace(), maxRate)
}

// With estimates that err by up to a third, a prompt must not be judged late if most
// prompts of its kind with that estimate would meet the objective.
func TestEstimateLowerBound(t *testing.T) {
	var e Errors
	const expected = 300 * time.Millisecond
	require.Equal(t, expected, e.Least(expected), "no margin before any sample")
	for n := range errorWindow {
		e.Learn(expected, expected+time.Duration(n-errorWindow/2)*3*time.Millisecond)
	}
	bound, early := e.Least(expected), 0
	for n := range errorWindow {
		if expected+time.Duration(n-errorWindow/2)*3*time.Millisecond < bound {
			early++
		}
	}
	require.Less(t, bound, expected)
	require.LessOrEqual(t, float64(early), marginQuantile*errorWindow)
	for range errorWindow {
		e.Learn(time.Minute, time.Millisecond)
	}
	require.Equal(t, expected/2, e.Least(expected), "the margin is bounded")
	for range errorWindow {
		e.Learn(expected, time.Minute)
	}
	require.Equal(t, expected, e.Least(expected), "late responses never raise the lower bound")
}

// After the loss of all instances, callers return at once and prompts of all lengths
// wait behind unreported work. The model must stay within bounds and recover soon
// after.
func TestPrefillModelRecoversFromOutliers(t *testing.T) {
	var model Reader
	for n := range 20 {
		model.Learn(2000, time.Duration(300+100*(n%7))*time.Millisecond)
		model.Learn(300, time.Duration(900-100*(n%7))*time.Millisecond)
	}
	for n := range 100 {
		tokens := []int{300, 2000, 9000}[n%3]
		model.Learn(tokens, 20*time.Millisecond+time.Duration(float64(tokens)/50*float64(time.Millisecond)))
	}
	require.InEpsilon(t, 50, model.Pace(), 0.35)
	require.Less(t, model.Overhead(), 100*time.Millisecond)
	require.Less(t, model.StepTokens(), 1500)
}
