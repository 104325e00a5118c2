// Package routing decides which backend server runs a prompt and how its context
// gets there. A policy consists of filters, a scorer and a picker, each a
// plug-in in its own namespace. Plug-ins take the time and the random source as
// arguments.
package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/fleet"
	"github.com/galenaarch/galenaarch/kernel"
	"github.com/galenaarch/galenaarch/kvcache"
	"github.com/galenaarch/galenaarch/link"
)

// Namespace is the module namespace of policies.
const Namespace = "routing.policy"

// Request describes a prompt to a policy.
type Request struct {
	// Blocks are the keys of the prompt's complete blocks, in order.
	Blocks []kvcache.BlockKey
	// StoredCopies lists the stored copies of each block; empty if none is known.
	StoredCopies [][]kvcache.Location
	PromptTokens int
	BlockTokens  int
	Priority     config.Priority
	Objective    config.Objective
	// Links holds the state of each store's link by store name.
	Links map[string]link.State
	// Entries is the number of entries that share the backend servers.
	Entries int
}

// Candidate is a backend server that may run the prompt, with the values that a
// policy computes for it.
type Candidate struct {
	Server *fleet.Server
	// CachedBlocks is the number of leading blocks that the server caches according
	// to its cache view.
	CachedBlocks int
	// ImportBlocks is the number of blocks after the cached prefix to import from
	// stores.
	ImportBlocks int
	// Score is set by the scorer; lower is better.
	Score float64
}

// Decision says which server runs a prompt and which blocks it imports before.
type Decision struct {
	// Server is nil if no server currently has capacity for the request.
	Server       *fleet.Server
	CachedBlocks int
	// ImportBlocks is the number of blocks after the cached prefix to import from
	// stores.
	ImportBlocks int
	// Cost is the score of the chosen candidate.
	Cost float64
}

// Policy picks one of the candidates. It may reorder them.
type Policy interface {
	Pick(r *Request, candidates []Candidate, now time.Time, random *rand.Rand) Decision
}

// New returns the named policy, or an error if there is none of that name.
func New(name string) (Policy, error) {
	return kernel.New[Policy](kernel.ID(Namespace + "." + name))
}

const (
	// scanLimit is the largest number of servers for which all are candidates.
	scanLimit = 64
	// sampleSize is the size of the random sample drawn from more servers, in
	// addition to those that cache a part of the context.
	sampleSize = 48
	// maxHolders bounds the number of candidates that cache a part of the context, if
	// there are more than scanLimit servers.
	maxHolders = 16
)

// PrefixFinder looks up which servers cache a prompt's context.
type PrefixFinder interface {
	// Prefixes appends the views that hold the first key, each with the number of
	// leading keys that it holds.
	Prefixes(keys []kvcache.BlockKey, dst []kvcache.Prefix) []kvcache.Prefix
	// ServerForView returns the server of a view; nil if there is none.
	ServerForView(v *kvcache.CacheView) *fleet.Server
}

// Interface guard.
var _ PrefixFinder = (*fleet.Table)(nil)

// SelectCandidates appends the servers that a policy considers to dst and returns it:
// all servers if there are at most scanLimit, otherwise up to maxHolders servers that
// cache a part of the context and a random sample. Servers in tried are left out.
func SelectCandidates(dst []Candidate, r *Request, servers []*fleet.Server, tried []string, f PrefixFinder, random *rand.Rand) []Candidate {
	var buffer [maxHolders]kvcache.Prefix
	prefixes := f.Prefixes(r.Blocks, buffer[:0])
	if len(servers) <= scanLimit {
		for _, s := range servers {
			dst = appendUntried(dst, Candidate{Server: s, CachedBlocks: cachedPrefix(prefixes, s)}, tried)
		}
		return dst
	}
	for _, p := range prefixes[:min(len(prefixes), maxHolders)] {
		if s := f.ServerForView(p.View); s != nil {
			dst = appendUntried(dst, Candidate{Server: s, CachedBlocks: p.Blocks}, tried)
		}
	}
	// Walking the list from a random start with random strides samples without
	// duplicates and without allocation.
	position, stride := random.IntN(len(servers)), len(servers)/sampleSize
	for range sampleSize {
		s := servers[position%len(servers)]
		position += 1 + random.IntN(stride)
		if cachedPrefix(prefixes, s) == 0 {
			dst = appendUntried(dst, Candidate{Server: s}, tried)
		}
	}
	return dst
}

// appendUntried appends a candidate unless its server is in tried.
func appendUntried(dst []Candidate, c Candidate, tried []string) []Candidate {
	if slices.Contains(tried, c.Server.Server) {
		return dst
	}
	return append(dst, c)
}

// cachedPrefix returns the number of leading blocks that a server caches.
func cachedPrefix(prefixes []kvcache.Prefix, s *fleet.Server) int {
	for _, p := range prefixes {
		if p.View == s.Cache {
			return p.Blocks
		}
	}
	return 0
}
