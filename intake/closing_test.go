package intake

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
)

// logBuffer is a log that several goroutines write.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// closedUnhandled returns the counts of connections that were closed with an unhandled request.
func closedUnhandled(t *testing.T, b *Budget) map[string]float64 {
	t.Helper()
	registry := prometheus.NewRegistry()
	require.NoError(t, registry.Register(b))
	families, err := registry.Gather()
	require.NoError(t, err)
	counts := make(map[string]float64)
	for _, f := range families {
		if f.GetName() != "galena_intake_closed_unhandled_total" {
			continue
		}
		for _, m := range f.GetMetric() {
			counts[m.GetLabel()[0].GetValue()] += m.GetCounter().GetValue()
		}
	}
	return counts
}

// A connection that ends with an unhandled request tells who closed it, and one between requests is not reported.
func TestUnhandledRequestTellsWhoClosedItsConnection(t *testing.T) {
	const part = "GET / HTTP/1.1\r\nHost: a\r\n"
	whole := part + "\r\n"
	for name, tt := range map[string]struct {
		sent  string
		end   func(b *Budget, s *http.Server, client net.Conn)
		cause closeCause
		line  []string
	}{
		"header timeout": {sent: part, cause: closeHeaderTimeout, line: []string{"phase=head", "read=25", "unread=0"}},
		"peer":           {sent: part, end: func(_ *Budget, _ *http.Server, client net.Conn) { _ = client.Close() }, cause: closePeerClosed, line: []string{"phase=head", "read=25"}},
		"shutdown": {sent: whole + part, end: func(_ *Budget, s *http.Server, _ net.Conn) { _ = s.Close() },
			cause: closeLate, line: []string{"phase=head", "unread=0"}},
		"gave way": {sent: part, end: func(b *Budget, _ *http.Server, _ net.Conn) {
			time.Sleep(2 * minLag)
			b.mu.Lock()
			defer b.mu.Unlock()
			b.replace("clients", "", time.Now().Add(time.Minute))
		}, cause: closeGaveWay, line: []string{"read=25", "unread=0"}},
		"malformed": {sent: "nothing\r\n\r\n", cause: closeRejected, line: []string{"read=11"}},
		"none":      {sent: whole, end: func(_ *Budget, s *http.Server, _ net.Conn) { _ = s.Shutdown(context.Background()) }},
	} {
		t.Run(name, func(t *testing.T) {
			log := &logBuffer{}
			b := newBudget(limits{bytes: 16 << 20, total: 100, listener: 100, address: 100}, slog.New(slog.NewTextHandler(log, nil)))
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			s := &http.Server{Handler: http.HandlerFunc(echo), ReadHeaderTimeout: time.Second}
			counted := b.Protect(s, l, "clients")
			go func() { _ = s.Serve(counted) }()
			defer s.Close()
			client, err := net.Dial("tcp4", l.Addr().String())
			require.NoError(t, err)
			defer client.Close()
			for _, request := range strings.SplitAfter(tt.sent, "\r\n\r\n") {
				_, err = io.WriteString(client, request)
				require.NoError(t, err)
				time.Sleep(50 * time.Millisecond) // each arrives by itself
			}
			if tt.end != nil {
				tt.end(b, s, client)
			}
			require.Eventually(t, func() bool {
				b.mu.Lock()
				defer b.mu.Unlock()
				return len(b.open) == 0
			}, 5*time.Second, time.Millisecond)
			if tt.cause == closeNone {
				require.Empty(t, closedUnhandled(t, b))
				require.Empty(t, log.String())
				return
			}
			require.Eventually(t, func() bool { return closedUnhandled(t, b)[string(tt.cause)] == 1 }, 5*time.Second, time.Millisecond, "%v", closedUnhandled(t, b))
			require.Eventually(t, func() bool { return strings.Contains(log.String(), "before a request was handled") }, 5*time.Second, time.Millisecond)
			for _, field := range append(tt.line, "listener=clients", "remote="+client.LocalAddr().String(), "age=", "idle=") {
				require.Contains(t, log.String(), field)
			}
		})
	}
}

// Where the socket does not tell its unread bytes, the line lacks them and the connection closes.
func TestUnknownUnreadBytesAreLeftOut(t *testing.T) {
	log := &logBuffer{}
	b := newBudget(limits{total: 10, listener: 10, address: 10}, slog.New(slog.NewTextHandler(log, nil)))
	client, server := net.Pipe()
	c := &Conn{Conn: server, listener: &Listener{name: "clients", budget: b}, address: "10.0.0.1"}
	require.Empty(t, b.admit(c, time.Now()))
	go func() { _, _ = io.WriteString(client, "GET /") }()
	_, err := c.Read(make([]byte, 10))
	require.NoError(t, err)
	require.NoError(t, c.Close())
	require.Contains(t, log.String(), `cause="late, rejected"`)
	require.NotContains(t, log.String(), "unread=")
}
