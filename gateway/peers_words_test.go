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

// talk starts entry instances that can tell each other, so many in each of the
// zones given.
func talk(t *testing.T, zones, inEach int) (all []*peers, entries map[string]*fleetv1.EntryInstance) {
	t.Helper()
	entries = make(map[string]*fleetv1.EntryInstance)
	for z := range zones {
		for n := range inEach {
			address, err := loopback.Address()
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

// TestEveryInstanceKnowsAllWork: load pattern, tens of instances before tens of
// engines, some of which send beyond their cell. What one sends is known to those
// of its failure domain at once, and to all others by the words on whole domains.
func TestEveryInstanceKnowsAllWork(t *testing.T) {
	all, entries := talk(t, 3, 3)
	for n, p := range all {
		p.set("engine", dispatch.Load{Requests: 1, Reading: 10 * (n + 1), Held: 100})
		p.tellAll(t.Context(), entries)
	}
	sum := dispatch.Load{}
	for n := range all {
		sum.Requests, sum.Reading, sum.Held = sum.Requests+1, sum.Reading+10*(n+1), sum.Held+100
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	require.Eventually(t, func() bool {
		known := true
		for n, p := range all {
			p.tellAll(ctx, entries)
			p.tellZones(ctx, entries)
			others := p.told()["engine"]
			known = known && others.Requests+1 == sum.Requests && others.Reading+10*(n+1) == sum.Reading && others.Held+100 == sum.Held
		}
		return known
	}, 5*time.Second, 20*time.Millisecond)
	require.True(t, all[0].knows("zone-2", time.Now()))
	require.False(t, all[0].knows("zone-2", time.Now().Add(2*zoneLife)), "an old word says nothing")
	require.True(t, all[0].knows("zone-0", time.Now()))
	require.False(t, all[0].knows("zone-9", time.Now()))
}

// TestOldWordsOfAnInstanceCountForNothing: words overtake each other, an instance
// starts anew, and one that is gone says nothing more.
func TestOldWordsOfAnInstanceCountForNothing(t *testing.T) {
	p := newPeers(&fleetv1.EntryInstance{Name: "e", Zone: "z"}, nil, slog.New(slog.DiscardHandler))
	say := func(started int64, sequence uint64, requests uint32) {
		_, err := p.Tell(t.Context(), &fleetv1.TellRequest{Entry: "f", StartedUnixMs: started, Sequence: sequence, Work: []*fleetv1.ServerWork{{Server: "s", Requests: requests}}})
		require.NoError(t, err)
	}
	say(1, 5, 3)
	say(1, 4, 9)
	require.Equal(t, 3, p.told()["s"].Requests)
	say(2, 1, 7)
	say(1, 6, 9)
	require.Equal(t, 7, p.told()["s"].Requests)
	p.addUp(time.Now().Add(2 * wordLife))
	require.Empty(t, p.told())
}

// TestLeavingIsToldAtOnce: a server that says it leaves is spared by the other
// instances before control tells them.
func TestLeavingIsToldAtOnce(t *testing.T) {
	all, entries := talk(t, 1, 2)
	heard := make(chan []life, 1)
	all[1].hears = func(leaving []life, from string) {
		if len(leaving) > 0 {
			require.Equal(t, "0-0", from)
			heard <- leaving
		}
	}
	all[0].leaving(life{"i-1", 7})
	all[0].tellAll(t.Context(), entries)
	select {
	case got := <-heard:
		require.Equal(t, []life{{"i-1", 7}}, got)
	case <-time.After(5 * time.Second):
		t.Fatal("not told")
	}
}
