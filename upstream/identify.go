package upstream

import (
	"context"
	"errors"
	"io"
	"time"
)

// Identification is exchanged on a new connection before the first request that needs it. The
// connection ends with its server, so it is exchanged once.
type Identification struct {
	Request Request
	// Verify returns an error unless the response is that of the expected server.
	Verify func(status int, body []byte) error
	// OncePerPool is set if a connection is good enough that was opened while another one was
	// open, back to one that is identified: its server would have closed that one when it ended.
	// It leaves the time in which this process has not noticed the end.
	OncePerPool bool
}

// isIdentified reports whether a request needs no further identification, on whatever connection.
func (p *Pool) isIdentified(i *Identification) bool {
	if i == nil {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !i.OncePerPool || !p.identified {
		return false
	}
	p.examineIdle()
	return p.identified && p.open > 0
}

// maxIdentityBytes limits the response to an identification. A report lists the running requests,
// about 100 bytes each.
const maxIdentityBytes = 256 << 10

// errNotIdentified reports a response to an identification that has no end, or more behind it.
var errNotIdentified = errors.New("response to the identification has no end")

// errIdentifiedClosing reports an expected server that closes the connection behind its
// identification.
var errIdentifiedClosing = errors.New("connection ends with the identification")

// connect returns a connection for a request, and whether it was open before: an idle one only if
// the request needs no identification there.
func (p *Pool) connect(ctx context.Context, claimed *claim, i *Identification) (c *conn, reused bool, err error) {
	c = p.takeIdleFor(claimed, !p.isIdentified(i))
	if c != nil && (c.identified || p.isIdentified(i)) {
		return c, true, nil
	}
	if c != nil { // others were found closed
		p.discard(c)
	}
	if c, err = p.dialInPlace(ctx, claimed); err != nil || p.isIdentified(i) {
		return c, false, err
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	err = p.identify(c, i)
	stop()
	if err == nil {
		return c, false, nil
	}
	p.discard(c)
	if errors.Is(err, errIdentifiedClosing) {
		// A leaving server closes each connection. That it ends and another one starts in the
		// round trip until the next connection is open is not noticed.
		c, err = p.dialInPlace(ctx, claimed)
		return c, false, err
	}
	return nil, false, &Error{Phase: PhaseIdentify, Address: p.address, Err: cause(ctx, err)}
}

// confirm calls f for a connection, which it closes if the request must not be sent on it: also if the server
// has closed it meanwhile, as it may have ended.
func (p *Pool) confirm(ctx context.Context, c *conn, f func(ctx context.Context, openedAt time.Time) error) error {
	err := f(ctx, c.openedAt)
	if err == nil && c.reusable() {
		return nil
	}
	if err == nil {
		err = ErrClosedUnused
		p.discardClosed(c)
	} else {
		p.discard(c)
	}
	return &Error{Phase: PhaseIdentify, Address: p.address, Err: cause(ctx, err)}
}

// admit calls f, and keeps the connection for other requests if this one must not be sent.
func (p *Pool) admit(c *conn, f func() error) error {
	err := f()
	if err == nil {
		return nil
	}
	p.putIdle(c)
	return &Error{Phase: PhaseIdentify, Address: p.address, Err: err}
}

// identify exchanges an identification on a new connection.
func (p *Pool) identify(c *conn, i *Identification) error {
	if err := c.writeRequest(&i.Request); err != nil {
		return err
	}
	resp, err := c.readResponse(&i.Request)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxIdentityBytes+1))
	if err != nil {
		return err
	}
	if err := i.Verify(resp.StatusCode, body); err != nil {
		return err
	}
	if len(body) > maxIdentityBytes || c.reader.Buffered() > 0 {
		return errNotIdentified
	}
	if resp.Close {
		return errIdentifiedClosing
	}
	c.identified = true
	p.mu.Lock()
	defer p.mu.Unlock()
	p.identified = true
	return nil
}
