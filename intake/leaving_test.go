package intake

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// closingConn calls a function as it is closed.
type closingConn struct {
	net.Conn
	closing func()
}

func (c closingConn) Close() error {
	c.closing()
	return c.Conn.Close()
}

// A connection that is told to give way while it closes leaves nothing counted.
func TestGivingWayDuringCloseIsNotCountedForever(t *testing.T) {
	b := testBudget(limits{bytes: 1 << 20, total: 10, listener: 10, address: 10})
	client, server := net.Pipe()
	defer client.Close()
	gaveWay := make(chan bool, 1)
	var once sync.Once // the connection that gives way is closed a second time
	raw := closingConn{Conn: server, closing: func() {
		once.Do(func() {
			locked := make(chan struct{})
			go func() { // as for a new connection, which waits until the socket is closed
				b.mu.Lock()
				defer b.mu.Unlock()
				close(locked)
				gaveWay <- b.replace("clients", "", time.Now().Add(time.Minute))
			}()
			<-locked
		})
	}}
	c := &Conn{Conn: raw, listener: &Listener{name: "clients", budget: b}, address: "10.0.0.1"}
	require.Empty(t, b.admit(c, time.Now()))
	c.unhandled.setCause(closePeerClosed) // not rejected: it stays in phaseHead
	require.NoError(t, c.Close())
	require.True(t, <-gaveWay)
	require.Eventually(t, func() bool { return b.leaving.Load() == 0 }, time.Second, time.Millisecond)
	require.Zero(t, b.held.Load())
}
