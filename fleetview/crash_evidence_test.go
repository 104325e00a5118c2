package fleetview

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/registry"
)

// TestEvidenceIsReportedToRestartedControl guards against a control instance that starts
// after the evidence was reported and never learns of it.
func TestEvidenceIsReportedToRestartedControl(t *testing.T) {
	logger := slog.New(slog.DiscardHandler)
	state := &groupState{changed: make(chan struct{})}
	var hub atomic.Pointer[registry.Hub]
	hub.Store(registry.NewHub(time.Second, state, logger))
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { fleetv1.NewFleetServer(hub.Load()).ServeHTTP(rw, r) }))
	t.Cleanup(server.Close)
	evidence := &fleetv1.CrashEvidence{Crashes: []*fleetv1.CrashedRun{{
		Server: &fleetv1.ServerLife{Server: "i-1", BornUnixMs: 7}, Ended: true, Suspects: []*fleetv1.CrashSuspect{{Cause: &fleetv1.CrashCause{Service: "desk", Part: "p"}, Begun: true}},
	}}}
	v := New([]string{server.URL}, &fleetv1.EntryInstance{Name: "e-1", StartedUnixMs: 1}, &http.Client{}, logger)
	received := make(chan *fleetv1.CrashEvidence, 16)
	v.ExchangeEvidence(func(since uint64, _ time.Time) (*fleetv1.CrashEvidence, uint64) {
		if since == 1 {
			return nil, 1
		}
		return evidence, 1
	}, func(e *fleetv1.CrashEvidence, _ string) { received <- e })
	v.Start(t.Context())
	known := func() bool {
		r, err := hub.Load().Sync(t.Context(), &fleetv1.SyncRequest{Self: &fleetv1.EntryInstance{Name: "e-2", StartedUnixMs: 1}})
		require.NoError(t, err)
		return len(r.Evidence.GetCrashes()) == 1
	}
	require.Eventually(t, func() bool { return v.Current().ReachableControls == 1 }, testWait, testPoll)
	require.False(t, known())
	startedAt := time.Now()
	v.EvidenceChanged(1, true)
	require.Eventually(t, known, testWait, testPoll)
	require.Less(t, time.Since(startedAt), pollWait/2, "urgent evidence does not wait for the next poll")
	require.Len(t, (<-received).Crashes, 1)

	hub.Store(registry.NewHub(time.Second, state, logger))
	require.Eventually(t, known, testWait, testPoll)
}
