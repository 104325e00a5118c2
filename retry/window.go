package retry

import (
	"sync"
	"time"
)

// windowSteps divides a window: counts leave it in steps.
const windowSteps = 10

// Window bounds the requests that are sent again within any span of a length.
// Each entry instance holds one share of a bound on all of them: with the loss
// of an instance its share stays unused, since it may still be at work.
type Window struct {
	step  time.Duration
	ratio float64

	mu       sync.Mutex
	slack    float64
	requests [windowSteps]int
	repeats  [windowSteps + 1]int
	// at is the number of the step in progress.
	at int64
}

// NewWindow allows, in any span, ratio repeats for each request in it and slack
// more.
func NewWindow(span time.Duration, ratio, slack float64) *Window {
	return &Window{step: span / windowSteps, ratio: ratio, slack: slack}
}

// SetSlack changes the constant part.
func (w *Window) SetSlack(slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slack = slack
}

// advance forgets the steps that have left the window. Repeats are held one
// step longer than requests, so that no span that begins within a step counts
// more repeats than are held here.
func (w *Window) advance(now time.Time) {
	at := now.UnixNano() / int64(w.step)
	if at-w.at > windowSteps {
		w.requests, w.repeats = [windowSteps]int{}, [windowSteps + 1]int{}
		w.at = at
	}
	for ; w.at < at; w.at++ {
		w.requests[(w.at+1)%windowSteps] = 0
		w.repeats[(w.at+1)%(windowSteps+1)] = 0
	}
}

// Request counts a first attempt.
func (w *Window) Request(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.requests[w.at%windowSteps]++
}

// Take counts a repeat if the bound allows one.
func (w *Window) Take(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	requests, repeats := 0, 0
	for _, n := range w.requests {
		requests += n
	}
	for _, n := range w.repeats {
		repeats += n
	}
	if float64(repeats+1) > w.ratio*float64(requests)+w.slack {
		return false
	}
	w.repeats[w.at%(windowSteps+1)]++
	return true
}
