package gateway

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/galenaarch/galenaarch/dispatch"
)

// applyBrittleness updates which services are brittle, from what their listed servers state.
func (g *Gateway) applyBrittleness(now time.Time) {
	if !g.policy.Enabled(dispatch.BrittleRoom) {
		return
	}
	rs := g.routing.Load()
	stated := make(map[string]dispatch.Brittleness)
	for _, l := range g.limits.all() {
		b, current := rs.backends[l.server], l.current()
		if !current.Brittle || b == nil || b.incarnation != l.incarnation || b.retired.Load() || b.lost(now) {
			continue
		}
		stated[b.service.Name] = dispatch.StrictestOf(stated[b.service.Name], current.Brittleness)
	}
	for service, s := range g.states.all() {
		g.updateBrittleService(s, service, rs.services[service], stated[service], now)
	}
}

// updateBrittleService applies what the servers of a service state, and shares this instance's
// load there while the service is brittle.
func (g *Gateway) updateBrittleService(s *serviceState, service string, servers []*backend, stated dispatch.Brittleness, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.brittle.Brittleness
	changed := s.brittle.Update(stated, now)
	if !was.Brittle && !s.brittle.Brittle {
		return
	}
	for _, b := range servers {
		if !s.brittle.Brittle {
			b.tracker.EndBrittleness()
		}
		g.publishLoad(b)
	}
	s.queue.Schedule()
	if !changed {
		return
	}
	if !s.brittle.Brittle {
		g.metrics.brittle.DeleteLabelValues(service)
		g.logger.Info("service is no longer brittle", slog.String("service", service))
		for _, b := range servers {
			if b.service.Engine == nil {
				g.peers.setOwnLoad(b.server, dispatch.Load{})
			}
		}
		return
	}
	g.metrics.brittle.WithLabelValues(service).Set(float64(s.brittle.MaxRejections))
	if !was.Brittle {
		g.logger.Info("service is brittle", slog.String("service", service), slog.Int("max_rejections", s.brittle.MaxRejections), slog.Int("servers", len(servers)))
	}
}

// full returns a function that reports the servers of a set without room, nil unless the
// service is brittle. The caller holds the state's lock.
func (g *Gateway) full(s *serviceState, set *candidateSet, now time.Time) func(i int) bool {
	if !s.brittle.Brittle {
		return nil
	}
	others, instances := g.peers.othersLoad(), g.routing.Load().entryCount
	return func(i int) bool {
		b := set.backends[i]
		return !b.tracker.HasRoom(s.brittle.Brittleness, others[b.server], instances, rand.Float64(), now)
	}
}

// recordRoomRejection records a request that a server of a brittle service rejected.
func (g *Gateway) recordRoomRejection(b *backend, l *ServerLoad, now time.Time) {
	b.state.mu.Lock()
	defer b.state.mu.Unlock()
	if !b.state.brittle.Brittle {
		return
	}
	b.tracker.RejectedForRoom((*dispatch.Report)(l), now)
	g.metrics.roomRejections.WithLabelValues(b.service.Name).Inc()
	g.publishLoad(b)
}

// roomInTime reports whether a request without a prompt is expected to get room at a server while
// that can still serve its client. The caller holds the state's lock.
func (c *call) roomInTime(now time.Time) bool {
	return c.timeLeft(now.Add(c.state.queue.ExpectedWait(c.currentPosition(), now)))
}

// lost reports whether no process has heard of the server for some time.
func (b *backend) lost(now time.Time) bool {
	b.state.mu.Lock()
	defer b.state.mu.Unlock()
	return b.tracker.Lost(now)
}
