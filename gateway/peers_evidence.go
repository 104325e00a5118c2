package gateway

import (
	"sync"
	"time"

	"github.com/galenaarch/galenaarch/api/fleetv1"
)

// evidenceInterval is the time after which the next peer is sent all crash evidence. An
// instance that was cut off from the control instances, or missed an update, learns of the
// evidence from several others within this time.
const evidenceInterval = 2 * time.Second

// evidenceSchedule determines which updates to peers include crash evidence: after each change
// what this instance has observed since the change before, and at intervals, while there is
// any, all evidence in the update to one peer.
type evidenceSchedule struct {
	mu sync.Mutex
	// present is set while there is any evidence; revision is that of this instance's own,
	// sent the last one that was sent.
	present        bool
	revision, sent uint64
	allSentAt      time.Time
	rotation       int
}

// update records the revision of this instance's evidence, and whether there is any.
func (s *evidenceSchedule) update(revision uint64, present bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.present = revision, present
}

// due reports whether the next update is to include evidence.
func (s *evidenceSchedule) due(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent != s.revision || s.allDue(now)
}

// allDue reports whether the next peer is to be sent all evidence. mu must be held.
func (s *evidenceSchedule) allDue(now time.Time) bool {
	return s.present && now.Sub(s.allSentAt) >= evidenceInterval
}

// takeNews returns the revision after which changes are to be sent, and whether there are any.
// They count as sent.
func (s *evidenceSchedule) takeNews() (since uint64, due bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	since, due = s.sent, s.sent != s.revision
	s.sent = s.revision
	return since, due
}

// takeTurn returns which of some recipients is to be sent all evidence; -1 for none.
func (s *evidenceSchedule) takeTurn(recipients int, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if recipients == 0 || !s.allDue(now) {
		return -1
	}
	s.allSentAt = now
	s.rotation++
	return s.rotation % recipients
}

// evidenceNewsFor returns the changes of this instance's evidence that its peers have not been
// sent; nil for none.
func (p *peers) evidenceNewsFor(s *evidenceSchedule) *fleetv1.CrashEvidence {
	since, due := s.takeNews()
	if !due {
		return nil
	}
	e, _ := p.evidence(since, time.Now())
	return e
}

// evidenceChanged schedules updates with the crash evidence.
func (p *peers) evidenceChanged(revision uint64, present bool) {
	p.evidenceNews.update(revision, present)
	p.evidenceZones.update(0, present)
	p.notify()
}
