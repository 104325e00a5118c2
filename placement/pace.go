package placement

import "time"

// Reading speeds of engines.
const (
	// FirstPace is assumed before an answer has shown better; tokens a
	// millisecond, from answers to prompts of 6,000 to 27,000 tokens.
	FirstPace = 33
	// paceRate is the weight of the newest answer.
	paceRate = 0.05
	// paceBound is how far a speed may be from the first one, either way.
	paceBound = 4
	// paceLeast is the shortest prompt that shows the speed: below it, the
	// engine's step and the network weigh as much; tokens.
	paceLeast = 4096
)

// Pace is the speed at which the engines of a service read, learned from prompts
// that were alone when they came. Without it, the wait behind long prompts is
// taken for shorter than it is, and prompts meet at one server (long prompts
// among many short ones).
func Pace(old float64, tokens int, took time.Duration) float64 {
	if tokens < paceLeast || took <= 0 {
		return old
	}
	seen := float64(tokens) / (float64(took) / float64(time.Millisecond))
	seen = min(max(seen, float64(FirstPace)/paceBound), FirstPace*paceBound)
	return old + paceRate*(seen-old)
}
