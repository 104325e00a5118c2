package gateway

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/upstream"
)

// waitingCall returns a stream whose server, the first one, has been silent for a time, and since when.
func (h *testGateway) waitingCall(pause time.Duration) (c *call, silent *backend, since time.Time) {
	h.setRetries(100)
	c, silent = h.silentCall()
	c.route.MaxServers, c.startedAt = 3, time.Now().Add(-pause)
	return c, silent, c.startedAt
}

// responding makes a server one with a response in progress that was last heard of at the given time.
func (b *backend) responding(heard time.Time) {
	b.update(func(tracker *dispatch.BackendState) {
		tracker.Sent(dispatch.Work{}, heard)
		tracker.ResponseStarted(dispatch.Work{}, heard)
	})
}

// reachable lets a server accept connections.
func (b *backend) reachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	b.pool = upstream.NewPool(listener.Addr().String(), 0)
}

// A stream must not leave its silent server for one that has just fallen silent too: what is in progress
// there shows whether it has.
func TestStreamLeavesForServerThatHasSentSomething(t *testing.T) {
	h := newTestGateway(t, 3)
	c, silent, since := h.waitingCall(1200 * time.Millisecond)
	quiet, sound := h.routing.services["llm"][1], h.routing.services["llm"][2]
	quiet.responding(time.Now())
	sound.responding(time.Now())
	sound.responding(time.Now())
	require.False(t, c.reserveReplacement(t.Context(), silent, since))
	sound.update(func(tracker *dispatch.BackendState) { tracker.Responded(time.Now()) })
	require.True(t, c.reserveReplacement(t.Context(), silent, since))
	require.Equal(t, sound.server, c.takeReserved().server)
}

// In the last moment of its client's time, a stream goes to a server that has sent something since it
// was due to leave, and without one to another that is not as silent as its own.
func TestStreamLeavesWithoutProofInLastMoment(t *testing.T) {
	for name, heard := range map[string]bool{"heard of one": true, "heard of none": false} {
		t.Run(name, func(t *testing.T) {
			h := newTestGateway(t, 3)
			c, silent, since := h.waitingCall(1200 * time.Millisecond)
			quiet, sound := h.routing.services["llm"][1], h.routing.services["llm"][2]
			quiet.responding(time.Now())
			sound.responding(time.Now())
			sound.responding(time.Now())
			require.False(t, c.reserveReplacement(t.Context(), silent, since))
			if heard {
				sound.update(func(tracker *dispatch.BackendState) { tracker.Responded(time.Now()) })
			}
			c.startedAt = c.startedAt.Add(-600 * time.Millisecond)
			require.True(t, c.reserveReplacement(t.Context(), silent, c.startedAt))
			if b := c.takeReserved(); heard {
				require.Equal(t, sound.server, b.server)
			}
		})
	}
}

// Streams that leave a silent server together must not all go to one that has nothing in progress and
// may be silent too: one goes, and the others once it has got something.
func TestOneStreamTriesServerThatHasNothingInProgress(t *testing.T) {
	h := newTestGateway(t, 2)
	first, silent, since := h.waitingCall(1200 * time.Millisecond)
	second, _, _ := h.waitingCall(1200 * time.Millisecond)
	other := h.routing.services["llm"][1]
	require.True(t, first.reserveReplacement(t.Context(), silent, since))
	require.False(t, second.reserveReplacement(t.Context(), silent, since))
	other.update(func(tracker *dispatch.BackendState) { tracker.Responded(time.Now()) })
	require.True(t, second.reserveReplacement(t.Context(), silent, since))
}

// A stream must not try a server so late that it could not leave it again, but goes there in the last
// moment; a stream whose client's time is short from the beginning tries it at once.
func TestServerIsTriedInTimeToLeaveItAgain(t *testing.T) {
	h := newTestGateway(t, 2)
	c, silent, since := h.waitingCall(1200 * time.Millisecond)
	other := h.routing.services["llm"][1]
	other.responding(time.Now())
	require.False(t, c.reserveReplacement(t.Context(), silent, since))
	other.update(func(tracker *dispatch.BackendState) { tracker.Release(dispatch.Work{}, 0) })
	time.Sleep(350 * time.Millisecond)
	require.False(t, c.reserveReplacement(t.Context(), silent, since))
	c.startedAt = c.startedAt.Add(-250 * time.Millisecond)
	require.True(t, c.reserveReplacement(t.Context(), silent, since))

	short, silent, since := newTestGateway(t, 2).waitingCall(600 * time.Millisecond)
	short.route.ClientTimeout = time.Second
	require.True(t, short.reserveReplacement(t.Context(), silent, since))
}

// A stream that has left a silent server must not leave the next one for a third that has been silent for
// most of its client's wait: that began before the next one was asked.
func TestStreamThatLeftServerComparesSilencesWithClientsWait(t *testing.T) {
	h := newTestGateway(t, 3)
	c, silent, _ := h.waitingCall(1850 * time.Millisecond)
	c.leftSilent = true
	third, first := h.routing.services["llm"][1], h.routing.services["llm"][2]
	third.reachable(t)
	third.responding(time.Now().Add(-1200 * time.Millisecond))
	first.update(func(tracker *dispatch.BackendState) { tracker.Failed(true, time.Now()) })
	require.False(t, c.reserveReplacement(t.Context(), silent, time.Now().Add(-700*time.Millisecond)))
}

// Streams must not follow one, in the last moment of their clients' time, to a server that has sent it
// nothing.
func TestStreamsDoNotFollowToServerThatIsTriedInVain(t *testing.T) {
	h := newTestGateway(t, 2)
	c, silent, since := h.waitingCall(1800 * time.Millisecond)
	c.prompt = nil
	other := h.routing.services["llm"][1]
	other.reachable(t)
	other.update(func(tracker *dispatch.BackendState) {
		tracker.Responded(time.Now().Add(-3 * time.Second))
		tracker.Sent(dispatch.Work{}, time.Now().Add(-600*time.Millisecond))
	})
	require.False(t, c.reserveReplacement(t.Context(), silent, since))
	other.update(func(tracker *dispatch.BackendState) { tracker.Responded(time.Now()) })
	require.True(t, c.reserveReplacement(t.Context(), silent, since))
}
