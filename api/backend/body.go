package backend

import (
	"encoding/json"
	"fmt"
)

// Body is the JSON object of a client request. Unknown fields are preserved
// unchanged.
type Body struct {
	fields map[string]json.RawMessage
}

// ParseBody parses a JSON object. Any other JSON value, including null, is an
// error.
func ParseBody(raw []byte) (*Body, error) {
	b := &Body{}
	if err := json.Unmarshal(raw, &b.fields); err != nil {
		return nil, fmt.Errorf("expected a JSON object: %w", err)
	}
	if b.fields == nil {
		return nil, fmt.Errorf("expected a JSON object")
	}
	return b, nil
}

// Get decodes a field into target. It returns false if the field is absent.
func (b *Body) Get(name string, target any) (bool, error) {
	raw, ok := b.fields[name]
	if !ok {
		return false, nil
	}
	if err := json.Unmarshal(raw, target); err != nil {
		return true, fmt.Errorf("field %q: %w", name, err)
	}
	return true, nil
}

// Set stores the JSON encoding of value in a field.
func (b *Body) Set(name string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("field %q: %w", name, err)
	}
	b.fields[name] = raw
	return nil
}

// Delete removes a field.
func (b *Body) Delete(name string) { delete(b.fields, name) }

// Clone returns a copy whose fields can be set and deleted independently.
func (b *Body) Clone() *Body {
	c := &Body{fields: make(map[string]json.RawMessage, len(b.fields))}
	for k, v := range b.fields {
		c.fields[k] = v
	}
	return c
}

// Encode returns the JSON encoding of the object.
func (b *Body) Encode() ([]byte, error) { return json.Marshal(b.fields) }
