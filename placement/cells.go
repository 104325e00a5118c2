package placement

import (
	"cmp"
	"slices"
)

const (
	// cellEntries is about how many entry instances share a cell: so few know of
	// each other's requests in time, and each of them sends to a server of its
	// cell several times a second, by which it knows the server's load.
	cellEntries = 5
	// cellServers is the least number of servers in a cell: with fewer, one long
	// prompt or one loss is most of it.
	cellServers = 8
)

// Member is an entry instance or a server, with its failure domain.
type Member struct{ ID, Zone string }

// Celled reports whether so many entry instances are divided into cells.
func Celled(entries int) bool { return entries > cellEntries }

// Cell returns the servers that an entry instance prefers, alike at every
// instance that sees the same members; nil for all. It answers the growth of the
// fleet: where tens of instances send to tens of servers, each of them is asked
// by one instance once in seconds, nobody knows its load, and many take the same
// one for idle (30 entry instances before 90 engines). A cell is some instances
// and servers of one failure domain; the other servers take what it cannot.
func Cell(self string, entries, servers []Member) map[string]bool {
	if !Celled(len(entries)) {
		return nil
	}
	zone, found := "", false
	for _, e := range entries {
		if e.ID == self {
			zone, found = e.Zone, true
		}
	}
	if !found {
		return nil
	}
	mates := inZone(entries, zone)
	slices.Sort(mates)
	near := inZone(servers, zone)
	// The order of names says nothing of servers that come and go; that of ranks
	// moves one server over each border only.
	ranks := make(map[string]uint64, len(near))
	for _, id := range near {
		ranks[id] = Rank("cell", id)
	}
	slices.SortFunc(near, func(a, b string) int { return cmp.Or(cmp.Compare(ranks[a], ranks[b]), cmp.Compare(a, b)) })
	if len(near) < cellServers {
		return nil
	}
	cells := max(1, min((len(mates)+cellEntries/2)/cellEntries, len(near)/cellServers))
	cell := slices.Index(mates, self) * cells / len(mates)
	own := make(map[string]bool)
	for _, id := range near[cell*len(near)/cells : (cell+1)*len(near)/cells] {
		own[id] = true
	}
	return own
}

func inZone(members []Member, zone string) []string {
	var list []string
	for _, m := range members {
		if m.Zone == zone {
			list = append(list, m.ID)
		}
	}
	return list
}

// unknownShare is the part of the own cell's mean reading that is assumed of a
// server outside it: its load is not known, but its callers come from the same
// crowd.
const unknownShare = 0.7

// Assume fills in what is not known of servers outside the cell, so that they do
// not look idle. own names the servers of the cell.
func Assume(servers []Server, own func(i int) bool) {
	reading, held, n := 0, 0, 0
	for i := range servers {
		if own(i) {
			reading, held, n = reading+servers[i].ReadingTokens, held+servers[i].HeldTokens, n+1
		}
	}
	if n == 0 {
		return
	}
	reading, held = int(unknownShare*float64(reading)/float64(n)), int(unknownShare*float64(held)/float64(n))
	for i := range servers {
		if !own(i) {
			servers[i].ReadingTokens = max(servers[i].ReadingTokens, reading)
			servers[i].HeldTokens = max(servers[i].HeldTokens, held)
		}
	}
}
