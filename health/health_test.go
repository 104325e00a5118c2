package health

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEjectionLifeCycle(t *testing.T) {
	now := time.Unix(1000, 0)
	var s Server
	require.Equal(t, StateHealthy, s.State(now))
	for range ejectAfter - 1 {
		s.Failed(now, false)
		require.True(t, s.Usable(now))
	}
	s.Succeeded()
	for range ejectAfter {
		require.True(t, s.Usable(now), "a success resets the failure count")
		s.Failed(now, false)
	}
	require.Equal(t, StateEjected, s.State(now))
	require.False(t, s.Usable(now.Add(minEjection-1)))

	now = now.Add(minEjection)
	require.True(t, s.Usable(now))
	require.Equal(t, StateProbing, s.State(now))
	s.Failed(now, false)
	require.False(t, s.Usable(now.Add(2*minEjection-1)), "a failed probe doubles the ejection time")

	now = now.Add(2 * minEjection)
	require.True(t, s.Usable(now))
	s.Succeeded()
	require.Equal(t, StateHealthy, s.State(now))
}

func TestUnreachableServerIsEjectedImmediately(t *testing.T) {
	now := time.Unix(1000, 0)
	var s Server
	s.Failed(now, true)
	require.False(t, s.Usable(now))
	for range 20 {
		now = now.Add(maxEjection)
		require.True(t, s.Usable(now), "no ejection exceeds maxEjection")
		s.Failed(now, true)
	}
}

// A step of the time of day neither ends nor prolongs an ejection.
func TestEndOfEjectionIsMonotonic(t *testing.T) {
	now := time.Now()
	var s Server
	s.Failed(now, true)
	require.Contains(t, s.ejectedUntil.Load().String(), " m=+")
	require.Equal(t, minEjection, s.ejectedUntil.Load().Sub(now))
}
