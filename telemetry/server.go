package telemetry

import (
	"context"
	"flag"
	"net"
	"net/http"

	"github.com/alexedwards/flow"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"

	"github.com/galenaarch/galenaarch/httpserver"
	"github.com/galenaarch/galenaarch/kernel"
	"github.com/galenaarch/galenaarch/kernel/settings"
)

// Server serves /metrics, /livez and /readyz on a dedicated port.
type Server struct {
	address string
	ready   func() error
	ctx     *kernel.Context
	server  *http.Server
}

// NewServer returns a Server that listens on address. ready returns an
// error while the process is not ready.
func NewServer(address string, ready func() error) *Server {
	return &Server{address: address, ready: ready}
}

// Name implements kernel.Component.
func (s *Server) Name() string { return "telemetry" }

// Provision implements kernel.Provisioner.
func (s *Server) Provision(ctx *kernel.Context) error {
	s.ctx = ctx
	return nil
}

// Start implements kernel.Starter.
func (s *Server) Start(context.Context) error {
	mux := flow.New()
	mux.Handle("/metrics", promhttp.HandlerFor(s.ctx.Registry, promhttp.HandlerOpts{}), http.MethodGet)
	mux.HandleFunc("/livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }, http.MethodGet)
	mux.HandleFunc("/readyz", s.serveReady, http.MethodGet)
	s.server = httpserver.New(mux, httpserver.MetricsLimits)
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s for metrics", s.address)
	}
	listener = s.ctx.Intake.Protect(s.server, listener, "metrics")
	go func() { _ = s.server.Serve(listener) }() // returns after Stop
	return nil
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := s.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Stop implements kernel.Stopper.
func (s *Server) Stop(ctx context.Context) error {
	if s.server == nil {
		return nil
	}
	return s.server.Close()
}

// ListenSettings extends Settings with a metrics address, for programs whose own
// settings do not include one.
type ListenSettings struct {
	Settings
	// MetricsListen is the IP:port on which metrics and health checks are served.
	MetricsListen string
}

// RegisterFlags implements settings.Set.
func (s *ListenSettings) RegisterFlags(fs *flag.FlagSet) {
	s.Settings.RegisterFlags(fs)
	fs.StringVar(&s.MetricsListen, "metrics-listen", "127.0.0.1:9091", "IP:port for metrics and health checks")
}

// Check implements settings.Set.
func (s *ListenSettings) Check(c *settings.Checker) {
	s.Settings.Check(c)
	c.Address("metrics-listen", s.MetricsListen)
}
