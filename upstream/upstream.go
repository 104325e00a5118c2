// Package upstream holds the connections to backend servers. It sends a request
// once and says exactly how far it came: net/http's own client sends some
// requests again when a kept connection dies, which a call that may run once
// cannot bear.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Times of a connection.
const (
	// dialTimeout is far above a round trip within a region; a server that does
	// not take a connection in it is down or cut off.
	dialTimeout = 350 * time.Millisecond
	// unackedTimeout ends a connection whose peer acknowledges nothing: a cut
	// sends no reset.
	unackedTimeout = 1500 * time.Millisecond
	// probeIdle and probeInterval find a silent peer while an answer is awaited.
	probeIdle     = 2 * time.Second
	probeInterval = time.Second
	probeCount    = 2
	// idleLimit is how long a kept connection may lie unused where the server
	// states nothing; reuseMargin is the part of a stated time not used.
	idleLimit   = 4 * time.Second
	reuseMargin = 500 * time.Millisecond
)

// Sizes of buffers; bytes. Connections are many and messages mostly small.
const (
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
	// maxHead bounds the heads of one answer, the interim ones among them: four
	// times what the users' documents let a caller send. A server in trouble may
	// send a head without end.
	maxHead = 64 << 10
	// maxInterim bounds the interim answers before a final one.
	maxInterim = 8
)

// ErrHead says that an answer's head goes on beyond all bounds.
var ErrHead = errors.New("the head of the answer is too long")

// Step is how far a request came.
type Step int

// Steps of a request. Nothing has reached the server up to StepDial.
const (
	StepLimit Step = iota
	StepDial
	StepWrite
	StepAwait
	StepBody
)

// String implements fmt.Stringer.
func (s Step) String() string {
	return [...]string{"connection limit", "dial", "write", "await answer", "read body"}[s]
}

// Error says how far a request came and at which peer.
type Error struct {
	Step Step
	Peer string
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s at %s: %v", e.Step, e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Reached reports whether any byte may have reached the server.
func (e *Error) Reached() bool { return e.Step > StepDial }

// ErrLimit says that the pool may open no further connection.
var ErrLimit = errors.New("all connections are in use")

// Request is sent as it is: Target is the raw path and query.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
}

// metered is a connection that gives out at most so many bytes while a head is
// read.
type metered struct {
	net.Conn
	left    int
	bounded bool
}

// Read implements net.Conn.
func (m *metered) Read(b []byte) (int, error) {
	if !m.bounded {
		return m.Conn.Read(b)
	}
	if m.left <= 0 {
		return 0, ErrHead
	}
	n, err := m.Conn.Read(b[:min(len(b), m.left)])
	m.left -= n
	return n, err
}

// bound begins the reading of a head, free ends it.
func (m *metered) bound() { m.left, m.bounded = maxHead, true }
func (m *metered) free()  { m.bounded = false }

// conn is one connection; it carries one exchange at a time.
type conn struct {
	*metered
	reader *bufio.Reader
	writer *bufio.Writer
	idle   time.Time
	limit  time.Duration
}

// Pool holds the connections to one life of one backend server.
type Pool struct {
	address string
	dialer  net.Dialer

	mu     sync.Mutex
	idle   []*conn
	open   int
	max    int
	closed bool
	// dials counts connections made; they are dear at some servers.
	dials uint64
}

// NewPool returns a pool for an address that opens at most max connections; 0
// for no bound.
func NewPool(address string, max int) *Pool {
	return &Pool{address: address, max: max, dialer: net.Dialer{
		Timeout:         dialTimeout,
		Control:         control,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
	}}
}

func control(_, _ string, raw syscall.RawConn) error {
	var err error
	controlled := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(controlled, err)
}

// SetMax changes the bound on open connections.
func (p *Pool) SetMax(max int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.max = max
}

// Dials is the number of connections made so far.
func (p *Pool) Dials() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Close closes the idle connections; those in use end with their exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.Close()
	}
	p.open -= len(p.idle)
	p.idle = nil
}

// Trim closes connections that have lain idle for their limit.
func (p *Pool) Trim(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idle) < c.limit {
			kept = append(kept, c)
			continue
		}
		c.Close()
		p.open--
	}
	p.idle = kept
}

// take returns a kept connection that is alive, the last used first.
func (p *Pool) take() *conn {
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			return nil
		}
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if time.Since(c.idle) < c.limit && c.quiet() {
			return c
		}
		p.drop(c)
	}
}

// quiet reports whether the peer has neither closed the connection nor sent
// bytes that nobody asked for: those would be taken for the next answer.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.metered.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var one [1]byte
	var got error
	err = raw.Read(func(fd uintptr) bool {
		_, _, got = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	return err == nil && (errors.Is(got, unix.EAGAIN) || errors.Is(got, unix.EWOULDBLOCK))
}

func (p *Pool) drop(c *conn) {
	c.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

func (p *Pool) keep(c *conn) {
	c.idle = time.Now()
	p.mu.Lock()
	if !p.closed && c.limit > 0 {
		p.idle = append(p.idle, c)
		c = nil
	}
	p.mu.Unlock()
	if c != nil {
		p.drop(c)
	}
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	p.mu.Lock()
	if p.max > 0 && p.open >= p.max {
		p.mu.Unlock()
		return nil, &Error{Step: StepLimit, Peer: p.address, Err: ErrLimit}
	}
	p.open++
	p.dials++
	p.mu.Unlock()
	raw, err := p.dialer.DialContext(ctx, "tcp4", p.address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, &Error{Step: StepDial, Peer: p.address, Err: err}
	}
	m := &metered{Conn: raw}
	return &conn{metered: m, reader: bufio.NewReaderSize(m, readBuffer), writer: bufio.NewWriterSize(raw, writeBuffer), limit: idleLimit}, nil
}

// Send writes a request and waits for the head of its answer. The context
// bounds the whole exchange: when it ends, the connection is closed, by which
// the server learns that nobody waits. Errors are of type *Error.
func (p *Pool) Send(ctx context.Context, r *Request) (*Exchange, error) {
	c := p.take()
	if c == nil {
		var err error
		if c, err = p.dial(ctx); err != nil {
			return nil, err
		}
	}
	x := &Exchange{pool: p, conn: c}
	x.stop = context.AfterFunc(ctx, func() { c.Close() })
	if err := c.write(r); err != nil {
		// The server may answer before it has read the whole body.
		if x.Answer, _ = c.read(r); x.Answer == nil {
			x.Abandon()
			return nil, &Error{Step: StepWrite, Peer: p.address, Err: cause(ctx, err)}
		}
		x.broken = true
		return x, nil
	}
	answer, err := c.read(r)
	if err != nil {
		x.Abandon()
		return nil, &Error{Step: StepAwait, Peer: p.address, Err: cause(ctx, err)}
	}
	x.Answer = answer
	return x, nil
}

func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

func (c *conn) write(r *Request) error {
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
	w.Write(r.Body) // a failed write is kept by the writer until Flush
	return w.Flush()
}

// read returns the head of the final answer; interim ones are passed over.
func (c *conn) read(r *Request) (*http.Response, error) {
	c.bound()
	defer c.free()
	for range maxInterim + 1 {
		answer, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if answer.StatusCode >= http.StatusOK || answer.StatusCode == http.StatusSwitchingProtocols {
			return answer, nil
		}
	}
	return nil, ErrHead
}

// Exchange is a request whose answer has begun. It must be ended by Finish or
// Abandon.
type Exchange struct {
	// Answer has the head; its body is read through Read.
	Answer *http.Response

	pool   *Pool
	conn   *conn
	stop   func() bool
	whole  bool
	broken bool
	ended  bool
}

// Read reads the body. It returns io.EOF only after the whole body: a body
// without a length ends with a clean close of the connection.
func (x *Exchange) Read(b []byte) (int, error) {
	n, err := x.Answer.Body.Read(b)
	if errors.Is(err, io.EOF) {
		x.whole = true
	} else if err != nil {
		err = &Error{Step: StepBody, Peer: x.pool.address, Err: err}
	}
	return n, err
}

// Finish ends the exchange. The connection is kept if the body was read to its
// end, nothing follows it and the server keeps it too. idle is how long the
// server says that it keeps it; 0 if it says nothing.
func (x *Exchange) Finish(idle time.Duration) {
	if x.ended {
		return
	}
	c := x.conn
	reusable := x.whole && !x.broken && !x.Answer.Close && x.Answer.StatusCode != http.StatusSwitchingProtocols && c.reader.Buffered() == 0
	if !reusable || !x.stop() {
		x.Abandon()
		return
	}
	x.ended = true
	c.limit = idleLimit
	if idle > 0 {
		c.limit = min(idleLimit, idle-reuseMargin)
	}
	x.pool.keep(c)
}

// Abandon closes the connection.
func (x *Exchange) Abandon() {
	if x.ended {
		return
	}
	x.ended = true
	x.stop()
	x.pool.drop(x.conn)
}
