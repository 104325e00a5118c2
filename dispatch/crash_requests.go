package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// What makes a request the cause of crashes. At which stage of the response they came says
// nothing, as do earlier answers.
const (
	requestCrashes = 3
	// backgroundCrashes is what a request needs where servers end for other reasons too:
	// sound requests that clients send again are hit several times there.
	backgroundCrashes = 4
	// doubtfulRequestCrashes is what a request needs if another one shares minSharedCrashes
	// and has as many, or if all crashes are of one server, which may end by itself.
	doubtfulRequestCrashes = 5
	minSharedCrashes       = 2
	// requestMargin is the lead over those others without which the first round of
	// quarantine is short.
	requestMargin = 2
	// Servers end for other reasons if in backgroundTime there were crashes at
	// backgroundGroups times outside those of the request, and of others with as many as
	// requestCrashes.
	backgroundTime   = 30 * time.Second
	backgroundGroups = 3
	// sentAllowance is how much before another crash a request may have been sent, by times
	// that instances report to each other, to count as sent after it.
	sentAllowance = 15 * time.Millisecond
)

// requestCharge is the unexplained crashes under a request without an answer since, the
// oldest first.
type requestCharge struct {
	request CrashCause
	crashes []*crash
}

func (c *requestCharge) last() time.Time { return c.crashes[len(c.crashes)-1].at }

// requestCharges returns the crashes of each request, the request with the most first.
func (e *CrashEvidence) requestCharges(settled []*crash) (charges []*requestCharge) {
	of := make(map[CrashCause]*requestCharge)
	for _, c := range settled {
		if c.explained || c.requests == 0 {
			continue
		}
		for p := range c.suspects {
			if !p.IsRequest() || !e.lastAnswer(p).Before(c.at) {
				continue
			}
			charge := of[p]
			if charge == nil {
				charge = &requestCharge{request: p}
				of[p] = charge
			}
			charge.crashes = append(charge.crashes, c)
		}
	}
	for _, c := range of {
		charges = append(charges, c)
	}
	slices.SortFunc(charges, func(a, b *requestCharge) int {
		return cmp.Or(len(b.crashes)-len(a.crashes), a.request.compare(b.request))
	})
	return charges
}

// separate counts the crashes that do not have one cause outside the request: the request was
// sent to the server after the crash counted before or, if that is not known, crashGroupTime
// lies between them.
func (c *requestCharge) separate() (count int) {
	var counted time.Time
	for _, of := range c.crashes {
		sent, known := of.sent[c.request]
		if count == 0 || (known && !sent.Add(sentAllowance).Before(counted)) || of.at.Sub(counted) >= crashGroupTime {
			count, counted = count+1, of.at
		}
	}
	return count
}

// ofOneServer reports whether all crashes are of one server.
func (c *requestCharge) ofOneServer() bool {
	return !slices.ContainsFunc(c.crashes, func(of *crash) bool { return of.run.Server != c.crashes[0].run.Server })
}

// shared counts the crashes under both requests.
func (c *requestCharge) shared(other *requestCharge) (shared int) {
	for _, crash := range c.crashes {
		if slices.Contains(other.crashes, crash) {
			shared++
		}
	}
	return shared
}

// rivals returns the most crashes of another request that shares minSharedCrashes.
func (c *requestCharge) rivals(charges []*requestCharge) (most int) {
	for _, other := range charges {
		if other != c && c.shared(other) >= minSharedCrashes {
			most = max(most, len(other.crashes))
		}
	}
	return most
}

// crashesBeside reports whether servers end for other reasons too.
func (c *requestCharge) crashesBeside(charges []*requestCharge, settled []*crash) bool {
	var beside []time.Time
	for _, of := range settled {
		under := func(other *requestCharge) bool {
			return (other == c || len(other.crashes) >= requestCrashes) && slices.Contains(other.crashes, of)
		}
		if !of.explained && !slices.ContainsFunc(charges, under) {
			beside = append(beside, of.at)
		}
	}
	return crashGroups(beside, c.last().Add(-backgroundTime), c.last()) >= backgroundGroups
}

// guiltyRequests returns the request with the most crashes if they suffice, and with it those
// that have the same crashes. clear is set if no other request may be the cause instead.
func guiltyRequests(charges []*requestCharge, settled []*crash) (guilty []*requestCharge, clear bool) {
	for i, c := range charges {
		if len(c.crashes) < requestCrashes {
			break // so have the others; comparing each with all takes too long
		}
		count := c.separate()
		if count < requestCrashes {
			continue
		}
		background := c.crashesBeside(charges, settled)
		rivals := c.rivals(charges)
		needed := requestCrashes
		switch {
		case c.ofOneServer() || rivals >= len(c.crashes):
			needed = doubtfulRequestCrashes
		case background:
			needed = backgroundCrashes
		}
		if count < needed {
			continue
		}
		for _, other := range charges[i:] {
			if slices.Equal(other.crashes, c.crashes) {
				guilty = append(guilty, other)
			}
		}
		return guilty, count >= doubtfulRequestCrashes || (!background && rivals <= len(c.crashes)-requestMargin)
	}
	return nil, false
}
