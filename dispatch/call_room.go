package dispatch

import (
	"time"

	"github.com/galenaarch/galenaarch/admission"
	"github.com/galenaarch/galenaarch/placement"
)

// Parameters of the room for calls, requests without a prompt.
const (
	// callUpdateTime is the time in which the instances learn of each other's calls.
	callUpdateTime = 50 * time.Millisecond
	// callWaitShare is the largest part of a call's objective for which it may wait at a server.
	// There, all instances' calls wait in one queue, which keeps the slots busy; what is left is
	// for the wait at an instance, where calls are in order and can still go elsewhere.
	callWaitShare = 0.5
	// waitingLimitTTL is how long a rejection limits the calls that wait at a server: what it lets wait
	// can be learned again only by sending it more.
	waitingLimitTTL = 5 * time.Second
	// maxFreedPlaces bounds the remembered places at one server.
	maxFreedPlaces = 64
)

// callRoom is what one instance knows of the calls at one server of a service without prompts.
type callRoom struct {
	// reportedOthers is the number of calls of other instances in the last report.
	reportedOthers int
	reportedAt     time.Time
	// meanCalls is the moving average of the calls at the server by its reports.
	meanCalls float64
	// waitingLimit is the number of calls that waited at the server when it rejected one, if
	// limited is set. The server takes none until fullUntil.
	waitingLimit int
	limited      bool
	fullUntil    time.Time
	// freedAt are the times at which calls of this instance ended whose place the others still
	// take for occupied, sentAt is when this instance last sent a call.
	freedAt []time.Time
	sentAt  time.Time
	// chance was drawn at drawnAt.
	chance  float64
	drawnAt time.Time
}

func (r *callRoom) sent(now time.Time) {
	r.sentAt, r.chance = now, 1 // one call for each draw
	if r.freedAt = dropBefore(r.freedAt, now.Add(-callUpdateTime)); len(r.freedAt) > 0 {
		r.freedAt = r.freedAt[1:]
	}
}

func (r *callRoom) released(now time.Time) {
	if r.freedAt = append(dropBefore(r.freedAt, now.Add(-callUpdateTime)), now); len(r.freedAt) > maxFreedPlaces {
		r.freedAt = r.freedAt[1:]
	}
}

// reported records a server's report, own is the number of this instance's calls there.
func (r *callRoom) reported(report Report, own int, now time.Time) {
	r.reportedOthers, r.reportedAt = max(0, report.Running+report.Waiting-own), now
	r.waitingLimit = max(r.waitingLimit, report.Waiting)
	r.meanCalls += ewmaWeight * (float64(report.Running+report.Waiting) - r.meanCalls)
}

// rejected records that the server rejected a call, with its report.
func (r *callRoom) rejected(report Report, now time.Time) {
	if report.Running < report.Slots {
		return // for another reason than its calls
	}
	r.waitingLimit, r.limited, r.fullUntil = report.Waiting, true, now.Add(shedCooldown)
}

// callsAt returns the estimated number of calls at the server. What the server itself has reported
// counts as long as the updates of the others cannot be newer.
func (b *BackendState) callsAt(others Load, now time.Time) float64 {
	if now.Sub(b.calls.reportedAt) < callUpdateTime {
		return float64(b.ownLoad.Requests + b.calls.reportedOthers)
	}
	return float64(b.ownLoad.Requests + others.Requests)
}

// workTime returns the estimated time for which a call holds a slot: by Little's law, the time that
// calls take there without the part in which they wait.
func (b *BackendState) workTime() time.Duration {
	return time.Duration(float64(b.meanTime) * min(1, float64(b.Slots)/max(1, b.calls.meanCalls)))
}

// waitingCalls returns how many calls may wait at the server for a slot, none for longer than
// atMost.
func (b *BackendState) waitingCalls(atMost time.Duration) int {
	n := b.Slots
	if work := b.workTime(); work > 0 {
		n = int(float64(b.Slots) * float64(atMost) / float64(work))
	}
	if b.calls.limited {
		n = min(n, b.calls.waitingLimit)
	}
	return n
}

// callTurn returns the time in which the server completes a call of each instance.
func (b *BackendState) callTurn(instances int) time.Duration {
	return time.Duration(instances) * b.workTime() / time.Duration(b.Slots)
}

// CallView is what an instance knows, beside a server's state, when it looks for room for a call.
type CallView struct {
	// Others is the load that the other instances share, Instances the number of all.
	Others    Load
	Instances int
	// Queued is set if calls wait at this instance: some then wait at others too, and all see the
	// same room.
	Queued bool
	// MaxWait is the longest time for which the call may wait at the server, see CallTime.
	MaxWait time.Duration
	// Chance in [0, 1) decides which instances take room that all see, once in callUpdateTime.
	Chance float64
}

// HasCallRoom reports whether a call may be sent to the server now: to its free slots, and to as
// many places in its own queue as MaxWait allows.
//
// An instance with none of its calls at a server may send one each time that the server could have
// completed one of every instance, whatever it knows: wrong or lost updates keep no call from a free
// slot for longer, and the instances send together no more than the server completes.
func (b *BackendState) HasCallRoom(v CallView, now time.Time) bool {
	if b.Slots == 0 {
		return true // the number of calls that it runs is not known
	}
	room := &b.calls
	if now.Before(room.fullUntil) {
		return false
	}
	room.limited = room.limited && now.Sub(room.fullUntil) < waitingLimitTTL
	if v.MaxWait > 0 && b.ownLoad.Requests == 0 && now.Sub(room.sentAt) >= b.callTurn(v.Instances) {
		return true
	}
	free := float64(b.Slots+b.waitingCalls(v.MaxWait)) - b.callsAt(v.Others, now)
	if !v.Queued || free < 1 || v.Instances <= 1 {
		return free >= 1
	}
	if room.freedAt = dropBefore(room.freedAt, now.Add(-callUpdateTime)); len(room.freedAt) > 0 {
		return true // for the others, the place is still taken
	}
	if now.Sub(room.drawnAt) >= callUpdateTime {
		room.chance, room.drawnAt = v.Chance, now
	}
	return room.chance < free/float64(v.Instances)
}

// CallTime is the time that a client has for a call.
type CallTime struct {
	// Objective is the target for the time from the arrival of the call, Elapsed ago, to its response;
	// 0 for none. Work is the time that a server takes for it, Patience that until a server must
	// begin with it for its client to be served.
	Objective, Elapsed, Work, Patience time.Duration
}

// pressed reports whether the client cannot return later and still be served as soon as others
// are: what counts is that it is served at all.
func (t *CallTime) pressed() bool { return t.Objective == 0 || t.Patience <= t.Objective }

// spare returns how long the call may wait to be on time, or to be served at all if its client is
// pressed.
func (t *CallTime) spare() time.Duration {
	if t.pressed() {
		return t.Patience
	}
	return t.Objective - t.Elapsed - t.Work
}

// MaxWait returns the longest time for which the call may wait at a server: a part of its
// objective, and no longer than it can spare.
func (t *CallTime) MaxWait() time.Duration {
	if t.Objective == 0 {
		return max(0, time.Duration(callWaitShare*float64(t.Patience)))
	}
	return max(0, min(time.Duration(callWaitShare*float64(t.Objective)), t.spare()))
}

// StartBy returns the latest time to send the call: for it to be on time, or to be served at all
// if its client is pressed.
func (t *CallTime) StartBy(now time.Time) time.Time { return now.Add(t.spare()) }

// judgeCall decides whether a call that no server has room for waits. Its client is refused at once
// if the call would miss its objective: a late call that waits takes the place of one that
// arrives meanwhile and can be on time, and its client can return once that is over. A client
// that cannot is refused only if its turn does not come in its time.
func (p *Policy) judgeCall(s *placement.Server, req *Request, d *Decision) {
	t := req.CallTime
	d.Estimate = admission.WaitEstimate{Elapsed: t.Elapsed, Objective: t.Objective, Patience: t.Patience, ArrivalOrderWait: req.QueueWait + s.MeanTime}
	d.Estimate.DeferredWait = d.Estimate.ArrivalOrderWait
	atServer := max(0, s.MeanTime-t.Work)
	if d.Late = req.QueueWait+atServer > t.spare(); d.Late && !req.Continues {
		if d.Verdict = p.restrictVerdict(req, admission.Reject); d.Verdict == admission.Reject {
			d.Action = Reject
		}
	}
}
