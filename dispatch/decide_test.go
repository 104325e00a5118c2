package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/admission"
	"github.com/galenaarch/galenaarch/placement"
)

const testRate = 30.0

func prompt(tokens int) *Request {
	return &Request{
		Job:       placement.Job{PrefillRate: testRate, PromptTokens: tokens, MemoryTokens: tokens, Long: tokens >= placement.LongPromptTokens},
		Objective: 400 * time.Millisecond, Patience: 2 * time.Second,
	}
}

func prefillTokens(d time.Duration) int { return int(milliseconds(d) * testRate) }

func decideWith(p *Policy, near, all []placement.Server, req *Request) (Decision, bool) {
	candidates := func(list []placement.Server) func() *Candidates {
		if list == nil {
			return nil
		}
		return func() *Candidates { return &Candidates{Servers: list} }
	}
	return p.Decide(placement.ExpectedTime{}, candidates(near), candidates(all), req, 0)
}

// One cell has more prefill work than the others. A request must leave its cell only
// if another cell serves it better, and must not be rejected or late while another
// cell can serve it.
func TestOverflowToOtherCells(t *testing.T) {
	tests := []struct {
		name string
		// near and far are the prefill times queued in the instance's own cell and in
		// the others.
		near, far time.Duration
		elsewhere bool
		want      admission.Verdict
	}{
		{"idle", 0, 0, false, admission.Admit},
		{"busy but within the objective", 200 * time.Millisecond, 0, false, admission.Admit},
		{"late in the own cell only", 450 * time.Millisecond, 0, true, admission.Admit},
		{"rejected in the own cell only", 1400 * time.Millisecond, 200 * time.Millisecond, true, admission.Admit},
		{"rejected in all cells", 3 * time.Second, 3 * time.Second, false, admission.Reject},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			near := []placement.Server{{Slots: 64, PrefillTokens: prefillTokens(tt.near), DeferredTokens: prefillTokens(tt.near)}}
			all := append(near[:1:1], placement.Server{Slots: 64, PrefillTokens: prefillTokens(tt.far), DeferredTokens: prefillTokens(tt.far)})
			d, elsewhere := decideWith(&Policy{}, near, all, prompt(500))
			require.Equal(t, tt.elsewhere, elsewhere)
			require.Equal(t, tt.want, d.Verdict)
		})
	}
}

// A burst of prompts fills the servers' memory. A prompt without room waits while it
// can still meet its objective, and is otherwise rejected at once.
func TestPromptsWaitForMemory(t *testing.T) {
	full := placement.Server{Slots: 64, MemoryTokens: 10_000, UsedMemoryTokens: 9000, RunTime: time.Second}
	free := full
	free.UsedMemoryTokens = 2000
	tests := []struct {
		name   string
		list   []placement.Server
		edit   func(req *Request)
		action Action
		server int
	}{
		{"room", []placement.Server{full, free}, nil, Send, 1},
		{"no room now", []placement.Server{full, full}, nil, Hold, 0},
		{"no room and a long queue", []placement.Server{full}, func(req *Request) { req.QueueWait = time.Second }, Reject, 0},
		{"no room during server discovery", []placement.Server{full}, func(req *Request) { req.QueueWait, req.Discovering = time.Second, true }, Hold, 0},
		{"no room during server discovery, late already", []placement.Server{full}, func(req *Request) {
			req.QueueWait, req.Elapsed, req.Discovering = time.Second, time.Second, true
		}, Hold, 0},
		{"no room for a stream that goes on", []placement.Server{full}, func(req *Request) { req.QueueWait, req.Continues = time.Second, true }, Hold, 0},
		{"no room for a stream that goes on in its client's time", []placement.Server{full}, func(req *Request) { req.QueueWait, req.Continues = 3*time.Second, true }, Reject, 0},
		{"larger than an empty server", []placement.Server{{Slots: 64, MemoryTokens: 500}}, nil, Send, 0},
		{"request without a prompt", []placement.Server{full}, func(req *Request) { req.Job = placement.Job{} }, Send, 0},
		{"no server", nil, nil, NoServer, -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			req := prompt(1000)
			if tt.edit != nil {
				tt.edit(req)
			}
			if tt.list == nil {
				tt.list = []placement.Server{}
			}
			d, _ := decideWith(&Policy{}, nil, tt.list, req)
			require.Equal(t, tt.action, d.Action)
			require.Equal(t, tt.server, d.Server)
		})
	}
	d, _ := decideWith(mustWithout(t, "late-binding"), nil, []placement.Server{full}, prompt(1000))
	require.Equal(t, Send, d.Action, "sent at once without late binding")
}

func mustWithout(t *testing.T, names string) *Policy {
	t.Helper()
	p, err := Without(names)
	require.NoError(t, err)
	return p
}

// A prompt that misses its objective yields to others only as far as its client's time allows, and
// is not rejected while arrival order serves it in that time.
func TestLatePromptIsServedInItsClientsTime(t *testing.T) {
	const backlog, deferred = 210 * time.Millisecond, 20 * time.Millisecond
	list := []placement.Server{{Slots: 64, PrefillTokens: prefillTokens(backlog), DeferredTokens: prefillTokens(deferred)}}
	tests := []struct {
		name              string
		elapsed, patience time.Duration
		action            Action
		want              admission.Verdict
	}{
		{"on time", 0, 2 * time.Second, Send, admission.Admit},
		{"time to yield", 300 * time.Millisecond, 1700 * time.Millisecond, Send, admission.Defer},
		{"no time to yield", 1760 * time.Millisecond, 240 * time.Millisecond, Send, admission.Admit},
		{"no time", 1900 * time.Millisecond, 100 * time.Millisecond, Reject, admission.Reject},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			req := prompt(1000)
			req.Elapsed, req.Patience = tt.elapsed, tt.patience
			d, _ := decideWith(&Policy{}, nil, list, req)
			require.Equal(t, []any{tt.action, tt.want}, []any{d.Action, d.Verdict})
			require.Equal(t, tt.elapsed > 0, d.Late)
		})
	}
}

func TestClaimedServersAreSkipped(t *testing.T) {
	list := []placement.Server{{Slots: 64}, {Slots: 64, PrefillTokens: 1000}}
	c := &Candidates{Servers: list, Claimed: func(i int) bool { return i == 0 }}
	d, _ := (&Policy{}).Decide(placement.ExpectedTime{}, nil, func() *Candidates { return c }, prompt(1000), 0)
	require.Equal(t, []any{Send, 1}, []any{d.Action, d.Server})
}

// Requests must wait for a server of a brittle service that has no room, not be sent there.
func TestFullServersAreAwaited(t *testing.T) {
	list := []placement.Server{{Slots: 64}, {Slots: 64, PrefillTokens: 1000}}
	full := map[int]bool{0: true}
	c := &Candidates{Servers: list, Full: func(i int) bool { return full[i] }}
	for _, req := range []*Request{prompt(1000), {}} {
		delete(full, 1)
		d, _ := (&Policy{}).Decide(placement.ExpectedTime{}, nil, func() *Candidates { return c }, req, 0)
		require.Equal(t, []any{Send, 1}, []any{d.Action, d.Server})
		full[1] = true
		d, _ = (&Policy{}).Decide(placement.ExpectedTime{}, nil, func() *Candidates { return c }, req, 0)
		require.Equal(t, []any{Hold, 0}, []any{d.Action, d.Server})
		c.Tried = func(int) bool { return true }
		d, _ = (&Policy{}).Decide(placement.ExpectedTime{}, nil, func() *Candidates { return c }, req, 0)
		require.Equal(t, NoServer, d.Action)
		c.Tried = nil
	}
}

func TestMechanismsHaveNamesAndPatterns(t *testing.T) {
	seen := make(map[string]bool)
	for m := range mechanismCount {
		require.NotEmpty(t, m.String())
		require.NotEmpty(t, m.Pattern())
		require.False(t, seen[m.String()], m.String())
		seen[m.String()] = true
	}
	p := mustWithout(t, " cells, behind,")
	require.False(t, p.Enabled(Cells))
	require.True(t, p.Enabled(Rejection))
	require.Equal(t, []string{"cells", "behind"}, p.Disabled())
	_, err := Without("cells,celsl")
	require.ErrorContains(t, err, `"celsl"`)
}

func BenchmarkDecideAmong986(b *testing.B) {
	backends := make([]BackendState, 986)
	for i := range backends {
		backends[i] = NewBackendState(BackendInfo{Slots: 64, MemoryTokens: 94_000}, start)
		backends[i].Sent(Work{PrefillTokens: i * 7 % 3000, MemoryTokens: i * 11 % 50_000}, start)
	}
	servers, p, req := make([]placement.Server, len(backends)), &Policy{}, prompt(3000)
	c := &Candidates{Servers: servers}
	all := func() *Candidates { return c }
	b.ReportAllocs()
	for b.Loop() {
		for i := range backends {
			backends[i].View(&servers[i], p, Load{}, "", start)
		}
		p.Decide(placement.ExpectedTime{}, nil, all, req, 0)
	}
}
