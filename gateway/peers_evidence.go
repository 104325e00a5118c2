package gateway

import (
	"sync"
	"time"

	"github.com/galenaarch/galenaarch/api/fleetv1"
)

const (
	// evidenceRepeatTime is how long changed evidence is repeated with each refresh: an
	// update may be lost, and each goes to at most maxPeers instances.
	evidenceRepeatTime = 5 * time.Second
	// evidenceInterval is the time between repetitions after that. An instance that was
	// cut off learns of the evidence within this time.
	evidenceInterval = 2 * time.Second
)

// evidenceSchedule determines when updates include the crash evidence: after each change,
// and at intervals while there is any.
type evidenceSchedule struct {
	mu                sync.Mutex
	present, changed  bool
	changedAt, sentAt time.Time
}

// update records that the evidence has changed, and whether there is any.
func (s *evidenceSchedule) update(present bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.present, s.changed, s.changedAt = present, true, now
}

// due reports whether the next update is to include the evidence.
func (s *evidenceSchedule) due(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.present {
		return false
	}
	interval := evidenceInterval
	if now.Sub(s.changedAt) < evidenceRepeatTime {
		interval = refreshInterval / 2
	}
	return s.changed || now.Sub(s.sentAt) >= interval
}

func (s *evidenceSchedule) sent(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed, s.sentAt = false, now
}

// dueEvidence returns the crash evidence if the next update is to include it.
func (p *peers) dueEvidence(s *evidenceSchedule) *fleetv1.CrashEvidence {
	now := time.Now()
	if !s.due(now) {
		return nil
	}
	s.sent(now)
	return p.evidence(now)
}

// evidenceChanged schedules an update with the crash evidence.
func (p *peers) evidenceChanged(present bool) {
	now := time.Now()
	p.evidenceNews.update(present, now)
	p.evidenceZoneNews.update(present, now)
	p.notify()
}
