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
)

// Context is what a component gets when it is provisioned.
type Context struct {
	Logger   *slog.Logger
	Registry *prometheus.Registry
	Tracer   trace.Tracer
}

// Component is a long-lived part of a process. It may also implement any of
// Provisioner, Validator, Starter, Drainer and Stopper.
type Component interface {
	// Name is a short name for logs.
	Name() string
}

// Provisioner sets a component up; it must not open listeners.
type Provisioner interface {
	Provision(ctx *Context) error
}

// Validator checks a provisioned component before anything starts.
type Validator interface {
	Validate() error
}

// Starter begins the work of a component and returns once it is ready. The
// context ends when the process stops.
type Starter interface {
	Start(ctx context.Context) error
}

// Drainer takes no new work and returns when accepted work has ended.
type Drainer interface {
	Drain(ctx context.Context) error
}

// Stopper releases what the component holds.
type Stopper interface {
	Stop(ctx context.Context) error
}

// Reloader reads its settings again when the process is told to (SIGHUP).
type Reloader interface {
	Reload() error
}

// State is a stage in the life of a process.
type State string

// States of an App, in their usual order.
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

// App runs components through one life cycle: provision, validate, start,
// drain, stop. Drain and stop visit the components in reverse order.
type App struct {
	ctx        *Context
	components []Component
	machine    *stateless.StateMachine
	run        context.Context
	cancel     context.CancelFunc
}

// NewApp returns an App over components, which start in the given order.
func NewApp(ctx *Context, components ...Component) *App {
	a := &App{ctx: ctx, components: components}
	a.run, a.cancel = context.WithCancel(context.Background())
	m := stateless.NewStateMachine(StateCreated)
	m.Configure(StateCreated).Permit(triggerProvision, StateProvisioned).Permit(triggerStop, StateStopped)
	m.Configure(StateProvisioned).Permit(triggerValidate, StateValidated).Permit(triggerStop, StateStopped)
	m.Configure(StateValidated).Permit(triggerStart, StateRunning).Permit(triggerStop, StateStopped)
	m.Configure(StateRunning).Permit(triggerDrain, StateDraining).Permit(triggerStop, StateStopped)
	m.Configure(StateDraining).Permit(triggerStop, StateStopped)
	m.OnTransitioned(func(_ context.Context, t stateless.Transition) {
		ctx.Logger.Info("life cycle", slog.Any("from", t.Source), slog.Any("to", t.Destination))
	})
	a.machine = m
	return a
}

// State returns the current stage.
func (a *App) State() State {
	return a.machine.MustState().(State)
}

// Start provisions, validates and starts every component. On an error the
// components that had started are stopped again.
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
		if err := s.Start(a.run); err != nil {
			a.Stop(context.Background())
			return eris.Wrapf(err, "start %s", c.Name())
		}
	}
	return a.machine.Fire(triggerStart)
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
	return a.machine.Fire(triggerProvision)
}

// validate reports the faults of all components at once.
func (a *App) validate() error {
	var faults []error
	for _, c := range a.components {
		v, ok := c.(Validator)
		if !ok {
			continue
		}
		if err := v.Validate(); err != nil {
			faults = append(faults, eris.Wrapf(err, "validate %s", c.Name()))
		}
	}
	if len(faults) > 0 {
		return errors.Join(faults...)
	}
	return a.machine.Fire(triggerValidate)
}

// Drain lets every component finish its accepted work, last started first.
func (a *App) Drain(ctx context.Context) error {
	if err := a.machine.Fire(triggerDrain); err != nil {
		return err
	}
	var faults []error
	for i := len(a.components) - 1; i >= 0; i-- {
		d, ok := a.components[i].(Drainer)
		if !ok {
			continue
		}
		if err := d.Drain(ctx); err != nil {
			faults = append(faults, eris.Wrapf(err, "drain %s", a.components[i].Name()))
		}
	}
	return errors.Join(faults...)
}

// Stop ends every component, last started first.
func (a *App) Stop(ctx context.Context) {
	a.cancel()
	for i := len(a.components) - 1; i >= 0; i-- {
		s, ok := a.components[i].(Stopper)
		if !ok {
			continue
		}
		if err := s.Stop(ctx); err != nil {
			a.ctx.Logger.Warn("stop failed", slog.String("component", a.components[i].Name()), slog.Any("error", err))
		}
	}
	if err := a.machine.Fire(triggerStop); err != nil {
		a.ctx.Logger.Warn("stop out of order", slog.Any("error", err))
	}
}

// reload lets every component read its settings again; one that cannot goes on
// with those it has.
func (a *App) reload() {
	a.ctx.Logger.Info("reload")
	for _, c := range a.components {
		if r, ok := c.(Reloader); ok {
			if err := r.Reload(); err != nil {
				a.ctx.Logger.Error("settings not read again", slog.String("component", c.Name()), slog.Any("error", err))
			}
		}
	}
}

// Run starts the App, waits for SIGTERM or SIGINT, drains and stops it. The
// drain is bounded by drainLimit only if that is above zero; a second signal
// ends the drain at once.
func (a *App) Run(drainLimit time.Duration) error {
	if err := a.Start(); err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	for running := true; running; {
		select {
		case <-reloads:
			a.reload()
		case <-signals:
			running = false
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if drainLimit > 0 {
		ctx, cancel = context.WithTimeout(ctx, drainLimit)
		defer cancel()
	}
	go func() {
		<-signals
		cancel()
	}()
	err := a.Drain(ctx)
	a.Stop(context.Background())
	return err
}
