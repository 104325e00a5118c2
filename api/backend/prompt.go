package backend

import (
	"encoding/json"
	"errors"
)

// ErrPromptShape is returned for a prompt that is neither a string nor an array
// of token IDs.
var ErrPromptShape = errors.New("expected a string or an array of token IDs")

// UnmarshalJSON implements json.Unmarshaler.
func (p *Prompt) UnmarshalJSON(raw []byte) error {
	*p = Prompt{}
	if json.Unmarshal(raw, &p.Text) == nil {
		return nil
	}
	if json.Unmarshal(raw, &p.Tokens) == nil {
		return nil
	}
	return ErrPromptShape
}

// MarshalJSON implements json.Marshaler.
func (p Prompt) MarshalJSON() ([]byte, error) {
	if p.Tokens != nil {
		return json.Marshal(p.Tokens)
	}
	return json.Marshal(p.Text)
}
