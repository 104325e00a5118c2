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
	// free is when each place of a plain server is free again, ends when the runs
	// under way there end.
	free    []time.Duration
	queue   int
	ends    []time.Duration
	engines *Engines
	engine  engine
	// parts are the cached parts, the least recently used first.
	parts    []cachedPart
	troubles []Trouble
}

type cachedPart struct{ part, tokens int }

// run is what becomes of a request at a plain server.
type run struct {
	refused, failed bool
	// first is when its answer comes.
	first time.Duration
}

// says is what the server says with its answers: that it leaves, or that it wants
// nothing for a time.
func (s *server) says(at time.Duration) (leaves bool, pause time.Duration) {
	for i := range s.troubles {
		t := &s.troubles[i]
		switch {
		case t.Kind == "leaving" && at >= seconds(t.AtSeconds):
			leaves = true
		case t.Kind == "busy" && t.active(at):
			pause = seconds(t.AtSeconds+t.ForSeconds) - at
		}
	}
	return leaves, pause
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

// load counts what a server has to do at a time.
func (s *server) load(at time.Duration) (running, waiting int) {
	if s.engines != nil {
		return len(s.engine.runs), s.engine.waiting.Len()
	}
	kept := s.ends[:0]
	for _, end := range s.ends {
		if end > at {
			kept = append(kept, end)
		}
	}
	s.ends = kept
	return min(len(kept), s.slots), max(0, len(kept)-s.slots)
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

// serve takes a plain request that comes at a time.
func (s *server) serve(k *Kind, at time.Duration, random *rand.Rand) run {
	dark, slow, fail := s.trouble(at)
	at = max(at, dark)
	r := run{failed: random.Float64() < fail}
	waiting := 0
	for _, f := range s.free {
		if f > at {
			waiting++
		}
	}
	if running, queued := s.load(at); waiting == s.slots && running+queued >= s.slots+s.queue {
		r.refused, r.first = true, at
		return r
	}
	slices.Sort(s.free)
	s.free[0] = max(s.free[0], at) + time.Duration(slow*float64(milliseconds(k.WorkMS)))
	r.first = s.free[0]
	s.ends = append(s.ends, r.first)
	return r
}

// keep caches a part, as recently used; others yield to it and to the runs.
func (s *server) keep(c cachedPart, running int) {
	s.parts = slices.DeleteFunc(s.parts, func(x cachedPart) bool { return x.part == c.part })
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
