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

// shared is the state of a control group, as all its members see it.
type shared struct {
	mu      sync.Mutex
	list    []*controlv1.PublishedDocument
	changed chan struct{}
	members []string
}

func (s *shared) publish(version uint64, content []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = []*controlv1.PublishedDocument{{Name: "site", Version: version, Content: content}}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Published implements registry.Documents.
func (s *shared) Published() []*controlv1.PublishedDocument {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list
}

// Changed implements registry.Documents.
func (s *shared) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Members implements registry.Documents.
func (s *shared) Members() []string { return s.members }

// group starts control instances and a view that listens to them; read counts
// the bytes that come over the view's link.
func group(t *testing.T, count int) (docs *shared, hubs []*registry.Hub, servers []*httptest.Server, v *View, read *atomic.Int64) {
	t.Helper()
	quiet := slog.New(slog.DiscardHandler)
	docs, read = &shared{changed: make(chan struct{})}, &atomic.Int64{}
	for range count {
		hub := registry.NewHub(time.Second, docs, quiet)
		server := httptest.NewServer(httpserver.Compressed(fleetv1.NewFleetServer(hub)))
		t.Cleanup(server.Close)
		hubs, servers = append(hubs, hub), append(servers, server)
		docs.members = append(docs.members, server.URL)
	}
	client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &countedConn{c, read}, err
	}}}
	v = New(docs.members[:1], nil, client, quiet)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	v.Start(ctx)
	return docs, hubs, servers, v, read
}

type countedConn struct {
	net.Conn
	read *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// routes is a document of many routes, about as large as a site's largest.
func routes(version uint64) []byte {
	var b strings.Builder
	for i := range 1500 {
		fmt.Fprintf(&b, `{"name":"r-%d","host":"h%d.example","path_prefix":"/p%d/","service":"s%d","v":%d},`, i, i%7, i*7919, i%5, version)
	}
	return []byte(b.String())
}

func version(v *View) uint64 {
	if d := v.Current().Documents["site"]; d != nil {
		return d.Version
	}
	return 0
}

// TestLargeDocumentsComeOnce: nine members of a control group that each sent
// every version of a large document filled an entry instance's link for seconds,
// so that it heard too late of servers that leave.
func TestLargeDocumentsComeOnce(t *testing.T) {
	docs, _, _, v, read := group(t, 9)
	require.Eventually(t, func() bool { return v.Current().Reached == 9 }, testWait, testPoll)
	before := read.Load()
	size := len(routes(1))
	const versions = 8
	for n := range uint64(versions) {
		docs.publish(n+1, routes(n+1))
		time.Sleep(50 * time.Millisecond)
	}
	require.Eventually(t, func() bool { return version(v) == versions }, 2*time.Second, testPoll)
	// Each version once at most, and compressed to an eighth at least.
	require.Less(t, read.Load()-before, int64(size), "%d versions of %d bytes", versions, size)
}

// TestDocumentComesFromWhoeverAnswers: the instance that named the version may
// be gone before it is asked for the content.
func TestDocumentComesFromWhoeverAnswers(t *testing.T) {
	docs, _, servers, v, _ := group(t, 3)
	require.Eventually(t, func() bool { return v.Current().Reached == 3 }, testWait, testPoll)
	docs.publish(1, routes(1))
	require.Eventually(t, func() bool { return version(v) == 1 }, testWait, testPoll)
	servers[0].CloseClientConnections()
	servers[0].Close()
	docs.publish(2, routes(2))
	require.Eventually(t, func() bool { return version(v) == 2 }, testWait, testPoll)
	require.Equal(t, routes(2), v.Current().Documents["site"].Content)
}

func TestLeavingServerIsHeardOfDuringAStormOfDocuments(t *testing.T) {
	docs, hubs, _, v, _ := group(t, 3)
	a := &fleetv1.Announcement{Server: "s", BornUnixMs: 1, Sequence: 1, Service: "x", Address: "10.0.0.1:1", State: fleetv1.ServerState_SERVER_STATE_READY}
	hubs[1].Hear(a)
	require.Eventually(t, func() bool { return v.Current().Servers["s"] != nil }, testWait, testPoll)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() {
		for n := uint64(1); ctx.Err() == nil; n++ {
			docs.publish(n, routes(n))
			time.Sleep(20 * time.Millisecond)
		}
	}()
	time.Sleep(200 * time.Millisecond)
	hubs[1].Leave("s", 1)
	require.Eventually(t, func() bool { return v.Current().Servers["s"].State == fleetv1.ServerState_SERVER_STATE_GONE }, time.Second, testPoll)
}

// TestStartingProcessShowsNoWithdrawnDocument: an entry instance starts, and the
// first control instance that it hears is far behind the others: in the document
// that it holds, a key is still there that was withdrawn. Nothing is in force
// until more than half of the instances have answered.
func TestStartingProcessShowsNoWithdrawnDocument(t *testing.T) {
	quiet := slog.New(slog.DiscardHandler)
	behind := &shared{changed: make(chan struct{})}
	ahead := &shared{changed: make(chan struct{})}
	var up atomic.Bool
	var urls []string
	for i, docs := range []*shared{behind, ahead, ahead} {
		feed := httpserver.Compressed(fleetv1.NewFleetServer(registry.NewHub(time.Second, docs, quiet)))
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if i > 0 && !up.Load() {
				http.Error(w, "cut off", http.StatusBadGateway)
				return
			}
			feed.ServeHTTP(w, r)
		}))
		t.Cleanup(server.Close)
		urls = append(urls, server.URL)
	}
	behind.members, ahead.members = urls, urls
	behind.publish(1, []byte("with the key"))
	ahead.publish(2, []byte("without the key"))
	v := New(urls[:1], nil, &http.Client{}, quiet)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	v.Start(ctx)
	require.Eventually(t, func() bool { return v.Current().Reached == 1 }, testWait, testPoll)
	require.Never(t, func() bool { return version(v) != 0 }, time.Second, testPoll)
	up.Store(true)
	deadline := time.Now().Add(testWait)
	for version(v) == 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	require.Equal(t, uint64(2), version(v), "the older one is never shown")
}
