package contexts

import (
	"math"
	"time"

	"github.com/galenaarch/galenaarch/placement"
)

// Part is a part of a prompt that other prompts share.
type Part struct {
	Key
	Tokens int
}

// Transfers says for each part from where it is read and where it is kept.
type Transfers struct {
	// Fetch and Save hold one address for each part, empty for none.
	Fetch, Save []string
	// FetchTokens are brought in about FetchTime.
	FetchTokens int
	// Dismissed tokens could be brought, but are read sooner.
	Dismissed int
	// Unkept parts are held by no store and found none to keep them.
	Unkept    int
	FetchTime time.Duration

	from    *Store
	nominal time.Duration
}

// Target is the server that a prompt is to be read at.
type Target struct {
	// Address is never read from: what the server has, it need not fetch.
	Address, Zone string
	// Bringing is the time that its transfers under way still take: they run
	// one after another.
	Bringing time.Duration
	// Allowed is the wait for transfers that still leaves a prompt on time.
	Allowed time.Duration
	// ReadRate is the prompt tokens it reads in a millisecond.
	ReadRate float64
}

// worthTimes is how many times as long as the reading that it saves a transfer may
// take: a server's transfers run one after another, and a short part behind a long
// one on a slow link costs its prompt more than a moment of reading costs others.
const worthTimes = 4

// leastBrought is the shortest shared prompt that is kept and brought; tokens. A
// server's transfers run one after another: what takes 20 ms to read waits longer
// behind others' long parts (many short questions beside few long prompts).
const leastBrought = 1024

// WorthBringing reports whether the shared parts of a prompt are kept at stores
// and brought from them.
func WorthBringing(parts []Part) bool {
	sum := 0
	for _, p := range parts {
		sum += p.Tokens
	}
	return sum >= leastBrought
}

// farFactor is how much longer a transfer between failure domains takes.
const farFactor = 2

// Plan decides the transfers of a prompt's shared parts. A transfer is taken
// rather than a part read again as long as the prompt stays on time, since
// reading takes the server's time from other prompts. Parts follow each other, so that one that is not to be had ends the reading.
func Plan(stores []*Store, parts []Part, to Target, now time.Time) Transfers {
	t := Transfers{Fetch: make([]string, len(parts)), Save: make([]string, len(parts))}
	whole := true
	for i, p := range parts {
		holder := holderOf(stores, p, to, now)
		if holder == nil {
			whole = false
			t.keep(i, stores, p, to, now)
			continue
		}
		if holder.Engine {
			t.keep(i, stores, p, to, now) // an engine may drop it at any time
		}
		if !whole {
			continue
		}
		t.Fetch[i] = holder.Address
		t.FetchTokens += p.Tokens
		t.FetchTime += holder.transfer(p.Tokens, to.Zone, now)
		t.nominal += holder.nominal(p.Tokens, to.Zone)
		t.from = holder
	}
	read := time.Duration(float64(t.FetchTokens) / to.ReadRate * float64(time.Millisecond))
	if t.FetchTokens > 0 && to.Bringing+t.FetchTime > max(read, min(to.Allowed, worthTimes*read)) {
		t.Dismissed = t.FetchTokens
		t.Fetch, t.FetchTokens, t.FetchTime, t.from = make([]string, len(parts)), 0, 0, nil
	}
	if t.from != nil {
		t.from.take(t.nominal, now)
	}
	return t
}

// keep has a part saved at a store, if one is to keep it.
func (t *Transfers) keep(i int, stores []*Store, p Part, to Target, now time.Time) {
	if home := keeperOf(stores, p, now); home != nil {
		home.saving[p.Key] = save{tokens: p.Tokens, began: now}
		t.Save[i] = home.Address
		return
	}
	t.Unkept++
}

// nominal is the time of a transfer by the store's figures.
func (s *Store) nominal(tokens int, zone string) time.Duration {
	d := time.Duration(float64(tokens) / s.Rate * float64(time.Millisecond))
	if s.Zone != zone {
		d *= farFactor
	}
	return s.FirstDelay + d
}

// transfer is the expected time of a transfer, behind those under way.
func (s *Store) transfer(tokens int, zone string, now time.Time) time.Duration {
	return time.Duration(s.slowness(now) * float64(max(0, s.linkFree.Sub(now))+s.nominal(tokens, zone)))
}

// take counts a transfer that the store's link is busy with for a time. What is
// under way ends by the clock, not when its prompt is read: prompts wait at busy
// engines long after they were brought (many callers at once).
func (s *Store) take(d time.Duration, now time.Time) {
	if now.After(s.linkFree) {
		s.linkFree = now
	}
	s.linkFree = s.linkFree.Add(d)
}

// end notes that the transfers of a prompt are over; took is what they took, or
// 0 if that is not known.
func (t *Transfers) end(took time.Duration, now time.Time) {
	if t.from == nil {
		return
	}
	if took > 0 {
		t.from.learn(took, t.nominal, now)
	}
	t.from = nil
}

// holderOf is the store or engine that brings a part soonest, or nil.
func holderOf(stores []*Store, p Part, to Target, now time.Time) *Store {
	var best *Store
	for _, s := range stores {
		if s.Address == to.Address || !s.Holds(p.Key, p.Tokens, now) {
			continue
		}
		if best == nil || s.transfer(p.Tokens, to.Zone, now) < best.transfer(p.Tokens, to.Zone, now) {
			best = s
		}
	}
	return best
}

// keeperOf is the store that is to keep a part, alike at every instance: a part
// that several read at the same time for the first time is then kept once (many
// callers at once, before anything is kept). Stores get parts by their capacity.
// It is nil if the part is short, is being saved, or has no room anywhere.
func keeperOf(stores []*Store, p Part, now time.Time) *Store {
	if p.Tokens < leastKept {
		return nil
	}
	var best *Store
	bestRank := 0.0
	for _, s := range stores {
		if v, ok := s.saving[p.Key]; ok && now.Sub(v.began) < saveFor {
			return nil
		}
		if s.Engine || !s.writable(now) || s.held[p.Key] > 0 {
			continue
		}
		if s.room(now) <= p.Tokens {
			continue
		}
		if rank := keeperRank(p.Key, s); best == nil || rank > bestRank {
			best, bestRank = s, rank
		}
	}
	return best
}

// keeperRank orders stores for a part so that each is first for a share of the
// parts that is its share of all capacity.
func keeperRank(k Key, s *Store) float64 {
	at := (float64(placement.Rank(k.Salt+"/"+k.Part, s.Address)>>11) + 0.5) / (1 << 53)
	return -float64(s.Capacity) / math.Log(at)
}
