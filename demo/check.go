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

// Key is the bearer key of the example's first client account.
const Key = "trial-key-garden-centre-1"

// Sizes of the check.
const (
	surveys      = 8
	surveyBlocks = 6
	blockTokens  = 1024
	answerTokens = 24
	checkTimeout = 60 * time.Second
	keepPause    = 500 * time.Millisecond
)

// Report is what a check measured.
type Report struct {
	Prompts          int
	FirstTokenMin    time.Duration
	FirstTokenMax    time.Duration
	PromptTokens     int
	ReturnedTokens   int
	RecomputedTokens int
	CachedTokens     int
	ImportedTokens   int
	LinkBytes        int64
	Orders           int
}

// Print writes the report.
func (r *Report) Print(w io.Writer) {
	share := 0.0
	if r.ReturnedTokens > 0 {
		share = float64(r.RecomputedTokens) / float64(r.ReturnedTokens)
	}
	fmt.Fprintf(w, "prompts            %d, all whole\n", r.Prompts)
	fmt.Fprintf(w, "first token        %v to %v\n", r.FirstTokenMin.Round(time.Millisecond), r.FirstTokenMax.Round(time.Millisecond))
	fmt.Fprintf(w, "returned context   %d tokens: %d cached, %d imported, %d recomputed (share %.3f)\n",
		r.ReturnedTokens, r.CachedTokens, r.ImportedTokens, r.RecomputedTokens, share)
	fmt.Fprintf(w, "link               %d bytes imported\n", r.LinkBytes)
	fmt.Fprintf(w, "orders             %d sent twice, each run once\n", r.Orders)
}

// Check sends prompts whose context comes back after it has left accelerator
// memory, and an order twice. It returns an error unless all was right.
func (c *Cluster) Check() (*Report, error) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	report := &Report{}
	for round := range 2 {
		for i := range surveys {
			if err := c.checkPrompt(ctx, report, i, round); err != nil {
				return nil, eris.Wrapf(err, "survey %d, round %d", i, round)
			}
		}
		// Kept copies are written behind the answers.
		time.Sleep(keepPause)
	}
	if report.ImportedTokens == 0 {
		return nil, eris.New("no returned context came from a store")
	}
	return report, c.checkOrder(ctx, report)
}

// survey is a long text whose head is the same at each return.
func survey(i, round int) string {
	var b strings.Builder
	for b.Len() < surveyBlocks*blockTokens*4 {
		fmt.Fprintf(&b, "site %d line %d; ", i, b.Len())
	}
	fmt.Fprintf(&b, "question %d: what size of liner?", round)
	return b.String()
}

func (c *Cluster) checkPrompt(ctx context.Context, report *Report, i, round int) error {
	prompt := survey(i, round)
	got, err := c.complete(ctx, prompt)
	if err != nil {
		return err
	}
	if want := strings.Join(engine.Words(prompt, answerTokens), ""); got.text != want {
		return eris.New("the answer is not whole or not this prompt's")
	}
	report.add(got, round > 0)
	return nil
}

// completion is one answer as its caller saw it.
type completion struct {
	text       string
	usage      backend.Usage
	firstToken time.Duration
}

func (r *Report) add(c *completion, returned bool) {
	r.Prompts++
	r.PromptTokens += c.usage.PromptTokens
	if r.FirstTokenMin == 0 || c.firstToken < r.FirstTokenMin {
		r.FirstTokenMin = c.firstToken
	}
	r.FirstTokenMax = max(r.FirstTokenMax, c.firstToken)
	if !returned || c.usage.PromptTokensDetails == nil {
		return
	}
	head := surveyBlocks * blockTokens
	r.ReturnedTokens += head
	r.CachedTokens += c.usage.PromptTokensDetails.CachedTokens
	r.ImportedTokens += c.usage.PromptTokensDetails.ImportedTokens
	r.RecomputedTokens += max(0, head-c.usage.PromptTokensDetails.CachedTokens-c.usage.PromptTokensDetails.ImportedTokens)
	r.LinkBytes += c.usage.PromptTokensDetails.ImportedBytes
}

func (c *Cluster) complete(ctx context.Context, prompt string) (*completion, error) {
	body, err := json.Marshal(backend.CompletionRequest{
		Model: "quote-model", Prompt: backend.Prompt{Text: prompt}, MaxTokens: answerTokens, Stream: true,
		StreamOptions: &backend.StreamOptions{IncludeUsage: true},
	})
	if err != nil {
		return nil, err
	}
	started := time.Now()
	resp, err := c.post(ctx, "/v1/completions", "", body)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return readCompletion(resp.Body, started)
}

func readCompletion(body io.Reader, started time.Time) (*completion, error) {
	out := &completion{}
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return out, nil
		}
		var chunk backend.Chunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return nil, eris.Wrap(err, "decode event")
		}
		if out.firstToken == 0 {
			out.firstToken = time.Since(started)
		}
		for _, choice := range chunk.Choices {
			out.text += choice.Text
		}
		if chunk.Usage != nil {
			out.usage = *chunk.Usage
		}
	}
	return nil, eris.New("the stream ended before its end mark")
}

func (c *Cluster) post(ctx context.Context, path, key string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.EntryURLs[0]+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+Key)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, eris.Wrapf(err, "post %s", path)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body) // the status says enough
		return nil, eris.Errorf("post %s: status %d: %s", path, resp.StatusCode, text)
	}
	return resp, nil
}

// checkOrder sends one order twice under one key: it must run once and both
// answers must be the same.
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
		return eris.Errorf("two answers to one order: %+v and %+v", replies[0], replies[1])
	}
	report.Orders = 1
	return nil
}
