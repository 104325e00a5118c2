package registry

import (
	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/dispatch"
)

// DecodeRateLimit decodes what a server states; nil stands for no statement.
func DecodeRateLimit(l *fleetv1.RateLimit) dispatch.StatedLimit {
	return dispatch.StatedLimit{
		RateLimit:   dispatch.RateLimit{Limited: l.GetLimited(), PerSecond: l.GetPerSecond()},
		Brittleness: dispatch.Brittleness{Brittle: l.GetBrittle(), MaxRejections: int(l.GetMaxRejections())},
		Revision:    l.GetRevision(),
	}
}

// EncodeRateLimit is the inverse of DecodeRateLimit.
func EncodeRateLimit(l dispatch.StatedLimit) *fleetv1.RateLimit {
	return &fleetv1.RateLimit{Limited: l.Limited, PerSecond: l.PerSecond, Revision: l.Revision, Brittle: l.Brittle, MaxRejections: uint32(max(0, l.MaxRejections))}
}
