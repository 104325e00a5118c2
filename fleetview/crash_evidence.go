package fleetview

import (
	"time"

	"github.com/galenaarch/galenaarch/api/fleetv1"
)

// evidenceExchange is the exchange of crash evidence with the control instances. It is
// guarded by the view's lock.
type evidenceExchange struct {
	// report returns this process's evidence, nil for none; merge adds that of a control
	// instance. Both are nil if this process has none, and are called without the lock.
	report func(now time.Time) *fleetv1.CrashEvidence
	merge  func(e *fleetv1.CrashEvidence, from string)
	// revision increases with each change of the evidence; 0 before the first.
	revision uint64
}

// sourceEvidence is what is known of the evidence at one control instance: the revision of
// this process's evidence that it was sent, and that of its own that was received.
type sourceEvidence struct{ feed, sent, received uint64 }

// ExchangeEvidence exchanges crash evidence with the control instances. It must be called
// before Start. report returns what to send, nil for nothing; merge receives the evidence
// of a control instance.
func (v *View) ExchangeEvidence(report func(now time.Time) *fleetv1.CrashEvidence, merge func(e *fleetv1.CrashEvidence, from string)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.evidence.report, v.evidence.merge = report, merge
}

// EvidenceChanged makes the next poll of each control instance carry the crash evidence. If
// urgent is set, that poll is sent at once.
func (v *View) EvidenceChanged(urgent bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.evidence.revision++
	if urgent {
		v.interruptPolls()
	}
}

// addTo adds the evidence to a poll of a control instance that does not have it.
func (x *evidenceExchange) addTo(req *fleetv1.SyncRequest, s *source, now time.Time) {
	if x.report != nil && s.evidence.sent != x.revision {
		req.Evidence = x.report(now)
	}
}

// applyEvidence applies the response to a poll. sent is the exchange as the poll began.
func (v *View) applyEvidence(s *source, req *fleetv1.SyncRequest, r *fleetv1.SyncResponse, sent evidenceExchange) {
	v.mu.Lock()
	switch {
	case req.Evidence != nil || s.evidence.sent != sent.revision:
		s.evidence.sent = sent.revision
	case r.Feed != s.evidence.feed:
		s.evidence.sent = 0 // the control instance has restarted and knows nothing
	}
	s.evidence.feed, s.evidence.received = r.Feed, r.EvidenceRevision
	v.mu.Unlock()
	if r.Evidence != nil && sent.merge != nil {
		sent.merge(r.Evidence, s.url)
	}
}
