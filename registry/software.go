package registry

import (
	"time"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/dispatch"
)

// softwareRetention is how long a software version is remembered after the last server that
// ran it: longer than the time in which clients resume streams.
const softwareRetention = 2 * time.Minute

// softwareOf returns the software that a server announces.
func softwareOf(a *fleetv1.Announcement) dispatch.Software {
	return dispatch.Software{Service: a.Service, Version: a.Software}
}

// Software lists the software versions that servers run or ran within softwareRetention.
func (t *Table) Software(now time.Time) []*fleetv1.SoftwareVersion {
	running := make(map[dispatch.Software]bool)
	for _, r := range t.servers {
		if r.State != fleetv1.ServerState_SERVER_STATE_GONE && !r.Silent && r.Service != "" {
			running[softwareOf(r.Announcement)] = true
		}
	}
	list := make([]*fleetv1.SoftwareVersion, 0, len(running))
	for s, at := range t.software.LastSeen() {
		version := &fleetv1.SoftwareVersion{Service: s.Service, Software: s.Version, FirstAgeMs: ageMs(t.software.FirstSeen(s), now), UsedAgeMs: ageMs(t.software.UsedSince(s), now)}
		if !running[s] {
			version.AgeMs = uint64(max(0, now.Sub(at).Milliseconds()))
		}
		list = append(list, version)
	}
	return list
}

// ageMs returns the age of an event that is known, in milliseconds: at least 1.
func ageMs(at, now time.Time) uint64 { return uint64(max(1, now.Sub(at).Milliseconds())) }

// SetSoftwareKnownSince sets the time since which this hub has known the software of all
// servers: that of its start, unless it is set.
func (h *Hub) SetSoftwareKnownSince(since time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.softwareKnownSince = since
}

// addSoftware adds the software versions to a response. mu must be held.
func (h *Hub) addSoftware(response *fleetv1.SyncResponse, now time.Time) {
	since := h.softwareKnownSince
	if incomplete := h.table.software.IncompleteBefore(); incomplete.After(since) {
		since = incomplete
	}
	response.Software, response.SoftwareHistoryMs = h.table.Software(now), uint64(max(0, now.Sub(since).Milliseconds()))
}
