package upstream

import (
	"context"
	"errors"
	"time"
)

// Hold holds a connection, one that is idle or could be opened, for a request that is sent soon. It
// returns false if all of the pool are in use or held. The hold ends with Unhold, or with a request
// that is sent as Held.
func (p *Pool) Hold() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.allHeld() {
		return false
	}
	p.held++
	return true
}

// Unhold ends a hold that was not used.
func (p *Pool) Unhold() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held--
}

// allHeld reports whether all connections are in use or held. mu must be held.
func (p *Pool) allHeld() bool {
	return p.maxOpen > 0 && len(p.idle)+max(0, p.maxOpen-p.open) <= p.held
}

// claim is what a request may take of the connections of a pool. A nil claim may take any of them.
type claim struct {
	// held is set while a connection is held for the request.
	held bool
}

// mayTake reports whether a request may take a connection. mu must be held until it has.
func (p *Pool) mayTake(c *claim) bool { return c == nil || c.held || p.held == 0 || !p.allHeld() }

// endHold ends the hold of a request, if it has one. mu must be held.
func (p *Pool) endHold(c *claim) {
	if c != nil && c.held {
		c.held = false
		p.held--
	}
}

// take returns a connection for a request, and whether it was open before.
func (p *Pool) take(ctx context.Context, r *Request) (c *conn, reused bool, err error) {
	claimed := &claim{held: r.Held}
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.endHold(claimed)
	}()
	return p.connect(ctx, claimed, r.Identify)
}

// Prepare opens a connection for the next request, in place of an idle one if the pool may
// open no further one: an idle connection does not show that the server accepts requests.
// It fails if the server accepts no connection or all of the pool are in use.
func (p *Pool) Prepare(ctx context.Context) error {
	c, err := p.dialInPlace(ctx, nil)
	if err != nil {
		return err
	}
	p.putIdle(c)
	return nil
}

// Probe opens a connection like Prepare, but none that is held for a request, and fails also if the server, or a
// partition, closes the connection within hold, which is at least probeHold: a connection may be accepted and
// reset afterwards. Requests may use it after probeHold.
func (p *Pool) Probe(ctx context.Context, hold time.Duration) error {
	c, err := p.dialInPlace(ctx, &claim{})
	if err != nil {
		return err
	}
	time.Sleep(probeHold)
	if !c.reusable() {
		p.discardClosed(c)
		return &Error{Phase: PhaseDial, Address: p.address, Err: ErrClosedUnused}
	}
	p.putIdle(c)
	if hold <= probeHold {
		return nil
	}
	select {
	case <-time.After(hold - probeHold):
	case <-ctx.Done():
		return ErrProbeCut
	}
	return p.checkHeld(c)
}

// checkHeld reports whether a connection of a probe is still open.
func (p *Pool) checkHeld(c *conn) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case c.lost || !c.closed && !c.established():
		return &Error{Phase: PhaseDial, Address: p.address, Err: ErrClosedUnused}
	case c.closed:
		return ErrProbeCut
	}
	return nil
}

// ErrProbeCut reports a probe that shows nothing: it was ended, or this side closed its connection, before the
// connection had lived for long enough.
var ErrProbeCut = errors.New("probe ended early")

// ErrClosedUnused reports a connection that was closed before anything was sent on it.
var ErrClosedUnused = errors.New("connection was closed before it was used")

// probeHold is how long a probe watches a connection that was accepted before requests may use it.
const probeHold = 30 * time.Millisecond
