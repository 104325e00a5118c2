package entry

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/api/refusal"
)

// A request in progress when the time for a drain is over must be refused before its connection
// closes.
func TestRequestInProgressAtEndOfDrainIsRefused(t *testing.T) {
	draining := startRegion(t, 1).entries[0]
	release := make(chan struct{})
	defer close(release)
	engine := startEngine(t, "engine-1", func(_ http.ResponseWriter, r *http.Request, _ http.Handler) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
	})
	postAnnouncement(t, draining, backend.Announcement{
		Server: "engine-1", Kind: "prometheus-engine", URL: engine.URL, Deployment: "quotes", WeightVersion: "v1", Incarnation: 1, Sequence: 1, Slots: 8,
	})
	target := &testEntry{Entry: draining, URL: "http://" + draining.settings.Listen}
	request, _ := completionRequest(pathCompletions, true)
	result := make(chan *testResponse, 1)
	go func() {
		defer close(result)           // also if the request fails
		for engine.runs.Load() == 0 { // until control has confirmed the routing
			got := target.do(t, request)
			if engine.runs.Load() > 0 {
				result <- got
				return
			}
		}
	}()
	require.Eventually(t, func() bool { return engine.runs.Load() == 1 }, testWait, testPoll)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, draining.Drain(ctx), context.DeadlineExceeded)
	require.NoError(t, draining.Stop(t.Context()))
	got := <-result
	require.NotNil(t, got, "no response")
	require.NotNil(t, got.fault)
	require.Equal(t, refusal.CodeOutcomeUnknown, got.fault.Code)
	require.Equal(t, refusal.OutcomeUnknown, got.fault.Execution)
}
