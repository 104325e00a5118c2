package upstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/galenaarch/galenaarch/framing"
	"golang.org/x/sys/unix"
)

// Exchange is a request whose response has begun. It must be ended by Finish or
// Abandon, and is not safe for concurrent use but for responseWaits.
type Exchange struct {
	// Response holds the status and headers; the body is read through Read.
	Response *http.Response
	// Reused is set if the connection was open before the request.
	Reused bool

	pool *Pool
	conn *conn
	// stop ends the watch of the context; it returns false if the context has already
	// closed the connection.
	stop         func() bool
	bodyComplete bool
	// writeErr is the error of a request that was not written to its end; nil if it was.
	writeErr error
	ended    atomic.Bool
}

// responseWaits reports whether bytes of the response lie in the socket. A process that stood still
// has not read what came meanwhile.
func (x *Exchange) responseWaits() bool {
	return !x.ended.Load() && x.conn.queued(unix.TIOCINQ) > 0
}

// Read reads the body. It returns io.EOF only after the whole body: a body without a
// length ends with a clean close of the connection by a server that took the whole request.
func (x *Exchange) Read(b []byte) (int, error) {
	n, err := x.Response.Body.Read(b)
	ended := errors.Is(err, io.EOF)
	if ended && framing.CloseDelimited(x.Response) {
		if broken := framing.CheckClose(x.writeErr, x.conn.unsent()); broken != nil {
			ended, err = false, broken
		}
	}
	if ended {
		x.bodyComplete = true
	} else if err != nil {
		err = &Error{Phase: PhaseReadBody, Address: x.pool.address, Err: err}
	}
	return n, err
}

// unsent returns how many bytes the peer's system has not acknowledged; 0 if that is not known.
func (c *conn) unsent() int { return c.queued(unix.SIOCOUTQ) }

// queued returns the length of a queue of the socket; 0 if that is not known.
func (c *conn) queued(queue uint) int {
	raw, err := c.headerLimitedConn.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 0
	}
	length := 0
	err = raw.Control(func(fd uintptr) {
		if n, ioctlErr := unix.IoctlGetInt(int(fd), queue); ioctlErr == nil {
			length = n
		}
	})
	if err != nil {
		return 0
	}
	return length
}

// Finish ends the exchange. The connection is kept if the body was read to its end,
// nothing follows it and the server keeps it open too. idle is the server's stated
// idle timeout; 0 if it states none.
func (x *Exchange) Finish(idle time.Duration) {
	if x.ended.Load() {
		return
	}
	c := x.conn
	reusable := x.bodyComplete && x.writeErr == nil && !x.Response.Close && c.reader.Buffered() == 0
	if !reusable || !x.stop() {
		x.Abandon()
		return
	}
	x.ended.Store(true)
	c.idleTimeout = defaultIdleTimeout
	if idle > 0 {
		c.idleTimeout = min(defaultIdleTimeout, idle-reuseMargin)
	}
	x.pool.putIdle(c)
}

// OpenedAt returns when the connection of the exchange was opened.
func (x *Exchange) OpenedAt() time.Time { return x.conn.openedAt }

// Abandon ends the exchange and closes its connection.
func (x *Exchange) Abandon() {
	if x.ended.Load() {
		return
	}
	x.ended.Store(true)
	x.stop()
	if x.bodyComplete {
		x.pool.discard(x.conn)
	} else {
		x.pool.discardBroken(x.conn)
	}
}
