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
				var model PrefillModel
				for n := range 120 {
					tokens := []int{300, 900, 2500, 6000, 15000}[n%5]
					model.Observe(tokens, overhead+time.Duration(float64(tokens)/rate*float64(time.Millisecond)))
				}
				require.InEpsilon(t, rate, model.Rate(), 0.1)
				require.InDelta(t, milliseconds(overhead), milliseconds(model.Overhead()), 6)
			})
		}
	}
}

func TestPrefillModelStartsFromPrior(t *testing.T) {
	var model PrefillModel
	require.InDelta(t, priorRate, model.Rate(), 1e-6)
	require.InDelta(t, milliseconds(priorOverhead), milliseconds(model.Overhead()), 1e-3)
	model.Observe(500, 40*time.Millisecond)
	require.InEpsilon(t, priorRate, model.Rate(), 0.2, "one short prompt barely changes the rate")
}

func TestPrefillModelIsBounded(t *testing.T) {
	var model PrefillModel
	for range 200 {
		model.Observe(4000, time.Hour)
	}
	require.GreaterOrEqual(t, model.Rate(), minRate)
	require.LessOrEqual(t, model.Overhead(), maxOverhead)
	model = PrefillModel{}
	for range 200 {
		model.Observe(4000, 0)
	}
	require.LessOrEqual(t, model.Rate(), maxRate)
}

// With estimates that err by up to a third, a prompt must not be judged late if most
// prompts of its kind with that estimate would meet the objective.
func TestEstimateLowerBound(t *testing.T) {
	var e EstimateErrors
	const expected = 300 * time.Millisecond
	require.Equal(t, expected, e.LowerBound(expected), "no margin before any sample")
	for n := range errorWindow {
		e.Observe(expected, expected+time.Duration(n-errorWindow/2)*3*time.Millisecond)
	}
	bound, early := e.LowerBound(expected), 0
	for n := range errorWindow {
		if expected+time.Duration(n-errorWindow/2)*3*time.Millisecond < bound {
			early++
		}
	}
	require.Less(t, bound, expected)
	require.LessOrEqual(t, float64(early), marginQuantile*errorWindow)
	for range errorWindow {
		e.Observe(time.Minute, time.Millisecond)
	}
	require.Equal(t, expected/2, e.LowerBound(expected), "the margin is bounded")
	for range errorWindow {
		e.Observe(expected, time.Minute)
	}
	require.Equal(t, expected, e.LowerBound(expected), "late responses never raise the lower bound")
}

// After the loss of all instances, clients retry at the same time and prompts of all
// lengths wait behind unreported work. The model must stay within bounds and recover soon
// after.
func TestPrefillModelRecoversFromOutliers(t *testing.T) {
	var model PrefillModel
	for n := range 20 {
		model.Observe(2000, time.Duration(300+100*(n%7))*time.Millisecond)
		model.Observe(300, time.Duration(900-100*(n%7))*time.Millisecond)
	}
	for n := range 100 {
		tokens := []int{300, 2000, 9000}[n%3]
		model.Observe(tokens, 20*time.Millisecond+time.Duration(float64(tokens)/50*float64(time.Millisecond)))
	}
	require.InEpsilon(t, 50, model.Rate(), 0.35)
	require.Less(t, model.Overhead(), 100*time.Millisecond)
	require.Less(t, model.StepTokens(), 1500)
}
