package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/api/refusal"
	"github.com/galenaarch/galenaarch/relay"
)

const (
	// clientStallTimeout is how long a client may read nothing from its stream.
	clientStallTimeout = time.Minute
	// deadlineRefresh is how stale a write deadline may become before it is
	// renewed. It limits the number of deadline calls per stream.
	deadlineRefresh = 5 * time.Second
)

var (
	eventPrefix = []byte("data: ")
	eventEnd    = []byte("\n\n")
	doneEvent   = []byte("data: [DONE]\n\n")
)

// responseWriter sends one response to its client, either as a stream or as a
// single document.
type responseWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	p          *prompt
	// id is the ID in every event of the response.
	id string
	// started is true once any part of the response has come from an engine.
	started bool
	// writeFailed is true once a write to the client has failed.
	writeFailed bool
	transcript  relay.Transcript
	// metadata is taken from the first event of the engine.
	metadata eventMetadata
	deadline time.Time
	// answer is the complete response as a JSON document, set by finish and kept
	// in the answer store. streamError is the error that ended a stream.
	answer      []byte
	streamError *refusal.Error
}

// eventMetadata holds the fields of the first event that are repeated in every
// event sent by this entry.
type eventMetadata struct {
	Created int64  `json:"created"`
	Model   string `json:"model"`
}

func newResponseWriter(w http.ResponseWriter, p *prompt) *responseWriter {
	return &responseWriter{w: w, controller: http.NewResponseController(w), p: p, id: p.request.requestID}
}

// write processes the next event of the response, from the given attempt.
func (rw *responseWriter) write(event *relay.Event, attempt int) error {
	if rw.transcript.Continued() && isOpeningEvent(event) {
		return nil
	}
	if !rw.started {
		rw.started = true
		if attempt == 1 && event.ID != "" {
			// The engine's own ID is kept, so that the events of most responses
			// are forwarded unchanged.
			rw.id = event.ID
		}
		_ = json.Unmarshal(event.Data, &rw.metadata) // already parsed as JSON by the relay
		rw.writeStreamHeader()
	}
	rw.transcript.AddEvent(event)
	if !rw.p.stream || (event.Choices == 0 && !rw.p.includeUsage) {
		return nil
	}
	data, err := rw.rewriteEvent(event)
	if err != nil {
		return err
	}
	return rw.send(data, !event.NextBuffered)
}

// isOpeningEvent reports whether an event starts a response without content.
func isOpeningEvent(event *relay.Event) bool {
	return event.Text == "" && event.FinishReason == "" && event.Usage == nil && !event.HasNonText
}

// rewriteEvent sets the response's ID and the usage summed over all attempts. An
// event that needs neither is returned unchanged.
func (rw *responseWriter) rewriteEvent(event *relay.Event) ([]byte, error) {
	var fields []relay.Field
	if event.ID != rw.id {
		fields = append(fields, relay.Field{Name: "id", Value: rw.id})
	}
	if event.Usage != nil && rw.transcript.Continued() {
		fields = append(fields, relay.Field{Name: "usage", Value: rw.transcript.Usage()})
	}
	if len(fields) == 0 {
		return event.Data, nil
	}
	return relay.ReplaceFields(event.Data, fields...)
}

// writeStreamHeader sets the response headers of a stream.
func (rw *responseWriter) writeStreamHeader() {
	if !rw.p.stream {
		return
	}
	h := rw.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
}

// send writes one event. The caller passes flush unless more events follow
// immediately.
func (rw *responseWriter) send(data []byte, flush bool) error {
	if now := time.Now(); rw.deadline.Sub(now) < clientStallTimeout-deadlineRefresh {
		rw.deadline = now.Add(clientStallTimeout)
		_ = rw.controller.SetWriteDeadline(rw.deadline) // unsupported by some writers
	}
	for _, part := range [][]byte{eventPrefix, data, eventEnd} {
		if _, err := rw.w.Write(part); err != nil {
			rw.writeFailed = true
			return err
		}
	}
	if !flush {
		return nil
	}
	return rw.flush()
}

func (rw *responseWriter) flush() error {
	if err := rw.controller.Flush(); err != nil {
		rw.writeFailed = true
		return err
	}
	return nil
}

// finishEvent sends the final event on behalf of an engine that failed after
// the last token, before it sent a finish reason.
func (rw *responseWriter) finishEvent() error {
	if !rw.p.stream {
		return nil
	}
	reason := rw.transcript.FinishReason()
	chunk := rw.newChunk()
	chunk.Choices = []backend.Choice{{FinishReason: &reason}}
	if rw.p.path == pathChat {
		chunk.Choices[0].Delta = &backend.Message{}
	}
	return rw.sendChunk(chunk)
}

// usageEvent sends this entry's own usage count if the engine failed before it
// sent one.
func (rw *responseWriter) usageEvent() error {
	if !rw.p.stream || !rw.p.includeUsage {
		return nil
	}
	chunk := rw.newChunk()
	chunk.Choices = []backend.Choice{}
	chunk.Usage = rw.transcript.Usage()
	return rw.sendChunk(chunk)
}

func (rw *responseWriter) sendChunk(chunk backend.Chunk) error {
	raw, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	return rw.send(raw, true)
}

// newChunk returns an event of this response without choices.
func (rw *responseWriter) newChunk() backend.Chunk {
	object := "text_completion"
	if rw.p.path == pathChat {
		object = "chat.completion.chunk"
	}
	return backend.Chunk{ID: rw.id, Object: object, Created: rw.metadata.Created, Model: rw.metadata.Model}
}

// finish ends a response that is complete.
func (rw *responseWriter) finish() {
	rw.answer = rw.answerDocument()
	if rw.p.stream {
		_, _ = rw.w.Write(doneEvent) // the client may have disconnected
		_ = rw.flush()
		return
	}
	writeRawJSON(rw.w, rw.answer)
}

// answerDocument returns the whole response as one JSON document, also for a
// streamed response.
func (rw *responseWriter) answerDocument() []byte {
	answer := rw.newChunk()
	answer.Usage = rw.transcript.Usage()
	reason := rw.transcript.FinishReason()
	choice := backend.Choice{FinishReason: &reason}
	if rw.p.path == pathChat {
		answer.Object = "chat.completion"
		choice.Message = &backend.Message{Role: "assistant", Content: rw.transcript.Text()}
	} else {
		choice.Text = rw.transcript.Text()
	}
	answer.Choices = []backend.Choice{choice}
	raw, err := json.Marshal(answer)
	if err != nil {
		return nil // encoding plain structs does not fail
	}
	return append(raw, '\n')
}

// sendError ends an incomplete stream with a typed error, so that it is never
// truncated silently.
func (rw *responseWriter) sendError(refused *refusal.Error) {
	raw, err := json.Marshal(refused.Body(rw.p.request.requestID))
	if err != nil {
		return
	}
	_ = rw.send(raw, true) // the client may have disconnected
}
