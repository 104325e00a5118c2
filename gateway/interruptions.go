package gateway

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/fleetview"
)

const (
	// maxInterruptedRuns bounds the incarnations whose interrupted requests are counted.
	maxInterruptedRuns = 256
	// interruptionSettleTime is the time after the end of a server in which its requests
	// are found to be interrupted.
	interruptionSettleTime = 500 * time.Millisecond
	// endConfirmTime is how long after an interruption the server may be found to have
	// ended; a server that restarts is announced within seconds.
	endConfirmTime = 15 * time.Second
	// maxCountedParts bounds the parts counted of one incarnation, and the requests;
	// maxLoggedParts bounds either in a log line.
	maxCountedParts = 256
	maxLoggedParts  = 8
	// maxRecurring bounds the requests of which it is remembered for recurrenceTime at how
	// many incarnations they were interrupted.
	maxRecurring   = 1024
	maxCountedRuns = 16
	recurrenceTime = 10 * time.Minute
)

// interruptedStage is how far the response to an interrupted request had got.
type interruptedStage int

const (
	// stageWaiting: no response headers.
	stageWaiting interruptedStage = iota
	// stageBegun: headers, but neither an event nor a complete body.
	stageBegun
	// stageAnswering: at least one event.
	stageAnswering
	stageCount
)

// stageNames are the names in logs and metrics.
var stageNames = [stageCount]string{"waiting", "begun", "answering"}

// How the end of a server was found, as values in logs.
const (
	endRefused   = "connection refused"
	endAnnounced = "announcement"
)

// interruptedRun are the requests that were interrupted at one incarnation of a server by
// a broken connection.
type interruptedRun struct {
	address, service string
	requests         [stageCount]int
	// parts counts the requests by the parts that they share with others.
	parts map[string]int
	// digests are those of the requests.
	digests map[dispatch.RequestDigest]bool
	// lastRequest is the ID of the last one.
	lastRequest     string
	firstAt, lastAt time.Time
	// endedAt is when the incarnation was found to have ended, by endedBy; zero if it
	// was not.
	endedAt time.Time
	endedBy string
}

// interruptions are the interrupted requests by incarnation.
type interruptions struct {
	mu   sync.Mutex
	runs map[incarnation]*interruptedRun
	// recurring are the interrupted requests by digest.
	recurring map[dispatch.RequestDigest]*recurrence
}

// recurrence is at which incarnations a request was interrupted, at most maxCountedRuns of
// them.
type recurrence struct {
	runs   map[incarnation]bool
	lastAt time.Time
}

// interruptedRequest is what is recorded of an interrupted request.
type interruptedRequest struct {
	id     string
	digest dispatch.RequestDigest
	parts  []Part
	stage  interruptedStage
}

// interruptedRequest returns what is recorded of the request when its response breaks off at
// a stage.
func (c *call) interruptedRequest(stage interruptedStage) interruptedRequest {
	return interruptedRequest{id: c.request.ID, digest: c.digest(), parts: c.declaredParts(), stage: stage}
}

// isConnectionBroken reports whether an error is a connection that its peer closed or reset,
// or on which the peer acknowledged nothing.
func isConnectionBroken(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// stage returns how far the response to an attempt has got.
func (a *attempt) stage() interruptedStage {
	switch {
	case a.eventReceived:
		return stageAnswering
	case a.result == responseReceived:
		return stageBegun
	}
	return stageWaiting
}

// recordInterruption records an attempt that failed with err, if the connection broke.
func (c *call) recordInterruption(a *attempt, err error) {
	if a.forward != nil || a.result == clientCanceled || !isConnectionBroken(err) {
		return
	}
	stage := a.stage()
	a.backend.recordBroken(time.Now())
	c.gateway.interruptions.add(a.backend, c.interruptedRequest(stage), time.Now())
	c.gateway.evidence.interrupted(c, a, stage != stageWaiting && time.Since(a.headersAt) <= dispatch.BegunWindow)
}

// add counts an interrupted request.
func (s *interruptions) add(b *backend, r interruptedRequest, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := s.runs[b.incarnation]
	if run == nil {
		if len(s.runs) >= maxInterruptedRuns {
			return
		}
		if s.runs == nil {
			s.runs = make(map[incarnation]*interruptedRun)
		}
		run = &interruptedRun{address: b.address, service: b.service.Name, parts: make(map[string]int), digests: make(map[dispatch.RequestDigest]bool), firstAt: now}
		s.runs[b.incarnation] = run
	}
	run.requests[r.stage]++
	run.lastAt, run.lastRequest = now, r.id
	for _, p := range r.parts {
		if _, known := run.parts[p.ID]; known || len(run.parts) < maxCountedParts {
			run.parts[p.ID]++
		}
	}
	if len(run.digests) < maxCountedParts {
		run.digests[r.digest] = true
	}
	s.countRecurrence(r.digest, b.incarnation, now)
}

// countRecurrence counts the incarnations at which a request was interrupted. The caller holds
// s.mu.
func (s *interruptions) countRecurrence(d dispatch.RequestDigest, at incarnation, now time.Time) {
	known := s.recurring[d]
	if known == nil {
		if len(s.recurring) >= maxRecurring {
			maps.DeleteFunc(s.recurring, func(_ dispatch.RequestDigest, r *recurrence) bool { return now.Sub(r.lastAt) >= recurrenceTime })
		}
		if len(s.recurring) >= maxRecurring {
			return
		}
		if s.recurring == nil {
			s.recurring = make(map[dispatch.RequestDigest]*recurrence)
		}
		known = &recurrence{runs: make(map[incarnation]bool)}
		s.recurring[d] = known
	}
	if len(known.runs) < maxCountedRuns {
		known.runs[at] = true
	}
	known.lastAt = now
}

// topRequests lists the requests interrupted at an incarnation that were interrupted at most
// incarnations, as DIGEST:INCARNATIONS, at most maxLoggedParts.
func (s *interruptions) topRequests(run *interruptedRun) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(run.digests))
	for d := range run.digests {
		if r := s.recurring[d]; r != nil {
			counts[shortDigest(d)] = len(r.runs)
		}
	}
	return topCounts(counts)
}

// markEnded records that an incarnation has ended.
func (s *interruptions) markEnded(id incarnation, by string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if run := s.runs[id]; run != nil && run.endedAt.IsZero() {
		run.endedAt, run.endedBy = now, by
	}
}

// markAnnouncedEnds records which incarnations have ended by the announcements in a fleet
// snapshot, and returns them.
func (s *interruptions) markAnnouncedEnds(snapshot *fleetview.Snapshot, now time.Time) (ended []incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, run := range s.runs {
		if run.endedAt.IsZero() && hasEnded(snapshot, id, run.address) {
			run.endedAt, run.endedBy = now, endAnnounced
			ended = append(ended, id)
		}
	}
	return ended
}

// hasEnded reports whether, by the announcements in a fleet snapshot, an incarnation has
// ended or a later one has its ID or address. An empty address stands for the announced one.
func hasEnded(snapshot *fleetview.Snapshot, id incarnation, address string) bool {
	if a := snapshot.Servers[id.server]; a != nil && a.BornUnixMs >= id.startedMs {
		if a.BornUnixMs > id.startedMs || a.State == fleetv1.ServerState_SERVER_STATE_GONE {
			return true
		}
		if address == "" {
			address = a.Address
		}
	}
	for _, a := range snapshot.Servers {
		if a.Address == address && a.BornUnixMs > id.startedMs {
			return true
		}
	}
	return false
}

// takeSettled removes and returns the incarnations whose interrupted requests are to be
// logged: those that ended interruptionSettleTime ago, and those that were not found to
// have ended within endConfirmTime.
func (s *interruptions) takeSettled(now time.Time) map[incarnation]*interruptedRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	var settled map[incarnation]*interruptedRun
	for id, run := range s.runs {
		ended := !run.endedAt.IsZero() && now.Sub(run.endedAt) >= interruptionSettleTime && now.Sub(run.lastAt) >= interruptionSettleTime
		if ended || now.Sub(run.firstAt) >= endConfirmTime {
			if settled == nil {
				settled = make(map[incarnation]*interruptedRun)
			}
			settled[id] = run
			delete(s.runs, id)
		}
	}
	return settled
}

// logInterruptions logs and counts the settled interruptions.
func (g *Gateway) logInterruptions(now time.Time) {
	for id, run := range g.interruptions.takeSettled(now) {
		ended := !run.endedAt.IsZero()
		message, cause := "connections of a running server broke", causeConnection
		if ended {
			message, cause = "server ended under requests", causeServerEnded
			g.metrics.serversEnded.Inc()
		}
		for stage, n := range run.requests {
			g.metrics.interrupted.WithLabelValues(cause, stageNames[stage]).Add(float64(n))
		}
		g.logger.Info(message, slog.String("server", id.server), slog.Int64("born_unix_ms", id.startedMs), slog.String("address", run.address), slog.String("backend", run.service),
			slog.Int("waiting", run.requests[stageWaiting]), slog.Int("begun", run.requests[stageBegun]), slog.Int("answering", run.requests[stageAnswering]),
			slog.Any("parts", topCounts(run.parts)), slog.Any("requests", g.interruptions.topRequests(run)), slog.String("found_by", run.endedBy), slog.String("request", run.lastRequest))
	}
}

// topCounts lists the IDs with the highest counts, as ID:COUNT, at most maxLoggedParts.
func topCounts(counts map[string]int) []string {
	ids := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	list := make([]string, 0, maxLoggedParts)
	for _, id := range ids[:min(len(ids), maxLoggedParts)] {
		list = append(list, fmt.Sprintf("%.64s:%d", id, counts[id]))
	}
	return list
}

// recordBrokenAttempt records an attempt without a response: as interrupted if the connection
// broke, and the server as ended if it refuses connections.
func (c *call) recordBrokenAttempt(a *attempt, err error) {
	c.recordInterruption(a, err)
	if errors.Is(err, syscall.ECONNREFUSED) {
		c.gateway.recordRefused(a.backend)
	}
}
