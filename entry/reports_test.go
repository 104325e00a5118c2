package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/adapters"
	_ "github.com/galenaarch/galenaarch/adapters/jsonstatus"
	_ "github.com/galenaarch/galenaarch/adapters/prometheustext"
	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/fleet"
	"github.com/galenaarch/galenaarch/kernel"
)

// panickingAdapter panics on every call.
type panickingAdapter struct{}

func (panickingAdapter) FetchLoad(context.Context, *http.Client, string) (fleet.Load, error) {
	var missing *fleet.Load
	return *missing, nil
}

func (panickingAdapter) FetchCacheEvents(context.Context, *http.Client, string, uint64, bool) (*backend.CacheEvents, error) {
	panic("events")
}

func init() {
	kernel.Register(kernel.Module{ID: adapters.Namespace + ".test_panicking", New: func() any { return panickingAdapter{} }})
}

// A server that never responds, responds with garbage or makes its adapter
// panic must neither crash the entry nor block the reports of other servers.
func TestBrokenReporterDoesNotBlockOthers(t *testing.T) {
	e := startEntry(t)
	release := make(chan struct{})
	stuck := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer stuck.Close()
	defer close(release)
	nonsense := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "\x00{") }))
	defer nonsense.Close()
	e.announce("engine-1", stuck.URL)
	e.announce("engine-2", nonsense.URL)
	e.announce("engine-3", startEngine(t, "engine-3").URL)
	reader := reportReader{entry: e.Entry, server: e.fleet.All()[1]}
	require.NotPanics(t, func() { reader.readOnce(t.Context(), "test_panicking") })
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go e.pollReports(ctx)
	healthy := e.fleet.All()[2]
	for range 2 {
		before := time.Now()
		require.Eventually(t, func() bool { return healthy.Load().ReceivedAt.After(before) }, testWait, testPoll)
	}
	require.Zero(t, e.fleet.All()[1].Load())
}

// Cache events that cannot be applied must be followed by a request for a full
// listing.
func TestUnusableCacheEventsTriggerFullListing(t *testing.T) {
	e := startEntry(t)
	fullParams := make(chan string, 3)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/kv/events" {
			return
		}
		full := r.URL.Query().Get("full")
		fullParams <- full
		if full == "true" {
			_, _ = io.WriteString(w, `{"incarnation":7,"full":true,"last":5}`)
			return
		}
		_, _ = io.WriteString(w, `{"incarnation":7,"events":[{"sequence":7,"type":"stored"},{"sequence":6,"type":"stored"}],"last":7}`)
	}))
	defer server.Close()
	e.announce("engine-1", server.URL)
	reader := reportReader{entry: e.Entry, server: e.fleet.All()[0]}
	for _, want := range []string{"true", "false", "true"} {
		reader.readOnce(t.Context(), "prometheus_text")
		require.Equal(t, want, <-fullParams)
	}
}
