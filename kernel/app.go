package kernel

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/qmuntal/stateless"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/trace"

	"github.com/galenaarch/galenaarch/intake"
)

// Context holds the process-wide services passed to a component when it is
// provisioned.
type Context struct {
	Logger   *slog.Logger
	Registry *prometheus.Registry
	Tracer   trace.Tracer
	// Intake bounds what the process holds for its peers; nil bounds nothing.
	Intake *intake.Budget
}

// Component is a long-lived part of a process. It may also implement any of
// Provisioner, Validator, Starter, Drainer, Stopper and Reloader.
type Component interface {
	// Name returns a short name for logs.
	Name() string
}

// Provisioner is implemented by components that need setup before validation.
// Provision must not open listeners.
type Provisioner interface {
	Provision(ctx *Context) error
}

// Validator is implemented by components that check their setup. All components
// are validated before any of them starts.
type Validator interface {
	Validate() error
}

// Starter is implemented by components that run in the background. Start returns
// once the component is ready. The context is canceled when the process stops.
type Starter interface {
	Start(ctx context.Context) error
}

// Drainer is implemented by components that shut down gracefully. Drain accepts
// no new work and returns once accepted work has finished.
type Drainer interface {
	Drain(ctx context.Context) error
}

// Stopper is implemented by components that hold resources until shutdown.
type Stopper interface {
	Stop(ctx context.Context) error
}

// Reloader is implemented by components that reread their settings on SIGHUP.
type Reloader interface {
	Reload() error
}

// State is the lifecycle state of an App.
type State string

// Lifecycle states in their usual order.
const (
	StateCreated     State = "created"
	StateProvisioned State = "provisioned"
	StateValidated   State = "validated"
	StateRunning     State = "running"
	StateDraining    State = "draining"
	StateStopped     State = "stopped"
)

type trigger string

const (
	triggerProvision trigger = "provision"
	triggerValidate  trigger = "validate"
	triggerStart     trigger = "start"
	triggerDrain     trigger = "drain"
	triggerStop      trigger = "stop"
)

// App takes its components through a common lifecycle: provision, validate,
// start, drain, stop. Drain and stop run in reverse order.
type App struct {
	ctx          *Context
	components   []Component
	stateMachine *stateless.StateMachine
	runCtx       context.Context
	cancel       context.CancelFunc
}

// NewApp returns an App for the components, which start in the given order.
func NewApp(ctx *Context, components ...Component) *App {
	a := &App{ctx: ctx, components: components}
	a.runCtx, a.cancel = context.WithCancel(context.Background())
	m := stateless.NewStateMachine(StateCreated)
	m.Configure(StateCreated).Permit(triggerProvision, StateProvisioned).Permit(triggerStop, StateStopped)
	m.Configure(StateProvisioned).Permit(triggerValidate, StateValidated).Permit(triggerStop, StateStopped)
	m.Configure(StateValidated).Permit(triggerStart, StateRunning).Permit(triggerStop, StateStopped)
	m.Configure(StateRunning).Permit(triggerDrain, StateDraining).Permit(triggerStop, StateStopped)
	m.Configure(StateDraining).Permit(triggerStop, StateStopped)
	m.OnTransitioned(func(_ context.Context, t stateless.Transition) {
		ctx.Logger.Info("lifecycle state changed", slog.Any("from", t.Source), slog.Any("to", t.Destination))
	})
	a.stateMachine = m
	return a
}

// State returns the current lifecycle state.
func (a *App) State() State {
	return a.stateMachine.MustState().(State)
}

// Start provisions, validates and starts every component. If a component fails
// to start, Stop is called on all components.
func (a *App) Start() error {
	if err := a.provision(); err != nil {
		return err
	}
	if err := a.validate(); err != nil {
		return err
	}
	for _, c := range a.components {
		s, ok := c.(Starter)
		if !ok {
			continue
		}
		if err := s.Start(a.runCtx); err != nil {
			a.Stop(context.Background())
			return eris.Wrapf(err, "start %s", c.Name())
		}
	}
	return a.stateMachine.Fire(triggerStart)
}

func (a *App) provision() error {
	for _, c := range a.components {
		p, ok := c.(Provisioner)
		if !ok {
			continue
		}
		if err := p.Provision(a.ctx); err != nil {
			return eris.Wrapf(err, "provision %s", c.Name())
		}
	}
	return a.stateMachine.Fire(triggerProvision)
}

// validate checks all components and returns their joined errors.
func (a *App) validate() error {
	var errs []error
	for _, c := range a.components {
		v, ok := c.(Validator)
		if !ok {
			continue
		}
		if err := v.Validate(); err != nil {
			errs = append(errs, eris.Wrapf(err, "validate %s", c.Name()))
		}
	}
	if len(errs) > 0 {
		return errors.Join(errs...)
	}
	return a.stateMachine.Fire(triggerValidate)
}

// Drain drains the components in reverse start order. An error does not keep the
// remaining components from draining.
func (a *App) Drain(ctx context.Context) error {
	if err := a.stateMachine.Fire(triggerDrain); err != nil {
		return err
	}
	var errs []error
	for i := len(a.components) - 1; i >= 0; i-- {
		d, ok := a.components[i].(Drainer)
		if !ok {
			continue
		}
		if err := d.Drain(ctx); err != nil {
			errs = append(errs, eris.Wrapf(err, "drain %s", a.components[i].Name()))
		}
	}
	return errors.Join(errs...)
}

// Stop stops the components in reverse start order. Errors are only logged.
func (a *App) Stop(ctx context.Context) {
	a.cancel()
	for i := len(a.components) - 1; i >= 0; i-- {
		s, ok := a.components[i].(Stopper)
		if !ok {
			continue
		}
		if err := s.Stop(ctx); err != nil {
			a.ctx.Logger.Warn("component failed to stop", slog.String("component", a.components[i].Name()), slog.Any("error", err))
		}
	}
	if err := a.stateMachine.Fire(triggerStop); err != nil {
		a.ctx.Logger.Warn("invalid lifecycle transition on stop", slog.Any("error", err))
	}
}

// reload rereads the settings of every component. A component that fails keeps
// its current settings.
func (a *App) reload() {
	a.ctx.Logger.Info("reloading settings")
	for _, c := range a.components {
		if r, ok := c.(Reloader); ok {
			if err := r.Reload(); err != nil {
				a.ctx.Logger.Error("settings reload failed, keeping the current settings", slog.String("component", c.Name()), slog.Any("error", err))
			}
		}
	}
}

// repeatedStopMessage is logged for a SIGTERM that arrives during a drain.
const repeatedStopMessage = "stop signal repeated, the drain goes on"

// abortDrain cancels the drain on SIGINT.
//
// Invariant: a repeated SIGTERM does not shorten the drain. Supervisors repeat it, and
// responses in progress would be cut.
func (a *App) abortDrain(signals <-chan os.Signal, cancel context.CancelFunc) {
	for s := range signals {
		if s == syscall.SIGINT {
			cancel()
			return
		}
		a.ctx.Logger.Info(repeatedStopMessage, slog.String("signal", s.String()))
	}
}

// Run starts the App, waits for SIGTERM or SIGINT, then drains and stops it.
// drainTimeout bounds the drain; zero or less means no bound. SIGINT aborts the
// drain immediately, a further SIGTERM does not.
func (a *App) Run(drainTimeout time.Duration) error {
	// Before Start: a SIGHUP that nobody receives ends the process.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)
	if err := a.Start(); err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	for running := true; running; {
		select {
		case <-reloadSignals:
			a.reload()
		case <-signals:
			running = false
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if drainTimeout > 0 {
		ctx, cancel = context.WithTimeout(ctx, drainTimeout)
		defer cancel()
	}
	go a.abortDrain(signals, cancel)
	err := a.Drain(ctx)
	a.Stop(context.Background())
	return err
}
