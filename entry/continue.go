package entry

import (
	"encoding/json"
	"errors"
	"slices"

	"github.com/galenaarch/galenaarch/api/backend"
)

// finishLength is the finish reason of a response that reached its token limit.
const finishLength = "length"

// defaultCompletionTokens is the API's default max_tokens for completions;
// tokens.
const defaultCompletionTokens = 16

// Body fields that control the length and the continuation of a response.
const (
	fieldMaxTokens           = "max_tokens"
	fieldMaxCompletionTokens = "max_completion_tokens"
	fieldContinueFinal       = "continue_final_message"
)

var (
	// errNoTokensLeft is returned if the response already has all its tokens.
	errNoTokensLeft = errors.New("no tokens are left to generate")
	// errNotContinuable is returned if the text generated so far does not
	// determine how to continue.
	errNotContinuable = errors.New("the response cannot be continued from its text")
)

// statefulOptions are options that depend on generation state from the first
// token on. A response generated with one cannot be continued from its text.
var statefulOptions = []string{
	"best_of", "echo", "functions", "guided_choice", "guided_grammar", "guided_json", "guided_regex",
	"logprobs", "min_tokens", "response_format", "structured_outputs", "suffix", "tools", "use_beam_search",
}

// isSet reports whether a field is present with a value other than null, false,
// zero, empty or the plain-text format. For best_of, 1 also counts as unset.
func isSet(body *backend.Body, name string) bool {
	var raw json.RawMessage
	if ok, _ := body.Get(name, &raw); !ok {
		return false
	}
	switch string(raw) {
	case "null", "false", "0", "[]", "{}", `""`, `{"type":"text"}`:
		return false
	case "1":
		return name != "best_of"
	}
	return true
}

// continuable reports whether a response to the prompt may be continued from its text.
func (p *prompt) continuable() bool {
	return !slices.ContainsFunc(statefulOptions, func(name string) bool { return isSet(p.body, name) })
}

// continuation returns a prompt that makes an engine continue after text, which
// consists of the given number of tokens.
func (p *prompt) continuation(text string, tokens int) (*prompt, error) {
	if !p.continuable() {
		return nil, errNotContinuable
	}
	if text == "" {
		return p, nil
	}
	next := *p
	next.body = p.body.Clone()
	next.tokens = p.tokens + tokens
	for _, name := range []string{fieldMaxTokens, fieldMaxCompletionTokens} {
		if err := next.reduceLimit(name, tokens); err != nil {
			return nil, err
		}
	}
	if p.path == pathChat {
		return &next, next.extendMessages(text)
	}
	return &next, next.extendPrompt(text)
}

// reduceLimit subtracts generated tokens from a limit, if it is set.
func (p *prompt) reduceLimit(name string, tokens int) error {
	var limit *int
	if ok, err := p.body.Get(name, &limit); !ok || err != nil || limit == nil {
		return err
	}
	if *limit <= tokens {
		return errNoTokensLeft
	}
	return p.body.Set(name, *limit-tokens)
}

func (p *prompt) extendPrompt(text string) error {
	var prompt backend.Prompt
	if _, err := p.body.Get("prompt", &prompt); err != nil {
		return err
	}
	if prompt.Tokens != nil {
		// Appending text to token IDs would need the engine's tokenizer.
		return errNotContinuable
	}
	return p.body.Set("prompt", prompt.Text+text)
}

// extendMessages appends the text so far as an assistant message to be
// continued. If the client already asked to continue the last message, the text
// is appended to it.
func (p *prompt) extendMessages(text string) error {
	var messages []json.RawMessage
	if _, err := p.body.Get("messages", &messages); err != nil {
		return err
	}
	last := backend.Message{Role: "assistant"}
	if isSet(p.body, fieldContinueFinal) {
		end := len(messages) - 1
		if err := json.Unmarshal(messages[end], &last); err != nil {
			return err
		}
		messages = messages[:end:end]
	}
	last.Content += text
	raw, err := json.Marshal(last)
	if err != nil {
		return err
	}
	if err := p.body.Set("messages", append(messages, raw)); err != nil {
		return err
	}
	if err := p.body.Set("add_generation_prompt", false); err != nil {
		return err
	}
	return p.body.Set(fieldContinueFinal, true)
}
