package intake

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A client that uses the times granted to it finds its connection closed by the shorter ones of the server.
func TestGrantedTimesOutlastThoseOfTheServer(t *testing.T) {
	const short, long, wait = 100 * time.Millisecond, 2 * time.Second, 400 * time.Millisecond
	for name, tt := range map[string]struct {
		head, idle time.Duration
		pause      time.Duration // within the first head
		rest       time.Duration // between the requests
		fails      bool
	}{
		"slow head":                      {head: long, pause: wait},
		"idle":                           {idle: long, rest: wait},
		"slow head beyond the idle time": {idle: long, pause: wait, fails: true},
		"idle beyond the head's time":    {head: long, rest: wait, fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := testBudget(limits{bytes: 8 << 20, total: 100, listener: 100, address: 100})
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			s := &http.Server{Handler: http.HandlerFunc(echo), ReadHeaderTimeout: short, IdleTimeout: short}
			counted := b.Protect(s, l, "clients")
			counted.(*Listener).SetTimeouts(func() (time.Duration, time.Duration) { return tt.head, tt.idle })
			go func() { _ = s.Serve(counted) }()
			defer s.Close()
			c, err := net.Dial("tcp4", l.Addr().String())
			require.NoError(t, err)
			defer c.Close()
			require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
			reader := bufio.NewReader(c)
			for _, pause := range []time.Duration{tt.pause, 0} {
				_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHo")
				time.Sleep(pause)
				_, _ = io.WriteString(c, "st: a\r\n\r\n")
				var r *http.Response
				if r, err = http.ReadResponse(reader, nil); err != nil {
					break
				}
				r.Body.Close()
				time.Sleep(tt.rest)
			}
			require.Equal(t, tt.fails, err != nil, "%v", err)
		})
	}
}

// A process that stands still while the time for a request ends finds both, the request and the end of its time.
func TestRequestThatWaitsInTheSocketOutlivesItsTime(t *testing.T) {
	for name, tt := range map[string]struct {
		sent string
		read int
		// idle: the connection was told to end before the request arrived.
		idle, want bool
	}{
		"waits":        {sent: "GET / HTTP/1.1\r\n", want: true},
		"nothing sent": {},
		"begun":        {sent: "GET / HTTP/1.1\r\n", read: 3},
		"told to end":  {sent: "GET / HTTP/1.1\r\n", idle: true},
	} {
		t.Run(name, func(t *testing.T) {
			below, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer below.Close()
			client, err := net.Dial("tcp4", below.Addr().String())
			require.NoError(t, err)
			defer client.Close()
			accepted, err := testBudget(limits{total: 100, listener: 100, address: 100}).Listen(below, "clients").Accept()
			require.NoError(t, err)
			c := accepted.(*Conn)
			defer c.Close()
			if tt.idle {
				c.endIdle()
			}
			_, err = io.WriteString(client, tt.sent)
			require.NoError(t, err)
			require.Eventually(t, func() bool { return c.unreadBytes() == len(tt.sent) }, 5*time.Second, time.Millisecond)
			_, err = io.ReadFull(c, make([]byte, tt.read))
			require.NoError(t, err)
			require.NoError(t, c.SetReadDeadline(time.Now()))
			n, err := c.Read(make([]byte, 4096))
			if !tt.want {
				require.ErrorIs(t, err, os.ErrDeadlineExceeded)
				return
			}
			require.NoError(t, err)
			require.Equal(t, len(tt.sent), n)
		})
	}
}

// stallingListener accepts connections whose first read stands still beyond a time.
type stallingListener struct {
	net.Listener
	stall time.Duration
}

func (l stallingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &stallingConn{TCPConn: c.(*net.TCPConn), stall: l.stall}, nil
}

type stallingConn struct {
	*net.TCPConn
	stall time.Duration
}

func (c *stallingConn) Read(p []byte) (int, error) {
	time.Sleep(c.stall)
	c.stall = 0
	return c.TCPConn.Read(p)
}

// A request that came in time gets its response although its server stood still until the time was over.
func TestStandstillDoesNotCloseConnectionOnItsRequest(t *testing.T) {
	const short = 50 * time.Millisecond
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	s := &http.Server{Handler: http.HandlerFunc(echo), ReadHeaderTimeout: short}
	b := testBudget(limits{total: 100, listener: 100, address: 100})
	counted := b.Protect(s, stallingListener{l, 4 * short}, "clients")
	go func() { _ = s.Serve(counted) }()
	defer s.Close()
	c, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	r.Body.Close()
	require.Equal(t, http.StatusOK, r.StatusCode)
}

// A head that was read in part as its time ends is rejected: not with 400, as a malformed one, and not by a reset if
// the rest waits in the socket of a process that stood still.
func TestHeadBeyondItsTimeIsRejected(t *testing.T) {
	const begun = "GET / HTTP/1.1\r\nHo"
	for name, waits := range map[string]string{"rest not sent": "", "rest waits in the socket": "st: a\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			b := testBudget(limits{total: 100, listener: 100, address: 100})
			server := oneConn{make(chan net.Conn, 1)}
			below, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer below.Close()
			client, err := net.Dial("tcp4", below.Addr().String())
			require.NoError(t, err)
			defer client.Close()
			accepted, err := below.Accept()
			require.NoError(t, err)
			// net/http reads the start, and stands still before its next read until the time is over.
			held := &heldSecondRead{TCPConn: accepted.(*net.TCPConn), release: make(chan struct{})}
			server.conns <- held
			s := &http.Server{Handler: http.HandlerFunc(echo), ReadHeaderTimeout: 50 * time.Millisecond}
			go func() { _ = s.Serve(b.Protect(s, server, "clients")) }()
			defer s.Close()
			defer close(server.conns)
			_, err = io.WriteString(client, begun)
			require.NoError(t, err)
			require.Eventually(t, func() bool { return held.reads.Load() == 2 }, 5*time.Second, time.Millisecond)
			_, err = io.WriteString(client, waits)
			require.NoError(t, err)
			time.Sleep(100 * time.Millisecond)
			close(held.release)
			require.NoError(t, client.SetDeadline(time.Now().Add(5*time.Second)))
			response, err := io.ReadAll(client)
			require.NoError(t, err)
			require.Equal(t, lateResponse+"\r\n", string(response))
			require.Eventually(t, func() bool { return closedUnhandled(t, b)[string(closeHeaderTimeout)] == 1 }, 5*time.Second, time.Millisecond)
		})
	}
}

// heldSecondRead is a connection whose second read stands still.
type heldSecondRead struct {
	*net.TCPConn
	reads   atomic.Int32
	release chan struct{}
}

func (c *heldSecondRead) Read(p []byte) (int, error) {
	if c.reads.Add(1) == 2 {
		<-c.release
	}
	return c.TCPConn.Read(p)
}
