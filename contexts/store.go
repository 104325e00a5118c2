// Package contexts keeps an entry instance's picture of what the stores of kept
// contexts hold, and decides from where the parts of a prompt are read and
// where they are kept. The decisions have no clock, network or platform.
package contexts

import (
	"math"
	"slices"
	"time"
)

// Key names a part of a prompt under a salt: the same part under another salt
// is another context.
type Key struct{ Salt, Part string }

// Rules of reading and keeping.
const (
	// FreshFor is how old a store's last word may be for its parts to be read:
	// a part that was lost and is being written again must not be taken for the
	// whole one it was.
	FreshFor = 1500 * time.Millisecond
	// settleFor is how long a restarted store is not written to: by then every
	// instance has noticed that it lost what it held.
	settleFor = 2500 * time.Millisecond
	// saveFor is how long a save under way keeps its place and is not repeated.
	saveFor = 4 * time.Second
	// leastKept is the shortest part that is kept; tokens, an engine's block.
	leastKept = 16
	// slowSamples is of how many transfers the fastest one says how slow a store
	// is: what else delayed an answer, at a busy engine, is in the others.
	slowSamples = 3
	// forgetAfter is the time in which a slowness is half forgotten: a store that
	// is spared for it would otherwise never be tried again.
	forgetAfter = 2 * time.Second
	// maxSlow bounds the slowness that is believed.
	maxSlow = 50
	// roomShare is the part of a store that is filled: other instances fill it
	// at the same time.
	roomShare = 0.99
)

// Change is a part that a store completed or lost.
type Change struct {
	Key
	// Tokens is what is kept now; 0 after the loss.
	Tokens int
}

// Changes is a store's word on what changed.
type Changes struct {
	// Epoch is the life of the store; Next the cursor for the next question.
	Epoch, Next uint64
	// Gap says that changes before these are lost.
	Gap     bool
	Changes []Change
	// Leaving says that an engine gets no new requests any more.
	Leaving bool
}

// Store is the picture of one store. It is not safe for concurrent use.
type Store struct {
	Address, Zone string
	// Capacity is the room in tokens, Rate what its link brings in a
	// millisecond in tokens, FirstDelay what each transfer waits besides.
	Capacity   int
	Rate       float64
	FirstDelay time.Duration
	// Engine marks a backend server, which is nowhere ordered to keep a part.
	Engine bool

	epoch, next uint64
	// began is when this life of the store was first seen; zero for the first
	// life, which nobody has read from before.
	began  time.Time
	heard  time.Time
	held   map[Key]int
	used   int
	saving map[Key]save
	// ratios are how many times as long as by its figures the last transfers took,
	// sampled how many there were, slow the least of them, as of slowAt.
	ratios  [slowSamples]float64
	sampled int
	slow    float64
	slowAt  time.Time
	// steady says that no slowness is believed.
	steady bool
	// linkFree is when this instance's transfers under way are over, by the store's
	// figures: they run one after another.
	linkFree time.Time
	// told is set if the picture is another instance's, which does not tell of
	// all that an engine holds: see tells.
	told bool
	// journal notes what others are to be told; nil if nobody is.
	journal *journal
}

type save struct {
	tokens int
	began  time.Time
}

// NewStore returns an empty picture.
func NewStore(address, zone string) *Store {
	return &Store{Address: address, Zone: zone, held: make(map[Key]int), saving: make(map[Key]save)}
}

// Cursor is what to ask for next.
func (s *Store) Cursor() uint64 { return s.next }

// Take applies a store's word, given at a time or later. It returns false if
// the picture has a gap and must be replaced by a listing.
func (s *Store) Take(c *Changes, now time.Time) bool {
	if c.Epoch != s.epoch {
		if s.epoch != 0 {
			s.began = now
		}
		s.epoch = c.Epoch
		s.clear()
		if s.next > 0 {
			// The changes after the old cursor are of another life.
			s.next = 0
			s.heard = time.Time{}
			return true
		}
	}
	if c.Gap {
		s.clear()
		s.heard = time.Time{}
		return false
	}
	for _, change := range c.Changes {
		s.apply(change)
	}
	s.next, s.heard = c.Next, now
	return true
}

// Replace takes a whole listing.
func (s *Store) Replace(c *Changes, now time.Time) {
	if c.Epoch != s.epoch && s.epoch != 0 {
		s.began = now
	}
	s.clear()
	s.epoch, s.next, s.heard = c.Epoch, c.Next, now
	for _, change := range c.Changes {
		s.apply(change)
	}
}

// Skip goes on behind a gap without knowing what was before it: what an engine
// caches changes all the time, so that the picture soon fills again.
func (s *Store) Skip(c *Changes, now time.Time) {
	s.clear()
	s.epoch, s.next, s.heard = c.Epoch, c.Next, now
}

// Lose forgets everything until the store is heard again.
func (s *Store) Lose() {
	s.clear()
	s.next, s.heard = 0, time.Time{}
}

func (s *Store) clear() {
	if s.journal != nil {
		s.journal.add(record{address: s.Address, anew: true})
	}
	clear(s.held)
	clear(s.saving)
	s.used = 0
}

func (s *Store) apply(c Change) {
	if s.journal != nil && s.tells(max(c.Tokens, s.held[c.Key])) {
		s.journal.add(record{address: s.Address, change: c})
	}
	s.used += c.Tokens - s.held[c.Key]
	delete(s.saving, c.Key)
	if c.Tokens == 0 {
		delete(s.held, c.Key)
		return
	}
	s.held[c.Key] = c.Tokens
}

// Fresh reports whether the picture may be acted upon.
func (s *Store) Fresh(now time.Time) bool { return !s.heard.IsZero() && now.Sub(s.heard) < FreshFor }

// Holds reports whether the store surely has a whole part.
func (s *Store) Holds(k Key, tokens int, now time.Time) bool {
	return s.Fresh(now) && tokens > 0 && s.held[k] >= tokens
}

// tells reports whether others are told of a part of so many tokens. Of a store
// they are told of every part that may be kept: parts follow each other, so that
// a short first one that nobody knows of hides all that is kept behind it (many
// entry instances, prompts that begin with a short part in common).
func (s *Store) tells(tokens int) bool {
	if s.Engine {
		return tokens >= LeastTold
	}
	return tokens >= leastKept
}

// everything lists all that is held and told of.
func (s *Store) everything() News {
	n := News{Address: s.Address, Epoch: s.epoch, Anew: true}
	for k, tokens := range s.held {
		if s.tells(tokens) {
			n.Changes = append(n.Changes, Change{Key: k, Tokens: tokens})
		}
	}
	return n
}

// slowness is what is believed now; 1 is as fast as the figures say.
func (s *Store) slowness(now time.Time) float64 {
	if s.slow <= 1 || s.steady {
		return 1
	}
	return 1 + (s.slow-1)*math.Exp2(-float64(now.Sub(s.slowAt))/float64(forgetAfter))
}

// learn takes the time of a transfer that would have taken expected. A mean would
// take the waits of busy engines for slow stores, and dismiss transfers when
// reading is scarcest (many callers at once).
func (s *Store) learn(took, expected time.Duration, now time.Time) {
	s.ratios[s.sampled%slowSamples] = min(maxSlow, max(1, float64(took)/float64(expected)))
	s.sampled++
	if s.sampled < slowSamples {
		return
	}
	s.slow, s.slowAt = slices.Min(s.ratios[:]), now
}

// room is what may still be kept, with the saves under way taken off.
func (s *Store) room(now time.Time) int {
	room := int(roomShare*float64(s.Capacity)) - s.used
	for k, v := range s.saving {
		if now.Sub(v.began) > saveFor {
			delete(s.saving, k)
			continue
		}
		room -= v.tokens
	}
	return room
}

func (s *Store) writable(now time.Time) bool {
	return s.Fresh(now) && (s.began.IsZero() || now.Sub(s.began) > settleFor)
}
