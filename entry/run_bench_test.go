package entry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkPrompt measures a complete prompt through an entry over loopback;
// one prompt with one output token per operation.
func BenchmarkPrompt(b *testing.B) {
	e := startEntry(b)
	e.announce("engine-1", startEngine(b, "engine-1").URL)
	request, _ := completionRequest(pathCompletions, true)
	request.body.(map[string]any)["max_tokens"] = 1
	b.ReportAllocs()
	for b.Loop() {
		got := e.do(b, request)
		require.Nil(b, got.fault)
	}
}
