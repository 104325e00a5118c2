package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// HomeCount is the number of servers that a shared prefix is placed at before any other:
// its home and the one that takes over while the home is busier. With more of them, a
// prefix that is read again while its home is busy has more places to be forgotten.
const HomeCount = 2

// alternatePenalty is the cost of each further place in the order of a prefix's homes.
const alternatePenalty = nonHomePenalty / HomeCount

// Homes are the first servers in the rendezvous order of a shared prefix over the whole
// fleet. It is for fleets that are divided into cells: with a home in each cell, every
// cell reads and keeps its own copy of each prefix, and the servers' memory together
// holds fewer different ones the more cells there are. Every instance with the same
// servers computes the same order. The zero value is empty.
type Homes struct {
	servers [HomeCount]int
	ranks   [HomeCount]uint64
	count   int
}

// HomeHash hashes the name of a server or the key of a prefix for HomeRank.
func HomeHash(name string) uint64 { return xxhash.Sum64String(name) }

// HomeRank returns the rendezvous rank of a server for a prefix, both as hashed by
// HomeHash. Unlike Rank, it reads no string, so that hundreds of servers can be ranked
// for each request.
func HomeRank(prefix, server uint64) uint64 {
	x := (prefix ^ server) * 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Offer adds server i if its rank is among the highest so far.
func (h *Homes) Offer(i int, rank uint64) {
	if h.count == HomeCount && rank <= h.ranks[HomeCount-1] {
		return
	}
	n := min(h.count, HomeCount-1)
	for ; n > 0 && h.ranks[n-1] < rank; n-- {
		h.servers[n], h.ranks[n] = h.servers[n-1], h.ranks[n-1]
	}
	h.servers[n], h.ranks[n] = i, rank
	h.count = min(h.count+1, HomeCount)
}

// Servers returns the servers, the home first. The slice is valid until the next call of
// Offer.
func (h *Homes) Servers() []int { return h.servers[:h.count] }

// awayPenalty returns the cost of placing a prompt elsewhere than at the home of its
// shared prefix.
func awayPenalty(s *Server) time.Duration {
	switch {
	case s.Home:
		return 0
	case s.Alternate > 0:
		return time.Duration(s.Alternate) * alternatePenalty
	}
	return nonHomePenalty
}
