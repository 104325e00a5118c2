// Package upstream manages the connections to backend servers. It sends a request
// exactly once and reports how far it got: net/http's client resends some requests
// when a kept-alive connection fails, which is not acceptable for calls that may run
// only once.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/galenaarch/galenaarch/framing"
)

// Timeouts of a connection.
const (
	// dialTimeout is far above a round trip within a region; a server that accepts no
	// connection in that time is down or partitioned.
	dialTimeout = 350 * time.Millisecond
	// unackedTimeout closes a connection whose peer acknowledges nothing: a network
	// partition sends no reset. It is set as TCP_USER_TIMEOUT, which also decides when
	// keep-alive probes give up, whatever their number. A sound server may be silent for
	// two seconds: unackedTimeout is above the time of the retransmission after that (3 s, at
	// 200 ms before the first), and above keepAliveIdle and those two seconds, so that a probe comes
	// after it.
	unackedTimeout = 4500 * time.Millisecond
	// keepAliveIdle and keepAliveInterval detect a silent peer while a response is
	// awaited.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	// defaultIdleTimeout is how long a connection is kept idle if the server states
	// no timeout; reuseMargin is subtracted from a stated one.
	defaultIdleTimeout = 4 * time.Second
	reuseMargin        = 500 * time.Millisecond
)

// Buffer sizes and header limits, in bytes. Connections are many and messages mostly
// small.
const (
	readBufferSize  = 4 << 10
	writeBufferSize = 4 << 10
	// maxHeaderBytes limits the headers of one response, including interim ones: four
	// times the request headers that site documents allow. A faulty server may send an
	// endless header.
	maxHeaderBytes = 64 << 10
)

// ErrHeaderTooLarge reports response headers that exceed the size limit.
var ErrHeaderTooLarge = errors.New("response header exceeds the size limit")

// Phase is how far a request got.
type Phase int

// Phases of a request. In the first three, no byte of it has been sent.
const (
	PhaseConnectionLimit Phase = iota
	PhaseDial
	PhaseIdentify
	PhaseWrite
	PhaseAwaitResponse
	PhaseReadBody
)

// String implements fmt.Stringer.
func (p Phase) String() string {
	return [...]string{"connection limit", "dial", "identify", "write", "await answer", "read body"}[p]
}

// Error reports the phase in which a request failed, and the peer.
type Error struct {
	Phase   Phase
	Address string
	Err     error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s at %s: %v", e.Phase, e.Address, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Reached reports whether any byte may have reached the server.
func (e *Error) Reached() bool { return e.Phase > PhaseIdentify }

// ErrConnectionLimit reports that the pool may open no further connection.
var ErrConnectionLimit = errors.New("all connections are in use")

// Request is a request to a server. It is sent unchanged: Target is the raw path and
// query.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// Identify is set if the request must not reach a server that has restarted.
	Identify *Identification
	// Confirm, if it is set, is called while a connection is open whose dial began at openedAt, before
	// anything of the request is sent on it. If it returns an error the request is not sent.
	Confirm func(ctx context.Context, openedAt time.Time) error
	// Admit, if it is set, is called immediately before the request is written. If it returns an error
	// nothing is sent and the connection is kept.
	Admit func() error
	// Sent, if it is set, is called immediately before the request is written, after Admit.
	// responseWaits reports whether bytes of the response have arrived that are not read yet; it may be
	// called at any time.
	Sent func(responseWaits func() bool)
	// Held is set if the request uses a connection held by Hold. Send uses it up in any case.
	Held bool
}

// conn is one connection; it carries one exchange at a time.
type conn struct {
	*headerLimitedConn
	reader      *bufio.Reader
	writer      *bufio.Writer
	idleSince   time.Time
	idleTimeout time.Duration
	// identified is set once an Identification has been exchanged.
	identified bool
	// openedAt is when the dial began, connectedAt when it ended, as the time since epoch.
	openedAt    time.Time
	connectedAt time.Duration
	// Guarded by the pool's mu: closed is set once this side has closed the connection, ended once either has been
	// seen to, and lastResponse once the server has said that it will.
	closed, ended, lastResponse bool
	// reset is set once an idle connection was found to be reset.
	reset bool
	// lost is set once the server was found to have closed the connection. mu guards it.
	lost bool
}

// Pool holds the connections to one incarnation of one backend server.
type Pool struct {
	address string
	dialer  net.Dialer

	mu   sync.Mutex
	idle []*conn
	// conns are the connections that are idle or in use; open counts those being opened as well.
	conns   map[*conn]struct{}
	open    int
	maxOpen int
	// held counts the connections that are held for requests, see Hold.
	held   int
	closed bool
	// lostAt and endedAt are described at LostAt and EndedAt.
	lostAt, endedAt time.Time
	// dials counts the connections opened; opening one is expensive at some servers.
	dials uint64
	// identified is set while connections have been open without a break since one was
	// identified.
	identified bool
}

// NewPool returns a pool for an address that opens at most maxOpen connections; 0 for
// no limit.
func NewPool(address string, maxOpen int) *Pool {
	return &Pool{address: address, maxOpen: maxOpen, conns: make(map[*conn]struct{}), dialer: net.Dialer{
		Timeout:         dialTimeout,
		Control:         func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, unackedTimeout) },
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval},
	}}
}

func setUserTimeout(raw syscall.RawConn, d time.Duration) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	return errors.Join(controlErr, err)
}

// SetMax changes the limit on open connections; 0 for no limit.
func (p *Pool) SetMax(maxOpen int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxOpen = maxOpen
}

// DialCount returns the number of connections opened so far, including failed dials.
func (p *Pool) DialCount() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Close closes the idle connections; those in use are closed when their exchange
// ends.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.drop(c)
	}
	p.idle = nil
}

// drop closes a connection that is not idle, or no longer. mu must be held.
func (p *Pool) drop(c *conn) {
	c.Close()
	c.closed = true
	delete(p.conns, c)
	p.open--
	p.identified = p.identified && p.open > 0
}

// CloseIdle closes connections whose idle timeout has passed.
func (p *Pool) CloseIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleSince) < c.idleTimeout {
			kept = append(kept, c)
			continue
		}
		p.drop(c)
	}
	p.idle = kept
}

// takeIdle returns a live idle connection, the most recently used first, or of the identified ones.
func (p *Pool) takeIdle(identified bool) *conn { return p.takeIdleFor(nil, identified) }

// takeIdleFor is takeIdle for a request.
func (p *Pool) takeIdleFor(claimed *claim, identified bool) *conn {
	for {
		p.mu.Lock()
		n := len(p.idle) - 1
		for identified && n >= 0 && !p.idle[n].identified {
			n--
		}
		if n < 0 || !p.mayTake(claimed) {
			p.mu.Unlock()
			return nil
		}
		c := p.idle[n]
		p.idle = slices.Delete(p.idle, n, n+1)
		p.endHold(claimed)
		p.mu.Unlock()
		expired := c.expired()
		if !expired && c.reusable() {
			return c
		}
		if expired {
			p.discard(c)
		} else {
			p.discardClosed(c)
		}
	}
}

// expired reports whether the connection has been idle for too long to be used.
func (c *conn) expired() bool { return time.Since(c.idleSince) >= c.idleTimeout }

// reusable reports whether the peer has neither closed the connection nor sent
// unsolicited bytes, which would be mistaken for the next response.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.headerLimitedConn.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var peek [1]byte
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		_, _, peekErr = unix.Recvfrom(int(fd), peek[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	if err != nil || !errors.Is(peekErr, unix.EAGAIN) && !errors.Is(peekErr, unix.EWOULDBLOCK) {
		c.reset = c.reset || errors.Is(peekErr, unix.ECONNRESET)
		return false
	}
	c.noteAlive()
	return true
}

func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(c)
}

// discardClosed discards a connection that the server has closed.
func (p *Pool) discardClosed(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(c)
	p.noteClosed(c)
}

// discardBroken discards a connection whose exchange does not end with a whole response.
func (p *Pool) discardBroken(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.identified = false
	p.noteIfClosed(c)
	p.drop(c)
}

// noteIfClosed is noteClosed for a connection in use, if the server has closed it without having said so.
// mu must be held.
func (p *Pool) noteIfClosed(c *conn) {
	if c.closed || c.lastResponse || c.established() {
		return
	}
	delete(p.conns, c)
	p.noteClosed(c)
}

func (p *Pool) putIdle(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	if !p.closed && c.idleTimeout > 0 {
		p.idle = append(p.idle, c)
		c = nil
	}
	p.mu.Unlock()
	if c != nil {
		p.discard(c)
	}
}

func (p *Pool) dial(ctx context.Context, claimed *claim) (*conn, error) {
	p.mu.Lock()
	if p.maxOpen > 0 && p.open >= p.maxOpen || !p.mayTake(claimed) {
		p.mu.Unlock()
		return nil, &Error{Phase: PhaseConnectionLimit, Address: p.address, Err: ErrConnectionLimit}
	}
	p.open++
	p.dials++
	p.endHold(claimed)
	p.mu.Unlock()
	openedAt := time.Now()
	raw, err := p.dialer.DialContext(ctx, "tcp4", p.address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.open--
		if errors.Is(err, syscall.ECONNREFUSED) {
			p.noteEnd(openedAt.Sub(epoch), true)
		}
		return nil, &Error{Phase: PhaseDial, Address: p.address, Err: err}
	}
	limited := &headerLimitedConn{Conn: raw}
	limited.noteAlive()
	c := &conn{headerLimitedConn: limited, reader: bufio.NewReaderSize(limited, readBufferSize), writer: bufio.NewWriterSize(raw, writeBufferSize), idleTimeout: defaultIdleTimeout, openedAt: openedAt, connectedAt: time.Since(epoch)}
	p.conns[c] = struct{}{}
	return c, nil
}

// dialInPlace opens a connection, in place of an idle one if the pool may open no further one.
func (p *Pool) dialInPlace(ctx context.Context, claimed *claim) (*conn, error) {
	c, err := p.dial(ctx, claimed)
	if !errors.Is(err, ErrConnectionLimit) {
		return c, err
	}
	idle := p.takeIdleFor(claimed, false)
	if idle == nil {
		return nil, err
	}
	p.discard(idle)
	return p.dial(ctx, claimed)
}

// Send writes a request and waits for the response headers. The context bounds the
// whole exchange: when it ends, the connection is closed, which tells the server that
// the response is no longer wanted. Errors are of type *Error.
func (p *Pool) Send(ctx context.Context, r *Request) (*Exchange, error) {
	c, reused, err := p.take(ctx, r)
	if err == nil && r.Confirm != nil {
		err = p.confirm(ctx, c, r.Confirm)
	}
	if err == nil && r.Admit != nil {
		err = p.admit(c, r.Admit)
	}
	if err != nil {
		return nil, err
	}
	x := &Exchange{pool: p, conn: c, Reused: reused}
	x.stop = context.AfterFunc(ctx, func() { p.cancel(c) })
	if r.Sent != nil {
		r.Sent(x.responseWaits)
	}
	if err := c.writeRequest(r); err != nil {
		// The server may respond before it has read the whole body.
		if x.Response, _ = c.readResponse(r); x.Response == nil {
			x.Abandon()
			return nil, &Error{Phase: PhaseWrite, Address: p.address, Err: cause(ctx, err)}
		}
		x.writeErr = cause(ctx, err)
		return x, nil
	}
	resp, err := c.readResponse(r)
	if err != nil {
		x.Abandon()
		return nil, &Error{Phase: PhaseAwaitResponse, Address: p.address, Err: cause(ctx, err)}
	}
	x.Response = resp
	if strings.EqualFold(resp.Header.Get("Connection"), "close") {
		p.noteLastResponse(c)
	}
	return x, nil
}

// noteLastResponse records that the server closes a connection with the response.
func (p *Pool) noteLastResponse(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.lastResponse = true
}

// cancel closes a connection that is in use.
func (p *Pool) cancel(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteIfClosed(c)
	c.Close()
	c.closed = true
}

func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

func (c *conn) writeRequest(r *Request) error {
	w := c.writer
	w.WriteString(r.Method)
	w.WriteByte(' ')
	w.WriteString(r.Target)
	w.WriteString(" HTTP/1.1\r\nHost: ")
	w.WriteString(r.Host)
	w.WriteString("\r\n")
	if err := r.Header.Write(w); err != nil {
		return err
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		w.WriteString("Content-Length: ")
		w.WriteString(strconv.Itoa(len(r.Body)))
		w.WriteString("\r\n")
	}
	w.WriteString("\r\n")
	w.Write(r.Body) // a write error is sticky until Flush
	return w.Flush()
}

// readResponse reads the headers of the final response.
func (c *conn) readResponse(r *Request) (*http.Response, error) {
	c.startLimit()
	defer c.endLimit()
	var responses framing.ResponseReader
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if final, err := responses.IsFinal(resp.StatusCode, resp.Header, resp.TransferEncoding); err != nil {
			return nil, err
		} else if final {
			return resp, nil
		}
	}
}
