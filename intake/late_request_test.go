package intake

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// endIdleTime ends the time that a connection may be idle.
func endIdleTime(c *Conn) {
	_ = c.SetReadDeadline(time.Unix(1, 0))
	_, _ = c.Read(make([]byte, 1))
}

// A request that arrives as the server or the idle time ends is rejected, whether it was read or not.
func TestRequestBesideEndOfConnectionIsRejected(t *testing.T) {
	const whole = "POST / HTTP/1.1\r\nHost: a\r\nX-Request-Id: r-1\r\nContent-Length: 9000\r\n\r\n"
	hello := string([]byte{22, 3, 1, 0, 5}) // the start of a TLS handshake
	for name, tt := range map[string]struct {
		sent string
		read int
		// before happens before the request arrives.
		before func(*Conn)
		want   int
		cause  closeCause
	}{
		"read":                    {sent: whole, read: len(whole), want: 503, cause: closeLate},
		"head read":               {sent: whole + strings.Repeat("b", 9000), read: len(whole), want: 503, cause: closeLate},
		"not read":                {sent: whole + strings.Repeat("b", 9000), want: 503, cause: closeLate},
		"not read, told to end":   {sent: whole, before: (*Conn).endIdle, want: 503, cause: closeLate},
		"idle time has ended":     {sent: whole, before: endIdleTime, want: 503, cause: closeLate},
		"idle, nothing sent":      {before: endIdleTime},
		"nothing sent":            {},
		"TLS handshake":           {sent: hello, read: len(hello), cause: closeShutdown},
		"TLS handshake, not read": {sent: hello, cause: closeShutdownUnread},
	} {
		t.Run(name, func(t *testing.T) {
			b := testBudget(limits{bytes: 16 << 20, total: 100, listener: 100, address: 100})
			below, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer below.Close()
			l := b.Listen(below, "clients")
			l.(*Listener).SetEchoHeader("X-Request-Id")
			client, err := net.Dial("tcp4", below.Addr().String())
			require.NoError(t, err)
			defer client.Close()
			accepted, err := l.Accept()
			require.NoError(t, err)
			c := accepted.(*Conn)
			if tt.before != nil {
				tt.before(c)
			}
			_, err = io.WriteString(client, tt.sent)
			require.NoError(t, err)
			require.Eventually(t, func() bool { return c.unreadBytes() == len(tt.sent) }, 5*time.Second, time.Millisecond)
			_, err = io.ReadFull(c, make([]byte, tt.read))
			require.NoError(t, err)
			_ = c.Close()
			require.NoError(t, client.SetDeadline(time.Now().Add(5*time.Second)))
			if tt.want == 0 {
				response, _ := io.ReadAll(client) // the connection may be reset
				require.Empty(t, response)
			} else {
				response, err := http.ReadResponse(bufio.NewReader(client), nil)
				require.NoError(t, err)
				require.Equal(t, tt.want, response.StatusCode)
				require.True(t, response.Close)
				require.Equal(t, "r-1", response.Header.Get("X-Request-Id"))
			}
			counts := closedUnhandled(t, b)
			if tt.cause == closeNone {
				require.Empty(t, counts)
				return
			}
			require.Equal(t, map[string]float64{string(tt.cause): 1}, counts)
		})
	}
}

// standingConn stands still once a write deadline is set, for longer than any that rejections had.
type standingConn struct{ *net.TCPConn }

func (c standingConn) SetWriteDeadline(t time.Time) error {
	defer time.Sleep(time.Until(t) + time.Millisecond)
	return c.TCPConn.SetWriteDeadline(t)
}

// A request is rejected although the process stands still while it ends.
func TestStandstillDoesNotPreventRejection(t *testing.T) {
	below, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer below.Close()
	client, err := net.Dial("tcp4", below.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	accepted, err := testBudget(limits{total: 100, listener: 100, address: 100}).Listen(below, "clients").Accept()
	require.NoError(t, err)
	c := accepted.(*Conn)
	c.Conn = standingConn{c.Conn.(*net.TCPConn)}
	_, err = io.WriteString(client, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return c.unreadBytes() > 0 }, 5*time.Second, time.Millisecond)
	require.NoError(t, c.Close())
	require.NoError(t, client.SetDeadline(time.Now().Add(5*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
}

// A request over TLS that the end of its server crosses gets no bytes outside TLS.
func TestShutdownOverTLSSendsNoPlainText(t *testing.T) {
	b := testBudget(limits{bytes: 16 << 20, total: 100, listener: 100, address: 100})
	s := httptest.NewUnstartedServer(http.HandlerFunc(echo))
	s.Listener = b.Protect(s.Config, s.Listener, "clients")
	s.StartTLS()
	defer s.Close()
	client, err := tls.Dial("tcp4", s.Listener.Addr().String(), &tls.Config{InsecureSkipVerify: true})
	require.NoError(t, err)
	defer client.Close()
	_, err = io.WriteString(client, "GET / HTTP/1.1\r\nHost: a\r\n") // incomplete
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	require.NoError(t, s.Config.Close())
	_, err = io.ReadAll(client)
	require.NoError(t, err)
}

// heldReadConn is a connection whose reads return only once they are released.
type heldReadConn struct {
	*net.TCPConn
	read, release chan struct{}
}

func (c *heldReadConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	close(c.read)
	<-c.release
	return n, err
}

// A request that a read has taken from the socket as the server ends is rejected, also if the goroutine of
// the read gets no processor until the server has closed the connection.
func TestRequestInUnfinishedReadIsRejected(t *testing.T) {
	for name, sent := range map[string]string{"request": "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "TLS handshake": string([]byte{22, 3, 1, 0, 5})} {
		t.Run(name, func(t *testing.T) {
			b := testBudget(limits{bytes: 16 << 20, total: 100, listener: 100, address: 100})
			below, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer below.Close()
			client, err := net.Dial("tcp4", below.Addr().String())
			require.NoError(t, err)
			defer client.Close()
			accepted, err := b.Listen(below, "clients").Accept()
			require.NoError(t, err)
			c := accepted.(*Conn)
			held := &heldReadConn{TCPConn: c.Conn.(*net.TCPConn), read: make(chan struct{}), release: make(chan struct{})}
			c.Conn = held
			_, err = io.WriteString(client, sent)
			require.NoError(t, err)
			ended := make(chan error, 1)
			go func() {
				_, err := c.Read(make([]byte, 4096))
				ended <- err
			}()
			<-held.read
			_ = c.Close() // by CloseIdle
			_ = c.Close() // by http.Server
			close(held.release)
			require.Error(t, <-ended)
			require.NoError(t, client.SetDeadline(time.Now().Add(5*time.Second)))
			response, err := io.ReadAll(client)
			require.NoError(t, err)
			if name == "request" {
				require.Equal(t, lateResponse+"\r\n", string(response))
				require.Equal(t, map[string]float64{string(closeLate): 1}, closedUnhandled(t, b))
			} else {
				require.Empty(t, response)
			}
		})
	}
}

// The rest of a head that is rejected late must not reach net/http: it lacks what the rejection has read, and
// net/http would respond with 400.
func TestRestOfLateRequestIsNotTakenForMalformedHead(t *testing.T) {
	b := testBudget(limits{bytes: 16 << 20, total: 100, listener: 100, address: 100})
	client, err := net.Dial("tcp4", startServer(t, b, func(http.ResponseWriter, *http.Request) {}))
	require.NoError(t, err)
	defer client.Close()
	require.NoError(t, client.SetDeadline(time.Now().Add(5*time.Second)))
	const begun = "GET / HTTP/1.1\r\nHo"
	_, err = io.WriteString(client, begun)
	require.NoError(t, err)
	var conns []*Conn
	require.Eventually(t, func() bool {
		conns = b.connsOf([]string{"clients"})
		return len(conns) == 1 && conns[0].unhandled.bytes.Load() == int64(len(begun))
	}, time.Second, time.Millisecond)
	require.True(t, conns[0].rejectLate())
	_, err = io.WriteString(client, "st a\r\n\r\n")
	require.NoError(t, err)
	response, err := io.ReadAll(client)
	require.NoError(t, err)
	require.Equal(t, lateResponse+"\r\n", string(response))
}

// cutConn is a connection whose writes can be held back.
type cutConn struct {
	net.Conn
	holds bool
	held  []byte
}

func (c *cutConn) Write(p []byte) (int, error) {
	if !c.holds {
		return c.Conn.Write(p)
	}
	c.held = append(c.held, p...)
	return len(p), nil
}

// The rest of a TLS record whose start was read before the request ended is not taken for HTTP.
func TestEndOfIdleTLSConnectionWithinRecordSendsNoPlainText(t *testing.T) {
	b := testBudget(limits{bytes: 16 << 20, total: 100, listener: 100, address: 100})
	begun, leave := make(chan struct{}), make(chan struct{})
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(begun)
		<-leave
	}))
	s.Listener = b.Protect(s.Config, s.Listener, "clients")
	s.StartTLS()
	defer s.Close()
	raw, err := net.Dial("tcp4", s.Listener.Addr().String())
	require.NoError(t, err)
	defer raw.Close()
	require.NoError(t, raw.SetDeadline(time.Now().Add(5*time.Second)))
	cut := &cutConn{Conn: raw}
	client := tls.Client(cut, &tls.Config{InsecureSkipVerify: true})
	const get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	_, err = io.WriteString(client, get)
	require.NoError(t, err)
	<-begun
	cut.holds = true
	_, err = io.WriteString(client, get)
	require.NoError(t, err)
	cut.held[12] = 'x' // ciphertext, of any value
	const head = 12
	_, err = raw.Write(cut.held[:head])
	require.NoError(t, err)
	conn := b.connsOf([]string{"clients"})[0]
	require.Eventually(t, func() bool { return conn.unreadBytes() == 0 }, time.Second, time.Millisecond)
	close(leave)
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Eventually(t, func() bool { return conn.phase.Load() == phaseHead }, time.Second, time.Millisecond)
	_, err = raw.Write(cut.held[head : head+4])
	require.NoError(t, err)
	require.Eventually(t, func() bool { return conn.unhandled.bytes.Load() == 4 }, time.Second, time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	_ = b.CloseIdle(ctx, "clients")
	rest, _ := io.ReadAll(raw) // the connection may be reset
	require.NotContains(t, string(rest), "HTTP/1.1")
}

// A request is rejected although net/http and its server close the connection at the same time.
func TestSimultaneousClosesDoNotPreventRejection(t *testing.T) {
	below, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer below.Close()
	l := testBudget(limits{total: 100, listener: 100, address: 100}).Listen(below, "clients")
	for range 500 {
		client, err := net.Dial("tcp4", below.Addr().String())
		require.NoError(t, err)
		accepted, err := l.Accept()
		require.NoError(t, err)
		c := accepted.(*Conn)
		_, err = io.WriteString(client, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		require.Eventually(t, func() bool { return c.unreadBytes() > 0 }, 5*time.Second, 10*time.Microsecond)
		var closes sync.WaitGroup
		begin := make(chan struct{})
		for range 8 {
			closes.Go(func() {
				<-begin
				_ = c.Close()
			})
		}
		close(begin)
		closes.Wait()
		require.NoError(t, client.SetDeadline(time.Now().Add(5*time.Second)))
		response, err := http.ReadResponse(bufio.NewReader(client), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.NoError(t, client.Close())
	}
}
