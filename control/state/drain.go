package state

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/controlv1"
)

// maxDrains bounds the drain requests of one environment.
const maxDrains = 1024

type drainKey struct {
	target controlv1.DrainTarget
	name   string
}

func newDrainKey(target controlv1.DrainTarget, name string) drainKey { return drainKey{target, name} }

// requestDrain adds or ends a drain request. A repeated request replaces the
// earlier one but keeps its request time and progress.
func (e *environment) requestDrain(req *controlv1.RequestDrainRequest, nowMS int64) *controlv1.RequestDrainResponse {
	if req.Drain == nil {
		return &controlv1.RequestDrainResponse{Reason: "names no drain"}
	}
	r := e.routing
	key := newDrainKey(req.Drain.Target, req.Drain.Name)
	previous, ok := r.drains[key]
	// A new epoch ends the stewards' long polls at once.
	r.epoch++
	if req.End {
		delete(r.drains, key)
		return &controlv1.RequestDrainResponse{Accepted: true}
	}
	if !ok && len(r.drains) >= maxDrains {
		return &controlv1.RequestDrainResponse{Reason: "too many drain requests"}
	}
	drain := proto.CloneOf(req.Drain)
	drain.RequestedUnixMs = nowMS
	if ok {
		drain.RequestedUnixMs = previous.Request.RequestedUnixMs
	}
	r.drains[key] = &controlv1.DrainStatus{Request: drain, Progress: previous.GetProgress()}
	return &controlv1.RequestDrainResponse{Accepted: true}
}

// updateDrainProgress replaces the progress of the requesting deployment in a
// drain.
func (c *routingChange) updateDrainProgress(p *controlv1.DrainProgress) {
	drain, ok := c.drains[newDrainKey(p.Target, p.Name)]
	if !ok {
		return
	}
	p = proto.CloneOf(p)
	p.Deployment = c.req.Deployment
	progress := slices.DeleteFunc(slices.Clone(drain.Progress), func(x *controlv1.DrainProgress) bool {
		return x.Deployment == p.Deployment
	})
	progress = append(progress, p)
	slices.SortFunc(progress, func(a, b *controlv1.DrainProgress) int { return strings.Compare(a.Deployment, b.Deployment) })
	c.drains[newDrainKey(p.Target, p.Name)] = &controlv1.DrainStatus{Request: drain.Request, Progress: progress}
}

func (r *routing) sortedDrains() []*controlv1.DrainStatus {
	keys := slices.SortedFunc(maps.Keys(r.drains), func(a, b drainKey) int {
		return cmp.Or(cmp.Compare(a.target, b.target), strings.Compare(a.name, b.name))
	})
	list := make([]*controlv1.DrainStatus, 0, len(keys))
	for _, k := range keys {
		list = append(list, r.drains[k])
	}
	return list
}
