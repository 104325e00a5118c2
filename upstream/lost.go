package upstream

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// LostAt returns the latest time by which the server may have ended, as far as is seen: it has closed a connection,
// before the idle timeout or in use, or refused one, and has kept none open that is older. It is zero if that was
// not seen.
func (p *Pool) LostAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.examineIdle()
	return p.lostAt
}

// EndedAt is LostAt by those signs alone that a process which goes on hardly gives: it has refused a connection, or
// reset an idle one. A process that ends may close its idle connections without a reset.
func (p *Pool) EndedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.examineIdle()
	return p.endedAt
}

// examineIdle removes the idle connections that the server has closed. mu must be held.
func (p *Pool) examineIdle() {
	var closed []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.reusable() {
			kept = append(kept, c)
			continue
		}
		p.drop(c)
		if !c.expired() {
			closed = append(closed, c)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	for _, c := range closed {
		p.noteClosed(c)
	}
}

// LivesOn reports whether the server keeps idle connections open, at least half of them. The system
// closes all connections of a process that ends; the end of a few may be lost on the way.
func (p *Pool) LivesOn() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	live := 0
	for _, c := range p.idle {
		if c.reusable() {
			live++
		}
	}
	return live > 0 && 2*live >= len(p.idle)
}

// noteClosed records that the server has closed a connection, which is no longer in conns: it may have ended
// since that was last known to be open. mu must be held.
func (p *Pool) noteClosed(c *conn) {
	p.identified, c.lost = false, true
	p.noteEnd(time.Duration(c.aliveAt.Load()), c.reset)
}

// noteEnd records that the server may have ended after a time, unless an older connection is open: the system
// closes all connections of a process that ends. One that accepted a newer connection, still open, has run since
// then at least. sure is described at EndedAt. mu must be held.
func (p *Pool) noteEnd(after time.Duration, sure bool) {
	since := time.Since(epoch)
	for c := range p.conns {
		if c.connectedAt < since && c.established() {
			since = c.connectedAt
		}
	}
	if since <= after {
		return
	}
	at := epoch.Add(since)
	if at.After(p.lostAt) {
		p.lostAt = at
	}
	if sure && at.After(p.endedAt) {
		p.endedAt = at
	}
}

// tcpEstablished is the state of a connection that neither side has closed, in include/net/tcp_states.h.
const tcpEstablished = 1

// established reports whether neither side has closed the connection. It does not wait for a reader. The pool's
// mu must be held.
func (c *conn) established() bool {
	c.ended = c.ended || !c.isEstablished()
	return !c.ended
}

// isEstablished asks the system for the state of the connection.
func (c *conn) isEstablished() bool {
	tcp, ok := c.headerLimitedConn.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	state := uint8(0)
	err = raw.Control(func(fd uintptr) {
		if info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); infoErr == nil {
			state = info.State
		}
	})
	return err == nil && state == tcpEstablished
}
