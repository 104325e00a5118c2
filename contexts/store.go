// Package contexts tracks, for one entry instance, which parts of prompts the
// stores and engines hold in their caches, and decides where the parts of a prompt
// are fetched from and where they are saved. The decisions use no clock, network or
// platform.
package contexts

import (
	"math"
	"slices"
	"time"

	"github.com/galenaarch/galenaarch/dispatch"
)

// Key identifies a part of a prompt under a cache salt. The same part under another
// salt is a different context.
type Key struct{ Salt, Part string }

// Limits and estimates for fetching and saving.
const (
	// MaxStateAge is how long a holder's reported state may be used for fetching. A
	// part that was lost and is being written again must not be mistaken for the
	// earlier complete part.
	MaxStateAge = 1500 * time.Millisecond
	// restartWriteDelay is how long a restarted store is not written to. After this
	// time every instance has noticed that the store lost its content.
	restartWriteDelay = 2500 * time.Millisecond
	// saveTimeout is how long a pending save reserves its space and is not planned
	// again.
	saveTimeout = 4 * time.Second
	// minSavedTokens is the shortest part that is saved, in tokens: one engine
	// block.
	minSavedTokens = 16
	// slownessSamples is the number of recent transfers whose minimum estimates a
	// holder's slowness. The slower ones include other delays, such as the wait at a
	// busy engine.
	slownessSamples = 3
	// slownessHalfLife is the half-life of a slowness estimate. Without a decay a
	// holder that is avoided for its slowness would never be tried again.
	slownessHalfLife = 2 * time.Second
	// maxSlowness bounds the slowness estimate.
	maxSlowness = 50
	// maxFill is the fraction of a store's capacity that is used. The rest is a
	// margin for the other instances, which write to the store at the same time.
	maxFill = 0.99
)

// Change is a part that a holder has completed or lost.
type Change struct {
	Key
	// Tokens is the number of tokens that are held now; 0 after a loss.
	Tokens int
}

// Changes is a holder's report of its changes.
type Changes struct {
	// Epoch identifies the holder's incarnation. Next is the cursor for the next
	// poll.
	Epoch, Next uint64
	// Gap means that earlier changes are missing from the report.
	Gap     bool
	Changes []Change
	// Malformed is the number of entries that could not be decoded and are missing.
	Malformed int
	// Directives are those of an engine.
	dispatch.Directives
}

// HolderState is the tracked state of one store or engine. It is not safe for
// concurrent use.
type HolderState struct {
	Address, Zone string
	// Capacity is the size in tokens, Rate the link's throughput in tokens per
	// millisecond, FirstDelay the fixed delay of each transfer.
	Capacity   int
	Rate       float64
	FirstDelay time.Duration
	// Engine marks a backend server. Nothing is saved there on request.
	Engine bool

	epoch, next uint64
	// restartedAt is when the current incarnation was first seen. It is zero for
	// the first incarnation, since no instance can hold state of an earlier one.
	restartedAt time.Time
	// asOf is the time as of which the state is valid; zero if it must not be used.
	asOf time.Time
	// held maps each held part to its tokens; used is their sum.
	held         map[Key]int
	used         int
	pendingSaves map[Key]pendingSave
	// recentRatios are the ratios of actual to nominal time of the last transfers,
	// sampleCount the number of transfers so far, measuredSlowness the minimum of
	// the ratios as of measuredAt.
	recentRatios     [slownessSamples]float64
	sampleCount      int
	measuredSlowness float64
	measuredAt       time.Time
	// ignoreSlowness disables the slowness estimate.
	ignoreSlowness bool
	// rateLimited is set while the engine states a rate limit in response to polls.
	rateLimited bool
	// linkFreeAt is when this instance's pending transfers end at their nominal
	// times. They run one after another.
	linkFreeAt time.Time
	// relayed is set if the state comes from another instance, which does not relay
	// everything that an engine holds: see isRelayed.
	relayed bool
	// journal records the changes for subscribers; nil if there are none.
	journal *journal
}

// pendingSave is a save that was planned and that the store has not reported yet.
type pendingSave struct {
	tokens    int
	startedAt time.Time
}

// NewHolderState returns an empty state.
func NewHolderState(address, zone string) *HolderState {
	return &HolderState{Address: address, Zone: zone, held: make(map[Key]int), pendingSaves: make(map[Key]pendingSave)}
}

// Cursor returns the cursor for the next poll.
func (s *HolderState) Cursor() uint64 { return s.next }

// ApplyChanges applies a holder's report, whose age counts from now. It returns
// false if changes are missing, so that the state must be replaced by a full
// listing. If the holder has restarted, the state is discarded and, unless the
// cursor was 0, the report too: the next poll starts from cursor 0.
func (s *HolderState) ApplyChanges(c *Changes, now time.Time) bool {
	if c.Epoch != s.epoch {
		if s.epoch != 0 {
			s.restartedAt = now
		}
		s.epoch = c.Epoch
		s.clear()
		if s.next > 0 {
			// The changes after the old cursor belong to another incarnation.
			s.next = 0
			s.asOf = time.Time{}
			return true
		}
	}
	if c.Gap {
		s.clear()
		s.asOf = time.Time{}
		return false
	}
	for _, change := range c.Changes {
		s.apply(change)
	}
	s.next, s.asOf = c.Next, now
	return true
}

// Replace replaces the state by a full listing.
func (s *HolderState) Replace(c *Changes, now time.Time) {
	if c.Epoch != s.epoch && s.epoch != 0 {
		s.restartedAt = now
	}
	s.clear()
	s.epoch, s.next, s.asOf = c.Epoch, c.Next, now
	for _, change := range c.Changes {
		s.apply(change)
	}
}

// SkipGap discards the state and continues from c.Next after a gap in the changes. It
// is for engines, where a full listing would delay the requests. The state then counts
// as fresh though it is empty; an engine's cache changes all the time, so that it is
// soon filled again.
func (s *HolderState) SkipGap(c *Changes, now time.Time) {
	s.clear()
	s.epoch, s.next, s.asOf = c.Epoch, c.Next, now
}

// Invalidate discards the state until the holder is polled successfully again.
func (s *HolderState) Invalidate() {
	s.clear()
	s.next, s.asOf = 0, time.Time{}
}

// clear discards the content and the pending saves.
func (s *HolderState) clear() {
	if s.journal != nil {
		s.journal.add(record{address: s.Address, reset: true})
	}
	clear(s.held)
	clear(s.pendingSaves)
	s.used = 0
}

// apply applies one change and journals it if it is relayed.
func (s *HolderState) apply(c Change) {
	if s.journal != nil && s.isRelayed(max(c.Tokens, s.held[c.Key])) {
		s.journal.add(record{address: s.Address, change: c})
	}
	s.used += c.Tokens - s.held[c.Key]
	delete(s.pendingSaves, c.Key)
	if c.Tokens == 0 {
		delete(s.held, c.Key)
		return
	}
	s.held[c.Key] = c.Tokens
}

// Fresh reports whether the state is recent enough to be used.
func (s *HolderState) Fresh(now time.Time) bool {
	return !s.asOf.IsZero() && now.Sub(s.asOf) < MaxStateAge
}

// Holds reports whether the holder is known to hold a complete part.
func (s *HolderState) Holds(k Key, tokens int, now time.Time) bool {
	return s.Fresh(now) && tokens > 0 && s.held[k] >= tokens
}

// isRelayed reports whether a part of a given length is relayed to other instances.
// For a store every part that can be saved is relayed: parts form a prefix chain,
// so an unknown short first part hides everything that is saved behind it (many
// entry instances, prompts that begin with a short common part).
func (s *HolderState) isRelayed(tokens int) bool {
	if s.Engine {
		return tokens >= MinRelayedTokens
	}
	return tokens >= minSavedTokens
}

// snapshot returns all held parts that are relayed.
func (s *HolderState) snapshot() HolderUpdate {
	update := HolderUpdate{Address: s.Address, Epoch: s.epoch, Reset: true}
	for k, tokens := range s.held {
		if s.isRelayed(tokens) {
			update.Changes = append(update.Changes, Change{Key: k, Tokens: tokens})
		}
	}
	return update
}

// slowness returns the current estimate of actual to nominal transfer time; 1 is as
// fast as configured.
func (s *HolderState) slowness(now time.Time) float64 {
	if s.measuredSlowness <= 1 || s.ignoreSlowness {
		return 1
	}
	return 1 + (s.measuredSlowness-1)*math.Exp2(-float64(now.Sub(s.measuredAt))/float64(slownessHalfLife))
}

// observeTransfer records the actual and the nominal duration of a transfer. The
// estimate is a minimum, because a mean would count waits at busy engines as
// slowness of the holder, and transfers would be declined just when prefill capacity
// is scarcest (many concurrent requests).
func (s *HolderState) observeTransfer(elapsed, expected time.Duration, now time.Time) {
	s.recentRatios[s.sampleCount%slownessSamples] = min(maxSlowness, max(1, float64(elapsed)/float64(expected)))
	s.sampleCount++
	if s.sampleCount < slownessSamples {
		return
	}
	s.measuredSlowness, s.measuredAt = slices.Min(s.recentRatios[:]), now
}

// freeTokens returns the free space less the pending saves.
func (s *HolderState) freeTokens(now time.Time) int {
	free := int(maxFill*float64(s.Capacity)) - s.used
	for k, pending := range s.pendingSaves {
		if now.Sub(pending.startedAt) > saveTimeout {
			delete(s.pendingSaves, k)
			continue
		}
		free -= pending.tokens
	}
	return free
}

// writable reports whether parts may be saved at the store: its state is fresh and no
// restart is recent.
func (s *HolderState) writable(now time.Time) bool {
	return s.Fresh(now) && (s.restartedAt.IsZero() || now.Sub(s.restartedAt) > restartWriteDelay)
}
