package placement

import (
	"cmp"
	"slices"
)

const (
	// instancesPerCell is the approximate number of entry instances that share a
	// cell. So few instances learn of each other's requests in time, and each sends to
	// every server of its cell several times a second, which keeps its view of the
	// server's load current.
	instancesPerCell = 5
	// minServersPerCell is the smallest number of servers in a cell: in a smaller
	// one, a single long prompt or the loss of one server takes most of its capacity.
	minServersPerCell = 8
)

// Member is an entry instance or a backend server; Zone is its failure domain.
type Member struct{ ID, Zone string }

// UsesCells reports whether a fleet with this many entry instances is divided into
// cells.
func UsesCells(instances int) bool { return instances > instancesPerCell }

// CellServers returns the servers that an entry instance prefers; nil for all. Every
// instance with the same view of the members computes the same cells. Cells are for
// large fleets: with tens of instances sending to tens of servers, each instance sends
// to a given server only once in several seconds, none knows its load, and many choose
// the same seemingly idle one (30 entry instances and 90 engines). A cell consists of
// instances and servers of one failure domain; the other servers take the overflow.
func CellServers(self string, instances, servers []Member) map[string]bool {
	if !UsesCells(len(instances)) {
		return nil
	}
	zone, found := "", false
	for _, inst := range instances {
		if inst.ID == self {
			zone, found = inst.Zone, true
		}
	}
	if !found {
		return nil
	}
	peers := idsInZone(instances, zone)
	slices.Sort(peers)
	local := idsInZone(servers, zone)
	// Sorting by hash rank instead of name keeps cells stable: a server that joins or
	// leaves moves only one server across each cell border.
	ranks := make(map[string]uint64, len(local))
	for _, id := range local {
		ranks[id] = Rank("cell", id)
	}
	slices.SortFunc(local, func(a, b string) int { return cmp.Or(cmp.Compare(ranks[a], ranks[b]), cmp.Compare(a, b)) })
	if len(local) < minServersPerCell {
		return nil
	}
	cells := max(1, min((len(peers)+instancesPerCell/2)/instancesPerCell, len(local)/minServersPerCell))
	index := slices.Index(peers, self) * cells / len(peers)
	cell := make(map[string]bool)
	for _, id := range local[index*len(local)/cells : (index+1)*len(local)/cells] {
		cell[id] = true
	}
	return cell
}

// idsInZone returns the IDs of the members in a failure domain, in the order of members.
func idsInZone(members []Member, zone string) []string {
	var ids []string
	for _, m := range members {
		if m.Zone == zone {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// outsideLoadShare is the part of the mean load in the instance's own cell that is
// assumed for a server outside it: its load is unknown, but it serves the same kind
// of traffic.
const outsideLoadShare = 0.7

// FillUnknownLoad raises the load of servers outside the cell to a share of the mean
// load in it, so that servers whose load is unknown do not look idle. inCell reports
// whether a server belongs to the cell.
func FillUnknownLoad(servers []Server, inCell func(i int) bool) {
	prefill, memory, n := 0, 0, 0
	for i := range servers {
		if inCell(i) {
			prefill, memory, n = prefill+servers[i].PrefillTokens, memory+servers[i].UsedMemoryTokens, n+1
		}
	}
	if n == 0 {
		return
	}
	prefill, memory = int(outsideLoadShare*float64(prefill)/float64(n)), int(outsideLoadShare*float64(memory)/float64(n))
	for i := range servers {
		if !inCell(i) {
			servers[i].PrefillTokens = max(servers[i].PrefillTokens, prefill)
			servers[i].UsedMemoryTokens = max(servers[i].UsedMemoryTokens, memory)
		}
	}
}
