package faults

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/galenaarch/galenaarch/platform/platformtest"
)

const (
	clientDialTimeout = time.Second
	// clientEventGap is the time without an event after which clients leave a stream.
	clientEventGap = 2 * time.Second
	// maxRetryAfterShare is the share of a request's time within which clients obey the
	// time to come back.
	maxRetryAfterShare = 1.0 / 3
	refusedPause       = 20 * time.Millisecond
)

// clientRequest is a request that a client sends, and what became of it.
type clientRequest struct {
	id      string
	route   *soakRoute
	gateway int
	method  string
	// path and header, besides those that every request has.
	path   string
	header map[string]string
	// content is the body; empty for one that begins with the request's ID. Requests with
	// the method GET have no body.
	content string
	// events and interval are what the request asks of its server; 0 events on routes
	// without streams.
	events   int
	interval time.Duration
	padding  int
	// behavior is how the client sends the request and reads its response.
	behavior clientBehavior
	// connection is the one it was sent on, nil if that is not observed.
	connection *observedConn
	// bodyDelay is the time between the request's header and its body.
	bodyDelay time.Duration
	timeout   time.Duration
	// after is the number of events that the client had before it took up the stream.
	// leaveAfter is the number of events after which it leaves, 0 for none.
	after, leaveAfter int
	// writer is the server software that wrote the stream, by the events of all attempts; nil
	// if events do not name it.
	writer *streamWriter
	// joined is set if another software wrote an event than the one that wrote the first.
	joined bool
	// cause is set for a request that crashes servers.
	cause *crashCause

	sentAt time.Time
	// wroteAt is when the last byte was sent; zero if it was not.
	wroteAt, firstEventAt, endedAt time.Time
	// onConnection is the number of earlier requests on the connection.
	onConnection int
	status       int
	server       string
	retryAfter   string
	sealed       bool
	// reason is the body of a response of the gateway itself.
	reason   string
	received int
	// complete is set if the status line and the whole body or stream were received.
	complete bool
	// left is set if the client left because its time, or that for an event, had passed.
	left  bool
	err   error
	wrong string
}

// deadline is when the time of the client or the shortest timeout of the route is over.
func (r *clientRequest) deadline() time.Time {
	return r.sentAt.Add(min(r.timeout, r.route.minTimeout))
}

// body returns the body: its content, or the request's ID, what it asks for, and padding.
func (r *clientRequest) body() string {
	if r.method == http.MethodGet || r.content != "" {
		return r.content
	}
	return fmt.Sprintf("%s %d %d %s", r.id, r.events, r.interval.Milliseconds(), strings.Repeat("x", r.padding))
}

// connection is a client's connection to a gateway.
type connection struct {
	net.Conn
	reader *bufio.Reader
	used   int
	// ignoresClose is set for a client that sends further requests after a response that announces
	// the end of the connection, until that is closed.
	ignoresClose bool
	// closeAnnounced is set after a response that announces the end of the connection.
	closeAnnounced bool
}

func dialGateway(ctx context.Context, address string) (*connection, error) {
	c, err := (&net.Dialer{Timeout: clientDialTimeout}).DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return newConnection(c), nil
}

func newConnection(c net.Conn) *connection {
	return &connection{Conn: c, reader: bufio.NewReader(c)}
}

// exchange sends a request and reads everything that belongs to its response. It reports
// whether the connection can be used again.
func (c *connection) exchange(r *clientRequest) (reusable bool) {
	r.onConnection, r.sentAt = c.used, time.Now()
	c.used++
	defer func() { r.endedAt = time.Now() }()
	whole := false
	if whole, r.err = c.write(r); r.err != nil {
		return false
	}
	if whole {
		r.wroteAt = time.Now()
	}
	gap := r.timeout
	if r.events > 0 && !r.behavior.patient {
		gap = clientEventGap
	}
	await := func() {
		// The only failure is that of a closed connection, which the read reports.
		_ = c.SetReadDeadline(earlier(r.sentAt.Add(r.timeout), time.Now().Add(gap)))
	}
	await()
	response, err := c.readResponse()
	if err != nil {
		r.fail(err)
		return false
	}
	r.status, r.retryAfter, r.server = response.StatusCode, response.Header.Get("Retry-After"), response.Header.Get("X-Instance-Id")
	c.closeAnnounced = response.Close
	r.sealed = response.Header.Get("X-Response-Seal") != ""
	if id := response.Header.Get("X-Request-Id"); id != r.id {
		r.wrong = fmt.Sprintf("response with the ID %q", id)
		return false
	}
	if r.status == http.StatusOK && r.events > 0 {
		err = r.readEvents(response.Body, await)
	} else {
		err = r.readBody(response.Body)
	}
	if err != nil {
		r.fail(err)
		return false
	}
	r.complete = true
	if n := c.reader.Buffered(); n > 0 {
		r.wrong = fmt.Sprintf("%d bytes after the response", n)
		return false
	}
	return whole && (!response.Close || c.ignoresClose)
}

// readResponse reads the head of the final response.
func (c *connection) readResponse() (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// errLeft ends a stream that its client leaves on purpose.
var errLeft = errors.New("the client leaves")

// fail records that the connection ended, or that the client has left.
func (r *clientRequest) fail(err error) {
	r.err = err
	r.left = errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, errLeft)
}

// write sends a request. It reports false if the gateway has responded without asking for the body.
func (c *connection) write(r *clientRequest) (whole bool, err error) {
	var head strings.Builder
	body := r.body()
	fmt.Fprintf(&head, "%s %s HTTP/1.%d\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", r.method, r.path, r.behavior.minorVersion(), platformtest.Host, r.id, r.timeout.Milliseconds())
	if r.method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	for name, value := range r.header {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	r.behavior.writeHeader(&head)
	head.WriteString("\r\n")
	if r.bodyDelay == 0 && !r.behavior.expectContinue {
		head.WriteString(body)
		body = ""
	}
	if err := c.SetWriteDeadline(time.Now().Add(r.timeout)); err != nil {
		return false, err
	}
	if _, err := io.WriteString(c, head.String()); err != nil {
		return false, err
	}
	if body != "" {
		time.Sleep(r.bodyDelay)
		if r.behavior.expectContinue {
			if asked, err := c.awaitContinue(r.timeout); !asked {
				return false, err
			}
		}
		if _, err := io.WriteString(c, body); err != nil {
			return false, err
		}
	}
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok && r.behavior.halfClose {
		return true, w.CloseWrite()
	}
	return true, nil
}

func (r *clientRequest) readBody(body io.Reader) error {
	content, err := io.ReadAll(body)
	if !r.sealed {
		r.reason = strings.TrimSpace(string(content))
	}
	if err == nil && r.status == http.StatusOK && string(content) != answerTo(r.id)+r.filler() {
		r.wrong = fmt.Sprintf("body %q", content)
	}
	return err
}

func answerTo(id string) string { return "answer to " + id }

// readEvents reads a stream to its end and checks that its events are those of the request,
// in order, each once. A client that has ended its sending side skips the comments between events by which the
// gateway learns whether it has left.
func (r *clientRequest) readEvents(body io.Reader, await func()) error {
	reader := bufio.NewReader(body)
	var lines []string
	comment := false
	for {
		line, err := reader.ReadString('\n')
		switch {
		case errors.Is(err, io.EOF) && (line != "" || len(lines) > 0 || comment):
			r.wrong = fmt.Sprintf("the stream ends within an event: %q", append(lines, line))
			return nil
		case errors.Is(err, io.EOF):
			if r.after+r.received != r.events {
				r.wrong = fmt.Sprintf("the stream ends as complete after %d of %d events", r.after+r.received, r.events)
			}
			return nil
		case err != nil:
			return err
		case comment && line == "\n":
			comment = false
			continue
		case r.behavior.halfClose && len(lines) == 0 && line == ":\n" && !comment:
			comment = true
			continue
		case line != "\n":
			lines = append(lines, line)
			continue
		}
		if r.received == 0 {
			r.firstEventAt = time.Now()
		}
		r.received++
		r.checkEvent(strings.Join(lines, ""))
		lines = lines[:0]
		if r.received == r.leaveAfter {
			return errLeft
		}
		await()
	}
}

// checkEvent checks the event that was received last: it is the next one of the request, and
// written by the software that wrote those before, if it names that.
func (r *clientRequest) checkEvent(event string) {
	n, data := r.after+r.received, r.id+r.filler()
	if r.writer != nil {
		data += " " + r.writer.of(event)
		r.joined = r.joined || !strings.Contains(event, data)
	}
	if want := fmt.Sprintf("id: %d\ndata: %s %d\n", n, data, n); event != want && r.wrong == "" {
		r.wrong = fmt.Sprintf("event %q, expected %q", event, want)
	}
}

// pause returns how long the client waits before its next request.
func (r *clientRequest) pause(longest time.Duration) time.Duration {
	after := time.Duration(0)
	if seconds, err := strconv.ParseFloat(r.retryAfter, 64); err == nil {
		after = min(time.Duration(seconds*float64(time.Second)), time.Duration(maxRetryAfterShare*float64(r.timeout)))
	}
	return after + time.Duration(rand.Int64N(int64(longest)))
}
