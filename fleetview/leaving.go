package fleetview

import (
	"time"

	"github.com/galenaarch/galenaarch/api/fleetv1"
)

const (
	// leavingReportPeriod is how long a leaving server is reported to the
	// control instances; one that starts meanwhile does not know of it yet.
	leavingReportPeriod = time.Minute
	// maxLeaving bounds the number of servers reported at once.
	maxLeaving = 256
)

// leavingServers holds the server incarnations that have told this process that
// they are leaving. It is guarded by the view's lock.
type leavingServers struct {
	incarnations []*fleetv1.ServerLife
	since        []time.Time
}

// current returns the incarnations to report to the control instances.
func (l *leavingServers) current(now time.Time) []*fleetv1.ServerLife {
	for len(l.since) > 0 && now.Sub(l.since[0]) > leavingReportPeriod {
		l.incarnations, l.since = l.incarnations[1:], l.since[1:]
	}
	return l.incarnations[:len(l.incarnations):len(l.incarnations)]
}

// ReportLeaving reports to all control instances, without waiting for the next
// poll, that an incarnation of a server is leaving.
func (v *View) ReportLeaving(server string, bornUnixMS int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.leaving.incarnations) >= maxLeaving {
		v.leaving.incarnations, v.leaving.since = v.leaving.incarnations[1:], v.leaving.since[1:]
	}
	v.leaving.incarnations = append(v.leaving.incarnations, &fleetv1.ServerLife{Server: server, BornUnixMs: bornUnixMS})
	v.leaving.since = append(v.leaving.since, time.Now())
	v.interruptPolls()
}
