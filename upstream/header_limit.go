package upstream

import (
	"net"
	"sync/atomic"
	"time"
)

// headerLimitedConn is a connection that returns a limited number of bytes while a
// header is read.
type headerLimitedConn struct {
	net.Conn
	remaining int
	limited   bool
	// aliveAt is when the connection was last known not to be closed by its peer, as the time since epoch.
	aliveAt atomic.Int64
}

// epoch is the origin of times that are kept as numbers; it has a monotonic reading.
var epoch = time.Now()

// noteAlive records that the peer has not closed the connection.
func (c *headerLimitedConn) noteAlive() { c.aliveAt.Store(int64(time.Since(epoch))) }

// Read implements net.Conn.
func (c *headerLimitedConn) Read(b []byte) (int, error) {
	if c.limited && c.remaining <= 0 {
		return 0, ErrHeaderTooLarge
	}
	if c.limited {
		b = b[:min(len(b), c.remaining)]
	}
	n, err := c.Conn.Read(b)
	if c.limited {
		c.remaining -= n
	}
	if n > 0 {
		c.noteAlive()
	}
	return n, err
}

// startLimit starts the limit of a header, endLimit lifts it.
func (c *headerLimitedConn) startLimit() { c.remaining, c.limited = maxHeaderBytes, true }
func (c *headerLimitedConn) endLimit()   { c.limited = false }
