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
	"sync/atomic"
	"time"

	"github.com/galenaarch/galenaarch/config/site"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/intake"
)

// Buffer sizes and response limits, in bytes.
const (
	readBufferSize = 8 << 10
	// maxEventBytes limits one event of a stream: hundreds of times the size of an
	// ordinary event. A faulty server may send an endless sequence of bytes without an
	// event.
	maxEventBytes = 256 << 10
	// maxResponseBytes limits a whole response, and a stream whose client set no
	// output limit: four times defaultMaxBodyBytes, the default limit of a request body.
	// streamTokenBytes is the most that one output token takes there, including
	// framing. A longer response is treated as endless; relaying it takes processor
	// time from other requests.
	maxResponseBytes = 16 << 20
	streamTokenBytes = 4 << 10
)

var readBuffers = sync.Pool{New: func() any { b := make([]byte, readBufferSize); return &b }}

// stream is the part of a streamed response that the client has received.
type stream struct {
	call        *call
	rw          http.ResponseWriter
	headersSent bool
	// writing is held while rw is used once the stream has begun.
	writing sync.Mutex
	// begun is set once the response can only be cut, for the timer of the deadline.
	begun       atomic.Bool
	lastEventID string
	pending     []byte
	// resuming is set until the first event of a server that resumes the stream, which
	// the client or this instance asks for;
	// unnumbered is set if the last forwarded event has no ID.
	resuming bool
	// ended is set once the response ends without an event. unstored is why the stream must not begin at its
	// server.
	ended      bool
	unstored   error
	unnumbered atomic.Bool
	// mayBeComplete is set if the stream left a server behind a complete event: all events may have
	// been sent. It is cleared once an event follows, or a part of one.
	mayBeComplete bool
	// interruption is why the stream last left its server: one of the interruption
	// constants.
	interruption string
}

// Reasons why a stream leaves its server, as label values of a metric.
const (
	interruptionSilent   = "server silent"
	interruptionBroken   = "server broke off"
	interruptionTooLong  = "response too long"
	interruptionDeadline = "deadline"
)

// interruptionOf returns the reason for an error of a stream.
func (c *call) interruptionOf(err error) string {
	switch {
	case errors.Is(err, errStalled):
		return interruptionSilent
	case errors.Is(err, errResponseTooLong):
		return interruptionTooLong
	case !time.Now().Before(c.deadline):
		return interruptionDeadline
	}
	return interruptionBroken
}

// relay forwards a server's response. It returns false if the request is to continue
// on another server.
func (c *call) relay(rw http.ResponseWriter, r *http.Request, s *stream, a *attempt) bool {
	c.stage = stageReading
	header := a.exchange.Response.Header
	if c.route.Kind == site.KindStream && a.status == http.StatusOK && isEventStream(header) && (!s.headersSent || continuesAsEventStream(header, rw.Header())) {
		return c.relayStream(r, s, a)
	}
	if s.headersSent {
		return false // the server refused to resume the stream
	}
	return c.relayBuffered(r, s, a)
}

// isEventStream reports whether a response is an event stream. Without a content
// type, a response on a stream route counts as one.
func isEventStream(h http.Header) bool {
	contentType := h.Get("Content-Type")
	mediaType, _, _ := strings.Cut(contentType, ";")
	return contentType == "" || strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}

// impliesNotRun reports whether a status implies that the request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// relayBuffered reads the whole response before the client sees any of it, so that a
// truncated one never looks complete.
func (c *call) relayBuffered(r *http.Request, s *stream, a *attempt) bool {
	rw := s.rw
	c.releaseReturn()
	if a.forward != nil && a.forward.generated && impliesNotRun(a.status) && c.mayHaveRun {
		// The other instance has not run the request, but an earlier attempt here may have.
		c.gateway.reject(rw, c, http.StatusBadGateway, outcomeRejectedByPeer, 0, nil)
		return true
	}
	if impliesNotRun(a.status) && !c.retryable() && a.forward == nil {
		// The server did not state that it has not run the request.
		c.respondInterrupted(rw, r, a, errors.New("status implies that the request has not run, but the server does not state it"))
		return true
	}
	body, whole, err := intake.ReadResponse(r, a.exchange, maxBufferedResponse+1)
	if whole = whole && len(body) <= maxBufferedResponse; err == nil && whole {
		err = a.checkEnd(r.Context())
	}
	if err != nil {
		if r.Context().Err() == nil && c.retryable() && len(c.ranServers) < c.route.MaxServers {
			a.backend.recordFailure(false, time.Now())
			c.logInterrupted(a, err)
			return false
		}
		c.respondInterrupted(rw, r, a, err)
		return true
	}
	c.gateway.dialect.CopyResponseHeader(rw.Header(), a.exchange.Response.Header)
	if !whole {
		return c.relayUnbuffered(r.Context(), s, a, body)
	}
	c.markWhole(a, len(body))
	a.exchange.Finish(a.response.IdleTimeout)
	if r.Method != http.MethodHead {
		rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.responded = true
	rw.WriteHeader(a.status)
	_, _ = rw.Write(body) // the client may have left
	c.recordServed(a)
	return true
}

// relayUnbuffered forwards a response that is too long to buffer.
func (c *call) relayUnbuffered(ctx context.Context, s *stream, a *attempt, prefix []byte) bool {
	rw := s.rw
	if n := a.exchange.Response.ContentLength; n >= 0 {
		rw.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	}
	c.responded = true
	s.begun.Store(true)
	rw.WriteHeader(a.status)
	_, err := rw.Write(prefix)
	if err == nil {
		var n int64
		if n, err = io.Copy(rw, io.LimitReader(a.exchange, maxResponseBytes)); n == maxResponseBytes {
			err = errResponseTooLong
		}
	}
	if err == nil {
		err = a.checkEnd(ctx)
	}
	if err != nil {
		c.logInterrupted(a, err)
		panic(http.ErrAbortHandler)
	}
	c.markWhole(a, len(prefix))
	a.exchange.Finish(a.response.IdleTimeout)
	c.recordServed(a)
	return true
}

// recordServed records the duration and the metrics of a served request, and logs it
// unless the rate limit for log lines is reached.
func (c *call) recordServed(a *attempt, more ...slog.Attr) {
	if a.forward != nil && a.forward.generated {
		c.gateway.metrics.recordOutcome(c, outcomeRejectedByPeer)
		return
	}
	if c.route.Kind != site.KindStream || (c.attemptsSent <= 1 && c.request.LastEventID == "") {
		c.gateway.workTimes.recordEnd(c.route.Name, time.Since(a.startedAt), time.Now())
	}
	c.gateway.metrics.recordServed(c, a)
	if !c.gateway.shouldLog(c) {
		return
	}
	attributes := []slog.Attr{
		slog.String("request", c.request.ID), slog.String("route", c.route.Name), slog.String("server", a.backend.server), slog.String("software", a.backend.software.Version), slog.Int("status", a.status),
		slog.Int("sends", c.attemptsSent), slog.String("end", a.framing()), slog.Duration("head", a.headersAt.Sub(c.startedAt)), slog.Duration("took", time.Since(c.startedAt)), slog.Uint64("document", c.routing.table.Version),
	}
	attributes = append(attributes, more...)
	if c.forwarded != nil {
		attributes = append(attributes, slog.String("forwarded_by", c.forwarded.from))
	}
	if c.prompt != nil {
		attributes = append(attributes, slog.Int("prompt_tokens", c.prompt.Tokens), slog.Int("expected_reading", a.work.PrefillTokens), slog.Uint64("weights", a.weightVersion),
			slog.Int("fetched_tokens", a.fetchedTokens), slog.Duration("expected_fetch", a.expectedFetchTime), slog.Int("saved_parts", a.savedParts), slog.Int("dismissed_tokens", a.declinedTokens), slog.Int("unkept_parts", a.unsavedParts),
			slog.Int("ahead_tokens", c.decision.QueuedTokens), slog.String("verdict", c.decision.Verdict.String()), slog.Duration("in_turn", c.decision.Estimate.ArrivalOrderWait),
			slog.Duration("held", c.queueTime), slog.Bool("home", c.decision.Home), slog.Int("alternate", c.decision.Alternate), slog.Int("bookings_refused", c.bookingsRefused))
	}
	c.gateway.logger.LogAttrs(context.Background(), slog.LevelInfo, "request served", attributes...)
}

// logInterrupted logs a response that broke off.
func (c *call) logInterrupted(a *attempt, err error) {
	c.recordInterruption(a, err)
	c.gateway.logger.Info("response interrupted", slog.String("request", c.request.ID), slog.String("route", c.route.Name),
		slog.String("server", a.backend.server), slog.String("software", a.backend.software.Version), slog.Int("status", a.status), slog.Duration("took", time.Since(a.startedAt)), slog.Any("error", err))
}

// respondInterrupted responds to the client when the server's response cannot be
// used.
func (c *call) respondInterrupted(rw http.ResponseWriter, r *http.Request, a *attempt, err error) {
	c.logInterrupted(a, err)
	a.backend.recordFailure(false, time.Now())
	if r.Context().Err() != nil {
		c.gateway.metrics.recordOutcome(c, string(reasonClientLeft))
		panic(http.ErrAbortHandler)
	}
	status := http.StatusBadGateway
	if !time.Now().Before(c.deadline) {
		status = http.StatusGatewayTimeout
	}
	c.gateway.reject(rw, c, status, "answer of the server broke off", 0, err)
}

// relayStream forwards complete events as they arrive. It returns false if the stream
// broke and is to resume on another server.
func (c *call) relayStream(r *http.Request, s *stream, a *attempt) bool {
	s.pending, s.resuming = s.pending[:0], s.headersSent || (c.route.Resumable && c.request.LastEventID != "")
	remaining := c.maxStreamBytes()
	watch := c.startStallWatch(r.Context(), s, a)
	defer watch.stop()
	buffer := readBuffers.Get().(*[]byte)
	defer readBuffers.Put(buffer)
	for {
		n, err := a.exchange.Read(*buffer)
		if remaining -= n; remaining < 0 {
			watch.stop()
			return s.handleInterruption(r, a, errResponseTooLong)
		}
		if n > 0 {
			a.backend.update(func(tracker *dispatch.BackendState) { tracker.Responded(time.Now()) })
			s.pending = append(s.pending, (*buffer)[:n]...)
			if err := s.checkContinuation(a); err != nil {
				watch.stop()
				return s.handleInterruption(r, a, err)
			}
			watch.forward(func() bool { return !s.resuming && s.forwardEvents(r.Context(), a) })
			if s.unstored != nil {
				watch.stop()
				err, s.unstored = s.unstored, nil
				return s.handleInterruption(r, a, err)
			}
		}
		if errors.Is(err, io.EOF) && !a.eventReceived && a.closeDelimited() {
			err = io.ErrUnexpectedEOF
		}
		if errors.Is(err, io.EOF) && s.holdsComments() {
			s.ended = true
			watch.forward(func() bool { return !s.resuming && s.forwardEvents(r.Context(), a) })
		}
		if errors.Is(err, io.EOF) && s.endsWith(a) {
			watch.stop()
			if err := a.checkEnd(r.Context()); err != nil {
				return s.handleInterruption(r, a, err)
			}
			c.markWhole(a, c.maxStreamBytes()-remaining)
			s.sendHeaders(a)
			a.exchange.Finish(a.response.IdleTimeout)
			c.recordServed(a, slog.String("last_event", s.lastEventID))
			return true
		}
		if err == nil && len(s.pending) > maxEventBytes {
			err = errResponseTooLong
		}
		if err != nil {
			watch.stop()
			return s.handleInterruption(r, a, watch.readError(err))
		}
	}
}

// endsWith reports whether the stream is complete at the end of a server's response. A server that resumes
// the stream and sends no event must say by a length or by chunks that nothing is left.
func (s *stream) endsWith(a *attempt) bool {
	if s.resuming && s.headersSent {
		return s.mayBeComplete && s.betweenEvents() && !a.closeDelimited()
	}
	return len(s.pending) == 0
}

// betweenEvents reports whether what is pending begins no event: there is nothing, or comments.
func (s *stream) betweenEvents() bool {
	_, _, event := nextEvent(s.pending)
	return !event && completeEventsLen(s.pending) == len(s.pending)
}

// errResponseTooLong reports a response that exceeds all limits.
var errResponseTooLong = errors.New("response exceeds the size limit")

func (c *call) maxStreamBytes() int {
	if c.prompt == nil || c.prompt.MaxOutput == 0 {
		return maxResponseBytes
	}
	return maxEventBytes + streamTokenBytes*c.prompt.MaxOutput
}

// sendHeaders sends the response headers; those of the first server are kept.
func (s *stream) sendHeaders(a *attempt) {
	if s.headersSent {
		return
	}
	s.writing.Lock()
	defer s.writing.Unlock()
	s.headersSent, s.call.responded = true, true
	s.begun.Store(true)
	s.call.gateway.dialect.CopyResponseHeader(s.rw.Header(), a.exchange.Response.Header)
	s.rw.WriteHeader(a.status)
}

// eventStreamComment is a comment of an event stream, which clients skip.
const eventStreamComment = ":\n\n"

// sendComment adds a comment between two events, and reports whether it could: not before the
// response headers, nor to a response of known length.
func (s *stream) sendComment() bool {
	s.writing.Lock()
	defer s.writing.Unlock()
	if !s.headersSent || s.rw.Header().Get("Content-Length") != "" {
		return false
	}
	if _, err := io.WriteString(s.rw, eventStreamComment); err != nil {
		return false
	}
	return http.NewResponseController(s.rw).Flush() == nil
}

// holdsComments reports whether comments wait for the first event. The response headers tell the
// instance that has passed the stream on which software it is bound to, so they leave with that event.
func (s *stream) holdsComments() bool {
	return s.call.forwarded != nil && s.call.route.Resumable && !s.headersSent && !s.ended
}

// forwardEvents forwards the complete events and comments that are pending, and reports whether
// there were any events. s.unstored is set if the stream must not begin at its server.
func (s *stream) forwardEvents(ctx context.Context, a *attempt) bool {
	length := completeEventsLen(s.pending)
	if length == 0 {
		return false
	}
	events := s.pending[:length]
	_, _, found := nextEvent(events)
	if !found && s.holdsComments() {
		return false
	}
	if found {
		now := time.Now()
		if !a.eventReceived {
			s.call.gateway.workTimes.recordEvent(s.call.route.Name, now.Sub(a.startedAt), now)
		}
		if a.forward != nil {
			s.call.noteForwardedBegin(a.forward)
		} else if s.unstored = s.call.noteBegin(ctx, a.backend); s.unstored != nil {
			return false
		}
		s.call.markEvent(a)
		s.call.releaseReturn()
		s.call.lastEventAt.Store(monotonic(now))
		s.recordEvents(events)
	}
	s.sendHeaders(a)
	s.writeEvents(events)
	s.pending = append(s.pending[:0], s.pending[length:]...)
	return found
}

// writeEvents sends complete events to the client.
func (s *stream) writeEvents(events []byte) {
	s.writing.Lock()
	defer s.writing.Unlock()
	_, _ = s.rw.Write(events) // a client that leaves cancels the request's context
	if f, ok := s.rw.(http.Flusher); ok {
		f.Flush()
	}
}

// handleInterruption decides whether a broken stream resumes on another server.
func (s *stream) handleInterruption(r *http.Request, a *attempt, err error) bool {
	c := s.call
	if r.Context().Err() != nil {
		c.recordInterruption(a, err) // the connection may have broken first
		c.gateway.metrics.recordOutcome(c, string(reasonClientLeft))
		panic(http.ErrAbortHandler)
	}
	s.interruption = c.interruptionOf(err)
	s.mayBeComplete = s.betweenEvents() && (a.eventReceived || s.mayBeComplete)
	c.logInterrupted(a, err)
	if !errors.Is(err, errNotRecorded) {
		a.backend.recordFailure(false, time.Now())
	}
	// The instance that has passed the stream on goes on with it, since it counts the servers, unless one is reserved
	// here: the other instance may reach none, and this one may be stopping.
	if (c.forwarded != nil && c.reserved == nil) || !c.route.Resumable || s.unnumbered.Load() {
		c.giveUp(s.rw, r, s, reasonNotRetryable)
		return true
	}
	return false
}

// completeEventsLen returns the length of the complete events in b.
func completeEventsLen(b []byte) int {
	length := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		length = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		length = max(length, i+4)
	}
	return length
}
