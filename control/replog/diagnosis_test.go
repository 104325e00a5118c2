package replog

import (
	"bytes"
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/consensusv1"
	"github.com/galenaarch/galenaarch/consensus"
)

// TestOutageNamesVotersThatDoNotRespond guards against an outage of the group whose log does
// not tell a lost majority from an election without a result.
func TestOutageNamesVotersThatDoNotRespond(t *testing.T) {
	membership := &consensusv1.Membership{Members: []*consensusv1.Member{{Id: "a"}, {Id: "b"}, {Id: "c"}, {Id: "d", Learner: true}}}
	tests := []struct {
		name       string
		status     consensus.Status
		want       []string
		responding int
	}{
		{"follower", consensus.Status{ID: "a", Membership: membership}, []string{`voters=3`, `responding=a`, `silent="b c"`}, 1},
		{"candidate without responses", consensus.Status{ID: "a", Role: consensus.RolePreCandidate, Membership: membership, Votes: map[string]bool{"a": true}},
			[]string{`role=pre-candidate`, `responding=a`, `silent="b c"`}, 1},
		{"candidate that is refused", consensus.Status{ID: "a", Role: consensus.RoleCandidate, Membership: membership, Votes: map[string]bool{"a": true, "b": false}},
			[]string{`role=candidate`, `responding=a`, `refusing=b`, `silent=c`}, 2},
		{"leader that cannot commit", consensus.Status{ID: "a", Leader: "a", Role: consensus.RoleLeader, Membership: membership, TicksSinceContact: map[string]int{"a": 90, "b": 0, "c": electionTicks + 1, "d": 0}},
			[]string{`role=leader`, `responding="a b"`, `silent=c`}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var log bytes.Buffer
			g := &Group{logger: slog.New(slog.NewTextHandler(&log, nil))}
			g.observeOutage(tt.status)
			require.Empty(t, log.String(), "a short outage is not logged")
			g.outage.sinceNanos.Store(time.Now().Add(-firstOutageLog).UnixNano())
			g.observeOutage(tt.status)
			for _, want := range tt.want {
				require.Contains(t, log.String(), want)
			}
			g.shared.Store(&sharedStatus{status: tt.status})
			total, responding := g.Voters()
			require.Equal(t, 3, total)
			require.Equal(t, tt.responding, responding)
			lines := bytes.Count(log.Bytes(), []byte("\n"))
			g.observeOutage(tt.status)
			require.Equal(t, lines, bytes.Count(log.Bytes(), []byte("\n")), "the next line follows after twice the time")
			serves := tt.status
			serves.Leader, serves.CommittedInTerm = "a", true
			g.observeOutage(serves)
			require.Zero(t, g.LeaderlessFor())
		})
	}
}

// TestFoundingReplicaNamesSilentSeeds guards against a group that is not founded, and whose log
// does not tell which seed the founding replica waits for.
func TestFoundingReplicaNamesSilentSeeds(t *testing.T) {
	var log bytes.Buffer
	g := &Group{logger: slog.New(slog.NewTextHandler(&log, nil)), settings: Settings{Name: "a", URL: "http://a", DynamicMembership: true, ToleratedLosses: 2, Replicas: []Peer{{URL: "http://a"}, {URL: "http://b"}, {URL: "http://c"}}}}
	responses := map[string]*consensusv1.IdentifyResponse{"http://b": {Id: "b/1", Url: "http://b"}}
	delay := foundingDelay{since: time.Now(), nextLog: firstOutageLog}
	delay.observe(g, responses)
	require.Empty(t, log.String(), "a short wait is not logged")
	delay.since = time.Now().Add(-5 * firstOutageLog)
	delay.observe(g, responses)
	for _, want := range []string{`group is not founded yet`, `silent_seeds=http://c `, `replicas=2`, `required=5`} {
		require.Contains(t, log.String(), want)
	}
	delay.observe(g, responses)
	require.Equal(t, 1, bytes.Count(log.Bytes(), []byte("\n")), "the next line follows after twice the time")
}

// TestStartStagesAndRefusedReadsAreReported guards against a restart whose slow stage is not
// known, and against reads that are refused without a reason.
func TestStartStagesAndRefusedReadsAreReported(t *testing.T) {
	g := &dynamicGroup{t: t}
	server, p := g.listen()
	g.seeds = []Peer{{URL: "http://" + server.Listener.Addr().String()}}
	m := g.start("c0", t.TempDir(), server, p, true)
	t.Cleanup(m.stop)
	require.Equal(t, uint64(1), g.add([]*member{m}, 1))
	require.NoError(t, m.Barrier(t.Context()))
	require.Eventually(t, func() bool { return m.StageReached(StageCommit) > 0 }, 20*time.Second, TickInterval)
	for _, stage := range Stages {
		require.Positive(t, m.StageReached(stage), stage)
	}
}

// TestRefusedReadsAreCountedByReason: an operator whose read of the configuration is refused
// must learn which condition was not met.
func TestRefusedReadsAreCountedByReason(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	membership := &consensusv1.Membership{Members: []*consensusv1.Member{{Id: "a", Url: "http://a"}, {Id: "b"}}}
	tests := map[RefusalReason]func(*Group) consensus.Status{
		RefusedNoLeader:  func(*Group) consensus.Status { return consensus.Status{ID: "b", Membership: membership} },
		RefusedNotLeader: func(*Group) consensus.Status { return consensus.Status{ID: "b", Leader: "a", Membership: membership} },
		RefusedUncommitted: func(*Group) consensus.Status {
			return consensus.Status{ID: "b", Leader: "b", Role: consensus.RoleLeader, Membership: membership}
		},
		RefusedUnconfirmed: func(g *Group) consensus.Status {
			g.termClock.Store(&termClock{})
			return consensus.Status{ID: "b", Leader: "b", Role: consensus.RoleLeader, Membership: membership}
		},
		RefusedFailed: func(g *Group) consensus.Status {
			g.Fail(ErrStopped)
			return consensus.Status{ID: "b", Membership: membership}
		},
	}
	require.Len(t, tests, len(RefusalReasons))
	for reason, prepare := range tests {
		logger := slog.New(slog.DiscardHandler)
		g := &Group{logger: logger, queues: newQueues(), stages: newStartStages(logger)}
		g.shared.Store(&sharedStatus{status: prepare(g)})
		require.Error(t, g.Barrier(ctx))
		for _, other := range RefusalReasons {
			if other == reason {
				require.EqualValues(t, 1, g.RefusedReads(other), reason)
			} else {
				require.Zero(t, g.RefusedReads(other), reason)
			}
		}
	}
}
