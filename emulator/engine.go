package emulator

import (
	"time"
)

// reading is a prompt at an engine.
type reading struct {
	kind     *Kind
	part     int
	serial   int
	came     time.Duration
	deadline time.Duration
	// later ones are read where nothing else waits.
	later bool
	// left is set when its caller no longer waits.
	left bool
	// done is called when the first event comes, or the prompt is given up.
	done func(r run)
}

// urgent orders the prompts that wait: engines take the more urgent ones first,
// and else in the order of coming.
func urgent(a, b *reading) bool {
	if a.later != b.later {
		return b.later
	}
	return a.serial < b.serial
}

// prompt hands a prompt to an engine.
func (r *play) prompt(s *server, q *reading) {
	r.serial++
	q.serial, q.came = r.serial, r.now
	s.waiting.Push(q)
	r.next(s)
}

// next has an engine begin the next prompt: when it has read the one before, is
// not dark, and has memory for it.
func (r *play) next(s *server) {
	for !s.busy && s.waiting.Len() > 0 {
		q := s.waiting.First()
		if q.left || r.now >= q.deadline {
			s.waiting.Pop()
			if !q.left {
				q.done(run{first: q.deadline})
			}
			continue
		}
		dark, slow, fail := s.trouble(r.now)
		if begin := s.roomAt(max(r.now, dark), q.kind.size()); begin > r.now {
			s.busy = true
			r.at(begin, func() {
				s.busy = false
				r.next(s)
			})
			return
		}
		s.waiting.Pop()
		r.read(s, q, slow, fail)
	}
}

// read has an engine read a prompt. One that finds the engine idle begins a step;
// those that wait are read in the steps of those before them.
func (r *play) read(s *server, q *reading, slow, fail float64) {
	k := q.kind
	unread := k.OwnTokens + k.SharedTokens - min(k.SharedTokens, s.held(q.part))
	took := float64(unread) / s.engines.TokensPerMS
	if q.came == r.now {
		took += s.engines.StepMS
	}
	got := run{failed: r.random.Float64() < fail, first: r.now + milliseconds(slow*took)}
	got.end = got.first + milliseconds(slow*float64(k.OutTokens)*s.engines.StepMS)
	running := s.load(r.now)
	s.ends, s.sizes = append(s.ends, got.end), append(s.sizes, k.size())
	s.keep(cached{q.part, k.SharedTokens}, running*k.OwnTokens)
	s.busy = true
	r.at(got.first, func() {
		s.busy = false
		if !q.left {
			q.done(got)
		}
		r.next(s)
	})
}

// size is the memory that a run takes; tokens.
func (k *Kind) size() int { return k.SharedTokens + k.OwnTokens + k.OutTokens }
