package emulator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Bounds on how service comes back, from what the users ask.
const (
	// backShare is the part of the usual credit that counts as back, backWithin
	// the time for it after a trouble has ended.
	backShare  = 0.9
	backWithin = 3 * time.Second
	// troubleAt and troubleFor are when a load is pushed, and for how long; both in
	// seconds.
	troubleAt, troubleFor = 8, 6
)

// pushed is the pattern with a trouble.
func pushed(t testing.TB, name string, seed uint64, trouble Trouble) *Pattern {
	t.Helper()
	p := pattern(t, name)
	p.Seed, trouble.AtSeconds = seed, troubleAt
	if trouble.ForSeconds == 0 {
		trouble.ForSeconds = troubleFor
	}
	p.Troubles = []Trouble{trouble}
	return p
}

// back is the time until the usual credit after a trouble that ends at a time.
func back(p *Pattern, r *Result, ended time.Duration) time.Duration {
	usual := r.ShareIn(2*time.Second, seconds(troubleAt))
	return r.Back(ended, backShare*usual, seconds(p.Seconds))
}

// TestServiceComesBack pushes a load and releases it: what was overload, or fewer
// servers, for some seconds must not go on by itself.
func TestServiceComesBack(t *testing.T) {
	troubles := map[string]Trouble{
		"twice the callers":          {Kind: "burst", X: 2},
		"three times the callers":    {Kind: "burst", X: 3},
		"a quarter dark":             {Kind: "dark", Share: 0.25},
		"half dark":                  {Kind: "dark", Share: 0.5},
		"a quarter slow":             {Kind: "slow", Share: 0.25, X: 4},
		"all slow":                   {Kind: "slow", Share: 1, X: 3},
		"a quarter fails":            {Kind: "fail", Share: 0.25, X: 0.4},
		"a third wants nothing":      {Kind: "busy", Share: 0.34},
		"all want nothing":           {Kind: "busy", Share: 1, ForSeconds: 2},
		"a sixth leaves":             {Kind: "leaving", Share: 0.17},
		"all instances forget all":   {Kind: "lost", ForSeconds: 1},
		"all forget, and hear later": {Kind: "lost", ForSeconds: 3},
	}
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				p := pushed(t, "returning", seed+1, trouble)
				r := Play(p, expected)
				ended := seconds(p.Troubles[0].AtSeconds + p.Troubles[0].ForSeconds)
				took := back(p, r, ended)
				t.Logf("seed %d: usual %.3f, meanwhile %.3f, back in %v, put out %d", seed+1, r.ShareIn(2*time.Second, seconds(troubleAt)), r.ShareIn(seconds(troubleAt), ended), took, r.Preempted)
				require.GreaterOrEqual(t, took, time.Duration(0), "seed %d: not at all", seed+1)
				require.LessOrEqual(t, took, backWithin, "seed %d", seed+1)
				require.Zero(t, r.ToLeaving+r.ToPaused, "servers' words are obeyed")
			}
		})
	}
}

// TestLateBindingIsWhatBringsServiceBack replays many callers at once. Where
// prompts wait at engines, their runs fill the memory and put each other out.
func TestLateBindingIsWhatBringsServiceBack(t *testing.T) {
	with, without3 := 0.0, 0.0
	for seed := range uint64(3) {
		p := pushed(t, "returning", seed+1, Trouble{Kind: "burst", X: 3})
		with += Play(p, expected).Share()
		without3 += Play(p, without(t, "late-binding,backlog")).Share()
	}
	require.Greater(t, with/3, without3/3+learnedShare)
}

// TestTurningAwayAndGoingBehindPay replays more callers than can be served on time.
func TestTurningAwayAndGoingBehindPay(t *testing.T) {
	for _, name := range []string{"behind,turn-away"} {
		ours, theirs := 0.0, 0.0
		for seed := range uint64(3) {
			p := pushed(t, "returning", seed+1, Trouble{Kind: "burst", X: 3})
			ours += Play(p, expected).Share()
			theirs += Play(p, without(t, name)).Share()
		}
		require.Greater(t, ours, theirs, name)
	}
}

// TestWordsAreObeyedOnEveryLoad: no request is sent to a server after it has told
// the instance that it leaves, or before the end of the time in which it wants
// nothing, whatever else happens.
func TestWordsAreObeyedOnEveryLoad(t *testing.T) {
	for seed := range uint64(6) {
		p := pushed(t, "returning", seed+1, Trouble{Kind: "busy", Share: 0.4, ForSeconds: 3})
		p.Troubles = append(p.Troubles, Trouble{Kind: "leaving", Share: 0.2, AtSeconds: 10}, Trouble{Kind: "burst", X: 2, AtSeconds: 9, ForSeconds: 4})
		r := Play(p, expected)
		require.Zero(t, r.ToLeaving)
		require.Zero(t, r.ToPaused)
	}
}

// TestOtherDeployments: deployments unlike any that was measured are served by the
// same decisions: nothing of theirs is known beforehand.
func TestOtherDeployments(t *testing.T) {
	tests := []struct {
		name  string
		make  func(p *Pattern)
		least float64
	}{
		{"engines four times slower, a quarter of the callers", func(p *Pattern) {
			p.Engines.TokensPerMS /= 4
			p.Engines.StepMS *= 2
			p.Engines.StepMSPerRun *= 2
			for i := range p.Kinds[:2] {
				p.Kinds[i].PerSecond /= 4
				p.Kinds[i].ObjectiveMS *= 2
			}
		}, 0.9},
		{"engines four times faster", func(p *Pattern) { p.Engines.TokensPerMS *= 4 }, calmShare},
		{"three instances", func(p *Pattern) { p.Entries = 3 }, calmShare},
		{"forty instances", func(p *Pattern) { p.Entries = 40 }, calmShare},
		{"half the room at the store", func(p *Pattern) { p.Engines.StoreTokens /= 2 }, 0.9},
		{"no store", func(p *Pattern) { p.Engines.BringPerMS = 0 }, 0.85},
		{"three servers with two places", func(p *Pattern) {
			p.Plain.Count, p.Plain.Slots = 3, 2
			p.Kinds = p.Kinds[2:]
			p.Engines.Count = 0
		}, 0.9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			sum := 0.0
			for seed := range uint64(3) {
				p := pattern(t, "returning")
				p.Seed = seed + 1
				tt.make(p)
				sum += Play(p, expected).Share()
			}
			t.Logf("credit %.3f", sum/3)
			require.Greater(t, sum/3, tt.least)
		})
	}
}
