package intake

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeSocket is a connection that accepts everything.
type fakeSocket struct{ net.Conn }

func (*fakeSocket) Close() error                    { return nil }
func (*fakeSocket) SetReadDeadline(time.Time) error { return nil }

// startServer serves a handler within a budget and returns its address.
func startServer(t *testing.T, b *Budget, handler http.HandlerFunc) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	s := &http.Server{Handler: handler}
	counted := b.Protect(s, l, "clients")
	go func() { _ = s.Serve(counted) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

func echo(rw http.ResponseWriter, r *http.Request) {
	content, err := Read(r, r.Body, r.ContentLength)
	if err != nil {
		rw.WriteHeader(RefusalStatus(err))
		return
	}
	_, _ = rw.Write(content)
}

func TestBodiesAreReadWholeAndFreed(t *testing.T) {
	b := testBudget(limits{bytes: 16 << 20, total: 100, listener: 100, address: 100})
	address := startServer(t, b, echo)
	for _, size := range []int{0, 1, firstSegment, firstSegment + 1, 300_000, 1 << 20} {
		sent := bytes.Repeat([]byte("x"), size)
		for _, body := range []io.Reader{bytes.NewReader(sent), io.MultiReader(bytes.NewReader(sent))} {
			r, err := http.Post("http://"+address, "text/plain", body) // the second in chunks
			require.NoError(t, err)
			got, err := io.ReadAll(r.Body)
			require.NoError(t, err)
			r.Body.Close()
			require.Equal(t, http.StatusOK, r.StatusCode)
			require.True(t, bytes.Equal(sent, got))
		}
	}
	require.Eventually(t, func() bool { return b.held.Load() == b.byKind[Connections].Load() }, 5*time.Second, time.Millisecond)
}

// Below TLS the connection is counted as well.
func TestBodiesAreCountedOverTLS(t *testing.T) {
	b := testBudget(limits{bytes: 16 << 20, total: 100, listener: 100, address: 100})
	held := make(chan int64, 1)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		echo(rw, r)
		held <- b.byKind[Bodies].Load()
	}))
	s.Listener = b.Protect(s.Config, s.Listener, "control")
	s.StartTLS()
	defer s.Close()
	r, err := s.Client().Post(s.URL, "text/plain", strings.NewReader(strings.Repeat("x", 100_000)))
	require.NoError(t, err)
	got, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	r.Body.Close()
	require.Len(t, got, 100_000)
	require.Equal(t, int64(100_000), <-held)
	require.Eventually(t, func() bool { return b.held.Load() == b.byKind[Connections].Load() }, 5*time.Second, time.Millisecond)
}

// A body that breaks off must not be taken for a whole one.
func TestBrokenBodyIsNoWholeOne(t *testing.T) {
	b := testBudget(limits{bytes: 16 << 20, total: 100, listener: 100, address: 100})
	results := make(chan error, 1)
	address := startServer(t, b, func(_ http.ResponseWriter, r *http.Request) {
		_, err := Read(r, r.Body, r.ContentLength)
		results <- err
	})
	for _, framing := range []string{"Content-Length: 10\r\n\r\nfive5", "Transfer-Encoding: chunked\r\n\r\n5\r\nfive5\r\n"} {
		c, err := net.Dial("tcp4", address)
		require.NoError(t, err)
		_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\n"+framing)
		require.NoError(t, err)
		require.NoError(t, c.Close())
		require.Error(t, <-results)
	}
}

// A stalled body gets 503 when its memory is needed, and its request does not run.
func TestStalledBodyIsRefused(t *testing.T) {
	b := testBudget(limits{bytes: 8 << 20, total: 100, listener: 100, address: 100})
	address := startServer(t, b, echo)
	c, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000000\r\n\r\n"+strings.Repeat("x", 4_000_000))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return b.byKind[Bodies].Load() > 0 }, 5*time.Second, time.Millisecond)
	refused := make(chan []byte, 1)
	go func() {
		response, _ := io.ReadAll(c) // a reset ends it as well
		refused <- response
	}()
	require.Eventually(t, func() bool {
		r, err := http.Post("http://"+address, "text/plain", strings.NewReader(strings.Repeat("y", 5_000_000)))
		if err != nil {
			return false
		}
		defer r.Body.Close()
		return r.StatusCode == http.StatusOK
	}, 10*time.Second, 10*time.Millisecond)
	require.Contains(t, string(<-refused), "503 Service Unavailable")
}

// A response without memory to buffer it is returned in part, for its caller to pass on as it comes.
func TestResponseWithoutRoomIsReturnedInPart(t *testing.T) {
	b := testBudget(limits{bytes: 1 << 20, total: 10, listener: 10, address: 10})
	other, _ := newConn(t, b, "10.0.0.1", phaseWhole, 0)
	other.put(Bodies, 1<<20-2*connectionBytes-(16<<10))
	type result struct {
		length int
		whole  bool
	}
	results := make(chan result, 1)
	address := startServer(t, b, func(_ http.ResponseWriter, r *http.Request) {
		content, whole, _ := ReadResponse(r, strings.NewReader(strings.Repeat("x", 100_000)), 1<<20)
		results <- result{len(content), whole}
	})
	r, err := http.Get("http://" + address)
	require.NoError(t, err)
	r.Body.Close()
	got := <-results
	require.False(t, got.whole)
	require.Positive(t, got.length)
	require.Less(t, got.length, 100_000)
	rest, whole, err := ReadResponse(httptest.NewRequest("GET", "/", nil), strings.NewReader("answer"), 100)
	require.NoError(t, err)
	require.True(t, whole, "an uncounted connection has room")
	require.Equal(t, "answer", string(rest))
}

// FuzzHeadsAndChunks sends any bytes as a connection: the server answers the next one, and nothing
// stays held.
func FuzzHeadsAndChunks(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;a=b\r\nx\r\n0\r\nX: y\r\n\r\n"))
	f.Add([]byte("\r\n\r\n\r\nGET / HTTP/1.0\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n"))
	f.Fuzz(func(t *testing.T, sent []byte) {
		b := testBudget(limits{bytes: 1 << 20, total: 10, listener: 10, address: 10})
		client, server := net.Pipe()
		l := &Listener{name: "clients", budget: b}
		c := &Conn{Conn: server, listener: l, address: "10.0.0.1"}
		require.Empty(t, b.admit(c, time.Now()))
		s := &http.Server{Handler: http.HandlerFunc(echo)}
		go func() { _ = s.Serve(b.Protect(s, &oneConnection{conn: c}, "clients")) }()
		go func() { _, _ = io.Copy(io.Discard, client) }()
		_ = client.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = client.Write(sent) // the server may close the connection
		require.NoError(t, client.Close())
		require.Eventually(t, func() bool { return b.held.Load() == 0 }, 10*time.Second, time.Millisecond)
		require.NoError(t, s.Close())
	})
}

// oneConnection accepts one connection.
type oneConnection struct{ conn net.Conn }

func (l *oneConnection) Accept() (net.Conn, error) {
	if c := l.conn; c != nil {
		l.conn = nil
		return c, nil
	}
	return nil, errors.New("no more connections")
}
func (*oneConnection) Close() error   { return nil }
func (*oneConnection) Addr() net.Addr { return &net.TCPAddr{} }
