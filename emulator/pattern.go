// Package emulator plays load patterns against a model of the served systems, in
// virtual time, with the decisions that entry instances make. A run takes
// milliseconds and repeats exactly, so that a decision can be compared with
// another one on the pattern that it answers.
//
// The model is coarser than the systems. An engine reads prompts in pieces, the more
// urgent ones first, between the steps in which its runs generate; runs take its
// memory and parts the rest, and what has no room is put out and read again. Parts
// come from one store at the speed of the engine's link. Entry instances know at
// once what engines hold and what the others have sent. What it shows is the order
// of two decisions and the shape of a wait, not the figures of a deployment:
// docs/MEASUREMENTS.md names both side by side.
package emulator

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// Pattern is a load and what goes wrong under it.
type Pattern struct {
	Name string `json:"name"`
	// Load says in words which load this is.
	Load string `json:"load"`
	Seed uint64 `json:"seed"`
	// Seconds is how long callers come.
	Seconds float64 `json:"seconds"`
	// Entries is the number of entry instances that callers are spread over.
	Entries  int       `json:"entries"`
	Engines  Engines   `json:"engines"`
	Plain    Plain     `json:"plain"`
	Kinds    []Kind    `json:"kinds"`
	Troubles []Trouble `json:"troubles"`
}

// Engines describes the model servers.
type Engines struct {
	Count        int `json:"count"`
	Slots        int `json:"slots"`
	MemoryTokens int `json:"memory_tokens"`
	// TokensPerMS is the reading speed, StepMS the time of a step, longer by
	// StepMSPerRun for each run; Chunk is the most that is read in one, tokens.
	TokensPerMS  float64 `json:"tokens_per_ms"`
	StepMS       float64 `json:"step_ms"`
	StepMSPerRun float64 `json:"step_ms_per_run"`
	Chunk        int     `json:"chunk"`
	// BringPerMS is how many tokens of a part an engine's link brings in a
	// millisecond from the store, 0 for no store; StoreTokens is the store's room.
	BringPerMS  float64 `json:"bring_per_ms"`
	StoreTokens int     `json:"store_tokens"`
}

// Plain describes the servers of a service without prompts.
type Plain struct {
	Count int `json:"count"`
	Slots int `json:"slots"`
	// Queue is how many requests wait at a server before it refuses more.
	Queue int `json:"queue"`
}

// Kind is a kind of request. One with OwnTokens is a prompt.
type Kind struct {
	Name        string  `json:"name"`
	PerSecond   float64 `json:"per_second"`
	ObjectiveMS float64 `json:"objective_ms"`
	DeadlineMS  float64 `json:"deadline_ms"`
	// BearsMS is how long a caller waits for the begin of an answer; 0 up to the
	// deadline.
	BearsMS float64 `json:"bears_ms"`
	// Worth is the credit of an answer on time, LateWorth that of a later one.
	Worth     float64 `json:"worth"`
	LateWorth float64 `json:"late_worth"`
	// SharedTokens are one of Things parts that requests have in common.
	SharedTokens int     `json:"shared_tokens"`
	Things       int     `json:"things"`
	OwnTokens    int     `json:"own_tokens"`
	OutTokens    int     `json:"out_tokens"`
	WorkMS       float64 `json:"work_ms"`
	// Repeatable requests may be sent to a second server.
	Repeatable bool `json:"repeatable"`
	// Rank is how urgent the kind is; 0 is first.
	Rank int `json:"rank"`
	// Returns is how often a refused caller comes back.
	Returns int `json:"returns"`
}

// Trouble is a span in which something differs. Kinds: burst (X times the
// callers), dark (a share of the servers says nothing), slow (they take X times
// as long), fail (they fail a request with probability X), leaving (from then on
// they say that they leave), busy (they turn all away and name the end as the time
// to come back), lost (entry instances forget all that they believed, and hear of
// the servers again within ForSeconds).
type Trouble struct {
	Kind       string  `json:"kind"`
	AtSeconds  float64 `json:"at_seconds"`
	ForSeconds float64 `json:"for_seconds"`
	Share      float64 `json:"share"`
	X          float64 `json:"x"`
}

// Decode reads a pattern. It is refused if a field is unknown or nothing could
// be played.
func Decode(content []byte) (*Pattern, error) {
	p := &Pattern{}
	d := json.NewDecoder(bytes.NewReader(content))
	d.DisallowUnknownFields()
	if err := d.Decode(p); err != nil {
		return nil, eris.Wrap(err, "decode pattern")
	}
	return p, p.check()
}

func (p *Pattern) check() error {
	switch {
	case p.Seconds <= 0 || p.Entries <= 0 || len(p.Kinds) == 0:
		return eris.Errorf("pattern %s: seconds, entries and kinds are required", p.Name)
	case p.Engines.Count+p.Plain.Count == 0:
		return eris.Errorf("pattern %s: no servers", p.Name)
	}
	for i := range p.Kinds {
		k := &p.Kinds[i]
		if k.PerSecond <= 0 || k.DeadlineMS <= 0 {
			return eris.Errorf("pattern %s: kind %s: per_second and deadline_ms must be above 0", p.Name, k.Name)
		}
		if k.prompt() && (p.Engines.Count == 0 || p.Engines.TokensPerMS <= 0) {
			return eris.Errorf("pattern %s: kind %s: no engines to read its prompts", p.Name, k.Name)
		}
		if !k.prompt() && p.Plain.Count == 0 {
			return eris.Errorf("pattern %s: kind %s: no plain servers", p.Name, k.Name)
		}
	}
	for _, t := range p.Troubles {
		switch t.Kind {
		case "burst", "dark", "slow", "fail", "leaving", "busy", "lost":
		default:
			return eris.Errorf("pattern %s: trouble %q is none of burst, dark, slow, fail, leaving, busy, lost", p.Name, t.Kind)
		}
	}
	return nil
}

// bears is how long a caller waits for the begin of an answer.
func (k *Kind) bears() time.Duration {
	if k.BearsMS > 0 {
		return milliseconds(min(k.BearsMS, k.DeadlineMS))
	}
	return milliseconds(k.DeadlineMS)
}

func (k *Kind) prompt() bool { return k.OwnTokens > 0 }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// active reports whether a trouble holds at a time.
func (t *Trouble) active(at time.Duration) bool {
	return at >= seconds(t.AtSeconds) && at < seconds(t.AtSeconds+t.ForSeconds)
}
