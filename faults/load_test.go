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

// Sizes of the load.
const (
	promptWorkers = 12
	orderWorkers  = 8
	answerTokens  = 24
	// resendLimit bounds how often a caller sends a request again.
	resendLimit = 40
	resendPause = 100 * time.Millisecond
	thinkTime   = 200 * time.Millisecond
	// orderPause keeps a whole run below the call records of one account.
	orderPause = 300 * time.Millisecond
)

// result is how one sending ended.
type result int

// Results of a sending.
const (
	// resultWhole: the whole answer to this request.
	resultWhole result = iota
	// resultRefused: a typed refusal.
	resultRefused
	// resultNotSent: no connection was made.
	resultNotSent
	// resultCut: the connection broke without an end mark or a refusal.
	resultCut
	// resultWrong: an answer that is short, mixed or another's.
	resultWrong
)

// sending is one HTTP request as its caller saw it.
type sending struct {
	// first is when the request was sent for the first time.
	first   time.Time
	ended   time.Time
	kind    string
	key     string
	entry   int
	result  result
	refusal refusal.BodyError
	detail  string
}

// callers send prompts and orders until they are stopped.
type callers struct {
	cluster *cluster
	client  *http.Client
	stop    chan struct{}
	wait    sync.WaitGroup

	mu       sync.Mutex
	sendings []sending
	// orders holds how each order ended for its caller.
	orders map[string]orderEnd
	// prompts and unanswered count prompts over all their sendings.
	prompts    int
	unanswered int
}

// orderEnd is what the caller of an order knows at the end.
type orderEnd struct {
	answered bool
	// mayHaveRun is true if any sending was not told as "not run".
	mayHaveRun bool
}

func startCallers(c *cluster) *callers {
	s := &callers{
		cluster: c, stop: make(chan struct{}), orders: make(map[string]orderEnd),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: promptWorkers + orderWorkers, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		}},
	}
	for i := range promptWorkers {
		s.wait.Go(func() { s.work(i, thinkTime, s.prompt) })
	}
	for i := range orderWorkers {
		s.wait.Go(func() { s.work(i, orderPause, s.order) })
	}
	return s
}

// end stops the callers after their last requests.
func (s *callers) end() {
	close(s.stop)
	s.wait.Wait()
}

func (s *callers) work(worker int, pause time.Duration, request func(worker, n int)) {
	for n := 0; ; n++ {
		select {
		case <-s.stop:
			return
		case <-time.After(pause):
			request(worker, n)
		}
	}
}

func (s *callers) note(first time.Time, x sending) sending {
	x.first, x.ended = first, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sendings = append(s.sendings, x)
	return x
}

// prompt asks until the answer is whole; a prompt may run again.
func (s *callers) prompt(worker, n int) {
	text := fmt.Sprintf("%s: survey %d of worker %d, line by line. ", s.cluster.example.name, n, worker)
	text += strings.Repeat("A measured length and a depth; ", 20)
	first := time.Now()
	for i := range resendLimit {
		x := s.note(first, s.sendPrompt((worker+i)%entryCount, text, n%2 == 0))
		if x.result == resultWhole || x.result == resultWrong {
			s.endPrompt(true)
			return
		}
		time.Sleep(resendPause)
	}
	s.endPrompt(false)
}

func (s *callers) endPrompt(answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prompts++
	if !answered {
		s.unanswered++
	}
}

func (s *callers) sendPrompt(entry int, text string, stream bool) sending {
	x := sending{kind: "prompt", entry: entry}
	body, _ := json.Marshal(backend.CompletionRequest{ // plain structs always encode
		Model: s.cluster.example.model, Prompt: backend.Prompt{Text: text}, MaxTokens: answerTokens, Stream: stream,
	})
	resp, err := s.post(entry, "/v1/completions", "", body)
	if err != nil {
		return x.failed(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return x.refused(resp.Body)
	}
	got, err := x.read(resp.Body, stream)
	if err != nil {
		return x.failed(err)
	}
	if x.result == resultRefused {
		return x
	}
	if got != strings.Join(engine.Words(text, answerTokens), "") {
		x.result, x.detail = resultWrong, got
	}
	return x
}

func (s *callers) post(entry int, path, key string, body []byte) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.cluster.entryURLs[entry]+path, bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, err
	}
	req.GetBody = nil // each sending is counted
	req.Header.Set("Authorization", "Bearer "+s.cluster.example.key)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		cancel()
		return nil, err
	}
	resp.Body = &cancelBody{resp.Body, cancel}
	return resp, nil
}

// cancelBody ends a request's context with its body.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

func (x sending) failed(err error) sending {
	x.result, x.detail = resultCut, err.Error()
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		x.result = resultNotSent
	}
	return x
}

// refused reads a refusal; one that is not typed counts as wrong.
func (x sending) refused(body io.Reader) sending {
	raw, err := io.ReadAll(body)
	if err != nil {
		return x.failed(err)
	}
	var b refusal.Body
	if json.Unmarshal(raw, &b) != nil || b.Error.Code == "" || b.Error.Execution == "" {
		x.result, x.detail = resultWrong, string(raw)
		return x
	}
	x.result, x.refusal = resultRefused, b.Error
	return x
}

// read returns the text of an answer.
func (x *sending) read(body io.Reader, stream bool) (string, error) {
	if !stream {
		var whole backend.Chunk
		if err := json.NewDecoder(body).Decode(&whole); err != nil {
			return "", err
		}
		return text(&whole), nil
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
			x.result, x.refusal = resultRefused, *event.Error
			return "", nil
		}
		out.WriteString(text(&event.Chunk))
	}
	if err := scanner.Err(); err != nil {
		return "", err
	}
	return "", io.ErrUnexpectedEOF
}

func text(chunk *backend.Chunk) string {
	var out string
	for _, c := range chunk.Choices {
		out += c.Text
	}
	return out
}

// order sends an order until it is answered, under one key.
func (s *callers) order(worker, n int) {
	key := fmt.Sprintf("order-%d-%d-%d", worker, n, time.Now().UnixNano())
	var end orderEnd
	first := time.Now()
	for i := range resendLimit {
		x := s.note(first, s.sendOrder((worker+i)%entryCount, key))
		end.answered = x.result == resultWhole
		end.mayHaveRun = end.mayHaveRun || x.result == resultCut || (x.result == resultRefused && x.refusal.Execution != refusal.NotExecuted)
		// An outcome that was given up stays unknown.
		if end.answered || x.result == resultWrong || x.refusal.Code == refusal.CodeOutcomeUnknown {
			break
		}
		time.Sleep(resendPause)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders[key] = end
}

func (s *callers) sendOrder(entry int, key string) sending {
	x := sending{kind: "order", key: key, entry: entry}
	resp, err := s.post(entry, "/v1/services/"+s.cluster.example.service+"/orders", key, []byte(`{"item":"liner"}`))
	if err != nil {
		return x.failed(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return x.refused(resp.Body)
	}
	var reply struct {
		Key string `json:"key"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return x.failed(err)
	}
	if reply.Key != key {
		x.result, x.detail = resultWrong, reply.Key
	}
	return x
}
