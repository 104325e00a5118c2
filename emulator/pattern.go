// Package emulator simulates load patterns on a model of the backend servers, in
// virtual time, with the routing decisions of the entry instances. A run takes
// milliseconds and is deterministic, so that routing policies can be compared on the
// same load.
//
// The model simplifies the real systems:
//
//   - An engine prefills prompts in chunks, by priority, between generated tokens.
//     Running requests take memory first, and cached prefixes use the rest. Requests
//     that exceed the memory are preempted and prefilled again.
//   - Prefixes are imported from one store at the bandwidth of the engine's link.
//   - Entry instances know without delay what engines have cached and, unless the
//     pattern divides them into failure domains, what the other instances have sent.
//
// The results show which of two policies does better and how queueing times develop.
// They do not predict the absolute figures of a deployment; docs/MEASUREMENTS.md
// compares both.
package emulator

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// Pattern describes a load and the faults that occur during it.
type Pattern struct {
	Name string `json:"name"`
	// Description describes the load in words.
	Description string `json:"load"`
	Seed        uint64 `json:"seed"`
	// Seconds is the duration over which new requests arrive.
	Seconds float64 `json:"seconds"`
	// Entries is the number of entry instances that requests are spread over.
	Entries int   `json:"entries"`
	Fleet   Fleet `json:"fleet"`
	// UpdateMS is the time between the updates by which an entry instance tells the others what
	// it has sent to plain servers; 0 if they know it without delay.
	UpdateMS     float64       `json:"update_ms"`
	Engines      Engines       `json:"engines"`
	PlainServers PlainServers  `json:"plain"`
	Kinds        []RequestKind `json:"kinds"`
	Faults       []Fault       `json:"troubles"`
}

// Engines describes the modelled inference engines.
type Engines struct {
	Count int `json:"count"`
	// Slots is the number of concurrent requests of an engine.
	Slots int `json:"slots"`
	// MemoryTokens is the number of tokens in the memory of an engine.
	MemoryTokens int `json:"memory_tokens"`
	// TokensPerMS is the prefill rate.
	TokensPerMS float64 `json:"tokens_per_ms"`
	// StepMS is the fixed part of the duration of a step. A step also takes
	// StepMSPerRequest for each running request, and the time of its prefill.
	StepMS           float64 `json:"step_ms"`
	StepMSPerRequest float64 `json:"step_ms_per_run"`
	// ChunkTokens is the maximum number of tokens prefilled in a step; 0 for a default
	// of 2048.
	ChunkTokens int `json:"chunk"`
	// ImportTokensPerMS is the rate at which an engine imports tokens from the prefix
	// store; 0 without a store.
	ImportTokensPerMS float64 `json:"bring_per_ms"`
	// StoreTokens is the capacity of the store in tokens.
	StoreTokens int `json:"store_tokens"`
	// NoiseShare is the share of the time in which an engine takes NoiseFactor times as
	// long, by its machine's other work; it changes every NoiseMS.
	NoiseShare  float64 `json:"noise_share"`
	NoiseFactor float64 `json:"noise_x"`
	NoiseMS     float64 `json:"noise_every_ms"`
}

// PlainServers describes the servers of a service without prompts.
type PlainServers struct {
	Count int `json:"count"`
	// Slots is the number of concurrent requests of a server.
	Slots int `json:"slots"`
	// Queue is the number of requests that may wait at a server before it rejects
	// more.
	Queue int `json:"queue"`
}

// RequestKind describes requests that arrive as a Poisson process. They are prompts
// if SuffixTokens is above 0, and plain requests otherwise.
type RequestKind struct {
	Name        string  `json:"name"`
	PerSecond   float64 `json:"per_second"`
	ObjectiveMS float64 `json:"objective_ms"`
	DeadlineMS  float64 `json:"deadline_ms"`
	// ClientTimeoutMS is how long a client waits for the start of the response; 0 means
	// until the deadline.
	ClientTimeoutMS float64 `json:"bears_ms"`
	// PrefixTokens is the length of the prefix that a request shares with others.
	// Each request picks one of PrefixCount prefixes at random.
	PrefixTokens int `json:"shared_tokens"`
	PrefixCount  int `json:"things"`
	// HotShare is the share of requests that use the first of the prefixes instead.
	HotShare      float64 `json:"hot_share"`
	SuffixTokens  int     `json:"own_tokens"`
	OutputTokens  int     `json:"out_tokens"`
	ServiceTimeMS float64 `json:"work_ms"`
	// Retryable is true if a request may be retried at a second server.
	Retryable bool `json:"repeatable"`
	// Rank is the priority, 0 first.
	Rank int `json:"rank"`
	// MaxClientRetries is the maximum number of times that a refused client sends its request
	// again.
	MaxClientRetries int `json:"returns"`
}

// Fault is a fault or a change of load that lasts for some time. The kinds are:
//
//   - burst: arrival rates are multiplied by a factor.
//   - dark: a share of the servers does not respond.
//   - slow: the work of a share of the servers takes longer by a factor.
//   - fail: a share of the servers fails requests with a probability.
//   - leaving: from the start on, a share of the servers reports that it is
//     leaving. The duration has no effect.
//   - busy: a share of the servers rejects all requests and asks for a pause until
//     the fault ends.
//   - limited: a share of the servers states a rate limit, the magnitude, until the
//     fault ends.
//   - crash: prompts arrive, at a rate of the magnitude, that have a part in common
//     under which engines crash as they begin to respond. They do not count in the
//     results.
//   - deaf: a share of the entry instances hears nothing of the others' calls.
//   - lost-updates: each update between entry instances is lost with a probability.
//   - lost: entry instances lose their state and rediscover the servers one by one
//     over the duration.
type Fault struct {
	Kind            string  `json:"kind"`
	StartSeconds    float64 `json:"at_seconds"`
	DurationSeconds float64 `json:"for_seconds"`
	ServerShare     float64 `json:"share"`
	// Magnitude is the factor of the kinds burst and slow, the probability, from 0 to 1,
	// of the kinds fail and lost-updates, and the requests per second of the kinds limited and crash.
	Magnitude float64 `json:"x"`
}

// DecodePattern decodes a pattern from JSON. It returns an error if the content is not
// valid, a field is unknown or the pattern cannot be simulated.
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
	for _, f := range p.Faults {
		switch f.Kind {
		case "burst", "dark", "slow", "fail", "leaving", "busy", "limited", "crash", "lost", "deaf", "lost-updates":
		default:
			return eris.Errorf("pattern %s: unknown kind %q in troubles, want burst, dark, slow, fail, leaving, busy, limited, crash, lost, deaf or lost-updates", p.Name, f.Kind)
		}
	}
	return nil
}

// startTimeout returns how long a client waits for the start of the response.
func (k *RequestKind) startTimeout() time.Duration {
	if k.ClientTimeoutMS > 0 {
		return milliseconds(min(k.ClientTimeoutMS, k.DeadlineMS))
	}
	return milliseconds(k.DeadlineMS)
}

func (k *RequestKind) isPrompt() bool { return k.SuffixTokens > 0 }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// active reports whether the fault is in effect at the given virtual time.
func (f *Fault) active(at time.Duration) bool {
	return at >= seconds(f.StartSeconds) && at < seconds(f.StartSeconds+f.DurationSeconds)
}
