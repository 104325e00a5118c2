package gateway

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/upstream"
)

// A request must not leave its silent server if it may not be sent again for what servers
// crash under: the silent server goes on, and the response would be lost.
func TestRequestStaysAtSilentServerWhileRepeatIsUnsafe(t *testing.T) {
	tests := map[string]struct {
		prepare func(h *testGateway, c *call)
		leaves  bool
	}{
		"no crashes": {func(*testGateway, *call) {}, true},
		"servers of other requests ended under a part since an interruption": {func(h *testGateway, c *call) {
			now := time.Now()
			c.suspects = []dispatch.Suspect{{Cause: dispatch.PartCause("llm", suspectPart), Begun: true}}
			c.interruptedAt = dispatch.ServerRun{Server: "earlier", StartedMs: 1}
			ended := incarnation{"other", 1}
			h.evidence.dialed[ended] = now // no connection
			h.evidence.recordInterrupted(ended, c.suspects, now)
			h.evidence.ended(ended, now)
			require.Equal(t, reasonRepeatUnsafe, c.repeatBlocked(now))
		}, false},
		"request quarantined": {func(h *testGateway, c *call) {
			h.quarantineRequest(h.suspectCall(500))
		}, false},
		// A trial that has run is not sent again: it would reject itself.
		"part to be tried": {func(h *testGateway, _ *call) {
			h.quarantineSuspectPart(-time.Second)
			h.permits.entries = entryList{at: time.Now().Add(time.Hour), candidates: []string{"e"}, version: 1, eligible: true}
			h.evidence.candidates, h.evidence.candidatesSince = 1, time.Now().Add(-time.Hour)
		}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newTestGateway(t, 2)
			h.setRetries(10)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			h.routing.services["llm"][1].pool = upstream.NewPool(listener.Addr().String(), 0)
			c, silent := h.silentCall()
			c.prompt.Parts = h.suspectCall(500).prompt.Parts
			test.prepare(h, c)
			require.Equal(t, test.leaves, c.reserveReplacement(t.Context(), silent, time.Now()))
			if !test.leaves {
				require.Nil(t, c.reserved)
				require.False(t, c.trial.Load(), "the trial is left to another request")
				return
			}
			require.Empty(t, c.repeatBlocked(time.Now()))
		})
	}
}
