package fleetview

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/registry"
)

// groupTransport answers for several control instances by the host of their URLs. Those in silent
// do not respond.
type groupTransport struct {
	hosts  map[string]*directTransport
	silent atomic.Pointer[string]
}

// RoundTrip implements http.RoundTripper.
func (g *groupTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if silent := g.silent.Load(); silent != nil && *silent == r.URL.Host {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return g.hosts[r.URL.Host].RoundTrip(r)
}

// Guards against instances that take what they knew before for what is known now, and against ones
// that ask for it without a bound.
func TestConfirmNeedsAllControlInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count, callers, bound = 5, 200, 400 * time.Millisecond
		logger := slog.New(slog.NewTextHandler(io.Discard, nil))
		group := &groupTransport{hosts: make(map[string]*directTransport)}
		var urls []string
		var hubs []*registry.Hub
		for n := range count {
			host := fmt.Sprintf("10.0.0.%d:1", n+1)
			hub := registry.NewHub(time.Second, &groupState{changed: make(chan struct{})}, logger)
			group.hosts[host] = &directTransport{handler: fleetv1.NewFleetServer(hub)}
			urls, hubs = append(urls, "http://"+host), append(hubs, hub)
		}
		requests := func() (sum int64) {
			for _, transport := range group.hosts {
				sum += transport.requests.Load()
			}
			return sum
		}
		confirm := func(v *View) (bool, time.Duration) {
			began := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), bound)
			defer cancel()
			return v.Confirm(ctx, began), time.Since(began)
		}
		ctx, cancel := context.WithCancel(t.Context())
		v := New(urls, nil, &http.Client{Transport: group}, logger)
		v.Start(ctx)
		time.Sleep(2 * time.Second)

		before := requests()
		hubs[count-1].Announce(&fleetv1.Announcement{Server: "i-1", BornUnixMs: 1, Sequence: 1, Service: "s", Software: "v2", Address: "10.0.1.1:1"})
		results := make(chan bool, callers)
		for range callers {
			go func() {
				ok, took := confirm(v)
				results <- ok && took < bound/2
			}()
		}
		for range callers {
			require.True(t, <-results)
		}
		require.Len(t, v.Current().Software.Versions["s"], 1, "what an instance knew before is known")
		// The poll that is ended, one that may have begun before, one that does not wait, and the next.
		require.LessOrEqual(t, requests()-before, int64(4*count))

		silent := "10.0.0.1:1"
		group.silent.Store(&silent)
		ok, took := confirm(v)
		require.False(t, ok, "one instance does not respond")
		require.LessOrEqual(t, took, bound)
		time.Sleep(3 * time.Second)
		ok, took = confirm(v)
		require.False(t, ok, "one instance is unreachable")
		require.Zero(t, took, "there is nothing to wait for")
		group.silent.Store(nil)
		time.Sleep(3 * time.Second)
		ok, _ = confirm(v)
		require.True(t, ok)
		cancel()
		time.Sleep(2 * time.Second)
	})
}
