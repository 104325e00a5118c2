package registry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/galenaarch/galenaarch/api/fleetv1"
)

// selectAddresses returns the addresses given to clients of a failure domain,
// at most limit (0: all). If there are more, each failure domain's list omits
// a different part, so that every entry instance gets clients. Clients close
// connections to instances that are missing from a response, so a failure
// domain gets the same list until an instance starts or stops accepting clients.
func selectAddresses(accepting []*fleetv1.EntryInstance, domain string, limit int) []string {
	omitted := len(accepting) - limit
	if limit <= 0 || omitted <= 0 {
		list := make([]string, len(accepting))
		for i, entry := range accepting {
			list[i] = entry.Address
		}
		return list
	}
	// Order by hash, so that the omitted part does not fall into one failure
	// domain.
	shuffled := slices.Clone(accepting)
	slices.SortFunc(shuffled, func(a, b *fleetv1.EntryInstance) int {
		return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
	})
	var domains []string
	for _, entry := range shuffled {
		domains = append(domains, entry.Zone)
	}
	slices.Sort(domains)
	domains = slices.Compact(domains)
	// A failure domain without entry instances gets the list of the next one in
	// order.
	index, _ := slices.BinarySearch(domains, domain)
	first := index % len(domains) * len(shuffled) / len(domains)
	addresses := make([]string, 0, limit)
	for i := range limit {
		addresses = append(addresses, shuffled[(first+omitted+i)%len(shuffled)].Address)
	}
	return addresses
}
