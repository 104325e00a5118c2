package engine

import (
	"context"
	"sync"

	"github.com/galenaarch/galenaarch/internal/priority"
)

// gate admits a number of holders at once, lower priority numbers first and
// earlier arrivals before later ones.
type gate struct {
	mu      sync.Mutex
	free    int
	arrival uint64
	queue   *priority.Queue[*waiter]
}

type waiter struct {
	priority int
	arrival  uint64
	ready    chan struct{}
	item     *priority.Item[*waiter]
}

func newGate(n int) *gate { return &gate{free: n, queue: priority.New(sooner)} }

// enter waits for a place.
func (g *gate) enter(ctx context.Context, priority int) error {
	g.mu.Lock()
	if g.free > 0 && g.queue.Len() == 0 {
		g.free--
		g.mu.Unlock()
		return nil
	}
	g.arrival++
	w := &waiter{priority: priority, arrival: g.arrival, ready: make(chan struct{})}
	w.item = g.queue.Push(w)
	g.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		g.abandon(w)
		return ctx.Err()
	}
}

// abandon removes a waiter, or passes on the place it was just given.
func (g *gate) abandon(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Remove(w.item) {
		return
	}
	g.release()
}

// yield passes the place on if a more urgent waiter is there, and waits for it
// again. On an error the place is gone.
func (g *gate) yield(ctx context.Context, priority int) error {
	g.mu.Lock()
	if g.queue.Len() == 0 || g.queue.First().priority >= priority {
		g.mu.Unlock()
		return nil
	}
	g.release()
	g.mu.Unlock()
	return g.enter(ctx, priority)
}

// leave gives a place back.
func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.release()
}

func (g *gate) release() {
	if g.queue.Len() == 0 {
		g.free++
		return
	}
	w := g.queue.Pop()
	close(w.ready)
}

// sooner orders waiters by priority, then arrival.
func sooner(a, b *waiter) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	return a.arrival < b.arrival
}
