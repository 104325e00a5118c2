package intake

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Phases of a connection. Only a connection whose request is not whole gives way: another may
// already run.
const (
	// phaseHead: net/http has used all bytes that it has, or waits for more of them.
	phaseHead int32 = iota
	// phaseArrived lasts from a read that has brought bytes of a head to the next one: the head may be
	// whole.
	phaseArrived
	// phaseReady: the head is whole, and its handler is about to be called. net/http may already read
	// on, to notice a client that leaves.
	phaseReady
	phaseBody
	phaseWhole
	phaseGaveWay
	// phaseResponse lasts from the end of a handler until the next request is read: net/http may
	// still write the response, or read what the handler has left of the body.
	phaseResponse
)

// Conn is an accepted connection whose bytes are counted. A nil Conn counts nothing.
type Conn struct {
	net.Conn
	listener *Listener
	// address is the remote IP address.
	address string
	phase   atomic.Int32
	// held is what the present request holds, by kind.
	held [kindCount]atomic.Int64
	// pace is the connection's pace in nanoseconds of Unix time.
	pace atomic.Int64
	// leavingBytes is what the connection held when it was told to give way.
	leavingBytes atomic.Int64
	closed       atomic.Bool
	ends         sync.Once
	// body is that of the present request, nil if it has none; only its handler uses it.
	body       *body
	halfClose  halfClose
	acceptedAt time.Time
	unhandled  unhandled
	// headScan is used by reads of heads only.
	headScan headScan
	// rejectingHead is set while the rest of a head is read whose request is to be rejected.
	rejectingHead atomic.Bool
	idleEnd       idleEnd
	// rejected is set once respondLate has responded.
	rejected atomic.Bool
	// reading is the state of a read of a head.
	reading atomic.Int32
	// lingers is set if Close is to wait for the peer; lingering is the state of that wait.
	lingers   atomic.Bool
	lingering atomic.Int32
	// resets is set if Close is to reset the connection.
	resets atomic.Bool
	// rested is set once a request has ended; only the goroutine of net/http uses it.
	rested bool
}

// connKey is the key of a Conn in the context of its requests.
type connKey struct{}

// FromContext returns the connection of a request, nil if it is not counted.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// heldBytes returns what the present request holds.
func (c *Conn) heldBytes() (sum int64) {
	for i := range c.held {
		sum += c.held[i].Load()
	}
	return sum
}

// Read implements net.Conn. It counts heads, which net/http reads by itself.
func (c *Conn) Read(p []byte) (int, error) {
	inHead, ends := c.beginRead()
	if ends {
		return 0, os.ErrDeadlineExceeded
	}
	if inHead {
		c.reading.Store(readInProgress)
	}
	n, err := c.Conn.Read(p)
	if inHead && n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.readsOn() {
		n, err = c.Conn.Read(p)
	}
	if err == io.EOF && len(p) == backgroundReadSize && !inHead && !c.rejectingHead.Load() {
		err = c.awaitLeave()
	}
	if inHead {
		c.arrive(p[:max(n, 0)])
		c.unhandled.noteReadError(err)
		if !c.reading.CompareAndSwap(readInProgress, readNone) {
			return 0, c.closeInRead()
		}
		c.rejectSlowHead()
	}
	if n <= 0 {
		return n, err
	}
	now := time.Now()
	c.unhandled.readAt.Store(now.UnixNano())
	if inHead && !c.arrived() {
		c.reportClose(c.phase.Load())
		return 0, net.ErrClosed // it gave way as the bytes came
	}
	if inHead && c.held[Heads].Load() == 0 {
		c.pace.Store(now.UnixNano()) // the time between requests is no lag
	}
	c.pace.Store(pace{time.Unix(0, c.pace.Load())}.advance(n, now).at.UnixNano())
	if inHead || c.rejectingHead.Load() {
		size := int64(headFactor*n + headLineBytes*bytes.Count(p[:n], []byte{'\n'}))
		whole := c.headScan.write(p[:n])
		if (c.rejectingHead.Load() || c.listener.budget.take(c, Heads, size) != nil) && !c.rejectHead(size, whole) {
			c.unhandled.setCause(closeNoRoom)
			_ = c.Close() // its head has not come, or there are too many rejections
			return 0, net.ErrClosed
		}
		if c.closed.Load() {
			c.release()
			c.reportClose(c.phase.Load())
		}
	}
	return n, err
}

// States of the wait for a peer before a close.
const (
	lingerNone int32 = iota
	lingerInProgress
	lingerEnded
)

// linger ends the sending side, and closes once the peer has ended its own, or in time.
func (c *Conn) linger() {
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(unreadTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, maxUnread)
	c.lingering.Store(lingerEnded)
	_ = c.closeSocket()
}

// cutsResponse reports whether a close may take a response from its peer: unread bytes reset the connection, and
// so do those that come after the close. What is not sent by then is lost.
func (c *Conn) cutsResponse() bool {
	if c.resets.Load() {
		return false // it is to be cut
	}
	return c.unsentBytes() > 0 || c.phase.Load() >= phaseGaveWay && c.unreadBytes() > 0
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.lingering.Load() == lingerInProgress {
		return nil // linger closes it
	}
	c.ends.Do(func() { // another Close waits until a late request is rejected
		c.closed.Store(true)
		phase := c.phase.Load()
		c.rejectLate()
		if c.finishLate() {
			c.reportClose(phase)
		}
		c.release()
	})
	if c.reading.Load() == readCloses {
		return nil // the read closes it
	}
	return c.closeSocket()
}

// closeSocket closes the connection, or lets it wait for its peer first.
func (c *Conn) closeSocket() error {
	waits := (c.lingers.Load() || c.cutsResponse()) && c.listener.budget.mayLinger(c)
	c.idleEnd.mu.Lock() // a late rejection may be being sent, or another close may begin to wait
	if waits && c.lingering.CompareAndSwap(lingerNone, lingerInProgress) {
		go c.linger() // Close of http.Server must not wait
	}
	waits = c.lingering.Load() == lingerInProgress
	var err error
	if !waits {
		err = c.Conn.Close()
	}
	c.idleEnd.mu.Unlock()
	if !waits {
		c.listener.budget.remove(c)
		c.release() // it may have been told to give way until here
	}
	return err
}

// CloseWrite ends the sending side, so that net/http can wait for the peer to read an error.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SetLinger sets how Close treats unsent bytes: see net.TCPConn.
func (c *Conn) SetLinger(seconds int) error {
	c.resets.Store(seconds == 0)
	if l, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return l.SetLinger(seconds)
	}
	return nil
}

// mayGiveWay reports whether the connection's request is not whole.
func (c *Conn) mayGiveWay() bool {
	phase := c.phase.Load()
	return phase == phaseHead || phase == phaseBody
}

// rejectHead marks a request whose head finds no memory, so that it is rejected instead of handled.
// size is what the last bytes of the head take. It returns false if the head has not arrived whole,
// or if the rejections hold too much.
func (c *Conn) rejectHead(size int64, whole bool) bool {
	if !whole && c.unreadBytes() <= 0 {
		return false
	}
	budget := c.listener.budget
	budget.mu.Lock()
	defer budget.mu.Unlock()
	added := c.heldBytes() + size - c.leavingBytes.Load()
	if float64(budget.leaving.Load()+added) > (leavingShare+rejectionShare)*float64(budget.limits.bytes) {
		return false
	}
	if !c.rejectingHead.Load() && !c.phase.CompareAndSwap(phaseArrived, phaseGaveWay) {
		return false
	}
	c.rejectingHead.Store(!whole)
	c.put(Heads, size)
	c.leavingBytes.Add(added)
	budget.leaving.Add(added)
	return true
}

// giveWay ends the reading of the request. A connection without a whole head is closed, and what has arrived
// is rejected. The caller holds the budget's lock.
func (c *Conn) giveWay() {
	budget, closing := c.listener.budget, false
	if c.phase.CompareAndSwap(phaseBody, phaseGaveWay) {
		// The handler responds.
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails if the connection is closed
	} else if c.giveWayInHead() {
		closing = true
		go c.Close() // takes the budget's lock
	} else {
		return
	}
	held := c.heldBytes()
	if closing {
		held += connectionBytes
	}
	c.leavingBytes.Store(held)
	budget.leaving.Add(held)
	budget.countRefusal(reasonSlow)
}

// giveWayInHead claims a connection whose next bytes net/http waits for. Close rejects what has arrived.
func (c *Conn) giveWayInHead() bool {
	c.idleEnd.mu.Lock() // no read begins between the phase and the cause
	defer c.idleEnd.mu.Unlock()
	if !c.phase.CompareAndSwap(phaseHead, phaseGaveWay) {
		return false
	}
	c.unhandled.setCause(closeGaveWay)
	return true
}

// begin starts the handling of a request whose head has been read, and reports whether it may go
// on. whole is set if it has no body.
func (c *Conn) begin(whole bool) bool {
	next := phaseBody
	if whole {
		next = phaseWhole
	}
	if !c.phase.CompareAndSwap(phaseReady, next) && !c.phase.CompareAndSwap(phaseArrived, next) && !c.phase.CompareAndSwap(phaseResponse, next) {
		return false
	}
	c.unhandled.reset()
	c.headScan = headScan{}
	return true
}

// GaveWay reports whether the present request was told to give way to others.
func (c *Conn) GaveWay() bool { return c != nil && c.phase.Load() == phaseGaveWay }

// complete marks the request as whole. It returns false if the request has given way.
func (c *Conn) complete() bool {
	return c == nil || c.phase.CompareAndSwap(phaseBody, phaseWhole) || c.phase.Load() == phaseWhole
}

// end ends a request. A connection that has given way keeps its phase.
func (c *Conn) end() {
	c.release()
	c.pace.Store(time.Now().UnixNano())
	if !c.phase.CompareAndSwap(phaseWhole, phaseResponse) {
		c.phase.CompareAndSwap(phaseBody, phaseResponse)
	}
}

// release returns what the request holds.
func (c *Conn) release() {
	budget := c.listener.budget
	for kind := range c.held {
		if n := c.held[kind].Swap(0); n != 0 {
			budget.add(Kind(kind), -n)
		}
	}
	if c.phase.Load() == phaseGaveWay {
		budget.mu.Lock() // giveWay may not have finished
		defer budget.mu.Unlock()
		budget.leaving.Add(-c.leavingBytes.Swap(0))
	}
}

// take counts n bytes for the present request, or returns ErrNoRoom.
func (c *Conn) take(kind Kind, n int64) error {
	if c == nil {
		return nil
	}
	return c.listener.budget.take(c, kind, n)
}

// put counts n bytes whether there is room or not.
func (c *Conn) put(kind Kind, n int64) {
	if c != nil {
		c.listener.budget.add(kind, n)
		c.held[kind].Add(n)
	}
}

// Listener accepts connections within a budget.
type Listener struct {
	net.Listener
	name     string
	budget   *Budget
	timeouts func() (head, idle time.Duration)
	// echoHeader is the field that responses of a connection itself repeat; empty for none.
	echoHeader string
}

// Accept implements net.Listener. Connections beyond the bounds are closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		now := time.Now()
		c := &Conn{Conn: raw, listener: l, address: raw.RemoteAddr().String(), acceptedAt: now}
		if host, _, err := net.SplitHostPort(c.address); err == nil {
			c.address = host
		}
		c.pace.Store(now.UnixNano())
		c.unhandled.readAt.Store(now.UnixNano())
		c.halfClose.changed.L = &c.halfClose.mu
		why := l.budget.admit(c, now)
		if why == "" {
			return c, nil
		}
		l.budget.refuse(why)
		_ = raw.Close() // nothing has been read
	}
}

// headRead is called when net/http has read a head.
func (c *Conn) headRead() { c.phase.CompareAndSwap(phaseArrived, phaseReady) }

// rest makes a connection wait for its next request.
func (c *Conn) rest() {
	c.rested = true
	c.halfClose.set(interimUnknown)
	c.release()
	c.unhandled.reset()
	c.pace.Store(time.Now().UnixNano())
	c.headScan = headScan{}
	// Not phaseHead: the next request may have been read along with the last one.
	c.phase.CompareAndSwap(phaseResponse, phaseArrived)
}
