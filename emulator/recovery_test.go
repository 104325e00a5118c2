package emulator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Limits on recovery, derived from the users' requirements.
const (
	// recoveredShare is the part of the share on time before the fault that counts as
	// recovered, recoveryLimit the time allowed for it after the fault has ended.
	recoveredShare = 0.9
	recoveryLimit  = 3 * time.Second
	// Start and duration of the injected fault; seconds.
	faultStartSeconds, faultSeconds = 8, 6
)

// patternWithFault returns a pattern whose only fault is the given one.
func patternWithFault(t testing.TB, name string, seed uint64, fault Fault) *Pattern {
	t.Helper()
	p := readPattern(t, name)
	p.Seed, fault.StartSeconds = seed, faultStartSeconds
	if fault.DurationSeconds == 0 {
		fault.DurationSeconds = faultSeconds
	}
	p.Faults = []Fault{fault}
	return p
}

// recoveryTime returns the time from the end of a fault until recoveredShare of the
// share on time before the fault is reached again; -1 if it never is.
func recoveryTime(p *Pattern, r *Result, ended time.Duration) time.Duration {
	shareBefore := r.OnTimeShareIn(2*time.Second, seconds(faultStartSeconds))
	return r.RecoveryTime(ended, recoveredShare*shareBefore, seconds(p.Seconds))
}

// TestServiceRecoversAfterFault injects an overload or a partial outage for some
// seconds and checks that the degradation does not outlast its cause.
func TestServiceRecoversAfterFault(t *testing.T) {
	faults := map[string]Fault{
		"arrival rate doubled":                   {Kind: "burst", Magnitude: 2},
		"arrival rate tripled":                   {Kind: "burst", Magnitude: 3},
		"a quarter unresponsive":                 {Kind: "dark", ServerShare: 0.25},
		"half unresponsive":                      {Kind: "dark", ServerShare: 0.5},
		"a quarter slow":                         {Kind: "slow", ServerShare: 0.25, Magnitude: 4},
		"all slow":                               {Kind: "slow", ServerShare: 1, Magnitude: 3},
		"a quarter failing":                      {Kind: "fail", ServerShare: 0.25, Magnitude: 0.4},
		"a third paused":                         {Kind: "busy", ServerShare: 0.34},
		"all paused":                             {Kind: "busy", ServerShare: 1, DurationSeconds: 2},
		"a third rate-limited":                   {Kind: "limited", ServerShare: 0.34, Magnitude: 4},
		"a sixth leaving":                        {Kind: "leaving", ServerShare: 0.17},
		"a part crashes servers":                 {Kind: "crash", Magnitude: 1.5},
		"all instances lose their state":         {Kind: "lost", DurationSeconds: 1},
		"all lose their state, slow rediscovery": {Kind: "lost", DurationSeconds: 3},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				p := patternWithFault(t, "returning", seed+1, fault)
				r := Simulate(p, expectedTime)
				ended := seconds(p.Faults[0].StartSeconds + p.Faults[0].DurationSeconds)
				recovery := recoveryTime(p, r, ended)
				t.Logf("seed %d: on time before the fault %.3f, during the fault %.3f, recovered in %v, %d preemptions", seed+1, r.OnTimeShareIn(2*time.Second, seconds(faultStartSeconds)), r.OnTimeShareIn(seconds(faultStartSeconds), ended), recovery, r.Preemptions)
				require.GreaterOrEqual(t, recovery, time.Duration(0), "seed %d: no recovery", seed+1)
				require.LessOrEqual(t, recovery, recoveryLimit, "seed %d", seed+1)
				require.Zero(t, r.SentToLeaving+r.SentToPaused, "requests sent to leaving or paused servers")
			}
		})
	}
}

// TestLateBindingServesMoreOnTimeInBurst sends a burst. Without late binding, prompts are
// queued at the engines instead of the entry instances, and running requests fill the
// engines' memory and preempt each other.
func TestLateBindingServesMoreOnTimeInBurst(t *testing.T) {
	t.Parallel()
	full, withoutBinding := 0.0, 0.0
	for seed := range uint64(3) {
		p := patternWithFault(t, "returning", seed+1, Fault{Kind: "burst", Magnitude: 3})
		full += Simulate(p, expectedTime).OnTimeShare()
		withoutBinding += Simulate(p, expectedTimeWithout(t, "late-binding,backlog")).OnTimeShare()
	}
	require.Greater(t, full/3, withoutBinding/3+minMechanismGain)
}

// TestRejectionAndDeferralServeMoreOnTimeInBurst sends more requests than can be served
// on time.
func TestRejectionAndDeferralServeMoreOnTimeInBurst(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"behind,turn-away"} {
		ours, baseline := 0.0, 0.0
		for seed := range uint64(3) {
			p := patternWithFault(t, "returning", seed+1, Fault{Kind: "burst", Magnitude: 3})
			ours += Simulate(p, expectedTime).OnTimeShare()
			baseline += Simulate(p, expectedTimeWithout(t, name)).OnTimeShare()
		}
		require.Greater(t, ours, baseline, name)
	}
}

// TestLeavingAndPausedServersReceiveNoRequests checks, under several faults at once,
// that an instance sends no request to a server that has reported to it that it is
// leaving, or that has asked it for a pause that has not ended.
func TestLeavingAndPausedServersReceiveNoRequests(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		p := patternWithFault(t, "returning", seed+1, Fault{Kind: "busy", ServerShare: 0.4, DurationSeconds: 3})
		p.Faults = append(p.Faults, Fault{Kind: "leaving", ServerShare: 0.2, StartSeconds: 10}, Fault{Kind: "burst", Magnitude: 2, StartSeconds: 9, DurationSeconds: 4})
		r := Simulate(p, expectedTime)
		require.Zero(t, r.SentToLeaving)
		require.Zero(t, r.SentToPaused)
	}
}

// TestUnmeasuredDeployments checks deployments that differ from all measured ones. The
// routing decisions must serve them without tuning.
func TestUnmeasuredDeployments(t *testing.T) {
	tests := []struct {
		name     string
		modify   func(p *Pattern)
		minShare float64
	}{
		{"engines four times slower, a quarter of the load", func(p *Pattern) {
			p.Engines.TokensPerMS /= 4
			p.Engines.StepMS *= 2
			p.Engines.StepMSPerRequest *= 2
			for i := range p.Kinds[:2] {
				p.Kinds[i].PerSecond /= 4
				p.Kinds[i].ObjectiveMS *= 2
			}
		}, 0.9},
		{"engines four times faster", func(p *Pattern) { p.Engines.TokensPerMS *= 4 }, minCalmShare},
		{"three entry instances", func(p *Pattern) { p.Entries = 3 }, minCalmShare},
		{"forty entry instances", func(p *Pattern) { p.Entries = 40 }, minCalmShare},
		{"half the store capacity", func(p *Pattern) { p.Engines.StoreTokens /= 2 }, 0.9},
		{"no store", func(p *Pattern) { p.Engines.ImportTokensPerMS = 0 }, 0.85},
		{"three servers with two slots", func(p *Pattern) {
			p.PlainServers.Count, p.PlainServers.Slots = 3, 2
			p.Kinds = p.Kinds[2:]
			p.Engines.Count = 0
		}, 0.9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			sum := 0.0
			for seed := range uint64(3) {
				p := readPattern(t, "returning")
				p.Seed = seed + 1
				tt.modify(p)
				sum += Simulate(p, expectedTime).OnTimeShare()
			}
			t.Logf("on time %.3f", sum/3)
			require.Greater(t, sum/3, tt.minShare)
		})
	}
}

// TestRateLimitedServersReceiveNoMoreThanAllowed guards against instances that together send
// more than a server's rate limit allows. Without the mechanism they do.
func TestRateLimitedServersReceiveNoMoreThanAllowed(t *testing.T) {
	for _, name := range []string{"returning", "calm", "burst"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := patternWithFault(t, name, 1, Fault{Kind: "limited", ServerShare: 0.5, Magnitude: 2, DurationSeconds: 12})
			p.Seconds = faultStartSeconds + 12
			require.Zero(t, Simulate(p, expectedTime).MostAboveLimit)
			require.Positive(t, Simulate(p, expectedTimeWithout(t, "rate-limits")).MostAboveLimit)
		})
	}
}

// TestPartThatCrashesEnginesIsStopped guards against a part of prompts that ends one engine
// after the other. Without the mechanism they keep ending.
func TestPartThatCrashesEnginesIsStopped(t *testing.T) {
	t.Parallel()
	const maxSentAfter = 3
	for seed := range uint64(3) {
		p := patternWithFault(t, "returning", seed+1, Fault{Kind: "crash", Magnitude: 1, DurationSeconds: 16})
		p.Seconds = faultStartSeconds + 16
		r, without := Simulate(p, expectedTime), Simulate(p, expectedTimeWithout(t, "part-quarantine"))
		t.Logf("seed %d: %d crashes, %d sent later, on time %.3f; without %d, %d, %.3f", seed+1, r.Crashes, r.SentAfterCrashes, r.OnTimeShare(), without.Crashes, without.SentAfterCrashes, without.OnTimeShare())
		require.Positive(t, r.Crashes)
		require.LessOrEqual(t, r.SentAfterCrashes, maxSentAfter)
		require.Zero(t, r.SoundBlocked)
		require.Greater(t, without.SentAfterCrashes, maxSentAfter)
	}
}
