package dispatch

import (
	"math"
	"time"
)

// Bounds of what a server states about the speed of its machine, and how long a statement
// holds.
const (
	// minSlowness and maxSlowness bound a statement: one that is wrong must neither draw all
	// requests to a server nor exclude it for longer than the statement holds.
	minSlowness, maxSlowness = 0.5, 8.0
	// slownessHold is the mean time for which a statement of a server holds. Other work on
	// its machine begins and ends at any moment, so the part of the statements that still
	// holds falls exponentially with their age.
	slownessHold = 600 * time.Millisecond
)

// Slowness is how long work takes at a server that shares its machine, as a multiple of the
// usual time. It is what the server stated last, and fades to 1 with the age of that. The
// zero value is 1.
type Slowness struct {
	stated   float64
	statedAt time.Time
}

// State records what a server states; factors out of bounds are limited to them, and what
// is not a positive number is ignored. Of two statements, the later one counts.
func (s *Slowness) State(factor float64, now time.Time) {
	if !(factor > 0) || now.Before(s.statedAt) {
		return
	}
	s.stated, s.statedAt = min(maxSlowness, max(minSlowness, factor)), now
}

// Factor returns the multiple of the usual time that is expected now.
func (s *Slowness) Factor(now time.Time) float64 {
	if s.stated == 0 {
		return 1
	}
	age := max(0, now.Sub(s.statedAt))
	return 1 + (s.stated-1)*math.Exp(-age.Seconds()/slownessHold.Seconds())
}
