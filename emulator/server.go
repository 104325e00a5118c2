package emulator

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenaarch/galenaarch/internal/priority"
)

// server is the model of one backend server.
type server struct {
	id    string
	slots int
	// free is when each place of a plain server is free again.
	free    []time.Duration
	queue   int
	engines *Engines
	// waiting are the prompts that an engine has not begun to read; busy is set
	// while it reads, or waits for room.
	waiting *priority.Queue[*reading]
	busy    bool
	// ends are when the runs under way end, sizes the memory that each of them
	// takes at an engine; tokens.
	ends  []time.Duration
	sizes []int
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
	// end is when a prompt's run ends.
	end time.Duration
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
	running := 0
	for i, end := range s.ends {
		if end > at {
			s.ends[running], s.sizes[running] = end, s.sizes[i]
			running++
		}
	}
	s.ends, s.sizes = s.ends[:running], s.sizes[:running]
	return running
}

// roomAt is when, from a time on, an engine has memory for a request: engines
// admit in the order of coming, and wait until runs have ended.
func (s *server) roomAt(at time.Duration, tokens int) time.Duration {
	s.load(at)
	room := s.engines.MemoryTokens - tokens
	for _, size := range s.sizes {
		room -= size
	}
	if room >= 0 {
		return at
	}
	order := make([]int, len(s.ends))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(s.ends[a], s.ends[b]) })
	for _, i := range order {
		if room += s.sizes[i]; room >= 0 {
			return s.ends[i]
		}
	}
	return at // larger than the memory: it would be refused
}

// queued is how many prompts an engine has not begun to read.
func (s *server) queued() int {
	if s.waiting == nil {
		return 0
	}
	return s.waiting.Len()
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
	if waiting == s.slots && s.load(at) >= s.slots+s.queue {
		r.refused, r.first = true, at
		return r
	}
	slices.Sort(s.free)
	s.free[0] = max(s.free[0], at) + time.Duration(slow*float64(milliseconds(k.WorkMS)))
	r.first = s.free[0]
	s.ends, s.sizes = append(s.ends, r.first), append(s.sizes, 0)
	return r
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
