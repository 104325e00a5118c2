package relay

import (
	"strings"

	"github.com/galenaarch/galenaarch/api/backend"
)

// Transcript is the output that a request's client has received so far, over all
// attempts.
type Transcript struct {
	text strings.Builder
	// tokens counts the generated tokens of all attempts, priorTokens those of
	// earlier attempts.
	tokens      int
	priorTokens int
	// promptTokens is the engine's count for the first attempt, if reported.
	promptTokens int
	usageDetails *backend.PromptTokensDetails
	hasNonText   bool
	finishReason string
	usage        *backend.Usage
}

// BeginAttempt starts a further attempt, which continues the output so far.
func (t *Transcript) BeginAttempt() { t.priorTokens = t.tokens }

// AddEvent records an event.
func (t *Transcript) AddEvent(e *Event) {
	t.text.WriteString(e.Text)
	t.hasNonText = t.hasNonText || e.HasNonText
	if e.FinishReason != "" {
		t.finishReason = e.FinishReason
	}
	if e.Text != "" {
		t.tokens++
	}
	if e.Usage != nil {
		t.addUsage(e.Usage)
	}
}

// addUsage applies the token count of an engine. It replaces the count of
// events, because an engine may put several tokens into one event.
func (t *Transcript) addUsage(u *backend.Usage) {
	t.tokens = t.priorTokens + u.CompletionTokens
	if t.priorTokens == 0 {
		t.promptTokens = u.PromptTokens
		t.usageDetails = u.PromptTokensDetails
	}
	prompt := t.promptTokens
	if prompt == 0 {
		// The prompt of a later attempt included the tokens of earlier attempts.
		prompt = max(0, u.PromptTokens-t.priorTokens)
	}
	details := t.usageDetails
	if details == nil {
		details = u.PromptTokensDetails
	}
	t.usage = &backend.Usage{
		PromptTokens:        prompt,
		CompletionTokens:    t.tokens,
		TotalTokens:         prompt + t.tokens,
		PromptTokensDetails: details,
	}
}

// Text is the generated text.
func (t *Transcript) Text() string { return t.text.String() }

// Tokens is the number of generated tokens.
func (t *Transcript) Tokens() int { return t.tokens }

// FinishReason is empty until the response is complete.
func (t *Transcript) FinishReason() string { return t.finishReason }

// Usage is the token count over all attempts; nil if no engine reported it.
func (t *Transcript) Usage() *backend.Usage { return t.usage }

// Continued is true if a further attempt started after tokens had been
// generated.
func (t *Transcript) Continued() bool { return t.priorTokens > 0 }

// TextOnly is true if only text was generated, so that another attempt can
// continue from the text alone.
func (t *Transcript) TextOnly() bool { return !t.hasNonText }

// SetFinishReason sets a finish reason that is determined by the relay.
func (t *Transcript) SetFinishReason(reason string) { t.finishReason = reason }

// EstimateUsage sets the usage from the prompt tokens given and the count of
// events, for a response whose engines reported no usage.
func (t *Transcript) EstimateUsage(promptTokens int) {
	t.usage = &backend.Usage{
		PromptTokens:     promptTokens,
		CompletionTokens: t.tokens,
		TotalTokens:      promptTokens + t.tokens,
	}
}
