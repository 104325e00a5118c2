package gateway

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/upstream"
)

const (
	// probeTick is the time between checks for servers to probe, probesPerTick bounds the probes
	// that begin in one, and maxProbes those in progress.
	probeTick     = 100 * time.Millisecond
	probesPerTick = 4
	maxProbes     = 16
	// probeTimeout is above the timeout of a dial.
	probeTimeout = time.Second
	// pathMemory is how long after the last failed connection the paths to a service are
	// examined.
	pathMemory = 5 * time.Second
)

// recordPathFailure records a connection to the server that could not be opened, or was accepted and
// broke before a response. at is when the dial of one that could not be opened began: one that times
// out shows nothing of its end.
func (b *backend) recordPathFailure(accepted bool, at time.Time) {
	b.state.mu.Lock()
	defer b.state.mu.Unlock()
	if accepted {
		b.tracker.Path.Broken(at)
	} else {
		b.tracker.Path.Failed(at)
	}
	if at.After(b.state.pathFailedAt) {
		b.state.pathFailedAt = at
	}
}

// recordPath records a response on a connection opened at the given time.
func (b *backend) recordPath(opened time.Time) {
	b.update(func(tracker *dispatch.BackendState) { tracker.Path.Proven(opened) })
}

// updatePaths counts the servers of a service that this instance reaches, and logs when it
// reaches nearly none, or some again. The caller holds the state's lock.
func (g *Gateway) updatePaths(service string, s *serviceState, list []*backend, now time.Time) (count dispatch.PathCount) {
	for _, b := range list {
		if !b.retired.Load() && !b.tracker.Leaving() {
			count.Add(&b.tracker, now)
		}
	}
	if s.paths.Update(&count, now) && !s.copied {
		message := "servers of a service reachable again"
		if s.paths.Cut() {
			message = "servers of a service unreachable"
		}
		servers, unreachable := count.Totals()
		g.logger.Warn(message, slog.String("backend", service), slog.Int("servers", servers), slog.Int("unreachable", unreachable))
	}
	return count
}

// probePaths opens connections to servers whose reachability is in doubt, until the context
// ends.
func (g *Gateway) probePaths(ctx context.Context) {
	ticker := time.NewTicker(probeTick)
	defer ticker.Stop()
	var inProgress atomic.Int64
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, due := range g.probesDue(now, min(probesPerTick, maxProbes-int(inProgress.Load()))) {
				inProgress.Add(1)
				go func() {
					defer inProgress.Add(-1)
					g.probe(ctx, due.backend, due.hold)
				}()
			}
		}
	}
}

// dueProbe is a server to probe, and how long the connection of the probe must live.
type dueProbe struct {
	backend *backend
	hold    time.Duration
}

// probesDue returns the servers to probe now, at most n of all services: those of each service
// that were probed least recently.
func (g *Gateway) probesDue(now time.Time, n int) (due []dueProbe) {
	rs := g.routing.Load()
	for service, list := range rs.services {
		if len(list) == 0 || len(due) >= n {
			continue
		}
		s := list[0].state
		s.mu.Lock()
		examine, count := now.Sub(s.pathFailedAt) <= pathMemory, dispatch.PathCount{}
		if examine {
			count = g.updatePaths(service, s, list, now)
		}
		for i := range list {
			b := list[(i+s.probeOffset)%len(list)]
			if len(due) >= n {
				break
			}
			stalled := b.tracker.Stalled(now, &s.prefill)
			if (!examine && !stalled) || b.retired.Load() || b.tracker.Leaving() || now.Before(b.tracker.PausedUntil()) || !count.ProbeDue(&b.tracker, stalled, now) {
				continue
			}
			b.tracker.Path.Probed(now)
			due = append(due, dueProbe{b, count.ProbeHold()})
		}
		s.probeOffset = (s.probeOffset + probesPerTick) % len(list)
		s.mu.Unlock()
	}
	return due
}

// probe opens a connection to a server and records whether it is accepted and lives.
func (g *Gateway) probe(ctx context.Context, b *backend, hold time.Duration) {
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout+hold)
	defer cancel()
	switch err := b.pool.Probe(ctx, hold); {
	case err == nil:
		b.state.mu.Lock()
		b.tracker.Reached(startedAt, time.Now())
		b.state.queue.Schedule()
		b.state.mu.Unlock()
		g.metrics.probes.WithLabelValues("accepted").Inc()
	case errors.Is(err, upstream.ErrConnectionLimit) || errors.Is(err, upstream.ErrProbeCut) || errors.Is(err, context.Canceled):
	default:
		b.recordPathFailure(errors.Is(err, upstream.ErrClosedUnused), startedAt)
		g.metrics.probes.WithLabelValues("failed").Inc()
		g.logger.Debug("probe failed", slog.String("server", b.server), slog.Any("error", err))
	}
}
