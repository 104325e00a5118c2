package intake

import "time"

// SetTimeouts makes connections have at least the times that a function returns for a head, and
// between two requests, whatever http.Server sets. It must be called before Accept.
func (l *Listener) SetTimeouts(timeouts func() (head, idle time.Duration)) { l.timeouts = timeouts }

// extend returns a read deadline that net/http sets, or a later one while a head is awaited or read.
func (c *Conn) extend(t time.Time, now time.Time) time.Time {
	if c.listener.timeouts == nil || !t.After(now) || c.phase.Load() > phaseArrived {
		return t
	}
	limit, idle := c.listener.timeouts()
	if c.rested && c.unhandled.bytes.Load() == 0 {
		limit = idle
	}
	if latest := now.Add(limit); latest.After(t) {
		return latest
	}
	return t
}

// readsOn reports whether a read of a head goes on although its time has passed, because the head waits in
// the socket: it came in time, and the process stood still. Once a byte of it was read, its time is over.
func (c *Conn) readsOn() bool {
	if c.unhandled.bytes.Load() > 0 || c.unreadBytes() <= 0 {
		return false
	}
	limit := unreadTimeout
	if c.listener.timeouts != nil {
		head, _ := c.listener.timeouts()
		limit = max(limit, head)
	}
	c.idleEnd.mu.Lock()
	defer c.idleEnd.mu.Unlock()
	return !c.idleEnd.ended && c.Conn.SetReadDeadline(time.Now().Add(limit)) == nil
}
