package backend

import (
	"encoding/json"
	"errors"
)

// ErrInvalidPrompt is returned for a prompt that is neither a string nor an array
// of token IDs.
var ErrInvalidPrompt = errors.New("expected a string or an array of token IDs")

// UnmarshalJSON implements json.Unmarshaler.
func (p *Prompt) UnmarshalJSON(raw []byte) error {
	*p = Prompt{}
	if json.Unmarshal(raw, &p.Text) == nil {
		return nil
	}
	if json.Unmarshal(raw, &p.Tokens) == nil {
		return nil
	}
	return ErrInvalidPrompt
}

// MarshalJSON implements json.Marshaler.
func (p Prompt) MarshalJSON() ([]byte, error) {
	if p.Tokens != nil {
		return json.Marshal(p.Tokens)
	}
	return json.Marshal(p.Text)
}
