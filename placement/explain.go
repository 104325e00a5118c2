package placement

import "time"

// Term is a named part of the cost of a server.
type Term struct {
	Name string
	Cost time.Duration
}

// CostTerms returns the parts of a server's cost that are not zero. Their sum is the cost by the
// scorer; a scorer other than ExpectedTime has one term.
func CostTerms(scorer Scorer, s *Server, j *Job) []Term {
	if _, ok := scorer.(ExpectedTime); !ok {
		return []Term{{"score", scorer.Cost(s, j)}}
	}
	terms := []Term{
		{"request", requestOverhead}, {"penalty", s.Penalty}, {"other domain", domainCost(s)}, {"silence", silenceCost(s)},
		{"cold", coldCost(s)}, {"failures", failureCost(s)},
	}
	if j.PromptTokens > 0 {
		terms = append(terms, Term{"engine step", s.slowed(j.Overhead)}, Term{"backlog", backlogTime(s, j)}, Term{"prefill", ownPrefill(s, j)},
			Term{"memory", memoryWait(s, j)}, Term{"not home", awayPenalty(s)}, Term{"length group", groupCost(s, j)})
	}
	if s.Slots > 0 {
		terms = append(terms, Term{"slot", slotWait(s)}, Term{"batch", batchCost(s)})
	}
	kept := terms[:0]
	for _, t := range terms {
		if t.Cost != 0 {
			kept = append(kept, t)
		}
	}
	return kept
}

// Rests reports whether Pick leaves out server i for a job unless no other one is left.
func Rests(servers []Server, i int, j *Job) bool {
	return rests(&servers[i], j) && !ignoresCooldown(servers)
}
