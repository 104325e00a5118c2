package emulator

import (
	"math/rand/v2"
	"slices"
	"time"
)

// server is the model of one backend server.
type server struct {
	id    string
	slots int
	// free is when each place of a plain server is free again.
	free  []time.Duration
	queue int
	// read is when an engine has read all that it has.
	read    time.Duration
	engines *Engines
	// ends are when the runs under way end.
	ends []time.Duration
	// parts are the cached parts, the least recently used first.
	parts    []cached
	troubles []Trouble
}

type cached struct{ part, tokens int }

// run is what becomes of a request at a server.
type run struct {
	refused, failed bool
	// first is when its answer, or its first event, comes.
	first time.Duration
	// unread is the part of the prompt that had to be read.
	unread int
}

// trouble returns when darkness ends, how many times as long work takes, and
// the probability of a failure.
func (s *server) trouble(at time.Duration) (dark time.Duration, slow, fail float64) {
	slow = 1
	for i := range s.troubles {
		t := &s.troubles[i]
		if !t.active(at) {
			continue
		}
		switch t.Kind {
		case "dark":
			dark = max(dark, seconds(t.AtSeconds+t.ForSeconds))
		case "slow":
			slow *= t.X
		case "fail":
			fail = max(fail, t.X)
		}
	}
	return dark, slow, fail
}

// load counts runs under way at a time.
func (s *server) load(at time.Duration) int {
	s.ends = slices.DeleteFunc(s.ends, func(end time.Duration) bool { return end <= at })
	return len(s.ends)
}

// held is how much of a part an engine has.
func (s *server) held(part int) int {
	for _, c := range s.parts {
		if c.part == part {
			return c.tokens
		}
	}
	return 0
}

// serve takes a request that comes at a time and is worth nothing after its
// deadline.
func (s *server) serve(k *Kind, part int, at, deadline time.Duration, random *rand.Rand) run {
	dark, slow, fail := s.trouble(at)
	at = max(at, dark)
	r := run{failed: random.Float64() < fail}
	if s.engines != nil {
		s.prompt(&r, k, part, at, deadline, slow)
		return r
	}
	waiting := 0
	for _, f := range s.free {
		if f > at {
			waiting++
		}
	}
	if waiting == s.slots && s.load(at) >= s.slots+s.queue {
		r.refused, r.first = true, at
		return r
	}
	slices.Sort(s.free)
	s.free[0] = max(s.free[0], at) + time.Duration(slow*float64(milliseconds(k.WorkMS)))
	r.first = s.free[0]
	s.ends = append(s.ends, r.first)
	return r
}

func (s *server) prompt(r *run, k *Kind, part int, at, deadline time.Duration, slow float64) {
	begin := max(at, s.read)
	if begin >= deadline {
		r.first = deadline // given up before it was read
		return
	}
	r.unread = k.OwnTokens + k.SharedTokens - min(k.SharedTokens, s.held(part))
	reading := float64(r.unread) / s.engines.TokensPerMS
	if begin == at {
		// Prompts that wait are read in the steps of those before them.
		reading += s.engines.StepMS
	}
	r.first = begin + milliseconds(slow*reading)
	s.read = r.first
	steps := float64(k.OutTokens) * s.engines.StepMS
	s.ends = append(s.ends, r.first+milliseconds(slow*steps))
	s.keep(cached{part, k.SharedTokens}, s.load(at)*k.OwnTokens)
}

// keep caches a part, as recently used; others yield to it and to the runs.
func (s *server) keep(c cached, running int) {
	s.parts = slices.DeleteFunc(s.parts, func(x cached) bool { return x.part == c.part })
	s.parts = append(s.parts, c)
	room := s.engines.MemoryTokens - running
	for i := len(s.parts) - 1; i >= 0; i-- {
		room -= s.parts[i].tokens
		if room < 0 {
			s.parts = slices.Delete(s.parts, 0, i+1)
			return
		}
	}
}
