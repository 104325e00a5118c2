package intake

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Budget is what a process may hold for its peers. A nil Budget bounds nothing.
type Budget struct {
	limits limits
	logger *slog.Logger
	// held is the sum of byKind; leaving is the part of it whose connections were told to give
	// way.
	held, leaving atomic.Int64
	byKind        [kindCount]atomic.Int64
	// nextSearch is when connections that may give way are searched again after none was found, in
	// nanoseconds of Unix time.
	nextSearch atomic.Int64
	halfCloses halfCloseCounts

	mu        sync.Mutex
	open      map[*Conn]struct{}
	listeners map[string]*listenerCount
	refused   map[reason]*refusals
	closed    map[closeKey]*refusals
}

// listenerCount counts the connections of a listener in all and by remote address.
type listenerCount struct {
	total     int
	byAddress map[string]int
}

// refusals counts what was refused for one reason.
type refusals struct {
	total, logged uint64
	lines         *rate.Limiter
}

// New returns the budget of a process with the given memory in MB, 0 for unlimited.
func New(s Settings, memoryMB int, logger *slog.Logger) (*Budget, error) {
	l, err := limitsFor(s, memoryMB)
	if err != nil {
		return nil, err
	}
	logger.Info("intake bounded", slog.Int64("bytes", l.bytes), slog.Int("connections", l.total), slog.Int("connections_per_listener", l.listener), slog.Int("connections_per_address", l.address))
	return newBudget(l, logger), nil
}

func newBudget(l limits, logger *slog.Logger) *Budget {
	return &Budget{limits: l, logger: logger, open: make(map[*Conn]struct{}), listeners: make(map[string]*listenerCount), refused: make(map[reason]*refusals), closed: make(map[closeKey]*refusals)}
}

// add counts n bytes, which may be negative.
func (b *Budget) add(kind Kind, n int64) {
	b.held.Add(n)
	b.byKind[kind].Add(n)
}

// fits reports whether a connection may hold n more bytes.
func (b *Budget) fits(c *Conn, n int64) bool {
	return b.limits.fits(n, c.heldBytes(), b.held.Load(), b.leaving.Load())
}

// alone reports whether no other request holds anything, so that a single request is served
// whatever its size.
func (b *Budget) alone(c *Conn) bool {
	return b.held.Load()-b.byKind[Connections].Load() <= c.heldBytes()
}

// take counts n bytes for a connection, or returns ErrNoRoom. Connections that fall behind give
// way.
func (b *Budget) take(c *Conn, kind Kind, n int64) error {
	// Counted before the check, so that several requests cannot pass it together.
	b.add(kind, n)
	c.held[kind].Add(n)
	if b.fits(c, 0) || b.makeRoom(c, 0, time.Now()) || b.alone(c) {
		return nil
	}
	b.add(kind, -n)
	c.held[kind].Add(-n)
	b.refuse(reasonNoRoom)
	return ErrNoRoom
}

// makeRoom tells connections to give way until n bytes fit, and reports whether they do.
func (b *Budget) makeRoom(c *Conn, n int64, now time.Time) bool {
	if now.UnixNano() < b.nextSearch.Load() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.makeRoomLocked(c, n, now)
}

// makeRoomLocked is makeRoom for a caller that holds mu.
func (b *Budget) makeRoomLocked(c *Conn, n int64, now time.Time) bool {
	conns, holders := b.candidates("", "", now)
	for !b.fits(c, n) {
		i := pickYielding(holders)
		if i < 0 || conns[i] == c || float64(b.leaving.Load()) >= leavingShare*float64(b.limits.bytes) {
			b.nextSearch.Store(now.Add(searchInterval).UnixNano())
			return false
		}
		holders[i] = holder{}
		conns[i].giveWay()
	}
	return true
}

// candidates returns the connections of a listener and a remote address, "" for all, that may give
// way. The caller holds mu.
func (b *Budget) candidates(listener, address string, now time.Time) ([]*Conn, []holder) {
	var conns []*Conn
	var holders []holder
	for c := range b.open {
		if (listener == "" || c.listener.name == listener) && (address == "" || c.address == address) && c.mayGiveWay() {
			conns = append(conns, c)
			holders = append(holders, holder{bytes: connectionBytes + c.heldBytes(), lag: pace{time.Unix(0, c.pace.Load())}.lag(now)})
		}
	}
	return conns, holders
}

// admit registers a new connection, or returns why it is refused. Connections that fall behind
// give way to it.
func (b *Budget) admit(c *Conn, now time.Time) reason {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := b.listeners[c.listener.name]
	if count == nil {
		count = &listenerCount{byAddress: make(map[string]int)}
		b.listeners[c.listener.name] = count
	}
	if count.byAddress[c.address] >= b.limits.address && !b.replace(c.listener.name, c.address, now) {
		return reasonAddress
	}
	if count.total >= b.limits.listener && !b.replace(c.listener.name, "", now) {
		return reasonConnections
	}
	if len(b.open) >= b.limits.total && !b.replace("", "", now) {
		return reasonConnections
	}
	if !b.fits(c, connectionBytes) && (now.UnixNano() < b.nextSearch.Load() || !b.makeRoomLocked(c, connectionBytes, now)) {
		return reasonNoRoom
	}
	count.total++
	count.byAddress[c.address]++
	b.open[c] = struct{}{}
	b.add(Connections, connectionBytes)
	return ""
}

// replace tells a connection of a listener and a remote address, "" for all, to give way to a new
// one, and reports whether there is one. The caller holds mu.
func (b *Budget) replace(listener, address string, now time.Time) bool {
	conns, holders := b.candidates(listener, address, now)
	i := pickYielding(holders)
	if i < 0 {
		return false
	}
	conns[i].giveWay()
	return true
}

// mayLinger reports whether a connection takes no place that new ones need.
func (b *Budget) mayLinger(c *Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := b.listeners[c.listener.name]
	return len(b.open) < b.limits.total && count.total < b.limits.listener && count.byAddress[c.address] < b.limits.address
}

// remove forgets a closed connection.
func (b *Budget) remove(c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.open[c]; !ok {
		return
	}
	delete(b.open, c)
	b.add(Connections, -connectionBytes)
	count := b.listeners[c.listener.name]
	count.total--
	if count.byAddress[c.address]--; count.byAddress[c.address] <= 0 {
		delete(count.byAddress, c.address)
	}
}

// refuse counts a refusal and logs at most one line a second for each reason.
func (b *Budget) refuse(why reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.countRefusal(why)
}

// countRefusal is refuse for a caller that holds mu.
func (b *Budget) countRefusal(why reason) {
	r := b.refused[why]
	if r == nil {
		r = &refusals{lines: rate.NewLimiter(rate.Every(time.Second), 1)}
		b.refused[why] = r
	}
	r.total++
	if !r.lines.Allow() {
		return
	}
	b.logger.Warn("connections refused", slog.String("reason", string(why)), slog.Uint64("since_last_line", r.total-r.logged),
		slog.Int64("held", b.held.Load()), slog.Int64("limit", b.limits.bytes), slog.Int("open", len(b.open)))
	r.logged = r.total
}
