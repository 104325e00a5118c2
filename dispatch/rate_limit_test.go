package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func limitOf(perSecond float64) RateLimit { return RateLimit{Limited: true, PerSecond: perSecond} }

// TestNewerStatementWins: statements that instances receive and pass on in any order lead to
// the same limit everywhere, and of two received at the same time the stricter one counts.
func TestNewerStatementWins(t *testing.T) {
	var a, b StatedLimit
	require.False(t, a.Observe(RateLimit{}), "no limit was stated")
	require.True(t, a.Observe(limitOf(10)))
	require.True(t, b.Merge(a))
	require.False(t, b.Merge(a))
	require.True(t, b.Observe(limitOf(4)))
	require.False(t, b.Merge(a), "older")
	require.True(t, a.Observe(RateLimit{}))
	require.True(t, a.Merge(b), "same revision, stricter")
	require.False(t, b.Merge(StatedLimit{Revision: b.Revision}))
	require.True(t, b.Merge(StatedLimit{Revision: b.Revision + 1}), "the limit has ended")
	rapid.Check(t, func(t *rapid.T) {
		instances := make([]StatedLimit, 4)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			i, j := rapid.IntRange(0, 3).Draw(t, "from"), rapid.IntRange(0, 3).Draw(t, "to")
			switch rapid.IntRange(0, 2).Draw(t, "observe") {
			case 0:
				instances[i].ObserveBrittleness(Brittleness{rapid.Bool().Draw(t, "brittle"), rapid.IntRange(0, 3).Draw(t, "rejections")})
			case 1:
				instances[i].Observe(RateLimit{rapid.Bool().Draw(t, "limited"), float64(rapid.IntRange(0, 3).Draw(t, "limit"))})
			default:
				instances[j].Merge(instances[i])
			}
		}
		for range instances {
			for i := range instances {
				instances[(i+1)%len(instances)].Merge(instances[i])
			}
		}
		for i := range instances {
			require.Equal(t, instances[0], instances[i])
		}
	})
}

// TestIssuerKeepsLimit: however often and by however many instances permits are asked for,
// no more are issued than the limit allows.
func TestIssuerKeepsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0, 200).Draw(t, "limit")
		var issuer PermitIssuer
		now, issued := start, 0
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			granted, retryAfter := issuer.Issue(limitOf(perSecond), fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "instance")), rapid.IntRange(0, 50).Draw(t, "wanted"), now)
			issued += granted
			require.GreaterOrEqual(t, retryAfter, minAskInterval)
			require.LessOrEqual(t, retryAfter, maxAskInterval)
		}
		rate := max(perSecond, minPermitRate)
		burst := 1 + maxSmallBurst + rate*issueBurstTime.Seconds()
		require.LessOrEqual(t, float64(issued), rate*now.Sub(start).Seconds()+burst+1e-6)
	})
}

// TestPermitsExpire: permits are used once, and not after permitTTL from the request for
// them; a lower limit ends them.
func TestPermitsExpire(t *testing.T) {
	f := Fallback{Limit: limitOf(10), Instances: 5}
	var p Permits
	require.False(t, p.Available(f, start))
	require.Equal(t, 1, p.Wanted(f.Limit, start))
	require.Zero(t, p.Wanted(f.Limit, start), "the request is in flight")
	p.Granted(1, minAskInterval, start, start.Add(5*time.Millisecond))
	require.True(t, p.Available(f, start.Add(100*time.Millisecond)))
	require.True(t, p.Take(f, start.Add(100*time.Millisecond)))
	require.False(t, p.Take(f, start.Add(100*time.Millisecond)), "used")
	p.Granted(2, minAskInterval, start, start.Add(5*time.Millisecond))
	require.False(t, p.Take(f, start.Add(permitTTL)), "expired")
	p.Granted(2, minAskInterval, start, start.Add(permitTTL))
	require.False(t, p.Take(f, start.Add(permitTTL)), "came too late")
	p.Granted(2, minAskInterval, start, start)
	p.LimitChanged(limitOf(10), limitOf(9.5))
	require.True(t, p.Take(f, start))
	p.LimitChanged(limitOf(10), limitOf(5))
	require.False(t, p.Take(f, start))
}

// TestPermitIsNotRequestedForGoneRequest: what a request that was rejected lacked is not
// asked for later.
func TestPermitIsNotRequestedForGoneRequest(t *testing.T) {
	var p Permits
	require.False(t, p.Available(Fallback{}, start))
	require.Zero(t, p.Wanted(limitOf(10), start.Add(MaxPermitWait)))
	require.False(t, p.Available(Fallback{}, start.Add(time.Minute)))
	require.Equal(t, 1, p.Wanted(limitOf(10), start.Add(time.Minute)))
}

// TestFallbackKeepsShare: instances that reach no issuer together stay within fallbackShare of
// the limit, also after a long time without requests.
func TestFallbackKeepsShare(t *testing.T) {
	const instances, idle, window = 50, 10 * time.Minute, 20 * time.Second
	limit := limitOf(20)
	permits := make([]Permits, instances)
	used := 0
	for i := range permits {
		f := Fallback{Limit: limit, Instances: instances, Jitter: float64(i) / instances}
		permits[i].Available(f, start) // no issuer responds
		require.Equal(t, 1, permits[i].Wanted(limit, start))
		permits[i].Unanswered(start.Add(permitTTL))
		permits[i].Available(f, start.Add(issuerTimeout))
		for now := start.Add(idle); now.Before(start.Add(idle + window)); now = now.Add(20 * time.Millisecond) {
			if permits[i].Available(f, now) && permits[i].Take(f, now) {
				used++
			}
		}
	}
	share := fallbackShare * limit.PerSecond
	require.LessOrEqual(t, float64(used), share*(window+fallbackValidity).Seconds()+1)
	require.GreaterOrEqual(t, float64(used), 0.9*share*window.Seconds())
}

// TestReturnsAreSpread: clients that are rejected together return at the rate at which the
// servers take requests, in the order of their rejection, and none after maxReturnDelay.
func TestReturnsAreSpread(t *testing.T) {
	var s ReturnSchedule
	last := time.Duration(0)
	for n := range 100 {
		delay := s.Next(10, 0.5, start)
		require.LessOrEqual(t, delay, maxReturnDelay)
		if n < 50 {
			require.Greater(t, delay, last)
			require.InDelta(t, float64(n+1)*0.1, delay.Seconds(), 0.001)
			last = delay
		}
	}
	require.Equal(t, minReturnDelay, (&ReturnSchedule{}).Next(1000, 0, start))
}

// TestRoleBeginsAnewAfterGap guards against an instance that issues at once after a time in
// which its role was not updated: another instance may have led meanwhile.
func TestRoleBeginsAnewAfterGap(t *testing.T) {
	var r IssuerRole
	now := start
	for ; now.Before(start.Add(leadDelay)); now = now.Add(100 * time.Millisecond) {
		require.False(t, r.Update(true, now))
	}
	require.True(t, r.Update(true, now))
	require.False(t, r.Update(true, now.Add(maxRoleGap+time.Millisecond)))
	require.Greater(t, leadDelay, LeadTTL)
	require.Less(t, ResignTime, leadDelay)
}

func BenchmarkFirstIssuer(b *testing.B) {
	names := make([]string, 760)
	for i := range names {
		names[i] = fmt.Sprint("entry-", i)
	}
	for b.Loop() {
		FirstIssuer("server-1", names)
	}
}

// A server may state any number: a rate of 1e10 ended in a division by zero in the decision
// of every later request, and one of 1e300 in negative permits.
func TestExtremeLimitsAreUsable(t *testing.T) {
	for _, rate := range []float64{0, 5e-324, 1e9, 1e10, 1e15, 1e19, 1e300, math.MaxFloat64} {
		limit := RateLimit{Limited: true, PerSecond: rate}
		require.GreaterOrEqual(t, PollInterval(limit, 5), minPollInterval, rate)
		now := time.Unix(1000, 0)
		var issuer PermitIssuer
		var permits Permits
		fallback := Fallback{Limit: limit, Instances: 3, Jitter: 0.5}
		sent := 0
		for range 40 {
			now = now.Add(300 * time.Millisecond)
			if permits.Available(fallback, now) && permits.Take(fallback, now) {
				sent++
			}
			if wanted := permits.Wanted(limit, now); wanted != 0 {
				require.Positive(t, wanted, rate)
				permits.Unanswered(now)
			}
			granted, after := issuer.Issue(limit, "e1", 2, now)
			require.True(t, granted >= 0 && granted <= 2, "%g: %d granted", rate, granted)
			require.Positive(t, after, rate)
		}
		require.Equal(t, rate >= 1e9, sent > 30, "%g: %d sent", rate, sent)
	}
}
