package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/config"
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

// A prompt must leave the queue while an engine can still begin its response in the client's time,
// not when that time is over.
func TestPromptDoesNotWaitPastItsLatestStart(t *testing.T) {
	const firstToken = 400 * time.Millisecond
	a := &admitter{}
	now := time.Now()
	p := &prompt{received: now, firstTokenTimeout: time.Second}
	p.deployment = &config.Deployment{Name: "d"}
	require.Equal(t, time.Second, a.latestStart(p, now).Sub(now), "nothing known")
	for range 50 {
		a.recordStart("d", firstToken, now)
		a.recordStart("other", time.Hour, now)
	}
	require.Equal(t, time.Second-firstToken, a.latestStart(p, now).Sub(now))
}
