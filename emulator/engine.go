package emulator

import (
	"time"

	"github.com/galenaarch/galenaarch/internal/priority"
)

// engineRequest is a prompt that is queued or running at an engine.
type engineRequest struct {
	kind     *RequestKind
	prefix   int
	sequence int
	deadline time.Duration
	// rank is the priority, 0 first. Prompts of a lower rank are admitted first and
	// preempted last.
	rank int
	// importedAt is the virtual time when the import of the shared prefix from the
	// store ends; 0 if nothing is imported.
	importedAt time.Duration
	// abandoned is set if the client stopped waiting before the first token.
	abandoned bool
	// onFirstToken is called at the first token, onEnd when the request ends. An
	// abandoned prompt ends without a first token.
	onFirstToken func(failed bool)
	onEnd        func()
	// onLost is called instead of onEnd when the engine crashes before the first token.
	onLost  func()
	request *request

	// prefillLeft is the number of tokens still to be prefilled, generated the number
	// of output tokens so far. started is set at the first token.
	prefillLeft, generated int
	started, finished      bool
}

// higherPriority orders queued prompts by rank, then by arrival at the engine.
func higherPriority(a, b *engineRequest) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.sequence < b.sequence
}

// peakMemory returns the KV cache memory that a request of the kind needs after its
// last output token; tokens.
func (k *RequestKind) peakMemory() int { return k.PrefixTokens + k.SuffixTokens + k.OutputTokens }

// memory returns the KV cache memory that the request needs now; tokens.
func (q *engineRequest) memory() int { return q.kind.PrefixTokens + q.kind.SuffixTokens + q.generated }

// engine models an inference server with continuous batching and chunked prefill:
// each step prefills at most one chunk and generates one token for each running
// request. Running requests take memory first, and cached prefixes use the rest. If
// the running requests exceed the memory, the most recently admitted request of the
// lowest priority is preempted and prefilled again later.
type engine struct {
	waiting *priority.Queue[*engineRequest]
	running []*engineRequest
	// stepping is set while a step is in progress.
	stepping bool
	// linkFreeAt is the virtual time when the last queued import ends.
	linkFreeAt  time.Duration
	preemptions int
}

// enqueue adds a prompt to an engine's queue and schedules the client's timeout.
func (r *simulation) enqueue(s *server, q *engineRequest) {
	r.sequence++
	q.sequence = r.sequence
	s.engine.waiting.Push(q)
	r.schedule(min(q.deadline, r.now+milliseconds(q.kind.DeadlineMS)), func() { r.abandon(s, q) })
	r.startStep(s)
}

// abandon ends a prompt whose client stops waiting before the first token.
func (r *simulation) abandon(s *server, q *engineRequest) {
	if q.started || q.finished {
		return
	}
	q.abandoned, q.finished = true, true
	q.onEnd()
	r.startStep(s)
}

// startStep starts an engine's next step unless one is in progress or there is
// nothing to do. An unresponsive engine resumes when its fault ends.
func (r *simulation) startStep(s *server) {
	e := &s.engine
	if e.stepping {
		return
	}
	respondsAt, slowdown, failureRate := s.conditions(r.now)
	respondsAt = max(respondsAt, s.downUntil)
	if respondsAt > r.now {
		e.stepping = true
		r.schedule(respondsAt, func() {
			e.stepping = false
			r.startStep(s)
		})
		return
	}
	s.removeFinished()
	r.admit(s)
	if len(e.running) == 0 {
		return
	}
	stepMS, prefilled := s.nextStep()
	e.stepping = true
	r.schedule(r.now+milliseconds(slowdown*stepMS), func() {
		e.stepping = false
		r.finishStep(s, prefilled, failureRate)
		r.startStep(s)
	})
}

// removeFinished removes finished and abandoned requests from the running ones.
func (s *server) removeFinished() {
	kept := s.engine.running[:0]
	for _, q := range s.engine.running {
		if !q.abandoned && !q.finished {
			kept = append(kept, q)
		}
	}
	s.engine.running = kept
}

// memoryInUse returns the memory of the running requests; tokens.
func (s *server) memoryInUse() int {
	sum := 0
	for _, q := range s.engine.running {
		sum += q.memory()
	}
	return sum
}

// admit starts queued prompts as far as slots and memory allow. A prompt that does
// not fit into memory preempts requests of lower priority.
func (r *simulation) admit(s *server) {
	e, now := &s.engine, r.now
	for e.waiting.Len() > 0 {
		q := e.waiting.Peek()
		if q.abandoned || q.finished {
			e.waiting.Pop()
			continue
		}
		if q.importedAt > now {
			return
		}
		for len(e.running) > 0 && s.memoryInUse()+q.memory() > s.engineConfig.MemoryTokens {
			if !s.preemptBelow(q.rank) {
				return
			}
		}
		if len(e.running) >= s.slots {
			return
		}
		e.waiting.Pop()
		cachedTokens := s.cachedTokens(q.prefix)
		if q.importedAt > 0 && !q.started {
			cachedTokens = q.kind.PrefixTokens
		}
		q.prefillLeft = q.memory() - min(q.kind.PrefixTokens, cachedTokens)
		e.running = append(e.running, q)
		r.countReread(q, cachedTokens)
		s.cachePrefix(cachedPrefix{q.prefix, q.kind.PrefixTokens}, s.memoryInUse()-q.kind.PrefixTokens)
	}
}

// countReread counts the tokens of a shared prefix that are prefilled once more.
func (r *simulation) countReread(q *engineRequest, cachedTokens int) {
	if q.kind.PrefixCount == 0 {
		return
	}
	if r.readPrefixes[q.prefix] {
		r.result.RereadTokens += max(0, q.kind.PrefixTokens-cachedTokens)
	}
	r.readPrefixes[q.prefix] = true
}

// preemptBelow returns the most recently admitted request of the lowest priority to
// the queue, to be prefilled again. It reports false if no running request has a lower
// priority than the given rank.
func (s *server) preemptBelow(rank int) bool {
	e := &s.engine
	lowest := -1
	for i, q := range e.running {
		if q.rank > rank && (lowest < 0 || q.rank >= e.running[lowest].rank) {
			lowest = i
		}
	}
	if lowest < 0 {
		return false
	}
	q := e.running[lowest]
	e.running = append(e.running[:lowest:lowest], e.running[lowest+1:]...)
	e.preemptions++
	e.waiting.Push(q)
	return true
}

// nextStep returns the duration of the next step and the number of tokens that it
// prefills.
func (s *server) nextStep() (ms float64, prefilled int) {
	e := s.engineConfig
	chunk := e.ChunkTokens
	if chunk == 0 {
		chunk = defaultChunkTokens
	}
	for _, q := range s.engine.running {
		prefilled += q.prefillLeft
	}
	prefilled = min(prefilled, chunk)
	return e.StepMS + e.StepMSPerRequest*float64(len(s.engine.running)) + float64(prefilled)/e.TokensPerMS, prefilled
}

// defaultChunkTokens is the maximum number of tokens prefilled in a step if the
// pattern sets none.
const defaultChunkTokens = 2048

// finishStep applies the result of a step: it prefills in order of admission and
// generates a token for each request that was prefilled before.
func (r *simulation) finishStep(s *server, prefilled int, failureRate float64) {
	for _, q := range append([]*engineRequest(nil), s.engine.running...) {
		switch {
		case q.finished:
		case q.prefillLeft > 0:
			n := min(prefilled, q.prefillLeft)
			prefilled -= n
			if q.prefillLeft -= n; q.prefillLeft == 0 && !q.started {
				q.started = true
				if q.request.crashes {
					r.crash(s)
					return
				}
				q.onFirstToken(r.random.Float64() < failureRate)
				q.generated++
			}
		default:
			q.generated++
		}
		if q.generated >= max(1, q.kind.OutputTokens) && !q.finished {
			q.finished = true
			q.onEnd()
		}
	}
	s.removeFinished()
	for len(s.engine.running) > 1 && s.memoryInUse() > s.engineConfig.MemoryTokens {
		if !s.preemptBelow(-1) {
			return
		}
	}
}
