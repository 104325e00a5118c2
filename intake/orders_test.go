package intake

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log"
	"math/rand"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// event is something that happens to a connection and its server.
type event string

// Events. Those of one chain keep their order.
const (
	// Of the client: the parts of its first request (the last one ends it), a second request behind
	// it, and the ends of its sending side and of its connection.
	sendStart, sendHead, sendBody event = "start", "head", "body"
	sendNext                      event = "next"
	endSending                    event = "FIN"
	resetConn                     event = "reset"
	// Of the first request's handler: the start of its response, and its end.
	writeStart, endHandler event = "write", "end"
	// Of the server: CloseIdle begins; its time ends and Shutdown begins.
	stopServer, stopEnds event = "stop", "stop ends"
	// The deadline of a head or of the idle time, if one is awaited.
	deadline event = "deadline"
	// The connection is told to give way if it may; the memory ends.
	giveWayNow, fillMemory event = "give way", "memory"
	// The goroutine that reads gets no processor, until it does.
	pauseReads, resumeReads event = "pause", "resume"
)

// variant is how the client and the handler behave in all orders of its chains.
type variant struct {
	name string
	// parts are what sendStart, sendHead and sendBody send.
	parts map[event]string
	// http10 is set if the connection ends behind the first response.
	http10, tls bool
	// early makes the handler respond without its body.
	early bool
	// heldBytes makes paused reads hold bytes that they have taken from the socket. Others find the bytes
	// only afterwards.
	heldBytes bool
	chains    [][]event
	// sample is how many orders are played, drawn by a fixed seed; 0 plays all.
	sample int
}

// gate lets goroutines through while it is open.
type gate struct {
	mu     sync.Mutex
	closed chan struct{} // nil while the gate is open
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed == nil {
		g.closed = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != nil {
		close(g.closed)
		g.closed = nil
	}
}

func (g *gate) pass() {
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()
	if closed != nil {
		<-closed
	}
}

// gatedConn is a connection whose reads pass a gate.
type gatedConn struct {
	*net.TCPConn
	gate  *gate
	after bool
}

func (c gatedConn) Read(p []byte) (int, error) {
	if !c.after {
		if raw, err := c.TCPConn.SyscallConn(); err == nil {
			_ = raw.Read(func(fd uintptr) bool { // fails like the read that follows
				_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
				return !errors.Is(err, unix.EAGAIN)
			})
		}
		c.gate.pass()
		return c.TCPConn.Read(p)
	}
	n, err := c.TCPConn.Read(p)
	c.gate.pass()
	return n, err
}

type gatedListener struct {
	net.Listener
	gate  *gate
	after bool
}

func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	_ = c.(*net.TCPConn).SetWriteBuffer(1 << 20) // a whole response
	return gatedConn{c.(*net.TCPConn), l.gate, l.after}, nil
}

// recordingListener tells which connections it has accepted.
type recordingListener struct {
	net.Listener
	accepted chan *Conn
}

func (l recordingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- c.(*Conn)
	}
	return c, err
}

// play is one order of events on one connection.
type play struct {
	variant *variant
	budget  *Budget
	server  *http.Server
	conn    *Conn
	raw     *net.TCPConn
	client  net.Conn
	gate    gate
	closed  atomic.Int64

	handled, ended atomic.Int64
	// canceled is set if the first handler was told that its client has left.
	canceled atomic.Bool
	// nextSent is set before the second request is sent, and buffered if net/http has taken it from the socket
	// before the first handler ends.
	nextSent, buffered atomic.Bool
	write, end         chan struct{}
	stopEnd            context.CancelFunc
	stopped            chan error
	bodyBytes          int
	done               map[event]bool
	must               [2]bool
	sent               [2]bool
	responses          []*http.Response
	bodies             []int
	readErr            error
	ctx                context.Context
	writeErrors        bool
}

const nextRequest = "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n"

// serveHTTP responds to the first request at its events, and to others at once.
func (p *play) serveHTTP(w http.ResponseWriter, r *http.Request) {
	p.handled.Add(1)
	defer p.ended.Add(1)
	w.Header().Set("X-Path", r.URL.Path)
	if !p.variant.early {
		if _, err := Read(r, r.Body, -1); err != nil {
			http.Error(w, err.Error(), RefusalStatus(err))
			return
		}
	}
	half := strings.Repeat("x", p.bodyBytes/2)
	w.Header().Set("Content-Length", strconv.Itoa(2*len(half)))
	if r.URL.Path != "/1" {
		_, _ = io.WriteString(w, half+half)
		return
	}
	for _, step := range []chan struct{}{p.write, p.end} {
		select {
		case <-step:
		case <-r.Context().Done():
			p.canceled.Store(true)
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, half)
		_ = http.NewResponseController(w).Flush()
	}
	p.buffered.Store(p.nextSent.Load() && p.conn.unreadBytes() == 0)
}

// begunToClose reports whether the process has begun to close the connection.
func (p *play) begunToClose() bool {
	p.conn.idleEnd.mu.Lock()
	defer p.conn.idleEnd.mu.Unlock()
	return p.conn.closed.Load() || p.conn.idleEnd.ended || p.conn.phase.Load() == phaseGaveWay
}

// send sends bytes, the last of which end a request if its number is not negative.
func (p *play) send(text string, request int) {
	if p.writeErrors {
		return
	}
	begun := p.begunToClose()
	if _, err := io.WriteString(p.client, text); err != nil {
		p.writeErrors = true
		return
	}
	if request >= 0 {
		p.sent[request] = true
		p.must[request] = !begun && !p.begunToClose()
	}
}

// do makes an event happen.
func (p *play) do(e event) {
	p.done[e] = true
	switch e {
	case sendStart, sendHead, sendBody:
		request := -1
		if _, more := p.variant.parts[sendBody]; e == sendBody || e == sendHead && !more {
			request = 0
		}
		p.send(p.variant.parts[e], request)
	case sendNext:
		p.nextSent.Store(true)
		p.send(nextRequest, 1)
	case endSending:
		_ = p.client.(interface{ CloseWrite() error }).CloseWrite() // fails if the connection is closed
	case resetConn:
		_ = p.raw.SetLinger(0)
		_ = p.raw.Close()
	case writeStart:
		close(p.write)
	case endHandler:
		close(p.end)
	case stopServer:
		ctx, cancel := context.WithCancel(context.Background())
		p.stopEnd = cancel
		go func() { p.stopped <- p.budget.CloseIdle(ctx, "clients") }()
	case stopEnds:
		p.stopEnd()
		<-p.stopped
		go func() { p.stopped <- p.server.Shutdown(p.ctx) }()
	case deadline:
		if p.conn.phase.Load() <= phaseArrived {
			_ = p.conn.Conn.SetReadDeadline(time.Unix(1, 0)) // fails if the connection is closed
		}
	case giveWayNow:
		p.budget.mu.Lock()
		p.budget.replace("clients", "127.0.0.1", time.Now().Add(time.Minute))
		p.budget.mu.Unlock()
	case fillMemory:
		p.budget.add(Bodies, p.budget.limits.bytes)
	case pauseReads:
		p.gate.close()
	case resumeReads:
		p.gate.open()
	}
	p.settle()
}

// settle waits until an event has had its effects, as far as is seen. Its order with the next one does not
// matter for what is checked.
func (p *play) settle() {
	snapshot := func() [8]int64 {
		c := p.conn
		return [8]int64{int64(c.phase.Load()), int64(c.reading.Load()), int64(c.unreadBytes()), c.unhandled.bytes.Load(), c.unhandled.readAt.Load(),
			p.handled.Load(), p.ended.Load(), p.closed.Load()}
	}
	last := snapshot()
	for same, polls := 0, 0; same < 3 && polls < 50; polls++ {
		time.Sleep(300 * time.Microsecond)
		next := snapshot()
		if same++; next != last {
			same = 0
		}
		last = next
	}
}

// receive reads responses until the connection ends.
func (p *play) receive() {
	for reader := bufio.NewReader(p.client); ; {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			p.readErr = err
			return
		}
		if response.StatusCode == http.StatusContinue {
			continue
		}
		n, err := io.Copy(io.Discard, response.Body)
		if err != nil {
			p.readErr = fmt.Errorf("response %d cut after %d bytes: %w", len(p.responses), n, err)
			return
		}
		p.responses, p.bodies = append(p.responses, response), append(p.bodies, int(n))
	}
}

// run plays an order and returns what is wrong.
func (v *variant) run(order []event) (violations []string) {
	fail := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	hash := fnv.New32()
	_, _ = fmt.Fprint(hash, v.name, order)
	late := hash.Sum32()%2 == 0
	p := &play{variant: v, write: make(chan struct{}), end: make(chan struct{}), stopped: make(chan error, 2), done: make(map[event]bool), bodyBytes: 2}
	if late {
		p.bodyBytes = 300 << 10 // more than the client's window
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	p.ctx = ctx
	p.budget = testBudget(limits{bytes: 8 << 20, total: 100, listener: 100, address: 100})
	below, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return []string{err.Error()}
	}
	p.server = &http.Server{Handler: http.HandlerFunc(p.serveHTTP), ConnState: func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			p.closed.Add(1)
		}
	}, ReadHeaderTimeout: 9 * time.Second, IdleTimeout: 9 * time.Second, ErrorLog: log.New(io.Discard, "", 0)}
	accepted := make(chan *Conn, 1)
	var l net.Listener = recordingListener{p.budget.Protect(p.server, gatedListener{below, &p.gate, v.heldBytes}, "clients"), accepted}
	if v.tls {
		l = tls.NewListener(l, &tls.Config{Certificates: []tls.Certificate{testCertificate()}})
	}
	go func() { _ = p.server.Serve(l) }()
	defer p.server.Close()
	p.client, err = windowDialer.Dial("tcp4", below.Addr().String())
	if err != nil {
		return []string{err.Error()}
	}
	p.raw = p.client.(*net.TCPConn)
	defer p.raw.Close()
	_ = p.raw.SetDeadline(time.Now().Add(5 * time.Second))
	p.conn = <-accepted
	if v.tls {
		secure := tls.Client(p.client, &tls.Config{InsecureSkipVerify: true})
		if err := secure.Handshake(); err != nil {
			return []string{err.Error()}
		}
		p.client = secure
	}
	p.settle()

	received := make(chan struct{})
	receive := func() { defer close(received); p.receive() }
	if !late {
		go receive()
	}
	for _, e := range order {
		p.do(e)
	}
	if p.done[pauseReads] {
		p.gate.open()
	}
	for _, e := range []event{writeStart, endHandler} {
		if !p.done[e] {
			p.do(e)
		}
	}
	if late {
		go receive()
	}
	if !p.done[stopServer] {
		p.do(stopServer)
	}
	if !p.done[stopEnds] {
		p.do(stopEnds)
	}
	<-received
	_ = p.raw.Close()
	if err := <-p.stopped; err != nil {
		fail("the server does not end: %v", err)
	}
	ends := time.Now().Add(5 * time.Second)
	for p.closed.Load() != 1 || p.handled.Load() != p.ended.Load() || p.left() != "" {
		if time.Now().After(ends) {
			fail("%d connections closed, %d of %d handlers ended, %s", p.closed.Load(), p.ended.Load(), p.handled.Load(), p.left())
			break
		}
		time.Sleep(time.Millisecond)
	}
	v.check(p, fail) // once the connection is in its last phase
	return violations
}

// left tells what the budget still counts.
func (p *play) left() string {
	b := p.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	held, leaving := b.held.Load(), b.leaving.Load()
	if p.done[fillMemory] {
		held -= b.limits.bytes
	}
	if len(b.open) == 0 && held == 0 && leaving == 0 && b.byKind[Heads].Load() == 0 {
		return ""
	}
	return fmt.Sprintf("left: %d open, %d held, %d leaving", len(b.open), held, leaving)
}

// check compares what the client has received with what it has sent.
func (v *variant) check(p *play, fail func(string, ...any)) {
	if p.done[resetConn] {
		return
	}
	// By design:
	// a peer that ends its sending side after its response has begun, or over TLS, counts as one that has left;
	left := p.done[endSending] && p.canceled.Load()
	// over TLS the connection cannot reject a request that no handler has seen.
	needsHandler := v.tls
	if errors.Is(p.readErr, os.ErrDeadlineExceeded) {
		fail("the connection does not end")
	}
	sent := 0
	for _, ok := range p.sent {
		if ok {
			sent++
		}
	}
	behindClose := false
	for i, response := range p.responses {
		if behindClose {
			fail("response %d behind one that ends the connection", i+1)
		}
		behindClose = response.Close || v.http10
		switch path := response.Header.Get("X-Path"); {
		case response.StatusCode == http.StatusOK:
			if path != fmt.Sprintf("/%d", i+1) || p.bodies[i] != p.bodyBytes {
				fail("response %d is to %q, with %d bytes", i+1, path, p.bodies[i])
			}
		case response.StatusCode == http.StatusServiceUnavailable:
			if !response.Close {
				fail("rejection %d does not end the connection", i+1)
			}
		case i < len(p.must) && p.must[i]:
			fail("whole request %d gets %d", i+1, response.StatusCode)
		}
	}
	if len(p.responses) > max(1, sent) {
		fail("%d responses to %d requests", len(p.responses), sent)
	}
	for i, must := range p.must {
		if !must || i < len(p.responses) || left {
			continue
		}
		// By design a request behind a response that ends the connection is dropped. One in the buffer of net/http as
		// the server stops is lost by a known fault: see TestPipelinedRequestInBufferIsAnsweredAsServerStops.
		if i > 0 && (i > len(p.responses) || behindClose || p.buffered.Load()) {
			continue
		}
		// A close between net/http's state and its hook loses what lies in the socket, by a known fault: see
		// TestRequestIsAnsweredIfShutdownClosesBeforeHook. No other close leaves this phase.
		if i > 0 && p.conn.phase.Load() == phaseArrived {
			continue
		}
		if needsHandler && p.handled.Load() <= int64(i) {
			continue
		}
		fail("request %d gets no response: %v", i+1, p.readErr)
	}
	if strings.Contains(fmt.Sprint(p.readErr), "response") && len(p.responses) < sent && !left {
		fail("%v", p.readErr)
	}
}

// orders returns all merges of chains, each of which keeps its order.
func orders(chains [][]event) (all [][]event) {
	var merge func(prefix []event, rest [][]event)
	merge = func(prefix []event, rest [][]event) {
		ends := true
		for i, chain := range rest {
			if len(chain) == 0 {
				continue
			}
			ends = false
			next := append([][]event(nil), rest...)
			next[i] = chain[1:]
			merge(append(prefix[:len(prefix):len(prefix)], chain[0]), next)
		}
		if ends {
			all = append(all, prefix)
		}
	}
	merge(nil, chains)
	return all
}

// A request whose last byte was sent before its process began to close the connection gets one whole response or
// one rejection, in each order of what happens to it, and the connection ends.
func TestOrdersOfEventsAtConnection(t *testing.T) {
	get := map[event]string{sendStart: "GET /1 HTTP/1.1\r\nHo", sendHead: "st: a\r\n\r\n"}
	post := map[event]string{sendStart: "POST /1 HTTP/1.1\r\nHost: a\r\n", sendHead: "Content-Length: 4\r\n\r\nbo", sendBody: "dy"}
	expect := map[event]string{sendStart: "POST /1 HTTP/1.1\r\nHost: a\r\n", sendHead: "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n", sendBody: "body"}
	chunked := map[event]string{sendStart: "POST /1 HTTP/1.1\r\nHost: a\r\n", sendHead: "Transfer-Encoding: chunked\r\n\r\n4\r\nbo", sendBody: "dy\r\n0\r\n\r\n"}
	old := map[event]string{sendStart: "POST /1 HTTP/1.0\r\n", sendHead: "Content-Length: 4\r\n\r\nbo", sendBody: "dy"}
	getChain, postChain := []event{sendStart, sendHead, sendNext}, []event{sendStart, sendHead, sendBody, sendNext}
	handler, stop, pause := []event{writeStart, endHandler}, []event{stopServer, stopEnds}, []event{pauseReads, resumeReads}
	fin := func(chain []event) []event { return append(chain[:len(chain):len(chain)], endSending) }
	reset := func(chain []event) []event { return append(chain[:len(chain):len(chain)], resetConn) }
	variants := []variant{
		{name: "stop", parts: get, chains: [][]event{fin(getChain), handler, stop}},
		{name: "deadline", parts: get, chains: [][]event{fin(getChain), handler, {deadline}}},
		{name: "give way", parts: post, chains: [][]event{fin(postChain), handler, {giveWayNow}}},
		{name: "memory", parts: post, chains: [][]event{fin(postChain), handler, {fillMemory}}},
		{name: "reset", parts: get, chains: [][]event{reset(getChain), handler, stop}, sample: 60},
		{name: "stop, body", parts: post, chains: [][]event{postChain, handler, stop}, sample: 60},
		{name: "stop, chunks", parts: chunked, chains: [][]event{postChain, handler, stop}, sample: 60},
		{name: "stop, Expect", parts: expect, chains: [][]event{fin(postChain), handler, stop}, sample: 60},
		{name: "stop, Expect, early", parts: expect, early: true, chains: [][]event{fin(postChain), handler, stop}, sample: 60},
		{name: "stop, HTTP/1.0", parts: old, http10: true, chains: [][]event{fin(postChain), handler, stop}, sample: 60},
		{name: "stop, TLS", parts: post, tls: true, chains: [][]event{fin(postChain), handler, stop}, sample: 60},
		{name: "stop, bytes wait", parts: get, chains: [][]event{getChain, {endHandler}, stop, pause}, sample: 60},
		{name: "stop, bytes held", parts: get, heldBytes: true, chains: [][]event{getChain, {endHandler}, stop, pause}, sample: 60},
		{name: "deadline, bytes wait", parts: get, chains: [][]event{getChain, {endHandler}, {deadline}, pause}, sample: 60},
		{name: "give way, bytes wait", parts: get, chains: [][]event{getChain, {endHandler}, {giveWayNow}, pause}, sample: 60},
		{name: "give way, bytes held", parts: get, heldBytes: true, chains: [][]event{getChain, {endHandler}, {giveWayNow}, pause}, sample: 60},
		{name: "deadline, give way, stop", parts: post, chains: [][]event{fin(postChain), handler, stop, {deadline}, {giveWayNow}}, sample: 60},
	}
	for i := range variants {
		v := &variants[i]
		t.Run(v.name, func(t *testing.T) {
			all := orders(v.chains)
			if v.sample > 0 {
				rand.New(rand.NewSource(1)).Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
				all = all[:min(v.sample, len(all))]
			}
			const workers = 4
			next := atomic.Int64{}
			var group sync.WaitGroup
			for range workers {
				group.Go(func() {
					for n := next.Add(1) - 1; n < int64(len(all)); n = next.Add(1) - 1 {
						for _, violation := range v.run(all[n]) {
							t.Errorf("%v: %s", all[n], violation)
						}
					}
				})
			}
			group.Wait()
			require.NotEmpty(t, all)
		})
	}
}
