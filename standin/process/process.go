// Package process wraps the simulated servers in kernel components.
package process

import (
	"context"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/galenaarch/galenaarch/httpserver"
	"github.com/galenaarch/galenaarch/kernel"
	"github.com/galenaarch/galenaarch/standin/announcer"
	"github.com/galenaarch/galenaarch/telemetry"
)

// serverLimits bounds request bodies; the largest is one context block.
var serverLimits = httpserver.Limits{MaxBodyBytes: 64 << 20}

// Component serves the handler of a simulated server and announces the server to
// the entries.
type Component struct {
	name      string
	spanName  string
	address   string
	handler   http.Handler
	announcer *announcer.Announcer

	server *http.Server
	cancel context.CancelFunc
}

// New returns a component that listens on the address, a host:port. The span name is
// that of its requests' spans. Without an announcer, which may be nil, the server is not
// announced.
func New(name, spanName, address string, handler http.Handler, a *announcer.Announcer) *Component {
	return &Component{name: name, spanName: spanName, address: address, handler: handler, announcer: a}
}

// Name implements kernel.Component.
func (c *Component) Name() string { return c.name }

// Interface guards.
var (
	_ kernel.Starter = (*Component)(nil)
	_ kernel.Drainer = (*Component)(nil)
	_ kernel.Stopper = (*Component)(nil)
)

// Start implements kernel.Starter. It returns an error if it cannot listen.
func (c *Component) Start(ctx context.Context) error {
	listener, err := net.Listen("tcp", c.address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", c.address)
	}
	c.server = httpserver.New(telemetry.TraceHandler(c.spanName, c.handler), serverLimits)
	go func() { _ = c.server.Serve(listener) }() // returns after Stop
	ctx, c.cancel = context.WithCancel(ctx)
	if c.announcer != nil {
		go c.announcer.Run(ctx)
	}
	return nil
}

// Drain implements kernel.Drainer. It announces that the server is leaving and then
// shuts it down gracefully.
func (c *Component) Drain(ctx context.Context) error {
	c.cancel()
	if c.announcer != nil {
		c.announcer.AnnounceLeaving(ctx)
	}
	return c.server.Shutdown(ctx)
}

// Stop implements kernel.Stopper.
func (c *Component) Stop(context.Context) error {
	if c.cancel != nil {
		c.cancel()
	}
	if c.server == nil {
		return nil
	}
	return c.server.Close()
}
