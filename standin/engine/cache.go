package engine

import (
	"container/list"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/galenaarch/galenaarch/api/backend"
)

// maxEvents is the number of cache events kept for readers.
const maxEvents = 4096

// cache is a prefix cache of limited size that drops the block used longest
// ago and publishes what it stores and drops.
type cache struct {
	mu     sync.Mutex
	size   int
	order  *list.List
	blocks map[string]*list.Element
	events []timedEvent
	last   uint64
	// dropped is the newest sequence number no longer kept.
	dropped uint64
	// delay and loss say how late events come and how many never do.
	delay  time.Duration
	loss   float64
	random *rand.Rand
}

// timedEvent is an event with the time from which readers see it.
type timedEvent struct {
	backend.CacheEvent
	visible time.Time
}

func newCache(size int, delay time.Duration, loss float64) *cache {
	return &cache{
		size: size, order: list.New(), blocks: make(map[string]*list.Element),
		delay: delay, loss: loss, random: rand.New(rand.NewPCG(uint64(size), lossSeed)),
	}
}

const lossSeed = 20

// prefix returns how many leading keys are cached and marks them used.
func (c *cache) prefix(keys []string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, k := range keys {
		el, ok := c.blocks[k]
		if !ok {
			return i
		}
		c.order.MoveToFront(el)
	}
	return len(keys)
}

// has reports whether a block is cached.
func (c *cache) has(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.blocks[key]
	return ok
}

// store caches blocks.
func (c *cache) store(keys []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var stored, removed []string
	for _, k := range keys {
		if el, ok := c.blocks[k]; ok {
			c.order.MoveToFront(el)
			continue
		}
		c.blocks[k] = c.order.PushFront(k)
		stored = append(stored, k)
	}
	for c.order.Len() > c.size {
		el := c.order.Back()
		k := el.Value.(string)
		c.order.Remove(el)
		delete(c.blocks, k)
		removed = append(removed, k)
	}
	c.publish("stored", stored)
	c.publish("removed", removed)
}

// clear drops everything.
func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.order.Init()
	clear(c.blocks)
	c.append("cleared", nil)
}

func (c *cache) publish(kind string, keys []string) {
	if len(keys) == 0 {
		return
	}
	c.append(kind, keys)
}

// append numbers an event and keeps it for readers, unless it is to be lost.
func (c *cache) append(kind string, keys []string) {
	c.last++
	if c.random.Float64() < c.loss {
		return
	}
	c.events = append(c.events, timedEvent{
		CacheEvent: backend.CacheEvent{Sequence: c.last, Type: kind, Keys: keys},
		visible:    time.Now().Add(c.delay),
	})
	if over := len(c.events) - maxEvents; over > 0 {
		c.dropped = c.events[over-1].Sequence
		c.events = append([]timedEvent(nil), c.events[over:]...)
	}
}

// page returns the events after a sequence number that are visible by now, or
// a full listing if that is asked for or the events are gone.
func (c *cache) page(incarnation, after uint64, full bool, now time.Time) backend.CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	page := backend.CacheEvents{Incarnation: incarnation, LastSequence: after, Events: []backend.CacheEvent{}}
	if full || after > c.last || after < c.dropped {
		page.Snapshot = true
		page.LastSequence = c.last
		for k := range c.blocks {
			page.Keys = append(page.Keys, k)
		}
		return page
	}
	for _, ev := range c.events {
		if ev.visible.After(now) {
			break
		}
		if ev.Sequence > after {
			page.Events = append(page.Events, ev.CacheEvent)
			page.LastSequence = ev.Sequence
		}
	}
	return page
}
