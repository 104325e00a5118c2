// Package relay sends a prompt to an engine and reads its stream of server-sent
// events. Each event is matched to one attempt of one request.
package relay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// readBufferBytes is the size of a stream's read buffer.
	readBufferBytes = 4 << 10
	// maxEventBytes is the maximum size of one event of a stream.
	maxEventBytes = 1 << 20
	// maxErrorBytes bounds how much of an engine's error response is read.
	maxErrorBytes = 4 << 10
	// idleGrace is added to the idle timeout: a process that was suspended reads
	// the events that arrived meanwhile before it gives up the stream.
	idleGrace = time.Second
	// maxMessageBytes bounds how much of an engine's error message is forwarded.
	maxMessageBytes = 512
)

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// Errors of a stream.
var (
	// ErrTruncated reports a stream that ended before its end marker.
	ErrTruncated = errors.New("stream ended before its end marker")
	// ErrEventTooLong reports an event above the maximum size.
	ErrEventTooLong = errors.New("event exceeds the maximum size")
	// ErrEngine reports an error event from the engine.
	ErrEngine = errors.New("engine sent an error event")
	// ErrForeignEvent reports an event that does not belong to this request.
	ErrForeignEvent = errors.New("event belongs to another request")
	// ErrEventTimeout reports that no event arrived within the timeout.
	ErrEventTimeout = errors.New("no event within the timeout")
	// ErrServerUnresponsive reports that the backend server as a whole stopped
	// responding.
	ErrServerUnresponsive = errors.New("backend server stopped responding")
)

// StatusError reports an engine's response with a status other than 200.
type StatusError struct {
	Server string
	// Status is the HTTP status code.
	Status int
	// Message is the engine's error message for the client, truncated.
	Message string
}

// Error implements error. It omits the message, which may quote the prompt.
func (e *StatusError) Error() string {
	return "engine " + e.Server + " responded with status " + http.StatusText(e.Status)
}

// ProvesNotRun reports whether an error of Open proves that the engine did not run
// the prompt: no connection was established, or the engine rejected the request
// before running it.
func ProvesNotRun(err error) bool {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return true
	}
	var statusErr *StatusError
	if !errors.As(err, &statusErr) {
		return false
	}
	return statusErr.Status < http.StatusInternalServerError || statusErr.Status == http.StatusServiceUnavailable
}

// Target is the destination of an attempt.
type Target struct {
	Server string
	URL    string
}

// Timeouts holds the timeouts of an attempt. The total duration of the stream is
// not limited.
type Timeouts struct {
	// FirstEvent is the timeout for the first event, counted from the call of
	// Open.
	FirstEvent time.Duration
	// Idle is the idle timeout between two events; one second of grace is added.
	Idle time.Duration
}

// Stream reads the events of one attempt.
type Stream struct {
	attempt     Attempt
	server      string
	idleTimeout time.Duration
	body        io.ReadCloser
	reader      *bufio.Reader
	lineBuffer  []byte
	event       Event
	// template speeds up the decoding of events that are similar to an earlier
	// one.
	template eventTemplate
	// expectedID is the ID that all events of this attempt carry.
	expectedID string
	// dropped counts events of other attempts.
	dropped int
	ctx     context.Context
	cancel  context.CancelCauseFunc
	// idleTimer calls onTimeout. It runs with the first-event timeout until the
	// stream has started, then with idleTimeout.
	idleTimer *time.Timer
	// started is true after the first event, inGrace after the idle timeout has
	// passed without an event.
	started atomic.Bool
	inGrace atomic.Bool
}

// Open sends body to an engine and returns the stream of its response. A status
// other than 200 is reported as a *StatusError. The caller must close the stream.
func Open(ctx context.Context, client *http.Client, target Target, body []byte, header http.Header, attempt Attempt, timeouts Timeouts) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &Stream{attempt: attempt, server: target.Server, idleTimeout: timeouts.Idle, ctx: ctx, cancel: cancel}
	s.idleTimer = time.AfterFunc(timeouts.FirstEvent, s.onTimeout)
	resp, err := s.dispatch(client, target.URL, body, header)
	if err != nil {
		err = s.withCause(err)
		s.idleTimer.Stop()
		cancel(nil)
		return nil, err
	}
	s.body = resp.Body
	s.reader = bufio.NewReaderSize(resp.Body, readBufferBytes)
	return s, nil
}

// onTimeout is called when no event arrived in time. It ends the attempt; once the
// stream has started, it first grants idleGrace.
func (s *Stream) onTimeout() {
	if s.started.Load() && s.inGrace.CompareAndSwap(false, true) {
		s.idleTimer.Reset(idleGrace)
		return
	}
	s.cancel(ErrEventTimeout)
}

// dispatch sends the request once and returns the response if its status is 200.
func (s *Stream) dispatch(client *http.Client, url string, body []byte, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(s.ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrapf(err, "build request to %s", s.server)
	}
	// The transport must not resend the request by itself.
	req.GetBody = nil
	req.Header = header.Clone()
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return nil, eris.Wrapf(err, "send request to %s", s.server)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, &StatusError{Server: s.server, Status: resp.StatusCode, Message: errorMessage(resp.Body)}
	}
	return resp, nil
}

// errorMessage extracts the message from the common formats of error responses.
func errorMessage(body io.Reader) string {
	raw, err := io.ReadAll(io.LimitReader(body, maxErrorBytes))
	if err != nil {
		return ""
	}
	var decoded struct {
		Message string `json:"message"`
		Error   struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(raw, &decoded) != nil {
		return truncate(string(bytes.TrimSpace(raw)))
	}
	if decoded.Error.Message != "" {
		return truncate(decoded.Error.Message)
	}
	return truncate(decoded.Message)
}

func truncate(s string) string {
	if len(s) > maxMessageBytes {
		return s[:maxMessageBytes]
	}
	return s
}

// withCause adds the reason if this side canceled the attempt.
func (s *Stream) withCause(err error) error {
	cause := context.Cause(s.ctx)
	if cause == nil || errors.Is(err, cause) {
		return err
	}
	return eris.Wrapf(cause, "attempt on %s canceled", s.server)
}

// Cancel cancels the attempt; Next then returns the reason.
func (s *Stream) Cancel(reason error) { s.cancel(reason) }

// Next returns the next event of this attempt, io.EOF after the end marker, or
// an error. Events of other attempts are dropped.
func (s *Stream) Next() (*Event, error) {
	for {
		data, err := s.nextData()
		if err != nil {
			return nil, s.withCause(err)
		}
		if bytes.Equal(data, doneMarker) {
			return nil, io.EOF
		}
		if err := s.decode(data); err != nil {
			return nil, eris.Wrapf(err, "decode event from %s", s.server)
		}
		own, err := s.isOwnEvent()
		if err != nil {
			return nil, err
		}
		if own {
			s.event.NextBuffered = s.hasBufferedEvent()
			return &s.event, nil
		}
		s.dropped++
	}
}

// decode parses an event, using the template of an earlier event if it matches.
func (s *Stream) decode(data []byte) error {
	if s.template.match(data, &s.event) {
		return nil
	}
	if err := s.event.parse(data); err != nil {
		return err
	}
	s.template.learn(&s.event)
	return nil
}

// isOwnEvent matches the event to this attempt. An ID that belongs neither to
// this attempt nor to another attempt of the request is an error: dropping the
// event could truncate the response.
func (s *Stream) isOwnEvent() (bool, error) {
	id := s.event.ID
	if s.expectedID != "" && id == s.expectedID {
		return true, nil
	}
	if s.attempt.EventOwner(id) == OwnerOther {
		return false, nil
	}
	if s.expectedID != "" {
		return false, eris.Wrapf(ErrForeignEvent, "read stream from %s", s.server)
	}
	s.expectedID = id
	return true, nil
}

// nextData returns the data of the next data line and restarts the idle timer. A
// stream that ends without its end marker gives ErrTruncated.
func (s *Stream) nextData() ([]byte, error) {
	for {
		line, err := s.nextLine()
		if err != nil {
			return nil, err
		}
		if bytes.HasPrefix(line, dataPrefix) {
			s.started.Store(true)
			s.inGrace.Store(false)
			s.idleTimer.Reset(s.idleTimeout)
			return bytes.TrimSpace(line[len(dataPrefix):]), nil
		}
	}
}

// nextLine returns the next line, without copying if it fits the buffer.
func (s *Stream) nextLine() ([]byte, error) {
	s.lineBuffer = s.lineBuffer[:0]
	for {
		chunk, err := s.reader.ReadSlice('\n')
		if err == nil && len(s.lineBuffer) == 0 {
			return chunk, nil
		}
		if len(s.lineBuffer)+len(chunk) > maxEventBytes {
			return nil, eris.Wrapf(ErrEventTooLong, "read stream from %s", s.server)
		}
		s.lineBuffer = append(s.lineBuffer, chunk...)
		if err == nil {
			return s.lineBuffer, nil
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) {
			err = ErrTruncated
		}
		return nil, eris.Wrapf(err, "read stream from %s", s.server)
	}
}

// hasBufferedEvent reports whether a complete line of the next event is
// buffered.
func (s *Stream) hasBufferedEvent() bool {
	buffered, err := s.reader.Peek(s.reader.Buffered())
	if err != nil {
		return false
	}
	return bytes.IndexByte(bytes.TrimLeft(buffered, "\r\n"), '\n') >= 0
}

// DroppedEvents returns the number of dropped events of other attempts.
func (s *Stream) DroppedEvents() int { return s.dropped }

// Close ends the attempt. The engine sees the connection close.
func (s *Stream) Close() {
	s.idleTimer.Stop()
	s.cancel(nil)
	_ = s.body.Close() // nothing more is read
}
