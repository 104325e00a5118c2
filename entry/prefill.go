package entry

import (
	"context"
	"sync"
	"time"

	"github.com/galenaarch/galenaarch/kvcache"
)

const (
	// minSharedBlocks is the shortest common prefix worth waiting for; blocks.
	minSharedBlocks = 2
	// maxPrefillWait bounds the wait for another request's prefill.
	maxPrefillWait = 2 * time.Second
	// assumedPrefillRate estimates how long computing a prefix again would
	// take; tokens per second.
	assumedPrefillRate = 8000
)

// prefill is a request whose prefix is being computed.
type prefill struct {
	blocks []kvcache.BlockKey
	done   chan struct{}
}

// prefills indexes the requests of this entry that wait for their first token
// by the blocks they compute.
type prefills struct {
	mu     sync.Mutex
	blocks map[kvcache.BlockKey]*prefill
}

func newPrefills() *prefills { return &prefills{blocks: make(map[kvcache.BlockKey]*prefill)} }

// longestMatch returns the prefill that shares the longest prefix with blocks
// and the length of that prefix in blocks. It returns nil if none shares at
// least minSharedBlocks.
func (ps *prefills) longestMatch(blocks []kvcache.BlockKey) (*prefill, int) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for i := len(blocks) - 1; i >= minSharedBlocks-1; i-- {
		if other, ok := ps.blocks[blocks[i]]; ok {
			return other, i + 1
		}
	}
	return nil, 0
}

// start registers the request's blocks that no other prefill computes.
func (ps *prefills) start(p *prompt) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if p.prefill != nil || len(p.blocks) < minSharedBlocks {
		return
	}
	p.prefill = &prefill{blocks: p.blocks, done: make(chan struct{})}
	for _, k := range p.blocks {
		if _, ok := ps.blocks[k]; !ok {
			ps.blocks[k] = p.prefill
		}
	}
}

// finish removes a request's prefill and releases the requests that wait for
// it, regardless of its outcome. It is idempotent.
func (ps *prefills) finish(p *prompt) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if p.prefill == nil {
		return
	}
	for _, k := range p.prefill.blocks {
		if ps.blocks[k] == p.prefill {
			delete(ps.blocks, k)
		}
	}
	close(p.prefill.done)
	p.prefill = nil
}

// awaitPrefill waits while another request of this entry computes the same
// prefix, but no longer than computing it again would take.
func (e *Entry) awaitPrefill(ctx context.Context, p *prompt) {
	other, blocks := e.prefills.longestMatch(p.blocks)
	if other == nil || other == p.prefill {
		return
	}
	recompute := time.Duration(float64(blocks*p.deployment.BlockTokens) / assumedPrefillRate * float64(time.Second))
	timer := time.NewTimer(min(recompute, maxPrefillWait))
	defer timer.Stop()
	select {
	case <-other.done:
	case <-timer.C:
	case <-ctx.Done():
	}
}
