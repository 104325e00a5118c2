package state

import (
	"maps"
	"slices"

	"github.com/galenaarch/galenaarch/api/controlv1"
)

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// acquireLease grants a free or expired lease with a new fencing number, or
// renews a held one. The term is counted from the log time at which the leader
// received the request; the holder counts it from the earlier send time.
func (s *State) acquireLease(req *controlv1.AcquireLeaseRequest) *controlv1.AcquireLeaseResponse {
	held, ok := s.leases[req.Name]
	live := ok && held.ExpiresUnixMs > s.nowMS
	renewal := live && held.Holder == req.Holder && sameGrant(held, req)
	if live && !renewal {
		return &controlv1.AcquireLeaseResponse{
			Holder:      held.Holder,
			RemainingMs: uint32(held.ExpiresUnixMs - s.nowMS),
		}
	}
	number := held.GetFencingNumber()
	if !renewal {
		// Invariant: fencing numbers strictly increase across all leases.
		s.lastFencing++
		number = s.lastFencing
	}
	s.leases[req.Name] = &controlv1.LeaseStatus{
		Name:          req.Name,
		Holder:        req.Holder,
		FencingNumber: number,
		ExpiresUnixMs: s.nowMS + int64(req.TermMs),
		Note:          req.Note,
		AcquireId:     req.AcquireId,
	}
	if renewal && req.AcquireId == "" {
		s.leases[req.Name].AcquireId = held.AcquireId
	}
	return &controlv1.AcquireLeaseResponse{
		Granted:       true,
		FencingNumber: number,
		Holder:        req.Holder,
		RemainingMs:   req.TermMs,
	}
}

// sameGrant reports whether a request renews the held grant, or is a retry of the
// granted request, whose response was lost.
func sameGrant(held *controlv1.LeaseStatus, req *controlv1.AcquireLeaseRequest) bool {
	if req.FencingNumber != 0 {
		return held.FencingNumber == req.FencingNumber
	}
	return req.AcquireId != "" && held.AcquireId == req.AcquireId
}

func (s *State) releaseLease(req *controlv1.ReleaseLeaseRequest) *controlv1.ReleaseLeaseResponse {
	held, ok := s.leases[req.Name]
	if !ok || held.Holder != req.Holder || held.FencingNumber != req.FencingNumber {
		return &controlv1.ReleaseLeaseResponse{}
	}
	delete(s.leases, req.Name)
	return &controlv1.ReleaseLeaseResponse{Released: true}
}
