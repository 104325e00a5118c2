package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/fleet"
	"github.com/galenaarch/galenaarch/kvcache"
	"github.com/galenaarch/galenaarch/link"
)

const (
	testBlockTokens = 1024
	testBlockBytes  = 64 << 10
	testPrefillRate = 8192.0
	testSlots       = 8
)

var testNow = time.Unix(1_000_000, 0)

func testRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// testServer describes a server of a test fleet.
type testServer struct {
	// cached is the number of leading blocks that the server caches.
	cached int
	// interactive and batch are the numbers of this entry's requests in progress.
	interactive int
	batch       int
	// others is the number of reported requests from other entries.
	others int
	// stale makes the server's cache view one minute stale.
	stale bool
}

func testKeys(n int) []kvcache.BlockKey {
	return kvcache.TokenBlocks(kvcache.Scope{Deployment: "d"}, make([]int32, n), 1)
}

// testFleet announces the servers s-0000, s-0001 and so on.
func testFleet(t testing.TB, keys []kvcache.BlockKey, list ...testServer) *fleet.Table {
	t.Helper()
	table := fleet.NewTable(time.Hour)
	for i := range list {
		require.True(t, table.Announce(backend.Announcement{
			Server: fmt.Sprintf("s-%04d", i), URL: "u", Deployment: "d", WeightVersion: "v", Slots: testSlots, PrefillTokensPerSecond: testPrefillRate,
		}, testNow))
	}
	for i, s := range list {
		server := table.All()[i]
		page := &backend.CacheEvents{Incarnation: 1, LastSequence: 1, Snapshot: true}
		for _, k := range keys[:s.cached] {
			page.Keys = append(page.Keys, k.String())
		}
		server.Cache.Apply(page, testNow)
		if s.stale {
			gapEvent := backend.CacheEvent{Sequence: 9, Type: "stored"}
			server.Cache.Apply(&backend.CacheEvents{Incarnation: 1, Events: []backend.CacheEvent{gapEvent}}, testNow.Add(-time.Minute))
		}
		for range s.interactive {
			server.StartRun(testBlockTokens, false)
		}
		for range s.batch {
			server.StartRun(8*testBlockTokens, true)
		}
		server.SetLoad(fleet.Load{Running: s.interactive + s.batch + s.others, WaitingTokens: int(server.PendingTokens()), ReceivedAt: testNow})
	}
	return table
}

func testRequest(blocks, stored int, states map[string]link.State) *Request {
	r := &Request{
		Blocks: testKeys(blocks), PromptTokens: blocks * testBlockTokens, BlockTokens: testBlockTokens,
		Priority: config.PriorityInteractive, Links: states, Entries: 1,
	}
	for range stored {
		r.StoredCopies = append(r.StoredCopies, []kvcache.Location{{Store: "store-a", Bytes: testBlockBytes}})
	}
	return r
}

func fastLink() map[string]link.State {
	return map[string]link.State{"store-a": {BytesPerSecond: 4 << 20}}
}

func TestCostPolicy(t *testing.T) {
	slow := map[string]link.State{"store-a": {BytesPerSecond: 64 << 10}}
	congested := map[string]link.State{"store-a": {BytesPerSecond: 4 << 20, QueuedBytes: 64 << 20}}
	down := map[string]link.State{"store-a": {BytesPerSecond: 4 << 20, Down: true}}
	cases := []struct {
		name            string
		blocks          int
		stored          int
		links           map[string]link.State
		recomputeWeight float64
		servers         []testServer
		server          int
		imports         int
	}{
		{"cached prefix", 8, 0, nil, 0, []testServer{{}, {cached: 8}}, 1, 0},
		{"short queue beats short cached prefix behind a long queue", 8, 0, nil, 0, []testServer{{}, {cached: 2, interactive: 7}}, 0, 0},
		{"all blocks stored and imported", 8, 8, fastLink(), 0, []testServer{{}}, 0, 8},
		{"import after the cached prefix", 8, 8, fastLink(), 0, []testServer{{cached: 3}}, 0, 5},
		{"stored part imported, rest recomputed", 8, 5, fastLink(), 0, []testServer{{}}, 0, 5},
		{"recompute instead of a slow link", 8, 8, slow, 0, []testServer{{}}, 0, 0},
		{"slow link used if recomputing has a high weight", 8, 8, slow, 0.01, []testServer{{}}, 0, 8},
		{"recompute instead of a congested link", 8, 8, congested, 0, []testServer{{}}, 0, 0},
		{"recompute while the store is down", 8, 8, down, 0.01, []testServer{{}}, 0, 0},
		{"stale view has little weight", 8, 0, nil, 0, []testServer{{cached: 2, stale: true, interactive: 1}, {}}, 1, 0},
		{"waiting time for occupied slots counts", 1, 0, nil, 0, []testServer{{interactive: 12}, {interactive: 2}}, 1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := testRequest(c.blocks, c.stored, c.links)
			r.Objective.RecomputedTokenSeconds = c.recomputeWeight
			table := testFleet(t, r.Blocks, c.servers...)
			policy, err := New("cost")
			require.NoError(t, err)
			d := policy.Pick(r, SelectCandidates(nil, r, table.All(), nil, table, testRandom()), testNow, testRandom())
			require.Equal(t, table.All()[c.server].Server, d.Server.Server)
			require.Equal(t, c.imports, d.ImportBlocks)
			require.Equal(t, c.servers[c.server].cached, d.CachedBlocks)
		})
	}
}

func TestReserveLimitsBatchRequests(t *testing.T) {
	cases := []struct {
		name     string
		priority config.Priority
		entries  int
		server   testServer
		admitted bool
	}{
		{"idle", config.PriorityBatch, 4, testServer{}, true},
		{"the entry's share is exhausted", config.PriorityBatch, 4, testServer{batch: 1}, false},
		{"a single entry may use all batch slots", config.PriorityBatch, 1, testServer{batch: 5}, true},
		{"only reserved slots are free", config.PriorityBatch, 1, testServer{others: 6}, false},
		{"reserved slots accept interactive requests", config.PriorityInteractive, 4, testServer{batch: 6, others: 6}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := testRequest(2, 0, nil)
			r.Priority, r.Entries = c.priority, c.entries
			table := testFleet(t, r.Blocks, c.server)
			list := (&InteractiveReserve{}).Filter(r, SelectCandidates(nil, r, table.All(), nil, table, testRandom()), testNow)
			require.Equal(t, c.admitted, len(list) == 1)
		})
	}
}

func TestBaselinePolicies(t *testing.T) {
	r := testRequest(8, 8, fastLink())
	table := testFleet(t, r.Blocks, testServer{interactive: 3}, testServer{cached: 4, interactive: 5}, testServer{interactive: 1})
	cases := []struct {
		policy  string
		server  string
		imports int
	}{
		{"least_load", "s-0002", 0},
		{"prefix_affinity", "s-0001", 4},
	}
	for _, c := range cases {
		t.Run(c.policy, func(t *testing.T) {
			policy, err := New(c.policy)
			require.NoError(t, err)
			d := policy.Pick(r, SelectCandidates(nil, r, table.All(), nil, table, testRandom()), testNow, testRandom())
			require.Equal(t, c.server, d.Server.Server)
			require.Equal(t, c.imports, d.ImportBlocks)
		})
	}
	t.Run("round_robin", func(t *testing.T) {
		policy, err := New("round_robin")
		require.NoError(t, err)
		seen := make(map[string]bool)
		for range table.All() {
			d := policy.Pick(r, SelectCandidates(nil, r, table.All(), nil, table, testRandom()), testNow, testRandom())
			seen[d.Server.Server] = true
		}
		require.Len(t, seen, 3)
	})
}

// TestCostPolicySpreadsEqualServers: entries with the same reports must not all
// pick the same server.
func TestCostPolicySpreadsEqualServers(t *testing.T) {
	r := testRequest(4, 0, nil)
	table := testFleet(t, r.Blocks, make([]testServer, 10)...)
	policy, err := New("cost")
	require.NoError(t, err)
	random := testRandom()
	seen := make(map[string]int)
	for range 200 {
		d := policy.Pick(r, SelectCandidates(nil, r, table.All(), nil, table, random), testNow, random)
		seen[d.Server.Server]++
	}
	require.Len(t, seen, 10)
}

// TestCandidatesSampleLargeFleets: a large fleet is sampled, but the server that
// caches the context is always a candidate.
func TestCandidatesSampleLargeFleets(t *testing.T) {
	servers := make([]testServer, 500)
	servers[321].cached = 4
	r := testRequest(4, 0, nil)
	table := testFleet(t, r.Blocks, servers...)
	random := testRandom()
	for range 50 {
		list := SelectCandidates(nil, r, table.All(), []string{"s-0000"}, table, random)
		require.Less(t, len(list), 2*sampleSize)
		seen := make(map[string]bool)
		for _, c := range list {
			require.False(t, seen[c.Server.Server], "duplicate candidate")
			seen[c.Server.Server] = true
		}
		require.True(t, seen["s-0321"])
		require.False(t, seen["s-0000"])
	}
}

func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{10, 986} {
		b.Run(fmt.Sprintf("%d servers", n), func(b *testing.B) {
			servers := make([]testServer, n)
			for i := range servers {
				servers[i].interactive = i % 5
			}
			servers[n/2].cached = 12
			r := testRequest(24, 20, fastLink())
			table := testFleet(b, r.Blocks, servers...)
			policy, err := New("cost")
			require.NoError(b, err)
			random := testRandom()
			var buffer [64]Candidate
			b.ReportAllocs()
			for b.Loop() {
				candidates := SelectCandidates(buffer[:0], r, table.All(), nil, table, random)
				policy.Pick(r, candidates, testNow, random)
			}
		})
	}
}
