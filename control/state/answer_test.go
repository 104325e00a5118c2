package state

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/controlv1"
)

// TestAnswerOverLimitIsMarkedOmitted guards against replaying a truncated or
// empty answer: a recorded answer is returned complete or is marked as omitted,
// also after a restore from a snapshot.
func TestAnswerOverLimitIsMarkedOmitted(t *testing.T) {
	cases := []struct {
		name           string
		length         int
		omittedByEntry bool
		wantOmitted    bool
	}{
		{"empty", 0, false, false},
		{"longest saved", MaxAnswerBytes, false, false},
		{"too long", MaxAnswerBytes + 1, false, true},
		{"omitted by the entry", 0, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := New()
			begin := &controlv1.BeginCallRequest{ClientAccount: "a", Key: "k", Entry: "entry-1", DispatchId: "d-1"}
			require.Equal(t, controlv1.BeginOutcome_BEGIN_OUTCOME_DISPATCH, s.beginCall(begin).Outcome)
			require.True(t, s.finishCall(&controlv1.FinishCallRequest{
				ClientAccount: "a", Key: "k", Attempt: 1, State: controlv1.CallState_CALL_STATE_FINISHED,
				Answer: make([]byte, c.length), AnswerOmitted: c.omittedByEntry,
			}).Recorded)
			raw, err := s.Snapshot()
			require.NoError(t, err)
			restored, err := Restore(raw)
			require.NoError(t, err)
			for _, s := range []*State{s, restored} {
				replayed := s.beginCall(&controlv1.BeginCallRequest{ClientAccount: "a", Key: "k", Entry: "entry-2", DispatchId: "d-2"})
				require.Equal(t, controlv1.BeginOutcome_BEGIN_OUTCOME_FINISHED, replayed.Outcome)
				require.Equal(t, c.wantOmitted, replayed.Record.AnswerOmitted)
				if !c.wantOmitted {
					require.Len(t, replayed.Record.Answer, c.length)
				}
			}
		})
	}
}
