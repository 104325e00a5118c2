package intake

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// interimResponse asks a peer that has ended its sending side whether it still waits. Some clients skip no
// interim response but this one.
const interimResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// statusLineStart begins every response. A client of HTTP/1.0, which has no interim responses, is asked by
// it, and the response leaves it out.
var statusLineStart = []byte("HTTP/1.")

// interimPrefix begins every interim response of HTTP/1.1, but no final one.
var interimPrefix = []byte("HTTP/1.1 1")

// backgroundReadSize is the size of the reads by which net/http detects that a client leaves while
// its handler runs. Heads and bodies are read through larger buffers.
const backgroundReadSize = 1

// interimState says whether an interim response may be sent for the present request.
type interimState int

const (
	// interimUnknown: the handler has not been called yet.
	interimUnknown interimState = iota
	interimAllowed
	// interimStatusLine: the protocol has no interim responses.
	interimStatusLine
	// interimForbidden: the response has begun, or bytes can't be added to it.
	interimForbidden
)

// halfClose decides whether a peer that has ended its sending side after a whole request has left.
//
// A peer that closes its socket sends the same FIN as one that waits for its response. Only a closed
// socket replies to further data with a reset, so that an interim response, or the start of the
// response, tells them apart. Once the response itself has begun, the handler may add data to it; otherwise the FIN counts as the
// peer's leaving.
type halfClose struct {
	mu      sync.Mutex
	changed sync.Cond
	state   interimState
	// readAborted is set while the read deadline lies in the past, by which net/http ends a read.
	readAborted bool
	// statusLineBegun is set if the response lacks statusLineStart.
	statusLineBegun bool

	probeMu sync.Mutex
	// probe adds data without a meaning to the response, and reports whether it could; nil for none.
	// probeMu is held while it runs.
	probe func() bool
}

// OnHalfClose sets how to add data without a meaning to the response of the present request once it
// has begun. The returned function, which waits for a probe in progress, must be called before the
// handler ends.
func (c *Conn) OnHalfClose(probe func() bool) (remove func()) {
	if c == nil {
		return func() {}
	}
	c.halfClose.setProbe(probe)
	return func() { c.halfClose.setProbe(nil) }
}

func (h *halfClose) setProbe(probe func() bool) {
	h.probeMu.Lock()
	defer h.probeMu.Unlock()
	h.probe = probe
}

// probeResponse adds data to the response that has begun, and reports whether it could.
func (h *halfClose) probeResponse() bool {
	h.probeMu.Lock()
	defer h.probeMu.Unlock()
	return h.probe != nil && h.probe()
}

// halfCloseCounts counts the peers that ended their sending side before their response, and those
// of them that had left.
type halfCloseCounts struct{ asked, left atomic.Uint64 }

// set changes the state and wakes a read that waits for it.
func (h *halfClose) set(state interimState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state = state
	h.changed.Broadcast()
}

// setReadAborted records whether reads are to end.
func (h *halfClose) setReadAborted(aborted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.readAborted = aborted
	h.changed.Broadcast()
}

// beginRequest is called when the handler of a request starts.
func (h *halfClose) beginRequest(r *http.Request) {
	state := interimAllowed
	switch {
	case r.TLS != nil: // what is written below net/http is not encrypted
		state = interimForbidden
	case !r.ProtoAtLeast(1, 1):
		state = interimStatusLine
	}
	h.set(state)
}

// noteWrite is called before bytes are written to the peer, and returns those that it lacks.
func (h *halfClose) noteWrite(p []byte) []byte {
	if bytes.HasPrefix(p, interimPrefix) {
		return p
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state = interimForbidden
	h.changed.Broadcast()
	if !h.statusLineBegun {
		return p
	}
	h.statusLineBegun = false
	return bytes.TrimPrefix(p, statusLineStart)
}

// ask sends data that only a closed socket replies to. It returns an error if the peer counts as one
// that has left, or if the read is aborted.
func (h *halfClose) ask(c net.Conn) error {
	sent, err := h.sendInterim(c)
	if err == nil && !sent && !h.probeResponse() {
		return io.EOF
	}
	return err
}

// sendInterim sends an interim response or the start of the response, and reports whether it may.
func (h *halfClose) sendInterim(c net.Conn) (sent bool, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for h.state == interimUnknown && !h.readAborted {
		h.changed.Wait()
	}
	if h.readAborted {
		return false, os.ErrDeadlineExceeded
	}
	switch h.state {
	case interimForbidden:
		return false, nil
	case interimStatusLine:
		h.statusLineBegun = true
		_, err = c.Write(statusLineStart)
	default:
		_, err = io.WriteString(c, interimResponse)
	}
	return true, err
}

// awaitLeave returns once the peer, which has ended its sending side, has left or the read is
// aborted.
func (c *Conn) awaitLeave() error {
	below, ok := c.Conn.(syscall.Conn)
	if !ok {
		return io.EOF
	}
	raw, err := below.SyscallConn()
	if err != nil {
		return err
	}
	if err := c.halfClose.ask(c.Conn); err != nil {
		return err
	}
	counts := &c.listener.budget.halfCloses
	counts.asked.Add(1)
	// Not a read: after the FIN it returns the end of the stream, also once the peer has sent a reset.
	if err := raw.Read(hasSocketError); err != nil {
		return err
	}
	counts.left.Add(1)
	return syscall.ECONNRESET
}

// hasSocketError reports whether a socket has failed.
func hasSocketError(fd uintptr) bool {
	code, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
	return err != nil || code != 0
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if c.phase.Load() == phaseGaveWay && c.wasRejectedLate() {
		return 0, net.ErrClosed
	}
	missing := c.halfClose.noteWrite(p)
	c.unhandled.responded.Store(true)
	n, err := c.Conn.Write(missing)
	return n + len(p) - len(missing), err
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	err := c.Conn.SetReadDeadline(c.extend(t, now))
	c.halfClose.setReadAborted(!t.IsZero() && !t.After(now))
	return err
}
