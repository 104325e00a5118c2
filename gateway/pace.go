package gateway

import (
	"net/http"
	"sync"

	"github.com/galenaarch/galenaarch/placement"
)

// paces are the speeds at which the engines of each service read.
type paces struct {
	mu    sync.Mutex
	known map[string]float64
}

// of is the speed of a service's engines; tokens a millisecond.
func (p *paces) of(service string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pace, ok := p.known[service]; ok {
		return pace
	}
	return placement.FirstPace
}

// learn takes an answered prompt that no other was read before and of which
// nothing had to be brought.
func (p *paces) learn(c *call, a *attempt) {
	if a.verdict != answered || a.status != http.StatusOK || c.ahead > 0 || a.fetched > 0 || c.unread == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old, ok := p.known[c.service.Name]
	if !ok {
		old = placement.FirstPace
	}
	if p.known == nil {
		p.known = make(map[string]float64)
	}
	p.known[c.service.Name] = placement.Pace(old, c.unread, a.head.Sub(a.began)-engineOverhead)
}
