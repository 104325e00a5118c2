package fleetview

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/registry"
)

// Times of the simulated network.
const (
	simDialTimeout = 300 * time.Millisecond
	simDelay       = time.Millisecond
	simStep        = 20 * time.Millisecond
	simIdleConns   = 2
)

var (
	errSimRefused = errors.New("connection refused")
	errSimReset   = errors.New("connection reset by peer")
	errSimTimeout = errors.New("i/o timeout")
)

// simControl is a control instance in virtual time. Its documents are those that it has applied.
type simControl struct {
	memberState
	url string
	// mu of simFleet guards the fields below.
	handler     http.Handler
	incarnation int
	// downUntil, frozenUntil, staleUntil: until then its process does not run, does not
	// respond, or applies nothing.
	downUntil, frozenUntil, staleUntil time.Time
	// responseTime and contentTime are added to each response, and to those with content.
	responseTime, contentTime time.Duration
	slowUntil                 time.Time
}

// simConn is a kept connection; it is dead once its packets are lost for good.
type simConn struct {
	dead        bool
	incarnation int
}

// simFleet holds control instances and processes that follow them.
type simFleet struct {
	group    *groupState
	controls []*simControl
	logger   *slog.Logger

	mu     sync.Mutex
	random *rand.Rand
	// newest is the newest document of the group.
	newest *controlv1.PublishedDocument
}

// simProcess is a process that follows the control instances.
type simProcess struct {
	fleet     *simFleet
	view      *View
	stop      context.CancelFunc
	startedAt time.Time

	// mu of the fleet guards the fields below.
	idle map[string][]*simConn
	// open holds the kept connections and those in use.
	open map[*simConn]bool
	// cutUntil is until when it is cut off from control instances, by URL.
	cutUntil map[string]time.Time
	// exchangeTime is added to each of its exchanges until slowUntil.
	exchangeTime time.Duration
	slowUntil    time.Time
}

// newSimFleet returns a group of control instances that hold version 1.
func newSimFleet(seed uint64, count int) *simFleet {
	f := &simFleet{group: &groupState{}, random: rand.New(rand.NewPCG(seed, 1)), logger: slog.New(slog.DiscardHandler)}
	for n := range count {
		c := &simControl{memberState: memberState{groupState: groupState{changed: make(chan struct{})}, group: f.group}, url: fmt.Sprint("http://control-", n)}
		c.handler = f.newHandler(c)
		f.controls, f.group.members = append(f.controls, c), append(f.group.members, c.url)
	}
	return f
}

func (f *simFleet) newHandler(c *simControl) http.Handler {
	return fleetv1.NewFleetServer(registry.NewHub(time.Second, c, f.logger))
}

// start starts a process.
func (f *simFleet) start(ctx context.Context, name string) *simProcess {
	p := &simProcess{fleet: f, startedAt: time.Now(), idle: make(map[string][]*simConn), open: make(map[*simConn]bool), cutUntil: make(map[string]time.Time)}
	ctx, p.stop = context.WithCancel(ctx)
	self := &fleetv1.EntryInstance{Name: name, StartedUnixMs: time.Now().UnixMilli(), Accepting: true}
	p.view = New(f.group.members[:3], self, &http.Client{Transport: p}, f.logger)
	p.view.Start(ctx)
	return p
}

// publish acknowledges a version at one control instance; the others that run apply it a moment later.
func (f *simFleet) publish(ctx context.Context, version uint64) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.newest = &controlv1.PublishedDocument{Name: "site", Version: version, Content: fmt.Append(nil, version)}
	var sound []*simControl
	for _, c := range f.controls {
		if c.appliesAt(now) {
			sound = append(sound, c)
		}
	}
	leader := sound[f.random.IntN(len(sound))]
	leader.groupState.publish(version, f.newest.Content)
	for _, c := range sound {
		if c != leader {
			go f.applyLater(ctx, c, time.Duration(f.random.Int64N(int64(50*time.Millisecond))))
		}
	}
}

func (c *simControl) appliesAt(now time.Time) bool {
	return now.After(c.downUntil) && now.After(c.frozenUntil) && now.After(c.staleUntil)
}

// applyLater lets a control instance apply the newest version after a delay.
func (f *simFleet) applyLater(ctx context.Context, c *simControl, delay time.Duration) {
	sleep(ctx, delay)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !c.appliesAt(time.Now()) || f.newest == nil {
		return
	}
	if held := c.Published(); len(held) == 0 || held[0].Version < f.newest.Version {
		c.groupState.publish(f.newest.Version, f.newest.Content)
	}
}

// restart ends the process of a control instance. It holds no documents until it has caught up.
func (f *simFleet) restart(ctx context.Context, c *simControl, down, catchUp time.Duration) {
	f.mu.Lock()
	c.downUntil = time.Now().Add(down)
	c.staleUntil = c.downUntil.Add(catchUp)
	c.incarnation++
	c.groupState.mu.Lock()
	c.documents = nil
	c.groupState.mu.Unlock()
	f.mu.Unlock()
	sleep(ctx, down)
	f.mu.Lock()
	c.handler = f.newHandler(c)
	f.mu.Unlock()
	f.applyLater(ctx, c, catchUp+time.Millisecond)
}

// silence makes all open connections of a process dead.
func (p *simProcess) silence() {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	for c := range p.open {
		c.dead = true
	}
}

// CloseIdleConnections closes the kept connections, for http.Client.
func (p *simProcess) CloseIdleConnections() {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			delete(p.open, c)
		}
	}
	clear(p.idle)
}

// version returns the version in force.
func (p *simProcess) version() uint64 { return siteVersion(p.view) }

// RoundTrip implements http.RoundTripper.
func (p *simProcess) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := r.Context()
	var c *simControl
	for _, candidate := range p.fleet.controls {
		if strings.HasSuffix(candidate.url, "//"+r.URL.Host) {
			c = candidate
		}
	}
	conn, err := p.connect(ctx, c)
	if err != nil {
		return nil, err
	}
	kept := false
	defer func() {
		if !kept {
			p.fleet.mu.Lock()
			defer p.fleet.mu.Unlock()
			delete(p.open, conn)
		}
	}()
	if err := p.transmit(ctx, c, conn); err != nil {
		return nil, err
	}
	done := make(chan *httptest.ResponseRecorder, 1)
	go func() { done <- p.fleet.serve(ctx, c, r) }()
	var recorder *httptest.ResponseRecorder
	select {
	case recorder = <-done:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if err := p.transmit(ctx, c, conn); err != nil {
		return nil, err
	}
	p.fleet.mu.Lock()
	if list := p.idle[c.url]; len(list) < simIdleConns {
		p.idle[c.url], kept = append(list, conn), true
	}
	p.fleet.mu.Unlock()
	return recorder.Result(), nil
}

// connect takes a kept connection, or opens one.
func (p *simProcess) connect(ctx context.Context, c *simControl) (*simConn, error) {
	f := p.fleet
	f.mu.Lock()
	for len(p.idle[c.url]) > 0 {
		list := p.idle[c.url]
		conn := list[len(list)-1]
		p.idle[c.url] = list[:len(list)-1]
		if conn.incarnation == c.incarnation {
			f.mu.Unlock()
			return conn, nil
		}
		delete(p.open, conn)
	}
	now := time.Now()
	cut, down, incarnation := now.Before(p.cutUntil[c.url]), now.Before(c.downUntil), c.incarnation
	f.mu.Unlock()
	if cut {
		sleep(ctx, simDialTimeout)
		return nil, errSimTimeout
	}
	sleep(ctx, simDelay)
	if down {
		return nil, errSimRefused
	}
	conn := &simConn{incarnation: incarnation}
	f.mu.Lock()
	defer f.mu.Unlock()
	p.open[conn] = true
	return conn, ctx.Err()
}

// transmit waits until bytes have passed the network.
func (p *simProcess) transmit(ctx context.Context, c *simControl, conn *simConn) error {
	f := p.fleet
	sleep(ctx, simDelay)
	f.mu.Lock()
	extra := time.Duration(0)
	if time.Now().Before(p.slowUntil) {
		extra = p.exchangeTime / 2
	}
	f.mu.Unlock()
	sleep(ctx, extra)
	for ctx.Err() == nil {
		f.mu.Lock()
		passes, reset := !conn.dead && !time.Now().Before(p.cutUntil[c.url]), conn.incarnation != c.incarnation
		f.mu.Unlock()
		if passes && reset {
			return errSimReset
		}
		if passes {
			return nil
		}
		sleep(ctx, simStep)
	}
	return ctx.Err()
}

// serve runs a request at a control instance.
func (f *simFleet) serve(ctx context.Context, c *simControl, r *http.Request) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	f.mu.Lock()
	handler, work := c.handler, time.Duration(0)
	if time.Now().Before(c.slowUntil) {
		work = c.responseTime
		if strings.HasSuffix(r.URL.Path, "/Document") {
			work += c.contentTime
		}
	}
	f.mu.Unlock()
	f.awaitThaw(ctx, c)
	sleep(ctx, work)
	handler.ServeHTTP(recorder, r)
	f.awaitThaw(ctx, c)
	return recorder
}

func (f *simFleet) awaitThaw(ctx context.Context, c *simControl) {
	for ctx.Err() == nil {
		f.mu.Lock()
		frozen := time.Now().Before(c.frozenUntil)
		f.mu.Unlock()
		if !frozen {
			return
		}
		sleep(ctx, simStep)
	}
}

// sleep waits for a time, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
