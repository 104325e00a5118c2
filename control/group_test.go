package control

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/consensusv1"
	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/consensus"
	"github.com/galenaarch/galenaarch/control/client"
	"github.com/galenaarch/galenaarch/control/replog"
	"github.com/galenaarch/galenaarch/control/state"
	"github.com/galenaarch/galenaarch/internal/configtest"
	"github.com/galenaarch/galenaarch/internal/loopback"
	"github.com/galenaarch/galenaarch/kernel"
	"github.com/galenaarch/galenaarch/storage"
)

// testTimeout bounds one step of a test; generous, for loaded machines.
const testTimeout = 60 * time.Second

// testGroup is a group of in-process control replicas on loopback.
type testGroup struct {
	t        testing.TB
	dir      string
	names    []string
	settings map[string]Settings
	running  map[string]*Replica
	urls     []string
	client   *client.Client
}

func freeAddress(t testing.TB) string {
	address, err := loopback.FreeAddress()
	require.NoError(t, err)
	return address
}

func newTestGroup(t testing.TB, count int) *testGroup { return newTestGroupWithSnapshots(t, count, 0) }

// newTestGroupWithSnapshots returns a group that takes a snapshot every
// snapshotThreshold entries; 0 selects the default.
func newTestGroupWithSnapshots(t testing.TB, count int, snapshotThreshold uint64) *testGroup {
	return newTestGroupOn(t, count, snapshotThreshold, func(string) storage.FileSystem { return nil })
}

// newTestGroupOn is newTestGroupWithSnapshots with a file system for each replica.
func newTestGroupOn(t testing.TB, count int, snapshotThreshold uint64, files func(name string) storage.FileSystem) *testGroup {
	g := &testGroup{t: t, dir: t.TempDir(), settings: make(map[string]Settings), running: make(map[string]*Replica)}
	var replicas []string
	for i := range count {
		name := fmt.Sprintf("control-%d", i+1)
		s := Settings{Instance: name, FailureDomain: "d1", Listen: freeAddress(t), DataDir: filepath.Join(g.dir, name), SnapshotThreshold: snapshotThreshold, Files: files(name)}
		require.NoError(t, os.MkdirAll(s.DataDir, 0o700))
		g.names = append(g.names, name)
		g.settings[name] = s
		g.urls = append(g.urls, "http://"+s.Listen)
		replicas = append(replicas, name+"=http://"+s.Listen)
	}
	for _, name := range g.names {
		s := g.settings[name]
		s.Replicas = strings.Join(replicas, ",")
		g.settings[name] = s
		g.start(name)
	}
	g.client = client.New(g.urls, &http.Client{})
	t.Cleanup(func() {
		for _, r := range g.running {
			g.kill(r)
		}
	})
	return g
}

func (g *testGroup) start(name string) {
	r := NewReplica(g.settings[name])
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	require.NoError(g.t, r.Provision(&kernel.Context{Logger: logger, Registry: prometheus.NewRegistry()}))
	require.NoError(g.t, r.Start(context.Background()))
	g.running[name] = r
}

// kill stops a replica without transferring its leadership.
func (g *testGroup) kill(r *Replica) {
	_ = r.server.Close()
	r.Log().group.Kill()
}

func (g *testGroup) crash(name string) {
	g.kill(g.running[name])
	delete(g.running, name)
}

func (g *testGroup) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	g.t.Cleanup(cancel)
	return ctx
}

func (g *testGroup) begin(account, key string) *controlv1.BeginCallResponse {
	r, err := g.client.BeginCall(g.context(), &controlv1.BeginCallRequest{
		ClientAccount: account, Key: key, BodyDigest: []byte("d"), Entry: "e", Server: "s", DispatchId: account + key,
	})
	require.NoError(g.t, err)
	return r
}

func (g *testGroup) leader() string {
	var name string
	require.Eventually(g.t, func() bool {
		for n, r := range g.running {
			if r.Log().group.Err() == nil && r.Log().group.Status().Role.String() == "leader" {
				name = n
				return true
			}
		}
		return false
	}, testTimeout, 5*time.Millisecond)
	return name
}

// followers returns the names of all replicas but the leader.
func (g *testGroup) followers(leader string) []string {
	return slices.DeleteFunc(slices.Clone(g.names), func(name string) bool { return name == leader })
}

func TestKilledLeaderIsReplaced(t *testing.T) {
	g := newTestGroup(t, 3)
	require.Equal(t, controlv1.BeginOutcome_BEGIN_OUTCOME_DISPATCH, g.begin("a", "1").Outcome)
	first := g.leader()
	g.crash(first)
	require.Equal(t, controlv1.BeginOutcome_BEGIN_OUTCOME_DISPATCH, g.begin("a", "1").Outcome, "a retry of the same dispatch")
	require.EqualValues(t, 1, g.begin("a", "1").Record.Attempt)
	require.NotEqual(t, first, g.leader())
	g.start(first)
	require.Eventually(t, func() bool { return g.running[first].Ready() == nil }, testTimeout, 10*time.Millisecond)
}

func TestLeaderTransfersLeadershipOnStop(t *testing.T) {
	g := newTestGroup(t, 3)
	g.begin("a", "1")
	first := g.leader()
	require.NoError(t, g.running[first].Stop(context.Background()))
	delete(g.running, first)
	require.Equal(t, controlv1.BeginOutcome_BEGIN_OUTCOME_DISPATCH, g.begin("a", "2").Outcome)
}

// A process that is asked to stop ends the context of its replica before it stops it. The leadership must
// have been transferred before, or the group has no leader for an election timeout.
func TestLeadershipIsTransferredBeforeProcessStops(t *testing.T) {
	g := newTestGroup(t, 3)
	g.begin("a", "1")
	apps := make(map[string]*kernel.App)
	for _, name := range g.names {
		g.crash(name)
	}
	for _, name := range g.names {
		g.running[name] = NewReplica(g.settings[name])
		apps[name] = kernel.NewApp(&kernel.Context{Logger: slog.New(slog.DiscardHandler), Registry: prometheus.NewRegistry()}, g.running[name])
		require.NoError(t, apps[name].Start())
	}
	g.begin("a", "2")
	first := g.leader()
	stopping := g.running[first]
	startedAt := time.Now()
	require.NoError(t, apps[first].Drain(g.context()))
	drained := time.Since(startedAt)
	assert.False(t, stopping.IsLeader())
	apps[first].Stop(g.context())
	stopped := time.Since(startedAt)
	delete(g.running, first)
	require.Equal(t, controlv1.BeginOutcome_BEGIN_OUTCOME_DISPATCH, g.begin("a", "3").Outcome)
	t.Logf("drained after %v, stopped after %v, a change accepted after %v", drained, stopped, time.Since(startedAt))
}

// Requests that wait in the queues of a replica whose loop has ended must not wait for their time to be over.
func TestEndedReplicaRefusesRequestsAtOnce(t *testing.T) {
	g := newTestGroup(t, 1)
	g.begin("a", "1")
	log := g.running[g.leader()].Log()
	log.group.Kill()
	ended := NewServer(log)
	startedAt := time.Now()
	_, err := ended.GetStatus(g.context(), &controlv1.GetStatusRequest{})
	require.ErrorContains(t, err, replog.ErrStopped.Error())
	_, err = ended.AcquireLease(g.context(), &controlv1.AcquireLeaseRequest{Name: "l", Holder: "h", TermMs: 1000})
	require.ErrorContains(t, err, replog.ErrStopped.Error())
	require.Less(t, time.Since(startedAt), testTimeout/2)
}

func TestLeaderWithoutQuorumServesNothing(t *testing.T) {
	g := newTestGroup(t, 3)
	g.begin("a", "1")
	leader := g.leader()
	for _, name := range g.followers(leader) {
		g.crash(name)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	isolated := NewServer(g.running[leader].Log())
	_, err := isolated.GetStatus(ctx, &controlv1.GetStatusRequest{})
	require.Error(t, err, "a leader without a quorum serves no reads")
	_, err = isolated.AcquireLease(ctx, &controlv1.AcquireLeaseRequest{Name: "l", Holder: "h", TermMs: 1000})
	require.Error(t, err, "a leader without a quorum renews no lease")
}

// TestReplicaWithEmptiedDataDirRejoinsAsNew guards against a replica that votes
// again under its old identity after losing its data. It must join as a learner
// under a new identity and replace the old member; after that the group
// tolerates the loss of another replica.
func TestReplicaWithEmptiedDataDirRejoinsAsNew(t *testing.T) {
	g := newTestGroup(t, 3)
	for i := range 20 {
		g.begin("a", fmt.Sprint(i))
	}
	leader := g.leader()
	lost, other := g.followers(leader)[0], g.followers(leader)[1]
	oldID := g.running[lost].Log().group.ID()
	g.crash(lost)
	require.NoError(t, os.RemoveAll(g.settings[lost].DataDir))
	require.NoError(t, os.MkdirAll(g.settings[lost].DataDir, 0o700))
	g.start(lost)
	newID := g.running[lost].Log().group.ID()
	require.NotEqual(t, oldID, newID)
	require.Eventually(t, func() bool {
		members := g.running[leader].Log().group.Status().Membership.Members
		for _, m := range members {
			if m.Id == oldID || m.Learner {
				return false
			}
		}
		return len(members) == 3
	}, testTimeout, 10*time.Millisecond)
	g.crash(other)
	for i := range 20 {
		require.Equal(t, controlv1.BeginOutcome_BEGIN_OUTCOME_DISPATCH, g.begin("a", fmt.Sprint(i)).Outcome)
	}
	require.EqualValues(t, 1, g.begin("a", "7").Record.Attempt)
}

// TestRestartedReplicaHasNotCaughtUpWithoutLeader guards against a replica that publishes what
// it has applied after a restart: entries that it acknowledged may be missing until a
// leader confirms them.
func TestRestartedReplicaHasNotCaughtUpWithoutLeader(t *testing.T) {
	g := newTestGroup(t, 3)
	const published = 20
	for version := uint64(1); version <= published; version++ {
		_, err := g.client.Publish(g.context(), &controlv1.PublishRequest{Document: &controlv1.PublishedDocument{Name: "site", Version: version, Content: []byte("x")}})
		require.NoError(t, err)
	}
	newest := func(name string) (version uint64) {
		g.running[name].Log().ReadLocal(func(st *state.State) { version = st.Published("site").GetVersion() })
		return version
	}
	for _, name := range g.names {
		require.Eventually(t, func() bool { return newest(name) == published }, testTimeout, 5*time.Millisecond)
	}
	for _, name := range g.names {
		g.crash(name)
	}
	behind := 0
	for _, name := range g.names {
		g.start(name)
		if newest(name) < published {
			behind++
		}
		for end := time.Now().Add(50 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if caughtUp := g.running[name].Log().CaughtUp(); caughtUp {
				require.EqualValues(t, published, newest(name), "%s has caught up with an older state", name)
			}
		}
	}
	require.NotZero(t, behind, "a replica starts with a state that is older than what it holds")
	for _, name := range g.names {
		require.Eventually(t, func() bool { return g.running[name].Log().CaughtUp() }, testTimeout, 5*time.Millisecond)
		require.EqualValues(t, published, newest(name))
	}
}

// TestStaleDataDirIsRejected guards against a replica that starts on a data
// directory restored from an older copy, which lacks entries that the replica
// has acknowledged.
func TestStaleDataDirIsRejected(t *testing.T) {
	g := newTestGroup(t, 3)
	g.begin("a", "1")
	leader := g.leader()
	victim := g.followers(leader)[0]
	g.crash(victim)
	backup := filepath.Join(g.dir, "backup")
	require.NoError(t, os.CopyFS(backup, os.DirFS(g.settings[victim].DataDir)))
	g.start(victim)
	for i := range 20 {
		g.begin("b", fmt.Sprint(i))
	}
	require.Eventually(t, func() bool {
		s := g.running[leader].Log().group.Status()
		return s.MatchIndex[g.running[victim].Log().group.ID()] == s.LastIndex && s.CommitIndex == s.LastIndex
	}, testTimeout, 10*time.Millisecond)
	g.crash(victim)
	require.NoError(t, os.RemoveAll(g.settings[victim].DataDir))
	require.NoError(t, os.CopyFS(g.settings[victim].DataDir, os.DirFS(backup)))
	g.start(victim)
	require.Eventually(t, func() bool { return g.running[victim].Log().group.Err() != nil }, testTimeout, 10*time.Millisecond)
	require.ErrorIs(t, g.running[victim].Log().group.Err(), replog.ErrStaleDataDir)
}

func TestReplicaIsAddedAndRemovedByOperators(t *testing.T) {
	g := newTestGroup(t, 1)
	g.begin("a", "1")
	s := Settings{Instance: "control-2", FailureDomain: "d2", Listen: freeAddress(t), DataDir: filepath.Join(g.dir, "control-2")}
	require.NoError(t, os.MkdirAll(s.DataDir, 0o700))
	s.Replicas = g.settings["control-1"].Replicas
	if s.Replicas == "" {
		s.Replicas = "control-1=" + g.urls[0]
	}
	s.Replicas += ",control-2=http://" + s.Listen
	g.settings["control-2"] = s
	g.start("control-2")
	id := g.running["control-2"].Log().group.ID()
	peers := consensusv1.NewConsensusProtobufClient(g.urls[0], &http.Client{})
	_, err := peers.AddReplica(g.context(), &consensusv1.AddReplicaRequest{Group: MainGroup, Id: id, Url: "http://" + s.Listen})
	require.NoError(t, err)
	voters := func() int {
		r, err := peers.GetReplicas(g.context(), &consensusv1.GetReplicasRequest{Group: MainGroup})
		require.NoError(t, err)
		count := 0
		for _, x := range r.Replicas {
			if !x.Member.Learner {
				count++
			}
		}
		return count
	}
	require.Eventually(t, func() bool { return voters() == 2 }, testTimeout, 10*time.Millisecond)
	_, err = peers.RemoveReplica(g.context(), &consensusv1.RemoveReplicaRequest{Group: MainGroup, Id: id})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return voters() == 1 }, testTimeout, 10*time.Millisecond)
}

// TestLaggingReplicaCatchesUpFromSnapshot restarts a replica after the entries
// that it lacks were compacted away.
func TestLaggingReplicaCatchesUpFromSnapshot(t *testing.T) {
	g := newTestGroupWithSnapshots(t, 3, 50)
	g.begin("a", "first")
	leader := g.leader()
	lagging := g.followers(leader)[0]
	g.crash(lagging)
	for i := range 400 {
		g.begin("a", fmt.Sprint(i))
	}
	status := func(name string) consensus.Status { return g.running[name].Log().group.Status() }
	require.Eventually(t, func() bool { return status(leader).FirstIndex > 200 }, testTimeout, 10*time.Millisecond)
	g.start(lagging)
	require.Eventually(t, func() bool {
		s := status(lagging)
		return s.SnapshotIndex > 200 && s.AppliedIndex >= status(leader).CommitIndex-1
	}, testTimeout, 10*time.Millisecond)
	// The call records must have been restored from the snapshot.
	for _, name := range g.names {
		if name != lagging && name != leader {
			require.NoError(t, g.running[name].Stop(context.Background()))
			delete(g.running, name)
		}
	}
	require.EqualValues(t, 1, g.begin("a", "7").Record.Attempt)
	var records uint64
	g.running[lagging].Log().ReadLocal(func(st *state.State) { records = st.Status("").CallsRecorded })
	require.EqualValues(t, 401, records)
}

// A poll that waits for changes of a log which fails must go on at the log that replaces it.
func TestPollIsWokenByChangeAfterLogWasReopened(t *testing.T) {
	g := newTestGroup(t, 1)
	g.begin("a", "1")
	r := g.running[g.leader()]
	failed := r.Log()
	const wait = 20 * time.Second
	type result struct {
		revision uint64
		took     time.Duration
		err      error
	}
	polled := make(chan result, 1)
	startedAt := time.Now()
	go func() {
		response, err := r.LocalService().GetConfig(g.context(), &controlv1.GetConfigRequest{Environment: "haddon-trial", WaitMs: uint32(wait.Milliseconds())})
		polled <- result{response.GetRevision(), time.Since(startedAt), err}
	}()
	time.Sleep(100 * time.Millisecond) // lets the poll wait
	failed.group.Fail(errors.New("no space left on device"))
	require.Eventually(t, func() bool { return r.Log() != failed && r.Log().group.Err() == nil }, testTimeout, 10*time.Millisecond)
	_, items := configtest.ItemsWithAccounts(t, 10)
	applied, err := g.client.ApplyConfig(g.context(), &controlv1.ApplyConfigRequest{Environment: "haddon-trial", ChangeId: "1", Upserts: items})
	require.NoError(t, err)
	require.True(t, applied.Accepted, applied.Reason)
	got := <-polled
	require.NoError(t, got.err)
	require.Equal(t, applied.Revision, got.revision)
	require.Less(t, got.took, wait)
}

func TestReplicaRecoversFromDiskFailure(t *testing.T) {
	g := newTestGroup(t, 3)
	require.Equal(t, controlv1.BeginOutcome_BEGIN_OUTCOME_DISPATCH, g.begin("a", "1").Outcome)
	name := g.leader()
	r := g.running[name]
	failed := r.Log()
	failed.group.Fail(errors.New("no space left on device"))
	require.Equal(t, controlv1.BeginOutcome_BEGIN_OUTCOME_DISPATCH, g.begin("a", "2").Outcome, "the other replicas continue to serve")
	require.Eventually(t, func() bool {
		var calls uint64
		if r.Log() == failed {
			return false
		}
		r.Log().ReadLocal(func(st *state.State) { calls = st.Status("").CallsRecorded })
		return r.Log().group.Err() == nil && calls == 2
	}, testTimeout, 20*time.Millisecond, "the replica rejoins the group and catches up")
}
