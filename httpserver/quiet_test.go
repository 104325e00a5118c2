package httpserver

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The end of a standstill begins the time without requests anew: requests may wait in sockets.
func TestStandstillIsNoQuiet(t *testing.T) {
	begin := time.Unix(1000, 0)
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	q := NewQuiet(begin, 50*time.Millisecond)
	for ms := 5; ms <= 60; ms += 5 {
		require.Equal(t, time.Duration(ms)*time.Millisecond, q.Check(at(ms), begin))
	}
	require.Equal(t, 110*time.Millisecond, q.Check(at(110), begin), "a check that is a little late")
	require.Zero(t, q.Check(at(400), begin), "behind 0.29 s without a check")
	require.Equal(t, 20*time.Millisecond, q.Check(at(420), begin))
	require.Equal(t, 10*time.Millisecond, q.Check(at(440), at(430)), "a request has arrived")
}
