package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func part(name string) CrashCause { return PartCause("chat", name) }

func run(n int) ServerRun { return ServerRun{fmt.Sprint("server-", n), int64(n)} }

// crashed lets a server end under requests whose responses had begun.
func crashed(e *CrashEvidence, n int, at time.Time, parts ...string) {
	suspects := make([]Suspect, len(parts))
	for i, p := range parts {
		suspects[i] = Suspect{Cause: part(p), Begun: true}
	}
	e.Interrupted(run(n), suspects, at)
	e.Ended(run(n), at)
}

func isBlocked(e *CrashEvidence, at time.Time, names ...string) bool {
	_, _, blocked := e.Blocked(parts(names...), nil, at)
	return blocked
}

// TestPartThatCrashesServersIsQuarantined guards against a part that ends one server
// after the other.
func TestPartThatCrashesServersIsQuarantined(t *testing.T) {
	var e CrashEvidence
	require.True(t, e.Empty(start))
	for n := range 3 {
		require.False(t, isBlocked(&e, start.Add(time.Duration(n)*time.Second), "bad", "sound"))
		crashed(&e, n, start.Add(time.Duration(n)*time.Second), "bad", fmt.Sprint("rare-", n))
	}
	require.True(t, isBlocked(&e, start.Add(3*time.Second), "sound", "bad"))
	require.False(t, isBlocked(&e, start.Add(3*time.Second), "sound", "rare-1"))
}

func parts(names ...string) (all []CrashCause) {
	for _, name := range names {
		all = append(all, part(name))
	}
	return all
}

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// TestPartsBesideTheCauseAreNotBlamed guards against a shared part in quarantine: answered
// since, or only beside the part that explains the crashes.
func TestPartsBesideTheCauseAreNotBlamed(t *testing.T) {
	var e CrashEvidence
	e.Answered(parts("shared"), at(-60))
	for n := range 5 {
		crashed(&e, n, at(float64(n)), "bad", "shared", fmt.Sprint("beside-", n%2))
	}
	require.True(t, isBlocked(&e, at(6), "bad"))
	require.False(t, isBlocked(&e, at(6), "shared", "beside-0", "beside-1"))
}

// TestInterruptionsWithoutEndBlameNothing guards against a part that is blamed for
// connections that were reset, also if its server ends later.
func TestInterruptionsWithoutEndBlameNothing(t *testing.T) {
	var e CrashEvidence
	for n := range 7 {
		e.Interrupted(run(n), []Suspect{{Cause: part("sound"), Begun: true}}, at(float64(n)))
		require.True(t, e.AwaitsEnd(run(n)))
	}
	require.False(t, isBlocked(&e, at(8), "sound"))
	for n := range 7 {
		e.Alive(run(n), at(8))
		require.False(t, e.AwaitsEnd(run(n)))
		e.Ended(run(n), at(9+float64(n)))
	}
	require.False(t, isBlocked(&e, at(20), "sound"))
}

// TestServersThatEndTogetherBlameNothing guards against a part that is blamed for the loss of
// a failure domain.
func TestServersThatEndTogetherBlameNothing(t *testing.T) {
	var e CrashEvidence
	for n := range 7 {
		crashed(&e, n, at(0.02*float64(n)), "sound")
	}
	require.False(t, isBlocked(&e, at(5), "sound"))
}

// TestAnsweredPartNeedsMoreEvidence guards against a quarantine of a part that was answered
// shortly before.
func TestAnsweredPartNeedsMoreEvidence(t *testing.T) {
	var e CrashEvidence
	e.Answered(parts("known"), at(-60))
	for n := range 6 {
		require.False(t, isBlocked(&e, at(float64(n)), "known"), "after %d crashes", n)
		crashed(&e, n, at(float64(n)), "known")
	}
	require.True(t, isBlocked(&e, at(6), "known"))
	e = CrashEvidence{}
	for n := range 20 {
		crashed(&e, n, at(float64(n)), "sound")
		e.Answered(parts("sound"), at(float64(n)+0.3))
	}
	require.False(t, isBlocked(&e, at(21), "sound"))
}

// TestReportsMergeInAnyOrder guards against instances that come to different results: each
// sees two crashes, in part another instance sees the end.
func TestReportsMergeInAnyOrder(t *testing.T) {
	var seen [3]CrashEvidence
	for n := range 6 {
		suspects := []Suspect{{Cause: part("bad"), Begun: true}, {Cause: part(fmt.Sprint("beside-", n)), Begun: true}}
		seen[n%3].Interrupted(run(n), suspects, at(float64(n)))
		seen[(n+1)%3].Interrupted(run(n), []Suspect{{Cause: part("long"), Begun: false}}, at(float64(n)))
		seen[(n+1)%3].Ended(run(n), at(float64(n)))
	}
	seen[2].Answered(parts("long"), at(5.5))
	orders := [][]int{{0, 1, 2}, {2, 1, 0}, {1, 0, 2}, {2, 2, 1, 1, 0, 0, 2}}
	for _, order := range orders {
		var e CrashEvidence
		for _, i := range order {
			e.Merge(seen[i].Report(at(7)), at(7.1))
		}
		require.True(t, isBlocked(&e, at(8), "bad"), "%v", order)
		require.False(t, isBlocked(&e, at(8), "long", "beside-1"), "%v", order)
		require.False(t, e.Merge(e.Report(at(8)), at(8.1)), "own report is news")
	}
}

// TestRequestIsNotRepeatedUnderSuspectPart guards against a repeat that ends a second server
// although another one has ended under the same part.
func TestRequestIsNotRepeatedUnderSuspectPart(t *testing.T) {
	var e CrashEvidence
	suspects := []Suspect{{Cause: part("bad"), Begun: true}, {Cause: part("shared"), Begun: true}}
	e.Answered(parts("shared"), at(-1))
	crashed(&e, 1, at(0), "bad", "shared")
	require.True(t, e.RepeatAllowed(run(1), suspects, at(0)), "the first crash")
	require.False(t, e.RepeatAllowed(run(2), suspects, at(1)))
	require.True(t, e.RepeatAllowed(run(2), suspects[1:], at(1)), "answered before")
	e.Answered(parts("bad"), at(2))
	require.True(t, e.RepeatAllowed(run(2), suspects, at(3)), "answered since")
}

// quarantinedEvidence returns evidence with a part in quarantine.
func quarantinedEvidence(t *testing.T) *CrashEvidence {
	e := &CrashEvidence{}
	for n := range 3 {
		crashed(e, n, at(float64(n)), "bad")
	}
	require.True(t, isBlocked(e, at(3), "bad"))
	return e
}

func mayTry(CrashCause) bool { return true }

// TestTrialEndsQuarantine guards against a quarantine that never ends, and against a second
// trial while one is under way.
func TestTrialEndsQuarantine(t *testing.T) {
	e, other := quarantinedEvidence(t), quarantinedEvidence(t)
	require.False(t, e.Sent(parts("sound"), at(4)))
	_, until, blocked := e.Blocked(parts("bad"), mayTry, at(4))
	require.True(t, blocked)
	require.Equal(t, at(2).Add(quarantineTime), until, "no trial before the end")
	require.True(t, isBlocked(e, until, "bad"), "another instance may try")
	_, _, blocked = e.Blocked(parts("bad"), mayTry, until)
	require.False(t, blocked)
	require.True(t, e.Sent(parts("bad"), until))
	_, next, blocked := e.Blocked(parts("bad"), mayTry, until.Add(time.Second))
	require.True(t, blocked, "a trial is under way")
	require.Equal(t, until.Add(2*quarantineTime), next)

	require.True(t, other.Merge(e.Report(until), until))
	_, _, blocked = other.Blocked(parts("bad"), mayTry, until.Add(time.Second))
	require.True(t, blocked, "the other instance knows of the trial")

	require.True(t, e.Answered(parts("bad"), until.Add(2*time.Second)))
	require.False(t, isBlocked(e, until.Add(2*time.Second), "bad"))
	require.True(t, other.Merge(e.Report(until.Add(2*time.Second)), until.Add(2*time.Second)))
	require.False(t, isBlocked(other, until.Add(3*time.Second), "bad"))
	stale := quarantinedEvidence(t)
	e.Merge(stale.Report(until.Add(3*time.Second)), until.Add(3*time.Second))
	require.False(t, isBlocked(e, until.Add(4*time.Second), "bad"), "an old report renews the quarantine")
}

// TestCrashInTrialRenewsQuarantine guards against five more crashes after a trial.
func TestCrashInTrialRenewsQuarantine(t *testing.T) {
	e := quarantinedEvidence(t)
	ends := at(2).Add(quarantineTime)
	require.True(t, e.Sent(parts("bad"), ends))
	crashed(e, 9, ends.Add(time.Second), "bad", "sound")
	_, _, blocked := e.Blocked(parts("bad"), mayTry, ends.Add(quarantineTime))
	require.True(t, blocked)
	require.False(t, isBlocked(e, ends.Add(5*time.Second), "sound"))
}

// TestEvidenceIsBoundedAndExpires guards against clients that invent parts.
func TestEvidenceIsBoundedAndExpires(t *testing.T) {
	t.Parallel()
	var e CrashEvidence
	for n := range 3 * maxAnswered {
		e.Answered(parts(fmt.Sprint("invented-", n)), at(0))
	}
	for n := range 3 * maxCrashes {
		var invented []string
		for i := range 2 * maxSuspects {
			invented = append(invented, fmt.Sprint("invented-", n, "-", i))
		}
		crashed(&e, n, at(float64(n)), invented...)
	}
	var r EvidenceReport
	for n := range 2 * maxQuarantined {
		r.Quarantined = append(r.Quarantined, QuarantineReport{Cause: part(fmt.Sprint("invented-", n)), Round: 1, Remaining: time.Minute})
	}
	e.Merge(r, at(200))
	require.LessOrEqual(t, len(e.answered)+len(e.answeredBefore), 2*maxAnswered)
	require.LessOrEqual(t, len(e.crashes), maxCrashes)
	require.LessOrEqual(t, len(e.quarantined), maxQuarantined)
	for _, c := range e.crashes {
		require.LessOrEqual(t, len(c.suspects), maxSuspects)
	}
	require.False(t, e.Empty(at(200)))
	require.True(t, e.Empty(at(200).Add(maxQuarantineTime+quarantineMemory)))
}

func BenchmarkBlockedWithOneQuarantine(b *testing.B) {
	var e CrashEvidence
	for n := range 3 {
		crashed(&e, n, at(float64(n)), "bad")
	}
	asked := parts("first", "middle", "other")
	b.ReportAllocs()
	for b.Loop() {
		e.Blocked(asked, nil, at(4))
	}
}

// TestPartQuarantinedAtOneServiceNeedsOneCrashAtAnother guards against a route that is split
// among services, each of which would need all its own crashes.
func TestPartQuarantinedAtOneServiceNeedsOneCrashAtAnother(t *testing.T) {
	bad, sound := PartCause("chat-b", "bad"), PartCause("chat-b", "sound")
	blocked := func(e *CrashEvidence, p CrashCause) bool {
		_, _, blocked := e.Blocked([]CrashCause{p}, nil, at(10))
		return blocked
	}
	other := func(answered bool) *CrashEvidence {
		e := &CrashEvidence{}
		for n := range 3 {
			crashed(e, n, at(float64(n)), "bad")
		}
		if answered {
			e.Answered([]CrashCause{bad}, at(3))
		}
		e.Interrupted(run(9), []Suspect{{Cause: bad, Begun: true}, {Cause: sound, Begun: true}}, at(4))
		e.Ended(run(9), at(4))
		e.Expire(at(10))
		return e
	}
	e := other(false)
	require.True(t, blocked(e, bad))
	require.False(t, blocked(e, sound))
	require.False(t, e.RepeatAllowed(run(10), []Suspect{{Cause: PartCause("chat-c", "bad"), Begun: true}}, at(10)))
	require.False(t, blocked(other(true), bad), "servers of that service answer it")
}
