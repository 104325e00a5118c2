package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/fleetv1"
)

// TestEvidenceReachesPeersWithoutLoad guards against evidence that is sent only with load,
// or only once, so that a lost update loses it.
func TestEvidenceReachesPeersWithoutLoad(t *testing.T) {
	all, entries := startPeers(t, 1, 2)
	received := make(chan *fleetv1.CrashEvidence, 16)
	report := func(time.Time) *fleetv1.CrashEvidence {
		return &fleetv1.CrashEvidence{Answered: []*fleetv1.AnsweredCause{{Cause: &fleetv1.CrashCause{Part: "p"}}}}
	}
	all[0].allEvidence = report
	all[0].evidence = func(since uint64, now time.Time) (*fleetv1.CrashEvidence, uint64) {
		require.Zero(t, since)
		return report(now), 1
	}
	all[1].onEvidence = func(e *fleetv1.CrashEvidence, from string) {
		require.Equal(t, "0-0", from)
		received <- e
	}
	all[0].sendUpdates(t.Context(), entries)
	all[0].evidenceChanged(1, true)
	all[0].sendUpdates(t.Context(), entries)
	select {
	case e := <-received:
		require.Len(t, e.Answered, 1)
	case <-time.After(5 * time.Second):
		t.Fatal("no evidence received")
	}
	all[0].sendUpdates(t.Context(), entries)
	require.Empty(t, received, "nothing has changed")
}

// TestEvidenceIsRepeated guards against a lost update that loses evidence: all of it is sent to one
// peer after the other.
func TestEvidenceIsRepeated(t *testing.T) {
	var s evidenceSchedule
	now := time.Now()
	require.False(t, s.due(now))
	s.update(1, true)
	require.True(t, s.due(now))
	since, due := s.takeNews()
	require.True(t, due)
	require.Zero(t, since)
	const recipients, rounds = 3, 4
	turns := make(map[int]int)
	for at := time.Duration(0); at < rounds*recipients*evidenceInterval; at += refreshInterval {
		if turn := s.takeTurn(recipients, now.Add(at)); turn >= 0 {
			turns[turn]++
		}
	}
	require.Len(t, turns, recipients)
	for turn, count := range turns {
		require.Equal(t, rounds, count, "recipient %d", turn)
	}
	require.Equal(t, -1, s.takeTurn(0, now.Add(time.Hour)), "no recipient")
	s.update(1, false)
	require.False(t, s.due(now.Add(time.Hour)))
}
