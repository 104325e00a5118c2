package entry

import (
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/galenaarch/galenaarch/answers"
	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/api/refusal"
	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/kvcache"
)

// Paths of the completions API, both public and at engines.
const (
	pathCompletions = "/v1/completions"
	pathChat        = "/v1/chat/completions"
)

// Engine priorities by class; lower values run first.
const (
	enginePriorityInteractive = 0
	enginePriorityBatch       = 10
)

// prompt is a decoded completion request.
type prompt struct {
	request  requestInfo
	received time.Time
	path     string
	body     *backend.Body
	// digest is set if the request has an idempotency key.
	digest       answers.Digest
	stream       bool
	includeUsage bool
	// firstTokenTimeout bounds the time from received to the first token.
	firstTokenTimeout time.Duration
	priority          config.Priority
	deployment        *config.Deployment
	scope             kvcache.Scope
	// blocks holds the block keys for the scope's weight version, which is
	// chosen during routing. blockKeys computes at most limit keys for a scope.
	blocks         []kvcache.BlockKey
	blocksComputed bool
	blockKeys      func(scope kvcache.Scope, limit int) []kvcache.BlockKey
	tokens         int
	// lookup, importPlan and prefill belong to the current attempt.
	lookup     *blockLookup
	importPlan *importPlan
	prefill    *prefill
}

// parsePrompt decodes and validates a completion request.
func parsePrompt(w http.ResponseWriter, r *http.Request, info requestInfo, path string, received time.Time) (*prompt, *refusal.Error) {
	raw, refused := readBody(w, r)
	if refused != nil {
		return nil, refused
	}
	body, err := backend.ParseBody(raw)
	if err != nil {
		return nil, invalidRequest("the body is no JSON object")
	}
	p := &prompt{request: info, received: received, path: path, body: body}
	if r.Header.Get(headerIdempotencyKey) != "" {
		p.digest = requestDigest(path, raw)
	}
	if p.firstTokenTimeout, refused = readDeadline(r, defaultFirstTokenTimeout); refused != nil {
		return nil, refused
	}
	if refused := p.readOptions(r); refused != nil {
		return nil, refused
	}
	return p, p.readPromptContent()
}

func invalidRequest(message string) *refusal.Error {
	return refusal.New(refusal.CodeInvalidRequest, "parse request", "%s", message)
}

func (p *prompt) readOptions(r *http.Request) *refusal.Error {
	var model string
	if ok, err := p.body.Get("model", &model); !ok || err != nil {
		return invalidRequest("field \"model\": expected a name")
	}
	p.deployment = p.request.view.DeploymentForModel(p.request.account, model)
	if p.deployment == nil {
		return refusal.New(refusal.CodeNotFound, "parse request", "no model of that name for this account")
	}
	if _, err := p.body.Get("stream", &p.stream); err != nil {
		return invalidRequest("field \"stream\": expected true or false")
	}
	var options backend.StreamOptions
	if _, err := p.body.Get("stream_options", &options); err != nil {
		return invalidRequest("field \"stream_options\": expected an object")
	}
	p.includeUsage = options.IncludeUsage
	n := 1
	if _, err := p.body.Get("n", &n); err != nil || n != 1 {
		return refusal.New(refusal.CodeUnsupportedOption, "parse request", "field \"n\": only 1 answer a request is supported")
	}
	if refused := p.readTokenLimits(); refused != nil {
		return refused
	}
	return p.readPriority(r)
}

// readTokenLimits validates the token limits and rejects options that are
// supported only for streams.
func (p *prompt) readTokenLimits() *refusal.Error {
	var limitSet bool
	for _, name := range []string{fieldMaxTokens, fieldMaxCompletionTokens} {
		var limit *int
		if _, err := p.body.Get(name, &limit); err != nil || (limit != nil && *limit < 1) {
			return invalidRequest("field \"" + name + "\": expected a count above 0")
		}
		limitSet = limitSet || limit != nil
	}
	if p.path == pathCompletions && !limitSet {
		// Set explicitly, so that a continuation knows how many tokens are
		// left.
		if err := p.body.Set(fieldMaxTokens, defaultCompletionTokens); err != nil {
			return invalidRequest("field \"" + fieldMaxTokens + "\" could not be set")
		}
	}
	if p.stream {
		return nil
	}
	for _, name := range []string{"logprobs", "tools", "functions"} {
		if isSet(p.body, name) {
			return refusal.New(refusal.CodeUnsupportedOption, "parse request", "field %q: supported only with \"stream\": true", name)
		}
	}
	return nil
}

func (p *prompt) readPriority(r *http.Request) *refusal.Error {
	p.priority = p.request.account.Priority
	switch requested := config.Priority(r.Header.Get(headerPriority)); requested {
	case "":
	case config.PriorityInteractive, config.PriorityBatch:
		p.priority = requested
	default:
		return invalidRequest("header " + headerPriority + ": expected interactive or batch")
	}
	return nil
}

// readPromptContent prepares the computation of the prompt's block keys and
// token count.
func (p *prompt) readPromptContent() *refusal.Error {
	p.scope = kvcache.Scope{
		ClientAccount: p.request.account.Name,
		Deployment:    p.deployment.Name,
		WeightVersion: p.deployment.WeightVersion,
	}
	blockTokens := p.deployment.BlockTokens
	if p.path == pathChat {
		var messages []backend.Message
		if ok, err := p.body.Get("messages", &messages); !ok || err != nil || len(messages) == 0 {
			return invalidRequest("field \"messages\": expected a list of messages with text content")
		}
		p.setText(ChatPromptText(messages), blockTokens)
		return nil
	}
	var text backend.Prompt
	if ok, err := p.body.Get("prompt", &text); !ok || err != nil {
		return invalidRequest("field \"prompt\": expected text or token IDs")
	}
	if text.Tokens == nil {
		p.setText(text.Text, blockTokens)
		return nil
	}
	p.blockKeys = func(scope kvcache.Scope, limit int) []kvcache.BlockKey {
		return kvcache.TokenBlocks(scope, leadingTokens(text.Tokens, blockTokens, limit), blockTokens)
	}
	p.tokens = len(text.Tokens)
	return nil
}

func (p *prompt) setText(text string, blockTokens int) {
	p.blockKeys = func(scope kvcache.Scope, limit int) []kvcache.BlockKey {
		length := blockTokens * kvcache.BytesPerToken
		return kvcache.TextBlocks(scope, text[:min(len(text), blocksLength(length, limit))], blockTokens)
	}
	p.tokens = (len(text) + kvcache.BytesPerToken - 1) / kvcache.BytesPerToken
}

// leadingTokens returns the tokens of at most limit blocks.
func leadingTokens(tokens []int32, blockTokens, limit int) []int32 {
	return tokens[:min(len(tokens), blocksLength(blockTokens, limit))]
}

// blocksLength returns the length of limit blocks, saturating on overflow.
func blocksLength(blockLength, limit int) int {
	if limit > math.MaxInt/max(1, blockLength) {
		return math.MaxInt
	}
	return blockLength * limit
}

// ChatPromptText returns the text from which the block keys of a chat are
// computed: one line "role: content" per message.
func ChatPromptText(messages []backend.Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	return b.String()
}

// enginePriority returns the scheduling priority at the engine.
func (p *prompt) enginePriority() int {
	if p.priority == config.PriorityBatch {
		return enginePriorityBatch
	}
	return enginePriorityInteractive
}
