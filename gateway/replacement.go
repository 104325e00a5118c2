package gateway

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"net/http"
	"syscall"
	"time"

	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/upstream"
)

// maxReplacementDials limits the servers that are dialed to replace a silent one.
const maxReplacementDials = 3

// reserveReplacement looks for a server that takes over a request from one that is silent
// since the given time. It counts the load of the request there and takes the retry from
// the budget, and a spare one, so that the request can be sent at once, and again if the
// server rejects it. The caller must not use the call meanwhile, except for ending ctx.
//
// Invariant: a request leaves a silent server only for one that accepts connections and
// has capacity, is not as silent itself and holds a connection for it, with a retry left, and only
// if it may be sent again. A silent server may go on, and a response that was given up is lost.
func (c *call) reserveReplacement(ctx context.Context, silent *backend, since time.Time) (reserved bool) {
	budget, retries := c.gateway.retryBudget(c.service.Name), c.missingRetries()
	if now := time.Now(); !budget.Allows(now, retries) || c.repeatUnsafe(now) {
		return false
	}
	tried, decision := maps.Clone(c.triedServers), c.decision
	defer func() {
		if !reserved {
			// The silent server may go on and fail later: then none is excluded by this search.
			c.triedServers, c.decision = tried, decision
		}
	}()
	if c.leftSilent {
		c.retrySilent() // the servers left before may respond again
	}
	c.triedServers[silent.server] = true
	if !c.searchReplacement(ctx, since) {
		return false
	}
	if !c.reserved.respondedAfter(c.replacement.dueAt) {
		c.returnTo = silent.pool
	}
	return true
}

// searchReplacement is reserveReplacement once a retry is left. It takes an unproven server only if a
// later search would come too late.
func (c *call) searchReplacement(ctx context.Context, since time.Time) bool {
	waits := c.waitsSince(since)
	if c.replacement.dueAt.Before(waits) {
		c.replacement.dueAt = time.Now()
	}
	c.replacement.since, c.replacement.waits, c.replacement.provenOnly = since, waits, true
	dials := 0
	if c.reserveAny(ctx, &dials) {
		return true
	}
	if ctx.Err() != nil || c.maySearchAgain(time.Now()) {
		return false
	}
	c.replacement.provenOnly = false
	return c.reserveAny(ctx, &dials)
}

// reserveAny reserves a server that has not been tried. dials counts the servers dialed in the search.
func (c *call) reserveAny(ctx context.Context, dials *int) bool {
	budget, retries := c.gateway.retryBudget(c.service.Name), c.missingRetries()
	for ; *dials < maxReplacementDials; *dials++ {
		b := c.tryReserve(time.Now())
		if b == nil {
			return false
		}
		if !c.takeReturn(b) && !b.pool.Hold() {
			c.undoReservation(b)
			c.triedServers[b.server] = true
			continue
		}
		c.held = b.pool
		dialedAt := time.Now()
		err := b.ensureReachable(ctx, c.replacement.since)
		if now := time.Now(); err == nil && ctx.Err() == nil && budget.TryRetries(now, retries) {
			c.reserved, c.retryGranted, c.spareRetry = b, true, true
			return true
		}
		c.releaseHold()
		c.undoReservation(b)
		if err == nil || ctx.Err() != nil {
			return false
		}
		c.triedServers[b.server] = true
		if errors.Is(err, upstream.ErrConnectionLimit) {
			continue
		}
		b.recordBroken(time.Now())
		if b.peer == nil {
			b.recordPathFailure(false, dialedAt)
		}
		if b.peer == nil && errors.Is(err, syscall.ECONNREFUSED) {
			c.gateway.recordRefused(b)
		}
		cooldown := b.recordFailure(true, time.Now())
		c.gateway.logger.Info("replacement unreachable", slog.String("request", c.request.ID), slog.String("server", b.server), slog.Duration("resting", cooldown), slog.Any("error", err))
	}
	return false
}

// replacementSearch is the state of the searches for a server that takes a request from one that is silent.
type replacementSearch struct {
	// since is when that server's silence began, waits since when the client waits, and dueAt when the
	// request was first due to leave a server in that wait.
	since, waits, dueAt time.Time
	// provenOnly is set while no unproven server takes the request.
	provenOnly bool
}

// maySearchAgain reports whether the next search for a replacement still finds a server in the
// client's time, also if its timer is late.
func (c *call) maySearchAgain(now time.Time) bool {
	client := c.clientTime(now)
	return client.MaySwitch(now.Add(2 * recheckInterval))
}

// waitsSince returns since when the client waits for what its silent server does not send. A request
// that has left a silent server before has waited for longer than the present one is silent.
func (c *call) waitsSince(since time.Time) time.Time {
	if c.leftSilent {
		if waits, _ := c.awaitedEvent(); waits.Before(since) {
			return waits
		}
	}
	return since
}

// tryReserve chooses a server that takes the request now; nil if there is none. A server
// that rests after failures is none: each request would dial it in each search.
func (c *call) tryReserve(now time.Time) *backend {
	s := c.state
	s.mu.Lock()
	defer s.mu.Unlock()
	passedOver := c.passOver(now)
	defer func() {
		for _, server := range passedOver {
			delete(c.triedServers, server)
		}
	}()
	var claimed map[string]bool
	if c.prompt != nil || c.ordered() {
		claimed = s.queue.Claimed(c.queuePosition())
	}
	result, _ := c.gateway.tryPlace(c, claimed, now)
	if b := result.backend; b != nil && b.tracker.CoolingDown(now) {
		c.gateway.undoPlacement(c, b)
		return nil
	}
	return result.backend
}

// passOver excludes the servers that are as silent as the request's own, or have stalled with requests of
// this instance since that was due to leave, and with provenOnly those that are unproven: they have
// sent nothing since then, and this instance has requests there, or it is too late for the request to
// leave again. A server without requests takes one, and others once it has sent something: requests that
// leave a server together are not all lost to one that is silent too. The caller holds the state's lock.
func (c *call) passOver(now time.Time) (servers []string) {
	client, search := c.clientTime(now), &c.replacement
	for _, b := range c.decisionRouting().services[c.service.Name] {
		if c.triedServers[b.server] || b.peer != nil { // another instance watches its servers itself
			continue
		}
		excluded := b.silentDuring(search.waits, now)
		if !b.tracker.RespondedAfter(search.dueAt) {
			stay := b.tracker.StallTimeout(&b.state.prefill) + recheckInterval
			late := client.MaySwitch(search.dueAt.Add(stay)) && !client.MaySwitch(now.Add(stay))
			busy := b.tracker.OwnLoad().Requests > 0
			excluded = excluded || (search.provenOnly && (busy || late)) || (busy && b.tracker.Stalled(now, &b.state.prefill))
		}
		if excluded {
			c.triedServers[b.server] = true
			servers = append(servers, b.server)
		}
	}
	return servers
}

// undoReservation removes the load of a request that is not sent to a server.
func (c *call) undoReservation(b *backend) {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	c.gateway.undoPlacement(c, b)
}

// takeReserved returns the reserved server, if there is one.
func (c *call) takeReserved() *backend {
	b := c.reserved
	c.reserved = nil
	return b
}

// takeHold reports whether a connection to the server is held for the request, which uses it now.
func (c *call) takeHold(b *backend) bool {
	if c.held != b.pool {
		c.releaseHold()
		return c.takeReturn(b)
	}
	c.held = nil
	return true
}

// holdReturn holds a connection for the return to a silent server that the request has left for one which
// has not shown that it is not silent itself: others must not take the place meanwhile.
func (c *call) holdReturn() {
	pool := c.returnTo
	if c.returnTo = nil; pool != nil && pool.Hold() {
		c.releaseReturn()
		c.heldReturn.Store(pool)
	}
}

// takeReturn reports whether a connection to the server is held for the return of the request, which
// uses it now.
func (c *call) takeReturn(b *backend) bool {
	return b.pool != nil && c.heldReturn.CompareAndSwap(b.pool, nil)
}

// releaseReturn ends the hold for the return, if there is one.
func (c *call) releaseReturn() {
	if pool := c.heldReturn.Swap(nil); pool != nil {
		pool.Unhold()
	}
}

// releaseHold gives up the connection that is held for the request, if there is one.
func (c *call) releaseHold() {
	if c.held != nil {
		c.held.Unhold()
		c.held = nil
	}
}

// releaseReserved gives up a reservation that was not used, with its spare retry.
func (c *call) releaseReserved() {
	c.refundSpareRetry()
	c.releaseHold()
	c.returnTo = nil
	if b := c.takeReserved(); b != nil {
		c.undoReservation(b)
	}
}

// ensureReachable opens a connection to the server unless it has responded since the given
// time.
func (b *backend) ensureReachable(ctx context.Context, since time.Time) error {
	if b.respondedAfter(since) {
		return nil
	}
	return b.pool.Prepare(ctx)
}

// respondedAfter reports whether the server has responded since the given time.
func (b *backend) respondedAfter(since time.Time) bool {
	b.state.mu.Lock()
	defer b.state.mu.Unlock()
	return b.tracker.RespondedAfter(since)
}

// silentDuring reports whether the server has sent nothing in the later half of a pause that began
// at the given time, although this instance awaited something from it. Servers that fall silent for
// one reason do so at slightly different times. The caller holds the state's lock.
func (b *backend) silentDuring(since, now time.Time) bool {
	half := since.Add(now.Sub(since) / 2)
	return b.tracker.Awaited(half) && b.tracker.UnresponsiveSince(half, now, &b.state.prefill)
}

// awaitServer waits before a request that was taken from a silent server is sent again,
// to any server, the silent one included. It returns false if the request is to end: its
// client has left, no server can serve it in the client's time, or it has no server for another
// reason.
func (c *call) awaitServer(ctx context.Context, reason rejectReason) bool {
	if !c.leftSilent || reason == reasonClientLeft || reason == reasonNoSameSoftware || reason.isQuarantine() || ctx.Err() != nil || !c.mayBeTaken() {
		return false
	}
	now := time.Now()
	client := c.clientTime(now)
	wait, ok := c.search.Next(&client, c.attemptsSent, c.pausedUntil, now)
	if !ok {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	c.retrySilent()
	return true
}

// mayTakeLater reports whether a server that rejected the request, for now, may be asked again.
// A client whose stream has begun cannot be sent a rejection: without a server its response is cut.
func (c *call) mayTakeLater(a *attempt) bool {
	return c.lastEventAt.Load() != 0 && a.status == http.StatusServiceUnavailable
}

// noteRefused records a server that has refused or failed the request.
func (c *call) noteRefused(b *backend) {
	if c.refusedBy == nil {
		c.refusedBy = make(map[string]bool)
	}
	c.refusedBy[b.server] = true
}

// retrySilent allows the servers again that have not refused the request.
func (c *call) retrySilent() {
	clear(c.triedServers)
	maps.Copy(c.triedServers, c.refusedBy)
}

// mayBeTaken reports whether a server is left that has not refused the request.
func (c *call) mayBeTaken() bool {
	for _, b := range c.gateway.routing.Load().services[c.service.Name] {
		if !c.refusedBy[b.server] && !b.retired.Load() {
			return true
		}
	}
	return false
}

// mayUseServer reports whether the request may be sent to a server: not to one that has
// been tried, and not to more servers that may run it than the route allows.
func (c *call) mayUseServer(server string) bool {
	if c.triedServers[server] {
		return false
	}
	return len(c.ranServers) < max(1, c.route.MaxServers) || c.ranServers[server]
}

// mayReturn reports whether a request that has left a silent server may leave another one for a
// server that it has left before.
func (c *call) mayReturn(silent *backend) bool {
	if !c.leftSilent {
		return false
	}
	for server := range c.ranServers {
		if server != silent.server && !c.refusedBy[server] {
			return true
		}
	}
	return false
}

// maySwitchServer reports whether a request may leave its server for another one: not if the other
// one cannot serve it in the client's time, while the silent one may go on.
func (c *call) maySwitchServer(silent *backend, now time.Time) bool {
	ran := len(c.ranServers)
	if !c.ranServers[silent.server] {
		ran++
	}
	client := c.clientTime(now)
	return c.retryable() && (ran < c.route.MaxServers || c.mayReturn(silent)) && client.MaySwitch(now) && c.gateway.policy.Enabled(dispatch.StallFailover)
}
