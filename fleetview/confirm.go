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
	v.mu.Lock()
	defer v.mu.Unlock()
	if at.After(v.confirm.after) {
		v.confirm.after = at
	}
	v.confirm.waiting++
	defer func() { v.confirm.waiting-- }()
	for asked := false; ; asked = true {
		confirmed, possible := v.confirmedAll(at)
		if confirmed || !possible || ctx.Err() != nil {
			return confirmed
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
// and whether they all may. The caller holds the lock.
func (v *View) confirmedAll(at time.Time) (confirmed, possible bool) {
	listed := v.listedSources(time.Now())
	confirmed, possible = len(listed) > 0, len(listed) > 0
	for _, s := range listed {
		confirmed = confirmed && !s.confirmedAt.Before(at)
		possible = possible && !s.unreachable && !s.lastResponse.IsZero()
	}
	return confirmed && possible, possible
}

// notePolled tells the callers of Confirm that a poll has ended. The caller holds the lock.
func (v *View) notePolled() {
	if v.confirm.waiting > 0 && v.confirm.polled != nil {
		close(v.confirm.polled)
		v.confirm.polled = nil
	}
}
