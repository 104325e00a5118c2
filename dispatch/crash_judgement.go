package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// What makes a part the cause of crashes. Each crash under the part counts
// begunStrength or waitingStrength.
const (
	begunStrength   = 2
	waitingStrength = 1
	// quarantineStrength is what a part needs that was not answered recently: three
	// crashes after the response had begun.
	quarantineStrength = 3 * begunStrength
	// strongCharge is what a part needs beside more than 1 - minCrashShare of crashes
	// without it: the servers end for other reasons too.
	strongCharge  = 5 * begunStrength
	minCrashShare = 0.5
	// answeredCharge is what a part needs that was answered within answeredTTL before the
	// crashes, or that has the same crashes as another part.
	answeredCharge = 6 * begunStrength
	// minBegunShare is the part of the crashes under a part that must follow the beginning
	// of a response if the part was answered before. Long prompts that are nearly always
	// in flight have a smaller share.
	minBegunShare = 0.8
	// answeredMargin is by how much the charge of such a part must exceed that of any
	// other.
	answeredMargin = 2 * begunStrength
	// maxEndedAnswered is the number of servers that may end under a part that was answered
	// before, until requests with it are no longer repeated.
	maxEndedAnswered = 3
	// maxEndedRequest is the number of servers that may end under a request, until it is no
	// longer repeated.
	maxEndedRequest = 2
	// Crashes within crashGroupTime may have one cause outside the prompts, as the loss
	// of a failure domain. They blame a part only if it has crashes of other times too.
	crashGroupTime  = 300 * time.Millisecond
	minCrashGroups  = 3
	minGroupsOfMany = 2
	// minOutside and minOutsideShare are how many crashes under a part must not be under any
	// one request.
	minOutside      = 2
	minOutsideShare = 0.5
	// settleTime is how long a crash waits for the reports of other instances.
	settleTime = 400 * time.Millisecond
	// transitAllowance is taken off the times of answers and of signs of life of which
	// another instance reports, so that one before a crash does not count as one after it.
	transitAllowance = 300 * time.Millisecond
)

// charge is what the unexplained crashes say about one part.
type charge struct {
	part     CrashCause
	strength int
	begun    int // crashes after the response had begun
	crashes  []time.Time
	byCrash  map[*crash]int // strength
	answered bool           // recently before the crashes
}

// enough reports whether a charge suffices for a quarantine. all are the times of all
// unexplained crashes, ascending.
func (c *charge) enough(all []time.Time) bool {
	slices.SortFunc(c.crashes, time.Time.Compare)
	first, last := c.crashes[0], c.crashes[len(c.crashes)-1]
	groups := crashGroups(c.crashes, first, last)
	rare := float64(groups) < minCrashShare*float64(crashGroups(all, first, last))
	switch {
	case c.answered:
		return !rare && c.mostlyBegun() && begunStrength*c.begun >= answeredCharge && groups >= minCrashGroups
	case rare:
		return c.strength >= strongCharge && groups >= minCrashGroups
	default:
		return begunStrength*c.begun >= quarantineStrength && groups >= minCrashGroups || c.strength >= strongCharge && groups >= minGroupsOfMany
	}
}

// mostlyBegun reports whether the crashes followed the beginning of a response.
func (c *charge) mostlyBegun() bool {
	return float64(c.begun) >= minBegunShare*float64(len(c.crashes))
}

// under reports whether all crashes of c were under another part too, with at least the
// same strength.
func (c *charge) under(other *charge) bool {
	for of, strength := range c.byCrash {
		if other.byCrash[of] < strength {
			return false
		}
	}
	return true
}

// doubtedFor reports whether another part may be the cause instead.
func (c *charge) doubtedFor(other *charge) bool {
	switch {
	case c.answered && other.mostlyBegun() && other.strength > c.strength-answeredMargin && !other.under(c):
		return true
	case other.strength < c.strength || !c.under(other) || (other.answered && !other.mostlyBegun()):
		return false
	case other.strength > c.strength:
		return true
	case other.answered != c.answered:
		return c.answered
	default:
		return c.strength < answeredCharge
	}
}

// crashGroups counts the crashes between two times, those within crashGroupTime as one.
func crashGroups(crashes []time.Time, first, last time.Time) (groups int) {
	from := time.Time{}
	for _, at := range crashes {
		if at.Before(first) || at.After(last) {
			continue
		}
		if groups == 0 || at.Sub(from) >= crashGroupTime {
			groups, from = groups+1, at
		}
	}
	return groups
}

// judge puts the causes into quarantine that explain the crashes, and reports whether it
// did. Requests go before parts, and of either the one with the most unexplained crashes
// first; its crashes no longer count against what was only beside it.
func (e *CrashEvidence) judge(now time.Time) (changed bool) {
	e.judgedAt, e.unjudged = now, false
	for {
		e.explain()
		settled := e.settledCrashes(now)
		if requests, clear := guiltyRequests(e.requestCharges(settled), settled); len(requests) > 0 {
			for _, c := range requests {
				e.convict(c.request, c.last(), !clear)
			}
			changed = true
			continue
		}
		charges, all := e.charges(settled)
		guilty := e.guiltyElsewhere(charges)
		if len(guilty) == 0 {
			guilty = e.chooseGuilty(charges, all)
		}
		if len(guilty) == 0 {
			return changed
		}
		for _, c := range guilty {
			e.convict(c.part, slices.MaxFunc(c.crashes, time.Time.Compare), false)
		}
		changed = true
	}
}

// convict begins the next round of a cause's quarantine after its last crash. A first round
// is short if the cause is in doubt.
func (e *CrashEvidence) convict(p CrashCause, last time.Time, doubtful bool) {
	round, period := 1, quarantineTime
	if q := e.quarantined[p]; q != nil {
		round = q.round + 1
		period = quarantinePeriod(round)
	} else if doubtful {
		period = doubtfulTime
	}
	e.setQuarantine(p, quarantine{round: round, since: last, ends: last.Add(period)})
}

// guiltyElsewhere returns the parts under which a server has ended after its response had
// begun, and that are quarantined at another service: a route may split its requests among
// services, and its servers crash under the part at all of them.
func (e *CrashEvidence) guiltyElsewhere(charges []*charge) (guilty []*charge) {
	for _, c := range charges {
		if c.begun > 0 && !c.answered && e.quarantinedElsewhere(c.part) {
			guilty = append(guilty, c)
		}
	}
	return guilty
}

// quarantinedElsewhere reports whether a part is quarantined at another service.
func (e *CrashEvidence) quarantinedElsewhere(p CrashCause) bool {
	for other, q := range e.quarantined {
		if other.Part == p.Part && other.Service != p.Service && !q.lifted {
			return true
		}
	}
	return false
}

// explain marks the crashes under quarantined causes.
func (e *CrashEvidence) explain() {
	if len(e.quarantined) == 0 {
		return
	}
	for _, c := range e.crashes {
		if c.explained || !c.ended {
			continue
		}
		for p := range c.suspects {
			if e.active(p) {
				c.explained, c.byRequest = true, c.byRequest || p.IsRequest()
			}
		}
		if c.explained && !c.byRequest {
			maps.DeleteFunc(c.suspects, func(p CrashCause, _ bool) bool { return !p.IsRequest() && !e.active(p) })
		}
	}
}

// active reports whether a cause is in quarantine.
func (e *CrashEvidence) active(p CrashCause) bool {
	q := e.quarantined[p]
	return q != nil && !q.lifted
}

// settledCrashes returns the crashes of incarnations that have ended and of which the other
// instances have reported, the oldest first.
func (e *CrashEvidence) settledCrashes(now time.Time) (settled []*crash) {
	e.judgeAt = time.Time{}
	for _, c := range e.crashes {
		if !c.ended || (c.explained && !c.byRequest) {
			continue
		}
		at := c.at.Add(settleTime)
		if !now.Before(at) {
			settled = append(settled, c)
		} else if e.judgeAt.IsZero() || at.Before(e.judgeAt) {
			e.judgeAt = at
		}
	}
	slices.SortFunc(settled, func(a, b *crash) int { return cmp.Or(a.at.Compare(b.at), a.run.compare(b.run)) })
	return settled
}

// charges adds up the crashes of each part, the strongest charge first, and returns the times
// of all of them: the unexplained ones, and one for each quarantined request.
func (e *CrashEvidence) charges(settled []*crash) (charges []*charge, all []time.Time) {
	byPart := make(map[CrashCause]*charge)
	count := func(c *crash, wanted func(CrashCause) bool) {
		all = append(all, c.at)
		for p, begun := range c.suspects {
			if p.IsRequest() || (wanted != nil && !wanted(p)) {
				continue
			}
			answered := e.lastAnswer(p)
			if !answered.Before(c.at) {
				continue
			}
			of := byPart[p]
			if of == nil {
				of = &charge{part: p, byCrash: make(map[*crash]int)}
				byPart[p] = of
			}
			of.crashes = append(of.crashes, c.at)
			of.answered = of.answered || c.at.Sub(answered) < answeredTTL
			strength := waitingStrength
			if begun {
				strength = begunStrength
				of.begun++
			}
			of.byCrash[c], of.strength = strength, of.strength+strength
		}
	}
	for _, c := range settled {
		if !c.explained {
			count(c, nil)
		}
	}
	for _, crashes := range e.crashesOfRequests(settled) {
		count(crashes[len(crashes)-1], func(p CrashCause) bool {
			return !slices.ContainsFunc(crashes, func(c *crash) bool { _, suspect := c.suspects[p]; return !suspect })
		})
	}
	for _, c := range byPart {
		charges = append(charges, c)
	}
	slices.SortFunc(charges, func(a, b *charge) int {
		if a.strength != b.strength {
			return b.strength - a.strength
		}
		return a.part.compare(b.part)
	})
	slices.SortFunc(all, time.Time.Compare)
	return charges, all
}

// crashesOfRequests returns the crashes that each quarantined request explains.
func (e *CrashEvidence) crashesOfRequests(settled []*crash) map[CrashCause][]*crash {
	of := make(map[CrashCause][]*crash)
	for _, c := range settled {
		if !c.explained {
			continue
		}
		var first CrashCause
		for p := range c.suspects {
			if p.IsRequest() && e.quarantined[p] != nil && (!first.IsRequest() || p.compare(first) < 0) {
				first = p
			}
		}
		if first.IsRequest() {
			of[first] = append(of[first], c)
		}
	}
	return of
}

// crashesDifferentRequests reports whether enough crashes under a part are outside those of
// any one request without an answer since.
func (e *CrashEvidence) crashesDifferentRequests(c *charge) bool {
	within := make(map[CrashCause]int)
	for of := range c.byCrash {
		if of.explained {
			continue // counts once for its request
		}
		for p := range of.suspects {
			if p.IsRequest() && e.lastAnswer(p).Before(of.at) {
				within[p]++
				if outside := len(c.byCrash) - within[p]; outside < minOutside || float64(outside) < minOutsideShare*float64(len(c.byCrash)) {
					return false
				}
			}
		}
	}
	return true
}

// chooseGuilty returns the part whose charge suffices and whose crashes no other part
// explains as well; several if they have the same crashes, which are many.
func (e *CrashEvidence) chooseGuilty(charges []*charge, all []time.Time) (guilty []*charge) {
	for _, c := range charges {
		if !c.enough(all) || !e.crashesDifferentRequests(c) {
			continue
		}
		guilty = append(guilty[:0], c)
		for _, other := range charges {
			if other == c {
				continue
			}
			if c.doubtedFor(other) {
				guilty = nil
				break
			}
			if other.strength == c.strength && other.answered == c.answered && c.under(other) {
				guilty = append(guilty, other)
			}
		}
		if len(guilty) > 0 {
			return guilty
		}
	}
	return nil
}
