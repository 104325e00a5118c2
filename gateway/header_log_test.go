package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestHeaderLogOnceAMinute(t *testing.T) {
	var l headerLog
	now := time.UnixMilli(1e12)
	due, responses := l.logNow(now)
	require.True(t, due)
	require.EqualValues(t, 1, responses)
	for range 5 {
		due, _ = l.logNow(now.Add(headerLogInterval - 1))
		require.False(t, due)
	}
	due, responses = l.logNow(now.Add(headerLogInterval))
	require.True(t, due)
	require.EqualValues(t, 6, responses)
}
