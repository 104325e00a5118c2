package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/placement"
)

const callTime = 30 * time.Millisecond

// callServer returns a server with six slots that completes calls in callTime, to which this
// instance has sent some calls just now.
func callServer(own int, now time.Time) *BackendState {
	b := NewBackendState(BackendInfo{Slots: 6}, now)
	b.Succeeded(callTime, now)
	for range own {
		b.Sent(Work{}, now)
	}
	return &b
}

func TestCallGetsEveryFreeSlotThatIsKnown(t *testing.T) {
	now := time.Unix(1000, 0)
	for others := range 5 {
		require.True(t, callServer(1, now).HasCallRoom(CallView{Others: Load{Requests: others}, Instances: 23}, now), others)
	}
	require.False(t, callServer(1, now).HasCallRoom(CallView{Others: Load{Requests: 6}, Instances: 23}, now))
	unknown := NewBackendState(BackendInfo{}, now)
	require.True(t, unknown.HasCallRoom(CallView{Others: Load{Requests: 100}, Instances: 23}, now), "without slots, nothing waits")
}

// A call may wait at a server for half of its objective, and as long as it can still be on time. What
// waits there is bounded by that.
func TestPlacesInTheServersOwnQueue(t *testing.T) {
	now := time.Unix(1000, 0)
	arrived := CallTime{Objective: 120 * time.Millisecond, Work: callTime, Patience: time.Second}
	require.Equal(t, 60*time.Millisecond, arrived.MaxWait())
	waited := arrived
	waited.Elapsed = 70 * time.Millisecond
	require.Equal(t, 20*time.Millisecond, waited.MaxWait())
	waited.Elapsed = 100 * time.Millisecond
	require.Zero(t, waited.MaxWait())
	waited.Patience = 100 * time.Millisecond
	require.Equal(t, 60*time.Millisecond, waited.MaxWait(), "its client cannot return: it is to be served at all")
	room := func(others int, maxWait time.Duration) bool {
		return callServer(1, now).HasCallRoom(CallView{Others: Load{Requests: others}, Instances: 23, MaxWait: maxWait}, now)
	}
	require.True(t, room(16, arrived.MaxWait()), "six run, twelve are served within 60 ms")
	require.False(t, room(17, arrived.MaxWait()))
	require.True(t, room(4, 0))
	require.False(t, room(6, 0))
}

func TestServerThatRejectedACallIsFull(t *testing.T) {
	now := time.Unix(1000, 0)
	view := CallView{Instances: 23, MaxWait: 10 * callTime}
	b := callServer(1, now)
	b.Rejected(&Report{Running: 6, Waiting: 24, Slots: 6}, now)
	require.False(t, b.HasCallRoom(view, now))
	require.True(t, b.HasCallRoom(view, now.Add(shedCooldown)), "it has completed calls since")
	b.Rejected(&Report{Running: 3, Slots: 6}, now.Add(time.Second))
	require.True(t, b.HasCallRoom(view, now.Add(time.Second)), "not rejected for want of room")
}

// The words of the others are older than the server's own report.
func TestReportCountsBeforeOlderWords(t *testing.T) {
	now := time.Unix(1000, 0)
	b := callServer(1, now)
	full := CallView{Others: Load{Requests: 20}, Instances: 23}
	require.False(t, b.HasCallRoom(full, now))
	b.ApplyReport(Report{Running: 2, Slots: 6}, full.Others, now)
	require.True(t, b.HasCallRoom(full, now))
	require.False(t, b.HasCallRoom(full, now.Add(callUpdateTime)))
}

// TestInstanceWithWrongWordsSendsItsShare replays 89 instances that all believe for ever that the
// server is full: they send what it completes, none waits longer than its turn.
func TestInstanceWithWrongWordsSendsItsShare(t *testing.T) {
	const instances = 89
	now := time.Unix(1000, 0)
	view := CallView{Others: Load{Requests: 100}, Instances: instances, Queued: true, MaxWait: callTime, Chance: 0.99}
	b := callServer(0, now)
	sent := 0
	for range 10_000 {
		if b.HasCallRoom(view, now) {
			b.Sent(Work{}, now)
			b.ReleasedAt(Work{}, callTime, now.Add(callTime))
			sent++
		}
		now = now.Add(time.Millisecond)
	}
	completes := 10.0 * 6 / callTime.Seconds()
	require.InDelta(t, completes, float64(sent*instances), 0.05*completes)
}

// Of the instances whose calls wait, and which see the same room, as many take it as it has places.
func TestRoomSeenByAllIsTakenOnce(t *testing.T) {
	const instances = 23
	now := time.Unix(1000, 0)
	taken, rounds := 0, 2000
	for round := range rounds {
		for i := range instances {
			chance := float64((round*7+i*13)%instances) / instances
			if callServer(1, now).HasCallRoom(CallView{Others: Load{Requests: 2}, Instances: instances, Queued: true, Chance: chance}, now) {
				taken++
			}
		}
	}
	require.InDelta(t, 3, float64(taken)/float64(rounds), 0.5)
	b := callServer(2, now)
	b.ReleasedAt(Work{}, callTime, now)
	require.True(t, b.HasCallRoom(CallView{Others: Load{Requests: 4}, Instances: instances, Queued: true, Chance: 0.99}, now), "its own place, which the others still take for occupied")
}

func TestVerdictOnCallsFollowsTheClientsTime(t *testing.T) {
	p := &Policy{}
	s := []placement.Server{{Slots: 6, MeanTime: 50 * time.Millisecond}}
	decide := func(queueWait, patience time.Duration, discovering bool) Action {
		all := func() *Candidates {
			return &Candidates{Servers: s, Full: func(int) bool { return true }, Ordered: true}
		}
		req := &Request{QueueWait: queueWait, Discovering: discovering, CallTime: CallTime{Objective: 200 * time.Millisecond, Work: callTime, Patience: patience}}
		d, _ := p.Decide(placement.ExpectedTime{}, nil, all, req, 0)
		return d.Action
	}
	require.Equal(t, Hold, decide(150*time.Millisecond, time.Second, false))
	require.Equal(t, Reject, decide(151*time.Millisecond, time.Second, false), "late behind those ahead and 20 ms at the server")
	require.Equal(t, Hold, decide(151*time.Millisecond, time.Second, true), "servers are still being discovered")
	require.Equal(t, Hold, decide(151*time.Millisecond, 200*time.Millisecond, false), "late, but its client cannot return")
	require.Equal(t, Reject, decide(181*time.Millisecond, 200*time.Millisecond, false))
	claimed := func() *Candidates {
		return &Candidates{Servers: s, Claimed: func(int) bool { return true }, Ordered: true}
	}
	d, _ := p.Decide(placement.ExpectedTime{}, nil, claimed, &Request{CallTime: CallTime{Objective: time.Second, Patience: time.Minute}}, 0)
	require.Equal(t, Hold, d.Action, "an earlier call waits for the server")
}

// TestCallsWithoutOrderAreDecidedAsBefore: where no room is known, every call is sent.
func TestCallsWithoutOrderAreDecidedAsBefore(t *testing.T) {
	c := func() *Candidates {
		return &Candidates{Servers: []placement.Server{{Slots: 6, Running: 6, Waiting: 100}}, Claimed: func(int) bool { return true }}
	}
	d, _ := (&Policy{}).Decide(placement.ExpectedTime{}, nil, c, &Request{QueueWait: time.Hour}, 0)
	require.Equal(t, Decision{Action: Send}, d)
}
