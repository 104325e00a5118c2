// Package httpclient bounds what the responses to a process's own calls may cost it. A
// faulty peer may send a response without end.
package httpclient

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"
)

// Limits on responses, in bytes.
const (
	// MaxHeaderBytes limits the headers of a response. Parsing headers of many short lines
	// allocates some 25 times as much memory.
	MaxHeaderBytes = 16 << 10
	// MaxRelayedHeaderBytes limits the headers of a response that is passed on to a client.
	MaxRelayedHeaderBytes = 64 << 10
	// MaxPeerBodyBytes limits the bodies of responses between the system's own processes:
	// as much as their requests may hold.
	MaxPeerBodyBytes = 16 << 20
	// smallBodyBytes is how much of a body is read whatever other calls read.
	smallBodyBytes = 64 << 10
)

// ErrBodyTooLarge reports a response body above its limit.
var ErrBodyTooLarge = errors.New("response body exceeds the size limit")

// largeBody is held by the call of this process that reads more than smallBodyBytes from a
// backend server, until its response is closed.
var largeBody = make(chan struct{}, 1)

// Limits bound the responses to the calls of a transport.
type Limits struct {
	// MaxBodyBytes limits the decompressed body of a response.
	MaxBodyBytes int64
	// OneLargeBody makes calls whose bodies are large wait for each other. It bounds the
	// memory of all calls that run at the same time; their contexts must have a deadline.
	OneLargeBody bool
}

// Limits for the kinds of peers.
var (
	// PeerLimits apply to calls to the system's own processes.
	PeerLimits = Limits{MaxBodyBytes: MaxPeerBodyBytes}
	// ServerLimits apply to calls to backend servers and context stores.
	ServerLimits = Limits{MaxBodyBytes: 4 << 20, OneLargeBody: true}
)

// transport is a transport whose responses are bounded.
type transport struct {
	next   http.RoundTripper
	idle   *http.Transport
	limits Limits
}

// Bound returns t with limits on its responses, and with Whole. A response above a limit
// fails, and its connection is closed. t must not be in use yet.
func Bound(t *http.Transport, limits Limits) http.RoundTripper {
	t.MaxResponseHeaderBytes = MaxHeaderBytes
	return &transport{next: Whole(t), idle: t, limits: limits}
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if response.ContentLength > t.limits.MaxBodyBytes {
		return nil, eris.Wrapf(errors.Join(ErrBodyTooLarge, response.Body.Close()), "%d bytes from %s", response.ContentLength, r.URL.Host)
	}
	response.Body = &body{ReadCloser: response.Body, ctx: r.Context(), address: r.URL.Host, limits: t.limits}
	return response, nil
}

// CloseIdleConnections closes the idle connections, for http.Client.
func (t *transport) CloseIdleConnections() { t.idle.CloseIdleConnections() }

// body is a response body with limits.
type body struct {
	io.ReadCloser
	ctx     context.Context
	address string
	limits  Limits
	read    int64
	// release ends the turn among large bodies; nil before it has begun.
	release func()
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.limits.OneLargeBody && b.read >= smallBodyBytes && b.release == nil {
		if err := b.awaitTurn(); err != nil {
			return 0, err
		}
	}
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if b.read > b.limits.MaxBodyBytes {
		return 0, eris.Wrapf(ErrBodyTooLarge, "from %s", b.address)
	}
	return n, err
}

// awaitTurn waits until no other call reads a large body.
func (b *body) awaitTurn() error {
	select {
	case largeBody <- struct{}{}:
		b.release = sync.OnceFunc(func() { <-largeBody })
		return nil
	case <-b.ctx.Done():
		return eris.Wrapf(b.ctx.Err(), "wait to read a large response from %s", b.address)
	}
}

// Close implements io.Closer.
func (b *body) Close() error {
	if b.release != nil {
		b.release()
	}
	return b.ReadCloser.Close()
}
