package state

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/controlv1"
)

func beginCall(s *State, atMS int64, account, key, dispatch, body string) *controlv1.BeginCallResponse {
	return s.Apply(&controlv1.Command{TimeUnixMs: atMS, Body: &controlv1.Command_BeginCall{BeginCall: &controlv1.BeginCallRequest{
		ClientAccount: account, Key: key, BodyDigest: []byte(body), DispatchId: dispatch, Entry: "e", Server: "s",
	}}}).GetBeginCall()
}

func finishCall(s *State, atMS int64, account, key string, attempt uint32, state controlv1.CallState, answer string) bool {
	return s.Apply(&controlv1.Command{TimeUnixMs: atMS, Body: &controlv1.Command_FinishCall{FinishCall: &controlv1.FinishCallRequest{
		ClientAccount: account, Key: key, Attempt: attempt, State: state, StatusCode: 200, Answer: []byte(answer),
	}}}).GetFinishCall().Recorded
}

func expireCalls(s *State, atMS, finishedBefore, begunBefore int64) {
	s.Apply(&controlv1.Command{TimeUnixMs: atMS, Body: &controlv1.Command_ExpireCalls{ExpireCalls: &controlv1.ExpireCallsCommand{
		FinishedBeforeUnixMs: finishedBefore, BegunBeforeUnixMs: begunBefore,
	}}})
}

// restored returns a copy of a state that was encoded and restored. It checks
// that the copy has the same encoding.
func restored(t *testing.T, s *State) *State {
	t.Helper()
	data, err := s.Snapshot()
	require.NoError(t, err)
	next, err := Restore(data)
	require.NoError(t, err)
	again, err := next.Snapshot()
	require.NoError(t, err)
	require.Equal(t, data, again)
	return next
}

const (
	dispatch   = controlv1.BeginOutcome_BEGIN_OUTCOME_DISPATCH
	inProgress = controlv1.BeginOutcome_BEGIN_OUTCOME_IN_PROGRESS
	unknown    = controlv1.BeginOutcome_BEGIN_OUTCOME_UNKNOWN
	finished   = controlv1.BeginOutcome_BEGIN_OUTCOME_FINISHED
	mismatch   = controlv1.BeginOutcome_BEGIN_OUTCOME_BODY_MISMATCH
	full       = controlv1.BeginOutcome_BEGIN_OUTCOME_FULL
)

func TestCallIsDispatchedByOneEntry(t *testing.T) {
	s := New()
	require.Equal(t, dispatch, beginCall(s, 1, "a", "k", "one", "body").Outcome)
	require.Equal(t, inProgress, beginCall(s, 1, "a", "k", "two", "body").Outcome)
	require.Equal(t, dispatch, beginCall(s, 1, "a", "k", "one", "body").Outcome, "a retry after a lost response")
	require.Equal(t, mismatch, beginCall(s, 1, "a", "k", "one", "other").Outcome)
	require.Equal(t, dispatch, beginCall(s, 1, "b", "k", "three", "other").Outcome, "equal keys of different accounts are independent")
	s = restored(t, s)
	require.True(t, finishCall(s, 2, "a", "k", 1, controlv1.CallState_CALL_STATE_FINISHED, "answer"))
	require.False(t, finishCall(s, 3, "a", "k", 1, controlv1.CallState_CALL_STATE_NOT_RUN, ""), "a finished call does not change")
	s = restored(t, s)
	again := beginCall(s, 4, "a", "k", "four", "body")
	require.Equal(t, finished, again.Outcome)
	require.Equal(t, "answer", string(again.Record.Answer))
}

func TestAbandonedCallNeverRunsAgain(t *testing.T) {
	s := New()
	beginCall(s, 1000, "a", "k", "one", "body")
	expireCalls(s, 1500, 0, 900)
	require.Equal(t, inProgress, beginCall(s, 1600, "a", "k", "two", "body").Outcome)
	s = restored(t, s)
	expireCalls(s, 3000, 0, 2000)
	require.Equal(t, unknown, beginCall(s, 3001, "a", "k", "two", "body").Outcome)
	require.True(t, finishCall(s, 3002, "a", "k", 1, controlv1.CallState_CALL_STATE_FINISHED, "late"), "the entry was slow and had not crashed")
	require.Equal(t, finished, beginCall(s, 3003, "a", "k", "two", "body").Outcome)
}

func TestRetentionStartsAtLastChange(t *testing.T) {
	s := New()
	beginCall(s, 1000, "a", "k", "one", "body")
	finishCall(s, 5000, "a", "k", 1, controlv1.CallState_CALL_STATE_OUTCOME_UNKNOWN, "")
	finishCall(s, 9000, "a", "k", 1, controlv1.CallState_CALL_STATE_FINISHED, "x")
	s = restored(t, s)
	expireCalls(s, 9500, 8000, 8000)
	require.Equal(t, finished, beginCall(s, 9600, "a", "k", "two", "body").Outcome)
	expireCalls(s, 20000, 9001, 9001)
	require.Zero(t, s.callCount)
	require.Zero(t, s.answerBytes)
	require.Empty(t, s.calls)
}

func TestCallIsRetriedOnlyIfItDidNotRun(t *testing.T) {
	s := New()
	beginCall(s, 1, "a", "k", "one", "body")
	finishCall(s, 2, "a", "k", 1, controlv1.CallState_CALL_STATE_NOT_RUN, "")
	second := beginCall(s, 3, "a", "k", "two", "body")
	require.Equal(t, dispatch, second.Outcome)
	require.EqualValues(t, 2, second.Record.Attempt)
	require.False(t, finishCall(s, 4, "a", "k", 1, controlv1.CallState_CALL_STATE_FINISHED, "late"), "the first attempt is over")
}

func TestLargeAccountDoesNotExhaustCallTable(t *testing.T) {
	s := New()
	for i := range maxCallsPerAccount {
		beginCall(s, 1, "large", fmt.Sprint(i), "d", "b")
	}
	require.Equal(t, full, beginCall(s, 1, "large", "one more", "d", "b").Outcome)
	require.Equal(t, dispatch, beginCall(s, 1, "small", "k", "d", "b").Outcome)
	s.callCount = maxCalls
	for i := range reservedCallsPerAccount - 1 {
		require.Equal(t, dispatch, beginCall(s, 1, "small", fmt.Sprint("k", i), "d", "b").Outcome)
	}
	require.Equal(t, full, beginCall(s, 1, "small", "more", "d", "b").Outcome)
}

func TestSavedAnswerBytesAreBounded(t *testing.T) {
	s := New()
	answer := string(make([]byte, MaxAnswerBytes))
	count := maxAnswerBytesPerAccount/MaxAnswerBytes + 1
	for i := range count {
		beginCall(s, 1, "a", fmt.Sprint(i), "d", "b")
		finishCall(s, 2, "a", fmt.Sprint(i), 1, controlv1.CallState_CALL_STATE_FINISHED, answer)
	}
	require.LessOrEqual(t, s.answerBytes, maxAnswerBytesPerAccount)
	last := beginCall(s, 3, "a", fmt.Sprint(count-1), "d", "b")
	require.True(t, last.Record.AnswerOmitted)
	require.Empty(t, last.Record.Answer)
}

func TestFencingNumbersIncrease(t *testing.T) {
	s := New()
	acquire := func(atMS int64, holder, id string, number uint64, term uint32) *controlv1.AcquireLeaseResponse {
		return s.Apply(&controlv1.Command{TimeUnixMs: atMS, Body: &controlv1.Command_AcquireLease{AcquireLease: &controlv1.AcquireLeaseRequest{
			Name: "l", Holder: holder, AcquireId: id, FencingNumber: number, TermMs: term,
		}}}).GetAcquireLease()
	}
	first := acquire(1000, "a", "1", 0, 100)
	require.True(t, first.Granted)
	require.Equal(t, first.FencingNumber, acquire(1010, "a", "1", 0, 100).FencingNumber, "a retry after a lost response")
	require.False(t, acquire(1020, "b", "2", 0, 100).Granted)
	require.False(t, acquire(1020, "a", "3", 0, 100).Granted, "another process with the same holder name")
	s = restored(t, s)
	second := acquire(1200, "b", "2", 0, 100)
	require.Greater(t, second.FencingNumber, first.FencingNumber)
	require.False(t, acquire(1210, "a", "", first.FencingNumber, 100).Granted, "an expired lease cannot be renewed once another holder has it")
	// A new leader whose clock is behind must not revive the expired lease.
	require.False(t, acquire(5, "a", "", first.FencingNumber, 100).Granted)
	expireCalls(s, 1_000_000_000, 0, 0)
	require.Empty(t, s.leases)
	s = restored(t, s)
	require.Greater(t, acquire(1_000_000_001, "a", "9", 0, 100).FencingNumber, second.FencingNumber)
}

func FuzzRestore(f *testing.F) {
	s := New()
	beginCall(s, 1, "a", "k", "one", "body")
	data, err := s.Snapshot()
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Restore(data)
		if err != nil {
			return
		}
		_, err = s.Snapshot()
		require.NoError(t, err)
	})
}
