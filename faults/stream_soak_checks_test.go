package faults

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"
)

// The users' bounds on requests that are lost around planned work.
const (
	contactTime = 3 * time.Second
	// lossSlack is how long after its last byte a request that was not passed on may end
	// without a response.
	lossSlack = 200 * time.Millisecond
	// configWindow follows the acknowledgement of a configuration: the time to apply it
	// and one second.
	configWindow = configApplyTime + time.Second
	gracePeriod  = 8 * time.Second
	// stopWindow is the time after SIGTERM in which a stop counts as planned work.
	stopWindow = gracePeriod + time.Second
	// configApplyTime is the time to apply a configuration.
	configApplyTime = 2 * time.Second
	// usedShare of a request's time ends its protection beside a configuration.
	usedShare = 0.7
	// In the last of drainParts equal parts of the grace period, a server that is still at
	// work excuses the end of a request sent at most drainExcused after SIGTERM.
	drainParts   = 6
	drainExcused = 3 * time.Second
	// maxLostInDisruption is how many requests that were passed on to a sound server may
	// be lost while other machines are disrupted.
	maxLostInDisruption = 3
	// drainTime is how long a server serves after it was announced as draining.
	drainTime = 2 * time.Second
)

// arrival is a request that reached a server.
type arrival struct {
	server *soakServer
	id     string
	at     time.Time
	// executed is set if the server did not reject the request as not run.
	executed bool
	// until is when the response is expected to end.
	until       time.Time
	lastEventID string
}

// publishedConfig is a version of the configuration, and what it takes away from requests.
type publishedConfig struct {
	sent, acked time.Time
	// routes are the path prefixes of its routes.
	routes    map[string]bool
	otherKey  bool
	bodyLimit int
	// version is that of the configuration, isolated are the isolated accounts.
	version  int
	isolated map[string]bool
}

// rejects reports whether the version allows a rejection of a request with a status.
func (c *publishedConfig) rejects(r *clientRequest) bool {
	switch r.status {
	case http.StatusNotFound:
		return !c.routes[r.route.prefix()]
	case http.StatusUnauthorized:
		return !c.otherKey && r.header["X-Api-Key"] == soakOther
	case http.StatusRequestEntityTooLarge:
		return len(r.body()) > c.bodyLimit
	}
	return false
}

// disturbance is planned work or a fault.
type disturbance struct {
	name string
	// gateway is -1 if it is not at a gateway. control is set if it is at a control replica.
	gateway int
	control bool
	planned bool
	// window follows the end, and to is the end; zero if it goes on.
	window   time.Duration
	from, to time.Time
}

// overlaps reports whether the disturbance or its window lies in a span.
func (d *disturbance) overlaps(from, to time.Time) bool {
	return d.from.Before(to) && (d.to.IsZero() || d.to.Add(d.window).After(from))
}

// mayReject reports whether a version that may be in force allows the rejection of a request.
// The caller holds s.mu.
func (s *streamSoak) mayReject(r *clientRequest) bool {
	for _, c := range slices.Backward(s.published) {
		if c.sent.Before(r.endedAt) && c.rejects(r) {
			return true
		}
		if !c.acked.IsZero() && c.acked.Add(configApplyTime).Before(r.sentAt) {
			return false // the versions before are not in force
		}
	}
	return false
}

// notExecuted reports whether the response promises that the request has not run.
func (r *clientRequest) notExecuted() bool {
	switch r.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// keyRemoved reports whether a request was rejected for a key that configurations remove.
func (r *clientRequest) keyRemoved() bool {
	return r.complete && r.status == http.StatusUnauthorized && r.header["X-Api-Key"] == soakOther
}

// record checks a request and its response.
func (s *streamSoak) record(r *clientRequest) {
	s.mu.Lock()
	verdict, violates := s.judge(r)
	s.outcomes = append(s.outcomes, r)
	s.counts[verdict]++
	if verdict == lostInDisruption {
		s.lost++
		violates = s.lost > maxLostInDisruption
	}
	history := ""
	if violates || verdict == lostInDisruption {
		history = s.history(r)
	}
	s.mu.Unlock()
	if history == "" {
		return
	}
	history += s.gatewayLog(r)
	if violates {
		s.violation("%s: %s\n%s", r.id, verdict, history)
		return
	}
	s.t.Logf("%s: %s\n%s", r.id, verdict, history)
}

// violation reports a violation. The caller does not hold s.mu.
func (s *streamSoak) violation(format string, values ...any) {
	s.mu.Lock()
	s.violations++
	s.mu.Unlock()
	s.t.Errorf(format, values...)
}

// lostInDisruption is the verdict on a request that was lost while other machines were
// disrupted.
const lostInDisruption = "lost during a disruption elsewhere"

// judge returns what became of a request, and whether it violates the rules. The caller
// holds s.mu.
func (s *streamSoak) judge(r *clientRequest) (verdict string, violates bool) {
	switch {
	case r.wrong != "":
		return "wrong: " + r.wrong, s.tolerates == nil || !s.tolerates(r)
	case r.complete && r.status/100 == 2 && !r.sealed:
		return "success without a seal", true
	case r.complete && r.status == http.StatusNotFound && r.route == extraRoute:
		return "no such route", false
	case r.keyRemoved():
		return "no such key", false
	case r.complete && s.mayReject(r):
		return fmt.Sprint("status ", r.status, " by the configuration"), false
	case r.complete && (r.status/100 == 3 || r.status/100 == 4) && !r.notExecuted():
		return fmt.Sprint("status ", r.status), true
	case r.complete && r.notExecuted() && r.route.atMostOnce() && s.executed(r.id) > 0:
		return "refused but ran", true
	case r.route.atMostOnce() && s.executed(r.id) > 1:
		return "ran more than once", true
	case r.complete && r.notExecuted() && s.stopping(r):
		return fmt.Sprint(r.route.name, " ", r.status, " from a stopping gateway"), false
	case r.complete:
		return strings.TrimSpace(fmt.Sprint(r.route.name, " ", r.status, " ", r.reason)), false
	case r.left:
		return "client left", false
	case r.wroteAt.IsZero():
		return "not sent whole", false
	}
	if excuse := s.excuse(r); excuse != "" {
		return "cut, " + excuse, false
	}
	from := r.sentAt.Add(-contactTime)
	for _, d := range s.disturbances {
		if !d.planned && d.overlaps(from, r.endedAt) {
			return lostInDisruption, false
		}
	}
	return "lost", true
}

// stopping reports whether a request was sent to a gateway that was stopping. The caller
// holds s.mu.
func (s *streamSoak) stopping(r *clientRequest) bool {
	return slices.ContainsFunc(s.disturbances, func(d *disturbance) bool {
		return d.gateway == r.gateway && d.window == stopWindow && d.from.Before(r.endedAt) && (d.to.IsZero() || d.to.After(r.sentAt))
	})
}

// executed returns how often a request was executed. The caller holds s.mu.
func (s *streamSoak) executed(id string) (n int) {
	for _, a := range s.arrivals[id] {
		if a.executed {
			n++
		}
	}
	return n
}

// excuse returns why the rules allow the end of a connection without a complete response, or
// an empty text. The caller holds s.mu.
func (s *streamSoak) excuse(r *clientRequest) string {
	arrivals := s.arrivals[r.id]
	atWork := false
	for _, a := range arrivals {
		a.server.mu.Lock()
		ended := slices.ContainsFunc(a.server.ends, func(e serverEnd) bool { return e.at.After(a.at) && e.at.Before(r.endedAt) })
		a.server.mu.Unlock()
		if ended {
			return "its server ended"
		}
		atWork = atWork || a.until.After(r.endedAt)
	}
	if !r.endedAt.Before(r.deadline()) {
		return "its time was over"
	}
	if len(arrivals) == 0 && r.endedAt.Sub(r.wroteAt) <= lossSlack {
		return "not passed on"
	}
	beside := ""
	for _, d := range s.disturbances {
		own := d.gateway == r.gateway
		switch {
		case own && !d.planned && d.overlaps(r.sentAt.Add(-contactTime), r.endedAt):
			return "its gateway was disrupted"
		case own && d.planned && d.overlaps(r.sentAt, r.endedAt):
			beside = "stop"
			stopped := d.window == stopWindow
			lastPart := d.from.Add(gracePeriod - gracePeriod/drainParts)
			if stopped && atWork && !r.sentAt.After(d.from.Add(drainExcused)) && r.endedAt.After(lastPart) {
				return "its server was at work at the end of the grace period"
			}
		case d.planned && d.gateway < 0 && beside == "" && d.overlaps(r.sentAt, r.endedAt):
			beside = "configuration"
		}
	}
	if beside == "configuration" && r.endedAt.Sub(r.sentAt) >= time.Duration(usedShare*float64(r.deadline().Sub(r.sentAt))) {
		return "most of its time was used beside a configuration"
	}
	return ""
}

// history describes a request: its times, its servers and the disturbances around it. The
// caller holds s.mu.
func (s *streamSoak) history(r *clientRequest) string {
	var b strings.Builder
	fmt.Fprintf(&b, "  route %s, gateway %d, request %d on its connection, sent %s, written %s, ended %s, timeout %v, status %d, %d of %d events each %v, error %v\n",
		r.route.name, r.gateway, r.onConnection, s.since(r.sentAt), s.since(r.wroteAt), s.since(r.endedAt), r.timeout, r.status, r.received, r.events, r.interval, r.err)
	if r.connection != nil {
		fmt.Fprintf(&b, "  behavior %+v; %s\n", r.behavior, r.connection.describe(time.Now()))
	}
	for _, a := range s.arrivals[r.id] {
		a.server.mu.Lock()
		fmt.Fprintf(&b, "  server %s at %s, until %s, executed %t, after event %q, silent until %s\n", a.server.id, s.since(a.at), s.since(a.until), a.executed, a.lastEventID, s.since(a.server.silentUntil))
		a.server.mu.Unlock()
	}
	for _, d := range s.disturbances {
		if d.overlaps(r.sentAt.Add(-contactTime), r.endedAt) {
			fmt.Fprintf(&b, "  %s from %s to %s\n", d.name, s.since(d.from), s.since(d.to))
		}
	}
	return b.String()
}

// logDelay is the time in which processes write their logs.
const logDelay = 300 * time.Millisecond

// gatewayLog returns the lines on a request in the log of its gateway.
func (s *streamSoak) gatewayLog(r *clientRequest) string {
	time.Sleep(logDelay)
	var b strings.Builder
	log, err := os.ReadFile(s.gateways[r.gateway].logPath)
	if err != nil {
		fmt.Fprintf(&b, "  no log: %v\n", err)
	}
	for line := range strings.Lines(string(log)) {
		if strings.Contains(line, r.id) {
			b.WriteString("  " + line)
		}
	}
	return b.String()
}
