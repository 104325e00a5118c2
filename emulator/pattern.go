// Package emulator simulates load patterns on a model of the served systems, in
// virtual time, with the routing decisions of the entry instances. A run takes
// milliseconds and is deterministic, so that two routing policies can be compared
// on the same load.
//
// The model is coarser than the real systems:
//
//   - An engine prefills prompts in chunks, by priority, between generated tokens.
//     Running requests take its memory and cached prefixes use the rest; what does
//     not fit is preempted and prefilled again.
//   - Prefixes are imported from one store at the speed of the engine's link.
//   - Entry instances know at once what engines have cached and what the other
//     instances have sent.
//
// It shows which of two policies does better and how waiting times develop, but not
// the figures of a deployment: docs/MEASUREMENTS.md shows both side by side.
package emulator

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// Pattern is a load together with the faults that occur under it.
type Pattern struct {
	Name string `json:"name"`
	// Description describes the load in words.
	Description string `json:"load"`
	Seed        uint64 `json:"seed"`
	// Seconds is how long new requests arrive.
	Seconds float64 `json:"seconds"`
	// Entries is the number of entry instances that requests are spread over.
	Entries      int           `json:"entries"`
	Engines      Engines       `json:"engines"`
	PlainServers PlainServers  `json:"plain"`
	Kinds        []RequestKind `json:"kinds"`
	Faults       []Fault       `json:"troubles"`
}

// Engines describes the modelled inference engines.
type Engines struct {
	Count        int `json:"count"`
	Slots        int `json:"slots"`
	MemoryTokens int `json:"memory_tokens"`
	// TokensPerMS is the prefill speed. A step takes a fixed time and an additional
	// time for each running request. The chunk limits the tokens prefilled in a
	// step.
	TokensPerMS  float64 `json:"tokens_per_ms"`
	StepMS       float64 `json:"step_ms"`
	StepMSPerRun float64 `json:"step_ms_per_run"`
	ChunkTokens  int     `json:"chunk"`
	// ImportTokensPerMS is how many tokens an engine imports from the prefix store in a
	// millisecond, 0 without a store; the capacity of the store is in tokens.
	ImportTokensPerMS float64 `json:"bring_per_ms"`
	StoreTokens       int     `json:"store_tokens"`
}

// PlainServers describes the servers of a service without prompts.
type PlainServers struct {
	Count int `json:"count"`
	Slots int `json:"slots"`
	// Queue is how many requests may wait at a server before it refuses more.
	Queue int `json:"queue"`
}

// RequestKind is a kind of request. It is a prompt if it has tokens of its own.
type RequestKind struct {
	Name        string  `json:"name"`
	PerSecond   float64 `json:"per_second"`
	ObjectiveMS float64 `json:"objective_ms"`
	DeadlineMS  float64 `json:"deadline_ms"`
	// ClientTimeoutMS is how long a client waits for the start of an answer; if 0, until
	// the deadline.
	ClientTimeoutMS float64 `json:"bears_ms"`
	// OnTimeCredit is the credit for an answer within the objective; a later answer earns
	// a separate credit.
	OnTimeCredit float64 `json:"worth"`
	LateCredit   float64 `json:"late_worth"`
	// PrefixTokens is the length of the prefix that a request shares with others.
	// Each request picks one of several prefixes at random.
	PrefixTokens  int     `json:"shared_tokens"`
	PrefixCount   int     `json:"things"`
	SuffixTokens  int     `json:"own_tokens"`
	OutputTokens  int     `json:"out_tokens"`
	ServiceTimeMS float64 `json:"work_ms"`
	// Repeatable requests may be sent to a second server.
	Repeatable bool `json:"repeatable"`
	// Rank is the priority, 0 first.
	Rank int `json:"rank"`
	// MaxReturns is how often a refused client tries again.
	MaxReturns int `json:"returns"`
}

// Fault is a fault or a change of load for a time. The kinds are:
//
//   - burst: arrival rates are multiplied by a factor.
//   - dark: a share of the servers does not respond.
//   - slow: a share of the servers takes longer by a factor.
//   - fail: a share of the servers fails requests with a probability.
//   - leaving: from the start on, a share of the servers reports that it is
//     draining.
//   - busy: a share of the servers rejects all requests and asks clients to come
//     back when the fault ends.
//   - lost: entry instances lose their state and rediscover the servers one by one
//     over the duration.
type Fault struct {
	Kind            string  `json:"kind"`
	StartSeconds    float64 `json:"at_seconds"`
	DurationSeconds float64 `json:"for_seconds"`
	ServerShare     float64 `json:"share"`
	// Magnitude is the factor or the probability of the kinds that have one.
	Magnitude float64 `json:"x"`
}

// DecodePattern reads a pattern. It returns an error if a field is unknown or the pattern
// can't be simulated.
func DecodePattern(content []byte) (*Pattern, error) {
	p := &Pattern{}
	d := json.NewDecoder(bytes.NewReader(content))
	d.DisallowUnknownFields()
	if err := d.Decode(p); err != nil {
		return nil, eris.Wrap(err, "decode pattern")
	}
	return p, p.validate()
}

func (p *Pattern) validate() error {
	switch {
	case p.Seconds <= 0 || p.Entries <= 0 || len(p.Kinds) == 0:
		return eris.Errorf("pattern %s: seconds, entries and kinds are required", p.Name)
	case p.Engines.Count+p.PlainServers.Count == 0:
		return eris.Errorf("pattern %s: no servers", p.Name)
	}
	for i := range p.Kinds {
		k := &p.Kinds[i]
		if k.PerSecond <= 0 || k.DeadlineMS <= 0 {
			return eris.Errorf("pattern %s: kind %s: per_second and deadline_ms must be above 0", p.Name, k.Name)
		}
		if k.isPrompt() && (p.Engines.Count == 0 || p.Engines.TokensPerMS <= 0) {
			return eris.Errorf("pattern %s: kind %s: no engines to serve its prompts", p.Name, k.Name)
		}
		if !k.isPrompt() && p.PlainServers.Count == 0 {
			return eris.Errorf("pattern %s: kind %s: no plain servers", p.Name, k.Name)
		}
	}
	for _, t := range p.Faults {
		switch t.Kind {
		case "burst", "dark", "slow", "fail", "leaving", "busy", "lost":
		default:
			return eris.Errorf("pattern %s: unknown kind %q in troubles, want burst, dark, slow, fail, leaving, busy or lost", p.Name, t.Kind)
		}
	}
	return nil
}

// startTimeout is how long a client waits for the start of an answer.
func (k *RequestKind) startTimeout() time.Duration {
	if k.ClientTimeoutMS > 0 {
		return milliseconds(min(k.ClientTimeoutMS, k.DeadlineMS))
	}
	return milliseconds(k.DeadlineMS)
}

func (k *RequestKind) isPrompt() bool { return k.SuffixTokens > 0 }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// active reports whether the fault is in effect at a time.
func (t *Fault) active(at time.Duration) bool {
	return at >= seconds(t.StartSeconds) && at < seconds(t.StartSeconds+t.DurationSeconds)
}
