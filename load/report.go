package load

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/galenaarch/galenaarch/standin/store"
)

// Report is the outcome of one run.
type Report struct {
	Trace    string  `json:"trace"`
	Policy   string  `json:"policy"`
	Keeping  string  `json:"keeping"`
	Fault    string  `json:"fault"`
	Load     float64 `json:"load"`
	Seed     uint64  `json:"seed"`
	Requests int     `json:"requests"`
	// Classes holds the time to first token by class.
	Classes map[string]*ClassReport `json:"classes"`
	// Outcomes counts requests by outcome, Refusals by code and ran.
	Outcomes map[string]int `json:"outcomes"`
	Refusals map[string]int `json:"refusals"`

	ReturnedTokens   int64   `json:"returned_tokens"`
	RecomputedTokens int64   `json:"recomputed_tokens"`
	RecomputedShare  float64 `json:"recomputed_share"`
	// BoundShare is the recomputed share with all returns known.
	BoundShare     float64 `json:"bound_share"`
	CachedTokens   int64   `json:"cached_tokens"`
	ImportedTokens int64   `json:"imported_tokens"`
	// ReadBytes and WrittenBytes crossed the stores' links.
	ReadBytes    int64 `json:"read_bytes"`
	WrittenBytes int64 `json:"written_bytes"`
	// Swap is set if weights were swapped during the run.
	Swap *SwapReport `json:"swap,omitempty"`
}

// ClassReport is the time to first token of a class; milliseconds.
type ClassReport struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`

	// Quantiles are pairs of percentile and milliseconds, for plots.
	Quantiles [][2]float64 `json:"quantiles"`

	histogram *hdrhistogram.Histogram
}

const (
	histogramMax    = int64(2 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// quantiles are the percentiles that are plotted.
var quantiles = []float64{5, 10, 20, 30, 40, 50, 60, 70, 80, 85, 90, 92.5, 95, 97.5, 99, 100}

// summarize counts what callers saw after the warm-up. A failed request
// counts with its class's slowest possible first token, so that refusing
// does not better a percentile.
func summarize(t *Trace, samples []sample) *Report {
	r := &Report{
		Trace: t.Name, Seed: t.Seed, Classes: make(map[string]*ClassReport),
		Outcomes: make(map[string]int), Refusals: make(map[string]int),
	}
	for i := range samples {
		if s := &samples[i]; s.request != nil && s.request.At >= t.Warmup {
			r.add(s)
		}
	}
	for _, c := range r.Classes {
		c.finish()
	}
	if r.ReturnedTokens > 0 {
		r.RecomputedShare = float64(r.RecomputedTokens) / float64(r.ReturnedTokens)
	}
	return r
}

func (r *Report) add(s *sample) {
	r.Requests++
	r.Outcomes[s.outcome]++
	c := r.Classes[s.request.Class]
	if c == nil {
		c = &ClassReport{histogram: hdrhistogram.New(1, histogramMax, histogramDigits)}
		r.Classes[s.request.Class] = c
	}
	if s.outcome != OutcomeWhole {
		r.Refusals[s.outcome+"/"+string(s.ran)]++
		_ = c.histogram.RecordValue(histogramMax) // within range by definition
		return
	}
	_ = c.histogram.RecordValue(min(s.firstToken.Microseconds(), histogramMax)) // within range
	r.addUsage(s)
}

func (r *Report) addUsage(s *sample) {
	returned := int64(s.request.Returned) * BlockTokens
	r.ReturnedTokens += returned
	d := s.usage.PromptTokensDetails
	if d == nil {
		r.RecomputedTokens += returned
		return
	}
	r.CachedTokens += int64(d.CachedTokens)
	r.ImportedTokens += int64(d.ImportedTokens)
	r.RecomputedTokens += max(0, returned-int64(d.CachedTokens+d.ImportedTokens))
}

func (c *ClassReport) finish() {
	ms := func(p float64) float64 { return float64(c.histogram.ValueAtPercentile(p)) / 1000 }
	c.Count = c.histogram.TotalCount()
	c.P50, c.P95, c.P99, c.Max = ms(50), ms(95), ms(99), ms(100)
	for _, p := range quantiles {
		c.Quantiles = append(c.Quantiles, [2]float64{p, ms(p)})
	}
}

// storeTotals sums the link counters of the stores that answer.
func storeTotals(ctx context.Context, client *http.Client, urls []string) store.Stats {
	var sum store.Stats
	for _, url := range urls {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/admin/stats", nil)
		if err != nil {
			continue
		}
		resp, err := client.Do(req)
		if err != nil {
			continue // a dead store has no figures
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

// Experiment is one run with its settings.
type Experiment struct {
	Runner    *Runner
	Trace     *Trace
	Bound     Bound
	StoreURLs []string
	// Swap is set if weights are swapped during the run; it has ended when the
	// trace has.
	Swap *Swap
}

// Run plays the trace and reports.
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
	r.BoundShare = e.Bound.Share()
	r.ReadBytes = max(0, after.ReadBytes-before.ReadBytes)
	r.WrittenBytes = max(0, after.WrittenBytes-before.WrittenBytes)
	if e.Swap != nil {
		r.Swap = e.Swap.report(e.Trace, samples)
	}
	return r
}
