package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenaarch/galenaarch/placement"
)

// Place is the order in which a request waits.
type Place struct {
	// Later ones wait behind all others; below that, a lower Rank is more urgent.
	Later bool
	Rank  int
	// StartBy is when it must go to a server to be answered on time.
	StartBy time.Time
}

// Before reports whether a place is before another one.
func (p Place) Before(q Place) bool {
	if p.Later != q.Later {
		return q.Later
	}
	return cmp.Or(cmp.Compare(p.Rank, q.Rank), p.StartBy.Compare(q.StartBy)) < 0
}

// Waiter is a request that waits for room at a server.
type Waiter struct {
	Place
	// Memory is what it will take of a server's memory; tokens.
	Memory int
	// Try decides what becomes of the request now and carries it out; it reports
	// whether the request no longer waits, and else which server it waits for,
	// empty for none. claimed names the servers that requests before it wait for.
	Try func(claimed map[string]bool) (done bool, waitsFor string)

	gone bool
}

// Line holds the requests that wait at one instance for room at the servers of
// one service, the most urgent first. It answers many callers at once, whose
// prompts would fill the servers' memory: what waits at a server has lost the
// choice of another one, holds back what is more urgent, is read though its caller
// has left, and pushes out what others would have found.
//
// Invariant: a request takes no server that one before it waits for, so that small
// ones do not keep a large one waiting for ever.
type Line struct {
	waiting []*Waiter
	claimed map[string]bool
}

// Bounds of one look along the line.
const (
	// mostHeld is how many requests may be found to be still waiting before the
	// look ends: what holds them holds those behind them too.
	mostHeld = 8
	// mostWaiting bounds the line.
	mostWaiting = 4096
)

// Len is how many requests wait.
func (l *Line) Len() int { return len(l.waiting) }

// Full reports whether no further request may wait.
func (l *Line) Full() bool { return len(l.waiting) >= mostWaiting }

// Ahead is the memory that those take that wait before a place; tokens.
func (l *Line) Ahead(p Place) int {
	tokens := 0
	for _, w := range l.waiting {
		if w.Before(p) {
			tokens += w.Memory
		}
	}
	return tokens
}

// Claimed names the servers that requests before a place wait for, as of the last
// look.
func (l *Line) Claimed(p Place) map[string]bool {
	if len(l.waiting) == 0 || !l.waiting[0].Before(p) {
		return nil
	}
	return l.claimed
}

// Join lets a request wait.
func (l *Line) Join(w *Waiter) {
	i, _ := slices.BinarySearchFunc(l.waiting, w, func(a, b *Waiter) int {
		if b.Before(a.Place) {
			return 1
		}
		return -1
	})
	l.waiting = slices.Insert(l.waiting, i, w)
}

// Leave ends the waiting of a request.
func (l *Line) Leave(w *Waiter) {
	w.gone = true
	l.waiting = slices.DeleteFunc(l.waiting, func(x *Waiter) bool { return x == w })
}

// Look has those that wait tried in their order.
func (l *Line) Look() {
	if len(l.waiting) == 0 {
		return
	}
	claimed, held := make(map[string]bool), 0
	kept := l.waiting[:0:0]
	for n, w := range l.waiting {
		if w.gone {
			continue
		}
		if held >= mostHeld {
			kept = append(kept, l.waiting[n:]...)
			break
		}
		done, waitsFor := w.Try(claimed)
		if done {
			w.gone = true
			continue
		}
		kept = append(kept, w)
		held++
		if waitsFor != "" {
			claimed[waitsFor] = true
		}
	}
	l.waiting, l.claimed = kept, claimed
	slices.SortStableFunc(l.waiting, func(a, b *Waiter) int {
		switch {
		case a.Before(b.Place):
			return -1
		case b.Before(a.Place):
			return 1
		}
		return 0
	})
}

// RoomIn is the time until servers have freed so much memory besides what is free
// now: their runs end evenly. A server of which it is not known how long runs last
// is like the others.
func RoomIn(servers []placement.Server, tokens int) time.Duration {
	held, known, runs := 0, 0, time.Duration(0)
	for i := range servers {
		held += servers[i].HeldTokens
		if servers[i].RunTime > 0 {
			known++
			runs += servers[i].RunTime
		}
	}
	if known == 0 || held == 0 || tokens <= 0 {
		return 0
	}
	perToken := float64(runs) / float64(known) / float64(held)
	return time.Duration(float64(tokens) * perToken)
}
