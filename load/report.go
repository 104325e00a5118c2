package load

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/galenaarch/galenaarch/standin/store"
)

// Report is the result of one run.
type Report struct {
	Trace           string  `json:"trace"`
	RoutingPolicy   string  `json:"policy"`
	RetentionPolicy string  `json:"keeping"`
	Fault           string  `json:"fault"`
	LoadShare       float64 `json:"load"`
	Seed            uint64  `json:"seed"`
	Requests        int     `json:"requests"`
	// Classes holds the times to first token by class.
	Classes map[string]*ClassReport `json:"classes"`
	// Outcomes counts requests by outcome. Refusals counts requests that were not
	// complete, by outcome and execution status, separated by a slash.
	Outcomes map[string]int `json:"outcomes"`
	Refusals map[string]int `json:"refusals"`

	ReusableTokens   int64   `json:"returned_tokens"`
	RecomputedTokens int64   `json:"recomputed_tokens"`
	RecomputedShare  float64 `json:"recomputed_share"`
	// BoundShare is the lowest possible recomputed share of a cache policy that knows
	// all future requests.
	BoundShare     float64 `json:"bound_share"`
	CachedTokens   int64   `json:"cached_tokens"`
	ImportedTokens int64   `json:"imported_tokens"`
	// ReadBytes and WrittenBytes were transferred over the stores' links after the
	// warm-up.
	ReadBytes    int64 `json:"read_bytes"`
	WrittenBytes int64 `json:"written_bytes"`
	// Swap is set if weights were swapped during the run.
	Swap *WeightSwapReport `json:"swap,omitempty"`
}

// ClassReport is the time to first token of a class; milliseconds.
type ClassReport struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`

	// Percentiles are pairs of percentile and milliseconds, for plots.
	Percentiles [][2]float64 `json:"quantiles"`

	histogram *hdrhistogram.Histogram
}

const (
	histogramMaxMicroseconds = int64(2 * time.Minute / time.Microsecond)
	histogramDigits          = 3
)

// plottedPercentiles are the percentiles in the plots.
var plottedPercentiles = []float64{5, 10, 20, 30, 40, 50, 60, 70, 80, 85, 90, 92.5, 95, 97.5, 99, 100}

// summarize aggregates the samples after the warm-up. A failed request counts with
// the highest recordable time to first token, so that refusals do not improve a
// percentile.
func summarize(t *Trace, samples []sample) *Report {
	r := &Report{
		Trace: t.Name, Seed: t.Seed, Classes: make(map[string]*ClassReport),
		Outcomes: make(map[string]int), Refusals: make(map[string]int),
	}
	for i := range samples {
		if s := &samples[i]; s.request != nil && s.request.SendAt >= t.Warmup {
			r.addSample(s)
		}
	}
	for _, c := range r.Classes {
		c.setPercentiles()
	}
	if r.ReusableTokens > 0 {
		r.RecomputedShare = float64(r.RecomputedTokens) / float64(r.ReusableTokens)
	}
	return r
}

// addSample counts a request. One without a complete response counts with the
// histogram's maximum as its time to first token.
func (r *Report) addSample(s *sample) {
	r.Requests++
	r.Outcomes[s.outcome]++
	c := r.Classes[s.request.Class]
	if c == nil {
		c = &ClassReport{histogram: hdrhistogram.New(1, histogramMaxMicroseconds, histogramDigits)}
		r.Classes[s.request.Class] = c
	}
	if s.outcome != OutcomeComplete {
		r.Refusals[s.outcome+"/"+string(s.execution)]++
		_ = c.histogram.RecordValue(histogramMaxMicroseconds) // the value is the histogram's maximum
		return
	}
	_ = c.histogram.RecordValue(min(s.firstToken.Microseconds(), histogramMaxMicroseconds)) // the value is capped to the histogram's range
	r.addUsage(s)
}

// addUsage adds the token counts of a complete response. Without prompt details, all
// reusable tokens count as recomputed.
func (r *Report) addUsage(s *sample) {
	reusable := int64(s.request.ReusableBlocks) * BlockTokens
	r.ReusableTokens += reusable
	d := s.usage.PromptTokensDetails
	if d == nil {
		r.RecomputedTokens += reusable
		return
	}
	r.CachedTokens += int64(d.CachedTokens)
	r.ImportedTokens += int64(d.ImportedTokens)
	r.RecomputedTokens += max(0, reusable-int64(d.CachedTokens+d.ImportedTokens))
}

// setPercentiles sets the count and, in milliseconds, the percentiles from the histogram.
func (c *ClassReport) setPercentiles() {
	ms := func(p float64) float64 { return float64(c.histogram.ValueAtPercentile(p)) / 1000 }
	c.Count = c.histogram.TotalCount()
	c.P50, c.P95, c.P99, c.Max = ms(50), ms(95), ms(99), ms(100)
	for _, p := range plottedPercentiles {
		c.Percentiles = append(c.Percentiles, [2]float64{p, ms(p)})
	}
}

// storeTotals sums the link counters of the stores that respond.
func storeTotals(ctx context.Context, client *http.Client, urls []string) store.Stats {
	var sum store.Stats
	for _, url := range urls {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/admin/stats", nil)
		if err != nil {
			continue
		}
		resp, err := client.Do(req)
		if err != nil {
			continue // an unreachable store has no counters
		}
		var s store.Stats
		err = json.NewDecoder(resp.Body).Decode(&s)
		resp.Body.Close()
		if err == nil {
			sum.ReadBytes += s.ReadBytes
			sum.WrittenBytes += s.WrittenBytes
		}
	}
	return sum
}

// Experiment is one replay of a trace and its settings.
type Experiment struct {
	Runner    *Runner
	Trace     *Trace
	Bound     RecomputationBound
	StoreURLs []string
	// Swap is set if weights are swapped during the run. The swap must end before the
	// trace does.
	Swap *WeightSwap
}

// Run replays the trace and returns the report. It returns early if the context ends.
func (e *Experiment) Run(ctx context.Context) *Report {
	var before store.Stats
	measured := make(chan struct{})
	go func() {
		defer close(measured)
		if sleepUntil(ctx, time.Now().Add(e.Trace.Warmup)) {
			before = storeTotals(ctx, e.Runner.Client, e.StoreURLs)
		}
	}()
	samples := e.Runner.Run(ctx, e.Trace)
	<-measured
	after := storeTotals(ctx, e.Runner.Client, e.StoreURLs)
	r := summarize(e.Trace, samples)
	r.BoundShare = e.Bound.RecomputedShare()
	r.ReadBytes = max(0, after.ReadBytes-before.ReadBytes)
	r.WrittenBytes = max(0, after.WrittenBytes-before.WrittenBytes)
	if e.Swap != nil {
		r.Swap = e.Swap.report(e.Trace, samples)
	}
	return r
}
