package emulator

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// Result holds the results of one run as observed by the clients.
type Result struct {
	Pattern, Policy string
	Kinds           []KindResult
	// SentToLeaving counts requests that an instance sent to a server after the server
	// had reported to it that it is leaving, SentToPaused those sent during a pause
	// that the server had asked it for. Both should be 0.
	SentToLeaving, SentToPaused int
	// MostAboveLimit is the largest number of requests that reached a rate-limited server
	// in 4 s beyond the users' bound of one and a half times the limit and 5 requests;
	// windows begin 3 s after the first statement or later. It should be 0.
	MostAboveLimit int
	// Crashes is the number of engines that crashed, SentAfterCrashes the number of
	// requests with the crashing part that were sent later than 3 s after the fifth
	// crash; at most 3 of these are allowed. SoundBlocked is the number of requests
	// without the part that were rejected as if they had it. It should be 0.
	Crashes, SentAfterCrashes, SoundBlocked int
	// Preemptions is the number of preemptions at all engines.
	Preemptions int
}

// KindResult is the result for the clients of one kind of request.
type KindResult struct {
	Name string
	// Requests is the number of requests, the other counters are by final outcome. A
	// request that its client sends again after a refusal counts once.
	Requests, OnTime, Late, Failed int
	// Refusals is the number of refusals, RefusalP95 the 95th percentile of the time
	// from sending a request until its refusal.
	Refusals   int
	RefusalP95 time.Duration
	// Credit is the earned credit, MaxCredit the credit that on-time responses to all
	// requests would earn.
	Credit, MaxCredit float64
	// Latencies are the times from first arrival to the first token of a prompt or the
	// response of a plain server, ascending.
	Latencies []time.Duration
	// Seconds holds the results by the second of arrival, from 0.
	Seconds      []SecondResult
	kind         *RequestKind
	refusalTimes []time.Duration
}

// SecondResult sums the results of the clients that arrived in the same second.
// EstimatedTTFT and ActualTTFT are sums of estimated and actual times to first token
// over the EstimatedPrompts prompts for which an estimate was recorded.
type SecondResult struct {
	MaxCredit, Credit         float64
	Refusals                  int
	EstimatedPrompts          int
	EstimatedTTFT, ActualTTFT time.Duration
}

func newResult(p *Pattern, policy string) *Result {
	r := &Result{Pattern: p.Name, Policy: policy}
	for i := range p.Kinds {
		r.Kinds = append(r.Kinds, KindResult{Name: p.Kinds[i].Name, kind: &p.Kinds[i]})
	}
	return r
}

// secondAt returns the result of the second that contains at, and appends missing
// seconds. The pointer is valid until the next call.
func (k *KindResult) secondAt(at time.Duration) *SecondResult {
	n := int(at / time.Second)
	for len(k.Seconds) <= n {
		k.Seconds = append(k.Seconds, SecondResult{})
	}
	return &k.Seconds[n]
}

// recordRequest counts a client's request and adds its possible credit.
func (r *Result) recordRequest(kind int, at time.Duration) {
	k := &r.Kinds[kind]
	k.Requests++
	k.MaxCredit += k.kind.OnTimeCredit
	k.secondAt(at).MaxCredit += k.kind.OnTimeCredit
}

// recordResponse counts a response as on time or late and adds its credit to the second
// of arrival.
func (r *Result) recordResponse(kind int, arrival, latency time.Duration) {
	k := &r.Kinds[kind]
	k.Latencies = append(k.Latencies, latency)
	credit := k.kind.LateCredit
	if latency <= milliseconds(k.kind.ObjectiveMS) {
		k.OnTime++
		credit = k.kind.OnTimeCredit
	} else {
		k.Late++
	}
	k.Credit += credit
	k.secondAt(arrival).Credit += credit
}

func (r *Result) recordFailure(kind int) { r.Kinds[kind].Failed++ }

// recordRefusal counts a refusal in the second of the first arrival; latency is the time
// since the request was last sent.
func (r *Result) recordRefusal(kind int, arrival, latency time.Duration) {
	k := &r.Kinds[kind]
	k.Refusals++
	k.refusalTimes = append(k.refusalTimes, latency)
	k.secondAt(arrival).Refusals++
}

// recordEstimate adds an estimated and an actual time to first token to the second of
// arrival.
func (r *Result) recordEstimate(kind int, arrival, estimate, actual time.Duration) {
	s := r.Kinds[kind].secondAt(arrival)
	s.EstimatedPrompts, s.EstimatedTTFT, s.ActualTTFT = s.EstimatedPrompts+1, s.EstimatedTTFT+estimate, s.ActualTTFT+actual
}

// CreditShareIn returns the earned share of the maximum credit over the requests that
// arrived in the seconds that begin in [start, end); 1 if there were none.
func (r *Result) CreditShareIn(start, end time.Duration) float64 {
	credit, maxCredit := 0.0, 0.0
	for i := range r.Kinds {
		for n, s := range r.Kinds[i].Seconds {
			if at := time.Duration(n) * time.Second; at >= start && at < end {
				credit, maxCredit = credit+s.Credit, maxCredit+s.MaxCredit
			}
		}
	}
	if maxCredit == 0 {
		return 1
	}
	return credit / maxCredit
}

// RecoveryTime returns the time, in whole seconds after a given one, from which the
// requests of two consecutive seconds earn at least the given credit share; -1 if none
// do before the end.
func (r *Result) RecoveryTime(after time.Duration, share float64, end time.Duration) time.Duration {
	for at := after; at+2*time.Second <= end; at += time.Second {
		if r.CreditShareIn(at, at+2*time.Second) >= share {
			return at - after
		}
	}
	return -1
}

// finish sorts the latencies and sets RefusalP95.
func (r *Result) finish() {
	for i := range r.Kinds {
		k := &r.Kinds[i]
		slices.Sort(k.Latencies)
		k.RefusalP95 = quantile(k.refusalTimes, 0.95)
	}
}

// Quantile returns a quantile of the latencies, for q from 0 to 1; 0 if there are
// none.
func (k *KindResult) Quantile(q float64) time.Duration { return quantile(k.Latencies, q) }

// quantile returns a quantile, for q from 0 to 1, and sorts durations in place; 0 if there
// are none.
func quantile(durations []time.Duration, q float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[int(q*float64(len(durations)-1))]
}

// Objective returns the latency up to which a response earns OnTimeCredit.
func (k *KindResult) Objective() time.Duration { return milliseconds(k.kind.ObjectiveMS) }

// OnTimeCredit returns the credit for one response within the objective. It has no
// unit.
func (k *KindResult) OnTimeCredit() float64 { return k.kind.OnTimeCredit }

// CreditShare returns the earned share of the maximum credit over all kinds, from 0 to
// 1; 0 if there were no requests.
func (r *Result) CreditShare() float64 {
	credit, maxCredit := 0.0, 0.0
	for i := range r.Kinds {
		credit, maxCredit = credit+r.Kinds[i].Credit, maxCredit+r.Kinds[i].MaxCredit
	}
	if maxCredit == 0 {
		return 0
	}
	return credit / maxCredit
}

// WriteTable writes results as a text table with a row for each kind and policy.
func WriteTable(w io.Writer, results []*Result) error {
	if _, err := fmt.Fprintf(w, "%-14s %-18s %-14s %7s %7s %6s %7s %8s %7s %7s %10s\n",
		"pattern", "policy", "kind", "asked", "on time", "late", "failed", "refusals", "credit", "p50 ms", "p95 ms"); err != nil {
		return err
	}
	for _, r := range results {
		for i := range r.Kinds {
			k := &r.Kinds[i]
			if _, err := fmt.Fprintf(w, "%-14s %-18s %-14s %7d %7d %6d %7d %8d %7.3f %7d %10d\n", r.Pattern, r.Policy, k.Name, k.Requests, k.OnTime,
				k.Late, k.Failed, k.Refusals, k.Credit/max(k.MaxCredit, 1e-9), k.Quantile(0.5).Milliseconds(), k.Quantile(0.95).Milliseconds()); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintf(w, "%-14s %-18s all kinds: credit %.3f, runs put out %d\n", r.Pattern, r.Policy, r.CreditShare(), r.Preemptions); err != nil {
			return err
		}
	}
	return nil
}
