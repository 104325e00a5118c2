package operator

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/control/state"
	"github.com/galenaarch/galenaarch/registry"
)

// evacuationFleet is a control instance with one entry instance, whose work ends when it has been
// asked twice since the order.
type evacuationFleet struct {
	fleetv1.Entries
	controlv1.Control
	mu    sync.Mutex
	state *state.State
	asked int
}

func (f *evacuationFleet) GetPublished(_ context.Context, r *controlv1.GetPublishedRequest) (*controlv1.GetPublishedResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &controlv1.GetPublishedResponse{Document: f.state.Published(r.Name)}, nil
}

func (f *evacuationFleet) Publish(_ context.Context, r *controlv1.PublishRequest) (*controlv1.PublishResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Apply(&controlv1.Command{Body: &controlv1.Command_Publish{Publish: r}}).GetPublish(), nil
}

func (f *evacuationFleet) Published() []*controlv1.PublishedDocument {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.PublishedWithPrefix("")
}

func (f *evacuationFleet) Changed() <-chan struct{} { return nil }

func (f *evacuationFleet) ControlURLs() []string { return nil }

func (f *evacuationFleet) GetDomainWork(_ context.Context, r *fleetv1.GetDomainWorkRequest) (*fleetv1.GetDomainWorkResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked++
	work := &fleetv1.DomainWork{Domain: "zone-a", EvacuationVersion: f.state.Published("evacuation/zone-a").GetVersion()}
	if f.asked <= 2 {
		work.Requests, work.Busy = 3, []string{"i-1"}
	}
	return &fleetv1.GetDomainWorkResponse{Domains: []*fleetv1.DomainWork{work}}, nil
}

func TestEvacuateWaitsUntilDomainIsEmpty(t *testing.T) {
	fleet := &evacuationFleet{state: state.New()}
	hub := registry.NewHub(time.Second, fleet, slog.New(slog.DiscardHandler))
	mux := http.NewServeMux()
	mux.Handle(fleetv1.FleetPathPrefix, fleetv1.NewFleetServer(hub))
	mux.Handle(fleetv1.EntriesPathPrefix, fleetv1.NewEntriesServer(fleet))
	server := httptest.NewServer(mux)
	defer server.Close()
	hub.Announce(&fleetv1.Announcement{Server: "i-1", Sequence: 1, Service: "s", Address: "10.0.0.1:80", Zone: "zone-a", State: fleetv1.ServerState_SERVER_STATE_READY})
	entry := &fleetv1.EntryInstance{Name: "e", Address: "10.0.0.2:80", Zone: "zone-b", Accepting: true, Sequence: 1, PeerUrl: server.URL}
	_, err := hub.Sync(t.Context(), &fleetv1.SyncRequest{Self: entry})
	require.NoError(t, err)
	run := func(wantCode int, arguments ...string) string {
		var out bytes.Buffer
		tool := &CLI{In: strings.NewReader(""), Out: &out, ErrOut: &out, Connect: func() (controlv1.Control, error) { return fleet, nil }}
		arguments = append([]string{arguments[0], "-control", server.URL, "-insecure-loopback"}, arguments[1:]...)
		require.Equal(t, wantCode, tool.Run(t.Context(), arguments), out.String())
		return out.String()
	}
	run(ExitUsage, "evacuate")
	run(ExitUsage, "evacuate", "a b")
	require.Contains(t, run(ExitRefused, "evacuate", "zone-x"), "known are zone-a, zone-b")
	require.Zero(t, fleet.asked)

	out := run(ExitOK, "evacuate", "-wait", "zone-a")
	require.Contains(t, out, "1 servers still with work [i-1], 3 requests; order not in force at 0 of 1 entry instances")
	require.Contains(t, out, "failure domain zone-a: emptied, order 1")
	require.Equal(t, 3, fleet.asked)
	zonesShow := func(line string) { // control instances show changes up to some 0.3 s late
		require.Eventually(t, func() bool { return regexp.MustCompile(line).MatchString(run(ExitOK, "zones")) }, 5*time.Second, 10*time.Millisecond)
	}
	zonesShow(`zone-a +emptied +1 +0 +0 +1 `)
	require.Contains(t, run(ExitOK, "restore", "-output", "json", "zone-a"), `"version": 2`)
	zonesShow(`zone-a +in use`)
	run(ExitOK, "evacuate", "-unlisted", "zone-x")
	zonesShow(`zone-x +emptied +0`)
}
