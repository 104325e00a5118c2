package relay

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"
)

const (
	// probe replaces an event's text while a template is created.
	probe = "galena-probe"
	// maxMisses is the number of consecutive events that may not match before the
	// stream stops creating templates.
	maxMisses = 8
)

// eventTemplate is an event without its text. The events of a stream usually
// differ only in their text. An event whose bytes before and after the text
// equal those of an earlier event has the same other fields, whatever their
// order, so it need not be decoded.
type eventTemplate struct {
	before []byte
	after  []byte
	event  Event
	misses int
}

// match reads an event that differs from the template only in its text. It
// returns false for any other event.
func (t *eventTemplate) match(data []byte, e *Event) bool {
	if len(t.before) == 0 || len(data) < len(t.before)+len(t.after) {
		return false
	}
	if !bytes.HasPrefix(data, t.before) || !bytes.HasSuffix(data, t.after) {
		return false
	}
	text, ok := decodeStringBody(data[len(t.before) : len(data)-len(t.after)])
	if !ok {
		return false
	}
	t.misses = 0
	*e = t.event
	e.Data, e.Text = data, text
	return true
}

// decodeStringBody decodes the bytes between the quotes of a JSON string. It
// returns false unless raw is the complete content of one string.
func decodeStringBody(raw []byte) (string, bool) {
	plain := true
	for _, b := range raw {
		if b < ' ' || b == '"' || b == '\\' {
			plain = false
			break
		}
	}
	if plain {
		return string(raw), utf8.Valid(raw)
	}
	quoted := make([]byte, 0, len(raw)+2)
	quoted = append(append(append(quoted, '"'), raw...), '"')
	var text string
	if json.Unmarshal(quoted, &text) != nil {
		return "", false
	}
	return text, true
}

// learn makes a decoded event the template for the next ones, if its text can be
// located: replacing the bytes there must change the event's text and nothing
// else.
func (t *eventTemplate) learn(e *Event) {
	if t.misses >= maxMisses {
		return
	}
	t.misses++
	if e.Text == "" || e.Usage != nil || e.HasNonText {
		return
	}
	quoted, err := json.Marshal(e.Text)
	if err != nil {
		return
	}
	for from := 0; ; {
		i := bytes.Index(e.Data[from:], quoted)
		if i < 0 {
			return
		}
		start := from + i + 1
		end := start + len(quoted) - 2
		if t.verify(e, start, end) {
			return
		}
		from = start
	}
}

// verify checks a location of the text by decoding the event with the probe in
// its place, and stores the template if that succeeds.
func (t *eventTemplate) verify(e *Event, start, end int) bool {
	data := make([]byte, 0, len(e.Data)+len(probe))
	data = append(append(append(data, e.Data[:start]...), probe...), e.Data[end:]...)
	var probed Event
	if probed.parse(data) != nil || probed.Text != probe {
		return false
	}
	if probed.ID != e.ID || probed.FinishReason != e.FinishReason || probed.Choices != e.Choices || probed.Usage != nil || probed.HasNonText {
		return false
	}
	t.before = append(t.before[:0], e.Data[:start]...)
	t.after = append(t.after[:0], e.Data[end:]...)
	t.event = Event{ID: e.ID, FinishReason: e.FinishReason, Choices: e.Choices}
	return true
}
