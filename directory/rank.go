// Package directory tells clients which entry instances to use. Its Client queries
// the directory, caches the response for its time to live and fails over.
package directory

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenaarch/galenaarch/membership"
)

// DefaultTTL is how long a client may cache a response.
const DefaultTTL = 5 * time.Second

// Path is the path of the directory at entry instances. The query parameter
// QueryFailureDomain holds the client's failure domain.
const (
	Path               = "/v1/directory"
	QueryFailureDomain = "failure_domain"
)

// Weights of an entry by its proximity to the client, relative to an entry in another
// region.
const (
	weightSameDomain  = 40
	weightSameRegion  = 20
	weightOtherRegion = 1
)

// Candidate is an entry that may be included in a response.
type Candidate struct {
	Member membership.Member
	// ActiveRequests is the number of requests in progress.
	ActiveRequests int
	// Overloaded is true while the entry sheds load.
	Overloaded bool
	// NotAccepting is true while the entry accepts no new work.
	NotAccepting bool
}

// Entry is one entry instance in an Answer.
type Entry struct {
	Instance      string `json:"instance"`
	URL           string `json:"url"`
	FailureDomain string `json:"failure_domain"`
}

// Response is the directory's response, best entry first.
type Response struct {
	Entries []Entry `json:"entries"`
	// TTLMS is how long the response may be cached, in milliseconds.
	TTLMS int64 `json:"ttl_ms"`
}

// Rank orders entries for a client in a failure domain, which may be empty. Entries
// that are draining or accept no new work are left out, overloaded ones come last.
// The rest are in weighted random order, so that the clients of a domain spread
// over the entries. The weight is proportional to proximity and inversely
// proportional to the square root of the load.
func Rank(candidates []Candidate, failureDomain string, random *rand.Rand) []Entry {
	type ranked struct {
		entry      Entry
		overloaded bool
		sortKey    float64
	}
	var list []ranked
	for _, c := range candidates {
		if c.Member.Draining || c.NotAccepting {
			continue
		}
		list = append(list, ranked{
			entry:      Entry{Instance: c.Member.Instance, URL: c.Member.ClientURL, FailureDomain: c.Member.FailureDomain},
			overloaded: c.Overloaded,
			// The minimum of exponential variates belongs to an entry with a
			// probability proportional to its weight.
			sortKey: random.ExpFloat64() / weight(c, failureDomain),
		})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if a.overloaded != b.overloaded {
			if a.overloaded {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.sortKey, b.sortKey)
	})
	entries := make([]Entry, len(list))
	for i := range list {
		entries[i] = list[i].entry
	}
	return entries
}

// weight returns the weight of an entry for a client in a failure domain.
func weight(c Candidate, failureDomain string) float64 {
	proximity := float64(weightOtherRegion)
	switch {
	case failureDomain != "" && c.Member.FailureDomain == failureDomain:
		proximity = weightSameDomain
	case failureDomain == "" || c.Member.Region == membership.RegionOf(failureDomain):
		proximity = weightSameRegion
	}
	return proximity / math.Sqrt(1+float64(max(0, c.ActiveRequests)))
}
