package gateway

import (
	"sync/atomic"
	"time"
)

const (
	// longPrompt is the length from which a prompt holds short ones up: some
	// forty milliseconds of reading; tokens.
	longPrompt = 2048
	// mixedFor is how long both lengths are expected after they were seen.
	mixedFor = 10 * time.Second
)

// sizes notes whether long and short prompts come side by side.
type sizes struct{ long, short atomic.Int64 }

func (s *sizes) note(tokens int, now time.Time) {
	if tokens >= longPrompt {
		s.long.Store(now.UnixNano())
		return
	}
	s.short.Store(now.UnixNano())
}

func (s *sizes) mixed(now time.Time) bool {
	since := now.Add(-mixedFor).UnixNano()
	return s.long.Load() > since && s.short.Load() > since
}
