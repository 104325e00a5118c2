// Package dispatch holds what one entry instance believes of backend servers, and
// decides by it where a request goes, whether it waits here, goes behind others or
// is turned away, and what its caller is told.
//
// It is pure: news, time and randomness are arguments. It has no clock, lock,
// socket or log; whoever drives it (the gateway with sockets, the emulator in
// virtual time) guards what it shares between goroutines. Every mechanism has a
// name, a switch and the load pattern that it answers: see Mechanisms.
package dispatch

import (
	"time"

	"github.com/galenaarch/galenaarch/placement"
)

// Rules of what is learned of a server.
const (
	// learnRate is the weight of the newest request in a mean.
	learnRate = 0.1
	// firstRest is how long a server rests after a failure; it doubles with
	// each further one up to maxRest.
	firstRest = 400 * time.Millisecond
	maxRest   = 4 * time.Second
	// restStreak is how many failures in a row rest a server that answers: one
	// may be an accident of its connection.
	restStreak = 3
	// shedRest follows a refusal of a full server. One that refuses with places
	// free carries out an order; firstOrderRest is assumed until it has shown how
	// long that takes, which is believed up to maxRest.
	shedRest       = 60 * time.Millisecond
	firstOrderRest = 400 * time.Millisecond
	// reportLife is how long a server's own word on its load is worth more than
	// what is known from words.
	reportLife = time.Second
	// silentLife is how long a server that control no longer hears of is used
	// because it answers this instance.
	silentLife = 2 * time.Second
	// muteAfter is how long a server with work must have said nothing at all, beyond
	// the time in which it reads what it has, to count as stuck; one that is only
	// slow goes on.
	muteAfter = 400 * time.Millisecond
	// unreadPause is assumed where a server wants nothing for a time that cannot
	// be read, longestPause bounds what is believed: a server that is better
	// sooner starts anew.
	unreadPause  = time.Second
	longestPause = 5 * time.Minute
	// pauseSpread is the part of a pause over which the instances come back.
	pauseSpread = 0.25
	// longestSpread bounds that span.
	longestSpread = time.Second
)

// Server is what is announced of one life of a backend server.
type Server struct {
	Zone string
	// Slots is how many requests it runs at once, MemoryTokens what its memory
	// holds; 0 where they are not known.
	Slots, MemoryTokens int
	// ColdUntil is when it reaches its usual speed.
	ColdUntil time.Time
}

// Work is what one request takes of a server.
type Work struct {
	// Unread are the tokens that it reads before the first event, Memory those
	// that it holds until its run ends.
	Unread, Memory int
	// Later work yields to all other.
	Later bool
}

// Load is work under way at a server.
type Load struct {
	Requests int
	// Reading tokens are read in turn, Later ones where nothing else is to be
	// read; Held is the memory taken; tokens.
	Reading, Later, Held int
}

func (l *Load) add(w Work, sign int) {
	l.Requests += sign
	l.Held += sign * w.Memory
	l.read(w, sign)
}

func (l *Load) read(w Work, sign int) {
	if w.Later {
		l.Later += sign * w.Unread
		return
	}
	l.Reading += sign * w.Unread
}

// Report is a server's own word on its queue.
type Report struct{ Running, Waiting, Slots int }

// Belief is what one entry instance believes of one life of a backend server.
type Belief struct {
	Server
	own Load
	// awaiting counts requests without a first byte; heard is when the server
	// last showed life, asked when awaiting rose from 0.
	awaiting     int
	heard, asked time.Time
	// silent is set while no control instance hears of the server.
	silent bool
	// mean is the usual time of a request; size the memory that one usually
	// takes, ran how long it usually holds it.
	mean time.Duration
	size float64
	ran  time.Duration
	// failing is the share of failures lately, streak how many came in a row.
	failing   float64
	streak    int
	restUntil time.Time
	trial     bool
	// shedSince is when it first refused with places free, orderRest how long
	// such refusals last.
	shedSince time.Time
	orderRest time.Duration
	// unexplained are requests that the server reported and nobody told of.
	unexplained float64
	reported    time.Time
	// leaving is set once the server has said so; it is never taken back.
	leaving bool
	// pausedUntil is when it wants requests again; allowed bounds the requests
	// under way after that, 0 for no bound.
	pausedUntil time.Time
	allowed     int
	// linkFree is when its transfers under way are over.
	linkFree time.Time
}

// NewBelief is what is believed of a server that was just announced.
func NewBelief(s Server, now time.Time) Belief {
	return Belief{Server: s, heard: now, orderRest: firstOrderRest}
}

// Own is what this instance has under way there.
func (b *Belief) Own() Load { return b.own }

// Sent counts a request that is about to be sent.
func (b *Belief) Sent(w Work, now time.Time) {
	b.own.add(w, 1)
	if w.Memory > 0 {
		if b.size == 0 {
			b.size = float64(w.Memory)
		}
		b.size += learnRate * (float64(w.Memory) - b.size)
	}
	if b.awaiting++; b.awaiting == 1 {
		b.asked = now
	}
}

// Begun counts a request whose answer has begun.
func (b *Belief) Begun(w Work, now time.Time) {
	b.Left(w)
	b.heard = now
}

// Left counts a request that is no longer waited for.
func (b *Belief) Left(w Work) {
	b.awaiting--
	b.own.read(w, -1)
}

// Heard notes any other sign of life.
func (b *Belief) Heard(now time.Time) { b.heard = now }

// Ended frees the place and the memory of a request; ran is how long it held
// them, 0 if it did not run.
func (b *Belief) Ended(w Work, ran time.Duration) {
	b.own.Requests--
	b.own.Held -= w.Memory
	if w.Memory == 0 || ran == 0 {
		return
	}
	if b.ran == 0 {
		b.ran = ran
	}
	// What is free again when is decided by the large ones.
	weight := min(1, float64(w.Memory)/max(1, b.size))
	b.ran += time.Duration(learnRate * weight * float64(ran-b.ran))
}

// Told takes a server's word on its load; others is what the other instances say
// that they have there.
func (b *Belief) Told(r Report, others Load, now time.Time) {
	b.unexplained = max(0, float64(r.Running+r.Waiting-b.own.Requests-others.Requests))
	b.reported = now
}

// Silent notes whether any control instance hears of the server.
func (b *Belief) Silent(silent bool) { b.silent = silent }

// Succeeded counts an answer of the usual kind that took a time.
func (b *Belief) Succeeded(took time.Duration, now time.Time) {
	b.streak, b.trial = 0, false
	b.failing *= 1 - learnRate
	if b.mean == 0 {
		b.mean = took
	}
	b.mean += time.Duration(learnRate * float64(took-b.mean))
	if !b.shedSince.IsZero() {
		b.orderRest += time.Duration(learnRate * float64(min(maxRest, now.Sub(b.shedSince))-b.orderRest))
		b.shedSince = time.Time{}
	}
	if b.allowed > 0 && !now.Before(b.pausedUntil) {
		if b.allowed *= 2; b.allowed > max(b.Slots, 1) {
			b.allowed = 0
		}
	}
}

// Failed counts a failure and returns how long the server rests for it. hard
// ones show that the server is not there at all.
func (b *Belief) Failed(hard bool, now time.Time) time.Duration {
	b.failing += learnRate * (1 - b.failing)
	b.streak++
	if !hard && b.streak < restStreak {
		return 0
	}
	rest := firstRest
	for i := 1; i < b.streak && rest < maxRest; i++ {
		rest *= 2
	}
	rest = min(rest, maxRest)
	b.restUntil, b.trial = now.Add(rest), true
	return rest
}

// Shed counts a request that the server turned away unrun and returns how long
// the server rests for it. One with free places carries out an order, which takes
// a while; a full one has places again soon. Without the rest, every request
// would be offered there first, at the cost of a repeat each.
func (b *Belief) Shed(r *Report, now time.Time) time.Duration {
	rest := shedRest
	if r != nil && r.Running+r.Waiting < r.Slots {
		rest = b.orderRest
		if b.shedSince.IsZero() {
			b.shedSince = now
		}
	}
	if until := now.Add(rest); until.After(b.restUntil) {
		b.restUntil = until
	}
	return rest
}

// Leave notes that the server says it leaves. Invariant: in one life this is
// never taken back.
func (b *Belief) Leave() { b.leaving = true }

// Leaving reports whether the server has said that it leaves.
func (b *Belief) Leaving() bool { return b.leaving }

// Pause notes that the server wants nothing for a time, 0 for one that cannot be
// read, and returns when it is asked again. Instances that were told at the same
// moment come back spread by at in [0, 1). Invariant: a pause is never shortened,
// neither by another word nor by an answer to what was sent before.
func (b *Belief) Pause(d time.Duration, now time.Time, at float64) time.Time {
	if d <= 0 {
		d = unreadPause
	}
	d = min(d, longestPause)
	d += time.Duration(at * float64(min(longestSpread, time.Duration(pauseSpread*float64(d)))))
	if until := now.Add(d); until.After(b.pausedUntil) {
		b.pausedUntil = until
	}
	b.allowed = 1
	return b.pausedUntil
}

// PausedUntil is when the server wants requests again.
func (b *Belief) PausedUntil() time.Time { return b.pausedUntil }

// Bring counts transfers of kept context to the server: they run one after
// another, and are over whether or not their prompt was read by then.
func (b *Belief) Bring(d time.Duration, now time.Time) {
	if now.After(b.linkFree) {
		b.linkFree = now
	}
	b.linkFree = b.linkFree.Add(d)
}

// Bringing is how long the transfers under way still take.
func (b *Belief) Bringing(now time.Time) time.Duration { return max(0, b.linkFree.Sub(now)) }

// Lost reports whether neither control nor this instance hears of the server.
func (b *Belief) Lost(now time.Time) bool { return b.silent && now.Sub(b.heard) > silentLife }

// Silence is how long the server has said nothing although it was asked.
func (b *Belief) Silence(now time.Time) time.Duration {
	if b.asked.After(b.heard) {
		return now.Sub(b.asked)
	}
	return now.Sub(b.heard)
}

// Mute reports whether the server has shown no life since a time, for long enough
// that it cannot only be slow: longer than engines that read at a pace read what
// this instance has there.
func (b *Belief) Mute(since, now time.Time, r *Reader) bool {
	return b.heard.Before(since) && now.Sub(since) >= b.patience(r)
}

// Stuck reports whether the server has said nothing for so long since it was asked.
func (b *Belief) Stuck(now time.Time, r *Reader) bool { return b.Silence(now) >= b.patience(r) }

func (b *Belief) patience(r *Reader) time.Duration {
	tokens := b.own.Reading + b.own.Later
	if tokens == 0 {
		return muteAfter
	}
	return muteAfter + time.Duration(float64(tokens)/r.Pace()*float64(time.Millisecond))
}

// View writes the server as a decision sees it: others is what other instances
// say that they have there, zone this instance's failure domain.
func (b *Belief) View(s *placement.Server, p *Policy, others Load, zone string, now time.Time) {
	*s = placement.Server{Near: b.Zone == zone, Slots: b.Slots, Mean: b.mean, Cold: now.Before(b.ColdUntil)}
	if b.awaiting > 0 && p.On(Silence) {
		s.Silence = b.Silence(now)
	}
	if !p.On(Words) {
		others = Load{}
	}
	unexplained := b.unexplained
	if age := now.Sub(b.reported); age > reportLife {
		unexplained *= float64(reportLife) / float64(age)
	}
	total := float64(b.own.Requests+others.Requests) + unexplained
	s.Running = min(total, float64(b.Slots))
	s.Waiting = total - s.Running
	s.ReadingTokens, s.LaterTokens = b.own.Reading+others.Reading, b.own.Later+others.Later
	if p.On(FailingCost) {
		s.Failing = b.failing
	}
	if b.MemoryTokens > 0 && p.On(RunMemory) {
		// Of what nobody told, only the number is known.
		s.MemoryTokens, s.RunTime = b.MemoryTokens, b.ran
		s.HeldTokens = b.own.Held + others.Held + int(unexplained*b.size)
	}
	if p.On(Rest) {
		s.Resting, s.Trial = now.Before(b.restUntil), b.trial
	}
	if b.allowed > 0 && b.own.Requests >= b.allowed {
		s.Resting = true // it comes back slowly
	}
}
