package load

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/api/refusal"
)

func TestFailuresCountAsSlowestFirstToken(t *testing.T) {
	request := &Request{SendAt: time.Second, Class: ClassPhone, ContextBlocks: 2, ReusableBlocks: 2}
	usage := backend.Usage{PromptTokensDetails: &backend.PromptTokensDetails{CachedTokens: BlockTokens}}
	early := &Request{Class: ClassPhone}
	r := summarize(&Trace{Warmup: time.Second}, []sample{
		{request: early, outcome: OutcomeComplete, firstToken: time.Hour},
		{request: request, outcome: OutcomeComplete, firstToken: 10 * time.Millisecond, usage: usage},
		{request: request, outcome: string(refusal.CodeOverloaded), execution: refusal.NotExecuted},
		{},
	})
	require.Equal(t, 2, r.Requests, "warm-up and unsent requests are not counted")
	require.Equal(t, map[string]int{"overloaded/not_run": 1}, r.Refusals)
	require.Equal(t, int64(BlockTokens), r.RecomputedTokens)
	require.InDelta(t, 0.5, r.RecomputedShare, 1e-9)
	require.InDelta(t, float64(histogramMaxMicroseconds)/1000, r.Classes[ClassPhone].Max, 200, "a refusal does not improve the percentiles")
}

func TestStreamWithoutDoneMarkerIsIncomplete(t *testing.T) {
	s := sample{request: &Request{OutputTokens: 1}}
	require.Error(t, s.readStream(strings.NewReader("data: {\"choices\":[{\"text\":\" x\"}]}\n\n"), time.Now()))
	require.NoError(t, s.readStream(strings.NewReader("data: {\"choices\":[{\"text\":\"x\"}]}\n\ndata: [DONE]\n\n"), time.Now()))
	require.Equal(t, OutcomeWrongResponse, s.outcome)
}
