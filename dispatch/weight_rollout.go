package dispatch

import "time"

// Parameters of a weight rollout.
const (
	// startMargin is by how much a prompt may wait longer for its first event than the longest of
	// the recent ones.
	startMargin = 2
	// OutdatedPenalty is the added cost of a server on older weights. Servers switch one after
	// another, and the first ones done must not get all prompts.
	OutdatedPenalty = 60 * time.Millisecond
)

// WeightRollout is the rollout of new weights to the servers of a service.
type WeightRollout struct {
	// Until is when no prompt may begin on older weights any more.
	Until time.Time
}

// MayBegin reports whether a prompt that is sent now to a server on older weights begins there in
// time. It waits at most until its client leaves, and is not expected to wait much longer than
// the prompts of the service did lately.
func (r WeightRollout) MayBegin(leavesAt time.Time, starts *RecentTimes, now time.Time) bool {
	latest := leavesAt
	if longest, known := starts.Longest(now); known {
		if expected := now.Add(startMargin * longest); expected.Before(latest) {
			latest = expected
		}
	}
	return now.Before(r.Until) && latest.Before(r.Until)
}
