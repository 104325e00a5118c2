package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenaarch/galenaarch/placement"
)

var start = time.Unix(1000, 0)

func engine() *Belief {
	b := NewBelief(Server{Slots: 4, MemoryTokens: 1000}, start)
	return &b
}

func view(b *Belief, others Load, now time.Time) (s placement.Server) {
	b.View(&s, &Policy{}, others, "", now)
	return s
}

// TestNewRequestsDoNotMakeADarkServerLookAlive: load pattern, a quarter of the
// servers dark. What is sent to a server says nothing of when it was heard.
func TestNewRequestsDoNotMakeADarkServerLookAlive(t *testing.T) {
	b := engine()
	b.Silent(true)
	for at := start; at.Sub(start) < 3*time.Second; at = at.Add(500 * time.Millisecond) {
		b.Sent(Work{Unread: 100, Memory: 100}, at)
		require.Equal(t, at.Sub(start) > silentLife, b.Lost(at))
		b.Left(Work{Unread: 100, Memory: 100})
	}
}

func TestSilenceCountsFromTheQuestion(t *testing.T) {
	b, w := engine(), Work{Unread: 100, Memory: 100}
	now := start.Add(time.Minute)
	require.Zero(t, view(b, Load{}, now).Silence, "nothing is awaited")
	b.Sent(w, now)
	require.Equal(t, 300*time.Millisecond, view(b, Load{}, now.Add(300*time.Millisecond)).Silence)
	b.Sent(w, now.Add(200*time.Millisecond))
	require.Equal(t, 300*time.Millisecond, view(b, Load{}, now.Add(300*time.Millisecond)).Silence)
	b.Begun(w, now.Add(250*time.Millisecond))
	require.Equal(t, 50*time.Millisecond, view(b, Load{}, now.Add(300*time.Millisecond)).Silence)
}

// TestMuteServerIsKnownByItsSilence: a caller that leaves a slow server says
// nothing of it, one that leaves a server which says nothing to anybody does.
func TestMuteServerIsKnownByItsSilence(t *testing.T) {
	b, r := engine(), &Reader{}
	began := start.Add(time.Second)
	require.False(t, b.Mute(began, began.Add(muteAfter-time.Millisecond), r))
	require.True(t, b.Mute(began, began.Add(muteAfter), r))
	b.Heard(began.Add(100 * time.Millisecond))
	require.False(t, b.Mute(began, began.Add(2*muteAfter), r))
}

// TestEngineThatReadsIsNotStuck: load pattern, long prompts at slow engines. One that
// reads what it was sent says nothing for as long as that takes.
func TestEngineThatReadsIsNotStuck(t *testing.T) {
	b, r := engine(), &Reader{}
	b.Sent(Work{Unread: int(r.Pace() * 2000)}, start) // two seconds of reading
	require.False(t, b.Stuck(start.Add(2*time.Second), r))
	require.True(t, b.Stuck(start.Add(2*time.Second+muteAfter), r))
}

func TestMemoryOfRunsIsCountedAndFreed(t *testing.T) {
	b := engine()
	first, second := Work{Unread: 100, Memory: 400}, Work{Unread: 100, Memory: 200, Later: true}
	b.Sent(first, start)
	b.Sent(second, start)
	s := view(b, Load{}, start)
	require.Equal(t, []int{600, 1000, 100, 100}, []int{s.HeldTokens, s.MemoryTokens, s.ReadingTokens, s.LaterTokens})
	require.Equal(t, 900, view(b, Load{Requests: 1, Held: 300}, start).HeldTokens, "what others told is counted")
	b.Told(Report{Running: 3, Waiting: 1, Slots: 4}, Load{}, start)
	require.Greater(t, view(b, Load{}, start).HeldTokens, 1000, "two of others are there")
	b.Told(Report{Running: 3, Waiting: 1, Slots: 4}, Load{Requests: 2}, start)
	require.Equal(t, 600, view(b, Load{}, start).HeldTokens, "others told of these two")
	b.Told(Report{Running: 2, Slots: 4}, Load{}, start)
	b.Ended(first, 2*time.Second)
	b.Ended(second, 0)
	require.Zero(t, b.Own().Held)
	require.Equal(t, 2*time.Second, view(b, Load{}, start).RunTime)
}

// TestPauseIsNeverShortened: a server that wants nothing for a time is not asked
// before it is over, whatever else it says or answers meanwhile.
func TestPauseIsNeverShortened(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := engine()
		now, until := start, time.Time{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "news") {
			case 0:
				said := time.Duration(rapid.IntRange(-10, 4000).Draw(t, "pause")) * time.Millisecond
				b.Pause(said, now, rapid.Float64Range(0, 0.999).Draw(t, "at"))
				if said > 0 && now.Add(said).After(until) {
					until = now.Add(said)
				}
			case 1:
				b.Succeeded(10*time.Millisecond, now)
			case 2:
				b.Failed(true, now)
			case 3:
				b.Shed(&Report{Slots: 4}, now)
			case 4:
				b.Told(Report{Slots: 4}, Load{}, now)
			}
			require.False(t, b.PausedUntil().Before(until))
		}
	})
}

// TestPausedServerComesBackSlowly: load pattern, a server that wanted nothing for a
// time while many callers come. At the end it gets one request, and twice as many
// after each answer.
func TestPausedServerComesBackSlowly(t *testing.T) {
	b := engine()
	until := b.Pause(time.Second, start, 0)
	require.Equal(t, start.Add(time.Second), until)
	b.Succeeded(time.Millisecond, start.Add(100*time.Millisecond)) // sent before
	for _, most := range []int{1, 2, 4} {
		for n := range most {
			require.False(t, view(b, Load{}, until).Resting, "%d of %d", n, most)
			b.Sent(Work{}, until)
		}
		require.True(t, view(b, Load{}, until).Resting, "no more than %d", most)
		for range most {
			b.Begun(Work{}, until)
			b.Ended(Work{}, time.Millisecond)
		}
		b.Succeeded(time.Millisecond, until)
	}
	for range 8 {
		b.Sent(Work{}, until)
	}
	require.False(t, view(b, Load{}, until).Resting, "as before")
}

func TestPauseOfNonsenseIsBounded(t *testing.T) {
	b := engine()
	require.Equal(t, start.Add(unreadPause), b.Pause(0, start, 0))
	b = engine()
	require.Equal(t, start.Add(longestPause), b.Pause(1000*time.Hour, start, 0))
	b = engine()
	require.Equal(t, start.Add(10*time.Second+longestSpread/2), b.Pause(10*time.Second, start, 0.5), "instances come back one after another")
}

// TestTransfersEndByTheClock: load pattern, many callers at once. Prompts wait long
// after what they need was brought; the link is free for others.
func TestTransfersEndByTheClock(t *testing.T) {
	b := engine()
	b.Bring(100*time.Millisecond, start)
	b.Bring(100*time.Millisecond, start)
	require.Equal(t, 150*time.Millisecond, b.Bringing(start.Add(50*time.Millisecond)), "one after another")
	require.Zero(t, b.Bringing(start.Add(time.Second)))
	b.Bring(100*time.Millisecond, start.Add(2*time.Second))
	require.Equal(t, 100*time.Millisecond, b.Bringing(start.Add(2*time.Second)))
}

// TestOrdersAreWaitedForAsLongAsTheyTake: a server that turns requests away with
// places free carries out an order; how long that takes is learned.
func TestOrdersAreWaitedForAsLongAsTheyTake(t *testing.T) {
	b, now := engine(), start
	for range 60 {
		for since := time.Duration(0); since < 2*time.Second; since += 100 * time.Millisecond {
			b.Shed(&Report{Slots: 4}, now.Add(since))
		}
		now = now.Add(2 * time.Second)
		b.Succeeded(time.Millisecond, now)
	}
	require.InDelta(t, 2, b.Shed(&Report{Slots: 4}, now).Seconds(), 0.1)
	require.Equal(t, shedRest, b.Shed(&Report{Running: 4, Slots: 4}, now), "a full one has places again soon")
}
