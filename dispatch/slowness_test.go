package dispatch

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/placement"
)

func TestSlownessFadesToUsual(t *testing.T) {
	var s Slowness
	now := time.UnixMilli(1e12)
	require.Equal(t, 1.0, s.Factor(now))
	s.State(3, now)
	require.Equal(t, 3.0, s.Factor(now))
	require.Equal(t, 3.0, s.Factor(now.Add(-time.Second)))
	require.InDelta(t, 1+2/math.E, s.Factor(now.Add(slownessHold)), 1e-9)
	require.InDelta(t, 1, s.Factor(now.Add(time.Minute)), 1e-9)
	s.State(9, now.Add(-time.Millisecond))
	require.Equal(t, 3.0, s.Factor(now), "an older statement")
	for _, invalid := range []float64{0, -1, math.NaN()} {
		s.State(invalid, now)
		require.Equal(t, 3.0, s.Factor(now))
	}
	s.State(1e300, now)
	require.Equal(t, maxSlowness, s.Factor(now))
	s.State(1e-300, now)
	require.Equal(t, minSlowness, s.Factor(now))
}

// Servers become slow by turns. A kept context outweighs another server's speed only while
// its server is not much slower, and work returns as the statement ages.
func TestSlowServerAgainstKeptContext(t *testing.T) {
	now := time.UnixMilli(1e12)
	var kept, other BackendState
	job := placement.Job{PromptTokens: 1000, PrefillRate: 10}
	choose := func(p *Policy, at time.Time) int {
		servers := make([]placement.Server, 2)
		kept.View(&servers[0], p, Load{}, "", at)
		other.View(&servers[1], p, Load{}, "", at)
		servers[0].CachedTokens, servers[0].Home, servers[1].Home = 500, true, true
		return placement.Pick(placement.ExpectedTime{}, servers, job, func(int) bool { return false }, 0)
	}
	p := &Policy{}
	require.Equal(t, 0, choose(p, now))
	kept.StateSlowness(1.5, now)
	require.Equal(t, 0, choose(p, now))
	kept.StateSlowness(3, now)
	require.Equal(t, 1, choose(p, now))
	require.Equal(t, 0, choose(p, now.Add(2*slownessHold)))
	without, err := Without("server-slowness")
	require.NoError(t, err)
	require.Equal(t, 0, choose(without, now))
}
