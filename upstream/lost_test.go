package upstream

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests for an incarnation of a server that has ended and started again under its
// ID: its closed connections must show, also if none of them is used.
func TestServerThatClosedAllConnectionsShows(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	var accepted []net.Conn
	accept := func() net.Conn {
		c, err := listener.Accept()
		require.NoError(t, err)
		accepted = append(accepted, c)
		return c
	}
	p := NewPool(listener.Addr().String(), 0)
	defer p.Close()
	require.Zero(t, p.LostAt(), "a pool without connections says nothing")
	for range 2 {
		require.NoError(t, p.Prepare(context.Background()))
		accept()
	}
	require.Zero(t, p.LostAt())
	require.NoError(t, accepted[1].Close())
	time.Sleep(20 * time.Millisecond)
	require.Zero(t, p.LostAt(), "the other connection is open")
	require.NoError(t, accepted[0].Close())
	require.Eventually(t, func() bool { return !p.LostAt().IsZero() }, time.Second, time.Millisecond)
	lostAt := p.LostAt()
	require.Zero(t, p.open)

	require.NoError(t, p.Prepare(context.Background()))
	idle := accept()
	done := make(chan error, 1)
	go func() {
		_, err := p.Send(context.Background(), &Request{Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{}})
		done <- err
	}()
	require.Eventually(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.idle) == 0 && p.open == 1
	}, time.Second, time.Millisecond)
	require.Equal(t, lostAt, p.LostAt(), "a connection is in use")
	require.NoError(t, idle.Close())
	require.Error(t, <-done)

	// A connection that is found closed when it would be used counts as well.
	require.NoError(t, p.Prepare(context.Background()))
	require.NoError(t, accept().Close())
	require.Eventually(t, func() bool {
		c := p.takeIdle(false)
		if c != nil {
			p.putIdle(c)
		}
		return c == nil
	}, time.Second, time.Millisecond)
	require.True(t, p.LostAt().After(lostAt))
}
