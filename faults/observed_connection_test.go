package faults

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Parameters of clients that read slowly.
const (
	// slowReadBytes are read at a time, with slowReadPause before.
	slowReadBytes = 4096
	slowReadPause = 40 * time.Millisecond
	// slowFillerBytes are added to each event or body.
	slowFillerBytes = 8192
)

// clientBehavior is how a client sends a request and reads its response.
type clientBehavior struct {
	http10, expectContinue, halfClose bool
	// patient is set for a client that waits for an event until its time is over.
	patient bool
	// fillerBytes are added to each event of the response, or to its body.
	fillerBytes int
}

func (b clientBehavior) minorVersion() int {
	if b.http10 {
		return 0
	}
	return 1
}

func (b clientBehavior) writeHeader(head *strings.Builder) {
	if b.http10 {
		head.WriteString("Connection: keep-alive\r\n")
	}
	if b.expectContinue {
		head.WriteString("Expect: 100-continue\r\n")
	}
}

// filler returns what the server adds to each event or to the body.
func (r *clientRequest) filler() string {
	if r.behavior.fillerBytes == 0 {
		return ""
	}
	return " " + strings.Repeat("f", r.behavior.fillerBytes)
}

// awaitContinue reports whether the gateway asks for the body instead of sending the final
// response.
func (c *connection) awaitContinue(timeout time.Duration) (asked bool, err error) {
	const interim = "HTTP/1.1 100"
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return false, err
	}
	start, err := c.reader.Peek(len(interim))
	if err != nil || string(start) != interim {
		return false, err
	}
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil || strings.TrimSpace(line) == "" {
			return err == nil, err
		}
	}
}

// observedConn records who ends a connection, and when.
type observedConn struct {
	*net.TCPConn
	slow     bool
	openedAt time.Time

	mu             sync.Mutex
	sent, received int
	requests       int
	// inRequest is set from the first byte of a request until its response is complete.
	inRequest bool
	// begunAt is the begin of the last request.
	begunAt, lastUsedAt time.Time
	// endedBy is empty while the connection is open.
	endedBy string
	endedAt time.Time
}

// dialObserved opens a connection to a gateway.
func dialObserved(ctx context.Context, address string, slow bool) (*connection, *observedConn, error) {
	c, err := (&net.Dialer{Timeout: clientDialTimeout}).DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, nil, err
	}
	tcp := c.(*net.TCPConn)
	if slow {
		_ = tcp.SetReadBuffer(slowReadBytes) // the kernel may use another size
	}
	now := time.Now()
	o := &observedConn{TCPConn: tcp, slow: slow, openedAt: now, lastUsedAt: now}
	return newConnection(o), o, nil
}

// Read implements net.Conn.
func (o *observedConn) Read(p []byte) (int, error) {
	if o.slow {
		time.Sleep(time.Duration(rand.Int64N(int64(2 * slowReadPause))))
		p = p[:min(len(p), slowReadBytes)]
	}
	n, err := o.TCPConn.Read(p)
	o.note(0, n, err)
	return n, err
}

// Write implements net.Conn.
func (o *observedConn) Write(p []byte) (int, error) {
	n, err := o.TCPConn.Write(p)
	o.note(n, 0, err)
	return n, err
}

// Close implements net.Conn.
func (o *observedConn) Close() error {
	o.mu.Lock()
	o.end("client")
	o.mu.Unlock()
	return o.TCPConn.Close()
}

// note records bytes and the end of the connection.
func (o *observedConn) note(sent, received int, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent += sent
	o.received += received
	if sent+received > 0 {
		o.lastUsedAt = time.Now()
	}
	switch {
	case errors.Is(err, io.EOF):
		o.end("instance by FIN")
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		o.end("instance by reset")
	}
}

// end records who ended the connection, unless it has ended. The caller holds o.mu.
func (o *observedConn) end(by string) {
	if o.endedBy == "" {
		o.endedBy, o.endedAt = by, time.Now()
	}
}

// endedUnread reports whether the peer has ended the connection although nothing is read, and records it.
func (o *observedConn) endedUnread() (ended bool) {
	raw, err := o.SyscallConn()
	if err != nil {
		return true
	}
	var n int
	var peekErr error
	if err := raw.Control(func(fd uintptr) {
		n, _, peekErr = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); err != nil {
		return true
	}
	switch {
	case peekErr == nil && n == 0:
		o.note(0, 0, io.EOF)
	case peekErr != nil && !errors.Is(peekErr, syscall.EAGAIN):
		o.note(0, 0, peekErr)
	default:
		return false
	}
	return true
}

// begin and finish record the begin of a request and the end of its response.
func (o *observedConn) begin() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requests++
	o.inRequest, o.begunAt = true, time.Now()
}

func (o *observedConn) finish() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inRequest = false
}

// describe describes the connection at a time.
func (o *observedConn) describe(now time.Time) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	ended, by := now, o.endedBy
	if by == "" {
		by = "nobody yet"
	} else {
		ended = o.endedAt
	}
	return fmt.Sprintf("connection: ended by %s, age %v, idle %v, %d requests, %d bytes sent, %d received, in a request %t",
		by, ended.Sub(o.openedAt).Round(time.Millisecond), ended.Sub(o.lastUsedAt).Round(time.Millisecond), o.requests, o.sent, o.received, o.inRequest)
}
