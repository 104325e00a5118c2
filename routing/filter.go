package routing

import (
	"time"

	"github.com/galenaarch/galenaarch/config"
)

func init() {
	register(FilterNamespace, "reserve", func() any { return &InteractiveReserve{} })
}

// Interface guard.
var _ Filter = (*InteractiveReserve)(nil)

// reservedSlotFraction is the fraction of a server's slots reserved for
// interactive requests.
const reservedSlotFraction = 0.25

// InteractiveReserve removes, for batch requests, the servers whose free slots are
// reserved for interactive requests. A batch request then waits at its entry until
// a server has capacity, so that no interactive request is queued behind it at a
// server.
type InteractiveReserve struct{}

// Filter implements Filter.
func (f *InteractiveReserve) Filter(r *Request, candidates []Candidate, now time.Time) []Candidate {
	if r.Priority != config.PriorityBatch {
		return candidates
	}
	admitted := candidates[:0]
	for _, c := range candidates {
		if hasBatchCapacity(r, &c, now) {
			admitted = append(admitted, c)
		}
	}
	return admitted
}

// hasBatchCapacity reports whether a server has a free slot for a batch request and
// this entry has not used up its share of the batch slots.
func hasBatchCapacity(r *Request, c *Candidate, now time.Time) bool {
	slots := int64(c.Server.Slots)
	if slots <= 0 {
		return true
	}
	batchSlots := max(1, slots-int64(reservedSlotFraction*float64(slots)))
	if c.Server.Backlog(now).Runs >= batchSlots {
		return false
	}
	entryShare := max(1, batchSlots/int64(max(1, r.Entries)))
	return c.Server.BatchInFlight() < entryShare
}
