// Package contextrelay lets control instances relay the contents of stores and
// engines to entry instances. A store or an engine answers only a few concurrent
// polls. If there are more entry instances than that, some control instances poll it
// and relay its state, so that every entry instance knows all holders.
package contextrelay

import (
	"time"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/config/site"
	"github.com/galenaarch/galenaarch/contexts"
	"github.com/galenaarch/galenaarch/fleetview"
	"github.com/galenaarch/galenaarch/placement"
)

const (
	// reservedPolls is how many of a holder's concurrent polls are reserved for the
	// relays and for replaced instances that may still poll.
	reservedPolls = 2
	// relaysPerHolder is how many control instances poll each holder, so that one
	// remains after the loss of the other.
	relaysPerHolder = 2
	// engineFirstDelay is the fixed delay of a transfer between engines, from the
	// users' engine data sheet.
	engineFirstDelay = 3300 * time.Microsecond
	// bytesPerMsMbit converts Mbit/s to bytes per millisecond.
	bytesPerMsMbit = 1e6 / 8 / 1000
)

// Holder is a store or an engine whose cached contexts are tracked.
type Holder struct {
	contexts.HolderSpec
	// MaxPolls is how many concurrent polls the holder answers; 0 means unlimited.
	MaxPolls int
}

// PolledDirectly reports whether entry instances poll the holder themselves, given
// the number of entry instances.
func (h *Holder) PolledDirectly(entries int) bool {
	return h.MaxPolls == 0 || entries <= h.MaxPolls-reservedPolls
}

// ListHolders returns the stores of a site document and the ready engines of a fleet
// snapshot.
func ListHolders(t *site.Table, s *fleetview.Snapshot) []Holder {
	var list []Holder
	tokenBytes := 0
	for i := range t.Services {
		if e := t.Services[i].Engine; e != nil {
			tokenBytes = max(tokenBytes, e.TokenBytes)
		}
	}
	for i := range t.Services {
		if s := t.Services[i].Store; s != nil && tokenBytes > 0 && s.LinkMbps > 0 {
			list = append(list, Holder{MaxPolls: s.MaxEventPolls, HolderSpec: contexts.HolderSpec{
				Address: s.Address, Zone: s.Zone, Capacity: s.MemoryTokens, FirstDelay: s.TransferDelay,
				Rate: s.LinkMbps * bytesPerMsMbit / float64(tokenBytes),
			}})
		}
	}
	for _, a := range s.NewestIncarnations(t.HasService) {
		service := t.Service(a.Service)
		if service.Engine == nil || a.Silent || a.State != fleetv1.ServerState_SERVER_STATE_READY {
			continue
		}
		e := service.Engine
		list = append(list, Holder{MaxPolls: e.MaxEventPolls, HolderSpec: contexts.HolderSpec{
			Address: a.Address, Zone: a.Zone, Engine: true, FirstDelay: engineFirstDelay,
			Rate: e.LinkMbps * bytesPerMsMbit / float64(max(1, e.TokenBytes)),
		}})
	}
	return list
}

// SplitByPolling separates the holders that each entry instance polls itself from
// those whose state is relayed to it, given the number of entry instances.
func SplitByPolling(holders []Holder, entries int) (polled, relayed []contexts.HolderSpec) {
	for i := range holders {
		if h := &holders[i]; h.PolledDirectly(entries) {
			polled = append(polled, h.HolderSpec)
		} else {
			relayed = append(relayed, h.HolderSpec)
		}
	}
	return polled, relayed
}

// isRelay reports whether a control instance polls and relays a holder: the members
// that rank highest for it do. The result is the same at every member.
func isRelay(address, self string, members []string) bool {
	ownRank, higher := placement.Rank(address, self), 0
	for _, m := range members {
		if m != self && placement.Rank(address, m) > ownRank {
			higher++
		}
	}
	return higher < relaysPerHolder
}

// assignedHolders returns the holders that a control instance polls and relays.
func assignedHolders(holders []Holder, entries int, self string, members []string) []contexts.HolderSpec {
	var list []contexts.HolderSpec
	for i := range holders {
		// The entry instances count lost instances too and may switch to relayed
		// state earlier, so control instances start relaying before that.
		if h := &holders[i]; !h.PolledDirectly(entries+reservedPolls) && isRelay(h.Address, self, members) {
			list = append(list, h.HolderSpec)
		}
	}
	return list
}
