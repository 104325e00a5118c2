package emulator

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/placement"
)

// server models one backend server.
type server struct {
	id    string
	slots int
	// index is the place among the engines, homeHash that of placement.HomeHash.
	index    int
	domain   string
	homeHash uint64
	// slotFreeAt holds the virtual times when the slots of a plain server are free
	// again, endTimes those when its accepted requests end.
	slotFreeAt []time.Duration
	// queueLimit is the number of requests that may wait at a plain server.
	queueLimit   int
	endTimes     []time.Duration
	engineConfig *Engines
	engine       engine
	// cachedPrefixes is ordered by last use, the least recently used first.
	cachedPrefixes []cachedPrefix
	faults         []Fault
	// An engine that has crashed is down until downUntil; restarts counts its crashes.
	downUntil time.Duration
	restarts  int
	// permitIssuer issues the permits of the server while it states a rate limit;
	// limitedArrivals are the requests that reach it meanwhile.
	permitIssuer    dispatch.PermitIssuer
	limitedArrivals []time.Duration
}

type cachedPrefix struct{ prefix, tokens int }

// plainOutcome is the outcome of a request at a plain server.
type plainOutcome struct {
	rejected, failed bool
	// responseAt is the virtual time when the response arrives.
	responseAt time.Duration
}

// rateLimit returns the rate limit that the server states with its responses.
func (s *server) rateLimit(at time.Duration) dispatch.RateLimit {
	for i := range s.faults {
		if f := &s.faults[i]; f.Kind == "limited" && f.active(at) {
			return dispatch.RateLimit{Limited: true, PerSecond: f.Magnitude}
		}
	}
	return dispatch.RateLimit{}
}

// The users' bound on the requests to a rate-limited server.
const (
	limitGrace  = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// mostAboveLimit returns the largest number of requests beyond the bound in any window.
func (s *server) mostAboveLimit() int {
	if len(s.limitedArrivals) == 0 {
		return 0
	}
	most, last := 0, 0
	for first, from := range s.limitedArrivals {
		for last < len(s.limitedArrivals) && s.limitedArrivals[last] <= from+limitWindow {
			last++
		}
		if from < s.limitedArrivals[0]+limitGrace {
			continue
		}
		allowed := limitFactor*s.rateLimit(from).PerSecond*limitWindow.Seconds() + limitSlack
		most = max(most, last-first-int(allowed))
	}
	return most
}

// signals returns what the server reports with its responses: whether it is leaving,
// and the pause that it asks for, or 0.
func (s *server) signals(at time.Duration) (leaving bool, pause time.Duration) {
	for i := range s.faults {
		f := &s.faults[i]
		switch {
		case f.Kind == "leaving" && at >= seconds(f.StartSeconds):
			leaving = true
		case f.Kind == "busy" && f.active(at):
			pause = seconds(f.StartSeconds+f.DurationSeconds) - at
		}
	}
	return leaving, pause
}

// conditions returns the effects of the faults active at the given time: when the
// server responds again, 0 if it responds now; the factor by which work takes longer;
// and the probability that a request fails.
func (s *server) conditions(at time.Duration) (respondsAt time.Duration, slowdown, failureRate float64) {
	slowdown = s.noise(at)
	for i := range s.faults {
		f := &s.faults[i]
		if !f.active(at) {
			continue
		}
		switch f.Kind {
		case "dark":
			respondsAt = max(respondsAt, seconds(f.StartSeconds+f.DurationSeconds))
		case "slow":
			slowdown *= f.Magnitude
		case "fail":
			failureRate = max(failureRate, f.Magnitude)
		}
	}
	return respondsAt, slowdown, failureRate
}

// noise returns the factor by which an engine's work takes longer by other work on its
// machine.
func (s *server) noise(at time.Duration) float64 {
	if s.engineConfig == nil || s.engineConfig.NoiseMS == 0 {
		return 1
	}
	span := uint64(at / milliseconds(s.engineConfig.NoiseMS))
	if float64(placement.HomeRank(span, s.homeHash)>>11)/(1<<53) < s.engineConfig.NoiseShare {
		return s.engineConfig.NoiseFactor
	}
	return 1
}

// load returns the number of running and waiting requests. At a plain server, it forgets
// the requests that have ended.
func (s *server) load(at time.Duration) (running, waiting int) {
	if s.engineConfig != nil {
		return len(s.engine.running), s.engine.waiting.Len()
	}
	kept := s.endTimes[:0]
	for _, end := range s.endTimes {
		if end > at {
			kept = append(kept, end)
		}
	}
	s.endTimes = kept
	return min(len(kept), s.slots), max(0, len(kept)-s.slots)
}

// cachedTokens returns the number of tokens of a prefix that an engine has cached.
func (s *server) cachedTokens(prefix int) int {
	for _, c := range s.cachedPrefixes {
		if c.prefix == prefix {
			return c.tokens
		}
	}
	return 0
}

// serve queues a plain request that arrives at the given time and returns its
// outcome. An unresponsive server takes the request when its fault ends.
func (s *server) serve(k *RequestKind, at time.Duration, random *rand.Rand) plainOutcome {
	respondsAt, slowdown, failureRate := s.conditions(at)
	at = max(at, respondsAt)
	outcome := plainOutcome{failed: random.Float64() < failureRate}
	occupied := 0
	for _, freeAt := range s.slotFreeAt {
		if freeAt > at {
			occupied++
		}
	}
	if running, queued := s.load(at); occupied == s.slots && running+queued >= s.slots+s.queueLimit {
		outcome.rejected, outcome.responseAt = true, at
		return outcome
	}
	slices.Sort(s.slotFreeAt)
	s.slotFreeAt[0] = max(s.slotFreeAt[0], at) + time.Duration(slowdown*float64(milliseconds(k.ServiceTimeMS)))
	outcome.responseAt = s.slotFreeAt[0]
	s.endTimes = append(s.endTimes, outcome.responseAt)
	return outcome
}

// cachePrefix caches a prefix as the most recently used one. The least recently used
// prefixes are evicted if the cache exceeds the memory that the running requests, which
// take the given number of tokens, leave free.
func (s *server) cachePrefix(c cachedPrefix, running int) {
	s.cachedPrefixes = slices.DeleteFunc(s.cachedPrefixes, func(x cachedPrefix) bool { return x.prefix == c.prefix })
	s.cachedPrefixes = append(s.cachedPrefixes, c)
	free := s.engineConfig.MemoryTokens - running
	for i := len(s.cachedPrefixes) - 1; i >= 0; i-- {
		free -= s.cachedPrefixes[i].tokens
		if free < 0 {
			s.cachedPrefixes = slices.Delete(s.cachedPrefixes, 0, i+1)
			return
		}
	}
}
