// Package contextrelay lets control instances tell entry instances what stores
// and engines hold. A store or an engine answers a few questions at once; where
// there are more entry instances than that, some control instances ask and tell
// the entry instances, so that all of these know all holders.
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
	// spareWatchers questions of a holder are left for instances that were
	// replaced but may still ask, and for the tellers.
	spareWatchers = 2
	// tellers is how many control instances ask each holder: the loss of one
	// leaves the other.
	tellers = 2
	// engineDelay is the start of a transfer between engines, from the users'
	// sheet of their engines.
	engineDelay = 3300 * time.Microsecond
	// bytesPerMsMbit turns Mbit/s into bytes a millisecond.
	bytesPerMsMbit = 1e6 / 8 / 1000
)

// Holder is a store or an engine whose contexts are followed.
type Holder struct {
	contexts.Place
	// Watchers is how many questions it answers at once; 0 for no bound.
	Watchers int
}

// Asked reports whether so many entry instances ask the holder themselves.
func (h *Holder) Asked(entries int) bool {
	return h.Watchers == 0 || entries <= h.Watchers-spareWatchers
}

// Holders lists the stores of a document and the engines that are heard of.
func Holders(t *site.Table, s *fleetview.Snapshot) []Holder {
	var list []Holder
	tokenBytes := 0
	for i := range t.Services {
		if e := t.Services[i].Engine; e != nil {
			tokenBytes = max(tokenBytes, e.TokenBytes)
		}
	}
	for i := range t.Services {
		if s := t.Services[i].Store; s != nil && tokenBytes > 0 && s.LinkMbps > 0 {
			list = append(list, Holder{Watchers: s.Watchers, Place: contexts.Place{
				Address: s.Address, Zone: s.Zone, Capacity: s.MemoryTokens, FirstDelay: s.FirstDelay,
				Rate: s.LinkMbps * bytesPerMsMbit / float64(tokenBytes),
			}})
		}
	}
	for _, a := range s.Youngest() {
		service := t.Service(a.Service)
		if service == nil || service.Engine == nil || a.Silent || a.State != fleetv1.ServerState_SERVER_STATE_READY {
			continue
		}
		e := service.Engine
		list = append(list, Holder{Watchers: e.Watchers, Place: contexts.Place{
			Address: a.Address, Zone: a.Zone, Engine: true, FirstDelay: engineDelay,
			Rate: e.LinkMbps * bytesPerMsMbit / float64(max(1, e.TokenBytes)),
		}})
	}
	return list
}

// Split separates the places that each of so many entry instances asks from
// those of which it is told.
func Split(holders []Holder, entries int) (asked, told []contexts.Place) {
	for i := range holders {
		if h := &holders[i]; h.Asked(entries) {
			asked = append(asked, h.Place)
		} else {
			told = append(told, h.Place)
		}
	}
	return asked, told
}

// tells reports whether a member of the control group is among those that ask
// a holder: those with the highest ranks for it, alike at every member.
func tells(address, self string, members []string) bool {
	own, before := placement.Rank(address, self), 0
	for _, m := range members {
		if m != self && placement.Rank(address, m) > own {
			before++
		}
	}
	return before < tellers
}

// toTell lists the places that a control instance asks for the entry instances.
func toTell(holders []Holder, entries int, self string, members []string) []contexts.Place {
	var list []contexts.Place
	for i := range holders {
		// Entry instances count those that were lost as well, so that control
		// begins before they may need it.
		if h := &holders[i]; !h.Asked(entries+spareWatchers) && tells(h.Address, self, members) {
			list = append(list, h.Place)
		}
	}
	return list
}
