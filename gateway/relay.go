package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/galenaarch/galenaarch/config/site"
	"github.com/galenaarch/galenaarch/dispatch"
)

// Sizes of the relay; bytes.
const (
	chunkBytes = 8 << 10
	// maxEvent bounds one event of a stream: hundreds of times what the users' events
	// take. A server in trouble may send bytes without end that are no event.
	maxEvent = 256 << 10
	// maxAnswer bounds a whole answer, and a stream whose caller did not say how
	// much it asks for: four times the body that the users' documents let a caller
	// send. streamTokenBytes is the most that one token of output takes there, with
	// what frames it. What is longer is taken for bytes without end; relaying them
	// takes the processor from other requests.
	maxAnswer        = 16 << 20
	streamTokenBytes = 4 << 10
)

var chunks = sync.Pool{New: func() any { b := make([]byte, chunkBytes); return &b }}

// stream is what the caller has been given of a stream so far.
type stream struct {
	call      *call
	rw        http.ResponseWriter
	begun     bool
	lastEvent string
	pending   []byte
}

// relay passes a server's answer on. It returns false if the request is to go
// on at another server.
func (c *call) relay(rw http.ResponseWriter, r *http.Request, s *stream, a *attempt) bool {
	if c.route.Kind == site.KindStream && a.status == http.StatusOK && isEvents(a.exchange.Answer.Header) {
		return c.relayStream(r, s, a)
	}
	if s.begun {
		return false // the server refused to go on with a stream
	}
	return c.relayWhole(rw, r, a)
}

// isEvents reports whether an answer is a stream of events; one that does not
// say what it is counts as one on a route of streams.
func isEvents(h http.Header) bool {
	kind := h.Get("Content-Type")
	return kind == "" || strings.HasPrefix(kind, "text/event-stream")
}

// promises reports whether a status says that a request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// relayWhole reads an answer to its end before the caller sees any of it, so
// that a broken one never looks whole.
func (c *call) relayWhole(rw http.ResponseWriter, r *http.Request, a *attempt) bool {
	if promises(a.status) && !c.repeatable() {
		// The server did not say that it has not run the request.
		c.broken(rw, r, a, errors.New("status promises what the server does not"))
		return true
	}
	body, err := io.ReadAll(io.LimitReader(a.exchange, maxUnary+1))
	if err != nil {
		if r.Context().Err() == nil && c.repeatable() && c.sends < c.route.MaxServers {
			a.backend.fail(false, time.Now())
			c.logBroken(a, err)
			return false
		}
		c.broken(rw, r, a, err)
		return true
	}
	c.gateway.dialect.Relay(rw.Header(), a.exchange.Answer.Header)
	if len(body) > maxUnary {
		return c.relayLong(rw, a, body)
	}
	a.exchange.Finish(a.answer.Idle)
	if r.Method != http.MethodHead {
		rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	rw.WriteHeader(a.status)
	_, _ = rw.Write(body) // the caller may have left
	c.done(a)
	return true
}

// relayLong passes on an answer that is too long to hold.
func (c *call) relayLong(rw http.ResponseWriter, a *attempt, head []byte) bool {
	if n := a.exchange.Answer.ContentLength; n >= 0 {
		rw.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	}
	rw.WriteHeader(a.status)
	_, err := rw.Write(head)
	if err == nil {
		var n int64
		if n, err = io.Copy(rw, io.LimitReader(a.exchange, maxAnswer)); n == maxAnswer {
			err = errEndless
		}
	}
	if err != nil {
		c.logBroken(a, err)
		panic(http.ErrAbortHandler)
	}
	a.exchange.Finish(a.answer.Idle)
	c.done(a)
	return true
}

func (c *call) done(a *attempt) {
	c.gateway.needs.note(c.route.Name, time.Since(c.began))
	c.gateway.metrics.served(c, a)
	if !c.gateway.logged(c) {
		return
	}
	attributes := []slog.Attr{
		slog.String("request", c.request.ID), slog.String("route", c.route.Name), slog.String("server", a.backend.server), slog.Int("status", a.status),
		slog.Int("sends", c.sends), slog.Duration("head", a.head.Sub(c.began)), slog.Duration("took", time.Since(c.began)), slog.Uint64("document", c.world.table.Version),
	}
	if c.prompt != nil {
		attributes = append(attributes, slog.Int("prompt_tokens", c.prompt.Tokens), slog.Int("expected_reading", a.work.Unread), slog.Uint64("weights", a.version),
			slog.Int("fetched_tokens", a.fetched), slog.Duration("expected_fetch", a.fetchTime), slog.Int("saved_parts", a.saved), slog.Int("dismissed_tokens", a.dismissed), slog.Int("unkept_parts", a.unkept),
			slog.Int("ahead_tokens", c.decision.Ahead), slog.String("verdict", c.decision.Verdict.String()), slog.Duration("in_turn", c.decision.Outlook.InTurn),
			slog.Duration("held", c.held), slog.Bool("home", c.decision.Home))
	}
	c.gateway.logger.LogAttrs(context.Background(), slog.LevelInfo, "request served", attributes...)
}

func (c *call) logBroken(a *attempt, err error) {
	c.gateway.logger.Info("answer broke off", slog.String("request", c.request.ID), slog.String("route", c.route.Name),
		slog.String("server", a.backend.server), slog.Int("status", a.status), slog.Duration("took", time.Since(a.began)), slog.Any("error", err))
}

// broken answers for a server whose answer cannot be used.
func (c *call) broken(rw http.ResponseWriter, r *http.Request, a *attempt, err error) {
	c.logBroken(a, err)
	a.backend.fail(false, time.Now())
	if r.Context().Err() != nil {
		c.gateway.metrics.outcome(c, string(leftEarly))
		panic(http.ErrAbortHandler)
	}
	status := http.StatusBadGateway
	if !time.Now().Before(c.deadline) {
		status = http.StatusGatewayTimeout
	}
	c.gateway.refuse(rw, c, status, "answer of the server broke off", 0, err)
}

// relayStream passes events on as they come, whole ones only. It returns false
// if the stream broke and is to go on at another server.
func (c *call) relayStream(r *http.Request, s *stream, a *attempt) bool {
	s.pending = s.pending[:0]
	left := c.streamBytes()
	watch := c.watchStall(a)
	defer watch.stop()
	buffer := chunks.Get().(*[]byte)
	defer chunks.Put(buffer)
	for {
		n, err := a.exchange.Read(*buffer)
		if left -= n; left < 0 {
			return s.interrupted(r, a, errEndless)
		}
		if n > 0 {
			a.backend.news(func(b *dispatch.Belief) { b.Heard(time.Now()) })
			s.pending = append(s.pending, (*buffer)[:n]...)
			if s.forward(a) {
				watch.progress()
			}
		}
		if errors.Is(err, io.EOF) && len(s.pending) == 0 {
			s.begin(a)
			a.exchange.Finish(a.answer.Idle)
			c.done(a)
			return true
		}
		if err == nil && len(s.pending) > maxEvent {
			err = errEndless
		}
		if err != nil {
			return s.interrupted(r, a, watch.reason(err))
		}
	}
}

// errEndless says that an answer goes on beyond all bounds.
var errEndless = errors.New("the answer does not end")

// streamBytes is the most that the stream of a request may take.
func (c *call) streamBytes() int {
	if c.prompt == nil || c.prompt.MaxOutput == 0 {
		return maxAnswer
	}
	return maxEvent + streamTokenBytes*c.prompt.MaxOutput
}

// begin sends the head: that of the first server stays.
func (s *stream) begin(a *attempt) {
	if s.begun {
		return
	}
	s.begun = true
	s.call.gateway.dialect.Relay(s.rw.Header(), a.exchange.Answer.Header)
	s.rw.WriteHeader(a.status)
}

// forward passes on the whole events that are pending, and reports whether there
// were any.
func (s *stream) forward(a *attempt) bool {
	end := lastEnd(s.pending)
	if end == 0 {
		return false
	}
	s.begin(a)
	events := s.pending[:end]
	if id := lastID(events); id != "" {
		s.lastEvent = id
	}
	_, _ = s.rw.Write(events) // a caller that left ends the request's context
	if f, ok := s.rw.(http.Flusher); ok {
		f.Flush()
	}
	s.pending = append(s.pending[:0], s.pending[end:]...)
	return true
}

// interrupted decides what becomes of a stream that broke.
func (s *stream) interrupted(r *http.Request, a *attempt, err error) bool {
	c := s.call
	if r.Context().Err() != nil {
		c.gateway.metrics.outcome(c, string(leftEarly))
		panic(http.ErrAbortHandler)
	}
	c.logBroken(a, err)
	a.backend.fail(false, time.Now())
	if !c.route.Resumable || c.sends >= c.route.MaxServers+extraSends {
		c.giveUp(s.rw, r, s, noRepeats)
		return true
	}
	return false
}

// lastEnd is the length of the whole events in b.
func lastEnd(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// lastID is the last event id in whole events.
func lastID(events []byte) string {
	i := bytes.LastIndex(events, []byte("\nid:"))
	switch {
	case i >= 0:
		i++
	case bytes.HasPrefix(events, []byte("id:")):
		i = 0
	default:
		return ""
	}
	line, _, _ := bytes.Cut(events[i+len("id:"):], []byte("\n"))
	return strings.TrimSpace(string(line))
}
