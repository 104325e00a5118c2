package registry

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/dispatch"
)

// DecodeCrashEvidence decodes crash evidence; nil stands for none. Entries without a server
// or part are left out.
func DecodeCrashEvidence(e *fleetv1.CrashEvidence) dispatch.EvidenceReport {
	var r dispatch.EvidenceReport
	for _, c := range e.GetCrashes() {
		if c.Server.GetServer() == "" {
			continue
		}
		report := dispatch.CrashReport{Run: dispatch.ServerRun{Server: c.Server.Server, StartedMs: c.Server.BornUnixMs}, Ended: c.Ended, Age: decodeAge(c.AgeMs), AliveAge: decodeAge(c.AliveAgeMs)}
		for _, s := range c.Suspects {
			if validCause(s.Cause) {
				report.Suspects = append(report.Suspects, dispatch.Suspect{Cause: decodeCause(s.Cause), Begun: s.Begun, Ran: decodeAge(s.RanMs)})
			}
		}
		r.Crashes = append(r.Crashes, report)
	}
	for _, a := range e.GetAnswered() {
		if validCause(a.Cause) {
			r.Answered = append(r.Answered, dispatch.AnsweredReport{Cause: decodeCause(a.Cause), Age: decodeAge(a.AgeMs)})
		}
	}
	for _, q := range e.GetQuarantined() {
		if validCause(q.Cause) {
			r.Quarantined = append(r.Quarantined, dispatch.QuarantineReport{Cause: decodeCause(q.Cause), Round: int(q.Round), Lifted: q.Lifted, Age: decodeAge(q.AgeMs), Remaining: decodeRemaining(q.RemainingMs)})
		}
	}
	return r
}

// maxEncodedSuspects bounds the suspects in one message, which takes about 40 bytes for each.
const maxEncodedSuspects = 4096

// EncodeCrashEvidence is the inverse of DecodeCrashEvidence; it returns nil for an empty
// report. Beyond maxEncodedSuspects the oldest crashes are left out.
func EncodeCrashEvidence(r dispatch.EvidenceReport) *fleetv1.CrashEvidence {
	if r.Empty() {
		return nil
	}
	e := &fleetv1.CrashEvidence{}
	suspects := 0
	for _, c := range slices.SortedStableFunc(slices.Values(r.Crashes), func(a, b dispatch.CrashReport) int { return cmp.Compare(a.Age, b.Age) }) {
		if suspects += len(c.Suspects); suspects > maxEncodedSuspects {
			break
		}
		run := &fleetv1.CrashedRun{Server: &fleetv1.ServerLife{Server: c.Run.Server, BornUnixMs: c.Run.StartedMs}, Ended: c.Ended, AgeMs: encodeAge(c.Age)}
		if c.AliveAge > 0 {
			run.AliveAgeMs = max(1, encodeAge(c.AliveAge))
		}
		for _, s := range c.Suspects {
			run.Suspects = append(run.Suspects, &fleetv1.CrashSuspect{Cause: encodeCause(s.Cause), Begun: s.Begun, RanMs: encodeRan(s.Ran)})
		}
		e.Crashes = append(e.Crashes, run)
	}
	for _, a := range r.Answered {
		e.Answered = append(e.Answered, &fleetv1.AnsweredCause{Cause: encodeCause(a.Cause), AgeMs: encodeAge(a.Age)})
	}
	for _, q := range r.Quarantined {
		e.Quarantined = append(e.Quarantined, &fleetv1.QuarantinedCause{Cause: encodeCause(q.Cause), Round: uint32(max(0, q.Round)), Lifted: q.Lifted, AgeMs: encodeAge(q.Age), RemainingMs: q.Remaining.Milliseconds()})
	}
	return e
}

// validCause reports whether a cause is either a part or a request.
func validCause(c *fleetv1.CrashCause) bool {
	if len(c.GetRequest()) == 0 {
		return c.GetPart() != ""
	}
	return len(c.Request) == len(dispatch.RequestDigest{}) && c.Part == "" && c.Service == "" && dispatch.RequestDigest(c.Request) != dispatch.RequestDigest{}
}

func decodeCause(c *fleetv1.CrashCause) dispatch.CrashCause {
	cause := dispatch.CrashCause{Service: c.Service, Part: c.Part}
	copy(cause.Request[:], c.Request)
	return cause
}

func encodeCause(c dispatch.CrashCause) *fleetv1.CrashCause {
	encoded := &fleetv1.CrashCause{Service: c.Service, Part: c.Part}
	if c.IsRequest() {
		encoded.Request = c.Request[:]
	}
	return encoded
}

// maxAge bounds decoded ages and remaining times, so that they cannot overflow.
const maxAge = 24 * time.Hour

func decodeAge(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(maxAge.Milliseconds()))) * time.Millisecond
}

func decodeRemaining(ms int64) time.Duration {
	return time.Duration(max(-maxAge.Milliseconds(), min(ms, maxAge.Milliseconds()))) * time.Millisecond
}

// encodeRan encodes a known time as at least 1 ms; 0 stands for an unknown one.
func encodeRan(ran time.Duration) uint64 {
	if ran <= 0 {
		return 0
	}
	return max(1, encodeAge(ran))
}

func encodeAge(age time.Duration) uint64 { return uint64(max(0, age.Milliseconds())) }

// evidenceCacheTime is how long an encoded report is reused, and so the largest error of
// the ages in it.
const evidenceCacheTime = 20 * time.Millisecond

// evidenceStore is the crash evidence that entry instances have reported to a hub. It is
// guarded by the hub's lock.
type evidenceStore struct {
	evidence dispatch.CrashEvidence
	// log holds the changes; the number of the last one is the revision of the evidence.
	log dispatch.EvidenceLog
	// encoded is the response to those that know encodedSince, of a revision at a time.
	encoded                       *fleetv1.CrashEvidence
	encodedSince, encodedRevision uint64
	encodedAt                     time.Time
}

// merge adds a report and tells whether it is news.
func (s *evidenceStore) merge(r dispatch.EvidenceReport, now time.Time) bool {
	s.evidence.Merge(r, now)
	news := s.evidence.TakeNews(now)
	s.log.Append(news, now)
	return !news.Empty()
}

// since returns the changes after a revision, or all evidence if they are no longer held; nil
// for none.
func (s *evidenceStore) since(revision uint64, now time.Time) *fleetv1.CrashEvidence {
	if s.encodedSince == revision && s.encodedRevision == s.log.Last() && now.Sub(s.encodedAt) < evidenceCacheTime {
		return s.encoded
	}
	changes, complete := s.log.Since(revision, now)
	if !complete || revision == 0 {
		changes = s.evidence.Report(now)
	}
	s.encoded, s.encodedSince, s.encodedRevision, s.encodedAt = EncodeCrashEvidence(changes), revision, s.log.Last(), now
	return s.encoded
}

// MergeCrashEvidence adds the crash evidence that an entry instance reports.
func (h *Hub) MergeCrashEvidence(r dispatch.EvidenceReport, from string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if !h.evidence.merge(r, now) {
		return
	}
	h.logger.Info("crash evidence changed", slog.Int("crashes", len(r.Crashes)), slog.Int("quarantined", len(r.Quarantined)), slog.Uint64("revision", h.evidence.log.Last()), slog.String("reported_by", from))
	h.notifyChanged()
}

// addEvidence adds the crash evidence to the response to an entry instance that does not
// know its revision. mu must be held.
func (h *Hub) addEvidence(req *fleetv1.SyncRequest, response *fleetv1.SyncResponse) {
	if req.Self == nil {
		return
	}
	known := req.EvidenceRevision
	if req.Feed != h.feedID {
		known = 0
	}
	response.EvidenceRevision = known
	if known < h.shownEvidence {
		response.EvidenceRevision, response.Evidence = h.evidence.log.Last(), h.evidence.since(known, time.Now())
	}
}
