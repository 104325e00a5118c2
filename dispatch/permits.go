package dispatch

import "time"

// Permits are the permits of one instance for one rate-limited server. Each allows one
// request. An instance asks for permits as decisions lack them; without a response from
// an issuer it uses its share of the fallback instead.
type Permits struct {
	grants []permitGrant
	// lacking counts the decisions since the last request for permits that could have
	// used one, lackedAt is when the last of them was made.
	lacking  int
	lackedAt time.Time
	// askAfter is when the instance may ask again; asking is set while a request is in
	// flight.
	askAfter time.Time
	asking   bool
	// unansweredSince is when the instance could first have asked for the permits that it
	// lacks, without a response from an issuer since; zero if none is missing.
	unansweredSince time.Time
	fallback        fallbackTurns
	// expired counts the permits that were not used in time.
	expired int
}

type permitGrant struct {
	count     int
	expiresAt time.Time
}

// MaxPermitWait is how long a request that no other server can take waits for a permit.
// For later requests none are asked for in advance: with little load at each of many
// instances, most would expire unused.
const MaxPermitWait = 50 * time.Millisecond

// permitRoundTrip is the time allowed for a request for permits: one that is made later
// comes too late for the request that waits for it.
const permitRoundTrip = 10 * time.Millisecond

// issuerTimeout is how long an instance without a response from an issuer waits before it
// uses the fallback.
const issuerTimeout = 300 * time.Millisecond

// Fallback is the part of a rate limit that this instance may use without permits.
type Fallback struct {
	// Limit is that of all instances together.
	Limit RateLimit
	// Instances is the number of instances among which the share is divided; 0 if it is
	// not known, and the instance then has no share.
	Instances int
	// Jitter in [0, 1) spreads the turns of instances that begin at the same time.
	Jitter float64
}

func (f Fallback) rate() float64 {
	if f.Instances == 0 {
		return 0
	}
	return fallbackShare * f.Limit.permitRate() / float64(f.Instances)
}

// Available reports whether a request may be sent now. If not, the instance lacks a
// permit, which Wanted reports.
func (p *Permits) Available(f Fallback, now time.Time) bool {
	if p.Usable(f, now) {
		return true
	}
	p.Lack(now)
	return false
}

// Usable reports whether a request may be sent now; if not, none is asked for.
func (p *Permits) Usable(f Fallback, now time.Time) bool {
	p.dropExpired(now)
	return len(p.grants) > 0 || p.useFallback(f, now)
}

// Lack records that a decision would have used a permit.
func (p *Permits) Lack(now time.Time) {
	p.lacking, p.lackedAt = p.lacking+1, now
	if p.unansweredSince.IsZero() {
		p.unansweredSince = now
		if p.askAfter.After(now) {
			p.unansweredSince = p.askAfter
		}
	}
}

// TakeExpired returns how many permits have expired unused since the last call.
func (p *Permits) TakeExpired(now time.Time) int {
	p.dropExpired(now)
	n := p.expired
	p.expired = 0
	return n
}

// Take uses up the permit for one request, the one that expires first. It returns false if
// there is none.
func (p *Permits) Take(f Fallback, now time.Time) bool {
	p.dropExpired(now)
	if len(p.grants) == 0 {
		if !p.useFallback(f, now) {
			return false
		}
		p.fallback.take(f.rate(), now)
		return true
	}
	if p.grants[0].count--; p.grants[0].count == 0 {
		p.grants = p.grants[1:]
	}
	return true
}

// useFallback reports whether the instance reaches no issuer and has a turn.
func (p *Permits) useFallback(f Fallback, now time.Time) bool {
	if p.unansweredSince.IsZero() || now.Sub(p.unansweredSince) < issuerTimeout {
		return false
	}
	return p.fallback.available(f.rate(), f.Jitter, now)
}

func (p *Permits) dropExpired(now time.Time) {
	for len(p.grants) > 0 && !now.Before(p.grants[0].expiresAt) {
		p.expired += p.grants[0].count
		p.grants = p.grants[1:]
	}
}

// Wanted returns the number of permits to ask for now, 0 if no request is due. After a
// result above 0, the caller asks and reports the outcome with Granted or Unanswered.
func (p *Permits) Wanted(l RateLimit, now time.Time) int {
	if p.asking || p.lacking == 0 || now.Before(p.askAfter) {
		return 0
	}
	if now.Sub(p.lackedAt) > MaxPermitWait-permitRoundTrip {
		p.lacking, p.unansweredSince = 0, time.Time{}
		return 0
	}
	atMost := 1 + int(l.permitRate()*permitTTL.Seconds())
	wanted := min(p.lacking, atMost)
	p.lacking, p.asking = 0, true
	return wanted
}

// NextAsk returns when the instance may next ask for permits, and whether it lacks some.
func (p *Permits) NextAsk() (at time.Time, lacking bool) {
	return p.askAfter, p.lacking > 0 && !p.asking
}

// Expected reports whether a permit may arrive until the deadline of a request.
func (p *Permits) Expected(deadline time.Time) bool {
	return !p.askAfter.After(deadline.Add(-permitRoundTrip))
}

// Granted records an issuer's response to a request that was sent at sentAt.
func (p *Permits) Granted(count int, retryAfter time.Duration, sentAt, now time.Time) {
	p.asking, p.unansweredSince, p.fallback = false, time.Time{}, fallbackTurns{}
	p.askAfter = now.Add(retryAfter)
	if expiresAt := sentAt.Add(permitTTL); count > 0 && now.Before(expiresAt) {
		p.grants = append(p.grants, permitGrant{count, expiresAt})
	}
}

// unansweredRetry is the pause after a request for permits without an answer.
const unansweredRetry = 100 * time.Millisecond

// Unanswered records that no issuer responded to a request.
func (p *Permits) Unanswered(now time.Time) {
	p.asking, p.askAfter = false, now.Add(unansweredRetry)
}

// keepPermitsShare is the part of a former limit from which on permits stay valid: a server
// may state a slightly different limit in each response.
const keepPermitsShare = 0.9

// LimitChanged adjusts the permits to a new limit. Permits that were issued under a much
// higher limit are dropped.
func (p *Permits) LimitChanged(from, to RateLimit) {
	if to.stricterThan(from) && to.PerSecond < keepPermitsShare*from.PerSecond {
		p.grants = nil
	}
	p.fallback = fallbackTurns{}
}

// fallbackTurns are the moments at which one of many instances may send without a permit.
// Turns come at a fixed interval, at a phase that differs between the instances.
type fallbackTurns struct{ nextAt time.Time }

// available reports whether it is the instance's turn.
func (t *fallbackTurns) available(rate, jitter float64, now time.Time) bool {
	if rate <= 0 {
		return false
	}
	interval := time.Duration(float64(time.Second) / rate)
	if t.nextAt.IsZero() {
		t.nextAt = now.Add(time.Duration(jitter * float64(interval)))
	}
	if late := now.Sub(t.nextAt); late > fallbackValidity {
		missed := (late - fallbackValidity + interval - 1) / interval
		t.nextAt = t.nextAt.Add(missed * interval)
	}
	return !now.Before(t.nextAt)
}

func (t *fallbackTurns) take(rate float64, now time.Time) {
	t.nextAt = t.nextAt.Add(time.Duration(float64(time.Second) / rate))
}

// ReturnSchedule spreads the return of clients that were rejected because of rate limits:
// each is given the next turn at the rate at which the servers take requests.
type ReturnSchedule struct{ nextAt time.Time }

// Limits on the return of a rejected client.
const (
	minReturnDelay = 100 * time.Millisecond
	// maxReturnDelay is the longest delay: how many of the clients return is not
	// predictable further ahead.
	maxReturnDelay = 5 * time.Second
)

// Next returns the delay for the next client, at a rate of returns per second. Clients
// beyond maxReturnDelay return spread over its second half by jitter in [0, 1).
func (s *ReturnSchedule) Next(rate, jitter float64, now time.Time) time.Duration {
	if s.nextAt.Before(now) {
		s.nextAt = now
	}
	s.nextAt = s.nextAt.Add(time.Duration(float64(time.Second) / max(rate, minPermitRate)))
	delay := s.nextAt.Sub(now)
	if delay > maxReturnDelay {
		s.nextAt = now.Add(maxReturnDelay)
		return maxReturnDelay/2 + time.Duration(jitter*float64(maxReturnDelay/2))
	}
	return max(minReturnDelay, delay)
}
