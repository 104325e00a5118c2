package steward_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/config/watch"
	"github.com/galenaarch/galenaarch/control"
	"github.com/galenaarch/galenaarch/control/state"
	"github.com/galenaarch/galenaarch/examples"
	"github.com/galenaarch/galenaarch/steward"
)

var (
	errNoQuorum    = errors.New("no quorum")
	errUnreachable = errors.New("unreachable")
	discardLogger  = slog.New(slog.NewTextHandler(io.Discard, nil))
)

// memoryLog is an in-memory control log.
type memoryLog struct {
	mu      sync.Mutex
	state   *state.State
	changed chan struct{}
	down    bool
}

func newMemoryLog() *memoryLog {
	return &memoryLog{state: state.New(), changed: make(chan struct{})}
}

func (l *memoryLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *memoryLog) Propose(_ context.Context, cmd *controlv1.Command) (*controlv1.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, errNoQuorum
	}
	cmd.TimeUnixMs = time.Now().UnixMilli()
	result := l.state.Apply(cmd)
	close(l.changed)
	l.changed = make(chan struct{})
	return result, nil
}

func (l *memoryLog) Read(_ context.Context, view func(*state.State)) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return errNoQuorum
	}
	l.state.Apply(&controlv1.Command{TimeUnixMs: time.Now().UnixMilli()})
	view(l.state)
	return nil
}

func (l *memoryLog) ReadLocal(view func(*state.State)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	view(l.state)
}

func (l *memoryLog) ConfigChanged() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

func (l *memoryLog) LeaderURL() string { return "control-1" }

// partition disconnects one process; its requests hang until they time out.
type partition struct {
	mu       sync.Mutex
	isolated bool
	// blockLeases fails only the requests for leases.
	blockLeases bool
}

func (p *partition) blockLeaseRequests() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blockLeases = true
}

func (p *partition) allowLease(ctx context.Context) error {
	p.mu.Lock()
	blocked := p.blockLeases
	p.mu.Unlock()
	if blocked {
		return errUnreachable
	}
	return p.allow(ctx)
}

func (p *partition) setIsolated(isolated bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isolated = isolated
}

func (p *partition) allow(ctx context.Context) error {
	p.mu.Lock()
	isolated := p.isolated
	p.mu.Unlock()
	if !isolated {
		return nil
	}
	<-ctx.Done()
	return errUnreachable
}

// controlClient is one process's connection to the control plane.
type controlClient struct {
	controlv1.Control
	partition *partition
}

func (c controlClient) GetConfig(ctx context.Context, r *controlv1.GetConfigRequest) (*controlv1.GetConfigResponse, error) {
	if err := c.partition.allow(ctx); err != nil {
		return nil, err
	}
	return c.Control.GetConfig(ctx, r)
}

func (c controlClient) ReportApplied(ctx context.Context, r *controlv1.ReportAppliedRequest) (*controlv1.ReportAppliedResponse, error) {
	if err := c.partition.allow(ctx); err != nil {
		return nil, err
	}
	return c.Control.ReportApplied(ctx, r)
}

func (c controlClient) GetStatus(ctx context.Context, r *controlv1.GetStatusRequest) (*controlv1.GetStatusResponse, error) {
	if err := c.partition.allow(ctx); err != nil {
		return nil, err
	}
	return c.Control.GetStatus(ctx, r)
}

func (c controlClient) AcquireLease(ctx context.Context, r *controlv1.AcquireLeaseRequest) (*controlv1.AcquireLeaseResponse, error) {
	if err := c.partition.allowLease(ctx); err != nil {
		return nil, err
	}
	return c.Control.AcquireLease(ctx, r)
}

func (c controlClient) ReleaseLease(ctx context.Context, r *controlv1.ReleaseLeaseRequest) (*controlv1.ReleaseLeaseResponse, error) {
	if err := c.partition.allow(ctx); err != nil {
		return nil, err
	}
	return c.Control.ReleaseLease(ctx, r)
}

func (c controlClient) UpdateRouting(ctx context.Context, r *controlv1.UpdateRoutingRequest) (*controlv1.UpdateRoutingResponse, error) {
	if err := c.partition.allow(ctx); err != nil {
		return nil, err
	}
	return c.Control.UpdateRouting(ctx, r)
}

// fault is the set of faults that a fake engine exhibits.
type fault struct {
	// refuse is the status of the response to every order; 0 accepts orders.
	refuse int
	// keepOldVersion ends loads on the previous version.
	keepOldVersion bool
	// misreportVersion reports the ordered version but runs the previous one.
	misreportVersion bool
	// loseResponses is the number of orders that are applied but get no
	// response.
	loseResponses int
	// ignoreStateRequests leaves requests for the state unanswered.
	ignoreStateRequests bool
	// restartInLoad is the number of loads in whose middle the engine restarts.
	restartInLoad int
}

// fakeEngine simulates an engine without a network. It is guarded by the
// fleet's mutex.
type fakeEngine struct {
	ann            backend.Announcement
	published      backend.Announcement
	version        string
	actualVersion  string
	adapters       []string
	role           string
	loading        bool
	running        int
	lastOrderID    string
	highestFencing uint64
	fault          fault
	loads          int
}

// fakeFleet holds the engines and counts violations of the safety invariants.
type fakeFleet struct {
	mu       sync.Mutex
	engines  map[string]*fakeEngine
	loadTime time.Duration

	activeLoads, peakLoads int
	// staleOrders counts accepted orders with a lower fencing number than an
	// earlier one. loadsWhileRunning counts loads that began while requests
	// were running.
	staleOrders, loadsWhileRunning int
	orders                         []string
}

func newFleet(n int, checks func(i int) bool) *fakeFleet {
	f := &fakeFleet{engines: make(map[string]*fakeEngine), loadTime: 500 * time.Millisecond}
	for i := range n {
		name := fmt.Sprintf("engine-%02d", i)
		kind := "prometheus-engine"
		if !checks(i) {
			kind = "json-engine"
		}
		e := &fakeEngine{version: "v1", actualVersion: "v1", ann: backend.Announcement{
			Server: name, Kind: kind, URL: "http://10.0." + fmt.Sprint(i%4) + "." + fmt.Sprint(i) + ":7001", Deployment: "quotes",
			FailureDomain: fmt.Sprintf("midlands-%d", i%4), Incarnation: 1, ChecksFencing: checks(i), Slots: 8,
		}}
		f.engines[name] = e
		e.published = e.announcement()
	}
	return f
}

func (e *fakeEngine) announcement() backend.Announcement {
	a := e.ann
	a.WeightVersion, a.Adapters, a.Role = e.version, e.adapters, e.role
	if e.loading {
		a.WeightVersion = ""
	}
	return a
}

func (f *fakeFleet) update(name string, change func(e *fakeEngine)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f.engines[name])
}

// keepOldVersions makes every load end on the previous version.
func (f *fakeFleet) keepOldVersions() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		e.fault.keepOldVersion = true
	}
}

// snapshot returns a snapshot of the engines.
func (f *fakeFleet) snapshot() map[string]fakeEngine {
	f.mu.Lock()
	defer f.mu.Unlock()
	engines := make(map[string]fakeEngine, len(f.engines))
	for name, e := range f.engines {
		engines[name] = *e
	}
	return engines
}

// announce publishes the current announcements of all engines.
func (f *fakeFleet) announce() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		e.published = e.announcement()
	}
}

func (f *fakeFleet) list() []backend.Announcement {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []backend.Announcement
	for _, e := range f.engines {
		list = append(list, e.published)
	}
	slices.SortFunc(list, func(x, y backend.Announcement) int { return compareStrings(x.Server, y.Server) })
	return list
}

func compareStrings(x, y string) int {
	if x < y {
		return -1
	}
	if x > y {
		return 1
	}
	return 0
}

func (f *fakeFleet) byURL(url string) *fakeEngine {
	for _, e := range f.engines {
		if e.ann.URL == url {
			return e
		}
	}
	return nil
}

func (f *fakeFleet) state(url string) *backend.EngineState {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.byURL(url)
	if e.fault.ignoreStateRequests {
		return nil
	}
	s := &backend.EngineState{
		Server: e.ann.Server, Incarnation: e.ann.Incarnation, Deployment: e.ann.Deployment, WeightVersion: e.version,
		Adapters: e.adapters, Role: e.role, Loading: e.loading, LastOrderID: e.lastOrderID, Running: e.running,
	}
	if e.ann.ChecksFencing {
		s.LastFencingNumber = e.highestFencing
	}
	return s
}

func (f *fakeFleet) load(url string, order *backend.LoadOrder) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.byURL(url)
	f.orders = append(f.orders, fmt.Sprintf("%s %d %s", e.ann.Server, order.FencingNumber, order.OrderID))
	if e.fault.refuse != 0 {
		return e.fault.refuse, nil
	}
	if order.FencingNumber < e.highestFencing {
		if e.ann.ChecksFencing {
			return http.StatusConflict, nil
		}
		f.staleOrders++
	}
	e.highestFencing = max(e.highestFencing, order.FencingNumber)
	if order.OrderID == e.lastOrderID {
		return http.StatusOK, nil
	}
	if e.loading {
		return http.StatusLocked, nil
	}
	if e.running > 0 {
		f.loadsWhileRunning++
	}
	e.lastOrderID, e.loading = order.OrderID, true
	e.loads++
	f.activeLoads++
	f.peakLoads = max(f.peakLoads, f.activeLoads)
	go f.finishLoad(e, *order, e.ann.Incarnation)
	if e.fault.loseResponses > 0 {
		e.fault.loseResponses--
		return 0, errUnreachable
	}
	return http.StatusAccepted, nil
}

// finishLoad completes a load after loadTime.
func (f *fakeFleet) finishLoad(e *fakeEngine, order backend.LoadOrder, incarnation uint64) {
	time.Sleep(f.loadTime / 2)
	f.mu.Lock()
	if e.fault.restartInLoad > 0 {
		e.fault.restartInLoad--
		f.activeLoads--
		e.ann.Incarnation++
		e.loading, e.lastOrderID, e.running = false, "", 0
		f.mu.Unlock()
		return
	}
	f.mu.Unlock()
	time.Sleep(f.loadTime / 2)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.activeLoads--
	if e.ann.Incarnation != incarnation {
		return
	}
	e.loading = false
	if e.fault.keepOldVersion && order.WeightVersion != "v1" {
		return
	}
	e.version, e.adapters = order.WeightVersion, order.Adapters
	if order.Role != "" {
		e.role = order.Role
	}
	if !e.fault.misreportVersion || order.WeightVersion == "v1" {
		e.actualVersion = order.WeightVersion
	}
}

// fleetClient is one steward's connection to the engines.
type fleetClient struct {
	*fakeFleet
	partition *partition
	// delay is how long orders are in flight.
	delay time.Duration
}

func (c *fleetClient) ListServers(ctx context.Context) ([]backend.Announcement, error) {
	if err := c.partition.allow(ctx); err != nil {
		return nil, err
	}
	return c.list(), nil
}

func (c *fleetClient) ReadState(ctx context.Context, url string) (*backend.EngineState, error) {
	if err := c.partition.allow(ctx); err != nil {
		return nil, err
	}
	if st := c.state(url); st != nil {
		return st, nil
	}
	return nil, errUnreachable
}

// Load delivers an order even if the sender times out before it arrives.
func (c *fleetClient) Load(ctx context.Context, url string, order *backend.LoadOrder) (int, error) {
	if c.delay == 0 {
		return c.load(url, order)
	}
	sent := *order
	time.AfterFunc(c.delay, func() { _, _ = c.load(url, &sent) })
	<-ctx.Done()
	return 0, ctx.Err()
}

func (c *fleetClient) Probe(_ context.Context, url, _, version string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.byURL(url); e.actualVersion != version {
		return fmt.Errorf("test run on version %q instead of %q", e.actualVersion, version)
	}
	return nil
}

// testCluster is a small system of the control plane, entries, stewards and
// engines.
type testCluster struct {
	t       *testing.T
	ctx     context.Context
	log     *memoryLog
	control controlv1.Control
	fleet   *fakeFleet
	doc     *config.Document

	// isolatedEntry is the partition of the entry that a test disconnects.
	isolatedEntry *partition

	mu                      sync.Mutex
	completed, wrongVersion int
	noServer                int
	minUsable               int
}

func newTestCluster(t *testing.T, fleet *fakeFleet) *testCluster {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		time.Sleep(time.Minute) // lets every goroutine of the synctest bubble end
	})
	log := newMemoryLog()
	doc, err := config.Decode(examples.HaddonPryce)
	require.NoError(t, err)
	doc.Deployments[0].Servers = len(fleet.engines)
	doc.Deployments[0].DrainTimeout = config.Duration(time.Minute) // these engines abort running requests when they load
	c := &testCluster{t: t, ctx: ctx, log: log, control: control.NewServer(log), fleet: fleet, doc: doc, minUsable: len(fleet.engines)}
	c.apply("first")
	go c.every(400*time.Millisecond, fleet.announce)
	return c
}

// every repeats a step until the test ends.
func (c *testCluster) every(interval time.Duration, step func()) {
	for c.ctx.Err() == nil {
		step()
		select {
		case <-c.ctx.Done():
		case <-time.After(interval):
		}
	}
}

func (c *testCluster) apply(id string) {
	c.t.Helper()
	items, err := config.Items(c.doc)
	require.NoError(c.t, err)
	status := c.status()
	response, err := c.control.ApplyConfig(c.ctx, &controlv1.ApplyConfigRequest{
		Environment: c.doc.Environment, ExpectedRevision: status.AcceptedRevision, ChangeId: id, Upserts: items,
	})
	require.NoError(c.t, err)
	require.True(c.t, response.Accepted, response.Reason)
}

func (c *testCluster) declare(version string) {
	c.doc.Deployments[0].WeightVersion = version
	c.apply("declare " + version)
}

func (c *testCluster) status() *controlv1.GetStatusResponse {
	status, err := c.control.GetStatus(c.ctx, &controlv1.GetStatusRequest{Environment: c.doc.Environment})
	require.NoError(c.t, err)
	return status
}

// serverRoute returns a server's route, or nil.
func (c *testCluster) serverRoute(server string) *controlv1.ServerRoute {
	for _, r := range c.status().Routes {
		if r.Server == server {
			return r
		}
	}
	return nil
}

func (c *testCluster) startWatcher(name, role string, p *partition) *watch.Watcher {
	w := watch.New(controlClient{c.control, p}, watch.Instance{
		Name: name, Role: role, Environment: c.doc.Environment, FailureDomain: "midlands-0", Incarnation: uint64(time.Now().UnixNano()),
	}, discardLogger)
	go w.Run(c.ctx)
	return w
}

// startSteward starts a steward. Its partition disconnects it from the control
// plane and the entries, but its orders still reach the engines.
func (c *testCluster) startSteward(name string, delay time.Duration) (*partition, context.CancelFunc) {
	p := &partition{}
	ctx, cancel := context.WithCancel(c.ctx)
	w := c.startWatcher(name, "steward", p)
	d := steward.NewDriver(steward.Options{
		Instance: name, Environment: c.doc.Environment, Control: controlClient{c.control, p},
		Backends: &fleetClient{fakeFleet: c.fleet, partition: p, delay: delay},
		Config:   w.View, Epoch: func() uint64 { return w.Routes().Current().Epoch }, Logger: discardLogger, Metrics: steward.NewMetrics(prometheus.NewRegistry()),
	})
	go d.Run(ctx)
	return p, cancel
}

// startEntry starts an entry that dispatches a request every 40 ms.
func (c *testCluster) startEntry(name string, seed uint64) *partition {
	p := &partition{}
	w := c.startWatcher(name, "entry", p)
	random := rand.New(rand.NewPCG(seed, 1))
	go c.every(40*time.Millisecond, func() { c.dispatch(w, random) })
	return p
}

// dispatchMargin is the entries' upper bound on the time from the lease check
// to the arrival of a request.
const dispatchMargin = 2 * time.Second

func (c *testCluster) dispatch(w *watch.Watcher, random *rand.Rand) {
	if w.View().Revision == 0 || !w.LeaseValid(time.Now().Add(dispatchMargin)) {
		return
	}
	view := w.Routes().Acquire()
	var names, versions []string
	for _, a := range c.fleet.list() {
		v, ok := view.WeightVersion(&a)
		if ok && a.Deployment == "quotes" && slices.Contains(view.ServingVersions(a.Deployment, w.View().Deployment("quotes").WeightVersion), v) {
			names, versions = append(names, a.Server), append(versions, v)
		}
	}
	if len(names) == 0 {
		view.Release()
		c.mu.Lock()
		c.noServer++
		c.mu.Unlock()
		return
	}
	i := random.IntN(len(names))
	transit := time.Duration(random.IntN(30)) * time.Millisecond
	duration := time.Duration(random.IntN(200)) * time.Millisecond
	c.mu.Lock()
	c.minUsable = min(c.minUsable, len(names))
	c.mu.Unlock()
	go func() {
		time.Sleep(transit)
		c.runRequest(names[i], versions[i], duration, view.Release)
	}()
}

func (c *testCluster) runRequest(server, version string, duration time.Duration, onArrival func()) {
	c.fleet.mu.Lock()
	e := c.fleet.engines[server]
	mismatch := e.loading || e.version != version
	e.running++
	c.fleet.mu.Unlock()
	onArrival()
	time.Sleep(duration)
	c.fleet.update(server, func(e *fakeEngine) { e.running = max(0, e.running-1) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.completed++
	if mismatch {
		c.wrongVersion++
	}
}

// awaitVersion waits until every engine except the given ones runs a version
// and every remaining server route is in the serving state.
func (c *testCluster) awaitVersion(version string, limit time.Duration, except ...string) time.Duration {
	c.t.Helper()
	started := time.Now()
	for time.Since(started) < limit {
		if c.reached(version, except) {
			return time.Since(started)
		}
		time.Sleep(10 * time.Millisecond)
	}
	for _, r := range c.status().Routes {
		c.t.Logf("%s %s %s %q failures %d", r.Server, r.State, r.WeightVersion, r.Reason, r.Failures)
	}
	for _, d := range c.status().Deployments {
		c.t.Logf("%v", d)
	}
	require.FailNow(c.t, "not all servers reached the version", version)
	return 0
}

func (c *testCluster) reached(version string, except []string) bool {
	for _, r := range c.status().Routes {
		if r.State != controlv1.RouteState_ROUTE_STATE_SERVING && !slices.Contains(except, r.Server) {
			return false
		}
	}
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	for name, e := range c.fleet.engines {
		if !slices.Contains(except, name) && (e.loading || e.version != version) {
			return false
		}
	}
	return true
}

// dispatchStats returns the smallest number of servers that an entry could use,
// and how many requests found no server.
func (c *testCluster) dispatchStats() (minUsable, noServer int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.minUsable, c.noServer
}

// requireSafe checks the invariants that must hold under every fault.
func (c *testCluster) requireSafe() {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	require.Positive(c.t, c.completed)
	require.Zero(c.t, c.wrongVersion, "requests on the wrong version or during a load")
	require.Zero(c.t, c.fleet.staleOrders, "orders of a former steward accepted after an order of its successor")
	require.Zero(c.t, c.fleet.loadsWhileRunning, "loads started while requests were running")
	require.LessOrEqual(c.t, c.fleet.peakLoads, 2, "concurrent loads")
}
