package replog

import (
	"time"

	"github.com/galenaarch/galenaarch/api/consensusv1"
)

// dataDirCheck collects the other voters' responses about the data directory of
// a starting replica.
type dataDirCheck struct {
	peers  []Peer
	voters int
	// selfVotes is 1 if the starting replica is a voter.
	selfVotes int
	responded map[string]bool
	// leaderWait is how long to wait for a response from the leader.
	leaderWait time.Duration
	// leaderResponded is true once a leader has responded.
	leaderResponded bool
}

func newDataDirCheck(id string, membership *consensusv1.Membership, leaderWait time.Duration) *dataDirCheck {
	c := &dataDirCheck{responded: make(map[string]bool), leaderWait: leaderWait}
	for _, m := range membership.GetMembers() {
		switch {
		case m.Learner:
			continue
		case m.Id == id:
			c.selfVotes = 1
		default:
			c.peers = append(c.peers, Peer{Name: m.Id, URL: m.Url})
		}
		c.voters++
	}
	return c
}

// addResponse counts the response of a voter, unless a replica with another ID
// responded at its address.
func (c *dataDirCheck) addResponse(id string, r *consensusv1.IdentifyResponse) {
	if r.Id != id {
		return
	}
	c.responded[id] = true
	c.leaderResponded = c.leaderResponded || r.Leader
}

// sufficient reports whether the replica may take part. An entry stored
// only on the leader and this replica is known to the leader alone, so a
// majority without the leader suffices only after leaderWait. Without that
// exception a group that lost its leader could not start again.
func (c *dataDirCheck) sufficient(elapsed time.Duration) bool {
	if c.selfVotes+len(c.responded) <= c.voters/2 {
		return false
	}
	return c.leaderResponded || len(c.responded) == len(c.peers) || elapsed >= c.leaderWait
}
