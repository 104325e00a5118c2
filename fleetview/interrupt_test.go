package fleetview

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/registry"
)

// directTransport calls a handler in place of a server, and counts the requests.
type directTransport struct {
	handler  http.Handler
	requests atomic.Int64
}

// RoundTrip implements http.RoundTripper.
func (d *directTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	d.requests.Add(1)
	time.Sleep(time.Millisecond)
	recorder := httptest.NewRecorder()
	d.handler.ServeHTTP(recorder, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}

// TestReportsInterruptPollsAtABoundedRate guards against a process that ends its polls of all control
// instances for each server that leaves, when many leave at once.
func TestReportsInterruptPollsAtABoundedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			entries  = 76
			leaving  = 400
			interval = 5 * time.Millisecond
		)
		logger := slog.New(slog.NewTextHandler(io.Discard, nil))
		hub := registry.NewHub(time.Second, &groupState{changed: make(chan struct{})}, logger)
		transport := &directTransport{handler: fleetv1.NewFleetServer(hub)}
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			for ctx.Err() == nil {
				for n := range entries {
					_, err := hub.Sync(t.Context(), &fleetv1.SyncRequest{Self: &fleetv1.EntryInstance{Name: fmt.Sprint("e-", n), StartedUnixMs: 1}})
					if err != nil {
						return
					}
				}
				time.Sleep(500 * time.Millisecond)
			}
		}()
		v := New([]string{"http://10.0.0.1:1"}, &fleetv1.EntryInstance{Name: "e-0", StartedUnixMs: 1}, &http.Client{Transport: transport}, logger)
		v.Start(ctx)
		time.Sleep(100 * time.Millisecond)
		require.Len(t, v.Current().Entries, entries)
		for n := range leaving {
			hub.Announce(&fleetv1.Announcement{Server: fmt.Sprint("i-", n), BornUnixMs: 1, Sequence: 1, Service: "s", Address: fmt.Sprint("10.0.1.1:", n+1)})
		}
		time.Sleep(time.Second)
		before := transport.requests.Load()
		for n := range leaving {
			v.ReportLeaving(fmt.Sprint("i-", n), 1)
			time.Sleep(interval)
		}
		// Each interruption costs the poll that it ends, the next one, which does not wait, and
		// the one that waits again; changes shown by the hub end as many.
		rounds := int64(leaving*interval/registry.PollInterval(entries)) + 2
		require.LessOrEqual(t, transport.requests.Load()-before, 5*rounds)
		time.Sleep(time.Second)
		left := 0
		for _, a := range v.Current().Servers {
			if a.Leaving {
				left++
			}
		}
		require.Equal(t, leaving, left)
		cancel()
		time.Sleep(time.Second)
	})
}
