package kvcache

import (
	"time"
)

// FreeRequest is a request to a store to free a copy. The store rejects it if it
// has seen a higher fencing number.
type FreeRequest struct {
	Key           BlockKey
	Location      Location
	FencingNumber uint64
}

// BeginFree creates a request to free a block's copy in a store. It returns false if
// there is no sealed copy, if this instance is not the owner, or while a reader may
// hold a live read lease, granted by this owner or by an earlier one.
func (s *Shard) BeginFree(k BlockKey, store string, now time.Time) (FreeRequest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.blocks[k]
	if !ok || s.checkLease(now) != nil || now.Before(s.freeNotBefore) || s.sinceEpoch(now) <= b.leaseEnd {
		return FreeRequest{}, false
	}
	for i := range b.copies {
		c := &b.copies[i]
		if c.state != copySealed || s.stores[c.store] != store {
			continue
		}
		request := FreeRequest{Key: k, Location: s.location(b, c), FencingNumber: s.fencingNumber}
		c.state = copyFreeing
		c.expiresAt = s.sinceEpoch(now) + freeRetryInterval
		s.freeOps++
		return request, true
	}
	return FreeRequest{}, false
}

// CompleteFree records that a store has freed a copy. Between BeginFree and
// CompleteFree the copy occupies its slot and lookups do not return it.
func (s *Shard) CompleteFree(request FreeRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.blocks[request.Key]
	if !ok || request.FencingNumber != s.fencingNumber {
		return
	}
	s.freeOps++
	for i := range b.copies {
		c := &b.copies[i]
		if c.state == copyFreeing && s.location(b, c).sameAddress(request.Location) {
			s.updateCopy(b, c, copyRecord{})
		}
	}
}

// FreesToRetry returns the free requests whose outcome is still unknown after
// freeRetryInterval, so that they can be sent again.
func (s *Shard) FreesToRetry(now time.Time) []FreeRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.checkLease(now) != nil {
		return nil
	}
	var requests []FreeRequest
	for k, b := range s.blocks {
		for i := range b.copies {
			if c := &b.copies[i]; c.state == copyFreeing && c.expiresAt <= s.sinceEpoch(now) {
				requests = append(requests, FreeRequest{Key: k, Location: s.location(b, c), FencingNumber: s.fencingNumber})
			}
		}
	}
	return requests
}
