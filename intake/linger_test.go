package intake

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// windowDialer connects clients that receive few bytes before they read.
var windowDialer = net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
}}

// testCertificate is that of servers with TLS.
var testCertificate = sync.OnceValue(func() tls.Certificate {
	s := httptest.NewUnstartedServer(nil)
	s.StartTLS()
	defer s.Close()
	return s.TLS.Certificates[0]
})

// bufferingListener accepts connections whose socket takes a whole response at once.
type bufferingListener struct{ net.Listener }

func (l bufferingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return c, c.(*net.TCPConn).SetWriteBuffer(1 << 20)
}

// A response is cut by bytes that its client sends behind the request: they reset the connection, also if they
// come after its close, and what the client has not received by then is lost.
func TestResponseIsNotCutByBytesBehindItsRequest(t *testing.T) {
	const get, size = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", 300 << 10
	for name, tt := range map[string]struct {
		// behind is sent behind the request: as its handler runs, or once the server has closed.
		request, behind string
		closed, tls     bool
	}{
		"next request":            {request: get, behind: get},
		"next request later":      {request: get, behind: get, closed: true},
		"line end behind a body":  {request: "POST / HTTP/1.0\r\nContent-Length: 4\r\n\r\nbody", behind: "\r\n"},
		"next request, TLS":       {request: get, behind: get, tls: true},
		"next request later, TLS": {request: get, behind: get, closed: true, tls: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := testBudget(limits{total: 100, listener: 100, address: 100})
			begun, leave, closed := make(chan struct{}), make(chan struct{}), make(chan struct{})
			s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				close(begun)
				<-leave
				w.Header().Set("Content-Length", strconv.Itoa(size))
				_, _ = io.WriteString(w, strings.Repeat("x", size))
			}), ConnState: func(_ net.Conn, state http.ConnState) {
				if state == http.StateClosed {
					close(closed)
				}
			}}
			below, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			l := b.Protect(s, bufferingListener{below}, "clients")
			if tt.tls {
				l = tls.NewListener(l, &tls.Config{Certificates: []tls.Certificate{testCertificate()}})
			}
			go func() { _ = s.Serve(l) }()
			defer s.Close()
			client, err := windowDialer.Dial("tcp4", below.Addr().String())
			require.NoError(t, err)
			defer client.Close()
			require.NoError(t, client.SetDeadline(time.Now().Add(5*time.Second)))
			if tt.tls {
				client = tls.Client(client, &tls.Config{InsecureSkipVerify: true})
			}
			send := func(text string) {
				_, err := io.WriteString(client, text)
				require.NoError(t, err)
				time.Sleep(20 * time.Millisecond) // it arrives, and so does a reset
			}
			send(tt.request)
			<-begun
			if !tt.closed {
				send(tt.behind)
			}
			close(leave)
			<-closed
			if tt.closed {
				send(tt.behind)
			}
			response, err := http.ReadResponse(bufio.NewReader(client), nil)
			require.NoError(t, err)
			content, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Len(t, content, size)
			require.NoError(t, client.Close())
			require.Eventually(t, func() bool { return len(b.connsOf([]string{"clients"})) == 0 && b.held.Load() == 0 }, 5*time.Second, time.Millisecond)
		})
	}
}

// A response without a length that is broken off looks complete, because its connection ends in order while the
// client has not received all that was sent.
func TestResetBreaksOffResponseThatIsNotReceivedYet(t *testing.T) {
	b := testBudget(limits{total: 100, listener: 100, address: 100})
	reset := make(chan struct{})
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 300<<10))
		connection, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = connection.(interface{ SetLinger(int) error }).SetLinger(0)
			_ = connection.Close()
		}
		close(reset)
	})}
	below, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	l := b.Protect(s, bufferingListener{below}, "clients")
	go func() { _ = s.Serve(l) }()
	defer s.Close()
	client, err := windowDialer.Dial("tcp4", below.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	require.NoError(t, client.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(client, "GET / HTTP/1.0\r\n\r\n")
	require.NoError(t, err)
	<-reset
	_, err = io.Copy(io.Discard, client)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// Of closes at the same time none cuts a response that another waits for.
func TestSimultaneousClosesDoNotCutResponse(t *testing.T) {
	const size = 300 << 10
	below, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer below.Close()
	l := testBudget(limits{total: 1000, listener: 1000, address: 1000}).Listen(bufferingListener{below}, "clients")
	for range 200 {
		client, err := windowDialer.Dial("tcp4", below.Addr().String())
		require.NoError(t, err)
		accepted, err := l.Accept()
		require.NoError(t, err)
		c := accepted.(*Conn)
		c.phase.Store(phaseResponse)
		_, err = io.WriteString(c, strings.Repeat("x", size))
		require.NoError(t, err)
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
		_, err = io.WriteString(client, "next")
		require.NoError(t, err)
		require.NoError(t, client.SetDeadline(time.Now().Add(5*time.Second)))
		content, err := io.ReadAll(client)
		require.NoError(t, err)
		require.Len(t, content, size)
		require.NoError(t, client.Close())
	}
}
