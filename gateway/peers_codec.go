package gateway

import (
	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/placement"
)

func decodeMix(m *fleetv1.PromptMix) placement.MixWork {
	return placement.MixWork{Short: float64(m.GetShortTokens()), Long: float64(m.GetLongTokens())}
}

func encodeMix(m placement.MixWork) *fleetv1.PromptMix {
	return &fleetv1.PromptMix{ShortTokens: uint64(m.Short), LongTokens: uint64(m.Long)}
}

func decodeWork(work []*fleetv1.ServerWork) map[string]dispatch.Load {
	load := make(map[string]dispatch.Load, len(work))
	for _, s := range work {
		load[s.Server] = dispatch.Load{Requests: int(s.Requests), PrefillTokens: int(s.ReadingTokens), DeferredTokens: int(s.LaterTokens), MemoryTokens: int(s.HeldTokens), Rejections: int(s.Rejections)}
	}
	return load
}

func encodeWork(load map[string]dispatch.Load) []*fleetv1.ServerWork {
	work := make([]*fleetv1.ServerWork, 0, len(load))
	for server, l := range load {
		work = append(work, &fleetv1.ServerWork{
			Server: server, ReadingTokens: uint32(max(0, l.PrefillTokens)), LaterTokens: uint32(max(0, l.DeferredTokens)), HeldTokens: uint32(max(0, l.MemoryTokens)), Requests: uint32(max(0, l.Requests)), Rejections: uint32(max(0, l.Rejections)),
		})
	}
	return work
}
