package gateway

import (
	"bytes"
	"errors"
	"log/slog"
	"net/http"
	"strconv"
)

// errNotContinued reports a response that does not go on behind the last event that the
// client received.
var errNotContinued = errors.New("response does not continue the stream")

// continuesAsEventStream reports whether a response may continue a stream whose client
// response has the header sent.
func continuesAsEventStream(h, sent http.Header) bool {
	if h.Get("Content-Encoding") != "" {
		return false
	}
	return isEventStream(h) && (h.Get("Content-Type") != "" || sent.Get("Content-Type") == "")
}

// streamEvent is what is known of an event of a stream. Blocks with neither ID nor data,
// such as comments, are no events.
type streamEvent struct {
	id      string
	hasData bool
}

// nextEvent returns the first event in b and what follows it; ok is false if there is no
// complete event.
func nextEvent(b []byte) (e streamEvent, rest []byte, ok bool) {
	for len(b) > 0 {
		line, after, found := bytes.Cut(b, []byte("\n"))
		if !found {
			return streamEvent{}, nil, false
		}
		b = after
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case len(line) == 0 && (e.hasData || e.id != ""):
			return e, b, true
		case string(name) == "id":
			e.id = string(bytes.TrimSpace(value))
		case string(name) == "data":
			e.hasData = true
		}
	}
	return streamEvent{}, nil, false
}

// follows reports whether an event may come behind the one with the ID last: its ID is
// higher or, if last is not a number, another one. IDs need not be consecutive, since an
// event may hold several pieces.
func (e *streamEvent) follows(last string) bool {
	if e.id == "" || e.id == last {
		return false
	}
	lastNumber, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return true
	}
	number, err := strconv.ParseInt(e.id, 10, 64)
	return err == nil && number > lastNumber
}

// recordEvents records the IDs of complete events that are forwarded, and reports whether there
// are any: comments are none. Behind an event without an ID, the stream cannot be resumed: the
// event would come twice.
func (s *stream) recordEvents(events []byte) (found bool) {
	for {
		e, rest, ok := nextEvent(events)
		if !ok {
			return found
		}
		found = true
		s.unnumbered.Store(e.id == "")
		if e.id != "" {
			s.lastEventID = e.id
		}
		events = rest
	}
}

// checkContinuation examines the pending events of a server that resumes the stream. It
// clears resuming once the first event is complete and follows the last forwarded one.
func (s *stream) checkContinuation(a *attempt) error {
	if !s.resuming {
		return nil
	}
	e, _, ok := nextEvent(s.pending)
	if !ok {
		return nil
	}
	s.logContinuation(a, &e)
	if !e.follows(s.lastEventID) {
		return errNotContinued
	}
	s.resuming, s.mayBeComplete = false, false
	return nil
}

// logContinuation logs the first event of a server that resumes the stream, unless the rate limit
// for log lines is reached.
func (s *stream) logContinuation(a *attempt, first *streamEvent) {
	c := s.call
	if !c.gateway.accessLogLimiter.Allow() {
		return
	}
	b := a.backend
	c.gateway.logger.Info("stream continued", slog.String("request", c.request.ID), slog.String("route", c.route.Name), slog.String("cause", s.interruption),
		slog.String("server", b.server), slog.Int64("born_unix_ms", b.startedMs), slog.String("software", b.software.Version), slog.Bool("reused_connection", a.exchange.Reused),
		slog.String("after_event", s.lastEventID), slog.String("first_event", first.id), slog.Bool("follows", first.follows(s.lastEventID)))
}
