package intake

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// unreadTimeout is how long net/http may read on in a body that its handler has left unread. It
// reads 256 KiB at most and otherwise waits for the peer as long as that stays.
const unreadTimeout = time.Second

// maxUnread is how much a connection that lingers reads on, as net/http does.
const maxUnread = 256 << 10

// Protect makes a server and its listener count what they hold under the name of the listener. It
// returns the listener to serve. A nil Budget changes nothing.
func (b *Budget) Protect(s *http.Server, l net.Listener, name string) net.Listener {
	if b == nil {
		return l
	}
	s.Handler = Handler(s.Handler)
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if counted := counted(c); counted != nil {
			return context.WithValue(ctx, connKey{}, counted)
		}
		return ctx
	}
	next := s.ConnState
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		if next != nil {
			next(conn, state)
		}
		c := counted(conn)
		switch {
		case c == nil:
		case state == http.StateActive:
			c.headRead()
		case state == http.StateIdle:
			c.rest()
		}
	}
	return b.Listen(l, name)
}

// Listen returns a listener whose connections are counted under a name.
func (b *Budget) Listen(l net.Listener, name string) net.Listener {
	if b == nil {
		return l
	}
	return &Listener{Listener: l, name: name, budget: b}
}

// counted returns the counted connection below others, such as one with TLS; nil if there is none.
func counted(c net.Conn) *Conn {
	for c != nil {
		if counted, ok := c.(*Conn); ok {
			return counted
		}
		below, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = below.NetConn()
	}
	return nil
}

// Handler counts the bodies that next reads and frees what each request holds at its end.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if c == nil || r.ProtoMajor > 1 {
			next.ServeHTTP(rw, r)
			return
		}
		whole := r.Body == nil || r.Body == http.NoBody
		if !c.begin(whole) {
			c.reject(rw, r, next)
			return
		}
		defer c.end()
		c.halfClose.beginRequest(r)
		if !whole {
			c.body = &body{ReadCloser: r.Body, conn: c, header: rw.Header()}
			if r.Header.Get("Expect") != "" {
				// net/http looks at the body of its own request: behind another one it would wait for what the
				// client holds back, before a response that does not ask for it.
				r = r.WithContext(r.Context())
			}
			r.Body = c.body
			defer c.body.leave()
		}
		next.ServeHTTP(rw, r)
	})
}

// Rejecter is a handler that responds itself to requests which found no memory: GaveWay is set for
// their connections.
type Rejecter interface {
	Reject(rw http.ResponseWriter, r *http.Request)
}

// rejectRetryAfter is when a client may retry that was rejected without a Rejecter, in seconds.
const rejectRetryAfter = "1"

// reject responds to a request that does not run for want of memory, and ends its connection.
func (c *Conn) reject(rw http.ResponseWriter, r *http.Request, next http.Handler) {
	defer c.end()
	c.halfClose.beginRequest(r)
	rw.Header().Set("Connection", "close")
	if r.Body != nil && r.Body != http.NoBody {
		// A close with unread bytes would reset the connection, and the peer may lose the response.
		_ = c.SetReadDeadline(time.Now().Add(unreadTimeout))
	}
	if rejecter, ok := next.(Rejecter); ok {
		rejecter.Reject(rw, r)
		return
	}
	rw.Header().Set("Retry-After", rejectRetryAfter)
	http.Error(rw, ErrNoRoom.Error(), http.StatusServiceUnavailable)
}

// readAllFactor is the memory for a byte of a body that a handler reads with io.ReadAll: the
// buffer and the next, larger one.
const readAllFactor = 2.25

// body counts what a handler reads.
type body struct {
	io.ReadCloser
	conn   *Conn
	header http.Header
	// exact is set if the reader counts what it holds itself.
	exact bool
	ended bool
	// timedOut is set if a deadline has ended the reading.
	timedOut bool
}

// Read implements io.Reader. It returns ErrNoRoom once the request has given way.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.timedOut = b.timedOut || errors.Is(err, os.ErrDeadlineExceeded)
	if n > 0 && !b.exact {
		if b.conn.take(Bodies, int64(readAllFactor*float64(n))) != nil {
			return 0, b.refuse()
		}
	}
	if errors.Is(err, io.EOF) {
		b.ended = true
		if !b.conn.complete() {
			return 0, b.refuse()
		}
	} else if err != nil && b.conn.phase.Load() == phaseGaveWay {
		return 0, b.refuse()
	}
	return n, err
}

// refuse makes the response end the connection, whose body is not read on.
func (b *body) refuse() error {
	b.header.Set("Connection", "close")
	_ = b.conn.SetReadDeadline(time.Unix(1, 0)) // fails if the connection is closed
	return ErrNoRoom
}

// leave bounds the time for a body that the handler has left unread.
func (b *body) leave() {
	b.conn.body = nil
	switch {
	case b.ended:
	case b.timedOut, b.conn.phase.Load() == phaseGaveWay:
		b.conn.lingers.Store(true) // net/http reads nothing after the deadline that ended the reading
	default:
		_ = b.conn.SetReadDeadline(time.Now().Add(unreadTimeout)) // fails if the connection is closed
	}
}

// RefusalStatus returns the HTTP status for an error from the reading of a request body. 408 and
// 503 promise that the request has not run.
func RefusalStatus(err error) int {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, ErrNoRoom):
		return http.StatusServiceUnavailable
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}
