package fleetview

import (
	"time"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/dispatch"
)

// startTime is how long after its start a process learns of documents that were accepted before.
const startTime = 5 * time.Second

// WeightTargets returns the targets of a model with those in a document that names weights. startedAt is when this process
// started, longestAge the age above which it does not matter when a version was named.
//
// A version that is seen as it is published counts from now. That is also right where the clocks of machines differ; the
// time of its acceptance is used only for those that were published before this process looked.
func WeightTargets(known dispatch.WeightTargets, d *controlv1.PublishedDocument, startedAt, now time.Time, longestAge time.Duration) dispatch.WeightTargets {
	accepted := func(unixMs int64) time.Time {
		age := time.Duration(0)
		if unixMs > 0 {
			age = min(max(0, now.Sub(time.UnixMilli(unixMs))), longestAge)
		}
		at := now.Add(-age)
		if len(known) > 0 && at.Before(known[len(known)-1].Since) {
			at = known[len(known)-1].Since
		}
		return at
	}
	for _, e := range d.Earlier {
		known = known.With(e.Version, accepted(e.AcceptedUnixMs))
	}
	if now.Sub(startedAt) < startTime {
		return known.With(d.Version, accepted(d.AcceptedUnixMs))
	}
	return known.With(d.Version, now)
}
