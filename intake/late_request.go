package intake

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// lateResponse rejects a request that no handler sees because its connection gives way or ends, or its
// server ends. It can be sent again at once. The echoed field follows.
const lateResponse = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 0\r\nContent-Length: 0\r\n"

// States of a read of a head. Bytes that a read has taken from the socket are seen by nobody else until the
// read has recorded them, which may take long where the processors are busy.
const (
	readNone int32 = iota
	readInProgress
	// readCloses: the connection was to be closed meanwhile, and the read closes it.
	readCloses
)

// finishLate ends what rejectLate has begun for a connection of which nothing was known to have arrived: a
// read in progress, if there is one, closes it. It reports whether there is none.
func (c *Conn) finishLate() bool {
	c.idleEnd.mu.Lock()
	defer c.idleEnd.mu.Unlock()
	if cause, _ := c.unhandled.cause.Load().(closeCause); c.phase.Load() != phaseGaveWay || !cause.isLate() {
		return true // responded, or not rejected
	}
	if c.unhandled.first.Load() == 0 && c.reading.CompareAndSwap(readInProgress, readCloses) {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails if the connection is closed
		return false
	}
	c.respondLate() // a read may have ended meanwhile
	return true
}

// rejectedLate reports whether rejectLate has claimed the request. The caller holds idleEnd.mu.
func (c *Conn) rejectedLate() bool {
	cause, _ := c.unhandled.cause.Load().(closeCause)
	return c.phase.Load() == phaseGaveWay && (cause == closeLate || cause.isLate())
}

// wasRejectedLate is rejectedLate once the rejection has been sent.
func (c *Conn) wasRejectedLate() bool {
	c.idleEnd.mu.Lock()
	defer c.idleEnd.mu.Unlock()
	return c.rejectedLate()
}

// isLate reports whether a request that is closed for a cause is rejected.
func (c closeCause) isLate() bool {
	switch c {
	case closeShutdown, closeShutdownUnread, closeIdleTimeout, closeHeaderTimeout, closeGaveWay:
		return true
	}
	return false
}

// closeInRead ends a connection whose close was handed over to a read.
func (c *Conn) closeInRead() error {
	if c.unhandled.first.Load() != 0 {
		c.respondLate()
		c.reportClose(phaseHead)
	}
	_ = c.closeSocket() // the peer may have left
	return net.ErrClosed
}

// rejectLate rejects a request that was read in part or whole, or lies in the socket, as its server ends,
// or that crosses the end of the idle time. It reports whether the connection may be closed. net/http
// closes such a connection without a response, and its client cannot tell that the request has not run.
func (c *Conn) rejectLate() bool {
	c.idleEnd.mu.Lock() // no read goes on, and nobody else closes the connection, before the response is sent
	defer c.idleEnd.mu.Unlock()
	phase := c.phase.Load()
	for ; phase <= phaseReady; phase = c.phase.Load() {
		cause := c.unhandled.closeCause(phase)
		if !cause.isLate() {
			return true
		}
		// From here on no handler starts.
		if c.phase.CompareAndSwap(phase, phaseGaveWay) {
			c.unhandled.setCause(cause)
			c.respondLate()
			return true
		}
	}
	return false
}

// rejectSlowHead rejects a request whose head was not read in time. net/http takes a line that was read in part for
// a malformed one, and responds with 400.
func (c *Conn) rejectSlowHead() {
	if c.unhandled.cause.Load() == closeHeaderTimeout && isHTTP(byte(c.unhandled.opening.Load())) {
		phase := c.phase.Load()
		c.rejectLate()
		c.reportClose(phase)
	}
}

// respondLate sends the response if bytes of a request of HTTP have arrived.
func (c *Conn) respondLate() {
	c.discardUnread()
	if c.unhandled.first.Load() == 0 || !isHTTP(byte(c.unhandled.opening.Load())) || c.rejected.Swap(true) {
		return
	}
	if cause := c.unhandled.cause.Load(); cause != closeGaveWay && cause != closeHeaderTimeout {
		c.unhandled.cause.Store(closeLate)
	}
	response := lateResponse
	if value := c.unhandled.echo.found(); value != "" {
		response += c.listener.echoHeader + ": " + value + "\r\n"
	}
	c.writeNow(response + "\r\n")
}

// writeNow sends what the socket takes at once. A write with a deadline fails if the process stands still
// meanwhile.
func (c *Conn) writeNow(text string) {
	c.control(func(fd int) {
		_ = unix.Sendto(fd, []byte(text), unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL, nil) // the peer may have left, or not read
	})
}

// control calls a function with the socket, unless it is closed.
func (c *Conn) control(f func(fd int)) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := socket.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { f(int(fd)) }) // fails if the connection is closed
	}
}

// isHTTP reports whether a connection that starts with a byte may be one of HTTP/1, and not of TLS. Later bytes
// do not tell: a read may begin within a record.
func isHTTP(first byte) bool { return first >= ' ' }

// discardUnread reads what lies in the socket: a close with unread bytes resets the connection, and the
// peer may lose its response. It does not wait for a read in progress, as Read of net.Conn does.
func (c *Conn) discardUnread() {
	buffer := make([]byte, 4<<10)
	c.control(func(fd int) {
		for total := 0; total < maxUnread; {
			n, _, err := unix.Recvfrom(fd, buffer, unix.MSG_DONTWAIT)
			if err != nil || n == 0 {
				return
			}
			c.arrive(buffer[:n])
			total += n
		}
	})
}
