package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestExtremesFollowRecentTimes(t *testing.T) {
	now := time.Unix(1000, 0)
	var m RecentTimes
	require.Zero(t, m.Shortest(now), "nothing known")
	for i := range minRecentTimes {
		require.Zero(t, m.Shortest(now), "too few times")
		m.Observe(time.Duration(500+i)*time.Millisecond, now)
	}
	require.Equal(t, 500*time.Millisecond, m.Shortest(now))
	longest, known := m.Longest(now)
	require.True(t, known)
	require.Equal(t, time.Duration(500+minRecentTimes-1)*time.Millisecond, longest)
	m.Observe(300*time.Millisecond, now)
	require.Equal(t, 300*time.Millisecond, m.Shortest(now), "the service is faster now")
	for i := range 100 {
		m.Observe(700*time.Millisecond, now.Add(time.Duration(i)*100*time.Millisecond))
	}
	require.Equal(t, 300*time.Millisecond, m.Shortest(now.Add(9*time.Second)))
	for i := range 100 {
		m.Observe(700*time.Millisecond, now.Add(10*time.Second+time.Duration(i)*10*time.Millisecond))
	}
	require.Equal(t, 700*time.Millisecond, m.Shortest(now.Add(11*time.Second)), "the service is slower now")
	_, known = m.Longest(now.Add(time.Minute))
	require.False(t, known)
	require.Zero(t, m.Shortest(now.Add(time.Minute)), "nothing was sent lately: the service may be faster")
}
