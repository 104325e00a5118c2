package dispatch

import "time"

// Rules of learning how fast the engines of a service read.
const (
	// firstPace and firstOverhead are believed before prompts have shown better:
	// tokens a millisecond, and the time to a first event besides reading. They
	// weigh as much as priorSamples prompts, half of them of priorLong tokens, and
	// less with each prompt that was seen, half of it after priorFades: where all
	// are of one length, what is left keeps apart what is of each token and what is
	// not.
	firstPace     = 33.0
	firstOverhead = 25 * time.Millisecond
	priorSamples  = 2.0
	priorLong     = 8192.0
	priorFades    = 4.0
	// readerKeeps is what is kept of the weight of earlier prompts with each one.
	readerKeeps = 0.97
	// mostSurprise is how many times as long as expected a prompt may take to count
	// in full: what took longer waited for something that nobody told of.
	mostSurprise = 3.0
	// slowestPace and fastestPace bound what is believed; tokens a millisecond.
	slowestPace, fastestPace = 1.0, 2000.0
	// longestOverhead bounds what is believed of the rest.
	longestOverhead = 400 * time.Millisecond
	// stepShare is the part of the overhead in which the engine reads for nobody
	// else: the rest is way and waiting for a step to end.
	stepShare = 0.25
)

// Reader learns how fast the engines of a service read: the time to the first
// event of a prompt that nothing was before is a part for each token, and a rest.
// The zero value believes the first figures.
type Reader struct{ seen sums }

// sums are those of a fit of times y to lengths x.
type sums struct{ n, x, y, xx, xy float64 }

func (s *sums) add(x, y, weight float64) {
	s.n, s.x, s.y, s.xx, s.xy = s.n+weight, s.x+weight*x, s.y+weight*y, s.xx+weight*x*x, s.xy+weight*x*y
}

// fit is what was seen, with the first figures.
func (r *Reader) fit() sums {
	all := r.seen
	for _, x := range []float64{0, priorLong} {
		all.add(x, x/firstPace+milliseconds(firstOverhead), priorSamples/2/(1+r.seen.n/priorFades))
	}
	return all
}

// Learn takes a prompt of so many tokens to read, that nothing was before and
// nothing was brought for, and the time to its first event.
func (r *Reader) Learn(tokens int, took time.Duration) {
	expected := milliseconds(r.Overhead()) + float64(tokens)/r.Pace()
	for _, v := range []*float64{&r.seen.n, &r.seen.x, &r.seen.y, &r.seen.xx, &r.seen.xy} {
		*v *= readerKeeps
	}
	r.seen.add(float64(tokens), min(milliseconds(took), mostSurprise*expected), 1)
}

// Pace is the reading speed; tokens a millisecond.
func (r *Reader) Pace() float64 {
	f := r.fit()
	slope := (f.n*f.xy - f.x*f.y) / (f.n*f.xx - f.x*f.x)
	return min(fastestPace, max(slowestPace, 1/max(slope, 1/fastestPace)))
}

// Overhead is the time to a first event besides reading.
func (r *Reader) Overhead() time.Duration {
	f := r.fit()
	rest := (f.y - f.x/r.Pace()) / f.n
	return min(longestOverhead, max(0, time.Duration(rest*float64(time.Millisecond))))
}

// StepTokens is the reading that takes as long as a prompt holds the engine up
// besides its own reading: a step at least, however short it is. Without it, many
// short prompts look like no work (many callers at once).
func (r *Reader) StepTokens() int {
	return int(stepShare * milliseconds(r.Overhead()) * r.Pace())
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
