package fleetview

import (
	"time"

	"github.com/galenaarch/galenaarch/api/fleetv1"
)

// evidenceExchange is the exchange of crash evidence with the control instances. It is
// guarded by the view's lock.
type evidenceExchange struct {
	// report returns what this process has observed after a revision, nil for nothing, and the
	// newest revision; merge adds the evidence of a control instance. Both are nil if this
	// process has none, and are called without the lock.
	report func(since uint64, now time.Time) (*fleetv1.CrashEvidence, uint64)
	merge  func(e *fleetv1.CrashEvidence, from string)
	// revision is the newest revision of this process's evidence; 0 before the first.
	revision uint64
}

// sourceEvidence is what is known of the evidence at one control instance: the revision of
// this process's evidence that it was sent, and that of its own that was received.
type sourceEvidence struct{ feed, sent, received uint64 }

// ExchangeEvidence exchanges crash evidence with the control instances. It must be called
// before Start. report returns what to send to an instance that knows a revision, nil for
// nothing, and the newest revision; 0 is that of an instance that knows nothing. merge
// receives the evidence of a control instance.
func (v *View) ExchangeEvidence(report func(since uint64, now time.Time) (*fleetv1.CrashEvidence, uint64), merge func(e *fleetv1.CrashEvidence, from string)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.evidence.report, v.evidence.merge = report, merge
}

// EvidenceChanged makes the next poll of each control instance carry this process's evidence up
// to a revision. If urgent is set, that poll is sent at once.
func (v *View) EvidenceChanged(revision uint64, urgent bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.evidence.revision = revision
	if urgent {
		v.interruptPolls()
	}
}

// addTo adds the evidence to a poll of a control instance that does not have it, and returns
// the revision that the instance has after the poll.
func (x *evidenceExchange) addTo(req *fleetv1.SyncRequest, s sourceEvidence, now time.Time) (sent uint64) {
	if x.report == nil || s.sent == x.revision {
		return s.sent
	}
	req.Evidence, sent = x.report(s.sent, now)
	return sent
}

// applyEvidence applies the response to a poll after which the control instance has a revision
// of this process's evidence, if it has not restarted since the poll before.
func (v *View) applyEvidence(s *source, r *fleetv1.SyncResponse, sent uint64) {
	v.mu.Lock()
	merge := v.evidence.merge
	if r.Feed != s.evidence.feed && s.evidence.sent != 0 {
		sent = 0 // the control instance has restarted and knows nothing
	}
	s.evidence.sent, s.evidence.feed, s.evidence.received = sent, r.Feed, r.EvidenceRevision
	v.mu.Unlock()
	if r.Evidence != nil && merge != nil {
		merge(r.Evidence, s.url)
	}
}
