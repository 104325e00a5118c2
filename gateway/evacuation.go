package gateway

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"strings"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/config/site"
	"github.com/galenaarch/galenaarch/fleetview"
)

// reasonEvacuated rejects requests to a service whose servers are all in failure domains that
// operators empty.
const reasonEvacuated rejectReason = "failure domains of the servers are emptied"

// errEvacuated reports a request that was about to be sent to a server whose failure domain
// an operator empties. Nothing of it was sent.
var errEvacuated = errors.New("failure domain of the server is emptied")

// awaitsEvacuations reports whether orders on failure domains exist that this process does not
// hold yet.
//
// Invariant: a process that starts sends nothing to servers of a domain that was emptied before.
// It applies its first site document only with all orders that a majority of the control
// instances has reported.
func awaitsEvacuations(s *fleetview.Snapshot) bool {
	return slices.ContainsFunc(s.Awaited, func(document string) bool { return strings.HasPrefix(document, site.EvacuationPrefix) })
}

// logEvacuations logs the orders that take force with next, and those that are withdrawn.
func (g *Gateway) logEvacuations(old, next *routingState) {
	emptied, restored := next.evacuations.Changed(old.evacuations)
	for _, domains := range []struct {
		message string
		names   []string
	}{{"failure domain is emptied", emptied}, {"failure domain is no longer emptied", restored}} {
		for _, domain := range domains.names {
			order, work := next.evacuations[domain], next.domainWork(domain)
			g.logger.Info(domains.message, slog.String("domain", domain), slog.Uint64("version", order.Version), slog.String("author", order.Author), slog.Time("ordered_at", order.OrderedAt),
				slog.Uint64("servers", uint64(work.Servers)), slog.Uint64("busy_servers", uint64(work.BusyServers)), slog.Uint64("requests", uint64(work.Requests)))
		}
	}
	for _, domain := range restored {
		g.metrics.evacuatedRequests.DeleteLabelValues(domain)
	}
	g.metrics.evacuated.Set(float64(len(next.evacuations.Domains())))
	g.recordEvacuatedRequests(next)
}

// recordEvacuatedRequests updates the number of requests in progress in each domain that is
// emptied, and logs when it has become zero.
func (g *Gateway) recordEvacuatedRequests(rs *routingState) {
	for _, domain := range rs.evacuations.Domains() {
		work := rs.domainWork(domain)
		g.metrics.evacuatedRequests.WithLabelValues(domain).Set(float64(work.Requests))
		empty := work.Requests == 0
		if empty && !g.emptyDomains[domain] {
			g.logger.Info("failure domain is empty", slog.String("domain", domain), slog.Uint64("version", work.EvacuationVersion), slog.Uint64("servers", uint64(work.Servers)))
		}
		g.emptyDomains[domain] = empty
	}
	for domain := range g.emptyDomains {
		if !rs.evacuations.Empties(domain) {
			delete(g.emptyDomains, domain)
		}
	}
}

// domainWork returns this instance's work at the servers of a failure domain, with the list of the
// busy ones.
func (rs *routingState) domainWork(domain string) *fleetv1.DomainWork {
	work := &fleetv1.DomainWork{Domain: domain, EvacuationVersion: rs.evacuations[domain].Version}
	for _, b := range rs.backends {
		if b.zone == domain {
			work.Servers++
			if requests := b.ownRequests(); requests > 0 {
				work.BusyServers++
				work.Requests += uint32(requests)
				work.Busy = append(work.Busy, b.server)
			}
		}
	}
	slices.Sort(work.Busy)
	return work
}

// ownRequests returns the number of requests of this instance in progress at the server.
func (b *backend) ownRequests() int {
	b.state.mu.Lock()
	defer b.state.mu.Unlock()
	return b.tracker.OwnLoad().Requests
}

// domainsWork returns this instance's work at the servers of one failure domain, or, without a name,
// of each one that has servers or an order.
func (g *Gateway) domainsWork(domain string) *fleetv1.GetDomainWorkResponse {
	rs := g.routing.Load()
	if domain != "" {
		return &fleetv1.GetDomainWorkResponse{Domains: []*fleetv1.DomainWork{rs.domainWork(domain)}}
	}
	domains := make(map[string]bool)
	for _, b := range rs.backends {
		domains[b.zone] = true
	}
	for name := range rs.evacuations {
		domains[name] = true
	}
	response := &fleetv1.GetDomainWorkResponse{}
	for _, name := range slices.Sorted(maps.Keys(domains)) {
		work := rs.domainWork(name)
		work.Busy = nil
		response.Domains = append(response.Domains, work)
	}
	return response
}

// GetDomainWork implements fleetv1.Entries.
func (p *peers) GetDomainWork(_ context.Context, r *fleetv1.GetDomainWorkRequest) (*fleetv1.GetDomainWorkResponse, error) {
	return p.domainWork(r.Domain), nil
}

// mayReceive returns errEvacuated if nothing may be sent to the server now. It is asked again when
// a connection is open, as an order may have taken force since the server was chosen.
func (g *Gateway) mayReceive(b *backend) error {
	if b.peer == nil && g.routing.Load().evacuations.Empties(b.zone) {
		return errEvacuated
	}
	return nil
}

// allEvacuated reports whether the service has servers, but only in failure domains that are
// emptied.
func (rs *routingState) allEvacuated(service string) bool {
	if len(rs.services[service]) > 0 {
		return false
	}
	for _, b := range rs.backends {
		if b.service.Name == service && rs.evacuations.Empties(b.zone) {
			return true
		}
	}
	return false
}
