package fleetview

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/registry"
)

// Guards against instances that learn nothing more while one control instance is dead, and against
// ones that go by what a minority tells them.
func TestConfirmRespondingNeedsMajority(t *testing.T) {
	for name, tt := range map[string]struct {
		count    int
		majority bool
	}{"one of three is silent": {3, true}, "one of two is silent": {2, false}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const bound = 400 * time.Millisecond
				logger := slog.New(slog.DiscardHandler)
				group := &groupTransport{hosts: make(map[string]*directTransport)}
				var urls []string
				var hubs []*registry.Hub
				for n := range tt.count {
					host := fmt.Sprintf("10.0.0.%d:1", n+1)
					hub := registry.NewHub(time.Second, &groupState{changed: make(chan struct{})}, logger)
					group.hosts[host] = &directTransport{handler: fleetv1.NewFleetServer(hub)}
					urls, hubs = append(urls, "http://"+host), append(hubs, hub)
				}
				ctx, cancel := context.WithCancel(t.Context())
				v := New(urls, nil, &http.Client{Transport: group}, logger)
				require.Zero(t, v.KnownAsOf())
				v.Start(ctx)
				time.Sleep(2 * time.Second)
				announced := int64(0)
				confirm := func() bool {
					announced++
					hubs[1].Announce(&fleetv1.Announcement{Server: "i-1", BornUnixMs: announced, Sequence: 1, Service: "s", Address: "10.0.1.1:1"})
					began := time.Now()
					ctx, cancel := context.WithTimeout(t.Context(), bound)
					defer cancel()
					ok := v.ConfirmResponding(ctx, began)
					require.LessOrEqual(t, time.Since(began), bound)
					if ok {
						require.Equal(t, announced, v.Current().Servers["i-1"].BornUnixMs, "what is announced is known")
					}
					return ok
				}
				require.True(t, confirm())
				require.Less(t, time.Since(v.KnownAsOf()), 2*time.Second)

				silent, silentAt := "10.0.0.1:1", time.Now()
				group.silent.Store(&silent)
				require.False(t, confirm(), "it may be about to respond")
				time.Sleep(3 * time.Second)
				require.Equal(t, tt.majority, confirm())
				require.False(t, v.KnownAsOf().After(silentAt), "what was announced there since is not known")
				group.silent.Store(nil)
				time.Sleep(3 * time.Second)
				require.True(t, confirm())
				require.True(t, v.KnownAsOf().After(silentAt))
				cancel()
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// Guards against streams that are rejected because one poll failed: the control instance may respond to the next.
func TestConfirmRespondingWaitsAfterFailedPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logger := slog.New(slog.DiscardHandler)
		const host = "10.0.0.1:1"
		hub := registry.NewHub(time.Second, &groupState{changed: make(chan struct{})}, logger)
		group := &groupTransport{hosts: map[string]*directTransport{host: {handler: fleetv1.NewFleetServer(hub)}}}
		ctx, cancel := context.WithCancel(t.Context())
		v := New([]string{"http://" + host}, nil, &http.Client{Transport: group}, logger)
		v.Start(ctx)
		time.Sleep(2 * time.Second)
		confirm := func() bool {
			ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
			defer cancel()
			return v.ConfirmResponding(ctx, time.Now())
		}
		silent := host
		group.silent.Store(&silent)
		for v.Current().ReachableControls > 0 {
			time.Sleep(10 * time.Millisecond)
		}
		group.silent.Store(nil)
		require.True(t, confirm())

		group.silent.Store(&silent)
		time.Sleep(5 * time.Second)
		began := time.Now()
		require.False(t, confirm())
		require.Zero(t, time.Since(began), "there is nothing to wait for")
		cancel()
		time.Sleep(2 * time.Second)
	})
}
