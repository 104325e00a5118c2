package engine

import (
	"container/list"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/galenaarch/galenaarch/api/backend"
)

// maxRetainedEvents is the number of cache events retained for readers.
const maxRetainedEvents = 4096

// prefixCache is an LRU prefix cache that publishes insertions and evictions as
// cache events.
type prefixCache struct {
	mu sync.Mutex
	// capacity is the maximum number of blocks.
	capacity     int
	lru          *list.List
	blocks       map[string]*list.Element
	events       []delayedEvent
	lastSequence uint64
	// trimmedThrough is the highest sequence number that is no longer retained.
	trimmedThrough uint64
	// eventDelay is the delay of events, eventLoss the fraction that is never
	// published, from 0 to 1.
	eventDelay time.Duration
	eventLoss  float64
	random     *rand.Rand
}

// delayedEvent is a cache event that is returned to readers only from visibleAt on.
type delayedEvent struct {
	backend.CacheEvent
	visibleAt time.Time
}

// newPrefixCache returns an empty cache of size blocks. Events become visible after
// delay; the fraction loss of them, from 0 to 1, is dropped.
func newPrefixCache(size int, delay time.Duration, loss float64) *prefixCache {
	return &prefixCache{
		capacity: size, lru: list.New(), blocks: make(map[string]*list.Element),
		eventDelay: delay, eventLoss: loss, random: rand.New(rand.NewPCG(uint64(size), eventLossSeed)),
	}
}

// eventLossSeed makes the loss of events reproducible.
const eventLossSeed = 20

// matchPrefix returns the number of leading keys that are cached and marks them as
// recently used.
func (c *prefixCache) matchPrefix(keys []string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, key := range keys {
		element, ok := c.blocks[key]
		if !ok {
			return i
		}
		c.lru.MoveToFront(element)
	}
	return len(keys)
}

// contains reports whether a block is cached, without marking it as used.
func (c *prefixCache) contains(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.blocks[key]
	return ok
}

// insert caches blocks and evicts the least recently used ones beyond the capacity.
func (c *prefixCache) insert(keys []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var stored, evicted []string
	for _, key := range keys {
		if element, ok := c.blocks[key]; ok {
			c.lru.MoveToFront(element)
			continue
		}
		c.blocks[key] = c.lru.PushFront(key)
		stored = append(stored, key)
	}
	for c.lru.Len() > c.capacity {
		element := c.lru.Back()
		key := element.Value.(string)
		c.lru.Remove(element)
		delete(c.blocks, key)
		evicted = append(evicted, key)
	}
	c.publish("stored", stored)
	c.publish("removed", evicted)
}

// clear evicts all blocks.
func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lru.Init()
	clear(c.blocks)
	c.appendEvent("cleared", nil)
}

// publish appends an event about keys, unless there are none. The caller must hold c.mu.
func (c *prefixCache) publish(kind string, keys []string) {
	if len(keys) == 0 {
		return
	}
	c.appendEvent(kind, keys)
}

// appendEvent assigns the next sequence number to an event and retains the event,
// unless the simulated loss drops it. The caller must hold c.mu.
func (c *prefixCache) appendEvent(kind string, keys []string) {
	c.lastSequence++
	if c.random.Float64() < c.eventLoss {
		return
	}
	c.events = append(c.events, delayedEvent{
		CacheEvent: backend.CacheEvent{Sequence: c.lastSequence, Type: kind, Keys: keys},
		visibleAt:  time.Now().Add(c.eventDelay),
	})
	if excess := len(c.events) - maxRetainedEvents; excess > 0 {
		c.trimmedThrough = c.events[excess-1].Sequence
		c.events = append([]delayedEvent(nil), c.events[excess:]...)
	}
}

// eventsAfter returns the visible events after a sequence number. It returns a snapshot
// of the cached keys instead if one is requested, if those events are no longer retained,
// or if the sequence number was never assigned.
func (c *prefixCache) eventsAfter(incarnation, after uint64, full bool, now time.Time) backend.CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	page := backend.CacheEvents{Incarnation: incarnation, LastSequence: after, Events: []backend.CacheEvent{}}
	if full || after > c.lastSequence || after < c.trimmedThrough {
		page.Snapshot = true
		page.LastSequence = c.lastSequence
		for key := range c.blocks {
			page.Keys = append(page.Keys, key)
		}
		return page
	}
	for _, event := range c.events {
		if event.visibleAt.After(now) {
			break
		}
		if event.Sequence > after {
			page.Events = append(page.Events, event.CacheEvent)
			page.LastSequence = event.Sequence
		}
	}
	return page
}
