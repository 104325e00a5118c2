package intake

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// oneConn is a listener that accepts a single connection.
type oneConn struct{ conns chan net.Conn }

func (l oneConn) Accept() (net.Conn, error) {
	if c, ok := <-l.conns; ok {
		return c, nil
	}
	return nil, errors.New("closed")
}

func (l oneConn) Close() error   { return nil }
func (l oneConn) Addr() net.Addr { return &net.TCPAddr{} }

// A request that has run keeps its connection until its response is read, whatever others need: the
// handler has returned before the response is written.
func TestResponseIsNotCutForOthers(t *testing.T) {
	b := testBudget(limits{bytes: 1 << 20, total: 1000, listener: 1000, address: 1000})
	l, ran := oneConn{make(chan net.Conn)}, make(chan struct{})
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "done")
		close(ran)
	})}
	go func() { _ = s.Serve(b.Protect(s, l, "clients")) }()
	client, server := net.Pipe() // has no buffer: the response is written as the client reads
	l.conns <- server
	_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	<-ran
	time.Sleep(2 * minLag)
	other, _ := newConn(t, b, "10.0.0.2", phaseWhole, 0)
	_ = other.take(Responses, 2<<20)
	r, err := http.ReadResponse(bufio.NewReader(client), nil)
	require.NoError(t, err)
	got, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	require.Equal(t, "done", string(got))
}

// A refusal reaches a client whose body nobody reads, and nothing of it stays counted.
func TestUnreadBodyIsNotCountedAsHead(t *testing.T) {
	b := testBudget(limits{bytes: 2 << 20, total: 1000, listener: 1000, address: 1000})
	address := startServer(t, b, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) })
	other, _ := newConn(t, b, "10.0.0.2", phaseWhole, 0)
	other.put(Bodies, 64<<10)
	c, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	defer c.Close()
	body := strings.Repeat("{\"a\": 1, \"b\": 2}\n", 12000)
	_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusTooManyRequests, r.StatusCode)
	require.Eventually(t, func() bool { return b.byKind[Heads].Load() == 0 }, 5*time.Second, time.Millisecond)
}

// Requests that net/http answers without a handler leave nothing counted.
func TestHeadsWithoutHandlerAreFreed(t *testing.T) {
	b := testBudget(limits{bytes: 1 << 20, total: 1000, listener: 1000, address: 1000})
	c, err := net.Dial("tcp4", startServer(t, b, echo))
	require.NoError(t, err)
	defer c.Close()
	reader := bufio.NewReader(c)
	for range 50 {
		_, err := io.WriteString(c, "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		r, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		r.Body.Close()
	}
	require.Eventually(t, func() bool { return b.byKind[Heads].Load() == 0 }, 5*time.Second, time.Millisecond)
}

// As many connections give way as are needed, not all that could.
func TestNoMoreGiveWayThanNeeded(t *testing.T) {
	gaveWay := func(conns []*Conn) (n int) {
		for _, c := range conns {
			if c.phase.Load() == phaseGaveWay {
				n++
			}
		}
		return n
	}
	idle := testBudget(limits{bytes: 100 * connectionBytes, total: 1000, listener: 1000, address: 1000})
	var conns []*Conn
	for range 100 {
		c, why := newConn(t, idle, "10.0.0.1", phaseHead, time.Second)
		require.Empty(t, why)
		conns = append(conns, c)
	}
	_, why := newConn(t, idle, "10.0.0.2", phaseHead, 0)
	require.Empty(t, why)
	require.Equal(t, 1, gaveWay(conns))

	stalled := testBudget(limits{bytes: 16 << 20, total: 1000, listener: 1000, address: 1000})
	conns = nil
	for range 100 {
		c, _ := newConn(t, stalled, "10.0.0.1", phaseBody, time.Second)
		if c.take(Bodies, 120<<10) != nil {
			break
		}
		conns = append(conns, c)
	}
	large, _ := newConn(t, stalled, "10.0.0.2", phaseBody, 0)
	require.ErrorIs(t, large.take(Bodies, 5<<20), ErrNoRoom)
	require.Less(t, gaveWay(conns), len(conns)/2)
}

// A request that arrives as its connection gives way is rejected: net/http would respond with 400 to it,
// or it would get no response.
func TestRequestThatArrivesAsItsConnectionGivesWayIsRejected(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, tt := range map[string]struct{ read, unread string }{
		"in a read":           {request, ""},
		"in a read, in part":  {request[:9], request[9:]},
		"in a read, and more": {request, "GET"},
	} {
		for _, closes := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, closed meanwhile %t", name, closes), func(t *testing.T) {
				b := testBudget(limits{bytes: 16 << 20, total: 100, listener: 100, address: 100})
				below, err := net.Listen("tcp4", "127.0.0.1:0")
				require.NoError(t, err)
				defer below.Close()
				client, err := net.Dial("tcp4", below.Addr().String())
				require.NoError(t, err)
				defer client.Close()
				accepted, err := below.Accept()
				require.NoError(t, err)
				held := &heldReadConn{TCPConn: accepted.(*net.TCPConn), read: make(chan struct{}), release: make(chan struct{})}
				l := oneConn{make(chan net.Conn, 1)}
				l.conns <- held
				s := &http.Server{Handler: http.HandlerFunc(echo)}
				go func() { _ = s.Serve(b.Protect(s, l, "clients")) }()
				_, err = io.WriteString(client, tt.read)
				require.NoError(t, err)
				<-held.read
				_, err = io.WriteString(client, tt.unread)
				require.NoError(t, err)
				b.mu.Lock()
				b.replace("clients", "", time.Now().Add(time.Minute))
				if closes {
					b.mu.Unlock()
				}
				time.Sleep(50 * time.Millisecond) // the connection is closed, or waits for the lock
				close(held.release)
				require.NoError(t, client.SetDeadline(time.Now().Add(time.Second)))
				r, err := http.ReadResponse(bufio.NewReader(client), nil)
				if !closes {
					b.mu.Unlock()
				}
				require.NoError(t, err)
				require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
				require.Eventually(t, func() bool { return closedUnhandled(t, b)[string(closeGaveWay)] == 1 }, 5*time.Second, time.Millisecond, "%v", closedUnhandled(t, b))
			})
		}
	}
}

// A request that nobody has read when its connection gives way is rejected, and does not get a reset.
func TestUnreadRequestOfConnectionThatGivesWayIsRejected(t *testing.T) {
	b := testBudget(limits{bytes: 16 << 20, total: 100, listener: 100, address: 100})
	below, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer below.Close()
	client, err := net.Dial("tcp4", below.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	accepted, err := b.Listen(below, "clients").Accept()
	require.NoError(t, err)
	_, err = io.WriteString(client, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return accepted.(*Conn).unreadBytes() > 0 }, time.Second, time.Millisecond)
	b.mu.Lock()
	b.replace("clients", "", time.Now().Add(time.Minute))
	b.mu.Unlock()
	require.NoError(t, client.SetDeadline(time.Now().Add(5*time.Second)))
	response, err := io.ReadAll(client)
	require.NoError(t, err)
	require.Equal(t, lateResponse+"\r\n", string(response))
}
