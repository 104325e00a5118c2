package upstream

import (
	"context"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHeldConnectionIsNotTakenByOthers guards against a request that has a connection promised and
// finds all of them in use.
func TestHeldConnectionIsNotTakenByOthers(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	for _, prepared := range []bool{false, true} {
		p := NewPool(listener.Addr().String(), 2)
		require.True(t, p.Hold())
		require.True(t, p.Hold())
		require.False(t, p.Hold(), "both are held")
		if prepared {
			require.NoError(t, p.Prepare(context.Background()))
			require.NoError(t, p.Prepare(context.Background()))
		}
		_, _, err = p.take(context.Background(), &Request{})
		require.ErrorIs(t, err, ErrConnectionLimit)
		_, _, err = p.take(context.Background(), &Request{Held: true})
		require.NoError(t, err)
		_, _, err = p.take(context.Background(), &Request{})
		require.ErrorIs(t, err, ErrConnectionLimit, "one is held")
		p.Unhold()
		_, _, err = p.take(context.Background(), &Request{})
		require.NoError(t, err)
		require.False(t, p.Hold(), "both are in use")
		p.SetMax(1)
		require.False(t, p.Hold(), "more are in use than allowed now")
		p.SetMax(0)
		require.True(t, p.Hold(), "no limit")
	}
}

// Requests that are sent at the same time must not take a connection that is held for another one.
func TestHeldConnectionIsNotTakenByConcurrentRequests(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	for range 200 {
		p := NewPool(listener.Addr().String(), 2)
		require.True(t, p.Hold())
		begin := make(chan struct{})
		var requests sync.WaitGroup
		for range 4 {
			requests.Go(func() {
				<-begin
				_, _, _ = p.take(context.Background(), &Request{})
			})
		}
		close(begin)
		requests.Wait()
		c, _, err := p.take(context.Background(), &Request{Held: true})
		require.NoError(t, err, "one is held")
		require.NoError(t, c.Close())
		for c := range p.conns {
			_ = c.Close()
		}
	}
}
