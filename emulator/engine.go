package emulator

import (
	"time"

	"github.com/galenaarch/galenaarch/internal/priority"
)

// reading is a prompt at an engine.
type reading struct {
	kind     *Kind
	part     int
	serial   int
	deadline time.Duration
	// rank is how urgent it is, 0 first; others are read and kept before less
	// urgent ones.
	rank int
	// brought is when its shared part has come over the link; 0 if it is not
	// brought.
	brought time.Duration
	// left is set when its caller no longer waits.
	left bool
	// first is called at the first event, ended when the run is over. A prompt that
	// is given up ends without a first event.
	first func(failed bool)
	ended func()

	// unread are the tokens that it must still read, made those generated; begun is
	// set with the first event.
	unread, made int
	begun, over  bool
}

// urgent orders the prompts that wait: engines take the more urgent ones first,
// and else in the order of coming.
func urgent(a, b *reading) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.serial < b.serial
}

// size is the memory that a run takes at its end; tokens.
func (k *Kind) size() int { return k.SharedTokens + k.OwnTokens + k.OutTokens }

// held is the memory that a run takes now.
func (q *reading) held() int { return q.kind.SharedTokens + q.kind.OwnTokens + q.made }

// engine is the model of a server that reads prompts in pieces between the steps
// in which its runs each generate a token. Runs take its memory, and what is left
// caches parts; where it does not suffice, the newest of the least urgent runs is
// put out and read again.
type engine struct {
	waiting *priority.Queue[*reading]
	runs    []*reading
	// busy is set while a step is under way.
	busy bool
	// linkFree is when its transfers are over.
	linkFree time.Duration
	preempts int
}

// prompt hands a prompt to an engine.
func (r *play) prompt(s *server, q *reading) {
	r.serial++
	q.serial = r.serial
	s.engine.waiting.Push(q)
	r.at(min(q.deadline, r.now+milliseconds(q.kind.DeadlineMS)), func() { r.giveUp(s, q) })
	r.step(s)
}

// giveUp ends a prompt whose caller leaves before its first event.
func (r *play) giveUp(s *server, q *reading) {
	if q.begun || q.over {
		return
	}
	q.left, q.over = true, true
	q.ended()
	r.step(s)
}

// step has an engine do its next step, if it has anything to do.
func (r *play) step(s *server) {
	e := &s.engine
	if e.busy {
		return
	}
	dark, slow, fail := s.trouble(r.now)
	if dark > r.now {
		e.busy = true
		r.at(dark, func() {
			e.busy = false
			r.step(s)
		})
		return
	}
	s.drop()
	s.admit(r.now)
	if len(e.runs) == 0 {
		return
	}
	took, read := s.work()
	e.busy = true
	r.at(r.now+milliseconds(slow*took), func() {
		e.busy = false
		r.stepped(s, read, fail)
		r.step(s)
	})
}

// drop forgets runs whose callers have left.
func (s *server) drop() {
	kept := s.engine.runs[:0]
	for _, q := range s.engine.runs {
		if !q.left && !q.over {
			kept = append(kept, q)
		}
	}
	s.engine.runs = kept
}

// used is the memory that runs take.
func (s *server) used() int {
	sum := 0
	for _, q := range s.engine.runs {
		sum += q.held()
	}
	return sum
}

// admit takes prompts that wait, as far as places and memory go; a more urgent one
// puts less urgent runs out.
func (s *server) admit(now time.Duration) {
	e := &s.engine
	for e.waiting.Len() > 0 {
		q := e.waiting.First()
		if q.left || q.over {
			e.waiting.Pop()
			continue
		}
		if q.brought > now {
			return
		}
		for len(e.runs) > 0 && s.used()+q.held() > s.engines.MemoryTokens {
			if !s.preempt(q.rank) {
				return
			}
		}
		if len(e.runs) >= s.slots {
			return
		}
		e.waiting.Pop()
		cached := s.held(q.part)
		if q.brought > 0 && !q.begun {
			cached = q.kind.SharedTokens
		}
		q.unread = q.held() - min(q.kind.SharedTokens, cached)
		e.runs = append(e.runs, q)
		s.keep(cachedPart{q.part, q.kind.SharedTokens}, s.used()-q.kind.SharedTokens)
	}
}

// preempt puts the newest of the least urgent runs out, if it is less urgent than a
// rank; it is read again.
func (s *server) preempt(rank int) bool {
	e := &s.engine
	worst := -1
	for i, q := range e.runs {
		if q.rank > rank && (worst < 0 || q.rank >= e.runs[worst].rank) {
			worst = i
		}
	}
	if worst < 0 {
		return false
	}
	q := e.runs[worst]
	e.runs = append(e.runs[:worst:worst], e.runs[worst+1:]...)
	e.preempts++
	e.waiting.Push(q)
	return true
}

// work is the time of the next step, and the tokens that it reads.
func (s *server) work() (ms float64, read int) {
	e := s.engines
	chunk := e.Chunk
	if chunk == 0 {
		chunk = defaultChunk
	}
	for _, q := range s.engine.runs {
		read += q.unread
	}
	read = min(read, chunk)
	return e.StepMS + e.StepMSPerRun*float64(len(s.engine.runs)) + float64(read)/e.TokensPerMS, read
}

// defaultChunk is the most that an engine reads in a step where the pattern does
// not say; tokens.
const defaultChunk = 2048

// stepped carries a step out: reading in the order of coming, and a token for each
// run that was read before.
func (r *play) stepped(s *server, read int, fail float64) {
	for _, q := range append([]*reading(nil), s.engine.runs...) {
		switch {
		case q.over:
		case q.unread > 0:
			n := min(read, q.unread)
			read -= n
			if q.unread -= n; q.unread == 0 && !q.begun {
				q.begun = true
				q.first(r.random.Float64() < fail)
				q.made++
			}
		default:
			q.made++
		}
		if q.made >= max(1, q.kind.OutTokens) && !q.over {
			q.over = true
			q.ended()
		}
	}
	s.drop()
	for len(s.engine.runs) > 1 && s.used() > s.engines.MemoryTokens {
		if !s.preempt(-1) {
			return
		}
	}
}
