package fleetview

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/httpserver"
	"github.com/galenaarch/galenaarch/registry"
)

const (
	testWait = 10 * time.Second
	testPoll = 5 * time.Millisecond
)

// groupState is the state of a control group that all its members share.
type groupState struct {
	mu        sync.Mutex
	documents []*controlv1.PublishedDocument
	changed   chan struct{}
	members   []string
}

func (s *groupState) publish(version uint64, content []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.documents = []*controlv1.PublishedDocument{{Name: "site", Version: version, Content: content}}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Published lists the published documents.
func (s *groupState) Published() []*controlv1.PublishedDocument {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.documents
}

// Changed returns a channel that is closed at the next change.
func (s *groupState) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// ControlURLs lists the base URLs of the control instances.
func (s *groupState) ControlURLs() []string { return s.members }

// startGroup starts control instances and a view that follows them. bytesRead
// counts the bytes received on the view's connections.
func startGroup(t *testing.T, count int) (state *groupState, hubs []*registry.Hub, servers []*httptest.Server, v *View, bytesRead *atomic.Int64) {
	t.Helper()
	logger := slog.New(slog.DiscardHandler)
	state, bytesRead = &groupState{changed: make(chan struct{})}, &atomic.Int64{}
	for range count {
		hub := registry.NewHub(time.Second, state, logger)
		server := httptest.NewServer(httpserver.GzipHandler(fleetv1.NewFleetServer(hub)))
		t.Cleanup(server.Close)
		hubs, servers = append(hubs, hub), append(servers, server)
		state.members = append(state.members, server.URL)
	}
	client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &countedConn{c, bytesRead}, err
	}}}
	v = New(state.members[:1], nil, client, logger)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	v.Start(ctx)
	return state, hubs, servers, v, bytesRead
}

type countedConn struct {
	net.Conn
	bytesRead *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytesRead.Add(int64(n))
	return n, err
}

// routes returns a document of 1500 routes, about the size of the largest site
// document.
func routes(version uint64) []byte {
	var b strings.Builder
	for i := range 1500 {
		fmt.Fprintf(&b, `{"name":"r-%d","host":"h%d.example","path_prefix":"/p%d/","service":"s%d","v":%d},`, i, i%7, i*7919, i%5, version)
	}
	return []byte(b.String())
}

func siteVersion(v *View) uint64 {
	if d := v.Current().Documents["site"]; d != nil {
		return d.Version
	}
	return 0
}

// TestLargeDocumentsAreFetchedOnce guards against nine members of a control
// group each sending every version of a large document. That filled an entry
// instance's network link for seconds, which delayed the reports of leaving
// servers.
func TestLargeDocumentsAreFetchedOnce(t *testing.T) {
	state, _, _, v, bytesRead := startGroup(t, 9)
	require.Eventually(t, func() bool { return v.Current().ReachableControls == 9 }, testWait, testPoll)
	before := bytesRead.Load()
	size := len(routes(1))
	const versions = 8
	for n := range uint64(versions) {
		state.publish(n+1, routes(n+1))
		time.Sleep(50 * time.Millisecond)
	}
	require.Eventually(t, func() bool { return siteVersion(v) == versions }, 2*time.Second, testPoll)
	// Allows at most one transfer of each version, compressed to an eighth or
	// less.
	require.Less(t, bytesRead.Load()-before, int64(size), "%d versions of %d bytes", versions, size)
}

// TestDocumentIsFetchedFromReachableSource: the control instance that reported
// a version may be gone before the content is fetched.
func TestDocumentIsFetchedFromReachableSource(t *testing.T) {
	state, _, servers, v, _ := startGroup(t, 3)
	require.Eventually(t, func() bool { return v.Current().ReachableControls == 3 }, testWait, testPoll)
	state.publish(1, routes(1))
	require.Eventually(t, func() bool { return siteVersion(v) == 1 }, testWait, testPoll)
	servers[0].CloseClientConnections()
	servers[0].Close()
	state.publish(2, routes(2))
	require.Eventually(t, func() bool { return siteVersion(v) == 2 }, testWait, testPoll)
	require.Equal(t, routes(2), v.Current().Documents["site"].Content)
}

// memberState is the state that one control instance has applied, besides the members of
// the group.
type memberState struct {
	groupState
	group *groupState
}

// ControlURLs implements registry.DocumentSource.
func (s *memberState) ControlURLs() []string { return s.group.members }

// faultyMember is a control instance that stops to respond.
type faultyMember struct {
	memberState
	// keepsContent makes it send no content of documents; silent makes it send nothing.
	keepsContent, silent atomic.Bool
	// contentTime is how long it prepares the content of a document, one after another, also
	// for a process that has given up; fetches counts these.
	contentTime time.Duration
	contentMu   sync.Mutex
	fetches     atomic.Int64
}

// serve passes requests on to a feed while the instance responds.
func (m *faultyMember) serve(feed http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response := httptest.NewRecorder()
		if strings.HasSuffix(r.URL.Path, "/Document") {
			m.fetches.Add(1)
			m.contentMu.Lock()
			time.Sleep(m.contentTime)
			m.contentMu.Unlock()
		}
		feed.ServeHTTP(response, r)
		if m.silent.Load() || (m.keepsContent.Load() && strings.HasSuffix(r.URL.Path, "/Document")) {
			<-r.Context().Done()
			return
		}
		w.Header().Set("Content-Type", response.Header().Get("Content-Type"))
		w.WriteHeader(response.Code)
		_, _ = w.Write(response.Body.Bytes())
	})
}

// startMembers is startGroup for control instances that apply documents at different
// times.
func startMembers(t *testing.T, count int) ([]*faultyMember, *View) {
	t.Helper()
	members, views := startViews(t, count, 1, 0)
	return members, views[0]
}

// startViews is startMembers for several processes that follow the control instances, which
// take contentTime for the content of a document.
func startViews(t *testing.T, count, viewCount int, contentTime time.Duration) ([]*faultyMember, []*View) {
	t.Helper()
	logger := slog.New(slog.DiscardHandler)
	group, members := &groupState{}, make([]*faultyMember, 0, count)
	for range count {
		m := &faultyMember{memberState: memberState{groupState: groupState{changed: make(chan struct{})}, group: group}, contentTime: contentTime}
		server := httptest.NewServer(m.serve(fleetv1.NewFleetServer(registry.NewHub(time.Second, m, logger))))
		t.Cleanup(server.Close)
		members, group.members = append(members, m), append(group.members, server.URL)
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	var views []*View
	for range viewCount {
		v := New(group.members, nil, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}, logger)
		v.Start(ctx)
		views = append(views, v)
	}
	return members, views
}

// reportedVersion returns the newest version of the site document that a view has heard of.
func reportedVersion(v *View) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fetches["site"].version
}

// TestVersionIsFetchedThoughItsFirstSourceFallsSilent guards against a control instance
// that reports a version and falls silent before its content is fetched: the others, which
// apply it a moment later, took it for known and never reported it, and the process kept
// the older version.
func TestVersionIsFetchedThoughItsFirstSourceFallsSilent(t *testing.T) {
	// inForceWithin is the smallest bound in use on the time from an acknowledgement
	// until the change is in force.
	const inForceWithin = 2 * time.Second
	for _, count := range []int{3, 5, 9} {
		for _, lag := range []time.Duration{0, 300 * time.Millisecond, 900 * time.Millisecond} {
			t.Run(fmt.Sprint(count, " instances, lag ", lag), func(t *testing.T) {
				t.Parallel()
				members, v := startMembers(t, count)
				for _, m := range members {
					m.publish(1, []byte("one"))
				}
				require.Eventually(t, func() bool { return siteVersion(v) == 1 && v.Current().ReachableControls == count }, testWait, testPoll)
				members[0].keepsContent.Store(true)
				members[0].publish(2, []byte("two"))
				require.Eventually(t, func() bool { return reportedVersion(v) == 2 }, testWait, testPoll)
				members[0].silent.Store(true)
				time.Sleep(lag)
				for _, m := range members[1:] {
					m.publish(2, []byte("two"))
				}
				require.Eventually(t, func() bool { return siteVersion(v) == 2 }, inForceWithin, testPoll)
			})
		}
	}
}

// TestManyProcessesFetchFromAllSources guards against many processes that all fetch a document
// from the control instance that reports it first. It could not prepare that many contents
// before the fetches timed out, and they were repeated there without end.
func TestManyProcessesFetchFromAllSources(t *testing.T) {
	const (
		viewCount, members = 24, 5
		// contentTime is that of a control instance with a quarter of a core for a document
		// of 1500 routes, and a margin.
		contentTime = 40 * time.Millisecond
		// counted versions are in force before the next one is published; the fetches of a
		// single version are too few for their share at one control instance.
		counted  = 4
		versions = 6
		lag      = 20 * time.Millisecond
		// inForceWithin is the smallest bound in use on the time from an acknowledgement
		// until the change is in force.
		inForceWithin = 2 * time.Second
	)
	list, views := startViews(t, members, viewCount, contentTime)
	inForce := func(version uint64) func() bool {
		return func() bool {
			for _, v := range views {
				if siteVersion(v) != version {
					return false
				}
			}
			return true
		}
	}
	for _, m := range list {
		m.publish(1, []byte("one"))
	}
	require.Eventually(t, inForce(1), testWait, testPoll)
	for _, m := range list {
		m.fetches.Store(0)
	}
	publish := func(version uint64) {
		list[0].publish(version, []byte("more"))
		time.Sleep(lag)
		for _, m := range list[1:] {
			m.publish(version, []byte("more"))
		}
	}
	version := uint64(1)
	for range counted {
		version++
		publish(version)
		require.Eventually(t, inForce(version), inForceWithin, testPoll)
	}
	for n, m := range list {
		require.LessOrEqual(t, m.fetches.Load(), int64(counted*viewCount/2), "fetches at control instance %d", n)
	}
	for range versions {
		version++
		publish(version)
		time.Sleep(lag)
	}
	require.Eventually(t, inForce(version), inForceWithin, testPoll)
}

func TestLeavingServerIsReportedDuringDocumentUpdates(t *testing.T) {
	state, hubs, _, v, _ := startGroup(t, 3)
	a := &fleetv1.Announcement{Server: "s", BornUnixMs: 1, Sequence: 1, Service: "x", Address: "10.0.0.1:1", State: fleetv1.ServerState_SERVER_STATE_READY}
	hubs[1].Announce(a)
	require.Eventually(t, func() bool { return v.Current().Servers["s"] != nil }, testWait, testPoll)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() {
		for n := uint64(1); ctx.Err() == nil; n++ {
			state.publish(n, routes(n))
			time.Sleep(20 * time.Millisecond)
		}
	}()
	time.Sleep(200 * time.Millisecond)
	hubs[1].MarkGone("s", 1)
	require.Eventually(t, func() bool { return v.Current().Servers["s"].State == fleetv1.ServerState_SERVER_STATE_GONE }, time.Second, testPoll)
}

// TestWithdrawnDocumentIsNotReleasedAtStart: an entry instance starts and first
// reaches a control instance that is far behind the others and still holds a
// document with a withdrawn key. No document may be released before a majority
// has responded.
func TestWithdrawnDocumentIsNotReleasedAtStart(t *testing.T) {
	logger := slog.New(slog.DiscardHandler)
	staleState := &groupState{changed: make(chan struct{})}
	newestState := &groupState{changed: make(chan struct{})}
	var reachable atomic.Bool
	var urls []string
	for i, state := range []*groupState{staleState, newestState, newestState} {
		feed := httpserver.GzipHandler(fleetv1.NewFleetServer(registry.NewHub(time.Second, state, logger)))
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if i > 0 && !reachable.Load() {
				http.Error(w, "unreachable", http.StatusBadGateway)
				return
			}
			feed.ServeHTTP(w, r)
		}))
		t.Cleanup(server.Close)
		urls = append(urls, server.URL)
	}
	staleState.members, newestState.members = urls, urls
	staleState.publish(1, []byte("with the key"))
	newestState.publish(2, []byte("without the key"))
	v := New(urls[:1], nil, &http.Client{}, logger)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	v.Start(ctx)
	require.Eventually(t, func() bool { return v.Current().ReachableControls == 1 }, testWait, testPoll)
	require.Never(t, func() bool { return siteVersion(v) != 0 }, time.Second, testPoll)
	reachable.Store(true)
	deadline := time.Now().Add(testWait)
	for siteVersion(v) == 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	require.Equal(t, uint64(2), siteVersion(v), "the older version is never released")
}

// TestDocumentIsReleasedWhenLateSourcesHoldTheSameVersion guards against a process that waits
// for the reports of a majority, while the others do not report what it already holds.
func TestDocumentIsReleasedWhenLateSourcesHoldTheSameVersion(t *testing.T) {
	members, v := startMembers(t, 3)
	for _, m := range members[1:] {
		m.silent.Store(true)
	}
	for _, m := range members {
		m.publish(1, []byte("one"))
	}
	held := func() bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.documents["site"] != nil
	}
	require.Eventually(t, held, testWait, testPoll)
	require.Zero(t, siteVersion(v), "one of three has reported")
	members[1].silent.Store(false)
	require.Eventually(t, func() bool { return siteVersion(v) == 1 }, testWait, testPoll)
}

// TestInstancesWithoutDocumentsAreNoMajority guards against control instances that have
// restarted and not caught up: their responses do not show that a document is the newest.
func TestInstancesWithoutDocumentsAreNoMajority(t *testing.T) {
	members, v := startMembers(t, 3)
	require.Eventually(t, func() bool { return v.Current().ReachableControls == 3 }, testWait, testPoll)
	members[0].publish(1, []byte("one"))
	require.Never(t, func() bool { return siteVersion(v) != 0 }, time.Second, testPoll)
	members[1].publish(2, []byte("two"))
	require.Eventually(t, func() bool { return siteVersion(v) == 2 }, testWait, testPoll)
}

// One control instance holds the entry of another writer under the ID of a server, another
// one those of the server itself.
func TestSilentEntryOfOtherServiceHidesNoServer(t *testing.T) {
	server := &fleetv1.Announcement{Server: "s", Service: "x", BornUnixMs: 1, Sequence: 9, State: fleetv1.ServerState_SERVER_STATE_READY}
	odd := &fleetv1.Announcement{Server: "s", Service: "y", BornUnixMs: 2, Sequence: 1, State: fleetv1.ServerState_SERVER_STATE_READY, Silent: true}
	for _, order := range [][]*fleetv1.Announcement{{server, odd}, {odd, server}} {
		merged := make(map[string]*fleetv1.Announcement)
		for _, a := range order {
			mergeAnnouncement(merged, a)
		}
		require.Equal(t, "x", merged["s"].Service)
	}
}
