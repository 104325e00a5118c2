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
	// Preemptions is the number of preemptions at all engines, RejectedAtServers that of the
	// requests that plain servers rejected because too many waited.
	Preemptions, RejectedAtServers int
	// RereadTokens is the number of tokens of shared prefixes that an engine prefilled
	// although one had done so before.
	RereadTokens int
	// Spread is how evenly the work was spread over the engines, if the pattern divides
	// them into failure domains.
	Spread Spread
	// HeldBesideSlots is the number of plain requests that began to wait at an entry instance
	// while a server that responds had a free slot.
	HeldBesideSlots int
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
	Requests, OnTime          int
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

// recordRequest counts a client's request.
func (r *Result) recordRequest(kind int, at time.Duration) {
	k := &r.Kinds[kind]
	k.Requests++
	k.secondAt(at).Requests++
}

// recordResponse counts a response as on time or late, in the second of arrival too.
func (r *Result) recordResponse(kind int, arrival, latency time.Duration) {
	k := &r.Kinds[kind]
	k.Latencies = append(k.Latencies, latency)
	if latency <= milliseconds(k.kind.ObjectiveMS) {
		k.OnTime++
		k.secondAt(arrival).OnTime++
	} else {
		k.Late++
	}
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

// OnTimeShareIn returns the share of the requests that arrived in the seconds that begin in
// [start, end) and got their response on time: the mean over the kinds of request; 1 if there were
// none.
func (r *Result) OnTimeShareIn(start, end time.Duration) float64 {
	sum, kinds := 0.0, 0
	for i := range r.Kinds {
		requests, onTime := 0, 0
		for n, s := range r.Kinds[i].Seconds {
			if at := time.Duration(n) * time.Second; at >= start && at < end {
				requests, onTime = requests+s.Requests, onTime+s.OnTime
			}
		}
		if requests > 0 {
			sum, kinds = sum+float64(onTime)/float64(requests), kinds+1
		}
	}
	if kinds == 0 {
		return 1
	}
	return sum / float64(kinds)
}

// RecoveryTime returns the time, in whole seconds after a given one, from which the
// requests of two consecutive seconds are on time at least in the given share; -1 if none
// are before the end.
func (r *Result) RecoveryTime(after time.Duration, share float64, end time.Duration) time.Duration {
	for at := after; at+2*time.Second <= end; at += time.Second {
		if r.OnTimeShareIn(at, at+2*time.Second) >= share {
			return at - after
		}
	}
	return -1
}

// finish sorts the latencies and sets RefusalP95 and Spread.
func (r *Result) finish() {
	r.Spread.finish()
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

// Objective returns the latency up to which a response is on time.
func (k *KindResult) Objective() time.Duration { return milliseconds(k.kind.ObjectiveMS) }

// OnTimeShare returns the share of the clients whose response began within the objective, and
// ServedShare that of those who got one before they left; both 0 if there were no requests.
func (k *KindResult) OnTimeShare() float64 { return share(k.OnTime, k.Requests) }

// ServedShare is described at OnTimeShare.
func (k *KindResult) ServedShare() float64 { return share(k.OnTime+k.Late, k.Requests) }

func share(part, whole int) float64 { return float64(part) / float64(max(1, whole)) }

// OnTimeShare returns the mean share of requests on time over the kinds, each of which counts alike,
// however many requests it has.
func (r *Result) OnTimeShare() float64 { return r.meanOverKinds((*KindResult).OnTimeShare) }

// ServedShare returns the mean share of served requests over the kinds.
func (r *Result) ServedShare() float64 { return r.meanOverKinds((*KindResult).ServedShare) }

func (r *Result) meanOverKinds(of func(*KindResult) float64) float64 {
	sum := 0.0
	for i := range r.Kinds {
		sum += of(&r.Kinds[i])
	}
	return sum / float64(max(1, len(r.Kinds)))
}

// WriteTable writes results as a text table with a row for each kind and policy.
func WriteTable(w io.Writer, results []*Result) error {
	if _, err := fmt.Fprintf(w, "%-14s %-18s %-14s %7s %7s %6s %7s %8s %7s %7s %10s\n",
		"pattern", "policy", "kind", "asked", "on time", "late", "failed", "refusals", "served", "p50 ms", "p95 ms"); err != nil {
		return err
	}
	for _, r := range results {
		for i := range r.Kinds {
			k := &r.Kinds[i]
			if _, err := fmt.Fprintf(w, "%-14s %-18s %-14s %7d %7d %6d %7d %8d %7.3f %7d %10d\n", r.Pattern, r.Policy, k.Name, k.Requests, k.OnTime,
				k.Late, k.Failed, k.Refusals, k.ServedShare(), k.Quantile(0.5).Milliseconds(), k.Quantile(0.95).Milliseconds()); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintf(w, "%-14s %-18s mean of the kinds: on time %.3f, served %.3f, runs put out %d\n", r.Pattern, r.Policy, r.OnTimeShare(), r.ServedShare(), r.Preemptions); err != nil {
			return err
		}
	}
	return nil
}
