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
	// prefillChunk is the number of tokens computed before a more urgent run
	// may go first.
	prefillChunk = 1024
	// bytesPerToken is the length of text counted as one token.
	bytesPerToken    = 4
	defaultMaxTokens = 16
	maxRequestBytes  = 32 << 20
)

// run is one request being served.
type run struct {
	came     time.Time
	request  request
	text     string
	chat     bool
	version  string
	tokens   int
	cached   int
	imported int
	bytes    int64
	// importTime is how long the import took.
	importTime time.Duration
	// importStatus is what ended it early; 0 if nothing did.
	importStatus int
	// counted are tokens reported as waiting.
	counted int
}

// request is what the engine reads of a body.
type request struct {
	backend.CompletionRequest
	Messages []backend.Message `json:"messages"`
	// ContinueFinal says that the last message is to be continued.
	ContinueFinal bool `json:"continue_final_message"`
	// MaxCompletionTokens is the chat API's newer name of MaxTokens.
	MaxCompletionTokens int `json:"max_completion_tokens"`
}

func (e *Engine) serveRun(w http.ResponseWriter, r *http.Request) {
	current := &run{came: time.Now(), chat: strings.HasSuffix(r.URL.Path, "/chat/completions")}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&current.request); err != nil {
		http.Error(w, "expected a completion request", http.StatusBadRequest)
		return
	}
	if !current.request.Stream {
		http.Error(w, "only streams are served", http.StatusBadRequest)
		return
	}
	current.text = current.request.text()
	current.tokens = current.request.tokens(current.text)
	if status := e.enterRun(current); status != http.StatusOK {
		http.Error(w, "weights are loading or of another version", status)
		return
	}
	defer e.leaveRun()
	// The answer begins once the run is taken, on its weight version.
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
	if err := e.prepare(r.Context(), current); err != nil {
		return
	}
	defer e.slots.leave()
	e.decode(r.Context(), w, current, r.Header.Get("X-Request-Id"))
}

func (q *request) text() string {
	if len(q.Messages) == 0 {
		return q.promptText()
	}
	var b strings.Builder
	for i, m := range q.Messages {
		b.WriteString(m.Role + ": " + m.Content)
		if !q.ContinueFinal || i < len(q.Messages)-1 {
			b.WriteString("\n")
		}
	}
	if !q.ContinueFinal {
		b.WriteString("assistant: ")
	}
	return b.String()
}

func (q *request) promptText() string {
	if q.Prompt.Tokens == nil {
		return q.Prompt.Text
	}
	var b strings.Builder
	for _, t := range q.Prompt.Tokens {
		fmt.Fprintf(&b, "<%d>", t)
	}
	return b.String()
}

func (q *request) tokens(text string) int {
	if q.Prompt.Tokens != nil {
		return len(q.Prompt.Tokens)
	}
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}

func (e *Engine) enterRun(current *run) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loading {
		return http.StatusServiceUnavailable
	}
	t := current.request.KVTransfer
	if !e.settings.IgnoresVersion && t != nil && t.WeightVersion != "" && t.WeightVersion != e.version {
		return http.StatusConflict
	}
	current.version = e.version
	e.running++
	return http.StatusOK
}

func (e *Engine) leaveRun() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func (e *Engine) countWaiting(runs, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting += runs
	e.waitingToken += tokens
}

// prepare takes a slot, imports and computes the context. On success the slot
// is held.
func (e *Engine) prepare(ctx context.Context, current *run) error {
	current.counted = current.tokens
	e.countWaiting(1, current.tokens)
	defer func() { e.countWaiting(-1, -current.counted) }()
	if err := e.slots.enter(ctx, current.request.Priority); err != nil {
		return err
	}
	e.cover(ctx, current)
	if err := e.prefill(ctx, current); err != nil {
		e.slots.leave()
		return err
	}
	if t := current.request.KVTransfer; t != nil {
		e.cache.store(t.BlockKeys)
	}
	return nil
}

// cover finds the cached prefix and imports what follows it.
func (e *Engine) cover(ctx context.Context, current *run) {
	transfer := current.request.KVTransfer
	if transfer == nil {
		return
	}
	cached := e.cache.prefix(transfer.BlockKeys)
	current.cached = cached * transfer.BlockTokens
	if cached >= len(transfer.BlockKeys) {
		return
	}
	sources := sourcesFrom(transfer, cached)
	if len(sources) == 0 {
		return
	}
	timeout := time.Duration(transfer.ImportTimeoutMS) * time.Millisecond
	if transfer.ImportDeadlineMS > 0 {
		deadline := time.Duration(transfer.ImportDeadlineMS) * time.Millisecond
		timeout = min(timeout, deadline-time.Since(current.came))
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	started := time.Now()
	imported, bytes, status := e.importBlocks(ctx, sources)
	current.importTime, current.importStatus = time.Since(started), status
	current.imported = imported * transfer.BlockTokens
	current.bytes = bytes
}

// sourcesFrom returns the sources that continue the cached prefix without a
// gap.
func sourcesFrom(t *backend.KVTransfer, cached int) []backend.BlockSource {
	for i, s := range t.Imports {
		if s.Key != t.BlockKeys[cached] {
			continue
		}
		n := 0
		for i+n < len(t.Imports) && cached+n < len(t.BlockKeys) && t.Imports[i+n].Key == t.BlockKeys[cached+n] {
			n++
		}
		return t.Imports[i : i+n]
	}
	return nil
}

// prefill computes the rest of the context in chunks.
func (e *Engine) prefill(ctx context.Context, current *run) error {
	rest := max(0, current.tokens-current.cached-current.imported)
	e.stillWaiting(current, rest)
	if rest == 0 {
		return nil
	}
	if err := e.prefiller.enter(ctx, current.request.Priority); err != nil {
		return err
	}
	for {
		n := min(rest, prefillChunk)
		if err := sleep(ctx, time.Duration(float64(n)/e.settings.PrefillRate*float64(time.Second))); err != nil {
			break
		}
		rest -= n
		e.stillWaiting(current, rest)
		if rest == 0 {
			break
		}
		// Between chunks a more urgent run goes first.
		if err := e.prefiller.yield(ctx, current.request.Priority); err != nil {
			return err
		}
	}
	e.prefiller.leave()
	return ctx.Err()
}

// stillWaiting corrects the tokens that are reported as not yet computed.
func (e *Engine) stillWaiting(current *run, tokens int) {
	e.countWaiting(0, tokens-current.counted)
	current.counted = tokens
}

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

// Words returns the n tokens that follow a text: each is a function of all
// text before it.
func Words(text string, n int) []string {
	d := xxhash.New()
	_, _ = d.WriteString(text) // never fails
	words := make([]string, n)
	for i := range words {
		words[i] = " " + strconv.FormatUint(d.Sum64()%46656+46656, 36)[1:]
		_, _ = d.WriteString(words[i])
	}
	return words
}

// decode streams the answer.
func (e *Engine) decode(ctx context.Context, w http.ResponseWriter, current *run, id string) {
	n := current.request.MaxTokens
	if n <= 0 {
		n = current.request.MaxCompletionTokens
	}
	if n <= 0 {
		n = defaultMaxTokens
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	for i, word := range Words(current.text, n) {
		if i > 0 && sleep(ctx, e.settings.TokenInterval) != nil {
			return
		}
		if !e.event(w, flusher, current.chunk(id, word, i == n-1)) {
			return
		}
	}
	if o := current.request.StreamOptions; o != nil && o.IncludeUsage {
		e.event(w, flusher, current.usage(id, n))
	}
	_, _ = w.Write([]byte("data: [DONE]\n\n")) // the caller may be gone
}

func (e *Engine) event(w http.ResponseWriter, flusher http.Flusher, chunk backend.Chunk) bool {
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

func (r *run) chunk(id, word string, last bool) backend.Chunk {
	choice := backend.Choice{}
	if r.chat {
		choice.Delta = &backend.Message{Role: "assistant", Content: word}
	} else {
		choice.Text = word
	}
	if last {
		reason := "length"
		choice.FinishReason = &reason
	}
	return backend.Chunk{ID: id, Object: r.object(), Created: time.Now().Unix(), Model: r.request.Model, Choices: []backend.Choice{choice}}
}

func (r *run) object() string {
	if r.chat {
		return "chat.completion.chunk"
	}
	return "text_completion"
}

func (r *run) usage(id string, n int) backend.Chunk {
	return backend.Chunk{
		ID:      id,
		Object:  r.object(),
		Created: time.Now().Unix(),
		Model:   r.request.Model,
		Choices: []backend.Choice{},
		Usage: &backend.Usage{
			PromptTokens:     r.tokens,
			CompletionTokens: n,
			TotalTokens:      r.tokens + n,
			PromptTokensDetails: &backend.PromptTokensDetails{
				CachedTokens:   r.cached,
				ImportedTokens: r.imported,
				ImportedBytes:  r.bytes,
				ImportMS:       r.importTime.Milliseconds(),
				ImportStatus:   r.importStatus,
				WeightVersion:  r.version,
			},
		},
	}
}
