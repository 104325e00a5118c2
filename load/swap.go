package load

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/control/client"
)

// swapPoll is the time between looks at a swap's progress.
const swapPoll = 20 * time.Millisecond

// SwapReport is what callers saw of a weight swap.
type SwapReport struct {
	// Seconds is the time from the accepted document to the last server's
	// confirmation.
	Seconds float64 `json:"seconds"`
	// LowestServing is the smallest number of servers that new requests could
	// use.
	LowestServing uint32 `json:"lowest_serving"`
	// Before, During and After are the parts of the trace around the swap.
	Before *PhaseReport `json:"before"`
	During *PhaseReport `json:"during"`
	After  *PhaseReport `json:"after"`
}

// PhaseReport is what callers saw of requests sent in a part of a trace.
type PhaseReport struct {
	Classes  map[string]*ClassReport `json:"classes"`
	Outcomes map[string]int          `json:"outcomes"`
	// Versions counts whole answers by the weight version that they ran on.
	Versions map[string]int `json:"versions"`
}

// Swap is a weight swap during a trace.
type Swap struct {
	// At is its time in the trace, Took its length once it has ended.
	At, Took time.Duration
	// Version is what the servers come to.
	Version string
	lowest  uint32
}

// Await waits until every declared server serves the version.
func (s *Swap) Await(ctx context.Context, controlURLs []string) error {
	c := client.New(controlURLs, &http.Client{})
	started := time.Now()
	s.lowest = ^uint32(0)
	for {
		status, err := c.GetStatus(ctx, &controlv1.GetStatusRequest{Environment: Environment})
		if err != nil {
			return eris.Wrap(err, "read progress of the swap")
		}
		for _, d := range status.Deployments {
			checks := d.Checks
			if checks.GetTargetVersion() != s.Version {
				continue
			}
			s.lowest = min(s.lowest, checks.Serving)
			if checks.Passed {
				s.Took = time.Since(started)
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "await the swap")
		case <-time.After(swapPoll):
		}
	}
}

// report splits the samples around the swap.
func (s *Swap) report(t *Trace, samples []sample) *SwapReport {
	end := s.At + s.Took
	return &SwapReport{
		Seconds:       s.Took.Seconds(),
		LowestServing: s.lowest,
		Before:        phase(samples, t.Warmup, s.At),
		During:        phase(samples, s.At, end),
		After:         phase(samples, end, t.Duration),
	}
}

func phase(samples []sample, from, to time.Duration) *PhaseReport {
	r := &Report{Classes: make(map[string]*ClassReport), Outcomes: make(map[string]int), Refusals: make(map[string]int)}
	versions := make(map[string]int)
	for i := range samples {
		s := &samples[i]
		if s.request == nil || s.request.At < from || s.request.At >= to {
			continue
		}
		r.add(s)
		if s.outcome == OutcomeWhole && s.usage.PromptTokensDetails != nil {
			versions[s.usage.PromptTokensDetails.WeightVersion]++
		}
	}
	for _, c := range r.Classes {
		c.finish()
	}
	return &PhaseReport{Classes: r.Classes, Outcomes: r.Outcomes, Versions: versions}
}
