package load

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/control/client"
)

// swapPollInterval is the time between polls of a swap's progress.
const swapPollInterval = 20 * time.Millisecond

// WeightSwapReport holds the results of a trace around a weight swap.
type WeightSwapReport struct {
	// Seconds is the time from the accepted document to the last server's
	// confirmation.
	Seconds float64 `json:"seconds"`
	// LowestServing is the smallest number of servers that served new requests, as
	// reported by the control replicas.
	LowestServing uint32 `json:"lowest_serving"`
	// Before, During and After are the parts of the trace around the swap.
	Before *PhaseReport `json:"before"`
	During *PhaseReport `json:"during"`
	After  *PhaseReport `json:"after"`
}

// PhaseReport holds the results of the requests sent in a part of a trace.
type PhaseReport struct {
	Classes  map[string]*ClassReport `json:"classes"`
	Outcomes map[string]int          `json:"outcomes"`
	// Versions counts complete responses by the weight version that produced them.
	Versions map[string]int `json:"versions"`
}

// WeightSwap is a weight swap during a trace.
type WeightSwap struct {
	// Start is the start of the swap, relative to the start of the trace. Duration is
	// set when the swap has ended.
	Start, Duration time.Duration
	// Version is the weight version that the servers change to.
	Version       string
	lowestServing uint32
}

// Wait waits until the checks of the target version have passed, which means that
// every declared server serves it, and sets Duration. It returns an error if the status
// cannot be read or the context ends first.
func (s *WeightSwap) Wait(ctx context.Context, controlURLs []string) error {
	c := client.New(controlURLs, &http.Client{})
	started := time.Now()
	s.lowestServing = ^uint32(0)
	for {
		status, err := c.GetStatus(ctx, &controlv1.GetStatusRequest{Environment: Environment})
		if err != nil {
			return eris.Wrap(err, "get status of the weight swap")
		}
		for _, d := range status.Deployments {
			checks := d.Checks
			if checks.GetTargetVersion() != s.Version {
				continue
			}
			s.lowestServing = min(s.lowestServing, checks.Serving)
			if checks.Passed {
				s.Duration = time.Since(started)
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "wait for the weight swap")
		case <-time.After(swapPollInterval):
		}
	}
}

// report splits the samples into before, during and after the swap.
func (s *WeightSwap) report(t *Trace, samples []sample) *WeightSwapReport {
	end := s.Start + s.Duration
	return &WeightSwapReport{
		Seconds:       s.Duration.Seconds(),
		LowestServing: s.lowestServing,
		Before:        summarizePhase(samples, t.Warmup, s.Start),
		During:        summarizePhase(samples, s.Start, end),
		After:         summarizePhase(samples, end, t.Duration),
	}
}

// summarizePhase summarizes the requests sent in [start, end) of the trace, and counts
// the complete responses by weight version.
func summarizePhase(samples []sample, start, end time.Duration) *PhaseReport {
	r := &Report{Classes: make(map[string]*ClassReport), Outcomes: make(map[string]int), Refusals: make(map[string]int)}
	versions := make(map[string]int)
	for i := range samples {
		s := &samples[i]
		if s.request == nil || s.request.SendAt < start || s.request.SendAt >= end {
			continue
		}
		r.addSample(s)
		if s.outcome == OutcomeComplete && s.usage.PromptTokensDetails != nil {
			versions[s.usage.PromptTokensDetails.WeightVersion]++
		}
	}
	for _, c := range r.Classes {
		c.setPercentiles()
	}
	return &PhaseReport{Classes: r.Classes, Outcomes: r.Outcomes, Versions: versions}
}
