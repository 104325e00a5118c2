package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/config/site"
)

// Guards against streams that are refused, or joined, because the time in which their client may
// return is taken for shorter or longer than it is.
func TestResumeTimeFollowsRoute(t *testing.T) {
	for timeout, want := range map[time.Duration]time.Duration{
		time.Second:      minResumeTime,
		10 * time.Second: 20 * time.Second,
		time.Hour:        maxResumeTime,
	} {
		require.Equal(t, want, resumeTime(&site.Route{Timeout: timeout}))
	}
}
