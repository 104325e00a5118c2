package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSlowStartIsNoPause: on a busy machine seconds may pass between the making
// of an entry and its first look at the others; its callers must not be refused
// for that as if the process had been paused.
func TestSlowStartIsNoPause(t *testing.T) {
	e := startEntry(t)
	a := e.admitter
	account, _ := e.config.View().Authenticate(testKey)
	require.NotNil(t, account)
	look := func(now time.Time) {
		a.mu.Lock()
		defer a.mu.Unlock()
		e.look(now)
	}
	first := a.started.Add(maxLookGap + time.Second)
	look(first)
	end, refused := a.begin(account, first)
	require.Nil(t, refused)
	end()

	later := first.Add(maxLookGap)
	look(later)
	_, refused = a.begin(account, later)
	require.NotNil(t, refused, "a process that was paused waits until the others' word is new")
}
