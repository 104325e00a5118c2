package load

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

// Outcomes of a request, in addition to the refusal codes.
const (
	OutcomeComplete       = "whole"
	OutcomeWrongResponse  = "wrong_answer"
	OutcomeConnectionLost = "broken"
	OutcomeUnreachable    = "unreachable"
	// OutcomeUnfinished means that the response was not complete by the drain
	// timeout.
	OutcomeUnfinished = "unfinished"
)

// drainTimeout is how long to wait for responses after the end of the trace.
const drainTimeout = 10 * time.Second

// sample is the result of one request as observed by its client.
type sample struct {
	request    *Request
	outcome    string
	execution  refusal.ExecutionStatus
	firstToken time.Duration
	usage      backend.Usage
}

// Runner replays a trace against entries.
type Runner struct {
	// Entries are the base URLs of the entries.
	Entries []string
	Client  *http.Client
}

// Run sends each request at its time, whether or not earlier ones have ended, and
// returns a sample for each. The samples of requests that were not sent are empty.
func (r *Runner) Run(ctx context.Context, t *Trace) []sample {
	samples := make([]sample, len(t.Requests))
	var wg sync.WaitGroup
	start := time.Now()
	ctx, cancel := context.WithDeadline(ctx, start.Add(t.Duration+drainTimeout))
	defer cancel()
	for i := range t.Requests {
		request := &t.Requests[i]
		body := encodeRequest(request)
		if !sleepUntil(ctx, start.Add(request.SendAt)) {
			break
		}
		wg.Go(func() { samples[i] = r.send(ctx, i, request, body) })
	}
	wg.Wait()
	return samples
}

// sleepUntil waits until a time and returns true, or false if the context ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(at)):
		return true
	}
}

func encodeRequest(request *Request) []byte {
	body, err := json.Marshal(backend.CompletionRequest{
		Model: Model, Prompt: backend.Prompt{Text: request.Prompt()}, MaxTokens: request.OutputTokens,
		Stream: true, StreamOptions: &backend.StreamOptions{IncludeUsage: true},
	})
	if err != nil {
		panic(err) // the type always encodes
	}
	return body
}

// send tries the entries in turn while no connection is established, as clients do with
// the entries from the directory.
func (r *Runner) send(ctx context.Context, i int, request *Request, body []byte) sample {
	started := time.Now()
	for attempt := range r.Entries {
		url := r.Entries[(i+attempt)%len(r.Entries)]
		s, err := r.sendTo(ctx, url, request, body, started)
		if dialFailed(err) {
			continue
		}
		if err != nil {
			s.outcome = OutcomeConnectionLost
		}
		if ctx.Err() != nil && s.outcome != OutcomeComplete {
			s.outcome = OutcomeUnfinished
		}
		return s
	}
	return sample{request: request, outcome: OutcomeUnreachable, execution: refusal.NotExecuted}
}

// dialFailed reports whether no connection was established, so nothing was sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// sendTo sends a request to one entry and reads the response. The time to first token
// counts from started.
func (r *Runner) sendTo(ctx context.Context, url string, request *Request, body []byte, started time.Time) (sample, error) {
	s := sample{request: request}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return s, err
	}
	req.GetBody = nil // a lost response must be reported, not retried by the transport
	req.Header.Set("Authorization", "Bearer "+AccountKey(request.AccountIndex))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Galena-Priority", string(request.Priority))
	resp, err := r.Client.Do(req)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, s.readRefusal(resp)
	}
	return s, s.readStream(resp.Body, started)
}

// readRefusal sets the outcome and execution state from a refusal body.
func (s *sample) readRefusal(resp *http.Response) error {
	var body refusal.Body
	if err := json.NewDecoder(io.LimitReader(resp.Body, 1<<16)).Decode(&body); err != nil {
		return fmt.Errorf("status %d without a valid refusal body: %w", resp.StatusCode, err)
	}
	s.outcome, s.execution = string(body.Error.Code), body.Error.Execution
	return nil
}

// streamEvent is a chunk, or the typed error that ends a stream.
type streamEvent struct {
	backend.Chunk
	Error *refusal.BodyError `json:"error"`
}

// readStream reads an event stream and sets the outcome, time to first token and usage.
// A stream that ends without [DONE] or an error event returns io.ErrUnexpectedEOF.
func (s *sample) readStream(body io.Reader, started time.Time) error {
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			s.checkResponse(text.String())
			return nil
		}
		var event streamEvent
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return err
		}
		if event.Error != nil {
			s.outcome, s.execution = string(event.Error.Code), event.Error.Execution
			return nil
		}
		if s.firstToken == 0 {
			s.firstToken = time.Since(started)
		}
		for _, c := range event.Choices {
			text.WriteString(c.Text)
		}
		if event.Usage != nil {
			s.usage = *event.Usage
		}
	}
	return io.ErrUnexpectedEOF
}

// checkResponse sets the outcome to complete if the text is the expected one, otherwise
// to a wrong response.
func (s *sample) checkResponse(text string) {
	s.outcome = OutcomeWrongResponse
	if text == strings.Join(engine.GenerateTokens(s.request.Prompt(), s.request.OutputTokens), "") {
		s.outcome = OutcomeComplete
	}
}
