package intake

import (
	"context"
	"slices"
	"sync"
	"time"
)

// idlePollInterval is how often CloseIdle looks for connections whose request has ended.
const idlePollInterval = 2 * time.Millisecond

// idleEnd ends a connection between two requests. Invariant: bytes that a read has brought reach a
// handler. net/http ends such a connection itself, at the error of its read.
type idleEnd struct {
	// mu is held while the phase changes between phaseHead and phaseArrived, so that a deadline is set
	// for no read but that of an idle connection.
	mu    sync.Mutex
	ended bool
}

// beginRead is called before a read. It reports whether net/http waits for bytes of a head, and
// whether the connection ends instead.
func (c *Conn) beginRead() (inHead, ends bool) {
	c.idleEnd.mu.Lock()
	defer c.idleEnd.mu.Unlock()
	if c.rejectedLate() {
		return false, true // the bytes that a read has missed are gone
	}
	c.phase.CompareAndSwap(phaseArrived, phaseHead)
	inHead = c.phase.Load() == phaseHead
	return inHead, inHead && c.idleEnd.ended && c.unhandled.bytes.Load() == 0
}

// arrived is called when a read has brought bytes of a head. It returns false if the connection has
// given way.
func (c *Conn) arrived() bool {
	c.idleEnd.mu.Lock()
	defer c.idleEnd.mu.Unlock()
	if !c.phase.CompareAndSwap(phaseHead, phaseArrived) {
		return false
	}
	if c.idleEnd.ended {
		c.unhandled.cause.Store(closeNone)
		_ = c.SetReadDeadline(time.Time{}) // fails if the connection is closed
	}
	return true
}

// endIdle ends the connection unless a request has begun to arrive.
func (c *Conn) endIdle() {
	if c.phase.Load() != phaseHead || c.unreadBytes() > 0 {
		return
	}
	c.idleEnd.mu.Lock()
	defer c.idleEnd.mu.Unlock()
	if c.phase.Load() != phaseHead || c.unhandled.bytes.Load() > 0 {
		return
	}
	c.idleEnd.ended = true
	c.unhandled.setCause(closeShutdownUnread)
	_ = c.SetReadDeadline(time.Unix(1, 0)) // fails if the connection is closed
}

// CloseIdle closes the connections of some listeners as they become idle, until none is open or ctx
// is done; then it closes those without a handler, and rejects what has arrived. Shutdown of
// http.Server, in contrast, closes connections whose request it has just read.
func (b *Budget) CloseIdle(ctx context.Context, listeners ...string) error {
	if b == nil {
		return nil
	}
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for {
		conns := b.connsOf(listeners)
		if len(conns) == 0 {
			return nil
		}
		for _, c := range conns {
			c.endIdle()
		}
		select {
		case <-ctx.Done():
			for _, c := range b.connsOf(listeners) {
				if c.rejectLate() {
					_ = c.Close() // the peer may have left
				}
			}
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// connsOf returns the open connections of some listeners, but those that wait for their peer.
func (b *Budget) connsOf(listeners []string) (conns []*Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.open {
		if slices.Contains(listeners, c.listener.name) && c.lingering.Load() == lingerNone {
			conns = append(conns, c)
		}
	}
	return conns
}
