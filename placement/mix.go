package placement

import (
	"math"
	"sync"
	"time"
)

// How the servers are divided between lengths of prompts.
const (
	// LongPrompt is the length from which a prompt holds short ones up: some
	// eighty milliseconds of reading; tokens.
	LongPrompt = 4096
	// mixHalf is the time in which what came is half forgotten.
	mixHalf = 5 * time.Second
	// leastShare and mostShare bound the part of the servers for either length.
	leastShare, mostShare = 0.1, 0.9
)

// Mix learns how the reading that comes divides between short and long prompts. A
// fixed part of the servers for each leaves one part idle while the other has
// queues (few long prompts among many short ones; prompts of middle length). It
// is safe for concurrent use.
type Mix struct {
	mu          sync.Mutex
	short, long float64
	at          time.Time
}

// Note counts a prompt that came; step is the reading that takes as long as the
// step that each prompt takes.
func (m *Mix) Note(tokens, step int, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d := now.Sub(m.at); d > 0 {
		kept := math.Exp2(-float64(d) / float64(mixHalf))
		m.short, m.long, m.at = m.short*kept, m.long*kept, now
	}
	work := float64(tokens + step)
	if tokens >= LongPrompt {
		m.long += work
		return
	}
	m.short += work
}

// ShortShare is the part of the servers that is for short prompts; 0 if one
// length hardly comes, so that no server need be set apart.
func (m *Mix) ShortShare() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := m.short + m.long
	if sum == 0 {
		return 0
	}
	share := m.short / sum
	if share < hardly || share > 1-hardly {
		return 0
	}
	return min(max(share, leastShare), mostShare)
}

// hardly is the part of all reading below which a length does not count.
const hardly = 0.02
