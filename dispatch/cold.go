package dispatch

import "time"

// Parts of what a cold server bears. The users' bound for any second is one and a half times
// its rate and 5 requests. Permits that are valid in one second were issued in one second and
// permitTTL, at most 1.19 times the rate and a burst; instances without an issuer and polls use
// what is left.
const (
	// coldIssueShare is the part of the rate for which permits are issued.
	coldIssueShare = 0.95
	// coldFallbackShare is the part of that of which instances without an issuer use
	// fallbackShare.
	coldFallbackShare = 0.5
	// coldMargin is how much longer a server counts as cold than it states: clocks of
	// instances differ. A server bears more when it is warm.
	coldMargin = 500 * time.Millisecond
)

// ColdLimit limits the requests to one incarnation of a server while it is cold. It is derived
// from the server's announcement and the service's rate, by each instance alike. The zero value
// limits nothing.
type ColdLimit struct {
	perSecond float64
	until     time.Time
}

// NewColdLimit returns the limit of a server that bears perSecond requests a second until it
// states to be warm; 0 for a service without such a rate.
func NewColdLimit(perSecond float64, until time.Time) ColdLimit {
	if !(perSecond > 0) || until.UnixMilli() <= 0 {
		return ColdLimit{}
	}
	return ColdLimit{perSecond, until.Add(coldMargin)}
}

// Active reports whether the limit is in force.
func (c ColdLimit) Active(now time.Time) bool { return now.Before(c.until) }

// Until returns when the limit ends.
func (c ColdLimit) Until() time.Time { return c.until }

// Limit returns the limit in force for a server that states the given one: the stricter of both.
func (c ColdLimit) Limit(stated RateLimit, now time.Time) RateLimit {
	if !c.Active(now) {
		return stated
	}
	if cold := (RateLimit{Limited: true, PerSecond: coldIssueShare * c.perSecond}); cold.stricterThan(stated) {
		return cold
	}
	return stated
}

// FallbackLimit returns the limit of which instances without an issuer use their share.
func (c ColdLimit) FallbackLimit(stated RateLimit, now time.Time) RateLimit {
	limit := c.Limit(stated, now)
	if c.Active(now) && limit != stated {
		limit.PerSecond *= coldFallbackShare
	}
	return limit
}

// SteadyList is since when an instance has been a candidate in the same list of issuers.
//
// Invariant: an instance that leads for a server under the list has led since then, also if it
// did not know the server. So it need not wait again before it issues permits for a server that
// turns cold.
type SteadyList struct {
	version          uint64
	since, updatedAt time.Time
}

// Update records the version of the list and whether the instance is a candidate. It returns
// since when both have been so; zero if the instance is no candidate. It is called at least once
// within maxRoleGap.
func (s *SteadyList) Update(version uint64, candidate bool, now time.Time) time.Time {
	gap := now.Sub(s.updatedAt)
	s.updatedAt = now
	switch {
	case !candidate:
		s.since = time.Time{}
	case s.since.IsZero() || gap > maxRoleGap || version != s.version:
		s.since = now
	}
	s.version = version
	return s.since
}

// UpdateSteady is Update for a role that began while the list of issuers was the same.
func (r *IssuerRole) UpdateSteady(leads bool, since, now time.Time) bool {
	issues := r.Update(leads, now)
	if leads && !since.IsZero() && since.Before(r.leadsSince) {
		r.leadsSince = since
	}
	return issues || (leads && now.Sub(r.leadsSince) >= leadDelay)
}
