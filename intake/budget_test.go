package intake

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pacedHolder is a client that sends at a rate for a time, and then nothing.
type pacedHolder struct {
	bytes, rate int
	stopsAfter  time.Duration
}

// at returns what the client holds after a time, from its bytes in steps of 10 ms.
func (p pacedHolder) at(after time.Duration) holder {
	const step = 10 * time.Millisecond
	start := time.Unix(0, 0)
	clock := pace{start}
	for t := step; t <= min(after, p.stopsAfter); t += step {
		clock = clock.advance(p.rate/int(time.Second/step), start.Add(t))
	}
	return holder{bytes: int64(p.bytes), lag: clock.lag(start.Add(after))}
}

// A crowd that stops short or sends in single bytes gives way before clients whose bodies flow.
func TestStalledAndTricklingGiveWayFirst(t *testing.T) {
	const after = 2 * time.Second
	flowing := pacedHolder{bytes: 1 << 20, rate: 512 << 10, stopsAfter: after}
	for name, crowd := range map[string]pacedHolder{
		"stops short":  {bytes: 900 << 10, rate: 10 << 20, stopsAfter: 100 * time.Millisecond},
		"trickles":     {bytes: 1 << 20, rate: 100, stopsAfter: after},
		"sent nothing": {bytes: 4 << 10, rate: 0, stopsAfter: after},
	} {
		t.Run(name, func(t *testing.T) {
			holders := []holder{flowing.at(after), crowd.at(after), flowing.at(after)}
			require.Equal(t, 1, pickYielding(holders))
		})
	}
	require.Equal(t, -1, pickYielding([]holder{flowing.at(after), flowing.at(after)}), "what flows does not give way")
	slow := pacedHolder{bytes: 1 << 20, rate: minPace, stopsAfter: after}
	require.Equal(t, -1, pickYielding([]holder{slow.at(after)}), "a client at the least pace does not give way")
}

// Whatever large bodies hold, a small request finds room.
func TestSmallRequestsFindRoomBesideLargeOnes(t *testing.T) {
	l := limits{bytes: 16 << 20}
	held := int64(0)
	for l.fits(1<<20, 0, held, 0) {
		held += 1 << 20
	}
	require.Equal(t, int64(12<<20), held)
	require.True(t, l.fits(smallBytes, 0, held, 0))
	require.False(t, l.fits(smallBytes+1, 0, held, 0))
}

func TestLimitLeavesMemoryToServe(t *testing.T) {
	require.Zero(t, LimitFor(0))
	for _, mb := range []int{64, 80, 136, 189, 284, 1024} {
		limit := LimitFor(mb)
		require.GreaterOrEqual(t, limit, int64(minLimitBytes))
		require.Less(t, limit, int64(mb)<<19, "%d MB", mb)
	}
	// 4 MiB are the largest body of an earlier deployment, 136 MB its smallest machine.
	require.True(t, limits{bytes: LimitFor(136)}.fits(2*(4<<20), 0, 0, 0))
}

func testBudget(l limits) *Budget { return newBudget(l, slog.New(slog.DiscardHandler)) }

// newConn returns a registered connection in a phase, without a socket.
func newConn(t *testing.T, b *Budget, address string, phase int32, lag time.Duration) (*Conn, reason) {
	t.Helper()
	now := time.Now()
	c := &Conn{Conn: &fakeSocket{}, listener: &Listener{name: "clients", budget: b}, address: address}
	c.pace.Store(now.Add(-lag).UnixNano())
	why := b.admit(c, now)
	c.phase.Store(phase)
	return c, why
}

func TestConnectionsAreBoundedInAllAndByAddress(t *testing.T) {
	b := testBudget(limits{total: 10, listener: 8, address: 4})
	for range 4 {
		_, why := newConn(t, b, "10.0.0.1", phaseWhole, 0)
		require.Empty(t, why)
	}
	_, why := newConn(t, b, "10.0.0.1", phaseWhole, 0)
	require.Equal(t, reasonAddress, why)
	var last *Conn
	for range 4 {
		last, why = newConn(t, b, "10.0.0.2", phaseWhole, 0)
		require.Empty(t, why)
	}
	_, why = newConn(t, b, "10.0.0.3", phaseWhole, 0)
	require.Equal(t, reasonConnections, why)
	require.NoError(t, last.Close())
	_, why = newConn(t, b, "10.0.0.3", phaseWhole, 0)
	require.Empty(t, why, "a closed connection makes room")
}

// A connection that brings nothing makes room for a new one.
func TestIdleConnectionGivesWayToNewOne(t *testing.T) {
	b := testBudget(limits{total: 4, listener: 2, address: 2})
	idle, why := newConn(t, b, "10.0.0.1", phaseHead, time.Second)
	require.Empty(t, why)
	_, why = newConn(t, b, "10.0.0.2", phaseWhole, time.Hour)
	require.Empty(t, why)
	_, why = newConn(t, b, "10.0.0.3", phaseHead, 0)
	require.Empty(t, why)
	require.Equal(t, phaseGaveWay, idle.phase.Load())
	require.Eventually(t, func() bool { return idle.closed.Load() }, time.Second, time.Millisecond)
}

// One address at its bound replaces its own idle connection, and no other's.
func TestAddressReplacesItsOwnConnection(t *testing.T) {
	b := testBudget(limits{total: 10, listener: 10, address: 1})
	own, _ := newConn(t, b, "10.0.0.1", phaseHead, time.Second)
	other, _ := newConn(t, b, "10.0.0.2", phaseHead, time.Hour)
	_, why := newConn(t, b, "10.0.0.1", phaseHead, 0)
	require.Empty(t, why)
	require.Equal(t, phaseGaveWay, own.phase.Load())
	require.Equal(t, phaseHead, other.phase.Load())
}

// A request that is whole may run already: it never gives way, and what has given way never runs.
func TestWholeRequestsDoNotGiveWay(t *testing.T) {
	b := testBudget(limits{bytes: 8 << 20, total: 10, listener: 10, address: 10})
	whole, _ := newConn(t, b, "10.0.0.1", phaseBody, time.Hour)
	require.NoError(t, whole.take(Bodies, 3<<20))
	require.True(t, whole.complete())
	stalled, _ := newConn(t, b, "10.0.0.2", phaseBody, time.Hour)
	require.NoError(t, stalled.take(Bodies, 2<<20))
	fresh, _ := newConn(t, b, "10.0.0.3", phaseBody, 0)
	require.NoError(t, fresh.take(Bodies, 2<<20), "the stalled one gives way")
	require.False(t, stalled.complete())
	require.Equal(t, phaseWhole, whole.phase.Load())
	require.ErrorIs(t, fresh.take(Bodies, 4<<20), ErrNoRoom)
	for _, c := range []*Conn{whole, stalled, fresh} {
		c.end()
		require.NoError(t, c.Close())
	}
	require.Zero(t, b.held.Load())
	require.Zero(t, b.leaving.Load())
}

// In calm a single request is served whatever its size.
func TestSingleRequestIsServedInCalm(t *testing.T) {
	b := testBudget(limits{bytes: 8 << 20, total: 10, listener: 10, address: 10})
	c, _ := newConn(t, b, "10.0.0.1", phaseBody, 0)
	require.NoError(t, c.take(Bodies, 16<<20))
	other, _ := newConn(t, b, "10.0.0.2", phaseBody, 0)
	require.ErrorIs(t, other.take(Bodies, 1<<20), ErrNoRoom)
}

// Without a memory limit no request is refused, and nobody gives way, however much is held.
func TestWithoutMemoryLimitNothingGivesWay(t *testing.T) {
	b := testBudget(limits{total: 10, listener: 10, address: 10})
	stalled, _ := newConn(t, b, "10.0.0.1", phaseBody, time.Hour)
	require.NoError(t, stalled.take(Bodies, 1<<40))
	fresh, why := newConn(t, b, "10.0.0.2", phaseBody, 0)
	require.Empty(t, why)
	require.NoError(t, fresh.take(Bodies, 1<<40))
	require.True(t, stalled.complete())
}
