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

// span is what the test reads of an exported span.
type span struct {
	Name        string
	SpanContext struct{ TraceID string }
}

// hopsByTrace lists the span names of each trace.
func hopsByTrace(t *testing.T, text string) map[string][]string {
	t.Helper()
	hops := make(map[string][]string)
	dec := json.NewDecoder(strings.NewReader(text))
	for dec.More() {
		var s span
		require.NoError(t, dec.Decode(&s))
		if s.SpanContext.TraceID != "" {
			hops[s.SpanContext.TraceID] = append(hops[s.SpanContext.TraceID], s.Name)
		}
	}
	return hops
}

// joined reports whether one trace has all the hops.
func joined(traces map[string][]string, want ...string) bool {
	for _, hops := range traces {
		if !slices.ContainsFunc(want, func(hop string) bool { return !slices.Contains(hops, hop) }) {
			return true
		}
	}
	return false
}

// TestTracesJoinHopsAndHoldNoSecrets runs prompts and an order and reads all
// that was logged and traced.
func TestTracesJoinHopsAndHoldNoSecrets(t *testing.T) {
	var out logtest.Buffer
	tel, err := telemetry.New(context.Background(), "demo", "test", telemetry.Settings{
		LogLevel: "debug", TraceExporter: telemetry.ExporterStdout, TraceRatio: 1,
	}, &out)
	require.NoError(t, err)
	cluster, err := Start(tel)
	require.NoError(t, err)
	defer cluster.Stop()
	ctx := context.Background()
	prompt := survey(1, 0)
	answer, err := cluster.complete(ctx, prompt)
	require.NoError(t, err)
	require.NoError(t, cluster.checkOrder(ctx, &Report{}))
	require.NoError(t, tel.Close(ctx))

	traces := hopsByTrace(t, out.String())
	require.True(t, joined(traces, "entry.completion", "entry.run", "entry.attempt", "engine"), "entry and engine")
	require.True(t, joined(traces, "entry.service", "control"), "entry and control")
	require.True(t, joined(traces, "store"), "store")
	for name, secret := range map[string]string{
		"key": Key, "hash of the key": config.HashKey(Key), "prompt": "site 1 line",
		"order": "4x6", "answer": strings.TrimSpace(answer.text[:len(answer.text)/2]),
	} {
		require.NotContains(t, out.String(), secret, name)
	}
}
