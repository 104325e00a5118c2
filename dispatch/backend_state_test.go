package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenaarch/galenaarch/placement"
)

var start = time.Unix(1000, 0)

func engine() *BackendState {
	b := NewBackendState(BackendInfo{Slots: 4, MemoryTokens: 1000}, start)
	return &b
}

func view(b *BackendState, others Load, now time.Time) (s placement.Server) {
	b.View(&s, &Policy{}, others, "", now)
	return s
}

// Requests keep being sent to a server that stopped responding. Sending must not
// count as a response, or the server would never be dropped.
func TestSentRequestsDoNotCountAsResponses(t *testing.T) {
	b := engine()
	b.SetUnreported(true)
	for at := start; at.Sub(start) < 3*time.Second; at = at.Add(500 * time.Millisecond) {
		b.Sent(Work{PrefillTokens: 100, MemoryTokens: 100}, at)
		require.Equal(t, at.Sub(start) > lostTimeout, b.Lost(at))
		b.StopAwaiting(Work{PrefillTokens: 100, MemoryTokens: 100})
	}
}

func TestSilenceStartsWithOutstandingRequest(t *testing.T) {
	b, w := engine(), Work{PrefillTokens: 100, MemoryTokens: 100}
	now := start.Add(time.Minute)
	require.Zero(t, view(b, Load{}, now).Silence, "no request is outstanding")
	b.Sent(w, now)
	require.Equal(t, 300*time.Millisecond, view(b, Load{}, now.Add(300*time.Millisecond)).Silence)
	b.Sent(w, now.Add(200*time.Millisecond))
	require.Equal(t, 300*time.Millisecond, view(b, Load{}, now.Add(300*time.Millisecond)).Silence)
	b.ResponseStarted(w, now.Add(250*time.Millisecond))
	require.Equal(t, 50*time.Millisecond, view(b, Load{}, now.Add(300*time.Millisecond)).Silence)
}

// A canceled request to a slow server says nothing about the server; a server that
// responds to no request is unresponsive.
func TestUnresponsiveServerIsDetected(t *testing.T) {
	b, model := engine(), &PrefillModel{}
	sentAt := start.Add(time.Second)
	require.False(t, b.UnresponsiveSince(sentAt, sentAt.Add(minStallTimeout-time.Millisecond), model))
	require.True(t, b.UnresponsiveSince(sentAt, sentAt.Add(minStallTimeout), model))
	b.Responded(sentAt.Add(100 * time.Millisecond))
	require.False(t, b.UnresponsiveSince(sentAt, sentAt.Add(2*minStallTimeout), model))
}

// A slow engine sends nothing while it prefills long prompts and must not be taken
// for stalled.
func TestPrefillingEngineIsNotStalled(t *testing.T) {
	b, model := engine(), &PrefillModel{}
	b.Sent(Work{PrefillTokens: int(model.Rate() * 2000)}, start) // two seconds of prefill
	require.False(t, b.Stalled(start.Add(2*time.Second), model))
	require.True(t, b.Stalled(start.Add(2*time.Second+minStallTimeout), model))
}

func TestMemoryAccounting(t *testing.T) {
	b := engine()
	first, second := Work{PrefillTokens: 100, MemoryTokens: 400}, Work{PrefillTokens: 100, MemoryTokens: 200, Deferred: true}
	b.Sent(first, start)
	b.Sent(second, start)
	s := view(b, Load{}, start)
	require.Equal(t, []int{600, 1000, 100, 100}, []int{s.UsedMemoryTokens, s.MemoryTokens, s.PrefillTokens, s.DeferredTokens})
	require.Equal(t, 900, view(b, Load{Requests: 1, MemoryTokens: 300}, start).UsedMemoryTokens, "load of other instances counts")
	b.ApplyReport(Report{Running: 3, Waiting: 1, Slots: 4}, Load{}, start)
	require.Greater(t, view(b, Load{}, start).UsedMemoryTokens, 1000, "two requests are unattributed")
	b.ApplyReport(Report{Running: 3, Waiting: 1, Slots: 4}, Load{Requests: 2}, start)
	require.Equal(t, 600, view(b, Load{}, start).UsedMemoryTokens, "both are claimed by another instance")
	b.ApplyReport(Report{Running: 2, Slots: 4}, Load{}, start)
	b.Release(first, 2*time.Second)
	b.Release(second, 0)
	require.Zero(t, b.OwnLoad().MemoryTokens)
	require.Equal(t, 2*time.Second, view(b, Load{}, start).RunTime)
}

// A server that asked for a pause must not receive requests before it ends, whatever
// events arrive in the meantime.
func TestPauseIsNeverShortened(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := engine()
		now, until := start, time.Time{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				pause := time.Duration(rapid.IntRange(-10, 4000).Draw(t, "pause")) * time.Millisecond
				b.Pause(pause, now, rapid.Float64Range(0, 0.999).Draw(t, "jitter"))
				if pause > 0 && now.Add(pause).After(until) {
					until = now.Add(pause)
				}
			case 1:
				b.Succeeded(10*time.Millisecond, now)
			case 2:
				b.Failed(true, now)
			case 3:
				b.Rejected(&Report{Slots: 4}, now)
			case 4:
				b.ApplyReport(Report{Slots: 4}, Load{}, now)
			}
			require.False(t, b.PausedUntil().Before(until))
		}
	})
}

// Many requests wait for a paused server. It gets one request when the pause ends, and
// the limit doubles with each success.
func TestSlowStartAfterPause(t *testing.T) {
	b := engine()
	until := b.Pause(time.Second, start, 0)
	require.Equal(t, start.Add(time.Second), until)
	b.Succeeded(time.Millisecond, start.Add(100*time.Millisecond)) // response to a request sent before the pause
	for _, limit := range []int{1, 2, 4} {
		for n := range limit {
			require.False(t, view(b, Load{}, until).CoolingDown, "%d of %d", n, limit)
			b.Sent(Work{}, until)
		}
		require.True(t, view(b, Load{}, until).CoolingDown, "limit of %d", limit)
		for range limit {
			b.ResponseStarted(Work{}, until)
			b.Release(Work{}, time.Millisecond)
		}
		b.Succeeded(time.Millisecond, until)
	}
	for range 8 {
		b.Sent(Work{}, until)
	}
	require.False(t, view(b, Load{}, until).CoolingDown, "the limit is lifted")
}

func TestPauseIsBounded(t *testing.T) {
	b := engine()
	require.Equal(t, start.Add(defaultPause), b.Pause(0, start, 0))
	b = engine()
	require.Equal(t, start.Add(maxPause), b.Pause(1000*time.Hour, start, 0))
	b = engine()
	require.Equal(t, start.Add(10*time.Second+maxPauseJitter/2), b.Pause(10*time.Second, start, 0.5), "instances resume at different times")
}

// In a burst, prompts wait long after their context was transferred. The link must
// count as free as soon as the transfers end.
func TestTransfersEndByElapsedTime(t *testing.T) {
	b := engine()
	b.AddTransfer(100*time.Millisecond, start)
	b.AddTransfer(100*time.Millisecond, start)
	require.Equal(t, 150*time.Millisecond, b.PendingTransferTime(start.Add(50*time.Millisecond)), "transfers run in sequence")
	require.Zero(t, b.PendingTransferTime(start.Add(time.Second)))
	b.AddTransfer(100*time.Millisecond, start.Add(2*time.Second))
	require.Equal(t, 100*time.Millisecond, b.PendingTransferTime(start.Add(2*time.Second)))
}

// A server that rejects requests with free slots is executing a control operation.
// The cooldown must converge to the duration of such operations.
func TestCooldownMatchesOperationTime(t *testing.T) {
	b, now := engine(), start
	for range 60 {
		for since := time.Duration(0); since < 2*time.Second; since += 100 * time.Millisecond {
			b.Rejected(&Report{Slots: 4}, now.Add(since))
		}
		now = now.Add(2 * time.Second)
		b.Succeeded(time.Millisecond, now)
	}
	require.InDelta(t, 2, b.Rejected(&Report{Slots: 4}, now).Seconds(), 0.1)
	require.Equal(t, shedCooldown, b.Rejected(&Report{Running: 4, Slots: 4}, now), "a full server soon has free slots")
}
