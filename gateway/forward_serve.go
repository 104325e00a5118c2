package gateway

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/galenaarch/galenaarch/intake"
)

// Reasons why a forwarded request is rejected before it is routed.
const (
	reasonOlderDocument rejectReason = "older document"
	reasonOtherRoute    rejectReason = "route does not lead to the service"
)

// serveForwarded serves a request that another instance has passed on. It has everything that a
// client's own request has, but is not passed on again.
//
// Invariant: a request that has left this instance, while that stood still, is not run here. Instances
// keep their sending side open, unlike clients.
func (g *Gateway) serveForwarded(rw http.ResponseWriter, r *http.Request) {
	if intake.FromContext(r.Context()).PeerLeft() {
		g.logger.Info("forwarded request dropped", slog.String("reason", string(reasonClientLeft)), slog.String("remote", r.RemoteAddr))
		panic(http.ErrAbortHandler)
	}
	f, err := decodeForwardedRequest(r.Header.Get(forwardHeader))
	if err != nil {
		g.logger.Warn("forwarded request not understood", "error", err)
		http.Error(rw, "malformed mark", http.StatusBadRequest)
		return
	}
	r.Header.Del(forwardHeader)
	// The time limit of the listener would end long streams; the body has that of its client.
	if err := http.NewResponseController(rw).SetReadDeadline(time.Time{}); err != nil {
		g.logger.Warn("read deadline of a forwarded request not lifted", "error", err)
	}
	g.serveRequest(rw, r, f)
}

// forwardedBy returns the instance that has passed the request on, empty for none.
func (c *call) forwardedBy() string {
	if c.forwarded == nil {
		return ""
	}
	return c.forwarded.from
}

// forwardWriter adds the result of a forwarded request to its response.
type forwardWriter struct {
	http.ResponseWriter
	call *call
}

// WriteHeader implements http.ResponseWriter.
func (w *forwardWriter) WriteHeader(status int) {
	c := w.call
	result := forwardResult{generated: c.rejected != "", sends: c.attemptsSent, software: c.software.Load()}
	ran := make(map[string]bool)
	for server := range c.ranServers {
		ran[server] = !c.ranBefore[server]
	}
	for server, here := range ran {
		if !here {
			delete(ran, server)
		}
	}
	result.ran = forwardedServers(ran)
	result.retry = result.generated && !c.mayHaveRun && c.rejected.isOfInstance()
	result.cut = c.rejected == reasonNoServer && c.reachesNone()
	result.stops = c.rejected == reasonStopping || c.rejected == reasonNoDocument
	w.Header().Set(forwardResultHeader, result.encode())
	w.ResponseWriter.WriteHeader(status)
}

// reachesNone reports whether this instance reaches no server of the request's service, as far as
// the request shows or the instance knows.
func (c *call) reachesNone() bool {
	if c.unreachable > 0 && c.attemptsSent == 0 {
		return true
	}
	if c.state == nil {
		return false
	}
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	return c.state.paths.Cut()
}

// Flush implements http.Flusher.
func (w *forwardWriter) Flush() {
	if f, ok := w.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}

// Unwrap gives http.ResponseController access to the connection.
func (w *forwardWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// isOfInstance reports whether another instance may serve a request that this one rejects.
func (r rejectReason) isOfInstance() bool {
	switch r {
	case reasonNoServer, reasonStopping, reasonOlderDocument, reasonNoDocument, reasonOtherRoute, reasonNoMemory:
		return true
	}
	return false
}

// mayAdopt returns the reason if the site document of this instance is too old for a forwarded
// request, otherwise an empty one.
//
// Invariant: a document that is older than that of the other instance rejects no request for good.
func (c *call) mayAdopt() rejectReason {
	if c.routing.documentVersion() >= c.forwarded.document {
		return ""
	}
	d := c.forwarded.decision
	if d == nil || d.Route.DeclaresPrompt {
		return reasonOlderDocument // the document says which accounts share contexts
	}
	return ""
}

// adoptForwarded takes over what another instance knows of the request. It returns the reason
// if the request cannot be served here.
func (c *call) adoptForwarded(now time.Time) rejectReason {
	f := c.forwarded
	if f.decision != nil {
		f.decision.adopt(c)
	}
	c.service = nil
	for _, target := range c.route.Targets {
		if target.Service == f.service {
			if service := c.routing.table.Service(f.service); service != nil {
				c.setService(service)
			}
		}
	}
	if c.service == nil {
		return reasonOtherRoute
	}
	if f.decision != nil {
		c.setDeadline(c.allowedTime())
		if c.prompt != nil {
			c.gateway.recordPromptLength(c)
		}
	}
	if end := now.Add(f.left); end.Before(c.deadline) {
		c.deadline = end
	}
	c.ranBefore = make(map[string]bool, len(f.ran))
	for _, server := range f.ran {
		c.ranServers[server], c.triedServers[server], c.ranBefore[server] = true, true, true
	}
	if f.lastEvent != "" {
		c.request.LastEventID = f.lastEvent
	}
	if f.sinceEvent > 0 {
		c.lastEventAt.Store(monotonic(now.Add(-f.sinceEvent)))
	}
	if f.software != nil {
		c.software.Store(f.software)
	}
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	if c.state.paths.Cut() {
		return reasonNoServer
	}
	return ""
}
