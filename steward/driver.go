package steward

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/control/lease"
	"github.com/galenaarch/galenaarch/control/state"
)

// Intervals and timeouts of the driver.
const (
	leaseTTL = 5 * time.Second
	// renewInterval is the time between renewals of a lease.
	renewInterval = time.Second
	// idleInterval and busyInterval are the times between two reconciliations.
	// The driver is busy while a step of a plan is pending. idleInterval is also
	// the time between two samples of the states of routable servers.
	idleInterval = 2 * time.Second
	busyInterval = 10 * time.Millisecond
	// slowBusyInterval replaces busyInterval once nothing has changed for
	// fastPollWindow.
	slowBusyInterval = 100 * time.Millisecond
	fastPollWindow   = time.Second
	// idleCheckInterval is the time between checks, while idle, for a change
	// that requires a reconciliation.
	idleCheckInterval = 50 * time.Millisecond
	// controlTimeout bounds one request to the control plane, readTimeout one
	// read from an entry or a backend server.
	controlTimeout = 2 * time.Second
	readTimeout    = 2 * time.Second
	// stateTimeout bounds the reads of server states in one reconciliation, so
	// that a slow server does not delay the others.
	stateTimeout = 500 * time.Millisecond
	// orderTimeout bounds a load order. The lease holder sends no order that
	// could end after its lease.
	orderTimeout = time.Second
	// maxOrderInFlight is the longest time after which an order whose request
	// has timed out may still reach a server.
	maxOrderInFlight = 2 * time.Second
	probeTimeout     = 5 * time.Second
)

const (
	// maxConcurrentReads limits concurrent reads of server states.
	maxConcurrentReads = 32
	// stateSampleSize is the number of routable servers whose state is read
	// every idleInterval, to detect servers whose state differs from their
	// announcement.
	stateSampleSize = 8
)

// Options configures a driver.
type Options struct {
	Instance    string
	Environment string
	Control     controlv1.Control
	Backends    Backends
	// Config returns the active configuration, Epoch the routing epoch.
	Config  func() *config.View
	Epoch   func() uint64
	Logger  *slog.Logger
	Metrics *Metrics
}

// Driver reconciles deployments: it observes the servers, makes a plan, commits
// it to the control plane and sends its orders.
type Driver struct {
	Options
	leases map[string]*leaseState
	// draining is true if the last observation contained drain requests or
	// routes of service servers. Leases of plain services are acquired only
	// then.
	draining bool
	// lastChange is when a server route was last committed.
	lastChange time.Time
}

// leaseState is the lease on one deployment, held or not, and the state that is
// kept with it.
type leaseState struct {
	lease       *lease.Holder
	grant       *lease.Grant
	lastRenewal time.Time
	// nonFencingAfter is the earliest time at which orders may be sent to
	// servers that do not check fencing numbers.
	nonFencingAfter time.Time
	// sampleStart is the index of the first server in the last sample, which
	// was taken at lastSample.
	sampleStart int
	lastSample  time.Time

	// mu guards the fields below, which are keyed by server.
	mu       sync.Mutex
	refusals map[string]refusal
	probes   map[string]ProbeResult
	// probesInFlight contains the servers with a probe in progress.
	probesInFlight map[string]bool
}

// NewDriver returns a driver that holds no leases.
func NewDriver(o Options) *Driver { return &Driver{Options: o, leases: make(map[string]*leaseState)} }

// Run reconciles until the context is cancelled, then releases the leases. This
// is safe: no order is in progress by then, and the next holder waits out
// orders that timed out.
func (d *Driver) Run(ctx context.Context) {
	defer d.releaseLeases()
	for ctx.Err() == nil {
		if d.Reconcile(ctx) {
			d.sleep(ctx, d.nextBusyInterval())
			continue
		}
		d.waitForChange(ctx)
	}
}

func (d *Driver) releaseLeases() {
	for _, l := range d.leases {
		l.lease.Release()
	}
}

// waitForChange waits up to idleInterval for a new configuration revision, a
// new routing epoch or the lease of another deployment. It renews leases
// meanwhile.
func (d *Driver) waitForChange(ctx context.Context) {
	revision, epoch := d.Config().Revision, d.Epoch()
	heldCount := len(d.ensureLeases(ctx, d.Config()))
	deadline := time.Now().Add(idleInterval)
	for time.Now().Before(deadline) && d.Config().Revision == revision && d.Epoch() == epoch && ctx.Err() == nil {
		d.sleep(ctx, idleCheckInterval)
		if len(d.ensureLeases(ctx, d.Config())) > heldCount {
			return
		}
	}
}

// nextBusyInterval returns slowBusyInterval once nothing has changed for
// fastPollWindow.
func (d *Driver) nextBusyInterval() time.Duration {
	if time.Since(d.lastChange) < fastPollWindow {
		return busyInterval
	}
	return slowBusyInterval
}

func (d *Driver) sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

// Reconcile reconciles every held deployment once and reports whether a step of
// one is pending.
func (d *Driver) Reconcile(ctx context.Context) bool {
	started := time.Now()
	defer func() { d.Metrics.reconcile.Observe(time.Since(started).Seconds()) }()
	view := d.Config()
	held := d.ensureLeases(ctx, view)
	if len(held) == 0 {
		return false
	}
	obs, err := d.observeFleet(ctx)
	if err != nil {
		d.warn(ctx, "observation failed", "", err)
		return false
	}
	busy := false
	for _, dep := range held {
		pending, err := d.reconcileDeployment(ctx, view, dep, obs)
		if err != nil {
			d.warn(ctx, "reconciliation failed", dep.Name, err)
		}
		busy = busy || pending
	}
	return busy
}

func (d *Driver) warn(ctx context.Context, message, deployment string, err error) {
	if ctx.Err() == nil {
		d.Logger.Warn(message, slog.String("deployment", deployment), slog.Any("error", err))
	}
}

// ensureLeases renews or tries to acquire the lease of each deployment and
// returns the deployments whose lease is held.
func (d *Driver) ensureLeases(ctx context.Context, view *config.View) []*config.Deployment {
	var held []*config.Deployment
	for i := range view.Document.Deployments {
		dep := &view.Document.Deployments[i]
		if d.ensureLease(ctx, dep.Name) {
			held = append(held, dep)
		}
	}
	if !d.draining {
		return held
	}
	for _, s := range view.Document.Services {
		if dep := deploymentForService(&s); d.ensureLease(ctx, dep.Name) {
			held = append(held, dep)
		}
	}
	return held
}

// ensureLease renews or tries to acquire the lease of a deployment, at most once
// every renewInterval, and reports whether the lease is held.
func (d *Driver) ensureLease(ctx context.Context, deployment string) bool {
	l, ok := d.leases[deployment]
	if !ok {
		name := state.StewardLeaseName(d.Environment, deployment)
		l = &leaseState{lease: lease.NewHolder(d.Control, name, d.Instance, leaseTTL)}
		d.leases[deployment] = l
	}
	now := time.Now()
	if now.Sub(l.lastRenewal) < renewInterval {
		return l.lease.Grant(now) != nil
	}
	l.lastRenewal = now
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	grant, err := l.lease.AcquireOrRenew(ctx)
	if err != nil && !errors.Is(err, lease.ErrHeld) {
		d.warn(ctx, "lease not renewed", deployment, err)
	}
	if err == nil && (l.grant == nil || l.grant.FencingNumber != grant.FencingNumber) {
		l.resetForNewLease(time.Now())
		d.Logger.Info("deployment lease acquired", slog.String("deployment", deployment), slog.Uint64("fencing_number", grant.FencingNumber))
	}
	if err == nil {
		l.grant = grant
	}
	return l.lease.Grant(time.Now()) != nil
}

// resetForNewLease discards the state of an earlier lease. The former holder's
// lease has expired by the control plane's clock, and the former holder sends
// no order that could end after the lease by its own clock. What remains to be
// waited out is the clock drift over one lease TTL and an order in flight.
func (l *leaseState) resetForNewLease(now time.Time) {
	clockError := time.Duration(float64(leaseTTL) * lease.MaxClockDrift)
	l.nonFencingAfter = now.Add(clockError + maxOrderInFlight)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusals = make(map[string]refusal)
	l.probes = make(map[string]ProbeResult)
	l.probesInFlight = make(map[string]bool)
}

// reconcileDeployment makes and executes a plan for one deployment.
func (d *Driver) reconcileDeployment(ctx context.Context, view *config.View, dep *config.Deployment, obs *observation) (bool, error) {
	l := d.leases[dep.Name]
	input := d.planInput(view, dep, obs, l)
	if service := view.Service(strings.TrimPrefix(dep.Name, servicePrefix)); service != nil && strings.HasPrefix(dep.Name, servicePrefix) {
		synthesizeStates(&input, service)
	} else {
		d.readStates(ctx, &input, l)
	}
	l.addOrderOutcomes(&input)
	plan := MakePlan(input)
	d.recordMetrics(dep.Name, plan, input.DeploymentRoute)
	if plan.DeploymentRoute != nil {
		l.lease.SetNote(plan.DeploymentRoute.Checks.GetNote())
	}
	refused, err := d.commit(ctx, &input, &plan, l, obs.status)
	if err != nil {
		return true, err
	}
	orders := slices.DeleteFunc(plan.Orders, func(o Order) bool { return slices.Contains(refused, o.Server) })
	d.sendOrders(ctx, orders, l)
	d.startProbes(ctx, dep, &input, plan.Probes, l)
	return plan.Busy || len(plan.RouteUpserts) > 0, d.rollBack(ctx, view, dep, plan.RollbackVersion)
}

func (d *Driver) recordMetrics(deployment string, plan Plan, route *controlv1.DeploymentRoute) {
	if plan.DeploymentRoute != nil {
		route = plan.DeploymentRoute
	}
	d.Metrics.onTarget.WithLabelValues(deployment).Set(float64(route.GetChecks().GetOnTarget()))
	d.Metrics.setAside.WithLabelValues(deployment).Set(float64(route.GetChecks().GetSetAside()))
}
