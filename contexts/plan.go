package contexts

import "time"

// Part is a part of a prompt that other prompts share.
type Part struct {
	Key
	Tokens int
}

// Transfers says for each part from where it is read and where it is kept.
type Transfers struct {
	// Fetch and Save hold one address for each part, empty for none.
	Fetch, Save []string
	// FetchTokens can be brought, in about FetchTime without waiting.
	FetchTokens int
	FetchTime   time.Duration
}

// farFactor is how much longer a transfer between failure domains takes.
const farFactor = 2

// Plan decides the transfers of a prompt's shared parts for a server in a zone.
// Parts follow each other, so that one that cannot be had ends the reading.
func Plan(stores []*Store, parts []Part, zone string, now time.Time) Transfers {
	t := Transfers{Fetch: make([]string, len(parts)), Save: make([]string, len(parts))}
	whole := true
	for i, p := range parts {
		holder := holderOf(stores, p, zone, now)
		if holder != nil {
			if whole {
				t.Fetch[i] = holder.Address
				t.FetchTokens += p.Tokens
				t.FetchTime += holder.transfer(p.Tokens, zone)
			}
			continue
		}
		whole = false
		if home := keeperOf(stores, p, zone, now); home != nil {
			home.saving[p.Key] = save{tokens: p.Tokens, began: now}
			t.Save[i] = home.Address
		}
	}
	return t
}

func (s *Store) transfer(tokens int, zone string) time.Duration {
	d := time.Duration(float64(tokens) / s.Rate * float64(time.Millisecond))
	if s.Zone != zone {
		d *= farFactor
	}
	return s.FirstDelay + d
}

// holderOf is the store that brings a part soonest, or nil.
func holderOf(stores []*Store, p Part, zone string, now time.Time) *Store {
	var best *Store
	for _, s := range stores {
		if s.Holds(p.Key, p.Tokens, now) && (best == nil || s.transfer(p.Tokens, zone) < best.transfer(p.Tokens, zone)) {
			best = s
		}
	}
	return best
}

// keeperOf is the store that is to keep a part: the one with the most room. It
// is nil if the part is short, is being saved, or has no room anywhere.
func keeperOf(stores []*Store, p Part, zone string, now time.Time) *Store {
	if p.Tokens < leastKept {
		return nil
	}
	var best *Store
	bestRoom := 0
	for _, s := range stores {
		if v, ok := s.saving[p.Key]; ok && now.Sub(v.began) < saveFor {
			return nil
		}
		if !s.writable(now) || s.held[p.Key] > 0 {
			continue
		}
		room := s.room(now) - p.Tokens
		if room <= 0 {
			continue
		}
		if s.Zone == zone {
			room *= farFactor // a save within the domain is half as dear
		}
		if room > bestRoom {
			best, bestRoom = s, room
		}
	}
	return best
}
