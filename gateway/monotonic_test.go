package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/config/site"
)

// A step of the wall clock must neither end a drain nor count as silence of a server: what is kept of a
// time has its monotonic reading, by which times are compared.
func TestKeptTimesAreMonotonic(t *testing.T) {
	now := time.Now()
	kept := fromMonotonic(monotonic(now))
	require.Contains(t, kept.String(), " m=+")
	require.Zero(t, kept.Sub(now))
	require.True(t, fromMonotonic(0).IsZero())
	w := &stallWatch{call: &call{route: &site.Route{}}, stream: &stream{}}
	w.progress()
	require.Contains(t, fromMonotonic(w.lastEventAt.Load()).String(), " m=+")
}
