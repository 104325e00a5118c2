// Package steward updates backend servers to the state that the configuration
// document declares. One steward at a time manages a deployment: it holds a
// lease from the control plane, and every load order contains the lease's
// fencing number. MakePlan computes the changes without using a clock or the
// network. Driver observes the servers, commits the plan's server routes to the
// control plane and sends its orders.
package steward

import (
	"context"
	"flag"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenaarch/galenaarch/config/watch"
	"github.com/galenaarch/galenaarch/control/client"
	"github.com/galenaarch/galenaarch/kernel"
	"github.com/galenaarch/galenaarch/kernel/settings"
	"github.com/galenaarch/galenaarch/transport"
)

// stopTimeout bounds the wait for the release of leases.
const stopTimeout = 2 * controlTimeout

// Settings configures a steward.
type Settings struct {
	Instance      string
	FailureDomain string
	Environment   string
	MetricsListen string
	// Control and Entries are comma-separated lists of base URLs.
	Control string
	Entries string
	// TLS secures the connections to the system's other processes.
	TLS transport.Settings
}

// RegisterFlags implements settings.Set.
func (s *Settings) RegisterFlags(fs *flag.FlagSet) {
	fs.StringVar(&s.Instance, "instance", "", "name of this instance")
	fs.StringVar(&s.FailureDomain, "failure-domain", "", "failure domain of this instance")
	fs.StringVar(&s.Environment, "environment", "production", "environment that is served")
	fs.StringVar(&s.MetricsListen, "metrics-listen", "127.0.0.1:9092", "IP:port for metrics and health")
	fs.StringVar(&s.Control, "control", "http://127.0.0.1:8090", "base URLs of the control replicas, comma-separated")
	s.TLS.RegisterFlags(fs)
	fs.StringVar(&s.Entries, "entries", "http://127.0.0.1:8082", "base URLs of the entries' peer listeners, comma-separated")
}

// Check implements settings.Set.
func (s *Settings) Check(c *settings.Checker) {
	c.Required("instance", s.Instance)
	c.Required("failure-domain", s.FailureDomain)
	c.Required("environment", s.Environment)
	c.Address("metrics-listen", s.MetricsListen)
	c.Required("control", s.Control)
	c.URLs("control", s.Control)
	c.Required("entries", s.Entries)
	c.URLs("entries", s.Entries)
	s.TLS.Check(c, nil, append(settings.SplitList(s.Control), settings.SplitList(s.Entries)...))
}

// Steward is the component of a steward process.
type Steward struct {
	settings  Settings
	transport *transport.Transport
	watcher   *watch.Watcher
	driver    *Driver
	done      chan struct{}
}

// New returns a steward with the given settings.
func New(s Settings) *Steward { return &Steward{settings: s} }

// Interface guards.
var (
	_ kernel.Provisioner = (*Steward)(nil)
	_ kernel.Starter     = (*Steward)(nil)
	_ kernel.Stopper     = (*Steward)(nil)
)

// Name implements kernel.Component.
func (s *Steward) Name() string { return "steward" }

// Provision implements kernel.Provisioner.
func (s *Steward) Provision(ctx *kernel.Context) error {
	tlsTransport, err := transport.New(s.settings.TLS, ctx.Logger)
	if err != nil {
		return eris.Wrap(err, "certificates")
	}
	s.transport = tlsTransport
	controlClient := client.New(settings.SplitList(s.settings.Control), tlsTransport.Client())
	s.watcher = watch.New(controlClient, watch.Instance{
		Name:          s.settings.Instance,
		Role:          "steward",
		Environment:   s.settings.Environment,
		FailureDomain: s.settings.FailureDomain,
		Incarnation:   uint64(time.Now().UnixNano()),
	}, ctx.Logger)
	s.driver = NewDriver(Options{
		Instance:    s.settings.Instance,
		Environment: s.settings.Environment,
		Control:     controlClient,
		Backends:    NewHTTPBackends(settings.SplitList(s.settings.Entries), tlsTransport.Client()),
		Config:      s.watcher.View,
		Epoch:       func() uint64 { return s.watcher.Routes().Current().Epoch },
		Logger:      ctx.Logger,
		Metrics:     NewMetrics(ctx.Registry),
	})
	return nil
}

// Start implements kernel.Starter.
func (s *Steward) Start(ctx context.Context) error {
	go s.transport.Run(ctx)
	go s.watcher.Run(ctx)
	s.done = make(chan struct{})
	go func() {
		defer close(s.done)
		s.driver.Run(ctx)
	}()
	return nil
}

// Stop implements kernel.Stopper. It waits until the leases are released, so
// that another steward can take over immediately.
func (s *Steward) Stop(ctx context.Context) error {
	if s.done == nil {
		return nil
	}
	select {
	case <-s.done:
	case <-ctx.Done():
	case <-time.After(stopTimeout):
	}
	return nil
}

// Ready returns the reason why the steward cannot work, or nil.
func (s *Steward) Ready() error {
	if s.watcher == nil || s.watcher.View().Revision == 0 {
		return eris.New("no configuration is in force")
	}
	return nil
}
