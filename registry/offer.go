package registry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/galenaarch/galenaarch/api/fleetv1"
)

// offer lists the addresses that callers of a failure domain are told, most at
// the most; 0 for all. Where there are more, each failure domain is told of all
// but a part, and each of another part, so that all entry instances get callers.
// Callers drop the connections to instances that an answer leaves out, so that a failure domain is
// told of the same ones as long as none comes or goes.
func offer(accepting []*fleetv1.EntryInstance, domain string, most int) []string {
	without := len(accepting) - most
	if most <= 0 || without <= 0 {
		list := make([]string, len(accepting))
		for i, e := range accepting {
			list[i] = e.Address
		}
		return list
	}
	// Mixed, so that no part is one failure domain's.
	mixed := slices.Clone(accepting)
	slices.SortFunc(mixed, func(a, b *fleetv1.EntryInstance) int {
		return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
	})
	var domains []string
	for _, e := range mixed {
		domains = append(domains, e.Zone)
	}
	slices.Sort(domains)
	domains = slices.Compact(domains)
	// A domain without entry instances is told as the one that it would follow.
	at, _ := slices.BinarySearch(domains, domain)
	first := at % len(domains) * len(mixed) / len(domains)
	told := make([]string, 0, most)
	for i := range most {
		told = append(told, mixed[(first+without+i)%len(mixed)].Address)
	}
	return told
}
