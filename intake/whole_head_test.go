package intake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fullBudget returns a budget whose memory is held by requests that run.
func fullBudget(t *testing.T) *Budget {
	t.Helper()
	b := testBudget(limits{bytes: 8 << 20, total: 1000, listener: 1000, address: 1000})
	other, why := newConn(t, b, "10.0.0.9", phaseWhole, 0)
	require.Empty(t, why)
	other.put(Bodies, 8<<20-4*connectionBytes)
	return b
}

// exhaust takes the rest of the memory, connections aside.
func exhaust(t *testing.T, b *Budget) {
	t.Helper()
	c, _ := newConn(t, b, "10.0.0.8", phaseWhole, 0)
	c.put(Bodies, 1<<20)
}

// A process without memory closes the connection of a whole request without a response.
func TestWholeRequestWithoutMemoryIsRejected(t *testing.T) {
	head := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"
	for name, parts := range map[string][]string{
		"without a body":  {"GET / HTTP/1.1\r\nHost: a\r\n\r\n"},
		"with its body":   {head + "body"},
		"before its body": {head, "body"},
		"chunks":          {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
		"bare LF":         {"GET / HTTP/1.1\nHost: a\n\n"},
		"long head":       {"GET / HTTP/1.1\r\nHost: a\r\nX-A: " + strings.Repeat("x", 14000) + "\r\n\r\n"},
		"large body":      {strings.Replace(head, ": 4", ": 600000", 1) + strings.Repeat("x", 600000)},
		"two requests":    {"GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			b := fullBudget(t)
			ran := false
			address := startServer(t, b, func(http.ResponseWriter, *http.Request) { ran = true })
			c, err := net.Dial("tcp4", address)
			require.NoError(t, err)
			defer c.Close()
			require.Eventually(t, func() bool {
				b.mu.Lock()
				defer b.mu.Unlock()
				return len(b.open) == 2
			}, 5*time.Second, time.Millisecond)
			exhaust(t, b)
			for _, part := range parts {
				_, err := io.WriteString(c, part)
				require.NoError(t, err)
				time.Sleep(10 * time.Millisecond)
			}
			require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
			r, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
			require.NotEmpty(t, r.Header.Get("Retry-After"))
			require.True(t, r.Close)
			require.False(t, ran)
			_, err = io.ReadAll(r.Body)
			require.NoError(t, err)
			require.Eventually(t, func() bool { return b.byKind[Heads].Load() == 0 && b.leaving.Load() == 0 }, 5*time.Second, time.Millisecond)
		})
	}
}

// A connection gives way although a whole request is about to reach its handler: after a slow head, and
// with a second request that was read along with the first.
func TestConnectionWithWholeHeadDoesNotGiveWay(t *testing.T) {
	b := testBudget(limits{bytes: 8 << 20, total: 1000, listener: 1000, address: 1000})
	client, server := net.Pipe()
	defer client.Close()
	c := &Conn{Conn: server, listener: &Listener{name: "clients", budget: b}, address: "10.0.0.1"}
	c.halfClose.changed.L = &c.halfClose.mu
	require.Empty(t, b.admit(c, time.Now()))
	late := time.Now().Add(time.Hour)
	replace := func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.replace("clients", "", late)
	}
	read := func(sent string) {
		go func() { _, _ = io.WriteString(client, sent) }()
		buffer := make([]byte, 4096)
		n, err := c.Read(buffer)
		require.NoError(t, err)
		require.Equal(t, sent, string(buffer[:n]))
	}
	read("GET / HTTP/1.1\r\nHost")
	read(": a\r\n\r\n")
	require.False(t, replace(), "the handler is about to start")
	require.True(t, c.begin(true))
	c.end()
	require.False(t, replace(), "the response may not have been written")
	c.rest()
	require.False(t, replace(), "net/http may hold the next request")
	go func() { _, _ = c.Read(make([]byte, 4096)) }()
	require.Eventually(t, replace, 5*time.Second, time.Millisecond, "net/http waits for the next request")
	require.Equal(t, phaseGaveWay, c.phase.Load())
}

// An incomplete head without memory holds nothing.
func TestIncompleteHeadWithoutMemoryIsClosed(t *testing.T) {
	b := fullBudget(t)
	c, err := net.Dial("tcp4", startServer(t, b, echo))
	require.NoError(t, err)
	defer c.Close()
	require.Eventually(t, func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.open) == 2
	}, 5*time.Second, time.Millisecond)
	exhaust(t, b)
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost")
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = io.ReadAll(c)
	require.NoError(t, err)
	require.Zero(t, b.byKind[Heads].Load())
	require.Zero(t, b.leaving.Load())
}

// The end of a head is found however its bytes are split.
func TestEndOfHeadIsFoundAcrossReads(t *testing.T) {
	for head, whole := range map[string]bool{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n": true, "GET / HTTP/1.1\n\n": true, "GET / HTTP/1.1\nHost: a\n\r\n": true, "\r\nGET / HTTP/1.1\r\n\r\nbody": true,
		"GET / HTTP/1.1\r\nHost: a\r\n": false, "GET / HTTP/1.1\r\n\r": false, "\r\n\r\n": false, "GET / HTTP/1.1\n\rHost: a\r\n": false,
	} {
		for cut := range len(head) {
			var scan headScan
			scan.write([]byte(head[:cut]))
			require.Equal(t, whole, scan.write([]byte(head[cut:])), "%q cut at %d", head, cut)
		}
	}
}

// Rejected heads have a bound of their own: beyond it connections are closed as before.
func TestRejectionsWithoutMemoryAreBounded(t *testing.T) {
	b := fullBudget(t)
	exhaust(t, b)
	line := fmt.Sprintf("X-A: %s\r\n", strings.Repeat("x", 4000))
	for range 10_000 {
		c, _ := newConn(t, b, "10.0.0.1", phaseHead, 0)
		if c == nil {
			continue
		}
		c.phase.Store(phaseArrived)
		_ = c.rejectHead(int64(headFactor*len(line)), true)
	}
	require.LessOrEqual(t, b.leaving.Load(), int64((leavingShare+rejectionShare)*float64(b.limits.bytes))+16<<10)
}
