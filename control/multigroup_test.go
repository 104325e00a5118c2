package control

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/consensusv1"
	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/control/replog"
	"github.com/galenaarch/galenaarch/control/state"
)

// TestGroupsShareProcessesAndListeners guards against messages of one group
// reaching another one: three processes each run a replica of two groups behind
// one listener.
func TestGroupsShareProcessesAndListeners(t *testing.T) {
	const count = 3
	groups := []string{"main", "calls-1"}
	logs := make(map[string][]*ReplicatedLog)
	handlers := make([]http.Handler, count)
	var replicas []string
	for i := range count {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handlers[i].ServeHTTP(w, r) }))
		t.Cleanup(s.Close)
		replicas = append(replicas, fmt.Sprintf("control-%d=%s", i+1, s.URL))
	}
	for i := range count {
		s := Settings{Instance: fmt.Sprintf("control-%d", i+1), DataDir: t.TempDir(), Replicas: strings.Join(replicas, ","), CallRetention: time.Hour}
		var processLogs []*ReplicatedLog
		for _, name := range groups {
			l, err := OpenReplicatedLog(name, s, func() *http.Client { return &http.Client{} }, slog.New(slog.DiscardHandler))
			require.NoError(t, err)
			logs[name] = append(logs[name], l)
			processLogs = append(processLogs, l)
		}
		handlers[i] = consensusv1.NewConsensusServer(newPeerServer(func() []*ReplicatedLog { return processLogs }))
	}
	for _, name := range groups {
		for _, l := range logs[name] {
			require.NoError(t, l.Start(context.Background()))
			t.Cleanup(func() { l.group.Kill() })
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for i, name := range groups {
		for n := range i + 1 {
			proposeAtLeader(ctx, t, logs[name], &controlv1.Command{Body: &controlv1.Command_BeginCall{BeginCall: newBeginRequest(fmt.Sprint(n))}})
		}
	}
	for i, name := range groups {
		for _, l := range logs[name] {
			require.Eventually(t, func() bool {
				var records uint64
				l.ReadLocal(func(st *state.State) { records = st.Status("").CallsRecorded })
				return records == uint64(i+1)
			}, testTimeout, 10*time.Millisecond)
		}
	}
}

func proposeAtLeader(ctx context.Context, t *testing.T, logs []*ReplicatedLog, cmd *controlv1.Command) {
	t.Helper()
	for ctx.Err() == nil {
		for _, l := range logs {
			_, err := l.Propose(ctx, cmd)
			if err == nil {
				return
			}
			var notLeader *replog.NotLeaderError
			require.True(t, errors.As(err, &notLeader), "%v", err)
		}
		time.Sleep(replog.TickInterval)
	}
	t.Fatal(ctx.Err())
}
