package dispatch

import "time"

// Parameters of the prefill model.
const (
	// priorRate and priorOverhead are the values before any prompt was observed:
	// tokens per millisecond, and the time to a first event besides prefill. They
	// weigh as much as priorWeight prompts, half of them of priorPromptTokens tokens.
	// The weight falls with each observed prompt, to half after priorHalfWeight; if
	// all prompts have the same length, the rest of it still separates the time per
	// token from the overhead.
	priorRate         = 33.0
	priorOverhead     = 25 * time.Millisecond
	priorWeight       = 2.0
	priorPromptTokens = 8192.0
	priorHalfWeight   = 4.0
	// sampleRetention is applied to the weight of earlier prompts with each new one.
	sampleRetention = 0.97
	// maxOutlierFactor caps the time of a prompt at a multiple of the expected time:
	// a longer one waited for work that no instance reported.
	maxOutlierFactor = 3.0
	// minRate and maxRate bound the estimated rate, in tokens per millisecond.
	minRate, maxRate = 1.0, 2000.0
	// maxOverhead bounds the estimated overhead.
	maxOverhead = 400 * time.Millisecond
	// stepFraction is the part of the overhead during which the engine prefills
	// nothing else. The rest is network delay and waiting for a step to end.
	stepFraction = 0.25
)

// PrefillModel estimates the prefill speed of the engines of a service by linear
// regression: the time to the first event of a prompt with nothing queued before it
// is a time per token plus an overhead. The zero value starts from the prior.
type PrefillModel struct{ observed regressionSums }

// regressionSums are the weighted sums of a linear fit of times y to lengths x.
type regressionSums struct{ n, x, y, xx, xy float64 }

// add adds a weighted sample: time y in milliseconds for a prompt of x tokens.
func (s *regressionSums) add(x, y, weight float64) {
	s.n, s.x, s.y, s.xx, s.xy = s.n+weight, s.x+weight*x, s.y+weight*y, s.xx+weight*x*x, s.xy+weight*x*y
}

// withPrior returns the observed sums plus the prior.
func (m *PrefillModel) withPrior() regressionSums {
	total := m.observed
	for _, x := range []float64{0, priorPromptTokens} {
		total.add(x, x/priorRate+milliseconds(priorOverhead), priorWeight/2/(1+m.observed.n/priorHalfWeight))
	}
	return total
}

// Observe records the time to the first event of a prompt of the given length in
// tokens. Nothing must have been queued before the prompt, and it must have needed no
// transfer.
func (m *PrefillModel) Observe(tokens int, elapsed time.Duration) {
	expected := milliseconds(m.Overhead()) + float64(tokens)/m.Rate()
	for _, v := range []*float64{&m.observed.n, &m.observed.x, &m.observed.y, &m.observed.xx, &m.observed.xy} {
		*v *= sampleRetention
	}
	m.observed.add(float64(tokens), min(milliseconds(elapsed), maxOutlierFactor*expected), 1)
}

// Rate returns the prefill rate in tokens per millisecond, from minRate to maxRate.
func (m *PrefillModel) Rate() float64 {
	f := m.withPrior()
	slope := (f.n*f.xy - f.x*f.y) / (f.n*f.xx - f.x*f.x)
	return min(maxRate, max(minRate, 1/max(slope, 1/maxRate)))
}

// Overhead returns the time to a first event besides prefill, at most maxOverhead.
func (m *PrefillModel) Overhead() time.Duration {
	f := m.withPrior()
	intercept := (f.y - f.x/m.Rate()) / f.n
	return min(maxOverhead, max(0, time.Duration(intercept*float64(time.Millisecond))))
}

// StepTokens returns the prefill work equivalent to the time for which any prompt
// occupies the engine besides its own prefill, at least one step. Without it, bursts
// of many short prompts would count as almost no work.
func (m *PrefillModel) StepTokens() int {
	return int(stepFraction * milliseconds(m.Overhead()) * m.Rate())
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
