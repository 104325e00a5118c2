package faults

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/api/refusal"
	"github.com/galenaarch/galenaarch/standin/engine"
)

// Parameters of the workload.
const (
	promptWorkers = 12
	orderWorkers  = 8
	outputTokens  = 24
	// maxAttempts is the maximum number of attempts for one request.
	maxAttempts = 40
	retryDelay  = 100 * time.Millisecond
	thinkTime   = 200 * time.Millisecond
	// orderPause keeps the number of orders in a full run below the limit on call records
	// of one client account.
	orderPause = 300 * time.Millisecond
)

// result is the outcome of one attempt.
type result int

// Results of an attempt.
const (
	// resultComplete: the complete response to this request.
	resultComplete result = iota
	// resultRefused: a typed refusal.
	resultRefused
	// resultNotSent: no connection was established.
	resultNotSent
	// resultTruncated: the connection broke without an end marker or a refusal.
	resultTruncated
	// resultWrong: a response that is malformed, incomplete or belongs to another
	// request.
	resultWrong
)

// attempt is one HTTP request as observed by its client.
type attempt struct {
	// firstSentAt is the time of the first attempt of the same request.
	firstSentAt time.Time
	endedAt     time.Time
	kind        string
	key         string
	entry       int
	result      result
	refusal     refusal.BodyError
	detail      string
}

// workload sends prompts and orders concurrently until it is stopped, and records every
// attempt.
type workload struct {
	cluster *cluster
	client  *http.Client
	stop    chan struct{}
	workers sync.WaitGroup

	mu       sync.Mutex
	attempts []attempt
	// orders holds the outcome of each order by key.
	orders map[string]orderOutcome
	// prompts counts prompts, incompletePrompts those without a complete response after
	// all attempts.
	prompts           int
	incompletePrompts int
}

// orderOutcome is what the client of an order knows after its last attempt.
type orderOutcome struct {
	completed bool
	// mayHaveRun is true if any attempt was truncated, or refused without being
	// reported as not run.
	mayHaveRun bool
}

func startWorkload(c *cluster) *workload {
	w := &workload{
		cluster: c, stop: make(chan struct{}), orders: make(map[string]orderOutcome),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: promptWorkers + orderWorkers, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		}},
	}
	for i := range promptWorkers {
		w.workers.Go(func() { w.runWorker(i, thinkTime, w.runPrompt) })
	}
	for i := range orderWorkers {
		w.workers.Go(func() { w.runWorker(i, orderPause, w.runOrder) })
	}
	return w
}

// stopAndWait stops the workers after their current requests.
func (w *workload) stopAndWait() {
	close(w.stop)
	w.workers.Wait()
}

func (w *workload) runWorker(worker int, pause time.Duration, request func(worker, n int)) {
	for n := 0; ; n++ {
		select {
		case <-w.stop:
			return
		case <-time.After(pause):
			request(worker, n)
		}
	}
}

func (w *workload) record(firstSentAt time.Time, a attempt) attempt {
	a.firstSentAt, a.endedAt = firstSentAt, time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.attempts = append(w.attempts, a)
	return a
}

// runPrompt retries a prompt until the response is complete or wrong; a prompt may run
// more than once.
func (w *workload) runPrompt(worker, n int) {
	text := fmt.Sprintf("%s: survey %d of worker %d, line by line. ", w.cluster.example.name, n, worker)
	text += strings.Repeat("A measured length and a depth; ", 20)
	first := time.Now()
	for i := range maxAttempts {
		a := w.record(first, w.sendPrompt((worker+i)%entryCount, text, n%2 == 0))
		if a.result == resultComplete || a.result == resultWrong {
			w.recordPrompt(true)
			return
		}
		time.Sleep(retryDelay)
	}
	w.recordPrompt(false)
}

func (w *workload) recordPrompt(completed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.prompts++
	if !completed {
		w.incompletePrompts++
	}
}

func (w *workload) sendPrompt(entry int, text string, stream bool) attempt {
	a := attempt{kind: "prompt", entry: entry}
	body, _ := json.Marshal(backend.CompletionRequest{ // encoding plain structs cannot fail
		Model: w.cluster.example.model, Prompt: backend.Prompt{Text: text}, MaxTokens: outputTokens, Stream: stream,
	})
	resp, err := w.post(entry, "/v1/completions", "", body)
	if err != nil {
		return a.asFailed(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return a.asRefused(resp.Body)
	}
	output, err := a.readResponse(resp.Body, stream)
	if err != nil {
		return a.asFailed(err)
	}
	if a.result == resultRefused {
		return a
	}
	if output != strings.Join(engine.GenerateTokens(text, outputTokens), "") {
		a.result, a.detail = resultWrong, output
	}
	return a
}

func (w *workload) post(entry int, path, key string, body []byte) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, w.cluster.entryURLs[entry]+path, bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, err
	}
	req.GetBody = nil // no transparent retries: each attempt is counted
	req.Header.Set("Authorization", "Bearer "+w.cluster.example.key)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := w.client.Do(req)
	if err != nil {
		cancel()
		return nil, err
	}
	resp.Body = &cancelBody{resp.Body, cancel}
	return resp, nil
}

// cancelBody cancels the request's context when the response body is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

func (a attempt) asFailed(err error) attempt {
	a.result, a.detail = resultTruncated, err.Error()
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		a.result = resultNotSent
	}
	return a
}

// asRefused decodes a refusal. A refusal without a code or execution state counts as
// wrong.
func (a attempt) asRefused(body io.Reader) attempt {
	raw, err := io.ReadAll(body)
	if err != nil {
		return a.asFailed(err)
	}
	var decoded refusal.Body
	if json.Unmarshal(raw, &decoded) != nil || decoded.Error.Code == "" || decoded.Error.Execution == "" {
		a.result, a.detail = resultWrong, string(raw)
		return a
	}
	a.result, a.refusal = resultRefused, decoded.Error
	return a
}

// readResponse reads the response and returns its text. It sets the result if a refusal
// ends the stream.
func (a *attempt) readResponse(body io.Reader, stream bool) (string, error) {
	if !stream {
		var chunk backend.Chunk
		if err := json.NewDecoder(body).Decode(&chunk); err != nil {
			return "", err
		}
		return chunkText(&chunk), nil
	}
	var out strings.Builder
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return out.String(), nil
		}
		var event struct {
			backend.Chunk
			Error *refusal.BodyError `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return "", err
		}
		if event.Error != nil {
			a.result, a.refusal = resultRefused, *event.Error
			return "", nil
		}
		out.WriteString(chunkText(&event.Chunk))
	}
	if err := scanner.Err(); err != nil {
		return "", err
	}
	return "", io.ErrUnexpectedEOF
}

func chunkText(chunk *backend.Chunk) string {
	var out string
	for _, c := range chunk.Choices {
		out += c.Text
	}
	return out
}

// runOrder retries an order under one idempotency key until it is completed, its
// response is wrong or its outcome is reported as unknown.
func (w *workload) runOrder(worker, n int) {
	key := fmt.Sprintf("order-%d-%d-%d", worker, n, time.Now().UnixNano())
	var outcome orderOutcome
	first := time.Now()
	for i := range maxAttempts {
		a := w.record(first, w.sendOrder((worker+i)%entryCount, key))
		outcome.completed = a.result == resultComplete
		outcome.mayHaveRun = outcome.mayHaveRun || a.result == resultTruncated || (a.result == resultRefused && a.refusal.Execution != refusal.NotExecuted)
		// A retry does not change an outcome that was reported as unknown.
		if outcome.completed || a.result == resultWrong || a.refusal.Code == refusal.CodeOutcomeUnknown {
			break
		}
		time.Sleep(retryDelay)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orders[key] = outcome
}

func (w *workload) sendOrder(entry int, key string) attempt {
	a := attempt{kind: "order", key: key, entry: entry}
	resp, err := w.post(entry, "/v1/services/"+w.cluster.example.service+"/orders", key, []byte(`{"item":"liner"}`))
	if err != nil {
		return a.asFailed(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return a.asRefused(resp.Body)
	}
	var reply struct {
		Key string `json:"key"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return a.asFailed(err)
	}
	if reply.Key != key {
		a.result, a.detail = resultWrong, reply.Key
	}
	return a
}
