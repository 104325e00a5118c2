package demo

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/internal/logtest"
	"github.com/galenaarch/galenaarch/telemetry"
)

// span is the part of an exported span that the test reads.
type span struct {
	Name        string
	SpanContext struct{ TraceID string }
}

// spanNamesByTrace returns the span names of each trace.
func spanNamesByTrace(t *testing.T, output string) map[string][]string {
	t.Helper()
	names := make(map[string][]string)
	decoder := json.NewDecoder(strings.NewReader(output))
	for decoder.More() {
		var s span
		require.NoError(t, decoder.Decode(&s))
		if s.SpanContext.TraceID != "" {
			names[s.SpanContext.TraceID] = append(names[s.SpanContext.TraceID], s.Name)
		}
	}
	return names
}

// hasTraceWith reports whether a single trace contains all the given spans.
func hasTraceWith(traces map[string][]string, want ...string) bool {
	for _, names := range traces {
		if !slices.ContainsFunc(want, func(name string) bool { return !slices.Contains(names, name) }) {
			return true
		}
	}
	return false
}

// TestTracesSpanHopsWithoutLeakingSecrets sends a prompt and an order. It checks that
// the spans of all hops belong to one trace, and that neither logs nor traces contain
// keys, prompts, orders or responses.
func TestTracesSpanHopsWithoutLeakingSecrets(t *testing.T) {
	var out logtest.Buffer
	tel, err := telemetry.New(context.Background(), "demo", "test", telemetry.Settings{
		LogLevel: "debug", TraceExporter: telemetry.ExporterStdout, TraceRatio: 1,
	}, &out)
	require.NoError(t, err)
	cluster, err := Start(tel)
	require.NoError(t, err)
	defer cluster.Stop()
	ctx := context.Background()
	prompt := buildPrompt(1, 0)
	received, err := cluster.complete(ctx, prompt)
	require.NoError(t, err)
	require.NoError(t, cluster.checkOrder(ctx, &Report{}))
	require.NoError(t, tel.Close(ctx))

	traces := spanNamesByTrace(t, out.String())
	require.True(t, hasTraceWith(traces, "entry.completion", "entry.run", "entry.attempt", "engine"), "entry and engine")
	require.True(t, hasTraceWith(traces, "entry.service", "control"), "entry and control")
	require.True(t, hasTraceWith(traces, "store"), "store")
	for name, secret := range map[string]string{
		"key": ClientKey, "hash of the key": config.HashKey(ClientKey), "prompt": "site 1 line",
		"order": "4x6", "response": strings.TrimSpace(received.text[:len(received.text)/2]),
	} {
		require.NotContains(t, out.String(), secret, name)
	}
}
