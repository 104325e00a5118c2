package dispatch

import (
	"time"

	"github.com/galenaarch/galenaarch/placement"
)

// Exclusion is why a request is not sent to a candidate now.
type Exclusion int

// Exclusions of candidates.
const (
	// MayBeSent: the candidate is left out for no reason but its cost.
	MayBeSent Exclusion = iota
	// Tried: the request was sent there before.
	Tried
	// NoRoom: a server of a brittle service would have to reject it.
	NoRoom
	// Claimed: requests ahead in the wait queue wait for the server.
	Claimed
	NoMemory
	Backlogged
	// Resting: the server is in a cooldown or on probation, and is used if no other one is left.
	Resting
)

// String implements fmt.Stringer.
func (e Exclusion) String() string {
	return [...]string{"", "sent there before", "no room", "requests ahead wait for it", "memory full", "backlog", "cooldown"}[e]
}

// Exclusion returns why a decision on a job does not send it to candidate i now.
func (p *Policy) Exclusion(c *Candidates, i int, j *placement.Job) Exclusion {
	switch {
	case c.Tried != nil && c.Tried(i):
		return Tried
	case c.Full != nil && c.Full(i):
		return NoRoom
	}
	if reason := p.waitReason(c, i, j); reason != MayBeSent {
		return reason
	}
	if placement.Rests(c.Servers, i, j) {
		return Resting
	}
	return MayBeSent
}

// BeliefAges returns how old what is known of the server is: the time since its last response, and
// since its last report of its load; negative if it has sent none.
func (b *BackendState) BeliefAges(now time.Time) (heard, reported time.Duration) {
	if b.reportedAt.IsZero() {
		return now.Sub(b.lastHeard), -1
	}
	return now.Sub(b.lastHeard), now.Sub(b.reportedAt)
}

// String implements fmt.Stringer.
func (a Action) String() string {
	return [...]string{"no server", "send", "wait", "reject", "pass on"}[a]
}
