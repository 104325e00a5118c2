package answers

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/refusal"
)

var (
	limits = Limits{Keep: time.Minute, AnswerBytes: 1000, AccountBytes: 10000, TotalBytes: 30000}
	start  = time.Unix(1000, 0)
)

func key(account, name string) Key { return Key{ClientAccount: account, Name: name} }

func TestRecordLifecycle(t *testing.T) {
	s := New(limits)
	k := key("a", "r-1")
	require.Equal(t, StateAbsent, s.Lookup(k, start).State)
	_, begun := s.Begin(k, Digest{1}, start)
	require.True(t, begun)
	existing, begun := s.Begin(k, Digest{2}, start)
	require.False(t, begun, "a request begins only once")
	require.Equal(t, StateRunning, existing.State)
	require.Equal(t, StateAbsent, s.Lookup(key("b", "r-1"), start).State, "another account's request")

	s.Finish(k, []byte("answer"), start)
	s.Finish(k, []byte("second answer"), start)
	got := s.Lookup(k, start.Add(limits.Keep-1))
	require.Equal(t, StateWhole, got.State)
	require.Equal(t, "answer", string(got.Answer))
	require.Equal(t, Digest{1}, got.Digest)
	require.Equal(t, StateAbsent, s.Lookup(k, start.Add(limits.Keep)).State)
	require.Zero(t, s.Bytes())
	require.Empty(t, s.accounts)
}

func TestRefusedOversizedAndForgottenRequests(t *testing.T) {
	s := New(limits)
	for _, name := range []string{"refused", "oversized", "forgotten"} {
		s.Begin(key("a", name), Digest{}, start)
	}
	s.Refuse(key("a", "refused"), refusal.CodeStreamBroken, refusal.DidRun, start)
	s.Finish(key("a", "oversized"), make([]byte, limits.AnswerBytes+1), start)
	s.Forget(key("a", "forgotten"))
	require.Equal(t, refusal.CodeStreamBroken, s.Lookup(key("a", "refused"), start).Code)
	require.Equal(t, StateNotKept, s.Lookup(key("a", "oversized"), start).State)
	_, begun := s.Begin(key("a", "forgotten"), Digest{}, start)
	require.True(t, begun)
	s.Finish(key("a", "never begun"), nil, start)
	require.Equal(t, StateAbsent, s.Lookup(key("a", "never begun"), start).State)
}

// A large account is bounded by its own limit and does not evict the records of
// others.
func TestMemoryIsBoundedPerAccountAndInTotal(t *testing.T) {
	s := New(limits)
	store := func(account string, n int) {
		k := key(account, fmt.Sprintf("r-%d", n))
		s.Begin(k, Digest{}, start)
		s.Finish(k, make([]byte, limits.AnswerBytes), start)
		require.LessOrEqual(t, s.Bytes(), limits.TotalBytes)
	}
	store("small", 0)
	for n := range 1000 {
		store("large", n)
		require.LessOrEqual(t, s.accounts["large"].bytes, limits.AccountBytes)
	}
	require.Equal(t, StateWhole, s.Lookup(key("small", "r-0"), start).State)
	for n := range 1000 {
		store(fmt.Sprintf("large-%d", n%4), n)
	}
	require.Equal(t, StateWhole, s.Lookup(key("small", "r-0"), start).State)
	s.Sweep(start.Add(limits.Keep))
	require.Zero(t, s.Bytes())
	require.Empty(t, s.accounts)
}
