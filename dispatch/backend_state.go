// Package dispatch tracks the state of backend servers as seen by one entry instance
// and decides where each request goes: sent to a server, held in the local wait
// queue, deferred behind other requests, or rejected with a retry delay.
//
// The package is pure: events, time and random numbers are arguments. It has no
// clock, lock, socket or log. Its drivers, the gateway with real sockets and the
// emulator in virtual time, guard state that is shared between goroutines. Each
// decision mechanism has a name, a switch and the load pattern that it handles.
package dispatch

import (
	"time"

	"github.com/galenaarch/galenaarch/placement"
)

// Parameters of the server state.
const (
	// ewmaWeight is the weight of the newest sample in a moving average.
	ewmaWeight = 0.1
	// minCooldown is the cooldown after a failure. It doubles with each further
	// failure up to maxCooldown.
	minCooldown = 400 * time.Millisecond
	maxCooldown = 4 * time.Second
	// cooldownFailures is the number of consecutive failures after which a reachable
	// server enters cooldown. A single failure may be a fault of its connection.
	cooldownFailures = 3
	// shedCooldown follows a rejection by a full server. A server that rejects
	// requests with free slots is executing a control operation; initialOperationTime
	// is assumed until the duration of such operations has been observed. Observed
	// durations are capped at maxCooldown.
	shedCooldown         = 60 * time.Millisecond
	initialOperationTime = 400 * time.Millisecond
	// reportTTL is the age up to which the unattributed requests in a server's load
	// report count in full; after that their number decays with the age.
	reportTTL = time.Second
	// lostTimeout is how long a server that no control instance reports stays in use
	// after its last response to this instance.
	lostTimeout = 2 * time.Second
	// minStallTimeout is how long a server with outstanding work must be silent,
	// beyond the prefill time of that work, before it counts as stalled. A server
	// that is only slow stays in use.
	minStallTimeout = 400 * time.Millisecond
	// defaultPause applies when the length of a requested pause cannot be parsed.
	// maxPause bounds accepted pauses; a server that recovers earlier registers as a
	// new incarnation.
	defaultPause = time.Second
	maxPause     = 5 * time.Minute
	// pauseJitter is the share of a pause that is added as the span over which the
	// instances resume; maxPauseJitter bounds that span.
	pauseJitter    = 0.25
	maxPauseJitter = time.Second
)

// BackendInfo is the announced description of one incarnation of a backend server.
type BackendInfo struct {
	// Zone is the server's failure domain.
	Zone string
	// Slots is the number of requests it runs concurrently, MemoryTokens the capacity
	// of its memory in tokens; 0 if unknown.
	Slots, MemoryTokens int
	// ColdUntil is when it reaches its normal speed after a start.
	ColdUntil time.Time
}

// Work is the load that one request puts on a server.
type Work struct {
	// PrefillTokens are prefilled before the first event; MemoryTokens are held in
	// memory until the run ends.
	PrefillTokens, MemoryTokens int
	// Deferred work yields to all other work.
	Deferred bool
}

// Load is the sum of the work in progress at a server.
type Load struct {
	Requests int
	// PrefillTokens are to be prefilled in arrival order, DeferredTokens only when
	// nothing else is pending; MemoryTokens is the memory in use.
	PrefillTokens, DeferredTokens, MemoryTokens int
	// Rejections is the number of rejections for want of room in the last second, if the
	// service is brittle.
	Rejections int
}

// add adds (sign 1) or subtracts (sign -1) a request with all its work.
func (l *Load) add(w Work, sign int) {
	l.Requests += sign
	l.MemoryTokens += sign * w.MemoryTokens
	l.addPrefill(w, sign)
}

// addPrefill adds (sign 1) or subtracts (sign -1) the prefill tokens of w, to
// DeferredTokens if w is deferred.
func (l *Load) addPrefill(w Work, sign int) {
	if w.Deferred {
		l.DeferredTokens += sign * w.PrefillTokens
		return
	}
	l.PrefillTokens += sign * w.PrefillTokens
}

// Report is a server's own report on its queue: the requests that it runs, those that
// wait, and the number that it can run concurrently.
type Report struct{ Running, Waiting, Slots int }

// BackendState is the state of one incarnation of a backend server as tracked by one
// entry instance.
type BackendState struct {
	BackendInfo
	// Path is whether this instance reaches the server.
	Path    Reachability
	ownLoad Load
	// awaitingFirstByte counts requests without a first byte. lastHeard is when the
	// server last responded, awaitingSince when awaitingFirstByte rose from 0.
	awaitingFirstByte        int
	lastHeard, awaitingSince time.Time
	// unreported is set while no control instance reports the server.
	unreported bool
	// meanTime is the moving average of request times, meanMemory that of the memory
	// per request, meanRunTime that of the time the memory is held.
	meanTime    time.Duration
	meanMemory  float64
	meanRunTime time.Duration
	// failureRate is the recent share of failed requests, consecutiveFailures the
	// number of failures since the last success.
	failureRate         float64
	consecutiveFailures int
	cooldownUntil       time.Time
	// unreached is set while the cooldown's reason is that the server could not be reached.
	unreached bool
	// probing is set from the start of a cooldown after failures until the next success.
	probing bool
	// operationSince is when the server first rejected a request with slots free,
	// operationTime the average duration of such periods.
	operationSince time.Time
	operationTime  time.Duration
	// unattributed counts the requests in the server's report that no entry instance
	// claims.
	unattributed float64
	reportedAt   time.Time
	// leaving is set once the server has announced that it wants no new work. It is
	// never reset.
	leaving bool
	// pausedUntil is when the server accepts requests again. concurrencyLimit then
	// bounds the requests in progress; 0 for no bound.
	pausedUntil      time.Time
	concurrencyLimit int
	// bookedUntil is when the server has done the work that the keeper of its account knows of.
	bookedUntil time.Time
	// transfersEndAt is when the transfers in progress complete.
	transfersEndAt time.Time
	// slowness is that of the server's machine.
	slowness Slowness
	// room is used while the service is brittle.
	room brittleRoom
	// calls is used at the servers of services without prompts.
	calls callRoom
}

// NewBackendState returns the initial state of a newly announced server.
func NewBackendState(s BackendInfo, now time.Time) BackendState {
	return BackendState{BackendInfo: s, lastHeard: now, operationTime: initialOperationTime}
}

// OwnLoad returns the load that this instance has in progress at the server.
func (b *BackendState) OwnLoad() Load { return b.ownLoad }

// Sent adds a request that is about to be sent to the load, and to those that await a
// first byte.
func (b *BackendState) Sent(w Work, now time.Time) {
	b.ownLoad.add(w, 1)
	b.room.sent(now)
	b.calls.sent(now)
	if w.MemoryTokens > 0 {
		if b.meanMemory == 0 {
			b.meanMemory = float64(w.MemoryTokens)
		}
		b.meanMemory += ewmaWeight * (float64(w.MemoryTokens) - b.meanMemory)
	}
	if b.awaitingFirstByte++; b.awaitingFirstByte == 1 {
		b.awaitingSince = now
	}
}

// ResponseStarted records the first byte of a response: the request's prefill tokens no
// longer count as load.
func (b *BackendState) ResponseStarted(w Work, now time.Time) {
	b.StopAwaiting(w)
	b.lastHeard = now
}

// StopAwaiting stops waiting for the first byte of a request, and subtracts its prefill
// tokens from the load.
func (b *BackendState) StopAwaiting(w Work) {
	b.awaitingFirstByte--
	b.ownLoad.addPrefill(w, -1)
}

// Responded records any other response from the server.
func (b *BackendState) Responded(now time.Time) { b.lastHeard = now }

// Release subtracts the slot and the memory of a request from the load, and updates the
// mean run time. ran is how long they were held, 0 if the request did not run.
func (b *BackendState) Release(w Work, ran time.Duration) {
	b.ownLoad.Requests--
	b.ownLoad.MemoryTokens -= w.MemoryTokens
	if w.MemoryTokens == 0 || ran == 0 {
		return
	}
	if b.meanRunTime == 0 {
		b.meanRunTime = ran
	}
	// Large requests dominate when memory becomes free, so the average is weighted by
	// size.
	weight := min(1, float64(w.MemoryTokens)/max(1, b.meanMemory))
	b.meanRunTime += time.Duration(ewmaWeight * weight * float64(ran-b.meanRunTime))
}

// ApplyReport applies a server's own load report. others is the load that the other
// instances report for this server.
func (b *BackendState) ApplyReport(r Report, others Load, now time.Time) {
	b.unattributed = max(0, float64(r.Running+r.Waiting-b.ownLoad.Requests-others.Requests))
	b.reportedAt = now
	b.room.reported(r, now)
	b.calls.reported(r, b.ownLoad.Requests, now)
}

// StateSlowness records how long work takes at the server, as a multiple of the usual time.
func (b *BackendState) StateSlowness(factor float64, now time.Time) { b.slowness.State(factor, now) }

// SetUnreported records whether every control instance has stopped reporting the server.
func (b *BackendState) SetUnreported(unreported bool) { b.unreported = unreported }

// Unreported reports whether every control instance has stopped reporting the server.
func (b *BackendState) Unreported() bool { return b.unreported }

// Succeeded records a normal response and its duration.
func (b *BackendState) Succeeded(elapsed time.Duration, now time.Time) {
	b.consecutiveFailures, b.probing = 0, false
	b.failureRate *= 1 - ewmaWeight
	if b.meanTime == 0 {
		b.meanTime = elapsed
	}
	b.meanTime += time.Duration(ewmaWeight * float64(elapsed-b.meanTime))
	if !b.operationSince.IsZero() {
		b.operationTime += time.Duration(ewmaWeight * float64(min(maxCooldown, now.Sub(b.operationSince))-b.operationTime))
		b.operationSince = time.Time{}
	}
	if b.concurrencyLimit > 0 && !now.Before(b.pausedUntil) {
		if b.concurrencyLimit *= 2; b.concurrencyLimit > max(b.Slots, 1) {
			b.concurrencyLimit = 0
		}
	}
}

// Failed records a failure and returns the resulting cooldown, 0 if there is none. An
// unreachable server enters cooldown at once.
func (b *BackendState) Failed(unreachable bool, now time.Time) time.Duration {
	b.failureRate += ewmaWeight * (1 - b.failureRate)
	b.consecutiveFailures++
	if !unreachable && b.consecutiveFailures < cooldownFailures {
		return 0
	}
	cooldown := minCooldown
	for i := 1; i < b.consecutiveFailures && cooldown < maxCooldown; i++ {
		cooldown *= 2
	}
	cooldown = min(cooldown, maxCooldown)
	b.cooldownUntil, b.probing = now.Add(cooldown), true
	b.unreached = b.Path.failedAt.After(b.lastHeard)
	return cooldown
}

// Rejected records a request that the server rejected without running it, and returns the
// resulting cooldown. A server with free slots is executing a control operation,
// which takes some time; a full one soon has slots again. Without the cooldown, every
// request would be sent to this server first, at the cost of one retry each.
func (b *BackendState) Rejected(r *Report, now time.Time) time.Duration {
	cooldown := shedCooldown
	if r != nil {
		b.calls.rejected(*r, now)
	}
	if r != nil && r.Running+r.Waiting < r.Slots {
		cooldown = b.operationTime
		if b.operationSince.IsZero() {
			b.operationSince = now
		}
	}
	if until := now.Add(cooldown); until.After(b.cooldownUntil) {
		b.cooldownUntil = until
	}
	return cooldown
}

// Reached records a connection opened at the given time by which a probe has proven the path. It ends
// a cooldown whose reason was that the server could not be reached, unless a connection has failed since.
func (b *BackendState) Reached(opened, now time.Time) {
	b.Path.Proven(opened)
	if b.Path.unreachable(now, true) {
		return
	}
	if b.unreached && now.Before(b.cooldownUntil) {
		b.cooldownUntil = now
	}
	b.unreached = false
}

// CoolingDown reports whether the server rests after failures or a rejection.
func (b *BackendState) CoolingDown(now time.Time) bool { return now.Before(b.cooldownUntil) }

// MarkLeaving records that the server has announced that it wants no new work. This is
// never undone for the same incarnation.
func (b *BackendState) MarkLeaving() { b.leaving = true }

// Leaving reports whether the server has announced that it wants no new work.
func (b *BackendState) Leaving() bool { return b.leaving }

// Pause records that the server asked for no requests for d, and returns when sending
// resumes. d is 0 if the duration could not be parsed. jitter in [0, 1) spreads the
// resumption of instances that the server asked at the same moment. A pause is never
// shortened, neither by a later one nor by the response to a request sent earlier.
func (b *BackendState) Pause(d time.Duration, now time.Time, jitter float64) time.Time {
	if d <= 0 {
		d = defaultPause
	}
	d = min(d, maxPause)
	d += time.Duration(jitter * float64(min(maxPauseJitter, time.Duration(pauseJitter*float64(d)))))
	if until := now.Add(d); until.After(b.pausedUntil) {
		b.pausedUntil = until
	}
	b.concurrencyLimit = 1
	return b.pausedUntil
}

// ResumePause restores the pause of an incarnation that is listed anew. It does nothing if
// the pause has ended.
func (b *BackendState) ResumePause(until, now time.Time) {
	if until.After(now) {
		b.pausedUntil, b.concurrencyLimit = until, 1
	}
}

// PausedUntil returns when the server accepts requests again.
func (b *BackendState) PausedUntil() time.Time { return b.pausedUntil }

// AddTransfer adds a transfer of cached context to the server that takes d. Transfers
// run one after another. Each counts as ended when its time has passed, whether or not
// its prompt has been prefilled by then.
func (b *BackendState) AddTransfer(d time.Duration, now time.Time) {
	if now.After(b.transfersEndAt) {
		b.transfersEndAt = now
	}
	b.transfersEndAt = b.transfersEndAt.Add(d)
}

// PendingTransferTime returns the remaining time of the transfers in progress.
func (b *BackendState) PendingTransferTime(now time.Time) time.Duration {
	return max(0, b.transfersEndAt.Sub(now))
}

// Lost reports whether no control instance reports the server and this instance has
// had no response from it for lostTimeout.
func (b *BackendState) Lost(now time.Time) bool {
	return b.unreported && now.Sub(b.lastHeard) > lostTimeout
}

// Silence returns the time since the server's last response, or since the first of the
// requests awaiting a response was sent if that is later.
func (b *BackendState) Silence(now time.Time) time.Duration {
	if b.awaitingSince.After(b.lastHeard) {
		return now.Sub(b.awaitingSince)
	}
	return now.Sub(b.lastHeard)
}

// RespondedAfter reports whether the server has responded since the given time.
func (b *BackendState) RespondedAfter(since time.Time) bool { return b.lastHeard.After(since) }

// Awaited reports whether this instance has awaited something from the server since the given
// time: an answer, or the rest of a response that has begun.
func (b *BackendState) Awaited(since time.Time) bool {
	return b.awaitingFirstByte > 0 && !b.awaitingSince.After(since) || b.ownLoad.Requests > b.awaitingFirstByte
}

// UnresponsiveSince reports whether the server has not responded since the given time
// although the stall timeout has passed: minStallTimeout plus the time that an engine at
// the expected prefill rate needs for the work of this instance.
func (b *BackendState) UnresponsiveSince(since, now time.Time, r *PrefillModel) bool {
	return b.lastHeard.Before(since) && now.Sub(since) >= b.StallTimeout(r)
}

// Stalled reports whether the current silence exceeds the stall timeout.
func (b *BackendState) Stalled(now time.Time, r *PrefillModel) bool {
	return b.Silence(now) >= b.StallTimeout(r)
}

// StallTimeout returns how long the server may be silent before it counts as stalled:
// minStallTimeout plus the prefill time of this instance's load.
func (b *BackendState) StallTimeout(r *PrefillModel) time.Duration {
	tokens := b.ownLoad.PrefillTokens + b.ownLoad.DeferredTokens
	if tokens == 0 {
		return minStallTimeout
	}
	return minStallTimeout + time.Duration(float64(tokens)/r.Rate()*float64(time.Millisecond))
}

// requests returns the estimated number of requests at the server, and how many of them neither
// this instance nor the others have sent.
func (b *BackendState) requests(others Load, now time.Time) (total, unattributed float64) {
	unattributed = b.unattributed
	if age := now.Sub(b.reportedAt); age > reportTTL {
		unattributed *= float64(reportTTL) / float64(age)
	}
	return float64(b.ownLoad.Requests+others.Requests) + unattributed, unattributed
}

// Requests returns the estimated number of requests at the server.
func (b *BackendState) Requests(others Load, now time.Time) float64 {
	total, _ := b.requests(others, now)
	return total
}

// FreeSlots returns the estimated number of requests that the server could begin to run at once.
func (b *BackendState) FreeSlots(others Load, now time.Time) float64 {
	total, _ := b.requests(others, now)
	return float64(b.Slots) - total
}

// View fills in the placement view of the server. others is the load that other
// instances report, zone the failure domain of this instance.
func (b *BackendState) View(s *placement.Server, p *Policy, others Load, zone string, now time.Time) {
	*s = placement.Server{SameDomain: b.Zone == zone, Slots: b.Slots, MeanTime: b.meanTime, Cold: now.Before(b.ColdUntil)}
	if p.Enabled(ServerSlowness) {
		s.Slowdown = b.slowness.Factor(now) - 1
	}
	if b.awaitingFirstByte > 0 && p.Enabled(SilencePenalty) {
		s.Silence = b.Silence(now)
	}
	if !p.Enabled(PeerLoad) {
		others = Load{}
	}
	total, unattributed := b.requests(others, now)
	s.Running = min(total, float64(b.Slots))
	s.Waiting = total - s.Running
	s.PrefillTokens, s.DeferredTokens = b.ownLoad.PrefillTokens+others.PrefillTokens, b.ownLoad.DeferredTokens+others.DeferredTokens
	if p.Enabled(FailurePenalty) {
		s.FailureRate = b.failureRate
	}
	if b.MemoryTokens > 0 && p.Enabled(MemoryAccounting) {
		// Only the number of unattributed requests is known; they count as average-sized.
		s.MemoryTokens, s.RunTime = b.MemoryTokens, b.meanRunTime
		s.UsedMemoryTokens = b.ownLoad.MemoryTokens + others.MemoryTokens + int(unattributed*b.meanMemory)
	}
	if p.Enabled(Cooldown) {
		s.CoolingDown, s.Probing = now.Before(b.cooldownUntil), b.probing
	}
	if b.concurrencyLimit > 0 && b.ownLoad.Requests >= b.concurrencyLimit {
		s.CoolingDown = true // limits concurrency after a pause
	}
}
