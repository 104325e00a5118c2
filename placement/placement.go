// Package placement decides which backend server a request goes to. It is pure:
// time, load and what is believed to be cached are arguments.
//
// Each rule answers a load pattern. Waiting counts what this entry instance has
// sent since the server's last report, so that instances do not herd to one
// that looked idle (many callers at once). Silence turns new work away from a
// server before any request to it has failed (a quarter of the servers dark).
// Failures rests a server whose health is good (servers that fail part of their
// requests), with a floor below, so that a common cause cannot rest them all.
package placement

import (
	"math"
	"time"
)

// Weights of the decision.
const (
	// farPenalty is the cost of another failure domain: it only breaks ties,
	// since bytes between domains are dear and the delay is under 1 ms.
	farPenalty = 2 * time.Millisecond
	// awayPenalty keeps a part from spreading over servers for nothing: each
	// copy takes memory from other parts.
	awayPenalty = 30 * time.Millisecond
	// silenceAllowed is how long a server with work may say nothing, beyond the
	// time in which it reads what it has, before it looks stuck.
	silenceAllowed = 450 * time.Millisecond
	// silenceFactor turns further silence into expected wait.
	silenceFactor = 4
	// restedShare is the largest share of servers that may rest; above it the
	// cause is likely common and resting would only shrink the capacity.
	restedShare = 0.5
	// startOverhead is the time of a server for a request besides its work.
	startOverhead = 4 * time.Millisecond
)

// Server is what is known of a backend server at the moment of a decision.
type Server struct {
	// Near servers are in this instance's failure domain.
	Near bool
	// Slots is how many requests the server runs at once.
	Slots int
	// Running and Waiting count requests of all callers, as believed now.
	Running, Waiting float64
	// Mean is the usual time of one request there; 0 if not known.
	Mean time.Duration
	// ReadingTokens are prompt tokens sent there and not yet read, LaterTokens those
	// besides that the server reads only where nothing else is to be read.
	ReadingTokens, LaterTokens int
	// MemoryTokens is what the server's memory holds, HeldTokens what the requests
	// there take of it, as believed now, and RunTime how long one of them holds
	// its part; 0 where they are not known.
	MemoryTokens, HeldTokens int
	RunTime                  time.Duration
	// Silence is how long the server has said nothing while this instance
	// awaits an answer from it.
	Silence time.Duration
	// Resting servers failed lately; Trial ones get a single request at a time.
	Resting, Trial bool
	// Failing is the share of failures lately, 0 to 1.
	Failing float64
	// Cold servers are still slow after their start.
	Cold bool
	// CachedTokens of this prompt are believed to be there, ImportTokens can be
	// brought from elsewhere in ImportTime.
	CachedTokens, ImportTokens int
	ImportTime                 time.Duration
	// Penalty is the cost of what else speaks against the server.
	Penalty time.Duration
	// Group is the length of prompts that the server is meant for.
	Group Group
	// Home marks the server that this prompt's shared part is assigned to; new
	// parts begin there.
	Home bool
}

// Job is what is to be placed.
type Job struct {
	// PromptTokens is 0 for requests of plain services.
	PromptTokens int
	// ReadRate is the tokens a server reads in a millisecond, Overhead the time to
	// a first event besides reading, StepTokens the reading that takes as long as
	// the engine's step that a prompt takes at least.
	ReadRate   float64
	Overhead   time.Duration
	StepTokens int
	// MemoryTokens is what the request takes of a server's memory: its prompt, and
	// what is generated.
	MemoryTokens int
	// Long prompts hold short ones up.
	Long bool
	// Later jobs are late anyway: others go before them.
	Later bool
	// Repeatable jobs may be used to try a server that failed.
	Repeatable bool

	// perToken is the time to read one token, 0 if it is not worked out yet.
	perToken float64
}

// reading is the time to read tokens.
func (j *Job) reading(tokens int) time.Duration {
	if j.perToken == 0 {
		j.perToken = float64(time.Millisecond) / j.ReadRate
	}
	return time.Duration(float64(tokens) * j.perToken)
}

// Cost is the expected time to the answer, or to a stream's first event.
func Cost(s *Server, j *Job) time.Duration {
	cost := startOverhead + s.Penalty
	if !s.Near {
		cost += farPenalty
	}
	if s.Silence > silenceAllowed {
		cost += silenceFactor * max(0, s.Silence-silenceAllowed)
	}
	if j.PromptTokens > 0 {
		cost += j.Overhead + readTime(s, j) + roomTime(s, j)
		if !s.Home {
			cost += awayPenalty
		}
		if s.Group == GroupShort && j.Long {
			cost += amongShort(beforeTime(s, j))
		}
		if s.Group == GroupLong && !j.Long {
			cost += shortAmongLong
		}
	}
	if s.Slots > 0 {
		if over := s.Running + s.Waiting + 1 - float64(s.Slots); over > 0 {
			cost += time.Duration(over / float64(s.Slots) * float64(s.Mean))
		}
		// A full batch slows every request in it a little.
		cost += time.Duration(s.Running * float64(s.Mean) / float64(4*s.Slots))
	}
	if s.Cold {
		cost += s.Mean
	}
	if s.Failing > 0 {
		// A failure costs the caller another try, or its answer.
		cost += time.Duration(s.Failing * float64(max(s.Mean, 100*time.Millisecond)) * 3)
	}
	return cost
}

// readTime is the time until a prompt is read: what is before it, then what is
// not cached, part of it brought over the link.
func readTime(s *Server, j *Job) time.Duration {
	unread := j.PromptTokens - s.CachedTokens
	before := beforeTime(s, j)
	read := j.reading(unread)
	if s.ImportTokens > 0 {
		rest := j.reading(unread - min(s.ImportTokens, unread))
		read = min(read, s.ImportTime+rest)
	}
	return before + read
}

// roomTime is the time until a server's memory has room for a request: runs end
// evenly, so that what is missing is free after its part of a run's time. Without
// it, long runs meet where little is to be read, and push each other out, so that
// their prompts are read twice (long answers to long prompts).
func roomTime(s *Server, j *Job) time.Duration {
	missing := s.HeldTokens + j.MemoryTokens - int(memoryShare*float64(s.MemoryTokens))
	if s.MemoryTokens == 0 || missing <= 0 {
		return 0
	}
	return time.Duration(float64(s.RunTime) * float64(missing) / float64(s.MemoryTokens))
}

const (
	// memoryShare is the part of a server's memory that runs may take: what they
	// will generate is known only as a bound, and others' requests only in part.
	memoryShare = 0.9
	// fullBacklog is the reading before a prompt that keeps a server busy until
	// the next one arrives; more of it only takes the choice from those that wait.
	fullBacklog = 250 * time.Millisecond
)

// HasMemory reports whether a server has memory for the run of a job now. A job
// that no server could hold beside others is taken by an empty one.
func HasMemory(s *Server, j *Job) bool {
	return s.MemoryTokens == 0 || s.HeldTokens == 0 || s.HeldTokens+j.MemoryTokens <= int(memoryShare*float64(s.MemoryTokens))
}

// Backlogged reports whether a server has more to read than keeps it busy until
// the next prompt arrives.
func Backlogged(s *Server, j *Job) bool { return beforeTime(s, j) > fullBacklog }

// beforeTime is the time until a server has read what it was sent before.
func beforeTime(s *Server, j *Job) time.Duration {
	before := s.ReadingTokens
	if j.Later {
		before += s.LaterTokens
	}
	if before == 0 {
		return 0
	}
	return j.reading(before)
}

// Unread is what a server has to read of a prompt, with what it brings counted
// as the reading that takes as long, and its step.
func Unread(s Server, j Job) int {
	s.ReadingTokens, s.LaterTokens = 0, 0
	return int(readTime(&s, &j).Seconds()*1000*j.ReadRate) + j.StepTokens
}

// Pick returns the index of the cheapest server, or -1 if there is none. skip names
// servers that this request must not go to. at breaks ties and is in [0, 1).
func Pick(by Scorer, servers []Server, j Job, skip func(i int) bool, at float64) int {
	best, bestCost := -1, time.Duration(math.MaxInt64)
	rested := 0
	for i := range servers {
		if servers[i].Resting {
			rested++
		}
	}
	ignoreRest := float64(rested) > restedShare*float64(len(servers))
	n := len(servers)
	offset := int(at * float64(n))
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
			// The first pass leaves out what may fail; the second takes it
			// where nothing else is left.
			if pass == 0 && !ignoreRest && (s.Resting || (s.Trial && (!j.Repeatable || s.Running > 0))) {
				continue
			}
			if c := by.Cost(s, &j); c < bestCost {
				best, bestCost = i, c
			}
		}
	}
	return best
}
