package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSlowStartIsNotTreatedAsPause: on a busy machine, seconds may pass between
// creating an entry and its first share update. The entry must not refuse
// requests then, as it does after a process pause.
func TestSlowStartIsNotTreatedAsPause(t *testing.T) {
	e := startEntry(t)
	a := e.admitter
	account, _ := e.config.View().Authenticate(testKey)
	require.NotNil(t, account)
	updateShares := func(now time.Time) {
		a.mu.Lock()
		defer a.mu.Unlock()
		e.updateShares(now)
	}
	first := a.clockStart.Add(maxShareUpdateGap + time.Second)
	updateShares(first)
	end, refused := a.beginRequest(account, first)
	require.Nil(t, refused)
	end()

	later := first.Add(maxShareUpdateGap)
	updateShares(later)
	_, refused = a.beginRequest(account, later)
	require.NotNil(t, refused, "a paused process must wait for current data from the others")
}
