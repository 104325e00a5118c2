package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of a weight rollout.
const (
	// startMargin is by how much a prompt may wait longer for its first event than the longest of
	// the recent ones.
	startMargin = 2
	// OutdatedPenalty is the added cost of a server on older weights. Servers switch one after
	// another, and the first ones done must not get all prompts.
	OutdatedPenalty = 60 * time.Millisecond
)

// maxWeightTargets bounds the versions of a model that are remembered.
const maxWeightTargets = 32

// WeightTarget is a weight version that an operator has named, and when it was acknowledged or became known.
type WeightTarget struct {
	Version uint64
	Since   time.Time
}

// WeightTargets are the versions of a model that were named, in ascending order. Each has its own time limit; a newer
// one does not extend it. They are immutable.
type WeightTargets []WeightTarget

// With returns the targets with one more, if it is newer than all.
func (t WeightTargets) With(version uint64, since time.Time) WeightTargets {
	if version <= t.Newest() {
		return t
	}
	return append(slices.Clone(t[max(0, len(t)+1-maxWeightTargets):]), WeightTarget{version, since})
}

// Newest returns the newest version; 0 for none.
func (t WeightTargets) Newest() uint64 {
	if len(t) == 0 {
		return 0
	}
	return t[len(t)-1].Version
}

// After returns the first target above a version: the one whose limit ends first for a server that runs the
// version. ok is false if there is none.
func (t WeightTargets) After(version uint64) (target WeightTarget, ok bool) {
	i, _ := slices.BinarySearchFunc(t, version+1, func(a WeightTarget, v uint64) int { return cmp.Compare(a.Version, v) })
	if i == len(t) {
		return WeightTarget{}, false
	}
	return t[i], true
}

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
