package fleetview

import (
	"context"
	"time"
)

// confirmation is what Confirm waits for.
type confirmation struct {
	// after is the latest time for which a confirmation was asked: polls that begin before a
	// control instance has completed one that began later do not wait.
	after time.Time
	// polled is closed and replaced when a poll has ended, while waiting is above zero.
	polled  chan struct{}
	waiting int
}

// Confirm reports whether this process knows all that the control instances knew at a time: each
// of them has completed a poll that began later. It polls them until ctx ends.
//
// Invariant: a process that stood still, or was cut off, from any of them, is not confirmed. What it
// knew before says nothing about the time since.
func (v *View) Confirm(ctx context.Context, at time.Time) bool {
	return v.confirmBy(ctx, at, v.confirmedAll)
}

// ConfirmResponding is Confirm by the control instances that respond, a majority of them. What was announced
// to one that does not respond, or that this process does not reach, is not known.
func (v *View) ConfirmResponding(ctx context.Context, at time.Time) bool {
	return v.confirmBy(ctx, at, v.confirmedResponding)
}

// KnownAsOf returns the time as of which this process knows all that the control instances knew, those that
// do not respond included; zero for never.
func (v *View) KnownAsOf() (asOf time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i, s := range v.listedSources(time.Now()) {
		if i == 0 || s.confirmedAt.Before(asOf) {
			asOf = s.confirmedAt
		}
	}
	return asOf
}

// confirmBy waits until confirmed says so, or that it is not possible, or ctx ends.
func (v *View) confirmBy(ctx context.Context, at time.Time, confirmed func(at time.Time) (confirmed, possible bool)) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if at.After(v.confirm.after) {
		v.confirm.after = at
	}
	v.confirm.waiting++
	defer func() { v.confirm.waiting-- }()
	for asked := false; ; asked = true {
		ok, possible := confirmed(at)
		if ok || !possible || ctx.Err() != nil {
			return ok
		}
		if !asked {
			v.interruptPolls()
		}
		if v.confirm.polled == nil {
			v.confirm.polled = make(chan struct{})
		}
		polled := v.confirm.polled
		v.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-polled:
		}
		v.mu.Lock()
	}
}

// confirmedAll reports whether each control instance has completed a poll that began after a time,
// and whether they all may: each has responded within transientTime. The caller holds the lock.
func (v *View) confirmedAll(at time.Time) (confirmed, possible bool) {
	now := time.Now()
	listed := v.listedSources(now)
	confirmed, possible = len(listed) > 0, len(listed) > 0
	for _, s := range listed {
		confirmed = confirmed && !s.unreachable && !s.confirmedAt.Before(at)
		possible = possible && s.mayRespond(now)
	}
	return confirmed && possible, possible
}

// mayRespond reports whether a control instance may respond to the next poll: one failed poll alone says little.
func (s *source) mayRespond(now time.Time) bool {
	return !s.lastResponse.IsZero() && (!s.unreachable || now.Sub(s.lastResponse) < transientTime)
}

// transientTime is how long after its last response a control instance that fails to respond may be about to.
const transientTime = 2 * time.Second

// confirmedResponding is confirmedAll without those that are known not to respond, as long as a majority
// does. It is possible if a majority has responded within transientTime. The caller holds the lock.
func (v *View) confirmedResponding(at time.Time) (confirmed, possible bool) {
	now := time.Now()
	listed, responding, recent := v.listedSources(now), 0, 0
	confirmed = true
	for _, s := range listed {
		if !s.unreachable {
			responding++
			confirmed = confirmed && !s.confirmedAt.Before(at)
		}
		if !s.unreachable || now.Sub(s.lastResponse) < transientTime {
			recent++
		}
	}
	return confirmed && 2*responding > len(listed), 2*recent > len(listed)
}

// notePolled tells the callers of Confirm that a poll has ended. The caller holds the lock.
func (v *View) notePolled() {
	if v.confirm.waiting > 0 && v.confirm.polled != nil {
		close(v.confirm.polled)
		v.confirm.polled = nil
	}
}
