package weights

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/config/site"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/fleetview"
	"github.com/galenaarch/galenaarch/kernel"
)

// Times of the runner.
const (
	tickEvery = 50 * time.Millisecond
	// confirmLife is how long the quorum's word that this instance leads is
	// good for the sending of an order. Without it a former leader might still
	// order after the next one has begun.
	confirmLife = 400 * time.Millisecond
	// takeOverMargin is waited beyond the lease of the former holder: its last
	// order may have been sent confirmLife after it was confirmed, and be under
	// way for as long again.
	takeOverMargin = 2 * confirmLife
	callTimeout    = 800 * time.Millisecond
	// maxFailures in a row give a server's place to another one.
	maxFailures = 3
)

// Outcome of an order.
type Outcome int

// Outcomes of orders.
const (
	// OutcomeUnknown: no answer; the order may be carried out late.
	OutcomeUnknown Outcome = iota
	OutcomeAccepted
	// OutcomeHolds: what was ordered holds already.
	OutcomeHolds
	// OutcomeRefused: another order is under way, or the sequence differs.
	OutcomeRefused
	// OutcomeOther: another server answered.
	OutcomeOther
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return [...]string{"unknown", "accepted", "holds", "refused", "another server"}[o]
}

// Mode says what becomes of the runs that an engine has when it loads weights.
type Mode int

// Modes of loading.
const (
	// ModeFinish lets them finish first: no answer is broken off, and none is made
	// on two versions.
	ModeFinish Mode = iota
	// ModeCut resets their streams; ModeKeep goes on with them on the new version.
	ModeCut
	ModeKeep
)

// Order tells an engine to load a version of a model.
type Order struct {
	Model   string
	Version uint64
	Mode    Mode
	// Holder is this instance, Fence the number of its right to order; a later
	// holder's number is higher.
	Holder string
	Fence  uint64
	// Expected is the number of orders that the engine must have accepted.
	Expected uint64
}

// OrderAnswer is what an engine answered to an order.
type OrderAnswer struct {
	Outcome Outcome
	// Leaving says that the engine gets no new requests any more.
	Leaving bool
}

// Engines calls backend servers that run models. One that wants nothing for a time
// is a dispatch.PausedError; the report is never nil, and says with an error too
// whether the engine leaves.
type Engines interface {
	Report(ctx context.Context, s Server) (*Report, error)
	Order(ctx context.Context, s Server, o Order) (OrderAnswer, error)
}

// Leadership says whether this instance leads the control group.
type Leadership interface {
	// Confirm asks the quorum and returns the term in which this instance leads.
	Confirm(ctx context.Context) (term uint64, err error)
	// Leads is this instance's own belief, without the quorum.
	Leads() bool
}

// Runner gives the orders while this instance leads.
type Runner struct {
	name       string
	lease      time.Duration
	within     time.Duration
	engines    Engines
	leadership Leadership
	view       *fleetview.View
	observe    func(server string, born int64, versions map[string]uint64)
	leaves     func(server string, born int64)
	decode     func(content []byte) (*site.Document, error)
	logger     *slog.Logger

	mu       sync.Mutex
	plan     *Plan
	cleaner  cleaner
	failures map[string]int
	busy     map[string]bool
	// paused is when engines that wanted nothing may be asked again.
	paused map[string]time.Time
	term   uint64
	// since is when this instance first confirmed the term; boot time.
	since      time.Duration
	confirming bool
}

// NewRunner returns a runner for the instance of a name. lease is how long the
// orders of a former holder may still stand, within the
// time in which all servers are to change; observe hears of the versions seen,
// leaves of engines that say they leave.
func NewRunner(name string, lease, within time.Duration, e Engines, stores Stores, l Leadership, v *fleetview.View,
	observe func(string, int64, map[string]uint64), leaves func(string, int64), decode func([]byte) (*site.Document, error), logger *slog.Logger) *Runner {
	return &Runner{
		name: name, lease: lease, engines: e, leadership: l, view: v, observe: observe, leaves: leaves, decode: decode, logger: logger, paused: make(map[string]time.Time),
		cleaner: cleaner{stores: stores, logger: logger},
		within:  within, plan: NewPlan(within), failures: make(map[string]int), busy: make(map[string]bool),
	}
}

// Run works until the context ends.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.tick(ctx)
		}
	}
}

// wanted lists the versions asked for and the engines there are.
func (r *Runner) wanted() (map[string]uint64, []Server) {
	s := r.view.Current()
	wanted := make(map[string]uint64)
	for name, d := range s.Documents {
		if model, ok := site.WeightsModel(name); ok {
			wanted[model] = d.Version
		}
	}
	var servers []Server
	for _, a := range s.Servers {
		if len(a.Weights) == 0 || a.Silent || a.State != fleetv1.ServerState_SERVER_STATE_READY {
			continue
		}
		server := Server{ID: a.Server, Address: a.Address, Service: a.Service, Born: a.BornUnixMs, Versions: make(map[string]uint64)}
		for _, w := range a.Weights {
			server.Versions[w.Model] = w.Version
		}
		servers = append(servers, server)
	}
	return wanted, servers
}

func (r *Runner) tick(ctx context.Context) {
	if !r.leadership.Leads() {
		r.forget()
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.term == 0 && !r.confirming {
		// The former holder's lease begins to run out now, not with the first
		// order.
		r.confirming = true
		go r.claim(ctx)
	}
	wanted, servers := r.wanted()
	if len(wanted) == 0 {
		return
	}
	if r.cleaner.due(wanted, servers, time.Now()) {
		for _, address := range r.storeAddresses() {
			go r.cleaner.clean(ctx, address, oldest(wanted))
		}
	}
	now := time.Now()
	for _, t := range r.plan.Next(servers, wanted, now) {
		if r.busy[t.Server.ID] || now.Before(r.paused[t.Server.ID]) {
			continue
		}
		r.busy[t.Server.ID] = true
		go r.do(ctx, t, wanted)
	}
}

func (r *Runner) claim(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _, err := r.entitled(ctx)
	if err != nil && !errors.Is(err, errNotYet) {
		r.logger.Info("right to order not confirmed", slog.Any("error", err))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirming = false
}

// storeAddresses lists the stores of the document in force.
func (r *Runner) storeAddresses() []string {
	d := r.view.Current().Documents[site.DocumentName]
	if d == nil {
		return nil
	}
	document, err := r.decode(d.Content)
	if err != nil {
		r.logger.Error("document not read", slog.Uint64("version", d.Version), slog.Any("error", err))
		return nil
	}
	var list []string
	for i := range document.Services {
		if s := document.Services[i].Store; s != nil {
			list = append(list, s.Address)
		}
	}
	return list
}

// forget ends this instance's right to order.
func (r *Runner) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.term != 0 {
		r.logger.Info("right to order ended", slog.Uint64("term", r.term))
		r.term, r.plan, r.failures = 0, NewPlan(r.within), make(map[string]int)
	}
}

func (r *Runner) do(ctx context.Context, t Task, wanted map[string]uint64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if t.Step == StepLook {
		r.look(ctx, t, wanted)
	} else {
		r.order(ctx, t)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.busy, t.Server.ID)
}

func (r *Runner) look(ctx context.Context, t Task, wanted map[string]uint64) {
	began := time.Now()
	report, err := r.engines.Report(ctx, t.Server)
	r.hear(t, report.Leaving, err)
	if err != nil {
		r.failed(t, "look", err)
		return
	}
	r.observe(t.Server.ID, t.Server.Born, report.Versions)
	if next := r.looked(t, report, wanted, began); next.Step == StepOrder {
		r.order(ctx, next)
	}
}

// looked notes a report and returns what is due at the server now.
func (r *Runner) looked(t Task, report *Report, wanted map[string]uint64, began time.Time) Task {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.failures, t.Server.ID)
	if r.plan.Looked(t.Server.ID, report, wanted, began) {
		r.logger.Info("weights in place", slog.String("server", t.Server.ID), slog.Any("versions", report.Versions))
		return Task{}
	}
	return r.plan.Due(t.Server.ID, wanted, time.Now())
}

// hear takes an engine's word that it leaves, or wants nothing for a time.
func (r *Runner) hear(t Task, leaving bool, err error) {
	if leaving {
		r.leaves(t.Server.ID, t.Server.Born)
	}
	var paused *dispatch.PausedError
	if !errors.As(err, &paused) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for server, until := range r.paused {
		if time.Now().After(until) {
			delete(r.paused, server)
		}
	}
	r.paused[t.Server.ID] = time.Now().Add(paused.Wait())
	r.logger.Info("engine wants nothing", slog.String("server", t.Server.ID), slog.Duration("for", paused.Wait()))
}

func (r *Runner) failed(t Task, step string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logger.Warn("engine not reached", slog.String("step", step), slog.String("server", t.Server.ID), slog.String("address", t.Server.Address), slog.Any("error", err))
	r.plan.Failed(t.Server.ID, time.Now())
	r.failures[t.Server.ID]++
	if r.failures[t.Server.ID] >= maxFailures {
		delete(r.failures, t.Server.ID)
		r.plan.Release(t.Server.ID)
	}
}

// errNotYet says that the former holder's orders may still stand.
var errNotYet = errors.New("the lease of a former holder has not run out")

// entitled confirms the right to order and returns the fence, and the boot time
// until which an order may be sent.
func (r *Runner) entitled(ctx context.Context) (fence uint64, until time.Duration, err error) {
	began := kernel.BootTime()
	term, err := r.leadership.Confirm(ctx)
	if err != nil {
		return 0, 0, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if term != r.term {
		r.term, r.since = term, kernel.BootTime()
		r.logger.Info("right to order confirmed", slog.Uint64("term", term), slog.Duration("wait", r.lease+takeOverMargin))
	}
	if kernel.BootTime()-r.since < r.lease+takeOverMargin {
		return 0, 0, errNotYet
	}
	return term, began + confirmLife, nil
}

func (r *Runner) order(ctx context.Context, t Task) {
	fence, until, err := r.entitled(ctx)
	if err != nil {
		if !errors.Is(err, errNotYet) {
			r.logger.Info("order not given", slog.String("server", t.Server.ID), slog.Any("error", err))
		}
		return
	}
	// The machine may have stood still since the quorum answered.
	if kernel.BootTime() > until {
		return
	}
	o := Order{Model: t.Model, Version: t.Version, Mode: ModeFinish, Holder: r.name, Fence: fence, Expected: t.Expected}
	answer, err := r.engines.Order(ctx, t.Server, o)
	outcome := answer.Outcome
	r.hear(t, answer.Leaving, err)
	r.logger.Info("order given", slog.String("server", t.Server.ID), slog.String("model", t.Model), slog.Uint64("version", t.Version),
		slog.Uint64("fence", fence), slog.Uint64("expected", t.Expected), slog.String("outcome", outcome.String()), slog.Any("error", err))
	r.mu.Lock()
	defer r.mu.Unlock()
	switch outcome {
	case OutcomeAccepted, OutcomeUnknown, OutcomeHolds:
		r.plan.Ordered(t.Server.ID, true, time.Now())
	default:
		r.plan.Ordered(t.Server.ID, false, time.Now())
	}
}
