// Package placement decides which backend server a request goes to. It is pure: time,
// load and the assumed cache contents are arguments.
//
// Each rule is for a load pattern. Server.Waiting includes what this entry instance has
// sent since the server's last report, so that in a burst the instances do not all choose
// a server that looked idle. Silence diverts new work from a server before any
// request to it has failed, as when a quarter of the servers go down at once. The
// failure rate and cooldowns divert work from a server that fails some requests while
// its health checks pass; cooldowns are ignored when too many servers are in one,
// because a common cause would otherwise exclude them all.
package placement

import (
	"math"
	"time"
)

// Weights of the cost function.
const (
	// crossDomainPenalty is the cost of another failure domain. It only breaks ties:
	// traffic between domains is expensive, but its delay is under 1 ms.
	crossDomainPenalty = 2 * time.Millisecond
	// nonHomePenalty keeps a shared prefix from spreading over servers without need:
	// each copy takes memory from other prefixes.
	nonHomePenalty = 30 * time.Millisecond
	// silenceThreshold is how long a server with outstanding work may be silent,
	// beyond the prefill time of that work, before the silence adds to its cost.
	silenceThreshold = 450 * time.Millisecond
	// silenceFactor converts further silence into expected wait.
	silenceFactor = 4
	// maxCooldownShare is the largest share of servers whose cooldown is respected.
	// Above it the cause is probably common, and cooldowns would only reduce
	// capacity.
	maxCooldownShare = 0.5
	// requestOverhead is the time that a server spends on a request besides its work.
	requestOverhead = 4 * time.Millisecond
)

// Server is the state of a backend server at the time of a decision.
type Server struct {
	// SameDomain is set for servers in the instance's own failure domain.
	SameDomain bool
	// Slots is the number of requests the server runs concurrently.
	Slots int
	// Running and Waiting are the estimated numbers of requests from all entry
	// instances.
	Running, Waiting float64
	// MeanTime is the average time of a request at the server; 0 if unknown.
	MeanTime time.Duration
	// Slowdown is how much longer work takes at the server now than usual, as a share of the
	// usual time: 0 as usual, 1 twice as long, negative if it takes less.
	Slowdown float64
	// PrefillTokens are the prompt tokens sent to the server and not yet prefilled,
	// DeferredTokens further ones that it prefills only when nothing else is pending.
	PrefillTokens, DeferredTokens int
	// MemoryTokens is the capacity of the server's memory, 0 if unknown, and
	// UsedMemoryTokens the estimated part in use.
	MemoryTokens, UsedMemoryTokens int
	// RunTime is the average time that a request holds its part of the memory; 0 if
	// unknown.
	RunTime time.Duration
	// Silence is how long the server has not responded while this instance awaits a
	// response.
	Silence time.Duration
	// CoolingDown is set for servers in cooldown, Probing for servers that get a single
	// request at a time after it.
	CoolingDown, Probing bool
	// FailureRate is the recent failure rate, 0 to 1.
	FailureRate float64
	// Cold servers are still slow after their start.
	Cold bool
	// CachedTokens of this prompt are assumed to be in the server's cache;
	// FetchTokens more can be transferred from elsewhere in FetchTime.
	CachedTokens, FetchTokens int
	FetchTime                 time.Duration
	// Penalty is an additional cost for reasons outside this package, such as old model
	// weights.
	Penalty time.Duration
	// Group is the prompt length that the server is reserved for.
	Group LengthGroup
	// Home marks the server that this prompt's shared prefix is assigned to; a prefix
	// that is not cached yet is placed there first. Alternate is the place of another
	// server in the order of the prefix's homes, from 1; 0 if it is none of them.
	Home      bool
	Alternate int
}

// Job is the scorer's description of the request to be placed.
type Job struct {
	// PromptTokens is 0 for requests without a prompt.
	PromptTokens int
	// PrefillRate is the prefill rate in tokens per millisecond. Overhead is the part of
	// the time to the first event that is not prefill. StepTokens is added to each
	// prompt's prefill work: the tokens that could be prefilled in the engine step that
	// even the shortest prompt takes.
	PrefillRate float64
	Overhead    time.Duration
	StepTokens  int
	// MemoryTokens is the server memory that the request needs for its prompt and its
	// output.
	MemoryTokens int
	// Long is set for prompts of LongPromptTokens or more, which delay short ones.
	Long bool
	// Deferred jobs miss their objective anyway and yield to others.
	Deferred bool
	// Retryable jobs may probe a server after its cooldown.
	Retryable bool

	// timePerToken caches the prefill time of one token; 0 if not computed yet.
	timePerToken float64
}

// prefillDuration returns the time to prefill tokens.
func (j *Job) prefillDuration(tokens int) time.Duration {
	if j.timePerToken == 0 {
		j.timePerToken = float64(time.Millisecond) / j.PrefillRate
	}
	return time.Duration(float64(tokens) * j.timePerToken)
}

// Cost returns the expected time to the response, or to the first event of a stream,
// plus penalties for the side effects of choosing the server. CostTerms lists the same terms.
func Cost(s *Server, j *Job) time.Duration {
	cost := requestOverhead + s.Penalty + domainCost(s) + silenceCost(s)
	if j.PromptTokens > 0 {
		cost += s.slowed(j.Overhead) + backlogTime(s, j) + ownPrefill(s, j) + memoryWait(s, j) + awayPenalty(s)
		if s.Group != GroupAny {
			cost += groupCost(s, j)
		}
	}
	if s.Slots > 0 {
		cost += slotWait(s) + batchCost(s)
	}
	return cost + coldCost(s) + failureCost(s)
}

// domainCost is the cost of another failure domain.
func domainCost(s *Server) time.Duration {
	if s.SameDomain {
		return 0
	}
	return crossDomainPenalty
}

// silenceCost is the expected wait at a server that does not respond.
func silenceCost(s *Server) time.Duration {
	return silenceFactor * max(0, s.Silence-silenceThreshold)
}

// groupCost is the cost of a server that is reserved for prompts of another length.
func groupCost(s *Server, j *Job) time.Duration {
	switch {
	case s.Group == GroupShort && j.Long:
		return longOnShortCost(backlogTime(s, j))
	case s.Group == GroupLong && !j.Long:
		return shortOnLongPenalty
	}
	return 0
}

// slotWait is the time until one of the server's slots is free.
func slotWait(s *Server) time.Duration {
	over := s.Running + s.Waiting + 1 - float64(s.Slots)
	if over <= 0 {
		return 0
	}
	return time.Duration(over / float64(s.Slots) * float64(s.slowed(s.MeanTime)))
}

// batchCost is the time by which the running requests slow down one more: a full batch slows down
// every request in it slightly.
func batchCost(s *Server) time.Duration {
	return time.Duration(s.Running * float64(s.slowed(s.MeanTime)) / float64(4*s.Slots))
}

// coldCost is the delay at a server that is still slow after its start.
func coldCost(s *Server) time.Duration {
	if !s.Cold {
		return 0
	}
	return s.MeanTime
}

// failureCost is the expected cost of a failure, which costs the client a retry or the response.
func failureCost(s *Server) time.Duration {
	if s.FailureRate <= 0 {
		return 0
	}
	return time.Duration(s.FailureRate * float64(max(s.MeanTime, 100*time.Millisecond)) * 3)
}

// slowed returns the time at the server for work that usually takes d.
func (s *Server) slowed(d time.Duration) time.Duration {
	if s.Slowdown == 0 {
		return d
	}
	return time.Duration((1 + s.Slowdown) * float64(d))
}

// prefillDelay returns the time until a prompt is prefilled: the backlog first, then
// the tokens that are not cached, some of which may be transferred instead.
func prefillDelay(s *Server, j *Job) time.Duration {
	return backlogTime(s, j) + ownPrefill(s, j)
}

// ownPrefill returns the time to prefill or transfer the tokens of a prompt that are not cached.
func ownPrefill(s *Server, j *Job) time.Duration {
	uncached := j.PromptTokens - s.CachedTokens
	prefill := s.slowed(j.prefillDuration(uncached))
	if s.FetchTokens > 0 {
		remaining := s.slowed(j.prefillDuration(uncached - min(s.FetchTokens, uncached)))
		prefill = min(prefill, s.FetchTime+remaining)
	}
	return prefill
}

// memoryWait returns the time until the server's memory has room for a job. Runs are
// assumed to end at an even rate, so the wait is proportional to the missing memory.
// Without it, long runs gather at servers with little prefill work and evict each
// other, so that their prompts are prefilled twice (long responses to long prompts).
func memoryWait(s *Server, j *Job) time.Duration {
	shortfall := s.UsedMemoryTokens + j.MemoryTokens - int(usableMemoryShare*float64(s.MemoryTokens))
	if s.MemoryTokens == 0 || shortfall <= 0 {
		return 0
	}
	return time.Duration(float64(s.slowed(s.RunTime)) * float64(shortfall) / float64(s.MemoryTokens))
}

const (
	// usableMemoryShare is the part of a server's memory available to runs. The
	// margin is needed because output lengths are known only as upper bounds, and the
	// requests of other instances only in part.
	usableMemoryShare = 0.9
	// backlogLimit is the backlog that keeps a server busy until the next prompt
	// arrives. A longer one only commits waiting prompts to a server too early.
	backlogLimit = 250 * time.Millisecond
)

// HasMemory reports whether a server has memory for a job now. An empty server
// accepts a job of any size, so that an oversized job can run somewhere.
func HasMemory(s *Server, j *Job) bool {
	return s.MemoryTokens == 0 || s.UsedMemoryTokens == 0 || s.UsedMemoryTokens+j.MemoryTokens <= int(usableMemoryShare*float64(s.MemoryTokens))
}

// Backlogged reports whether a server's backlog is longer than needed to keep it busy
// until the next prompt arrives.
func Backlogged(s *Server, j *Job) bool { return backlogTime(s, j) > backlogLimit }

// backlogTime returns the time until a server has prefilled what it was sent before.
func backlogTime(s *Server, j *Job) time.Duration {
	tokens := s.PrefillTokens
	if j.Deferred {
		tokens += s.DeferredTokens
	}
	if tokens == 0 {
		return 0
	}
	return s.slowed(j.prefillDuration(tokens))
}

// PrefillWork returns the prefill work of a prompt at a server in tokens, including the
// step and the equivalent of its transfers.
func PrefillWork(s Server, j Job) int {
	s.PrefillTokens, s.DeferredTokens, s.Slowdown = 0, 0, 0
	return int(prefillDelay(&s, &j).Seconds()*1000*j.PrefillRate) + j.StepTokens
}

// Pick returns the index of the server with the lowest cost, or -1 if there is none.
// skip reports the servers that this request must not use. tieBreak in [0, 1) breaks
// ties.
func Pick(scorer Scorer, servers []Server, j Job, skip func(i int) bool, tieBreak float64) int {
	best, bestCost := -1, time.Duration(math.MaxInt64)
	ignoreCooldown := ignoresCooldown(servers)
	n := len(servers)
	offset := int(tieBreak * float64(n))
	for pass := 0; pass < 2 && best < 0; pass++ {
		for k := range servers {
			i := k + offset
			if i >= n {
				i -= n
			}
			s := &servers[i]
			if skip(i) {
				continue
			}
			// The first pass skips servers in cooldown and probes; the second uses
			// them if nothing else is left.
			if pass == 0 && !ignoreCooldown && rests(s, &j) {
				continue
			}
			if c := scorer.Cost(s, &j); c < bestCost {
				best, bestCost = i, c
			}
		}
	}
	return best
}

// ignoresCooldown reports whether too many servers are in a cooldown to respect it.
func ignoresCooldown(servers []Server) bool {
	cooling := 0
	for i := range servers {
		if servers[i].CoolingDown {
			cooling++
		}
	}
	return float64(cooling) > maxCooldownShare*float64(len(servers))
}

// rests reports whether a job uses a server only if no other one is left: it is in a cooldown, or
// on probation after it.
func rests(s *Server, j *Job) bool {
	return s.CoolingDown || (s.Probing && (!j.Retryable || s.Running > 0))
}
