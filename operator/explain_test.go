package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/control/state"
	"github.com/galenaarch/galenaarch/registry"
)

// explainingEntry is an entry instance with a fixed answer.
type explainingEntry struct {
	fleetv1.Entries
	asked  *fleetv1.ExplainRequest
	answer *fleetv1.ExplainResponse
}

func (e *explainingEntry) Explain(_ context.Context, r *fleetv1.ExplainRequest) (*fleetv1.ExplainResponse, error) {
	e.asked = r
	return e.answer, nil
}

func TestExplainPrintsDecision(t *testing.T) {
	entry := &explainingEntry{answer: &fleetv1.ExplainResponse{
		Entry: "e-1", Domain: "zone-b", Route: "chat", Service: "llm", Action: "send", Server: "i-1", Verdict: "in turn", WaitNs: int64(30 * time.Millisecond), Bounds: []string{"evacuation: failure domain zone-x"},
		Servers: []*fleetv1.ExplainedServer{
			{Server: "i-1", Considered: true, Chosen: true, CostNs: 34e6, Terms: []*fleetv1.CostTerm{{Name: "request", CostNs: 4e6}, {Name: "prefill", CostNs: 30e6}}, HeardMs: 1500, ReportedMs: -1},
			{Server: "i-2", Excluded: "leaving"},
		},
	}}
	hub := registry.NewHub(time.Second, &evacuationFleet{state: state.New()}, slog.New(slog.DiscardHandler))
	mux := http.NewServeMux()
	mux.Handle(fleetv1.FleetPathPrefix, fleetv1.NewFleetServer(hub))
	mux.Handle(fleetv1.EntriesPathPrefix, fleetv1.NewEntriesServer(entry))
	server := httptest.NewServer(mux)
	defer server.Close()
	list := func(name, peerURL string) {
		_, err := hub.Sync(t.Context(), &fleetv1.SyncRequest{Self: &fleetv1.EntryInstance{Name: name, Address: "10.0.0.2:80", Zone: "zone-b", Accepting: true, Sequence: 1, PeerUrl: peerURL}})
		require.NoError(t, err)
	}
	list("e-1", server.URL)
	run := func(wantCode int, arguments ...string) string {
		var out bytes.Buffer
		tool := &CLI{In: strings.NewReader("secret\n"), Out: &out, ErrOut: &out}
		arguments = append([]string{"explain", "-control", server.URL, "-insecure-loopback"}, arguments...)
		require.Equal(t, wantCode, tool.Run(t.Context(), arguments), out.String())
		return out.String()
	}
	run(ExitUsage)
	run(ExitUsage, "-path", "/chat/", "-part", "x")
	run(ExitUsage, "-file", "missing.json")
	require.Contains(t, run(ExitRefused, "-path", "/chat/", "-entry", "e-9"), "known are e-1")
	require.Nil(t, entry.asked)

	out := run(ExitOK, "-path", "/chat/", "-host", "h", "-key-file", "-", "-model", "m", "-prompt-tokens", "500", "-part", "a:b:400", "-part", "own:100", "-deadline", "2s")
	require.Contains(t, out, "entry instance e-1 (zone-b): sent to i-1")
	require.Contains(t, out, "evacuation: failure domain zone-x")
	require.Regexp(t, `\*i-1 +- +34.0 +- .* 1\.5s +never +request 4\.0, prefill 30\.0`, out)
	require.Regexp(t, `i-2 +- +- +leaving`, out)
	want := &fleetv1.ExplainRequest{
		Path: "/chat/", Host: "h", Key: "secret", Model: "m", PromptTokens: 500, TimeoutMs: 2000,
		Parts: []*fleetv1.PromptPart{{Id: "a:b", Tokens: 400}, {Id: "own", Tokens: 100}},
	}
	require.True(t, proto.Equal(want, entry.asked), "%v", entry.asked)

	file := filepath.Join(t.TempDir(), "request.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"path": "/chat/", "host": "h", "key": "secret", "model": "m", "prompt_tokens": 7, "timeout_ms": 2000, "parts": [{"id": "a:b", "tokens": 400}, {"id": "own", "tokens": 100}]}`), 0o600))
	var reports []explainReport
	require.NoError(t, json.Unmarshal([]byte(run(ExitOK, "-file", file, "-prompt-tokens", "500", "-output", "json")), &reports))
	require.True(t, proto.Equal(want, entry.asked), "%v", entry.asked)
	require.Equal(t, "i-1", reports[0].Server)
	require.Equal(t, 34.0, reports[0].Servers[0].Cost)

	entry.answer = &fleetv1.ExplainResponse{Entry: "e-1", Refused: true, Status: 404, Reason: "no route"}
	require.Contains(t, run(ExitNoRoute, "-path", "/none"), "no route")
	entry.answer = &fleetv1.ExplainResponse{Entry: "e-1", NotReady: true, Status: 503, Reason: "no document yet"}
	require.Contains(t, run(ExitNotReady, "-path", "/chat/"), "no document yet")
	entry.answer = &fleetv1.ExplainResponse{Entry: "e-1", Action: "reject", Status: 503, Reason: "rate limited", RetryAfterNs: 1.5e9}
	require.Contains(t, run(ExitOK, "-path", "/chat/"), "rejected with 503: rate limited; retry after 1.50 s")
	list("e-2", "http://127.0.0.1:1")
	require.Contains(t, run(ExitNotReady, "-path", "/chat/"), "entry instance e-2 (zone-b): no decision: entry instance gave no explanation")
}
