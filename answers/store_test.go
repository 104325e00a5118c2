package answers

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/refusal"
)

var (
	limits = Limits{TTL: time.Minute, MaxAnswerBytes: 1000, MaxAccountBytes: 10000, MaxTotalBytes: 30000}
	start  = time.Unix(1000, 0)
)

func key(account, name string) Key { return Key{ClientAccount: account, RequestID: name} }

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
	got := s.Lookup(k, start.Add(limits.TTL-1))
	require.Equal(t, StateComplete, got.State)
	require.Equal(t, "answer", string(got.Answer))
	require.Equal(t, Digest{1}, got.Digest)
	require.Equal(t, StateAbsent, s.Lookup(k, start.Add(limits.TTL)).State)
	require.Zero(t, s.UsedBytes())
	require.Empty(t, s.accounts)
}

func TestRefusedOversizedAndRemovedRequests(t *testing.T) {
	s := New(limits)
	for _, name := range []string{"refused", "oversized", "forgotten"} {
		s.Begin(key("a", name), Digest{}, start)
	}
	s.Refuse(key("a", "refused"), refusal.CodeStreamBroken, refusal.Executed, start)
	s.Finish(key("a", "oversized"), make([]byte, limits.MaxAnswerBytes+1), start)
	s.Remove(key("a", "forgotten"))
	require.Equal(t, refusal.CodeStreamBroken, s.Lookup(key("a", "refused"), start).Code)
	require.Equal(t, StateNotStored, s.Lookup(key("a", "oversized"), start).State)
	_, begun := s.Begin(key("a", "forgotten"), Digest{}, start)
	require.True(t, begun)
	s.Finish(key("a", "never begun"), nil, start)
	require.Equal(t, StateAbsent, s.Lookup(key("a", "never begun"), start).State)
}

// TestMemoryIsBoundedPerAccountAndInTotal: an account with many records is bounded by
// its own limit and does not evict the records of other accounts.
func TestMemoryIsBoundedPerAccountAndInTotal(t *testing.T) {
	s := New(limits)
	store := func(account string, n int) {
		k := key(account, fmt.Sprintf("r-%d", n))
		s.Begin(k, Digest{}, start)
		s.Finish(k, make([]byte, limits.MaxAnswerBytes), start)
		require.LessOrEqual(t, s.UsedBytes(), limits.MaxTotalBytes)
	}
	store("small", 0)
	for n := range 1000 {
		store("large", n)
		require.LessOrEqual(t, s.accounts["large"].bytes, limits.MaxAccountBytes)
	}
	require.Equal(t, StateComplete, s.Lookup(key("small", "r-0"), start).State)
	for n := range 1000 {
		store(fmt.Sprintf("large-%d", n%4), n)
	}
	require.Equal(t, StateComplete, s.Lookup(key("small", "r-0"), start).State)
	s.Sweep(start.Add(limits.TTL))
	require.Zero(t, s.UsedBytes())
	require.Empty(t, s.accounts)
}
