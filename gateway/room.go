package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/placement"
)

// holdStep is after how long a request that waits here is judged anew although
// nothing was heard.
const holdStep = 40 * time.Millisecond

// room is what one service's decisions share: what is believed of its servers, the
// line of requests that wait for one, and what was learned of their reading. Its
// lock is held for one decision or one news.
type room struct {
	mu     sync.Mutex
	line   dispatch.Line
	reader dispatch.Reader
	// errors are of the estimates for short and long prompts.
	errors [2]dispatch.Errors
	// opened is when this process first knew a server of the service.
	opened time.Time
	looked time.Time

	// near and all are the scratch of a decision.
	near, all field
}

// field is the servers of a decision, and how it sees them.
type field struct {
	backends []*backend
	servers  []placement.Server
}

func (f *field) set(list []*backend) {
	f.backends = list
	if cap(f.servers) < len(list) {
		f.servers = make([]placement.Server, len(list), 2*len(list))
	}
	f.servers = f.servers[:len(list)]
}

// rooms are the rooms of all services.
type rooms struct {
	mu   sync.Mutex
	open map[string]*room
}

func (r *rooms) of(service string) *room {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open == nil {
		r.open = make(map[string]*room)
	}
	got := r.open[service]
	if got == nil {
		got = &room{}
		r.open[service] = got
	}
	return got
}

// look has those that wait anywhere tried again.
func (r *rooms) look() {
	r.mu.Lock()
	list := make([]*room, 0, len(r.open))
	for _, one := range r.open {
		list = append(list, one)
	}
	r.mu.Unlock()
	for _, one := range list {
		one.mu.Lock()
		one.line.Look()
		one.mu.Unlock()
	}
}

// placed is what became of a request that asked for a server.
type placed struct {
	backend *backend
	why     reason
}

// place finds a server for a request and counts it there; where all are full, a
// prompt waits here for one. The server is nil with the reason if there is none.
func (g *Gateway) place(ctx context.Context, c *call) placed {
	r := c.room
	r.mu.Lock()
	var claimed map[string]bool
	if c.prompt != nil {
		claimed = r.line.Claimed(c.spot())
	}
	got, held := g.try(c, claimed, time.Now())
	if held && r.line.Full() {
		got, held = placed{why: noRoom}, false
	}
	if !held {
		r.mu.Unlock()
		return got
	}
	granted := make(chan placed, 1)
	w := g.join(c, granted)
	r.mu.Unlock()
	g.metrics.waiting.Inc()
	defer g.metrics.waiting.Dec()
	began := time.Now()
	got = g.await(ctx, c, w, granted)
	c.waiter, c.held = nil, c.held+time.Since(began)
	return got
}

// join lets a prompt wait. The caller holds the room's lock.
func (g *Gateway) join(c *call, granted chan<- placed) *dispatch.Waiter {
	w := &dispatch.Waiter{Place: c.spot(), Memory: c.job().MemoryTokens}
	w.Try = func(claimed map[string]bool) (bool, string) {
		got, held := g.try(c, claimed, time.Now())
		if !held {
			granted <- got
			return true, ""
		}
		w.Place = c.spot()
		return false, c.waitsFor
	}
	c.waiter = w
	c.room.line.Join(w)
	return w
}

// await waits until a request is placed, or nobody waits for it any more.
func (g *Gateway) await(ctx context.Context, c *call, w *dispatch.Waiter, granted chan placed) placed {
	r := c.room
	step := time.NewTicker(holdStep)
	defer step.Stop()
	for {
		select {
		case got := <-granted:
			return got
		case <-ctx.Done():
			r.mu.Lock()
			defer r.mu.Unlock()
			select {
			case got := <-granted:
				g.giveBack(c, got.backend)
			default:
				r.line.Leave(w)
			}
			return placed{why: timeUp}
		case now := <-step.C:
			r.mu.Lock()
			if now.Sub(r.looked) >= holdStep/2 {
				r.looked = now
				r.line.Look()
			}
			r.mu.Unlock()
		}
	}
}

// giveBack ends the counting of a request at a server that it was never sent to.
// The caller holds the room's lock.
func (g *Gateway) giveBack(c *call, b *backend) {
	if b == nil {
		return
	}
	b.belief.Left(c.work)
	b.belief.Ended(c.work, 0)
	g.freed(b)
}

// try decides what becomes of a request now, and counts it at its server; held
// says that it waits here. The caller holds the room's lock.
func (g *Gateway) try(c *call, claimed map[string]bool, now time.Time) (got placed, held bool) {
	d, b := g.decide(c, claimed, now)
	c.decision, c.waitsFor = d, ""
	switch d.Action {
	case dispatch.Nowhere:
		return placed{why: noServer}, false
	case dispatch.Refuse:
		return placed{why: noRoom}, false
	case dispatch.Hold:
		c.waitsFor = b.server
		return placed{}, true
	}
	c.work = dispatch.Work{Unread: d.Unread, Memory: c.job().MemoryTokens, Later: c.behind()}
	b.belief.Sent(c.work, now)
	g.share(b)
	return placed{backend: b}, false
}

// share tells the other instances of what this one has at a server.
func (g *Gateway) share(b *backend) {
	if b.service.Engine != nil {
		g.peers.set(b.server, b.belief.Own())
	}
}

// freed notes that a server has less to do, and has those that wait tried. The
// caller holds the room's lock.
func (g *Gateway) freed(b *backend) {
	g.share(b)
	b.room.line.Look()
}

// spot is where a request waits.
func (c *call) spot() dispatch.Place {
	read := c.room.reader.Overhead() + time.Duration(float64(c.prompt.Tokens)/c.room.reader.Pace()*float64(time.Millisecond))
	return dispatch.Place{Later: c.behind(), Rank: c.rank(), StartBy: c.began.Add(c.route.Objective - read)}
}

// decide says what becomes of a request. The caller holds the room's lock.
func (g *Gateway) decide(c *call, claimed map[string]bool, now time.Time) (dispatch.Decision, *backend) {
	w, r := g.world.Load(), c.room
	usable, pausedUntil := g.usable(w.services[c.service.Name], now)
	c.pausedUntil = pausedUntil
	if c.prompt != nil {
		usable = w.withoutOutdated(c.prompt.Model, usable, now)
	}
	ask := g.ask(c, now)
	candidates := func(f *field, list []*backend) *dispatch.Candidates {
		f.set(list)
		g.see(w, c, f, now)
		if c.prompt != nil && r.line.Len() > 0 {
			ask.Before = dispatch.RoomIn(f.servers, r.line.Ahead(c.waits()))
		}
		return &dispatch.Candidates{
			Servers: f.servers,
			Tried:   func(i int) bool { return c.tried[f.backends[i].server] },
			Claimed: func(i int) bool { return claimed[f.backends[i].server] },
		}
	}
	var near func() *dispatch.Candidates
	own := w.cells[c.service.Name]
	if own != nil && c.prompt != nil {
		near = func() *dispatch.Candidates {
			list := make([]*backend, 0, len(own))
			for _, b := range usable {
				if own[b.server] {
					list = append(list, b)
				}
			}
			return candidates(&r.near, list)
		}
	}
	all := func() *dispatch.Candidates {
		got := candidates(&r.all, usable)
		if near != nil {
			placement.Assume(got.Servers, func(i int) bool { return own[usable[i].server] || g.peers.knows(usable[i].zone, now) })
		}
		return got
	}
	d, elsewhere := g.policy.Decide(g.scorer, near, all, ask, rand.Float64())
	switch {
	case d.Server < 0:
		return d, nil
	case elsewhere:
		return d, r.all.backends[d.Server]
	}
	return d, r.near.backends[d.Server]
}

// waits is where the request waits, or would.
func (c *call) waits() dispatch.Place {
	if c.waiter != nil {
		return c.waiter.Place
	}
	return c.spot()
}

// ask is the request as a decision sees it.
func (g *Gateway) ask(c *call, now time.Time) *dispatch.Ask {
	a := &dispatch.Ask{Job: c.job(), Waited: now.Sub(c.began), Resumed: c.sends > 0 || c.request.LastEvent != ""}
	if c.prompt != nil {
		a.Objective, a.Bears = c.route.Objective, c.bears()
		a.Errors = &c.room.errors[c.length()]
		a.Young = c.young(now)
	}
	return a
}

// young reports whether servers of the service are still becoming known here, and
// what the other instances have there. The caller holds the room's lock.
func (c *call) young(now time.Time) bool {
	return now.Sub(c.room.opened) < youngFor*c.gateway.interval/2
}

// youngFor is for how many half intervals between announcements the servers of a
// service may still be becoming known to a process that has just started.
const youngFor = 3

// see fills in how a decision sees the servers of a field. The caller holds the
// room's lock.
func (g *Gateway) see(w *world, c *call, f *field, now time.Time) {
	told := g.peers.told()
	for i, b := range f.backends {
		b.belief.View(&f.servers[i], g.policy, told[b.server], g.zone, now)
	}
	if c.prompt == nil {
		return
	}
	if g.policy.On(dispatch.OldWeightsCost) {
		w.preferCurrent(c.prompt.Model, f.backends, f.servers, now)
	}
	c.locate(f.backends, f.servers, now)
}

// usable are the servers that may be asked: those that are heard of, or all if
// none is. Servers that leave or want nothing are never among them; pausedUntil is
// when the first of the latter wants requests again, zero if others may be asked.
func (g *Gateway) usable(all []*backend, now time.Time) (heard []*backend, pausedUntil time.Time) {
	heard = make([]*backend, 0, len(all))
	var lost []*backend
	for _, b := range all {
		until := b.belief.PausedUntil()
		switch {
		case b.retired.Load() || b.belief.Leaving():
		case now.Before(until):
			if pausedUntil.IsZero() || until.Before(pausedUntil) {
				pausedUntil = until
			}
		case b.belief.Lost(now):
			lost = append(lost, b)
		default:
			heard = append(heard, b)
		}
	}
	if len(heard) == 0 {
		heard = lost
	}
	if len(heard) > 0 {
		pausedUntil = time.Time{}
	}
	return heard, pausedUntil
}

// left notes that a server says it leaves, and has everybody told. request is the ID
// of the request to which it said so, empty if it was a question of our own.
func (g *Gateway) left(b *backend, request string) {
	b.news((*dispatch.Belief).Leave)
	if g.leavers.add(b.life, time.Now()) {
		g.logger.Info("server leaves", slog.String("server", b.server), slog.Int64("born_unix_ms", b.born), slog.String("request", request))
		g.peers.leaving(b.life)
		g.view.Leaving(b.server, b.born)
	}
}

// leftAt notes that the server at an address says to a question of our own that it
// leaves.
func (g *Gateway) leftAt(address string) {
	for _, b := range g.world.Load().backends {
		if b.address == address {
			g.left(b, "")
		}
	}
}

// heardLeaving takes another process's word that servers leave.
func (g *Gateway) heardLeaving(lives []life, from string) {
	w := g.world.Load()
	for _, who := range lives {
		if !g.leavers.add(who, time.Now()) {
			continue
		}
		g.logger.Info("server leaves", slog.String("server", who.server), slog.Int64("born_unix_ms", who.born), slog.String("told_by", from))
		if b := w.backends[who.server]; b != nil && b.life == who {
			b.news((*dispatch.Belief).Leave)
		}
	}
}
