package entry

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/backend"
)

func TestContinuationBody(t *testing.T) {
	cases := []struct {
		name   string
		path   string
		body   string
		text   string
		tokens int
		want   string
		err    error
	}{
		{"text", pathCompletions, `{"prompt":"a","max_tokens":5,"x":1}`, " b", 2, `{"prompt":"a b","max_tokens":3,"x":1}`, nil},
		{"no limit", pathCompletions, `{"prompt":"a"}`, "b", 2, `{"prompt":"ab"}`, nil},
		{"no text yet", pathCompletions, `{"prompt":"a","max_tokens":5}`, "", 0, `{"prompt":"a","max_tokens":5}`, nil},
		{"all tokens generated", pathCompletions, `{"prompt":"a","max_tokens":2}`, "b", 2, "", errNoTokensLeft},
		{"token IDs", pathCompletions, `{"prompt":[1,2],"max_tokens":5}`, "b", 2, "", errNotContinuable},
		{"chat", pathChat, `{"messages":[{"role":"user","content":"q","name":"n"}],"max_completion_tokens":5}`, "a", 1,
			`{"messages":[{"role":"user","content":"q","name":"n"},{"role":"assistant","content":"a"}],"max_completion_tokens":4,
			"add_generation_prompt":false,"continue_final_message":true}`, nil},
		{"chat with continue_final_message", pathChat, `{"messages":[{"role":"assistant","content":"a"}],"continue_final_message":true}`, "b", 1,
			`{"messages":[{"role":"assistant","content":"ab"}],"add_generation_prompt":false,"continue_final_message":true}`, nil},
		{"tools", pathChat, `{"messages":[],"tools":[{}]}`, "a", 1, "", errNotContinuable},
		{"no tools", pathChat, `{"messages":[],"tools":[],"logprobs":false,"response_format":{"type":"text"}}`, "a", 1,
			`{"messages":[{"role":"assistant","content":"a"}],"tools":[],"logprobs":false,"response_format":{"type":"text"},
			"add_generation_prompt":false,"continue_final_message":true}`, nil},
		{"grammar", pathCompletions, `{"prompt":"a","guided_regex":"x"}`, "a", 1, "", errNotContinuable},
		{"echo", pathCompletions, `{"prompt":"a","echo":true}`, "a", 1, "", errNotContinuable},
		{"best of one", pathCompletions, `{"prompt":"a","best_of":1}`, "b", 1, `{"prompt":"ab","best_of":1}`, nil},
		{"best of two", pathCompletions, `{"prompt":"a","best_of":2}`, "b", 1, "", errNotContinuable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			body, err := backend.ParseBody([]byte(c.body))
			require.NoError(t, err)
			p := &prompt{path: c.path, body: body, tokens: 10}
			got, err := p.continuation(c.text, c.tokens)
			require.ErrorIs(t, err, c.err)
			before, err := body.Encode()
			require.NoError(t, err)
			require.JSONEq(t, c.body, string(before), "the original body must not be modified")
			if c.err != nil {
				return
			}
			raw, err := got.body.Encode()
			require.NoError(t, err)
			require.True(t, json.Valid(raw))
			require.JSONEq(t, c.want, string(raw))
			require.Equal(t, 10+c.tokens, got.tokens)
		})
	}
}
