package link

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const mebibyte = 1 << 20

var testStart = time.Unix(1_000_000, 0)

func TestQueuedBytesDrain(t *testing.T) {
	l := New(mebibyte, 1)
	first := l.Begin(mebibyte)
	second := l.Begin(mebibyte)
	require.Equal(t, 2.0, l.State(testStart).QueueSeconds())
	first.Complete(mebibyte, time.Second, testStart)
	first.Complete(mebibyte, time.Second, testStart)
	require.Equal(t, int64(mebibyte), l.State(testStart).QueuedBytes, "ending a read twice must not change the queue")
	second.Cancel()
	require.Zero(t, l.State(testStart).QueuedBytes)
}

func TestRateEstimateAdaptsAndRecovers(t *testing.T) {
	l := New(mebibyte, 1)
	for range 30 {
		l.Begin(mebibyte).Complete(mebibyte, 10*time.Second, testStart)
	}
	require.InDelta(t, 0.1*mebibyte, l.State(testStart).BytesPerSecond, 0.01*mebibyte)
	later := testStart.Add(20 * rateRecoveryHalfLife)
	require.InDelta(t, mebibyte, l.State(later).BytesPerSecond, 0.01*mebibyte, "the estimate must return to the nominal rate")
}

func TestConsecutiveFailuresBackOff(t *testing.T) {
	cases := []struct {
		name     string
		failures int
		backoff  time.Duration
	}{
		{"first", 1, initialBackoff},
		{"third", 3, 4 * initialBackoff},
		{"many", 40, maxBackoff},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, now := New(mebibyte, 1), testStart
			for i := range c.failures {
				l.Begin(1).Fail(now)
				l.Begin(1).Fail(now) // started before the backoff
				if i < c.failures-1 {
					now = now.Add(maxBackoff)
				}
			}
			require.True(t, l.State(now.Add(c.backoff-time.Millisecond)).Down)
			state := l.State(now.Add(c.backoff))
			require.False(t, state.Down)
			require.True(t, state.Probing)
			l.Begin(1).Complete(1, time.Millisecond, now.Add(c.backoff))
			require.False(t, l.State(now.Add(c.backoff)).Probing)
		})
	}
}

func TestWriteBudgetIsShared(t *testing.T) {
	l := New(mebibyte, 4)
	written := 0
	for i := range 100 {
		for l.AllowWrite(mebibyte/64, testStart.Add(time.Duration(i)*100*time.Millisecond)) {
			written += mebibyte / 64
		}
	}
	const seconds = 10
	budget := writeFraction * mebibyte / 4
	require.LessOrEqual(t, float64(written), budget*(seconds+writeBurst.Seconds()))
	require.Greater(t, float64(written), budget*(seconds-1))
}

func TestSetConfigureKeepsExistingLinks(t *testing.T) {
	s := NewSet()
	require.Nil(t, s.Get("store-a"))
	s.Configure(map[string]float64{"store-a": mebibyte, "store-b": mebibyte}, 2, testStart)
	a := s.Get("store-a")
	s.Configure(map[string]float64{"store-a": 2 * mebibyte}, 4, testStart)
	require.Same(t, a, s.Get("store-a"))
	require.Equal(t, 2.0*mebibyte, a.State(testStart).BytesPerSecond)
	require.Nil(t, s.Get("store-b"))
}
