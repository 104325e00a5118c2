package dispatch

import (
	"time"

	"github.com/galenaarch/galenaarch/placement"
)

// RateLimit is what a server states about the rate of its requests. The zero value
// means that it states no limit.
type RateLimit struct {
	Limited bool
	// PerSecond is the number of requests per second that the server takes from all
	// instances together.
	PerSecond float64
}

// permitRate returns the number of permits to issue per second.
func (l RateLimit) permitRate() float64 { return min(max(l.PerSecond, minPermitRate), maxPermitRate) }

// stricterThan reports whether l allows fewer requests than other.
func (l RateLimit) stricterThan(other RateLimit) bool {
	if l.Limited != other.Limited {
		return l.Limited
	}
	return l.PerSecond < other.PerSecond
}

// StatedLimit is the newest known statement of one incarnation of a server. The revision
// orders the statements without a clock: whoever receives another statement from the
// server than it knows of gives it the next revision.
type StatedLimit struct {
	RateLimit
	Brittleness
	Revision uint64
}

// Observe records what a response of the server states about its rate, and reports whether
// that is new.
func (s *StatedLimit) Observe(l RateLimit) bool {
	return s.observe(l, s.Brittleness)
}

// ObserveBrittleness is Observe for the rejections that the server survives.
func (s *StatedLimit) ObserveBrittleness(b Brittleness) bool {
	return s.observe(s.RateLimit, b)
}

func (s *StatedLimit) observe(l RateLimit, b Brittleness) bool {
	if s.RateLimit == l && s.Brittleness == b {
		return false
	}
	s.RateLimit, s.Brittleness, s.Revision = l, b, s.Revision+1
	return true
}

// Merge adopts a statement that another process knows if it is newer, and reports whether
// it did. Of two statements with the same revision, which two processes received at about
// the same time, the stricter parts count.
func (s *StatedLimit) Merge(other StatedLimit) bool {
	if other.Revision < s.Revision {
		return false
	}
	if other.Revision == s.Revision {
		if !other.RateLimit.stricterThan(s.RateLimit) {
			other.RateLimit = s.RateLimit
		}
		other.Brittleness = other.Brittleness.strictest(s.Brittleness)
	}
	if other == *s {
		return false
	}
	*s = other
	return true
}

// Shares of a rate limit. The users' bound for any 4 s is one and a half times the limit
// and 5 requests. Permits take up to 1.075 times the limit and 3; the rest
// instances that reach no issuer and polls, which need no permits.
const (
	// minPermitRate is the least number of permits issued per second: with none, no
	// response would report that the limit has risen.
	minPermitRate = 0.25
	// maxPermitRate is the highest rate that is told apart from no limit. Times and counts
	// derived from it stay within the range of their types.
	maxPermitRate = 1e6
	// permitTTL is how long a permit may be used, counted from the request for it.
	permitTTL = 250 * time.Millisecond
	// Unused permits accumulate at the issuer: one, those of smallBurstTime up to
	// maxSmallBurst, and those of issueBurstTime.
	smallBurstTime = 250 * time.Millisecond
	maxSmallBurst  = 2
	issueBurstTime = 50 * time.Millisecond
	// fallbackShare is the part of the limit that all instances without an issuer use
	// together.
	fallbackShare = 0.3
	// fallbackValidity is how long an instance may use one of its fallback turns; an
	// unused turn is lost, since turns saved up by many instances could be used at the
	// same moment.
	fallbackValidity = 250 * time.Millisecond
	// pollShare is the part of the limit that all pollers of the server use together.
	pollShare = 0.1
	// minPollInterval is the shortest interval between two polls of a rate-limited
	// server by one poller.
	minPollInterval = 2 * time.Second
)

// PollInterval returns the least interval between two polls of a server by one of the
// given number of pollers; 0 if the server states no limit.
func PollInterval(l RateLimit, pollers int) time.Duration {
	if !l.Limited {
		return 0
	}
	return max(minPollInterval, time.Duration(float64(max(1, pollers))/(pollShare*l.permitRate())*float64(time.Second)))
}

// PermitIssuer issues the permits for one server to all instances, no faster than the
// server's rate limit. The zero value is ready for use: a new issuer begins without
// permits, since another one may just have issued some.
type PermitIssuer struct {
	available  float64
	refilledAt time.Time
	// askers holds when each instance last asked in vain.
	askers map[string]time.Time
}

// Limits on how soon a refused instance asks again.
const (
	minAskInterval = 20 * time.Millisecond
	maxAskInterval = time.Second
	// askerTTL is how long an instance that was refused counts as one that asks.
	askerTTL = 100 * time.Millisecond
	// maxAskers bounds the number of instances that are counted.
	maxAskers = 4096
)

// Issue returns how many of the wanted permits the instance gets, and when it may ask
// again. Refused instances ask in turns, so that the load of the issuer does not grow
// with their number.
func (p *PermitIssuer) Issue(l RateLimit, asker string, wanted int, now time.Time) (granted int, retryAfter time.Duration) {
	rate := l.permitRate()
	if p.refilledAt.IsZero() || now.Before(p.refilledAt) {
		p.refilledAt = now
	}
	burst := 1 + min(maxSmallBurst, rate*smallBurstTime.Seconds()) + rate*issueBurstTime.Seconds()
	p.available = min(burst, p.available+rate*now.Sub(p.refilledAt).Seconds())
	p.refilledAt = now
	granted = min(wanted, int(p.available))
	p.available -= float64(granted)
	if granted > 0 || wanted <= 0 {
		delete(p.askers, asker)
		return granted, minAskInterval
	}
	if p.askers == nil {
		p.askers = make(map[string]time.Time)
	}
	for name, at := range p.askers {
		if now.Sub(at) > askerTTL {
			delete(p.askers, name)
		}
	}
	if len(p.askers) < maxAskers {
		p.askers[asker] = now
	}
	toNext := (1 - p.available) / rate
	turn := float64(len(p.askers)) / rate / 2
	return 0, min(maxAskInterval, max(minAskInterval, time.Duration(max(toNext, turn)*float64(time.Second))))
}

// IssuerRole is whether an instance issues the permits for one server.
//
// Invariant: at most one instance issues. An instance leads while it ranks first among
// those that the control instances list as accepting clients, and a majority of these
// lists it so in response to a poll that began at most LeadTTL ago. An instance that no
// longer leads may not know for LeadTTL, and a new one waits longer than that before it
// issues.
type IssuerRole struct{ leadsSince, updatedAt time.Time }

// Times of a role.
const (
	// LeadTTL is the age up to which a registered poll counts. It covers two polls
	// without changes, of which the second is still open.
	LeadTTL = 1700 * time.Millisecond
	// leadDelay is how long an instance leads before it issues.
	leadDelay = 2000 * time.Millisecond
	// ResignTime is how long an instance that is stopping goes on issuing: no other one
	// can have led for leadDelay before.
	ResignTime = 1900 * time.Millisecond
	// maxRoleGap is the longest time between two updates of a role that counts as
	// continuous; it is below leadDelay.
	maxRoleGap = 500 * time.Millisecond
)

// FirstIssuer returns the instance that ranks first for a server; empty if there is none.
// The servers are spread over the instances.
func FirstIssuer(server string, instances []string) string {
	first, best := "", uint64(0)
	for _, name := range instances {
		if rank := placement.Rank(server, name); first == "" || rank > best || (rank == best && name < first) {
			first, best = name, rank
		}
	}
	return first
}

// Update records whether the instance leads, and reports whether it issues permits. It is
// called at least once within maxRoleGap: another instance may lead in a longer gap.
func (r *IssuerRole) Update(leads bool, now time.Time) bool {
	gap := now.Sub(r.updatedAt)
	r.updatedAt = now
	if !leads {
		r.leadsSince = time.Time{}
		return false
	}
	if r.leadsSince.IsZero() || gap > maxRoleGap {
		r.leadsSince = now
	}
	return now.Sub(r.leadsSince) >= leadDelay
}
