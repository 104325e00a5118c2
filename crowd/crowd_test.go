package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/api/fleetv1"
)

// The crowd and the bounds.
const (
	// memoryMB is the memory of each process's machine, which it must not exceed.
	memoryMB = 80
	// maxBodyBytes is the limit of a body in the document, routeTimeout that of a request.
	maxBodyBytes = 1 << 20
	routeTimeout = 10 * time.Second
	// connections is the size of the crowd.
	connections = 160
	// maxDescriptors leaves each client of the crowd its connection and one to a server.
	maxDescriptors = 2*connections + 100
	// settleTime is how long the crowd may take to send what it has; what is not accepted by then
	// stays unsent. The process then has maxSettleTime until its memory no longer grows for quietTime.
	settleTime    = 700 * time.Millisecond
	quietTime     = 200 * time.Millisecond
	maxSettleTime = 5 * time.Second
)

const (
	oneByteChunks = 400 << 10
	largeChunk    = 256 << 10
)

// kind is what each client of a crowd sends. send returns when all is sent or the connection
// breaks, which it may.
type kind struct {
	name string
	send func(c io.Writer, to target)
}

// target is a request that a listener reads whole.
type target struct{ method, path, fields string }

// head returns the beginning of a request that a client could send.
func (t target) head(version, fields string) string {
	return fmt.Sprintf("%s %s HTTP/%s\r\nHost: a.example\r\nX-Request-Id: r-1\r\nX-Deadline-Ms: %d\r\n%s%s", t.method, t.path, version, routeTimeout.Milliseconds(), t.fields, fields)
}

// repeat sends a text until at least total bytes are sent or the connection breaks.
func repeat(c io.Writer, text string, total int) {
	block := []byte(strings.Repeat(text, max(1, (64<<10)/len(text))))
	for sent := 0; sent < total; {
		n, err := c.Write(block)
		if err != nil {
			return
		}
		sent += n
	}
}

// body sends a head and then a repeated text of at least total bytes.
func body(c io.Writer, head, text string, total int) {
	if _, err := io.WriteString(c, head+"\r\n"); err == nil {
		repeat(c, text, total)
	}
}

const chunked = "Transfer-Encoding: chunked\r\n"

func announced(length int) string { return fmt.Sprintf("Content-Length: %d\r\n", length) }

// inOneByteChunks is a body in chunks of one byte, each with an extension, that does not end.
func inOneByteChunks(extension string) (text string, total int) {
	text = "1" + extension + "\r\nx\r\n"
	return text, oneByteChunks * len(text)
}

// inLargeChunks is a body just under the limit that does not end.
func inLargeChunks() (text string, total int) {
	text = fmt.Sprintf("%x\r\n%s\r\n", largeChunk, strings.Repeat("x", largeChunk))
	return text, 3 * len(text)
}

// shortLines returns header lines of different names, which take many times their size in a map.
var shortLines = sync.OnceValue(func() []byte {
	var lines bytes.Buffer
	for i := 0; lines.Len() < 1<<20; i++ {
		fmt.Fprintf(&lines, "a%x:\r\n", i)
	}
	return lines.Bytes()
})

var kinds = []kind{
	{"head in one line", func(c io.Writer, to target) {
		_, _ = io.WriteString(c, to.head("1.1", "X-Long: "))
		repeat(c, "x", 1<<20)
	}},
	{"head in many lines", func(c io.Writer, to target) {
		_, _ = io.WriteString(c, to.head("1.1", "")) // what follows shows a broken connection
		_, _ = c.Write(shortLines())
	}},
	{"many lines just short of the end", func(c io.Writer, to target) {
		h := []byte(to.head("1.1", ""))
		_, _ = c.Write(append(h, shortLines()[:60<<10-len(h)]...))
	}},
	{"empty lines", func(c io.Writer, _ target) { repeat(c, "\r\n", 4<<20) }},
	{"one-byte chunks", func(c io.Writer, to target) {
		text, total := inOneByteChunks("")
		body(c, to.head("1.1", chunked), text, total)
	}},
	{"large chunks", func(c io.Writer, to target) {
		text, total := inLargeChunks()
		body(c, to.head("1.1", chunked), text, total)
	}},
	{"announced far over the limit", func(c io.Writer, to target) {
		body(c, to.head("1.1", announced(1<<40)), "x", 2*maxBodyBytes)
	}},
	{"sent far over the limit", func(c io.Writer, to target) {
		text, _ := inLargeChunks()
		body(c, to.head("1.1", chunked), text, 8*maxBodyBytes)
	}},
	{"announced, stops short", func(c io.Writer, to target) {
		body(c, to.head("1.1", announced(maxBodyBytes)), "x", maxBodyBytes-(64<<10))
	}},
}

var variations = []kind{
	{"chunk extensions", func(c io.Writer, to target) {
		text, total := inOneByteChunks(";a=b")
		body(c, to.head("1.1", chunked), text, total)
	}},
	{"trailers without end", func(c io.Writer, to target) {
		if _, err := io.WriteString(c, to.head("1.1", chunked+"Trailer: X-End\r\n")+"\r\n1\r\nx\r\n0\r\n"); err == nil {
			repeat(c, "X-End: x\r\n", 1<<20)
		}
	}},
	{"expects 100", func(c io.Writer, to target) {
		body(c, to.head("1.1", announced(maxBodyBytes)+"Expect: 100-continue\r\n"), "x", maxBodyBytes-(64<<10))
	}},
	{"pipelined", func(c io.Writer, to target) {
		small := to.head("1.1", announced(1)) + "\r\nx"
		_, _ = io.WriteString(c, strings.Repeat(small, 20))
		body(c, to.head("1.1", announced(maxBodyBytes)), "x", maxBodyBytes-(64<<10))
	}},
	{"HTTP 1.0", func(c io.Writer, to target) {
		body(c, to.head("1.0", announced(maxBodyBytes)), "x", maxBodyBytes-(64<<10))
	}},
	{"body for a GET", func(c io.Writer, to target) {
		to.method = "GET"
		body(c, to.head("1.1", announced(maxBodyBytes)), "x", maxBodyBytes-(64<<10))
	}},
}

// listener is one of the addresses of a process.
type listener struct {
	name    string
	process *process
	address string
	// target is what the crowd requests, ordinary the path of one ordinary request.
	target   target
	ordinary string
}

func (s *system) listeners() []listener {
	const rpc = "Content-Type: application/protobuf\r\n"
	get := func(path string) target { return target{"GET", path, ""} }
	return []listener{
		{"clients", s.gateway, s.clients, target{"POST", "/look/x", ""}, "/look/x"},
		{"readiness", s.gateway, s.readiness, get("/ready"), "/ready"},
		{"peers", s.gateway, s.peers, target{"POST", fleetv1.EntriesPathPrefix + "Tell", rpc}, "/"},
		{"gateway metrics", s.gateway, s.gatewayMetrics, get("/metrics"), "/metrics"},
		{"control RPC", s.control, s.controlRPC, target{"POST", controlv1.ControlPathPrefix + "GetStatus", rpc}, "/"},
		{"operators", s.control, s.surface, target{"PUT", "/config", ""}, "/config"},
		{"servers", s.control, s.surface, target{"PUT", "/instances/i-9", ""}, "/config"},
		{"directory", s.control, s.directory, get("/resolve"), "/resolve"},
		{"control metrics", s.control, s.controlMetrics, get("/metrics"), "/metrics"},
	}
}

// crowd is a number of clients whose connections stay open.
type crowd struct {
	connections []net.Conn
	writers     sync.WaitGroup
}

// gather connects clients to a listener, each of which sends one of the kinds, and waits until all
// have sent what they have or settleTime has passed.
func gather(l listener, kinds ...kind) *crowd {
	g := &crowd{}
	for i := range connections {
		c, err := dial(l.address)
		if err != nil {
			continue // refused
		}
		g.connections = append(g.connections, c)
		g.writers.Go(func() { kinds[i%len(kinds)].send(c, l.target) })
	}
	sent := make(chan struct{})
	go func() {
		g.writers.Wait()
		close(sent)
	}()
	select {
	case <-sent:
	case <-time.After(settleTime):
	}
	l.process.awaitQuiet()
	return g
}

// awaitQuiet waits until the memory of the process no longer grows.
func (p *process) awaitQuiet() {
	p.t.Helper()
	last, since := int64(0), time.Now()
	for end := time.Now().Add(maxSettleTime); p.alive() && time.Since(since) < quietTime && time.Now().Before(end); time.Sleep(pollInterval) {
		if peak := p.peakBytes(); peak > last {
			last, since = peak, time.Now()
		}
	}
}

// leave closes the connections.
func (g *crowd) leave() {
	for _, c := range g.connections {
		_ = c.Close()
	}
	g.writers.Wait()
}

// check requires that the process lives within its bounds and answers while the crowd stands.
func (s *system) check(t *testing.T, l listener, g *crowd) {
	t.Helper()
	descriptors := l.process.descriptors()
	served := s.serves("beside")
	answered := answers(t.Context(), l.address, l.ordinary)
	g.leave()
	require.True(t, l.process.alive(), "the process has ended\n%s", s.logs())
	peak := l.process.peakBytes()
	t.Logf("peak %d MB, %d descriptors", peak>>20, descriptors)
	if peak > memoryMB<<20 {
		t.Errorf("peak %d MB, its machine has %d", peak>>20, memoryMB)
		l.process.stop() // frees the memory for the tests that follow
	}
	require.LessOrEqual(t, descriptors, maxDescriptors)
	require.Eventually(t, func() bool { return !l.process.alive() || l.process.descriptors() <= maxDescriptors-connections }, answerTimeout, pollInterval, "descriptors after the crowd has left")
	require.True(t, served, "an ordinary request is served beside the crowd\n%s", s.logs())
	require.True(t, answered, "the listener answers beside the crowd\n%s", s.logs())
}

// face lets a crowd come to a listener and checks the process.
func (s *system) face(t *testing.T, l listener, kinds ...kind) {
	t.Helper()
	s.restart(s.control)
	s.restart(s.gateway)
	require.True(t, answers(t.Context(), l.address, l.ordinary), s.logs())
	l.process.resetPeak()
	s.check(t, l, gather(l, kinds...))
}

// TestCrowdAtEveryListener brings a crowd of each kind to each listener.
func TestCrowdAtEveryListener(t *testing.T) {
	s := startSystem(t)
	for _, l := range s.listeners() {
		t.Run(l.name, func(t *testing.T) {
			for _, k := range kinds {
				t.Run(k.name, func(t *testing.T) { s.face(t, l, k) })
			}
		})
	}
}

// TestCrowdVariations brings crowds that use further parts of the protocol to the clients' listener.
func TestCrowdVariations(t *testing.T) {
	s := startSystem(t)
	for _, k := range variations {
		t.Run(k.name, func(t *testing.T) { s.face(t, s.listeners()[0], k) })
	}
}

// TestMixedCrowd brings a crowd of all kinds at once to each listener.
func TestMixedCrowd(t *testing.T) {
	s := startSystem(t)
	for _, l := range s.listeners() {
		t.Run(l.name, func(t *testing.T) { s.face(t, l, append(append([]kind{}, kinds...), variations...)...) })
	}
}

// TestCrowdBesideDrain stops an entry instance while a crowd stands: it drains and exits, and
// another process answers at its address afterwards.
func TestCrowdBesideDrain(t *testing.T) {
	s := startSystem(t)
	l := s.listeners()[0]
	l.process.resetPeak()
	g := gather(l, kinds...)
	peak := l.process.peakBytes()
	l.process.terminate()
	select {
	case <-l.process.exited:
	case <-time.After(answerTimeout):
		t.Errorf("the process does not exit\n%s", s.logs())
		l.process.stop()
	}
	g.leave()
	require.LessOrEqual(t, peak, int64(memoryMB)<<20, "peak resident memory in bytes")
	s.restart(l.process)
	require.True(t, s.serves("afterwards"))
}
