package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/config/site"
)

func testBackend() *backend {
	return newBackend(&fleetv1.Announcement{Server: "i-1", Address: "127.0.0.1:1", Slots: 4}, &site.Service{Name: "llm", Engine: &site.Engine{Slots: 4, MemoryTokens: 1000}}, 0)
}

// TestNewRequestsDoNotMakeADarkServerLookAlive: load pattern, a quarter of the
// servers dark. What is sent to a server says nothing of when it was heard.
func TestNewRequestsDoNotMakeADarkServerLookAlive(t *testing.T) {
	b := testBackend()
	b.silent.Store(true)
	start := time.Now()
	b.heard.Store(start.UnixNano())
	for at := start; at.Sub(start) < 3*time.Second; at = at.Add(500 * time.Millisecond) {
		b.begin(100, 100, false, at)
		require.Equal(t, at.Sub(start) > silentLife, b.lost(at))
		b.awaiting.Add(-1)
	}
}

func TestSilenceCountsFromTheQuestion(t *testing.T) {
	b := testBackend()
	now := time.Now().Add(time.Minute)
	require.Zero(t, b.view("", now).Silence, "nothing is awaited")
	b.begin(100, 100, false, now)
	require.Equal(t, 300*time.Millisecond, b.view("", now.Add(300*time.Millisecond)).Silence)
	b.begin(100, 100, false, now.Add(200*time.Millisecond))
	require.Equal(t, 300*time.Millisecond, b.view("", now.Add(300*time.Millisecond)).Silence)
	b.firstByte(100, false, now.Add(250*time.Millisecond))
	require.Equal(t, 50*time.Millisecond, b.view("", now.Add(300*time.Millisecond)).Silence)
}

// TestMuteServerIsKnownByItsSilence: a caller that leaves a slow server says
// nothing of it, one that leaves a server which says nothing to anybody does.
func TestMuteServerIsKnownByItsSilence(t *testing.T) {
	b := testBackend()
	began := time.Now().Add(time.Second)
	require.False(t, b.mute(began, began.Add(silentFor-time.Millisecond)))
	require.True(t, b.mute(began, began.Add(silentFor)))
	b.heard.Store(began.Add(100 * time.Millisecond).UnixNano())
	require.False(t, b.mute(began, began.Add(2*silentFor)))
}

func TestMemoryOfRunsIsCountedAndFreed(t *testing.T) {
	b := testBackend()
	now := time.Now()
	b.begin(100, 400, false, now)
	b.begin(100, 200, true, now)
	s := b.view("", now)
	require.Equal(t, []int{600, 1000, 100, 100}, []int{s.HeldTokens, s.MemoryTokens, s.ReadingTokens, s.LaterTokens})
	b.report(&Load{Running: 3, Waiting: 1, Slots: 4}, now)
	require.Greater(t, b.view("", now).HeldTokens, 1000, "two of others are there")
	b.report(&Load{Running: 2, Slots: 4}, now)
	b.end(400, 2*time.Second)
	b.end(200, 0)
	require.Zero(t, b.holding.Load())
	require.Equal(t, 2*time.Second, b.view("", now).RunTime)
}
