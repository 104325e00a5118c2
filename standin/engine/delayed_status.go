package engine

import (
	"sync"
	"time"
)

// delayedStatus returns load reports with a configurable delay.
type delayedStatus struct {
	delay time.Duration

	mu      sync.Mutex
	samples []statusSample
}

type statusSample struct {
	takenAt time.Time
	status  loadStatus
}

// delayed records the current status and returns the most recent one that is at
// least as old as the delay, or the zero value.
func (l *delayedStatus) delayed(now time.Time, current loadStatus) loadStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, statusSample{takenAt: now, status: current})
	newest := -1
	for i, v := range l.samples {
		if now.Sub(v.takenAt) >= l.delay {
			newest = i
		}
	}
	if newest < 0 {
		return loadStatus{}
	}
	l.samples = l.samples[newest:]
	return l.samples[0].status
}
