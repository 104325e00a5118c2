package replog

import (
	"context"
	"encoding/binary"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/consensusv1"
	"github.com/galenaarch/galenaarch/consensus"
	"github.com/galenaarch/galenaarch/internal/loopback"
)

func TestSilentReplicaRemoval(t *testing.T) {
	const expired, tolerated = 200, 199
	require.Equal(t, expired, (&Settings{}).maxSilentTicks())
	require.Equal(t, 80, (&Settings{CatchUpTime: 4 * time.Second}).maxSilentTicks())
	members := func(voters, learners int) *consensusv1.Membership {
		m := &consensusv1.Membership{}
		for i := range voters + learners {
			m.Members = append(m.Members, &consensusv1.Member{Id: fmt.Sprint("r", i), Learner: i >= voters})
		}
		return m
	}
	tests := []struct {
		name        string
		members     *consensusv1.Membership
		silentTicks map[string]int
		keep        int
		want        string
	}{
		{"none silent for too long", members(5, 0), map[string]int{"r1": tolerated}, 3, ""},
		{"one", members(5, 0), map[string]int{"r1": expired}, 3, "r1"},
		{"several replaced machines, the longest silent first", members(8, 0), map[string]int{"r1": expired, "r2": expired + 50, "r3": expired + 5}, 3, "r2"},
		{"three voters always remain", members(3, 0), map[string]int{"r1": expired}, 3, ""},
		{"five voters remain where two losses are tolerated", members(5, 0), map[string]int{"r1": expired}, 5, ""},
		{"a replaced machine where two losses are tolerated", members(6, 0), map[string]int{"r1": expired}, 5, "r1"},
		{"a learner that never responded", members(3, 1), map[string]int{"r3": expired}, 3, "r3"},
		{"never itself", members(5, 0), map[string]int{"r0": expired}, 3, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, longestSilentReplica(tt.members, "r0", tt.silentTicks, expired, tt.keep))
		})
	}
}

// sum is a state machine that adds numbers.
type sum struct{ total uint64 }

func (s *sum) Apply(command []byte) any {
	s.total += binary.BigEndian.Uint64(command)
	return s.total
}
func (s *sum) Snapshot() ([]byte, error) { return binary.BigEndian.AppendUint64(nil, s.total), nil }
func (s *sum) Restore(state []byte) error {
	s.total = 0
	if len(state) > 0 {
		s.total = binary.BigEndian.Uint64(state)
	}
	return nil
}
func (s *sum) NowMS() int64 { return 1 }

// member is one replica of a dynamic group, with its own HTTP server.
type member struct {
	*Group
	server *httptest.Server
	dir    string
}

type dynamicGroup struct {
	t     *testing.T
	seeds []Peer
	// toleratedLosses applies to the members that are started from now on.
	toleratedLosses int
	diskBytes       int64
}

// peerService serves the consensus API of a replica; group must be set before
// the first request.
type peerService struct{ group *Group }

func (p *peerService) Send(_ context.Context, r *consensusv1.SendRequest) (*consensusv1.SendResponse, error) {
	for _, m := range r.Messages {
		p.group.Deliver(m)
	}
	return &consensusv1.SendResponse{}, nil
}

func (p *peerService) Identify(ctx context.Context, r *consensusv1.IdentifyRequest) (*consensusv1.IdentifyResponse, error) {
	return p.group.Identify(ctx, r), nil
}

func (p *peerService) AddReplica(context.Context, *consensusv1.AddReplicaRequest) (*consensusv1.AddReplicaResponse, error) {
	return nil, nil
}

func (p *peerService) RemoveReplica(context.Context, *consensusv1.RemoveReplicaRequest) (*consensusv1.RemoveReplicaResponse, error) {
	return nil, nil
}

func (p *peerService) GetReplicas(context.Context, *consensusv1.GetReplicasRequest) (*consensusv1.GetReplicasResponse, error) {
	return nil, nil
}

// listen reserves an address for a replica and returns its unstarted server.
func (g *dynamicGroup) listen() (*httptest.Server, *peerService) {
	p := &peerService{}
	server := httptest.NewUnstartedServer(consensusv1.NewConsensusServer(p))
	server.Listener.Close()
	host, err := loopback.FreeHost() // so that no other listener takes its port while it is down
	require.NoError(g.t, err)
	server.Listener, err = listenAt(net.JoinHostPort(host, "0"))
	require.NoError(g.t, err)
	return server, p
}

func (g *dynamicGroup) start(name, dir string, server *httptest.Server, p *peerService, mayBootstrap bool) *member {
	g.t.Helper()
	group, err := Open(Settings{
		Group: "main", Name: name, Dir: dir, URL: "http://" + server.Listener.Addr().String(), Replicas: g.seeds, DynamicMembership: true, MayBootstrap: mayBootstrap,
		ToleratedLosses: g.toleratedLosses, DiskBytes: g.diskBytes, LeaderWait: -1, Logger: slog.New(slog.DiscardHandler), Client: &http.Client{Timeout: 2 * time.Second},
	}, &sum{})
	require.NoError(g.t, err)
	p.group = group
	server.Start()
	require.NoError(g.t, group.Start(context.Background()))
	return &member{Group: group, server: server, dir: dir}
}

func (m *member) stop() {
	m.server.CloseClientConnections()
	m.server.Close()
	m.Kill()
}

func (g *dynamicGroup) voters(m *member) int {
	n := 0
	for _, r := range m.Status().Membership.GetMembers() {
		if !r.Learner {
			n++
		}
	}
	return n
}

// add proposes a number at the current leader and returns the sum.
func (g *dynamicGroup) add(members []*member, n uint64) uint64 {
	g.t.Helper()
	var total uint64
	require.Eventually(g.t, func() bool {
		for _, m := range members {
			if m.Status().Role != consensus.RoleLeader {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			result, err := m.Propose(ctx, func(int64) ([]byte, error) { return binary.BigEndian.AppendUint64(nil, n), nil })
			cancel()
			if err == nil {
				total = result.(uint64)
				return true
			}
		}
		return false
	}, 20*time.Second, 10*time.Millisecond)
	return total
}

func TestGroupBootstrapsOnceAndSurvivesLossOfSeeds(t *testing.T) {
	g := &dynamicGroup{t: t}
	servers := make([]*httptest.Server, 5)
	handlers := make([]*peerService, 5)
	for i := range servers {
		servers[i], handlers[i] = g.listen()
	}
	for i := range 3 {
		g.seeds = append(g.seeds, Peer{URL: "http://" + servers[i].Listener.Addr().String()})
	}
	// The two that are not seeds start first and must not bootstrap a group.
	members := make([]*member, 5)
	for _, i := range []int{4, 3, 2, 1, 0} {
		members[i] = g.start(fmt.Sprint("c", i), t.TempDir(), servers[i], handlers[i], true)
	}
	t.Cleanup(func() {
		for _, m := range members {
			m.stop()
		}
	})
	require.Equal(t, uint64(7), g.add(members, 7))
	require.Eventually(t, func() bool { return g.voters(members[4]) == 5 }, 20*time.Second, 20*time.Millisecond)

	// The replica that bootstrapped the group returns with an empty data
	// directory: it must join and not bootstrap another group.
	members[0].stop()
	server, p := g.listen()
	members[0] = g.start("c0", t.TempDir(), server, p, false)
	require.Eventually(t, func() bool {
		matching := 0
		for _, r := range members[1].Status().Membership.GetMembers() {
			if r.Id == members[0].ID() && !r.Learner {
				matching++
			}
		}
		return matching == 1 && g.voters(members[1]) == 5
	}, 30*time.Second, 20*time.Millisecond, "the new replica replaces the old one as a voter")
	require.Equal(t, uint64(8), g.add(members, 1))

	// The other replicas are killed and restarted without seeds: their data
	// directories must hold everything that was acknowledged.
	g.seeds = nil
	for i, m := range members[1:] {
		m.stop()
		server, p := g.listen()
		_ = i
		members[i+1] = g.restart(m, server, p)
	}
	require.Equal(t, uint64(8), g.add(members, 0))
}

// restart reopens a member's data directory at the same address.
func (g *dynamicGroup) restart(m *member, server *httptest.Server, p *peerService) *member {
	g.t.Helper()
	return g.restartIn(m, m.dir, server, p)
}

// restartIn restarts a member with another data directory at the same address.
func (g *dynamicGroup) restartIn(m *member, dir string, server *httptest.Server, p *peerService) *member {
	g.t.Helper()
	address := m.server.Listener.Addr().String()
	server.Listener.Close()
	require.Eventually(g.t, func() bool {
		l, err := listenAt(address)
		if err == nil {
			server.Listener = l
		}
		return err == nil
	}, 5*time.Second, 10*time.Millisecond)
	return g.start(replicaName(m.ID()), dir, server, p, false)
}

func listenAt(address string) (net.Listener, error) { return net.Listen("tcp4", address) }

// startAll starts count replicas that all may bootstrap, of which the first three are seeds.
func (g *dynamicGroup) startAll(count int) []*member {
	g.t.Helper()
	servers, handlers := make([]*httptest.Server, count), make([]*peerService, count)
	for i := range count {
		servers[i], handlers[i] = g.listen()
	}
	for i := range min(3, count) {
		g.seeds = append(g.seeds, Peer{URL: "http://" + servers[i].Listener.Addr().String()})
	}
	members := make([]*member, count)
	for i := range count {
		members[i] = g.start(fmt.Sprint("c", i), g.t.TempDir(), servers[i], handlers[i], true)
	}
	g.t.Cleanup(func() {
		for _, m := range members {
			m.stop()
		}
	})
	return members
}

// loseDisk restarts the member at an index with an empty data directory.
func (g *dynamicGroup) loseDisk(members []*member, index int) {
	g.t.Helper()
	members[index].stop()
	server, p := g.listen()
	members[index] = g.restartIn(members[index], g.t.TempDir(), server, p)
}

// TestFirstAcknowledgementSurvivesLossOfTwoDisks guards against a group that acknowledges a
// change while it has fewer voters than the loss of two disks requires: without a majority
// it serves neither reads nor changes from then on.
func TestFirstAcknowledgementSurvivesLossOfTwoDisks(t *testing.T) {
	for _, lost := range [][]int{{0, 1}, {0, 2}, {1, 2}} {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			g := &dynamicGroup{t: t, toleratedLosses: 2}
			members := g.startAll(9)
			require.Equal(t, uint64(7), g.add(members, 7))
			for _, index := range lost {
				g.loseDisk(members, index)
			}
			require.Equal(t, uint64(7), g.add(members, 0))
		})
	}
}

// TestLogIsCompactedBySizeOfDisk guards against a log that fills the disk before enough entries
// for a snapshot are in it.
func TestLogIsCompactedBySizeOfDisk(t *testing.T) {
	const diskBytes, entryBytes, entries = 8 << 20, 64 << 10, 200
	g := &dynamicGroup{t: t, diskBytes: diskBytes}
	members := g.startAll(1)
	for n := range uint64(entries) {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		require.Eventually(t, func() bool {
			_, err := members[0].Propose(ctx, func(int64) ([]byte, error) {
				return append(binary.BigEndian.AppendUint64(nil, n), make([]byte, entryBytes)...), nil
			})
			return err == nil
		}, 20*time.Second, TickInterval)
		cancel()
		var logBytes int64
		require.NoError(t, members[0].runInLoop(t.Context(), func() error {
			logBytes = members[0].store.LogBytes()
			return nil
		}))
		require.LessOrEqual(t, logBytes, int64(diskBytes/2))
	}
	require.Positive(t, members[0].Status().SnapshotIndex-bootstrapIndex)
}
