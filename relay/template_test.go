package relay

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// streamSeeds are events that challenge a template: different field orders, text
// that also occurs elsewhere in the event, escapes, and fields that change.
var streamSeeds = []string{
	`{"id":"a","choices":[{"text":" x"}]}`,
	`{"id":"a","choices":[{"text":" y"}]}`,
	`{"choices":[{"finish_reason":null,"text":"a\"b\\"}],"id":"a"}`,
	`{"choices":[{"finish_reason":null,"text":"\u003c\n"}],"id":"a"}`,
	`{"id":"text","model":"text","choices":[{"text":"text"}]}`,
	`{"id":"text","model":"text","choices":[{"text":"other"}]}`,
	`{"id":"text","model":"other","choices":[{"text":"text"}]}`,
	`{"id":"a","choices":[{"text":"x","finish_reason":"stop"}]}`,
	`{"id":"a","choices":[{"text":"y","finish_reason":"length"}]}`,
	`{"id":"a","choices":[{"text":"x","text":"y"}]}`,
	`{"id":"a","choices":[{"text":"x"},{"text":"x"}]}`,
	`{"id":"a","choices":[{"delta":{"content":"x","content":"x"}}]}`,
	`{"id":"a","choices":[{"text":"x\",\"finish_reason\":\"stop"}]}`,
	`{"id":"a","choices":[{"text":"","usage":{"a":"x"}}],"usage":{"completion_tokens":1}}`,
	"{\"id\":\"a\",\"choices\":[{\"text\":\"\xff\"}]}",
	`{"id":"a","choices":[{"text":"x","logprobs":{"tokens":["x"]}}]}`,
	`{"id":"a","error":{"message":"x"},"choices":[{"text":"x"}]}`,
	`{"id":"a","choices":[{"text":"x"}`,
}

// requireSameDecoding checks that a stream decodes a sequence of two events as
// it would decode each of them alone.
func requireSameDecoding(t *testing.T, first, second string) {
	s := &Stream{}
	for _, data := range []string{first, second, first} {
		var expected Event
		wantErr := expected.parse([]byte(data))
		gotErr := s.decode([]byte(data))
		require.Equal(t, wantErr == nil, gotErr == nil, data)
		if wantErr == nil {
			require.Equal(t, expected, s.event, data)
		}
	}
}

func TestTemplateMatchesDecoding(t *testing.T) {
	for _, first := range streamSeeds {
		for _, second := range streamSeeds {
			requireSameDecoding(t, first, second)
		}
	}
}

func TestTemplateIsUsed(t *testing.T) {
	s := &Stream{}
	require.NoError(t, s.decode([]byte(streamSeeds[0])))
	require.True(t, s.template.match([]byte(streamSeeds[1]), &s.event))
	require.Equal(t, " y", s.event.Text)
}

// FuzzTemplate decodes arbitrary events and texts after another event.
func FuzzTemplate(f *testing.F) {
	for i, first := range streamSeeds {
		f.Add(first, streamSeeds[(i+1)%len(streamSeeds)], "x")
	}
	f.Fuzz(func(t *testing.T, first, second, text string) {
		requireSameDecoding(t, first, second)
		raw, err := json.Marshal(map[string]any{"id": "a", "choices": []any{map[string]any{"text": text}}})
		require.NoError(t, err)
		requireSameDecoding(t, first, string(raw))
		requireSameDecoding(t, streamSeeds[0], `{"id":"a","choices":[{"text":"`+text+`"}]}`)
	})
}
