package upstream

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// accepting returns the address of a listener, and the connections that it accepts.
func accepting(t *testing.T) (address string, accepted chan *net.TCPConn) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	accepted = make(chan *net.TCPConn, 16)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- c.(*net.TCPConn)
		}
	}()
	return listener.Addr().String(), accepted
}

// TestProbeSeesConnectionThatIsResetLater guards against a partition that accepts connections, resets
// them after a while and passes for a path.
func TestProbeSeesConnectionThatIsResetLater(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(t *testing.T, p *Pool, c *net.TCPConn) error{
		"reset": func(t *testing.T, _ *Pool, c *net.TCPConn) error {
			require.NoError(t, c.SetLinger(0))
			require.NoError(t, c.Close())
			return ErrClosedUnused
		},
		"reset, seen by a request": func(t *testing.T, p *Pool, c *net.TCPConn) error {
			require.NoError(t, c.SetLinger(0))
			require.NoError(t, c.Close())
			time.Sleep(10 * time.Millisecond)
			require.Nil(t, p.takeIdle(false))
			return ErrClosedUnused
		},
		"closed by the pool": func(t *testing.T, p *Pool, _ *net.TCPConn) error {
			p.Close()
			return ErrProbeCut
		},
		"in use": func(t *testing.T, p *Pool, _ *net.TCPConn) error {
			require.NotNil(t, p.takeIdle(false), "requests may use it")
			return nil
		},
		"idle": func(*testing.T, *Pool, *net.TCPConn) error { return nil },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, accepted := accepting(t)
			p := NewPool(address, 0)
			result := make(chan error, 1)
			go func() { result <- p.Probe(t.Context(), 10*probeHold) }()
			c := <-accepted
			require.Eventually(t, func() bool {
				p.mu.Lock()
				defer p.mu.Unlock()
				return len(p.idle) > 0
			}, time.Second, time.Millisecond)
			want := end(t, p, c)
			require.ErrorIs(t, <-result, want)
		})
	}
}

// TestProbeLeavesHeldConnections guards against a request that has a connection promised and finds it in
// use by a probe.
func TestProbeLeavesHeldConnections(t *testing.T) {
	for _, prepared := range []bool{false, true} {
		address, _ := accepting(t)
		p := NewPool(address, 1)
		require.True(t, p.Hold())
		if prepared {
			require.NoError(t, p.Prepare(t.Context()))
		}
		require.ErrorIs(t, p.Probe(t.Context(), 0), ErrConnectionLimit)
		_, _, err := p.take(context.Background(), &Request{Held: true})
		require.NoError(t, err)
	}
}
