package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/internal/loopback"
)

// startPeers starts connected entry instances, perZone in each zone.
func startPeers(t *testing.T, zones, perZone int) (all []*peers, entries map[string]*fleetv1.EntryInstance) {
	t.Helper()
	entries = make(map[string]*fleetv1.EntryInstance)
	for z := range zones {
		for n := range perZone {
			address, err := loopback.FreeAddress()
			require.NoError(t, err)
			self := &fleetv1.EntryInstance{Name: fmt.Sprint(z, "-", n), Zone: fmt.Sprint("zone-", z), PeerUrl: "http://" + address, StartedUnixMs: 1}
			p := newPeers(self, &http.Client{}, slog.New(slog.DiscardHandler))
			mux := http.NewServeMux()
			mux.Handle(fleetv1.EntriesPathPrefix, fleetv1.NewEntriesServer(p))
			server := &http.Server{Addr: address, Handler: mux}
			go func() { _ = server.ListenAndServe() }()
			t.Cleanup(func() { server.Close() })
			require.Eventually(t, func() bool { _, err := http.Get("http://" + address); return err == nil }, time.Second, time.Millisecond)
			all, entries[self.Name] = append(all, p), self
		}
	}
	return all, entries
}

// Tens of instances serve tens of engines, and some send beyond their cell. The load
// of an instance reaches its failure domain at once, and all others by the updates on
// whole domains.
func TestLoadReachesEveryInstance(t *testing.T) {
	all, entries := startPeers(t, 3, 3)
	for n, p := range all {
		p.setOwnLoad("engine", dispatch.Load{Requests: 1, PrefillTokens: 10 * (n + 1), MemoryTokens: 100})
		p.sendUpdates(t.Context(), entries)
	}
	sum := dispatch.Load{}
	for n := range all {
		sum.Requests, sum.PrefillTokens, sum.MemoryTokens = sum.Requests+1, sum.PrefillTokens+10*(n+1), sum.MemoryTokens+100
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	require.Eventually(t, func() bool {
		complete := true
		for n, p := range all {
			p.sendUpdates(ctx, entries)
			p.sendZoneUpdates(ctx, entries)
			others := p.othersLoad()["engine"]
			complete = complete && others.Requests+1 == sum.Requests && others.PrefillTokens+10*(n+1) == sum.PrefillTokens && others.MemoryTokens+100 == sum.MemoryTokens
		}
		return complete
	}, 5*time.Second, 20*time.Millisecond)
	require.True(t, all[0].zoneKnown("zone-2", time.Now()))
	require.False(t, all[0].zoneKnown("zone-2", time.Now().Add(2*zoneUpdateTTL)), "an expired update does not count")
	require.True(t, all[0].zoneKnown("zone-0", time.Now()))
	require.False(t, all[0].zoneKnown("zone-9", time.Now()))
}

// Updates may arrive out of order, an instance may restart, and one that is gone
// sends nothing more: outdated updates must not count.
func TestOutdatedPeerUpdatesAreIgnored(t *testing.T) {
	p := newPeers(&fleetv1.EntryInstance{Name: "e", Zone: "z"}, nil, slog.New(slog.DiscardHandler))
	send := func(startedMs int64, sequence uint64, requests uint32) {
		_, err := p.Tell(t.Context(), &fleetv1.TellRequest{Entry: "f", StartedUnixMs: startedMs, Sequence: sequence, Work: []*fleetv1.ServerWork{{Server: "s", Requests: requests}}})
		require.NoError(t, err)
	}
	send(1, 5, 3)
	send(1, 4, 9)
	require.Equal(t, 3, p.othersLoad()["s"].Requests)
	send(2, 1, 7)
	send(1, 6, 9)
	require.Equal(t, 7, p.othersLoad()["s"].Requests)
	p.recomputeTotals(time.Now().Add(2 * updateTTL))
	require.Empty(t, p.othersLoad())
}

// The other instances must avoid a leaving server before control instances report it.
func TestLeavingServerIsAnnounced(t *testing.T) {
	all, entries := startPeers(t, 1, 2)
	received := make(chan []incarnation, 1)
	all[1].onUpdate = func(leaving []incarnation, from string) {
		if len(leaving) > 0 {
			require.Equal(t, "0-0", from)
			received <- leaving
		}
	}
	all[0].announceLeaving(incarnation{"i-1", 7})
	all[0].sendUpdates(t.Context(), entries)
	select {
	case got := <-received:
		require.Equal(t, []incarnation{{"i-1", 7}}, got)
	case <-time.After(5 * time.Second):
		t.Fatal("no update received")
	}
}
