package replog

import (
	"time"

	"github.com/galenaarch/galenaarch/api/consensusv1"
)

// hearing gathers what the other voters say of a starting replica's disk.
type hearing struct {
	peers  []Peer
	voters int
	// own is 1 if the starting replica has a vote.
	own   int
	heard map[string]bool
	// patience is how long the leader is waited for.
	patience time.Duration
	// leader is true once a leader has answered.
	leader bool
}

func newHearing(id string, membership *consensusv1.Membership, patience time.Duration) *hearing {
	h := &hearing{heard: make(map[string]bool), patience: patience}
	for _, m := range membership.GetMembers() {
		switch {
		case m.Learner:
			continue
		case m.Id == id:
			h.own = 1
		default:
			h.peers = append(h.peers, Peer{Name: m.Id, URL: m.Url})
		}
		h.voters++
	}
	return h
}

// take counts the answer of a voter that still has its identity.
func (h *hearing) take(id string, a *consensusv1.IdentifyResponse) {
	if a.Id != id {
		return
	}
	h.heard[id] = true
	h.leader = h.leader || a.Leader
}

// enough reports whether the replica may take part. An entry that only the
// leader and this replica had is known to the leader alone, so a majority
// without it is enough only where it does not answer for long: else a group
// that lost its leader could not start again.
func (h *hearing) enough(waited time.Duration) bool {
	if h.own+len(h.heard) <= h.voters/2 {
		return false
	}
	return h.leader || len(h.heard) == len(h.peers) || waited >= h.patience
}
