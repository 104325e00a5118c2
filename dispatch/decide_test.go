package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/admission"
	"github.com/galenaarch/galenaarch/placement"
)

const testPace = 30.0

func prompt(tokens int) *Ask {
	return &Ask{
		Job:       placement.Job{ReadRate: testPace, PromptTokens: tokens, MemoryTokens: tokens, Long: tokens >= placement.LongPrompt},
		Objective: 400 * time.Millisecond, Bears: 2 * time.Second,
	}
}

func reads(d time.Duration) int { return int(milliseconds(d) * testPace) }

func decide(p *Policy, near, all []placement.Server, a *Ask) (Decision, bool) {
	field := func(list []placement.Server) func() *Candidates {
		if list == nil {
			return nil
		}
		return func() *Candidates { return &Candidates{Servers: list} }
	}
	return p.Decide(placement.ExpectedTime{}, field(near), field(all), a, 0)
}

// TestOtherCellsTakeWhatTheOwnCannot: load pattern, one cell has more to read than
// others. Nobody is turned away, or late, whom another cell can serve better; what
// the own cell can do stays there.
func TestOtherCellsTakeWhatTheOwnCannot(t *testing.T) {
	tests := []struct {
		name string
		// near and far are the reading before a prompt in the own cell and in the
		// others.
		near, far time.Duration
		elsewhere bool
		want      admission.Verdict
	}{
		{"calm", 0, 0, false, admission.InTurn},
		{"busier, but on time", 200 * time.Millisecond, 0, false, admission.InTurn},
		{"late here, on time there", 450 * time.Millisecond, 0, true, admission.InTurn},
		{"turned away here, on time there", 1400 * time.Millisecond, 200 * time.Millisecond, true, admission.InTurn},
		{"turned away everywhere", 3 * time.Second, 3 * time.Second, false, admission.TurnAway},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			near := []placement.Server{{Slots: 64, ReadingTokens: reads(tt.near), LaterTokens: reads(tt.near)}}
			all := append(near[:1:1], placement.Server{Slots: 64, ReadingTokens: reads(tt.far), LaterTokens: reads(tt.far)})
			d, elsewhere := decide(&Policy{}, near, all, prompt(500))
			require.Equal(t, tt.elsewhere, elsewhere)
			require.Equal(t, tt.want, d.Verdict)
		})
	}
}

// TestPromptsWaitHereForMemory: load pattern, many callers at once, whose prompts
// fill the servers' memory. A prompt that no server has memory for waits as long as
// it can be on time, and is else told at once that it has not run.
func TestPromptsWaitHereForMemory(t *testing.T) {
	full := placement.Server{Slots: 64, MemoryTokens: 10_000, HeldTokens: 9000, RunTime: time.Second}
	free := full
	free.HeldTokens = 2000
	tests := []struct {
		name   string
		list   []placement.Server
		ask    func(a *Ask)
		action Action
		server int
	}{
		{"room", []placement.Server{full, free}, nil, Send, 1},
		{"no room now", []placement.Server{full, full}, nil, Hold, 0},
		{"no room, and many wait before", []placement.Server{full}, func(a *Ask) { a.Before = time.Second }, Refuse, 0},
		{"no room, but servers are becoming known", []placement.Server{full}, func(a *Ask) { a.Before, a.Young = time.Second, true }, Hold, 0},
		{"no room, and begun elsewhere", []placement.Server{full}, func(a *Ask) { a.Before, a.Resumed = time.Second, true }, Hold, 0},
		{"larger than any room, alone", []placement.Server{{Slots: 64, MemoryTokens: 500}}, nil, Send, 0},
		{"plain requests are not held", []placement.Server{full}, func(a *Ask) { a.Job = placement.Job{} }, Send, 0},
		{"no server", nil, nil, Nowhere, -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := prompt(1000)
			if tt.ask != nil {
				tt.ask(a)
			}
			if tt.list == nil {
				tt.list = []placement.Server{}
			}
			d, _ := decide(&Policy{}, nil, tt.list, a)
			require.Equal(t, tt.action, d.Action)
			require.Equal(t, tt.server, d.Server)
		})
	}
	d, _ := decide(mustWithout(t, "late-binding"), nil, []placement.Server{full}, prompt(1000))
	require.Equal(t, Send, d.Action, "without the mechanism it is sent at once")
}

func mustWithout(t *testing.T, names string) *Policy {
	t.Helper()
	p, err := Without(names)
	require.NoError(t, err)
	return p
}

func TestClaimedServersAreLeftToThoseBefore(t *testing.T) {
	list := []placement.Server{{Slots: 64}, {Slots: 64, ReadingTokens: 1000}}
	c := &Candidates{Servers: list, Claimed: func(i int) bool { return i == 0 }}
	d, _ := (&Policy{}).Decide(placement.ExpectedTime{}, nil, func() *Candidates { return c }, prompt(1000), 0)
	require.Equal(t, []any{Send, 1}, []any{d.Action, d.Server})
}

func TestMechanismsHaveNamesAndPatterns(t *testing.T) {
	seen := make(map[string]bool)
	for m := range mechanisms {
		require.NotEmpty(t, m.String())
		require.NotEmpty(t, m.Pattern())
		require.False(t, seen[m.String()], m.String())
		seen[m.String()] = true
	}
	p := mustWithout(t, " cells, behind,")
	require.False(t, p.On(Cells))
	require.True(t, p.On(TurnAway))
	require.Equal(t, []string{"cells", "behind"}, p.Off())
	_, err := Without("cells,celsl")
	require.ErrorContains(t, err, `"celsl"`)
}

func BenchmarkDecideAmong986(b *testing.B) {
	beliefs := make([]Belief, 986)
	for i := range beliefs {
		beliefs[i] = NewBelief(Server{Slots: 64, MemoryTokens: 94_000}, start)
		beliefs[i].Sent(Work{Unread: i * 7 % 3000, Memory: i * 11 % 50_000}, start)
	}
	servers, p, a := make([]placement.Server, len(beliefs)), &Policy{}, prompt(3000)
	c := &Candidates{Servers: servers}
	all := func() *Candidates { return c }
	b.ReportAllocs()
	for b.Loop() {
		for i := range beliefs {
			beliefs[i].View(&servers[i], p, Load{}, "", start)
		}
		p.Decide(placement.ExpectedTime{}, nil, all, a, 0)
	}
}
