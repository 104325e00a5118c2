package contexts

import (
	"math"
	"slices"
	"time"

	"github.com/galenaarch/galenaarch/placement"
)

// Part is a section of a prompt that other prompts may share.
type Part struct {
	Key
	Tokens int
}

// Transfers holds, for each part of a prompt, where it is fetched from and where it
// is saved.
type Transfers struct {
	// Fetch and Save hold one address for each part; empty if there is none. The parts
	// with a Fetch address are a prefix of the prompt.
	Fetch, Save []string
	// FetchTokens is the number of tokens to fetch.
	FetchTokens int
	// DeclinedTokens is the number of tokens that could be fetched but are prefilled
	// instead, because the transfer would take too long.
	DeclinedTokens int
	// UnsavedParts is the number of parts that no store holds and for which no
	// store is selected: they are short, already being saved, or do not fit.
	UnsavedParts int
	// FetchTime is the expected duration of all fetches, including the wait for the
	// holders' links; 0 if they are declined.
	FetchTime time.Duration

	// source is the holder of the last fetched part; nil if nothing is fetched or the
	// transfers have finished. nominal is the time of all fetches at the holders'
	// configured rates and delays, with the time at the rates multiplied by
	// crossDomainFactor between failure domains. It keeps its value when the fetches
	// are declined, and is unused if source is nil.
	source  *HolderState
	nominal time.Duration
}

// Target is the backend server that prefills a prompt.
type Target struct {
	// Address is never a source of its own transfers: the server does not fetch
	// what it holds itself.
	Address, Zone string
	// PendingTransferTime is the remaining time of the server's pending transfers.
	// They run one after another.
	PendingTransferTime time.Duration
	// MaxTransferWait is the longest wait for transfers with which the prompt still
	// meets its latency target.
	MaxTransferWait time.Duration
	// PrefillRate is the prefill rate in prompt tokens per millisecond.
	PrefillRate float64
	// Emptied reports whether operators empty a failure domain: nothing is saved to stores
	// there. nil if there is none.
	Emptied func(domain string) bool
}

// maxTransferRatio bounds the time of a transfer as a multiple of the prefill time
// that it saves. A server's transfers run one after another, so a short part queued
// behind a long one on a slow link delays its prompt by more than its prefill would
// delay the other prompts.
const maxTransferRatio = 4

// minTransferTokens is the length of the shortest shared prompt, in tokens, that is
// saved and fetched. A server's transfers run one after another: a prompt that
// takes 20 ms to prefill would wait longer than that behind the long parts of other
// prompts (load with many short questions and few long prompts).
const minTransferTokens = 1024

// ShouldTransfer reports whether the shared parts of a prompt are long enough to be
// saved at stores and fetched from them.
func ShouldTransfer(parts []Part) bool {
	sum := 0
	for _, p := range parts {
		sum += p.Tokens
	}
	return sum >= minTransferTokens
}

// crossDomainFactor is the ratio of the transfer time between failure domains to
// that within one.
const crossDomainFactor = 2

// Plan decides the transfers of a prompt's shared parts. It prefers a transfer to a
// prefill as long as the prompt meets its latency target, since a prefill takes
// server time from other prompts. Only a contiguous prefix of parts is useful, so
// nothing is fetched after the first part that no holder has. Plan records the
// pending saves and the use of the link in the states of the holders.
func Plan(holders []*HolderState, parts []Part, to Target, now time.Time) Transfers {
	t := Transfers{Fetch: make([]string, len(parts)), Save: make([]string, len(parts))}
	contiguous := true
	for i, p := range parts {
		holder := fastestHolder(holders, p, to, now)
		if holder == nil {
			contiguous = false
			t.planSave(i, holders, p, to, now)
			continue
		}
		if holder.Engine {
			t.planSave(i, holders, p, to, now) // an engine may evict it at any time
		}
		if !contiguous {
			continue
		}
		t.Fetch[i] = holder.Address
		t.FetchTokens += p.Tokens
		t.FetchTime += holder.transfer(p.Tokens, to.Zone, now)
		t.nominal += holder.nominal(p.Tokens, to.Zone)
		t.source = holder
	}
	prefillTime := time.Duration(float64(t.FetchTokens) / to.PrefillRate * float64(time.Millisecond))
	if t.FetchTokens > 0 && to.PendingTransferTime+t.FetchTime > max(prefillTime, min(to.MaxTransferWait, maxTransferRatio*prefillTime)) {
		t.DeclinedTokens = t.FetchTokens
		t.Fetch, t.FetchTokens, t.FetchTime, t.source = make([]string, len(parts)), 0, 0, nil
	}
	if t.source != nil {
		t.source.occupyLink(t.nominal, now)
	}
	return t
}

// planSave selects the store that saves part i, if there is one.
func (t *Transfers) planSave(i int, holders []*HolderState, p Part, to Target, now time.Time) {
	if target := saveTarget(to.mayReceive(holders), p, now); target != nil {
		target.pendingSaves[p.Key] = pendingSave{tokens: p.Tokens, startedAt: now}
		t.Save[i] = target.Address
		return
	}
	t.UnsavedParts++
}

// mayReceive returns the holders without those in failure domains that are emptied.
func (to *Target) mayReceive(holders []*HolderState) []*HolderState {
	emptied := func(s *HolderState) bool { return to.Emptied(s.Zone) }
	if to.Emptied == nil || !slices.ContainsFunc(holders, emptied) {
		return holders
	}
	return slices.DeleteFunc(slices.Clone(holders), emptied)
}

// maxNominal bounds a nominal transfer time. It is far above the time of any transfer that
// is worth making, and keeps multiples of it within the range of time.Duration.
const maxNominal = time.Hour

// nominal returns the transfer time at the holder's configured rate and delay, at most
// maxNominal; also if the rate is not above 0.
func (s *HolderState) nominal(tokens int, zone string) time.Duration {
	d := float64(tokens) / s.Rate * float64(time.Millisecond)
	if s.Zone != zone {
		d *= crossDomainFactor
	}
	if d += float64(s.FirstDelay); d >= 0 && d < float64(maxNominal) {
		return time.Duration(d)
	}
	return maxNominal
}

// transfer returns the expected transfer time, including the wait for the transfers
// in progress.
func (s *HolderState) transfer(tokens int, zone string, now time.Time) time.Duration {
	return time.Duration(s.slowness(now) * float64(max(0, s.linkFreeAt.Sub(now))+s.nominal(tokens, zone)))
}

// occupyLink adds a transfer of duration d to the holder's link. The link becomes
// free by the clock, not when the prompt has been prefilled: with many concurrent
// requests prompts wait at busy engines long after their parts have arrived.
func (s *HolderState) occupyLink(d time.Duration, now time.Time) {
	if now.After(s.linkFreeAt) {
		s.linkFreeAt = now
	}
	s.linkFreeAt = s.linkFreeAt.Add(d)
}

// finish records that the transfers of a prompt are over, and adds their duration to the
// slowness estimate of the source. elapsed is the duration, or 0 if it is unknown.
func (t *Transfers) finish(elapsed time.Duration, now time.Time) {
	if t.source == nil {
		return
	}
	if elapsed > 0 {
		t.source.observeTransfer(elapsed, t.nominal, now)
	}
	t.source = nil
}

// fastestHolder returns the store or engine with the shortest expected transfer of
// a part, or nil.
func fastestHolder(holders []*HolderState, p Part, to Target, now time.Time) *HolderState {
	var best *HolderState
	for _, s := range holders {
		if s.Address == to.Address || !s.Holds(p.Key, p.Tokens, now) {
			continue
		}
		if best == nil || s.transfer(p.Tokens, to.Zone, now) < best.transfer(p.Tokens, to.Zone, now) {
			best = s
		}
	}
	return best
}

// saveTarget returns the store that a part is saved at, or nil if the part is
// short, is already being saved, or does not fit in any store. All instances choose
// the same store, so that a part which several of them prefill for the first time
// at the same moment is saved once (many concurrent requests with nothing saved
// yet). Stores are chosen in proportion to their capacity.
func saveTarget(holders []*HolderState, p Part, now time.Time) *HolderState {
	if p.Tokens < minSavedTokens {
		return nil
	}
	var best *HolderState
	bestRank := 0.0
	for _, s := range holders {
		if pending, ok := s.pendingSaves[p.Key]; ok && now.Sub(pending.startedAt) < saveTimeout {
			return nil
		}
		if s.Engine || !s.writable(now) || s.held[p.Key] > 0 {
			continue
		}
		if s.freeTokens(now) <= p.Tokens {
			continue
		}
		if rank := saveRank(p.Key, s); best == nil || rank > bestRank {
			best, bestRank = s, rank
		}
	}
	return best
}

// saveRank ranks the stores for a part by weighted rendezvous hashing: each store
// ranks first for a share of the parts equal to its share of the total capacity.
func saveRank(k Key, s *HolderState) float64 {
	u := (float64(placement.Rank(k.Salt+"/"+k.Part, s.Address)>>11) + 0.5) / (1 << 53)
	return -float64(s.Capacity) / math.Log(u)
}
