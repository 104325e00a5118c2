package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/standin/engine"
	"github.com/galenaarch/galenaarch/standin/service"
)

// ClientKey is the bearer key of the first client account in the example document.
const ClientKey = "trial-key-garden-centre-1"

// Parameters of the check.
const (
	promptCount   = 8
	contextBlocks = 6
	blockTokens   = 1024
	outputTokens  = 24
	checkTimeout  = 60 * time.Second
	exportWait    = 500 * time.Millisecond
)

// Report holds the measurements of a check. ReusableTokens and the fields down to
// ImportedBytes cover only the second round, whose contexts were sent before.
type Report struct {
	Prompts          int
	MinFirstToken    time.Duration
	MaxFirstToken    time.Duration
	PromptTokens     int
	ReusableTokens   int
	RecomputedTokens int
	CachedTokens     int
	ImportedTokens   int
	ImportedBytes    int64
	Orders           int
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	share := 0.0
	if r.ReusableTokens > 0 {
		share = float64(r.RecomputedTokens) / float64(r.ReusableTokens)
	}
	fmt.Fprintf(w, "prompts            %d, all whole\n", r.Prompts)
	fmt.Fprintf(w, "first token        %v to %v\n", r.MinFirstToken.Round(time.Millisecond), r.MaxFirstToken.Round(time.Millisecond))
	fmt.Fprintf(w, "returned context   %d tokens: %d cached, %d imported, %d recomputed (share %.3f)\n",
		r.ReusableTokens, r.CachedTokens, r.ImportedTokens, r.RecomputedTokens, share)
	fmt.Fprintf(w, "link               %d bytes imported\n", r.ImportedBytes)
	fmt.Fprintf(w, "orders             %d sent twice, each run once\n", r.Orders)
}

// Verify sends prompts in two rounds with the same contexts. Together the contexts
// exceed the engines' caches, so that some are evicted before they are used again. Verify
// also sends one order twice. It returns an error unless all responses are correct within
// checkTimeout and some context was imported from a store.
func (c *Cluster) Verify() (*Report, error) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	report := &Report{}
	for round := range 2 {
		for i := range promptCount {
			if err := c.checkPrompt(ctx, report, i, round); err != nil {
				return nil, eris.Wrapf(err, "prompt %d, round %d", i, round)
			}
		}
		// Contexts are exported to the stores asynchronously, after the responses.
		time.Sleep(exportWait)
	}
	if report.ImportedTokens == 0 {
		return nil, eris.New("no context was imported from a store")
	}
	return report, c.checkOrder(ctx, report)
}

// buildPrompt returns a long prompt. Its context is the same in each round; only the
// question at its end differs.
func buildPrompt(i, round int) string {
	var b strings.Builder
	for b.Len() < contextBlocks*blockTokens*4 {
		fmt.Fprintf(&b, "site %d line %d; ", i, b.Len())
	}
	fmt.Fprintf(&b, "question %d: what size of liner?", round)
	return b.String()
}

// checkPrompt sends the prompt of a context and round, checks the text of the response
// and adds its usage to the report.
func (c *Cluster) checkPrompt(ctx context.Context, report *Report, i, round int) error {
	prompt := buildPrompt(i, round)
	received, err := c.complete(ctx, prompt)
	if err != nil {
		return err
	}
	if want := strings.Join(engine.GenerateTokens(prompt, outputTokens), ""); received.text != want {
		return eris.New("answer is incomplete or belongs to another prompt")
	}
	report.add(received, round > 0)
	return nil
}

// completion is a response as received by the client.
type completion struct {
	text       string
	usage      backend.Usage
	firstToken time.Duration
}

// add adds a response to the report. The token counts of the context are added only if
// it was reused.
func (r *Report) add(c *completion, reused bool) {
	r.Prompts++
	r.PromptTokens += c.usage.PromptTokens
	if r.MinFirstToken == 0 || c.firstToken < r.MinFirstToken {
		r.MinFirstToken = c.firstToken
	}
	r.MaxFirstToken = max(r.MaxFirstToken, c.firstToken)
	if !reused || c.usage.PromptTokensDetails == nil {
		return
	}
	contextTokens := contextBlocks * blockTokens
	r.ReusableTokens += contextTokens
	r.CachedTokens += c.usage.PromptTokensDetails.CachedTokens
	r.ImportedTokens += c.usage.PromptTokensDetails.ImportedTokens
	r.RecomputedTokens += max(0, contextTokens-c.usage.PromptTokensDetails.CachedTokens-c.usage.PromptTokensDetails.ImportedTokens)
	r.ImportedBytes += c.usage.PromptTokensDetails.ImportedBytes
}

// complete sends a prompt to the first entry and reads the response.
func (c *Cluster) complete(ctx context.Context, prompt string) (*completion, error) {
	body, err := json.Marshal(backend.CompletionRequest{
		Model: "quote-model", Prompt: backend.Prompt{Text: prompt}, MaxTokens: outputTokens, Stream: true,
		StreamOptions: &backend.StreamOptions{IncludeUsage: true},
	})
	if err != nil {
		return nil, err
	}
	sentAt := time.Now()
	resp, err := c.post(ctx, "/v1/completions", "", body)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return readCompletion(resp.Body, sentAt)
}

// readCompletion reads an event stream; a stream without the [DONE] event is an error.
// The time to first token counts from sentAt.
func readCompletion(body io.Reader, sentAt time.Time) (*completion, error) {
	received := &completion{}
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return received, nil
		}
		var chunk backend.Chunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return nil, eris.Wrap(err, "decode event")
		}
		if received.firstToken == 0 {
			received.firstToken = time.Since(sentAt)
		}
		for _, choice := range chunk.Choices {
			received.text += choice.Text
		}
		if chunk.Usage != nil {
			received.usage = *chunk.Usage
		}
	}
	return nil, eris.New("stream ended without the [DONE] event")
}

// post sends a request to the first entry, with ClientKey and, if not empty, an
// idempotency key; a status other than 200 is an error.
func (c *Cluster) post(ctx context.Context, path, idempotencyKey string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.EntryURLs[0]+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+ClientKey)
	req.Header.Set("Content-Type", "application/json")
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, eris.Wrapf(err, "post %s", path)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body) // the status is reported in any case
		return nil, eris.Errorf("post %s: status %d: %s", path, resp.StatusCode, text)
	}
	return resp, nil
}

// checkOrder sends one order twice under one idempotency key and checks that both
// responses are the same.
func (c *Cluster) checkOrder(ctx context.Context, report *Report) error {
	var replies [2]service.OrderReply
	for i := range replies {
		resp, err := c.post(ctx, "/v1/services/order-desk/orders", "order-1", []byte(`{"liner":"4x6"}`))
		if err != nil {
			return err
		}
		err = json.NewDecoder(resp.Body).Decode(&replies[i])
		resp.Body.Close()
		if err != nil {
			return eris.Wrap(err, "decode order reply")
		}
	}
	if replies[0] != replies[1] {
		return eris.Errorf("repeated order was answered differently: %+v and %+v", replies[0], replies[1])
	}
	report.Orders = 1
	return nil
}
