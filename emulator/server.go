package emulator

import (
	"math/rand/v2"
	"slices"
	"time"
)

// server models one backend server.
type server struct {
	id    string
	slots int
	// slotFreeAt holds when each slot of a plain server is free again, endTimes
	// when its accepted requests end.
	slotFreeAt   []time.Duration
	queueLimit   int
	endTimes     []time.Duration
	engineConfig *Engines
	engine       engine
	// cachedPrefixes is in order of use, the least recently used first.
	cachedPrefixes []cachedPrefix
	faults         []Fault
}

type cachedPrefix struct{ prefix, tokens int }

// plainOutcome is the outcome of a request at a plain server.
type plainOutcome struct {
	refused, failed bool
	// answeredAt is when the answer arrives.
	answeredAt time.Duration
}

// signals returns what the server reports with its answers: whether it is draining,
// and for how long it wants no requests.
func (s *server) signals(at time.Duration) (draining bool, pause time.Duration) {
	for i := range s.faults {
		t := &s.faults[i]
		switch {
		case t.Kind == "leaving" && at >= seconds(t.StartSeconds):
			draining = true
		case t.Kind == "busy" && t.active(at):
			pause = seconds(t.StartSeconds+t.DurationSeconds) - at
		}
	}
	return draining, pause
}

// conditions returns when the server responds again, the factor by which work takes
// longer, and the probability of a failure.
func (s *server) conditions(at time.Duration) (respondsAt time.Duration, slowdown, failureRate float64) {
	slowdown = 1
	for i := range s.faults {
		t := &s.faults[i]
		if !t.active(at) {
			continue
		}
		switch t.Kind {
		case "dark":
			respondsAt = max(respondsAt, seconds(t.StartSeconds+t.DurationSeconds))
		case "slow":
			slowdown *= t.Magnitude
		case "fail":
			failureRate = max(failureRate, t.Magnitude)
		}
	}
	return respondsAt, slowdown, failureRate
}

// load returns the number of running and waiting requests.
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

// cachedTokens returns how many tokens of a prefix an engine has cached.
func (s *server) cachedTokens(prefix int) int {
	for _, c := range s.cachedPrefixes {
		if c.prefix == prefix {
			return c.tokens
		}
	}
	return 0
}

// serve queues a plain request that arrives at the given time and returns its
// outcome.
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
		outcome.refused, outcome.answeredAt = true, at
		return outcome
	}
	slices.Sort(s.slotFreeAt)
	s.slotFreeAt[0] = max(s.slotFreeAt[0], at) + time.Duration(slowdown*float64(milliseconds(k.ServiceTimeMS)))
	outcome.answeredAt = s.slotFreeAt[0]
	s.endTimes = append(s.endTimes, outcome.answeredAt)
	return outcome
}

// cachePrefix caches a prefix as the most recently used one. The least recently
// used ones are evicted if the cache and the running requests exceed the memory.
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
