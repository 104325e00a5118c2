package placement

import (
	"math"
	"sync"
	"time"
)

// Parameters of the split of servers by prompt length.
const (
	// LongPromptTokens is the length in tokens from which a prompt delays short ones
	// noticeably: about 80 ms of prefill.
	LongPromptTokens = 4096
	// mixHalfLife is the time after which an observed prompt counts half.
	mixHalfLife = 5 * time.Second
	// minShare and maxShare bound the share of servers for either length.
	minShare, maxShare = 0.1, 0.9
)

// LengthMix tracks how the prefill work divides between short and long prompts, so that
// the servers can be split in the same ratio. A fixed ratio would leave some servers
// idle while others queue (with few long prompts among many short ones, or prompts of
// medium length). It is safe for concurrent use.
type LengthMix struct {
	mu sync.Mutex
	// shortWork and longWork are the observed prefill work in tokens as of updatedAt.
	// They are halved every mixHalfLife.
	shortWork, longWork float64
	updatedAt           time.Time
}

// Observe counts an incoming prompt of the given length in tokens. step is the prefill
// work, in tokens, equivalent to the engine step that each prompt takes.
func (m *LengthMix) Observe(tokens, step int, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d := now.Sub(m.updatedAt); d > 0 {
		decay := math.Exp2(-float64(d) / float64(mixHalfLife))
		m.shortWork, m.longWork, m.updatedAt = m.shortWork*decay, m.longWork*decay, now
	}
	work := float64(tokens + step)
	if tokens >= LongPromptTokens {
		m.longWork += work
		return
	}
	m.shortWork += work
}

// ShortShare returns the share of servers for short prompts by the prompts observed, see
// MixWork.ShortShare.
func (m *LengthMix) ShortShare() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return MixWork{m.shortWork, m.longWork}.ShortShare()
}

// Work returns the prefill work observed, as of now.
func (m *LengthMix) Work(now time.Time) MixWork {
	m.mu.Lock()
	defer m.mu.Unlock()
	decay := 1.0
	if d := now.Sub(m.updatedAt); d > 0 {
		decay = math.Exp2(-float64(d) / float64(mixHalfLife))
	}
	return MixWork{m.shortWork * decay, m.longWork * decay}
}

// MixWork is prefill work by the length of prompts, in tokens. Instances of a large fleet
// tell each other theirs: each sees few prompts, and servers that some of them count to
// one group and some to the other would get both lengths.
type MixWork struct{ Short, Long float64 }

// Plus returns the sum of two.
func (w MixWork) Plus(v MixWork) MixWork { return MixWork{w.Short + v.Short, w.Long + v.Long} }

// ShortShare returns the share of servers for short prompts, from minShare to maxShare;
// 0 if one length hardly occurs, so that no server needs to be reserved.
func (w MixWork) ShortShare() float64 {
	total := w.Short + w.Long
	if total == 0 {
		return 0
	}
	share := w.Short / total
	if share < negligibleShare || share > 1-negligibleShare {
		return 0
	}
	return min(max(share, minShare), maxShare)
}

// negligibleShare is the share of all prefill work below which a length is ignored.
const negligibleShare = 0.02
