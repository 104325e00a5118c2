package catalogue

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/control/state"
	"github.com/galenaarch/galenaarch/internal/logtest"
	"github.com/galenaarch/galenaarch/kvcache"
	"github.com/galenaarch/galenaarch/link"
	"github.com/galenaarch/galenaarch/membership"
	"github.com/galenaarch/galenaarch/standin/store"
)

const (
	testWait       = 10 * time.Second
	testPoll       = 5 * time.Millisecond
	testBlockBytes = 1024
)

// leaseControl is a control service that implements only the leases.
type leaseControl struct {
	controlv1.Control
	mu    sync.Mutex
	state *state.State
}

func (l *leaseControl) apply(c *controlv1.Command) *controlv1.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.TimeUnixMs = time.Now().UnixMilli()
	return l.state.Apply(c)
}

func (l *leaseControl) AcquireLease(_ context.Context, r *controlv1.AcquireLeaseRequest) (*controlv1.AcquireLeaseResponse, error) {
	return l.apply(&controlv1.Command{Body: &controlv1.Command_AcquireLease{AcquireLease: r}}).GetAcquireLease(), nil
}

func (l *leaseControl) ReleaseLease(_ context.Context, r *controlv1.ReleaseLeaseRequest) (*controlv1.ReleaseLeaseResponse, error) {
	return l.apply(&controlv1.Command{Body: &controlv1.Command_ReleaseLease{ReleaseLease: r}}).GetReleaseLease(), nil
}

// fakeMembers is a membership source that tests can change.
type fakeMembers struct {
	mu   sync.Mutex
	list []membership.Member
}

func (m *fakeMembers) Members() []membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list
}

func (m *fakeMembers) remove(url string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var remaining []membership.Member
	for _, x := range m.list {
		if x.PeerURL != url {
			remaining = append(remaining, x)
		}
	}
	m.list = remaining
}

// system is a set of entries' catalogues with one store.
type system struct {
	members    *fakeMembers
	catalogues []*Catalogue
	servers    []*httptest.Server
	store      *store.Store
	// delay is the latency of calls between entries, in nanoseconds.
	delay *atomic.Int64
}

// contextOwnedBy returns a context whose shard catalogue i owns.
func (s *system) contextOwnedBy(t *testing.T, i int) []kvcache.BlockKey {
	t.Helper()
	for n := range 1000 {
		keys := testContext(n)
		if c := s.catalogues[i]; c.owner(ShardOf(keys[0])) == c.Self {
			return keys
		}
	}
	t.Fatal("no test context falls into a shard of the catalogue")
	return nil
}

func startSystem(t *testing.T, entries int, capacity int64) *system {
	t.Helper()
	s := &system{members: &fakeMembers{}, delay: &atomic.Int64{}, store: store.New(store.Settings{LinkBytesPerSecond: 1 << 30, CapacityBytes: capacity, Incarnation: 7})}
	storeServer := httptest.NewServer(s.store.Handler())
	t.Cleanup(storeServer.Close)
	control := &leaseControl{state: state.New()}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	for range entries {
		mux := http.NewServeMux()
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Duration(s.delay.Load()))
			mux.ServeHTTP(w, r)
		}))
		t.Cleanup(server.Close)
		retention, err := kvcache.NewRetentionPolicy("saving")
		require.NoError(t, err)
		c := New(Settings{
			Self: server.URL, Environment: "test", Members: s.members, Control: control, PeerClient: server.Client(), StoreClient: server.Client(),
			Links: link.NewSet(), RetentionPolicy: retention, Logger: slog.New(slog.DiscardHandler),
		})
		mux.Handle(c.Handler())
		s.members.list = append(s.members.list, membership.Member{Instance: server.URL, PeerURL: server.URL})
		s.catalogues = append(s.catalogues, c)
		s.servers = append(s.servers, server)
	}
	for _, c := range s.catalogues {
		c.Configure([]Store{{Name: "store", URL: storeServer.URL, LinkBytesPerSecond: 1 << 30, CapacityBytes: capacity}})
		running.Go(func() { c.Run(ctx) })
	}
	s.waitForOwners(t)
	return s
}

// waitForOwners waits until every shard is owned and every catalogue has reached
// its stores.
func (s *system) waitForOwners(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool {
		for shard := range ShardCount {
			owned := false
			for _, c := range s.catalogues {
				_, err := c.shards[shard].FencingNumber(time.Now())
				owned = owned || err == nil
			}
			if !owned {
				return false
			}
		}
		for _, c := range s.catalogues {
			if len(c.stores.reachable()) == 0 {
				return false
			}
		}
		return true
	}, testWait, testPoll)
}

func testContext(n int) []kvcache.BlockKey {
	text := strings.Repeat(fmt.Sprintf("context %04d", n), 4)
	return kvcache.TextBlocks(kvcache.Scope{ClientAccount: "a", Deployment: "d"}, text, 3)
}

func lookupRequest(keys []kvcache.BlockKey) *kvcache.LookupRequest {
	return &kvcache.LookupRequest{Keys: keys, ClientAccount: "a", Class: "d/interactive", Weight: 1}
}

// cacheContext looks up, writes and publishes a context through one entry.
func (s *system) cacheContext(t *testing.T, c *Catalogue, keys []kvcache.BlockKey) Outcome {
	t.Helper()
	c.Lookup(t.Context(), lookupRequest(keys))
	job, outcome := c.Reserve(t.Context(), keys, "a", []string{"store"}, testBlockBytes)
	if outcome != OutcomeGranted {
		return outcome
	}
	c.Seal(t.Context(), job, s.write(t, job))
	return outcome
}

// write writes a reservation's blocks of zeros to the store, as an engine would.
func (s *system) write(t *testing.T, job *ExportJob) []backend.SealedBlock {
	t.Helper()
	var sealed []backend.SealedBlock
	for _, target := range job.Targets {
		b, ok := putBlock(t, target)
		require.True(t, ok)
		sealed = append(sealed, b)
	}
	return sealed
}

func TestCachedContextIsFoundByEveryEntry(t *testing.T) {
	s := startSystem(t, 3, 1<<20)
	for n := range 20 {
		keys := testContext(n)
		require.Equal(t, OutcomeGranted, s.cacheContext(t, s.catalogues[n%3], keys))
		for _, c := range s.catalogues {
			cached, _ := c.Lookup(t.Context(), lookupRequest(keys))
			require.Len(t, cached, len(keys))
			for _, copies := range cached {
				require.NotEmpty(t, copies)
				require.Equal(t, uint64(7), copies[0].Incarnation)
			}
		}
	}
}

// TestSlowOwnerReturnsNothingAndIsLogged: a lookup waits only for a bounded time,
// and contexts that are not found because of it must be visible in the log.
func TestSlowOwnerReturnsNothingAndIsLogged(t *testing.T) {
	s := startSystem(t, 2, 1<<20)
	entry, keys := s.catalogues[0], s.contextOwnedBy(t, 1)
	require.Equal(t, OutcomeGranted, s.cacheContext(t, s.catalogues[1], keys))
	var logged logtest.Buffer
	entry.Logger = slog.New(slog.NewTextHandler(&logged, nil))

	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	cached, _ := entry.Lookup(cancelled, lookupRequest(keys))
	require.Empty(t, cached)
	require.Len(t, keys, countFound(t, entry, keys), "a cancelled call does not make the owner unreachable")

	s.delay.Store(int64(2 * peerTimeout))
	require.Zero(t, countFound(t, entry, keys))
	s.delay.Store(0)
	require.Zero(t, countFound(t, entry, keys), "the owner is not called during the cooldown")
	require.Contains(t, logged.String(), "owner unreachable")
	require.Eventually(t, func() bool { return countFound(t, entry, keys) == len(keys) }, testWait, testPoll)
	require.Contains(t, logged.String(), "owner reachable again")
}

// countFound returns how many blocks of a context an entry finds.
func countFound(t *testing.T, c *Catalogue, keys []kvcache.BlockKey) int {
	t.Helper()
	cached, _ := c.Lookup(t.Context(), lookupRequest(keys))
	return len(cached)
}

// TestRemovedOwnerIsReplaced: the other entries take over a removed owner's shards
// and rebuild them from the stores' listings.
func TestRemovedOwnerIsReplaced(t *testing.T) {
	s := startSystem(t, 3, 1<<20)
	var contexts [][]kvcache.BlockKey
	for n := range 12 {
		contexts = append(contexts, testContext(n))
		require.Equal(t, OutcomeGranted, s.cacheContext(t, s.catalogues[0], contexts[n]))
	}
	removed := s.catalogues[2]
	s.members.remove(removed.Self)
	for _, keys := range contexts {
		require.Eventually(t, func() bool { return countFound(t, s.catalogues[0], keys) == len(keys) }, testWait, testPoll)
		require.Equal(t, len(keys), countFound(t, s.catalogues[1], keys))
	}
}

// TestStaleOwnerCannotFree: a store rejects the free request of an earlier owner once
// the next owner has listed the store.
func TestStaleOwnerCannotFree(t *testing.T) {
	s := startSystem(t, 1, 1<<20)
	c := s.catalogues[0]
	keys := testContext(1)
	require.Equal(t, OutcomeGranted, s.cacheContext(t, c, keys))
	cached, _ := c.Lookup(t.Context(), lookupRequest(keys))
	shard := ShardOf(keys[0])
	fencingNumber, err := c.shards[shard].FencingNumber(time.Now())
	require.NoError(t, err)
	state, _ := c.stores.get("store")
	_, _, err = c.stores.list(t.Context(), state.Store, c.scope(shard), fencingNumber+1)
	require.NoError(t, err)
	request := kvcache.FreeRequest{Key: keys[0], Location: cached[0][0], FencingNumber: fencingNumber}
	require.Error(t, c.stores.free(t.Context(), request, c.scope(shard)))
	require.Equal(t, int64(len(keys)*testBlockBytes), s.store.UsedBytes())

	request.FencingNumber = fencingNumber + 1
	request.Location.Generation++
	require.NoError(t, c.stores.free(t.Context(), request, c.scope(shard)))
	require.Equal(t, int64(len(keys)*testBlockBytes), s.store.UsedBytes(), "a request for another generation frees nothing")
}

// TestFullStoreAcceptsOnlyWhatFits: blocks stored before the store was full are still
// found, and no more is granted than fits.
func TestFullStoreAcceptsOnlyWhatFits(t *testing.T) {
	keys := testContext(0)
	s := startSystem(t, 1, int64(len(keys)+2)*testBlockBytes)
	c := s.catalogues[0]
	require.Equal(t, OutcomeGranted, s.cacheContext(t, c, keys))
	require.Eventually(t, func() bool {
		state, _ := c.stores.get("store")
		return state.used == s.store.UsedBytes()
	}, testWait, testPoll)
	s.cacheContext(t, c, testContext(1))
	require.LessOrEqual(t, s.store.UsedBytes(), int64(len(keys)+2)*testBlockBytes)
	require.Equal(t, len(keys), countFound(t, c, keys))
}

func TestReportedMissingCopyIsRemoved(t *testing.T) {
	s := startSystem(t, 2, 1<<20)
	keys := testContext(3)
	require.Equal(t, OutcomeGranted, s.cacheContext(t, s.catalogues[0], keys))
	cached, _ := s.catalogues[0].Lookup(t.Context(), lookupRequest(keys))
	last := len(keys) - 1
	s.catalogues[1].ReportMissing(t.Context(), keys[0], keys[last], cached[last][0])
	require.Equal(t, last, countFound(t, s.catalogues[0], keys))
	require.Equal(t, OutcomeGranted, s.cacheContext(t, s.catalogues[1], keys), "the missing block may be written again")
	require.Equal(t, len(keys), countFound(t, s.catalogues[0], keys))
}
