package gateway

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/config/site"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/fleetview"
	"github.com/galenaarch/galenaarch/placement"
	"github.com/galenaarch/galenaarch/upstream"
)

// Limits on passing requests on to other instances.
const (
	// maxForwardPeers bounds the instances that one instance passes requests on to, half of
	// them in other failure domains if there are enough.
	maxForwardPeers = 8
	// maxForwards bounds how often one request is passed on, to instances that cannot serve it.
	maxForwards = 3
	// maxForwardConnections bounds the connections to one instance.
	maxForwardConnections = 256
	// peerRest is how long an instance that does not accept forwarded requests is left out,
	// peerServiceRest one that does not reach the servers of a service either.
	peerRest        = time.Second
	peerServiceRest = 500 * time.Millisecond
	// peerServerPrefix begins the server IDs that stand for other instances.
	peerServerPrefix = "peer:"
)

// forwardPeer is another entry instance to which requests are passed on.
type forwardPeer struct {
	name, zone, address string
	startedMs           int64
	pool                *upstream.Pool

	mu sync.Mutex
	// restsUntil is when the instance may be asked again, servicesRest the same for services.
	restsUntil   time.Time
	servicesRest map[string]time.Time
}

// rest leaves the instance out for peerRest, or for one service for peerServiceRest.
func (p *forwardPeer) rest(service string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if service == "" {
		p.restsUntil = now.Add(peerRest)
		return
	}
	maps.DeleteFunc(p.servicesRest, func(_ string, until time.Time) bool { return !now.Before(until) })
	p.servicesRest[service] = now.Add(peerServiceRest)
}

// usable reports whether the instance may be asked to serve a request to a service.
func (p *forwardPeer) usable(service string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !now.Before(p.restsUntil) && !now.Before(p.servicesRest[service])
}

// listForwardPeers lists the instances to which this one may pass requests on.
func (g *Gateway) listForwardPeers(s *fleetview.Snapshot, old *routingState) []*forwardPeer {
	var near, far []*fleetv1.EntryInstance
	for name, e := range s.Entries {
		switch {
		case name == g.instance || !e.Accepting || e.PeerUrl == "":
		case e.Zone == g.zone:
			near = append(near, e)
		default:
			far = append(far, e)
		}
	}
	for _, list := range [][]*fleetv1.EntryInstance{near, far} {
		slices.SortFunc(list, func(a, b *fleetv1.EntryInstance) int {
			if placement.Rank(g.instance, a.Name) > placement.Rank(g.instance, b.Name) {
				return -1
			}
			return 1
		})
	}
	farCount := min(len(far), max(maxForwardPeers/2, maxForwardPeers-len(near)))
	chosen := slices.Concat(far[:farCount], near[:min(len(near), maxForwardPeers-farCount)])
	peers := make([]*forwardPeer, len(chosen))
	for i, e := range chosen {
		address := strings.TrimPrefix(e.PeerUrl, "http://")
		known := slices.IndexFunc(old.forwardPeers, func(p *forwardPeer) bool {
			return p.name == e.Name && p.startedMs == e.StartedUnixMs && p.address == address
		})
		if known >= 0 {
			peers[i] = old.forwardPeers[known]
			continue
		}
		peers[i] = &forwardPeer{name: e.Name, zone: e.Zone, address: address, startedMs: e.StartedUnixMs, pool: upstream.NewPool(address, maxForwardConnections), servicesRest: make(map[string]time.Time)}
	}
	return peers
}

// closeForwardPeers closes idle connections: all of those to instances that are not in use any
// more, and the expired ones to the others.
func (g *Gateway) closeForwardPeers(old, next *routingState) {
	for _, p := range old.forwardPeers {
		if !slices.Contains(next.forwardPeers, p) {
			p.pool.Close()
		}
	}
}

// peerBackend returns the backend that stands for another instance in a service. The caller
// holds the state's lock.
func (s *serviceState) peerBackend(c *call, p *forwardPeer, now time.Time) *backend {
	b := s.peerBackends[p.name]
	if b == nil || b.peer != p {
		b = &backend{
			incarnation: incarnation{peerServerPrefix + p.name, p.startedMs}, address: p.address, zone: p.zone, service: c.service, software: dispatch.Software{Service: c.service.Name}, state: s,
			pool: p.pool, peer: p, tracker: dispatch.NewBackendState(dispatch.BackendInfo{Zone: p.zone}, now), weights: make(map[string]uint64),
		}
		if s.peerBackends == nil {
			s.peerBackends = make(map[string]*backend)
		}
		s.peerBackends[p.name] = b
	}
	return b
}

// mayForward reports whether the request may be passed on to another instance.
func (c *call) mayForward() bool {
	return c.forwarded == nil && c.forwards < maxForwards && c.gateway.policy.Enabled(dispatch.PeerForwarding) && len(c.gateway.routing.Load().forwardPeers) > 0
}

// forwardCandidates adds the instances that the request may be passed on to, and what is known
// of the paths to the service's servers, to a decision. It does nothing while no connection has
// failed lately. The caller holds the state's lock.
func (c *call) forwardCandidates(rs *routingState, req *dispatch.Request, now time.Time) (list []*forwardPeer) {
	s := c.state
	if (c.unreachable == 0 && now.Sub(s.pathFailedAt) > pathMemory) || !c.mayForward() {
		return nil
	}
	c.gateway.updatePaths(c.service.Name, s, rs.services[c.service.Name], now)
	req.Paths, req.Now, req.Unreachable, req.Exhausted = &s.paths, now, c.unreachable, c.onlyPeers
	for _, p := range rs.forwardPeers {
		if !c.triedPeers[p.name] && p.usable(c.service.Name, now) {
			load := s.peerBackend(c, p, now).tracker.OwnLoad()
			list = append(list, p)
			req.Peers = append(req.Peers, dispatch.Peer{SameDomain: p.zone == c.gateway.zone, Forwarded: load.Requests})
		}
	}
	return list
}

// serversExhausted reports whether the request may be sent to no further server.
func (c *call) serversExhausted() bool {
	return len(c.triedServers) >= max(1, c.route.MaxServers)+extraAttempts
}

// forward passes the request on to another instance and waits for the response headers.
//
// Invariant: what the other instance promises not to have run may be sent again; anything else
// that was sent to it may have run.
func (c *call) forward(ctx context.Context, r *http.Request, b *backend, lastEventID string) *attempt {
	c.stage, c.lastServer = stageSent, b.server
	c.forwards++
	a := &attempt{gateway: c.gateway, backend: b, startedAt: time.Now(), work: c.work, retry: c.retryInUse}
	ctx, a.cancel = context.WithCancelCause(ctx)
	request := &upstream.Request{Method: r.Method, Target: c.target, Host: r.Host, Header: c.forwardHeaders(r.Header, lastEventID), Body: c.body, Sent: c.noteSent, Held: c.takeHold(b)}
	timer := c.startAttemptTimer(ctx, a, c.attemptTimeout(time.Now()))
	x, err := b.pool.Send(ctx, request)
	inTime := timer.stop()
	a.abandoned = ctx.Err() != nil && (err != nil || !inTime)
	a.headersAt, a.exchange = time.Now(), x
	b.update(func(tracker *dispatch.BackendState) { tracker.StopAwaiting(a.work) })
	if err == nil && !inTime {
		err = &upstream.Error{Phase: upstream.PhaseAwaitResponse, Address: b.address, Err: errAttemptTimeout}
	}
	if err == nil {
		err = a.decodeForwarded(c)
	}
	a.classifyForwarded(r, err)
	c.recordForward(a)
	return a
}

// peerProbeTimeout is how long another instance may take to respond to a call, while a request that was
// passed on to it waits, before it counts as standing still; less if the request has little time left.
const peerProbeTimeout = 300 * time.Millisecond

// tryAbandonPeer reports whether to stop waiting for another instance because it stands still, and a
// further one may serve the request. An instance that responds to a call watches its servers itself.
//
// Invariant: only an idempotent request leaves it. The instance may still run it when it goes on.
func (c *call) tryAbandonPeer(ctx context.Context, a *attempt, now time.Time) bool {
	mayLeave := func(now time.Time) bool {
		client := c.clientTime(now)
		return client.MaySwitch(now) && c.gateway.retryBudget(c.service.Name).Allows(now, c.missingRetries()) && !c.mayRelay()
	}
	if c.route.Kind != site.KindIdempotent || len(c.ranServers)+1 >= c.route.MaxServers || !c.hasOtherPeer(a.backend.peer, now) || !mayLeave(now) {
		return false
	}
	client := c.clientTime(now)
	probeCtx, cancel := context.WithTimeout(ctx, min(peerProbeTimeout, client.LatestStart().Sub(now)/2))
	defer cancel()
	_, err := c.gateway.peers.permitClient("http://"+a.backend.peer.address).GetDomainWork(probeCtx, &fleetv1.GetDomainWorkRequest{Domain: c.gateway.zone})
	return err != nil && errors.Is(probeCtx.Err(), context.DeadlineExceeded) && ctx.Err() == nil && mayLeave(time.Now())
}

// hasOtherPeer reports whether the request may be passed on to an instance other than p.
func (c *call) hasOtherPeer(p *forwardPeer, now time.Time) bool {
	return c.mayForward() && slices.ContainsFunc(c.gateway.routing.Load().forwardPeers, func(other *forwardPeer) bool {
		return other != p && !c.triedPeers[other.name] && other.usable(c.service.Name, now)
	})
}

// decodeForwarded decodes the response of another instance and removes what is not for the
// client. A response without a result was not made by its gateway: nothing ran.
func (a *attempt) decodeForwarded(c *call) error {
	header := a.exchange.Response.Header
	result := header.Get(forwardResultHeader)
	header.Del(forwardResultHeader)
	a.status = a.exchange.Response.StatusCode
	a.response = c.gateway.dialect.DecodeResponse(a.status, header)
	if result == "" {
		a.forward = &forwardResult{generated: true, retry: true, stops: true}
		return nil
	}
	var err error
	if a.forward, err = decodeForwardResult(result); err != nil {
		return err
	}
	if a.response.RequestID != c.request.ID {
		return errWrongRequestID
	}
	return nil
}

// classifyForwarded sets the result of an attempt at another instance.
func (a *attempt) classifyForwarded(r *http.Request, err error) {
	a.err = err
	var e *upstream.Error
	switch {
	case err == nil && a.forward.retry:
		a.result = notRun
	case err == nil:
		a.result = responseReceived
	case r.Context().Err() != nil:
		a.result = clientCanceled
	case errors.As(err, &e) && !e.Reached():
		a.result = notRun
	default:
		a.result = maybeRun
	}
}

// recordForward updates the counters of the request and the state of the other instance, and
// logs a failed attempt. What servers state about themselves holds for this instance too.
func (c *call) recordForward(a *attempt) {
	now, p := time.Now(), a.backend.peer
	c.endRetry(a, a.forwardReached(), now)
	if f := a.forward; f != nil {
		c.attemptsSent += f.sends
		for _, server := range f.ran {
			c.mayHaveRun, c.ranServers[server] = true, true
		}
		c.applyForwardedDirectives(a)
	}
	outcome := forwardServed
	switch a.result {
	case responseReceived:
		if a.forward.generated {
			outcome = forwardRejected
		}
		c.gateway.metrics.forwards.WithLabelValues(outcome).Inc()
		return
	case maybeRun:
		c.attemptsSent, c.mayHaveRun, c.ranServers[a.backend.server] = c.attemptsSent+1, true, true
		c.triedPeers[p.name] = true
		p.rest("", now)
		outcome = forwardBroken
	case notRun:
		c.triedPeers[p.name] = true
		outcome = forwardNotRun
		switch {
		case a.err != nil && errors.Is(a.err, upstream.ErrConnectionLimit):
		case a.err != nil || a.forward.stops:
			p.rest("", now)
		case a.forward.cut:
			p.rest(c.service.Name, now)
		}
	case clientCanceled:
		outcome = forwardCanceled
	}
	c.gateway.metrics.forwards.WithLabelValues(outcome).Inc()
	c.gateway.logger.Info("attempt failed", slog.String("request", c.request.ID), slog.String("route", c.route.Name), slog.String("server", a.backend.server), slog.String("address", a.backend.address),
		slog.Int("status", a.status), slog.Bool("not_run", a.result == notRun), slog.Duration("took", now.Sub(a.startedAt)), slog.Any("error", a.err))
}

// forwardReached reports whether an attempt at another instance may have reached a server.
func (a *attempt) forwardReached() bool {
	if a.forward != nil {
		return a.forward.sends > 0
	}
	var e *upstream.Error
	return !errors.As(a.err, &e) || e.Reached()
}

// applyForwardedDirectives applies what a server states in a response that another instance has
// passed on.
func (c *call) applyForwardedDirectives(a *attempt) {
	b := c.gateway.routing.Load().backends[a.response.Server]
	if a.forward.generated || b == nil {
		return
	}
	direct := attempt{gateway: c.gateway, backend: b, response: a.response, status: a.status}
	direct.applyServerDirectives(c)
	if a.response.WeightVersion > 0 && c.prompt != nil {
		b.raiseWeightVersion(c.prompt.Model, a.response.WeightVersion)
	}
}
