package rig2

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Resumers are clients that begin streams at fronts chosen at random, and take up again, once, those
// that break off.
type Resumers struct {
	World *World
	// Path is that of the requests, Every the time between two, Deadline what clients wait in all, and
	// Gap how long they wait for an event.
	Path                 string
	Every, Deadline, Gap time.Duration

	mu      sync.Mutex
	usable  []*Machine
	left    time.Time
	results []resumerResult
}

// resumerResult is what became of one attempt; resumes is empty for the first one of a stream.
type resumerResult struct {
	resumes string
	began   time.Time
	events  int
}

// Run begins streams until stop is closed.
func (c *Resumers) Run(stop chan struct{}) {
	c.mu.Lock()
	c.usable = append(c.usable, c.World.Fronts...)
	c.mu.Unlock()
	ticker := time.NewTicker(c.Every)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		go c.ask(n)
	}
}

// Leave makes new attempts use the other fronts only. From then on new streams are counted.
func (c *Resumers) Leave(m *Machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = time.Now()
	for i, f := range c.usable {
		if f == m {
			c.usable = append(c.usable[:i:i], c.usable[i+1:]...)
			break
		}
	}
	c.World.Log("clients leave %s", m.Name)
}

func (c *Resumers) pick() *Machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.usable[rand.IntN(len(c.usable))]
}

// ask begins a stream, and takes it up again if it breaks off behind an event.
func (c *Resumers) ask(n int) {
	began, first, last := time.Now(), "", 0
	for range 2 {
		id, m := NewRequestID(), c.pick()
		r, err := NewRequest(http.MethodPost, m.FrontURL()+c.Path, id, c.Deadline-time.Since(began), "question")
		if err != nil {
			return
		}
		r.Header.Set("X-Model", "m0")
		r.Header.Set("X-Token-Usage", "80,160")
		r.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%08x:40,%08x:40", n%50, 1000+n))
		if last > 0 {
			r.Header.Set("Resumes", first)
			r.Header.Set("Last-Event-Id", strconv.Itoa(last))
		}
		c.World.Log("client sends %s to %s", id, m.Name)
		result := ReadStreamWithin(r, c.Gap)
		c.World.Log("%s answers %s: status %d, %d events, complete %v, error %v", m.Name, id, result.Status, len(result.Events), result.Complete, result.Err)
		c.mu.Lock()
		c.results = append(c.results, resumerResult{first, began, len(result.Events)})
		c.mu.Unlock()
		if first != "" {
			c.World.Log("client takes up %s after event %d, as %s at %s: status %d, %d events, complete %v; it began %.1f s before", first, last, id, m.Name, result.Status, len(result.Events), result.Complete, time.Since(began).Seconds())
		}
		if result.Complete || len(result.Events) == 0 || time.Since(began) > c.Deadline-500*time.Millisecond {
			return
		}
		first, last = id, result.Events[len(result.Events)-1].ID
	}
}

// Judge compares the share of the streams taken up again that go on with that of the new streams that
// begin. The rule counts from 12 streams on.
func (c *Resumers) Judge() (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var fresh, begin, resumed, goOn int
	for _, r := range c.results {
		switch {
		case r.resumes != "":
			resumed++
			if r.events > 0 {
				goOn++
			}
		case !r.began.Before(c.left):
			fresh++
			if r.events > 0 {
				begin++
			}
		}
	}
	text := fmt.Sprintf("%d streams taken up again, %d go on; %d new streams, %d begin", resumed, goOn, fresh, begin)
	c.World.Log("%s", text)
	fmt.Println(text)
	if fresh == 0 || begin*2 < fresh {
		return 0, fmt.Errorf("new streams don't begin")
	}
	if resumed < 12 {
		if c.World.Trouble {
			return 0, fmt.Errorf("too few streams were taken up again")
		}
		return Held, nil
	}
	if float64(goOn)/float64(resumed) < 0.5*float64(begin)/float64(fresh) {
		return Broken, nil
	}
	return Held, nil
}
