package fleetview

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/registry"
)

const (
	// limitReportPeriod is how long a rate limit is reported to the control instances;
	// one that starts meanwhile does not know of it yet.
	limitReportPeriod = time.Minute
	// maxLimitReports bounds the number of limits reported at once.
	maxLimitReports = 256
)

// limitReports holds the rate limits that this process reports to the control
// instances. It is guarded by the view's lock.
type limitReports struct {
	limits []*fleetv1.ServerRateLimit
	since  []time.Time
}

// current returns the limits to report.
func (r *limitReports) current(now time.Time) []*fleetv1.ServerRateLimit {
	for len(r.since) > 0 && now.Sub(r.since[0]) > limitReportPeriod {
		r.limits, r.since = r.limits[1:], r.since[1:]
	}
	return slices.Clone(r.limits)
}

// set replaces the report on an incarnation.
func (r *limitReports) set(l *fleetv1.ServerRateLimit, now time.Time) {
	for i, known := range r.limits {
		if proto.Equal(known.Server, l.Server) {
			r.limits, r.since = slices.Delete(r.limits, i, i+1), slices.Delete(r.since, i, i+1)
			break
		}
	}
	if len(r.limits) >= maxLimitReports {
		r.limits, r.since = r.limits[1:], r.since[1:]
	}
	r.limits, r.since = append(r.limits, l), append(r.since, now)
}

// ReportRateLimits reports rate limits to all control instances, without waiting for the
// next poll.
func (v *View) ReportRateLimits(limits []*fleetv1.ServerRateLimit) {
	if len(limits) == 0 {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	for _, l := range limits {
		v.limits.set(l, now)
	}
	v.interruptPolls()
}

// CurrentEntries lists the entry instances that are known to a control instance whose
// last completed poll began at most maxAge ago, the newest state of each. listed reports
// whether more than half of the control instances completed such a poll and list this
// process, accepting whether they list it as accepting clients.
//
// Invariant: two majorities have a control instance in common. Of two entry instances
// with a majority, the one that this instance answered last knows of the other.
func (v *View) CurrentEntries(now time.Time, maxAge time.Duration) (entries map[string]*fleetv1.EntryInstance, listed, accepting bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	entries = make(map[string]*fleetv1.EntryInstance)
	members, listing, accepted := 0, 0, 0
	for url, s := range v.sources {
		isMember := (v.members[url] && now.Sub(s.lastListed) <= removeTimeout) || len(v.members) == 0
		if isMember {
			members++
		}
		if s.confirmedAt.IsZero() || now.Sub(s.confirmedAt) > maxAge {
			continue
		}
		for _, e := range s.entries {
			if existing := entries[e.Name]; existing == nil || newerEntry(e, existing) {
				entries[e.Name] = e
			}
			if isMember && v.self != nil && e.Name == v.self.Name && e.StartedUnixMs == v.self.StartedUnixMs {
				listing++
				if e.Accepting {
					accepted++
				}
			}
		}
	}
	return entries, 2*listing > members, 2*accepted > members
}

// newerEntry reports whether a is a newer state of an entry instance than b.
func newerEntry(a, b *fleetv1.EntryInstance) bool {
	return a.StartedUnixMs > b.StartedUnixMs || (a.StartedUnixMs == b.StartedUnixMs && a.Sequence > b.Sequence)
}

// withNewestRateLimit returns newest with the newer rate limit of two announcements of
// one incarnation.
func withNewestRateLimit(newest, other *fleetv1.Announcement) *fleetv1.Announcement {
	if registry.DecodeRateLimit(other.RateLimit).Revision <= registry.DecodeRateLimit(newest.RateLimit).Revision {
		return newest
	}
	newest = proto.CloneOf(newest)
	newest.RateLimit = other.RateLimit
	return newest
}
