package emulator

import (
	"math"
	"slices"
	"time"
)

// spreadInterval is the time between two samples of the load at the engines.
const spreadInterval = 100 * time.Millisecond

// overrunBacklog is the prefill work from which an engine counts as overrun: the
// backlog beyond which prompts wait at the instance.
const overrunBacklog = 250 * time.Millisecond

// Spread is how evenly the prefill work was spread over the engines, from samples
// of all engines at once.
type Spread struct {
	// Variation is the coefficient of variation of the work at an engine, weighted by the
	// mean work of a sample.
	Variation float64
	// P99 and Mean are of the time in which engines could do the work that they held.
	P99, Mean time.Duration
	// Overrun is the share of samples of an engine in which it was overrun while another
	// one had nothing to do.
	Overrun float64

	// Ahead are the times that an engine needs for what it holds as a prompt is sent to it,
	// by kind, ascending.
	Ahead [][]time.Duration

	work                []time.Duration
	weights, deviations float64
	overrun             int
}

// scheduleSpread samples the load until new requests end.
func (r *simulation) scheduleSpread() {
	if len(r.engines) == 0 || r.pattern.Fleet.Domains == 0 {
		return
	}
	var sample func()
	sample = func() {
		r.result.Spread.add(r.engines)
		if r.now < seconds(r.pattern.Seconds) {
			r.schedule(r.now+spreadInterval, sample)
		}
	}
	r.schedule(spreadInterval, sample)
}

// pendingWork returns the time that an engine needs for the tokens to be prefilled.
func (s *server) pendingWork() time.Duration {
	tokens := 0
	for _, q := range s.engine.running {
		tokens += q.prefillLeft
	}
	for q := range s.engine.waiting.All() {
		if !q.abandoned && !q.finished {
			tokens += q.memory() - min(q.kind.PrefixTokens, s.cachedTokens(q.prefix))
		}
	}
	return milliseconds(float64(tokens) / s.engineConfig.TokensPerMS)
}

func (s *Spread) add(engines []*server) {
	idle, over, sum, squares := false, 0, 0.0, 0.0
	for _, e := range engines {
		work := e.pendingWork()
		idle = idle || work == 0
		if work > overrunBacklog {
			over++
		}
		s.work = append(s.work, work)
		sum, squares = sum+work.Seconds(), squares+work.Seconds()*work.Seconds()
	}
	if idle {
		s.overrun += over
	}
	n := float64(len(engines))
	if mean := sum / n; mean > 0 {
		s.weights += mean
		s.deviations += math.Sqrt(max(0, squares/n-mean*mean))
	}
}

// sent records the work ahead of a prompt as it is sent.
func (s *Spread) sent(kind int, to *server) {
	for len(s.Ahead) <= kind {
		s.Ahead = append(s.Ahead, nil)
	}
	s.Ahead[kind] = append(s.Ahead[kind], to.pendingWork())
}

// finish computes the figures from the samples.
func (s *Spread) finish() {
	for _, ahead := range s.Ahead {
		slices.Sort(ahead)
	}
	if len(s.work) == 0 || s.weights == 0 {
		return
	}
	sum := time.Duration(0)
	for _, w := range s.work {
		sum += w
	}
	s.Variation, s.Mean = s.deviations/s.weights, sum/time.Duration(len(s.work))
	s.Overrun, s.P99 = float64(s.overrun)/float64(len(s.work)), quantile(s.work, 0.99)
}
