// Package load generates reproducible traces of the users' workloads, replays them
// open loop against running entries, verifies every response in full and reports the
// results as observed by the clients. It also computes the lowest recomputation that
// a cache policy could achieve if it knew all future requests.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/kvcache"
)

// Classes of requests in the traces.
const (
	ClassPhone   = "phone"
	ClassQuote   = "quote"
	ClassHistory = "history"
)

// BlockTokens is the length of a block in tokens.
const BlockTokens = 1024

// blockTextBytes is the length of a block's text in bytes.
const blockTextBytes = BlockTokens * kvcache.BytesPerToken

// Request is one request of a trace.
type Request struct {
	// SendAt is the time of sending, relative to the start of the trace.
	SendAt   time.Duration
	Class    string
	Priority config.Priority
	// AccountIndex is the index of the client account, from 0.
	AccountIndex int
	// ContextIndex is the index of the context that the prompt starts with.
	ContextIndex int
	// ContextBlocks is the length of the context in blocks.
	ContextBlocks int
	// ReusableBlocks is the number of leading blocks shared with an earlier request.
	ReusableBlocks int
	// ContextRequestIndex is the index of the request among those of its context, from
	// 0.
	ContextRequestIndex int
	// QuestionTokens is the length of the question after the context in tokens.
	QuestionTokens int
	// OutputTokens is the number of output tokens to generate.
	OutputTokens int
}

// Prompt returns the prompt text: the blocks of the context, then the question.
func (r *Request) Prompt() string {
	var b strings.Builder
	b.Grow(r.ContextBlocks*blockTextBytes + r.QuestionTokens*kvcache.BytesPerToken)
	for i := range r.ContextBlocks {
		writeRepeated(&b, fmt.Sprintf("context %d part %d; ", r.ContextIndex, i), blockTextBytes)
	}
	writeRepeated(&b, fmt.Sprintf("context %d question %d; ", r.ContextIndex, r.ContextRequestIndex), r.QuestionTokens*kvcache.BytesPerToken)
	return b.String()
}

// Tokens returns the length of the prompt in tokens.
func (r *Request) Tokens() int { return r.ContextBlocks*BlockTokens + r.QuestionTokens }

// writeRepeated writes length bytes of the repeated line.
func writeRepeated(b *strings.Builder, line string, length int) {
	for length > 0 {
		n := min(length, len(line))
		b.WriteString(line[:n])
		length -= n
	}
}

// Trace holds the requests of one run in order of their send times.
type Trace struct {
	Name     string
	Seed     uint64
	Accounts int
	// GapCompression is the factor by which the gaps between requests of a context are
	// shorter than in production.
	GapCompression float64
	Duration       time.Duration
	// Warmup is the duration of the part at the start that is not measured.
	Warmup   time.Duration
	Requests []Request
}

// TraceConfig configures the generation of a trace.
type TraceConfig struct {
	Seed     uint64
	Duration time.Duration
	// Warmup is the part at the start of Duration that is not measured.
	Warmup time.Duration
	// GapCompression divides the gaps between the requests of a context.
	GapCompression float64
	// Scale multiplies the number of contexts. At 1, the order trace has about 6 new
	// contexts per second, the history trace 130 rooms and about 2.4 other new
	// contexts per second.
	Scale float64
}

// generators holds the trace generators by name.
var generators = map[string]func(TraceConfig) *Trace{
	"order":   orderTrace,
	"history": historyTrace,
}

// Generate generates the named trace, "order" or "history". The same configuration
// always gives the same trace.
func Generate(name string, cfg TraceConfig) (*Trace, error) {
	generate, ok := generators[name]
	if !ok {
		return nil, fmt.Errorf("unknown trace %q", name)
	}
	t := generate(cfg)
	t.Name, t.Seed, t.GapCompression = name, cfg.Seed, cfg.GapCompression
	t.Duration, t.Warmup = cfg.Duration, cfg.Warmup
	slices.SortStableFunc(t.Requests, func(a, b Request) int { return int(a.SendAt - b.SendAt) })
	return t, nil
}

// traceBuilder collects the requests of a trace.
type traceBuilder struct {
	cfg      TraceConfig
	random   *rand.Rand
	accounts int
	trace    *Trace
	contexts int
}

func newTraceBuilder(cfg TraceConfig, accounts int) *traceBuilder {
	return &traceBuilder{
		cfg:      cfg,
		random:   rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x5bd1e995)),
		accounts: accounts,
		trace:    &Trace{Accounts: accounts},
	}
}

// pickAccount picks a client account at random with Zipf-distributed weights: few
// accounts are large, most are small.
func (b *traceBuilder) pickAccount() int {
	total := 0.0
	for i := range b.accounts {
		total += 1 / math.Pow(float64(i+1), accountSkew)
	}
	remaining := b.random.Float64() * total
	for i := range b.accounts {
		remaining -= 1 / math.Pow(float64(i+1), accountSkew)
		if remaining < 0 {
			return i
		}
	}
	return b.accounts - 1
}

// accountSkew is the exponent of the Zipf distribution of account sizes.
const accountSkew = 1.2

// returnGap draws the gap before the next request of a context from a log-uniform
// distribution and compresses it.
func (b *traceBuilder) returnGap(minGap, maxGap time.Duration) time.Duration {
	ratio := math.Log(float64(maxGap) / float64(minGap))
	uncompressed := float64(minGap) * math.Exp(b.random.Float64()*ratio)
	return time.Duration(uncompressed / b.cfg.GapCompression)
}

// intBetween returns a random integer from low to high, both included.
func (b *traceBuilder) intBetween(low, high int) int { return low + b.random.IntN(high-low+1) }

// poissonArrivals calls start for each arrival of a Poisson process with the given
// rate per second.
func (b *traceBuilder) poissonArrivals(rate float64, start func(at time.Duration)) {
	at := 0.0
	for {
		at += b.random.ExpFloat64() / rate
		if at >= b.cfg.Duration.Seconds() {
			return
		}
		start(time.Duration(at * float64(time.Second)))
	}
}

// add adds a request, unless it is sent after the end of the trace.
func (b *traceBuilder) add(r Request) {
	if r.SendAt < b.cfg.Duration {
		b.trace.Requests = append(b.trace.Requests, r)
	}
}

// newContext counts a new context and returns its index.
func (b *traceBuilder) newContext() int {
	b.contexts++
	return b.contexts - 1
}
