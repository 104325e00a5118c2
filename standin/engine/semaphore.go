package engine

import (
	"context"
	"sync"

	"github.com/galenaarch/galenaarch/internal/priority"
)

// semaphore limits the number of concurrent holders. Waiters with a lower
// priority number are admitted first, and in order of arrival within a priority.
type semaphore struct {
	mu sync.Mutex
	// free is the number of slots that nobody holds.
	free        int
	lastArrival uint64
	queue       *priority.Queue[*waiter]
}

// waiter is a caller that waits for a slot.
type waiter struct {
	priority int
	arrival  uint64
	// ready is closed when the waiter gets a slot.
	ready chan struct{}
	item  *priority.Item[*waiter]
}

func newSemaphore(n int) *semaphore { return &semaphore{free: n, queue: priority.New(waiterLess)} }

// acquire waits for a slot. It returns an error if the context ends first.
func (s *semaphore) acquire(ctx context.Context, priority int) error {
	s.mu.Lock()
	if s.free > 0 && s.queue.Len() == 0 {
		s.free--
		s.mu.Unlock()
		return nil
	}
	s.lastArrival++
	w := &waiter{priority: priority, arrival: s.lastArrival, ready: make(chan struct{})}
	w.item = s.queue.Push(w)
	s.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		s.cancelWaiter(w)
		return ctx.Err()
	}
}

// cancelWaiter removes a waiter. If the waiter was granted a slot meanwhile, the
// slot is released.
func (s *semaphore) cancelWaiter(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue.Remove(w.item) {
		return
	}
	s.releaseLocked()
}

// yield releases the slot if a more urgent request waits, and acquires it again. If
// it returns an error, the caller no longer holds a slot.
func (s *semaphore) yield(ctx context.Context, priority int) error {
	s.mu.Lock()
	if s.queue.Len() == 0 || s.queue.Peek().priority >= priority {
		s.mu.Unlock()
		return nil
	}
	s.releaseLocked()
	s.mu.Unlock()
	return s.acquire(ctx, priority)
}

// release returns a slot.
func (s *semaphore) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

// releaseLocked passes the slot to the first waiter, or frees it if none waits. The
// caller must hold s.mu.
func (s *semaphore) releaseLocked() {
	if s.queue.Len() == 0 {
		s.free++
		return
	}
	w := s.queue.Pop()
	close(w.ready)
}

// waiterLess orders waiters by priority, then by arrival.
func waiterLess(a, b *waiter) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	return a.arrival < b.arrival
}
