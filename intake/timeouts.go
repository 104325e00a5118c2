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
