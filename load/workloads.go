package load

import (
	"time"

	"github.com/galenaarch/galenaarch/config"
)

// The order trace: short phone questions alongside long quote jobs.
const (
	orderAccounts          = 10
	phonesPerQuote         = 5.0
	phoneReturnProbability = 0.5
	phoneMinBlocks         = 1
	phoneMaxBlocks         = 4
	phoneMinGap            = 10 * time.Minute
	phoneMaxGap            = 24 * time.Hour
	quoteReturnProbability = 0.65
	quoteMinBlocks         = 8
	quoteMaxBlocks         = 20
	quoteMinGap            = time.Hour
	quoteMaxGap            = 72 * time.Hour
	// Offsets that are added to the compressed gaps. The engines' processing times are
	// not compressed, so the next request comes no sooner than a response usually
	// takes to complete.
	phoneGapOffset    = time.Second
	quoteGapOffset    = 5 * time.Second
	phoneOutputTokens = 12
	quoteOutputTokens = 24
)

// Bounds on the length of the question after a context, in tokens.
const (
	minQuestionTokens = 60
	maxQuestionTokens = 300
)

func orderTrace(cfg TraceConfig) *Trace {
	b := newTraceBuilder(cfg, orderAccounts)
	b.poissonArrivals(cfg.Scale*phonesPerQuote, func(at time.Duration) {
		b.addSession(at, session{
			class: ClassPhone, priority: config.PriorityInteractive, blocks: b.intBetween(phoneMinBlocks, phoneMaxBlocks),
			returnProbability: phoneReturnProbability, minGap: phoneMinGap, maxGap: phoneMaxGap, gapOffset: phoneGapOffset, outputTokens: phoneOutputTokens,
		})
	})
	b.poissonArrivals(cfg.Scale, func(at time.Duration) {
		b.addSession(at, session{
			class: ClassQuote, priority: config.PriorityBatch, blocks: b.intBetween(quoteMinBlocks, quoteMaxBlocks),
			returnProbability: quoteReturnProbability, minGap: quoteMinGap, maxGap: quoteMaxGap, gapOffset: quoteGapOffset, outputTokens: quoteOutputTokens,
		})
	})
	return b.trace
}

// session describes a sequence of requests with the same context. After each request
// another one follows with a fixed probability.
type session struct {
	class             string
	priority          config.Priority
	blocks            int
	returnProbability float64
	minGap, maxGap    time.Duration
	// gapOffset is added to each compressed gap.
	gapOffset    time.Duration
	outputTokens int
}

// addSession adds the requests of a session that starts at the given time, in a new
// context of a random account.
func (b *traceBuilder) addSession(at time.Duration, s session) {
	r := Request{
		SendAt: at, Class: s.class, Priority: s.priority, AccountIndex: b.pickAccount(), ContextIndex: b.newContext(),
		ContextBlocks: s.blocks, QuestionTokens: b.intBetween(minQuestionTokens, maxQuestionTokens), OutputTokens: s.outputTokens,
	}
	b.add(r)
	for b.random.Float64() < s.returnProbability {
		r.ReusableBlocks = r.ContextBlocks
		r.SendAt += s.gapOffset + b.returnGap(s.minGap, s.maxGap)
		r.ContextRequestIndex++
		r.QuestionTokens = b.intBetween(minQuestionTokens, maxQuestionTokens)
		b.add(r)
	}
}

// The history trace: rooms whose histories are summarized periodically, and
// histories that are requested only once.
const (
	historyAccounts     = 10
	roomsPerScale       = 130.0
	roomMinBlocks       = 4
	roomMaxBlocks       = 10
	singleUsePerScale   = 2.4
	historyOutputTokens = 24
	periodJitter        = 0.25
	requestsPerGrowth   = 3
	historyMaxBlocks    = 12
)

// roomPeriods are the possible times between two summaries of a room, before
// compression.
var roomPeriods = []time.Duration{12 * time.Hour, 24 * time.Hour, 24 * time.Hour, 48 * time.Hour, 96 * time.Hour}

func historyTrace(cfg TraceConfig) *Trace {
	b := newTraceBuilder(cfg, historyAccounts)
	for range int(roomsPerScale * cfg.Scale) {
		b.addRoom()
	}
	b.poissonArrivals(singleUsePerScale*cfg.Scale, func(at time.Duration) {
		if at < roomStartSpan(cfg) {
			return
		}
		b.addSession(at, session{
			class: ClassHistory, priority: config.PriorityInteractive,
			blocks: b.intBetween(roomMinBlocks, roomMaxBlocks), outputTokens: historyOutputTokens,
		})
	})
	return b.trace
}

// roomStartSpan is the part of the warm-up over which the first requests of the
// rooms are spread. No other requests are sent during it, so that the engines can keep
// up.
func roomStartSpan(cfg TraceConfig) time.Duration { return cfg.Warmup * 3 / 4 }

// addRoom adds the requests of one room, starting at a random point of its period.
func (b *traceBuilder) addRoom() {
	period := time.Duration(float64(roomPeriods[b.random.IntN(len(roomPeriods))]) / b.cfg.GapCompression)
	r := Request{
		Class: ClassHistory, Priority: config.PriorityInteractive, AccountIndex: b.pickAccount(), ContextIndex: b.newContext(),
		ContextBlocks: b.intBetween(roomMinBlocks, roomMaxBlocks), OutputTokens: historyOutputTokens,
	}
	r.SendAt = time.Duration(b.random.Float64() * float64(roomStartSpan(b.cfg)))
	for r.SendAt < b.cfg.Duration {
		r.QuestionTokens = b.intBetween(minQuestionTokens, maxQuestionTokens)
		b.add(r)
		r.ReusableBlocks = r.ContextBlocks
		r.ContextRequestIndex++
		if r.ContextRequestIndex%requestsPerGrowth == 0 && r.ContextBlocks < historyMaxBlocks {
			r.ContextBlocks++
		}
		jitter := 1 + periodJitter*(2*b.random.Float64()-1)
		r.SendAt += time.Duration(float64(period) * jitter)
	}
}
