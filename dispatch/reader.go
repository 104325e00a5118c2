package dispatch

import "time"

// Rules of learning how fast the engines of a service read.
const (
	// firstPace and firstOverhead are believed before prompts have shown better:
	// tokens a millisecond, and the time to a first event besides reading. They
	// weigh as much as priorSamples prompts.
	firstPace     = 33.0
	firstOverhead = 25 * time.Millisecond
	priorSamples  = 2.0
	// priorLong is the length of a prompt by which the first pace is weighed.
	priorLong = 8192.0
	// readerKeeps is what is kept of the weight of earlier prompts with each one.
	readerKeeps = 0.98
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
type Reader struct{ n, x, y, xx, xy float64 }

func (r *Reader) prior() {
	for _, x := range []float64{0, priorLong} {
		r.sum(x, x/firstPace+milliseconds(firstOverhead), priorSamples/2)
	}
}

func (r *Reader) sum(x, y, weight float64) {
	r.n, r.x, r.y, r.xx, r.xy = r.n+weight, r.x+weight*x, r.y+weight*y, r.xx+weight*x*x, r.xy+weight*x*y
}

// Learn takes a prompt of so many tokens to read, that nothing was before and
// nothing was brought for, and the time to its first event.
func (r *Reader) Learn(tokens int, took time.Duration) {
	if r.n == 0 {
		r.prior()
	}
	for _, v := range []*float64{&r.n, &r.x, &r.y, &r.xx, &r.xy} {
		*v *= readerKeeps
	}
	r.sum(float64(tokens), milliseconds(took), 1)
}

// Pace is the reading speed; tokens a millisecond.
func (r *Reader) Pace() float64 {
	if r.n == 0 {
		return firstPace
	}
	slope := (r.n*r.xy - r.x*r.y) / (r.n*r.xx - r.x*r.x)
	return min(fastestPace, max(slowestPace, 1/max(slope, 1/fastestPace)))
}

// Overhead is the time to a first event besides reading.
func (r *Reader) Overhead() time.Duration {
	if r.n == 0 {
		return firstOverhead
	}
	rest := (r.y - r.x/r.Pace()) / r.n
	return min(longestOverhead, max(0, time.Duration(rest*float64(time.Millisecond))))
}

// StepTokens is the reading that takes as long as a prompt holds the engine up
// besides its own reading: a step at least, however short it is. Without it, many
// short prompts look like no work (many callers at once).
func (r *Reader) StepTokens() int {
	return int(stepShare * milliseconds(r.Overhead()) * r.Pace())
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
