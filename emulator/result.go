package emulator

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// Result is what callers saw of one run.
type Result struct {
	Pattern, Policy string
	Kinds           []KindResult
	// ToLeaving and ToPaused count requests that were sent to servers after they
	// had told the instance that they leave, or want nothing.
	ToLeaving, ToPaused int
	// Preempted counts runs that engines put out.
	Preempted int
}

// KindResult is what callers of one kind saw.
type KindResult struct {
	Name string
	// Asked, OnTime, Late and Failed count requests; a caller that was refused
	// and came back counts once.
	Asked, OnTime, Late, Failed int
	// Refusals counts answers "not run", RefusalP95 is the time to one.
	Refusals   int
	RefusalP95 time.Duration
	// Credit is what was earned of Owed.
	Credit, Owed float64
	// Times are how long answers took, in order.
	Times []time.Duration
	// Seconds are what callers of each second were owed and earned.
	Seconds  []Second
	kind     *Kind
	refusals []time.Duration
}

// Second is one second of callers. Expected and Came are the times to the first
// event that were expected and came, summed over Judged prompts.
type Second struct {
	Owed, Credit   float64
	Refusals       int
	Judged         int
	Expected, Came time.Duration
}

func newResult(p *Pattern, policy string) *Result {
	r := &Result{Pattern: p.Name, Policy: policy}
	for i := range p.Kinds {
		r.Kinds = append(r.Kinds, KindResult{Name: p.Kinds[i].Name, kind: &p.Kinds[i]})
	}
	return r
}

func (k *KindResult) second(at time.Duration) *Second {
	n := int(at / time.Second)
	for len(k.Seconds) <= n {
		k.Seconds = append(k.Seconds, Second{})
	}
	return &k.Seconds[n]
}

func (r *Result) ask(kind int, at time.Duration) {
	k := &r.Kinds[kind]
	k.Asked++
	k.Owed += k.kind.Worth
	k.second(at).Owed += k.kind.Worth
}

func (r *Result) serve(kind int, asked, took time.Duration) {
	k := &r.Kinds[kind]
	k.Times = append(k.Times, took)
	credit := k.kind.LateWorth
	if took <= milliseconds(k.kind.ObjectiveMS) {
		k.OnTime++
		credit = k.kind.Worth
	} else {
		k.Late++
	}
	k.Credit += credit
	k.second(asked).Credit += credit
}

func (r *Result) fail(kind int) { r.Kinds[kind].Failed++ }

func (r *Result) refuse(kind int, asked, took time.Duration) {
	k := &r.Kinds[kind]
	k.Refusals++
	k.refusals = append(k.refusals, took)
	k.second(asked).Refusals++
}

func (r *Result) estimated(kind int, asked, expected, came time.Duration) {
	s := r.Kinds[kind].second(asked)
	s.Judged, s.Expected, s.Came = s.Judged+1, s.Expected+expected, s.Came+came
}

// ShareIn is the credit earned of that owed by callers of a span; 1 if nobody came.
func (r *Result) ShareIn(from, to time.Duration) float64 {
	credit, owed := 0.0, 0.0
	for i := range r.Kinds {
		for n, s := range r.Kinds[i].Seconds {
			if at := time.Duration(n) * time.Second; at >= from && at < to {
				credit, owed = credit+s.Credit, owed+s.Owed
			}
		}
	}
	if owed == 0 {
		return 1
	}
	return credit / owed
}

// Back is how long after a moment callers of two seconds in a row earn a share of
// their credit again, in whole seconds; -1 if they do not.
func (r *Result) Back(after time.Duration, share float64, until time.Duration) time.Duration {
	for at := after; at+2*time.Second <= until; at += time.Second {
		if r.ShareIn(at, at+2*time.Second) >= share {
			return at - after
		}
	}
	return -1
}

func (r *Result) finish() {
	for i := range r.Kinds {
		k := &r.Kinds[i]
		slices.Sort(k.Times)
		k.RefusalP95 = quantile(k.refusals, 0.95)
	}
}

// Quantile is the time within which a share of the answers came.
func (k *KindResult) Quantile(q float64) time.Duration { return quantile(k.Times, q) }

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[int(q*float64(len(list)-1))]
}

// Objective is the time in which an answer earns its full credit.
func (k *KindResult) Objective() time.Duration { return milliseconds(k.kind.ObjectiveMS) }

// Worth is the credit of an answer on time.
func (k *KindResult) Worth() float64 { return k.kind.Worth }

// Share is the credit earned of that owed, over all kinds.
func (r *Result) Share() float64 {
	credit, owed := 0.0, 0.0
	for i := range r.Kinds {
		credit, owed = credit+r.Kinds[i].Credit, owed+r.Kinds[i].Owed
	}
	if owed == 0 {
		return 0
	}
	return credit / owed
}

// WriteTable writes results side by side.
func WriteTable(w io.Writer, results []*Result) error {
	if _, err := fmt.Fprintf(w, "%-14s %-18s %-14s %7s %7s %6s %7s %8s %7s %7s %10s\n",
		"pattern", "policy", "kind", "asked", "on time", "late", "failed", "refusals", "credit", "p50 ms", "p95 ms"); err != nil {
		return err
	}
	for _, r := range results {
		for i := range r.Kinds {
			k := &r.Kinds[i]
			if _, err := fmt.Fprintf(w, "%-14s %-18s %-14s %7d %7d %6d %7d %8d %7.3f %7d %10d\n", r.Pattern, r.Policy, k.Name, k.Asked, k.OnTime,
				k.Late, k.Failed, k.Refusals, k.Credit/max(k.Owed, 1e-9), k.Quantile(0.5).Milliseconds(), k.Quantile(0.95).Milliseconds()); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintf(w, "%-14s %-18s all kinds: credit %.3f, runs put out %d\n", r.Pattern, r.Policy, r.Share(), r.Preempted); err != nil {
			return err
		}
	}
	return nil
}
