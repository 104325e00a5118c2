package relay

import (
	"encoding/json"

	"github.com/galenaarch/galenaarch/api/backend"
)

// Event is one server-sent event of an attempt. It is valid until the next call
// of Stream.Next.
type Event struct {
	// Data is the event's JSON as sent by the engine.
	Data []byte
	// ID is the event ID assigned by the engine.
	ID string
	// Text is the generated text in the event.
	Text string
	// FinishReason is empty unless a choice in the event has ended.
	FinishReason string
	// Choices is the number of choices in the event.
	Choices int
	// HasNonText is true if the event contains generated output other than text,
	// for example tool calls.
	HasNonText bool
	// Usage is nil unless the event carries it.
	Usage *backend.Usage
	// NextBuffered is true if the next event is buffered, so that reading it does
	// not block.
	NextBuffered bool
}

// wireEvent holds the fields that the relay reads. All other fields of an event
// are forwarded unchanged.
type wireEvent struct {
	ID      string          `json:"id"`
	Choices []wireChoice    `json:"choices"`
	Usage   *backend.Usage  `json:"usage"`
	Error   json.RawMessage `json:"error"`
}

type wireChoice struct {
	Text         string          `json:"text"`
	Delta        wireDelta       `json:"delta"`
	FinishReason string          `json:"finish_reason"`
	Logprobs     json.RawMessage `json:"logprobs"`
}

type wireDelta struct {
	Content          string          `json:"content"`
	ToolCalls        json.RawMessage `json:"tool_calls"`
	FunctionCall     json.RawMessage `json:"function_call"`
	Refusal          json.RawMessage `json:"refusal"`
	Reasoning        json.RawMessage `json:"reasoning"`
	ReasoningContent json.RawMessage `json:"reasoning_content"`
}

// parse decodes an event's JSON into e.
func (e *Event) parse(data []byte) error {
	var w wireEvent
	if err := json.Unmarshal(data, &w); err != nil {
		return err
	}
	if isSet(w.Error) {
		return ErrEngine
	}
	*e = Event{Data: data, ID: w.ID, Choices: len(w.Choices), Usage: w.Usage}
	for i := range w.Choices {
		c := &w.Choices[i]
		e.Text += c.Text + c.Delta.Content
		e.HasNonText = e.HasNonText || c.hasNonText()
		if c.FinishReason != "" {
			e.FinishReason = c.FinishReason
		}
	}
	return nil
}

func (c *wireChoice) hasNonText() bool {
	d := &c.Delta
	return isSet(c.Logprobs) || isSet(d.ToolCalls) || isSet(d.FunctionCall) ||
		isSet(d.Refusal) || isSet(d.Reasoning) || isSet(d.ReasoningContent)
}

// isSet reports whether a raw field is present and not null.
func isSet(raw json.RawMessage) bool {
	return len(raw) > 0 && string(raw) != "null"
}

// ReplaceFields returns an event's JSON with top-level fields replaced; the other
// fields are unchanged.
func ReplaceFields(data []byte, fields ...Field) ([]byte, error) {
	var object map[string]json.RawMessage
	if err := json.Unmarshal(data, &object); err != nil {
		return nil, err
	}
	for _, f := range fields {
		raw, err := json.Marshal(f.Value)
		if err != nil {
			return nil, err
		}
		object[f.Name] = raw
	}
	return json.Marshal(object)
}

// Field is a top-level field of an event.
type Field struct {
	Name  string
	Value any
}
