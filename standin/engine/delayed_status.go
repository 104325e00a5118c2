package engine

import (
	"sync"
	"time"
)

// delayedStatus delays load reports by delay.
type delayedStatus struct {
	delay time.Duration

	mu      sync.Mutex
	samples []statusSample
}

// statusSample is a load report and the time when it was recorded.
type statusSample struct {
	takenAt time.Time
	status  loadStatus
}

// recordAndDelay records the current status and returns the most recent one that is at
// least l.delay old, or the zero value if there is none.
func (l *delayedStatus) recordAndDelay(now time.Time, current loadStatus) loadStatus {
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
