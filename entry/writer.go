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
	// callerStallTimeout is how long a caller may read nothing from its stream.
	callerStallTimeout = time.Minute
	// deadlineRefresh is how stale a write deadline may become before it is
	// renewed. It limits the number of deadline calls per stream.
	deadlineRefresh = 5 * time.Second
)

var (
	eventPrefix = []byte("data: ")
	eventEnd    = []byte("\n\n")
	doneEvent   = []byte("data: [DONE]\n\n")
)

// answerWriter sends one answer to its caller, either streamed or as a single
// document.
type answerWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	p          *prompt
	// id is the ID in every event of the answer.
	id string
	// started is true once any part of the answer has come from an engine.
	started bool
	// writeFailed is true once a write to the caller has failed.
	writeFailed bool
	transcript  relay.Transcript
	// metadata is taken from the first event of the engine.
	metadata answerMetadata
	deadline time.Time
	// answer is the complete answer once finished. streamError is the error
	// that ended a stream.
	answer      []byte
	streamError *refusal.Error
}

// answerMetadata holds the fields of the first event that are repeated in every
// event sent by this entry.
type answerMetadata struct {
	Created int64  `json:"created"`
	Model   string `json:"model"`
}

func newAnswerWriter(w http.ResponseWriter, p *prompt) *answerWriter {
	return &answerWriter{w: w, controller: http.NewResponseController(w), p: p, id: p.caller.requestID}
}

// write processes the next event of the answer, from the given attempt.
func (aw *answerWriter) write(event *relay.Event, attempt int) error {
	if aw.transcript.Continued() && isOpeningEvent(event) {
		return nil
	}
	if !aw.started {
		aw.started = true
		if attempt == 1 && event.ID != "" {
			// The engine's own ID is kept, so that the events of most answers
			// are forwarded unchanged.
			aw.id = event.ID
		}
		_ = json.Unmarshal(event.Data, &aw.metadata) // already parsed as JSON by the relay
		aw.writeStreamHeader()
	}
	aw.transcript.AddEvent(event)
	if !aw.p.stream || (event.Choices == 0 && !aw.p.includeUsage) {
		return nil
	}
	data, err := aw.rewriteEvent(event)
	if err != nil {
		return err
	}
	return aw.send(data, !event.NextBuffered)
}

// isOpeningEvent reports whether an event starts an answer without content.
func isOpeningEvent(event *relay.Event) bool {
	return event.Text == "" && event.FinishReason == "" && event.Usage == nil && !event.HasNonText
}

// rewriteEvent sets the answer's ID and the usage summed over all attempts. An
// event that needs neither is returned unchanged.
func (aw *answerWriter) rewriteEvent(event *relay.Event) ([]byte, error) {
	var fields []relay.Field
	if event.ID != aw.id {
		fields = append(fields, relay.Field{Name: "id", Value: aw.id})
	}
	if event.Usage != nil && aw.transcript.Continued() {
		fields = append(fields, relay.Field{Name: "usage", Value: aw.transcript.Usage()})
	}
	if len(fields) == 0 {
		return event.Data, nil
	}
	return relay.ReplaceFields(event.Data, fields...)
}

// writeStreamHeader sets the response headers of a stream.
func (aw *answerWriter) writeStreamHeader() {
	if !aw.p.stream {
		return
	}
	h := aw.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
}

// send writes one event. The caller passes flush unless more events follow
// immediately.
func (aw *answerWriter) send(data []byte, flush bool) error {
	if now := time.Now(); aw.deadline.Sub(now) < callerStallTimeout-deadlineRefresh {
		aw.deadline = now.Add(callerStallTimeout)
		_ = aw.controller.SetWriteDeadline(aw.deadline) // unsupported by some writers
	}
	for _, part := range [][]byte{eventPrefix, data, eventEnd} {
		if _, err := aw.w.Write(part); err != nil {
			aw.writeFailed = true
			return err
		}
	}
	if !flush {
		return nil
	}
	return aw.flush()
}

func (aw *answerWriter) flush() error {
	if err := aw.controller.Flush(); err != nil {
		aw.writeFailed = true
		return err
	}
	return nil
}

// finishEvent sends the final event on behalf of an engine that failed after
// the last token, before it sent a finish reason.
func (aw *answerWriter) finishEvent() error {
	if !aw.p.stream {
		return nil
	}
	reason := aw.transcript.FinishReason()
	chunk := aw.newChunk()
	chunk.Choices = []backend.Choice{{FinishReason: &reason}}
	if aw.p.path == pathChat {
		chunk.Choices[0].Delta = &backend.Message{}
	}
	return aw.sendChunk(chunk)
}

// usageEvent sends this entry's own usage count if the engine failed before it
// sent one.
func (aw *answerWriter) usageEvent() error {
	if !aw.p.stream || !aw.p.includeUsage {
		return nil
	}
	chunk := aw.newChunk()
	chunk.Choices = []backend.Choice{}
	chunk.Usage = aw.transcript.Usage()
	return aw.sendChunk(chunk)
}

func (aw *answerWriter) sendChunk(chunk backend.Chunk) error {
	raw, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	return aw.send(raw, true)
}

// newChunk returns an event of this answer without choices.
func (aw *answerWriter) newChunk() backend.Chunk {
	object := "text_completion"
	if aw.p.path == pathChat {
		object = "chat.completion.chunk"
	}
	return backend.Chunk{ID: aw.id, Object: object, Created: aw.metadata.Created, Model: aw.metadata.Model}
}

// finish ends an answer that is complete.
func (aw *answerWriter) finish() {
	aw.answer = aw.completeAnswer()
	if aw.p.stream {
		_, _ = aw.w.Write(doneEvent) // the caller may have disconnected
		_ = aw.flush()
		return
	}
	writeRawJSON(aw.w, aw.answer)
}

// completeAnswer returns the answer as one JSON document.
func (aw *answerWriter) completeAnswer() []byte {
	answer := aw.newChunk()
	answer.Usage = aw.transcript.Usage()
	reason := aw.transcript.FinishReason()
	choice := backend.Choice{FinishReason: &reason}
	if aw.p.path == pathChat {
		answer.Object = "chat.completion"
		choice.Message = &backend.Message{Role: "assistant", Content: aw.transcript.Text()}
	} else {
		choice.Text = aw.transcript.Text()
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
func (aw *answerWriter) sendError(refused *refusal.Error) {
	raw, err := json.Marshal(refused.Body(aw.p.caller.requestID))
	if err != nil {
		return
	}
	_ = aw.send(raw, true) // the caller may have disconnected
}
