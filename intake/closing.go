package intake

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"
)

// closeCause is why a connection was closed that held a request without a handler, as a label value
// of a metric.
type closeCause string

const (
	closeNone          closeCause = ""
	closePeerClosed    closeCause = "peer closed"
	closePeerFailed    closeCause = "peer reset or lost"
	closeNoRoom        closeCause = "no memory"
	closeGaveWay       closeCause = "gave way"
	closeHeaderTimeout closeCause = "header timeout"
	closeIdleTimeout   closeCause = "idle timeout"
	// closeRejected: net/http has responded to what is no valid head.
	closeRejected closeCause = "rejected without a handler"
	// closeShutdown: only the end of the server closes a connection between requests without a
	// failed read.
	closeShutdown closeCause = "shutdown"
	// closeShutdownUnread: the request lay in the socket, and nothing of it was read.
	closeShutdownUnread closeCause = "shutdown, not read"
	// closeLate: the request arrived as the server or the idle time ended, and was rejected.
	closeLate closeCause = "late, rejected"
	// closeHandled: a handler has ended, and bytes behind what it read are dropped.
	closeHandled closeCause = "handler ended"
)

// phaseNames are the phases in log lines.
var phaseNames = map[int32]string{phaseHead: "head", phaseArrived: "head", phaseReady: "head", phaseBody: "body", phaseWhole: "whole", phaseGaveWay: "gave way", phaseResponse: "response"}

// unhandled is what a connection has read for a request that no handler has seen yet.
type unhandled struct {
	bytes atomic.Int64
	// first is the first of them.
	first atomic.Uint32
	// opening is the first of the connection.
	opening atomic.Uint32
	// echo finds the field that the response of a connection itself repeats.
	echo headEcho
	// readAt is when bytes last arrived, in nanoseconds of Unix time.
	readAt atomic.Int64
	// responded is set if anything was sent meanwhile.
	responded atomic.Bool
	cause     atomic.Value
	reported  atomic.Bool
}

// reset starts the record of the next request.
func (u *unhandled) reset() {
	u.bytes.Store(0)
	u.first.Store(0)
	u.echo.reset()
	u.responded.Store(false)
	u.cause.Store(closeNone)
}

// arrive records bytes of a head that were read.
func (c *Conn) arrive(p []byte) {
	u := &c.unhandled
	if u.bytes.Add(int64(len(p))) == int64(len(p)) && len(p) > 0 {
		u.opening.CompareAndSwap(0, uint32(p[0]))
		u.first.Store(uint32(p[0]))
	}
	u.echo.write(c.listener.echoHeader, p)
}

// setCause records why the connection will be closed; the first cause counts.
func (u *unhandled) setCause(cause closeCause) {
	if !u.cause.CompareAndSwap(nil, cause) {
		u.cause.CompareAndSwap(closeNone, cause)
	}
}

// noteReadError records an error that ends the reading of a head.
func (u *unhandled) noteReadError(err error) {
	switch {
	case errors.Is(err, io.EOF):
		u.setCause(closePeerClosed)
	case errors.Is(err, os.ErrDeadlineExceeded) && u.bytes.Load() > 0:
		u.setCause(closeHeaderTimeout)
	case errors.Is(err, os.ErrDeadlineExceeded):
		u.setCause(closeIdleTimeout)
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.ETIMEDOUT), errors.Is(err, syscall.EPIPE):
		u.setCause(closePeerFailed)
	}
}

// closeCause returns why the connection is closed in a phase.
func (u *unhandled) closeCause(phase int32) closeCause {
	if cause, _ := u.cause.Load().(closeCause); cause != closeNone {
		return cause
	}
	switch {
	case phase > phaseReady:
		return closeHandled
	case u.responded.Load():
		return closeRejected
	case u.bytes.Load() == 0:
		return closeShutdownUnread
	}
	return closeShutdown
}

// unreadBytes returns the bytes in the socket's receive buffer, -1 if that is not known.
func (c *Conn) unreadBytes() int { return c.socketBytes(unix.TIOCINQ) }

// unsentBytes returns the bytes that the socket has not sent yet, -1 if that is not known.
func (c *Conn) unsentBytes() int { return c.socketBytes(unix.SIOCOUTQNSD) }

// socketBytes asks the socket for a number of bytes.
func (c *Conn) socketBytes(request uint) int {
	n := -1
	c.control(func(fd int) {
		if bytes, err := unix.IoctlGetInt(fd, request); err == nil {
			n = bytes
		}
	})
	return n
}

// reportClose counts and logs a connection that is closed with bytes of a request that has no
// handler, or with unread bytes, in a phase.
func (c *Conn) reportClose(phase int32) {
	unread := -1
	cause := c.unhandled.closeCause(phase)
	if cause != closePeerClosed && cause != closePeerFailed {
		unread = c.unreadBytes()
	}
	if c.unhandled.bytes.Load() == 0 && unread <= 0 || c.unhandled.reported.Swap(true) {
		return
	}
	c.listener.budget.countClose(c, cause, phase, unread)
}

// closeKey names a count of closed connections.
type closeKey struct {
	listener string
	cause    closeCause
}

// countClose counts a closed connection, and logs at most one line a second for each listener and
// cause.
func (b *Budget) countClose(c *Conn, cause closeCause, phase int32, unread int) {
	b.mu.Lock()
	r := b.closed[closeKey{c.listener.name, cause}]
	if r == nil {
		r = &refusals{lines: rate.NewLimiter(rate.Every(time.Second), 1)}
		b.closed[closeKey{c.listener.name, cause}] = r
	}
	r.total++
	since, logged := r.total-r.logged, r.lines.Allow()
	if logged {
		r.logged = r.total
	}
	b.mu.Unlock()
	if !logged {
		return
	}
	now := time.Now()
	attrs := []slog.Attr{slog.String("listener", c.listener.name), slog.String("cause", string(cause)), slog.Uint64("since_last_line", since),
		slog.String("remote", c.RemoteAddr().String()), slog.String("phase", phaseNames[phase]), slog.Int64("read", c.unhandled.bytes.Load()),
		slog.Duration("age", now.Sub(c.acceptedAt)), slog.Duration("idle", now.Sub(time.Unix(0, c.unhandled.readAt.Load())))}
	if unread >= 0 {
		attrs = append(attrs, slog.Int("unread", unread))
	}
	b.logger.LogAttrs(context.Background(), slog.LevelInfo, "connection closed before a request was handled", attrs...)
}
