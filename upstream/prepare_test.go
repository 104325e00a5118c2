package upstream

import (
	"context"
	"net"
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
