package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenaarch/galenaarch/api/backend"
)

const (
	// prefillChunkTokens is the number of tokens computed before a more urgent request
	// may preempt the prefill.
	prefillChunkTokens = 1024
	// bytesPerToken is the number of bytes of text that count as one token.
	bytesPerToken    = 4
	defaultMaxTokens = 16
	maxRequestBytes  = 32 << 20
)

// activeRequest is a request in progress.
type activeRequest struct {
	receivedAt     time.Time
	body           completionBody
	text           string
	chat           bool
	weightVersion  string
	promptTokens   int
	cachedTokens   int
	importedTokens int
	importedBytes  int64
	// importTime is the duration of the import.
	importTime time.Duration
	// importStatus is the HTTP or backend status that ended the import early, or 0.
	importStatus int
	// waitingTokens is the number of prompt tokens currently reported as waiting.
	waitingTokens int
}

// completionBody is the part of a request body that the engine reads.
type completionBody struct {
	backend.CompletionRequest
	Messages []backend.Message `json:"messages"`
	// ContinueFinal requests a continuation of the last message.
	ContinueFinal bool `json:"continue_final_message"`
	// MaxCompletionTokens is the chat API's replacement for MaxTokens.
	MaxCompletionTokens int `json:"max_completion_tokens"`
}

// serveCompletion serves a completion or chat completion as a stream of server-sent
// events. Requests without stream are rejected.
func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	current := &activeRequest{receivedAt: time.Now(), chat: strings.HasSuffix(r.URL.Path, "/chat/completions")}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&current.body); err != nil {
		http.Error(w, "expected a completion request", http.StatusBadRequest)
		return
	}
	if !current.body.Stream {
		http.Error(w, "only streams are served", http.StatusBadRequest)
		return
	}
	current.text = current.body.contextText()
	current.promptTokens = current.body.countTokens(current.text)
	if status := e.admitRequest(current); status != http.StatusOK {
		http.Error(w, "weights are loading or of another version", status)
		return
	}
	defer e.finishRequest()
	// The response headers are sent as soon as the weight version is checked, before
	// the prefill.
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
	if err := e.prepare(r.Context(), current); err != nil {
		return
	}
	defer e.slots.release()
	e.decode(r.Context(), w, current, r.Header.Get("X-Request-Id"))
}

// contextText returns the text that the output continues: the prompt, or the messages
// in one text.
func (body *completionBody) contextText() string {
	if len(body.Messages) == 0 {
		return body.promptText()
	}
	var b strings.Builder
	for i, m := range body.Messages {
		b.WriteString(m.Role + ": " + m.Content)
		if !body.ContinueFinal || i < len(body.Messages)-1 {
			b.WriteString("\n")
		}
	}
	if !body.ContinueFinal {
		b.WriteString("assistant: ")
	}
	return b.String()
}

// promptText returns the prompt; a prompt of token IDs is written as text.
func (body *completionBody) promptText() string {
	if body.Prompt.Tokens == nil {
		return body.Prompt.Text
	}
	var b strings.Builder
	for _, t := range body.Prompt.Tokens {
		fmt.Fprintf(&b, "<%d>", t)
	}
	return b.String()
}

// countTokens returns the length of the prompt in tokens. Unless the prompt is given as
// token IDs, it is estimated from the length of the text.
func (body *completionBody) countTokens(text string) int {
	if body.Prompt.Tokens != nil {
		return len(body.Prompt.Tokens)
	}
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}

// admitRequest returns the HTTP status for a request. Status 200 counts the request as
// running and records its weight version; the caller must call finishRequest. Status 503
// means that weights are loading, 409 that the request is for another weight version.
func (e *Engine) admitRequest(current *activeRequest) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loading {
		return http.StatusServiceUnavailable
	}
	transfer := current.body.KVTransfer
	if !e.settings.IgnoreWeightVersion && transfer != nil && transfer.WeightVersion != "" && transfer.WeightVersion != e.weightVersion {
		return http.StatusConflict
	}
	current.weightVersion = e.weightVersion
	e.running++
	return http.StatusOK
}

func (e *Engine) finishRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// addWaiting adds to the reported numbers of waiting requests and prompt tokens; both
// may be negative.
func (e *Engine) addWaiting(requests, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting += requests
	e.waitingTokens += tokens
}

// prepare acquires a slot, imports cached blocks and prefills the rest of the
// context. On success the caller holds the slot.
func (e *Engine) prepare(ctx context.Context, current *activeRequest) error {
	current.waitingTokens = current.promptTokens
	e.addWaiting(1, current.promptTokens)
	defer func() { e.addWaiting(-1, -current.waitingTokens) }()
	if err := e.slots.acquire(ctx, current.body.Priority); err != nil {
		return err
	}
	e.reuseBlocks(ctx, current)
	if err := e.prefill(ctx, current); err != nil {
		e.slots.release()
		return err
	}
	if transfer := current.body.KVTransfer; transfer != nil {
		e.cache.insert(transfer.BlockKeys)
	}
	return nil
}

// reuseBlocks matches the cached prefix and imports the blocks that follow it, up to
// the import timeout or deadline.
func (e *Engine) reuseBlocks(ctx context.Context, current *activeRequest) {
	transfer := current.body.KVTransfer
	if transfer == nil {
		return
	}
	cached := e.cache.matchPrefix(transfer.BlockKeys)
	current.cachedTokens = cached * transfer.BlockTokens
	if cached >= len(transfer.BlockKeys) {
		return
	}
	sources := contiguousSources(transfer, cached)
	if len(sources) == 0 {
		return
	}
	timeout := time.Duration(transfer.ImportTimeoutMS) * time.Millisecond
	if transfer.ImportDeadlineMS > 0 {
		deadline := time.Duration(transfer.ImportDeadlineMS) * time.Millisecond
		timeout = min(timeout, deadline-time.Since(current.receivedAt))
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	started := time.Now()
	imported, bytes, status := e.importBlocks(ctx, sources)
	current.importTime, current.importStatus = time.Since(started), status
	current.importedTokens = imported * transfer.BlockTokens
	current.importedBytes = bytes
}

// contiguousSources returns the block sources that extend the cached prefix without
// a gap.
func contiguousSources(transfer *backend.KVTransfer, cached int) []backend.BlockSource {
	for i, source := range transfer.Imports {
		if source.Key != transfer.BlockKeys[cached] {
			continue
		}
		n := 0
		for i+n < len(transfer.Imports) && cached+n < len(transfer.BlockKeys) && transfer.Imports[i+n].Key == transfer.BlockKeys[cached+n] {
			n++
		}
		return transfer.Imports[i : i+n]
	}
	return nil
}

// prefill computes the remaining context in chunks.
func (e *Engine) prefill(ctx context.Context, current *activeRequest) error {
	remaining := max(0, current.promptTokens-current.cachedTokens-current.importedTokens)
	e.setWaitingTokens(current, remaining)
	if remaining == 0 {
		return nil
	}
	if err := e.prefillSlot.acquire(ctx, current.body.Priority); err != nil {
		return err
	}
	for {
		chunk := min(remaining, prefillChunkTokens)
		if err := sleep(ctx, time.Duration(float64(chunk)/e.settings.PrefillTokensPerSecond*float64(time.Second))); err != nil {
			break
		}
		remaining -= chunk
		e.setWaitingTokens(current, remaining)
		if remaining == 0 {
			break
		}
		// More urgent requests run between chunks.
		if err := e.prefillSlot.yield(ctx, current.body.Priority); err != nil {
			return err
		}
	}
	e.prefillSlot.release()
	return ctx.Err()
}

// setWaitingTokens updates the number of prompt tokens reported as not yet computed.
func (e *Engine) setWaitingTokens(current *activeRequest, tokens int) {
	e.addWaiting(0, tokens-current.waitingTokens)
	current.waitingTokens = tokens
}

// sleep waits for d, or returns the context's error if it ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// GenerateTokens returns the n output tokens that follow a text. Each token is a
// function of all preceding text.
func GenerateTokens(text string, n int) []string {
	digest := xxhash.New()
	_, _ = digest.WriteString(text) // never returns an error
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = " " + strconv.FormatUint(digest.Sum64()%46656+46656, 36)[1:]
		_, _ = digest.WriteString(tokens[i])
	}
	return tokens
}

// decode streams the output tokens.
func (e *Engine) decode(ctx context.Context, w http.ResponseWriter, current *activeRequest, id string) {
	maxTokens := current.body.MaxTokens
	if maxTokens <= 0 {
		maxTokens = current.body.MaxCompletionTokens
	}
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	for i, token := range GenerateTokens(current.text, maxTokens) {
		if i > 0 && sleep(ctx, e.settings.TokenInterval) != nil {
			return
		}
		if !e.writeEvent(w, flusher, current.tokenChunk(id, token, i == maxTokens-1)) {
			return
		}
	}
	if o := current.body.StreamOptions; o != nil && o.IncludeUsage {
		e.writeEvent(w, flusher, current.usageChunk(id, maxTokens))
	}
	_, _ = w.Write([]byte("data: [DONE]\n\n")) // the client may have disconnected
}

// writeEvent writes a chunk as a server-sent event and reports whether it was written.
func (e *Engine) writeEvent(w http.ResponseWriter, flusher http.Flusher, chunk backend.Chunk) bool {
	raw, err := json.Marshal(chunk)
	if err != nil {
		return false
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", raw); err != nil {
		return false
	}
	if flusher != nil {
		flusher.Flush()
	}
	return true
}

// tokenChunk returns the chunk with one output token; the last one has a finish reason.
func (r *activeRequest) tokenChunk(id, token string, last bool) backend.Chunk {
	choice := backend.Choice{}
	if r.chat {
		choice.Delta = &backend.Message{Role: "assistant", Content: token}
	} else {
		choice.Text = token
	}
	if last {
		reason := "length"
		choice.FinishReason = &reason
	}
	return backend.Chunk{ID: id, Object: r.chunkObject(), Created: time.Now().Unix(), Model: r.body.Model, Choices: []backend.Choice{choice}}
}

// chunkObject returns the object field of a response chunk.
func (r *activeRequest) chunkObject() string {
	if r.chat {
		return "chat.completion.chunk"
	}
	return "text_completion"
}

// usageChunk returns the chunk that reports the token counts and the import.
func (r *activeRequest) usageChunk(id string, completionTokens int) backend.Chunk {
	return backend.Chunk{
		ID:      id,
		Object:  r.chunkObject(),
		Created: time.Now().Unix(),
		Model:   r.body.Model,
		Choices: []backend.Choice{},
		Usage: &backend.Usage{
			PromptTokens:     r.promptTokens,
			CompletionTokens: completionTokens,
			TotalTokens:      r.promptTokens + completionTokens,
			PromptTokensDetails: &backend.PromptTokensDetails{
				CachedTokens:   r.cachedTokens,
				ImportedTokens: r.importedTokens,
				ImportedBytes:  r.importedBytes,
				ImportMS:       r.importTime.Milliseconds(),
				ImportStatus:   r.importStatus,
				WeightVersion:  r.weightVersion,
			},
		},
	}
}
