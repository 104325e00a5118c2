package dispatch

import "time"

// Parameters of the room at the servers of a brittle service.
const (
	// waitingShare is the share of a server's slots that may wait there at first, at least
	// one request. Rejections lower that.
	waitingShare = 1.0 / 16
	// rejectionWindow is the time in which a server counts its rejections.
	rejectionWindow = time.Second
	// rejectionRest is how long an instance sends nothing to a server that has rejected a
	// request for want of room.
	rejectionRest = 100 * time.Millisecond
	// rejectionShare is the part of the rejections that a server survives after which nothing
	// is sent to it for the rest of rejectionWindow by an instance that received them, and by
	// the others only in place of their own requests. The others may be on their way.
	rejectionShare = 0.5
	// slotReturn is the time after which one more request than ran at a full server, which may
	// lack something else than slots, such as memory, is assumed to fit.
	slotReturn = time.Second
	// unsharedTime is the time in which the other instances may not know what this one has
	// sent, and it does not know what they have sent.
	unsharedTime = 50 * time.Millisecond
	// releaseTime is how long a place that one of this instance's requests has left is free
	// for this instance only: the others learn of it later.
	releaseTime = 8 * time.Millisecond
	// contention is the expected number of requests by which instances that do not know of
	// each other fill room that is not enough for one of each.
	contention = 0.5
	// brittleLinger is longer than servers take to restart.
	brittleLinger = 5 * time.Second
)

// BrittleService is the brittleness of a service: that of the strictest of its servers, as
// soon as one states it.
type BrittleService struct {
	Brittleness
	statedAt time.Time
}

// Update applies what the servers that are in use state, the strictest of them. A service
// stays brittle for brittleLinger after the last statement: servers that start anew state
// nothing before their first response, and all instances would send at once.
func (s *BrittleService) Update(stated Brittleness, now time.Time) (changed bool) {
	if stated.Brittle {
		s.statedAt = now
	} else if s.Brittle && now.Sub(s.statedAt) < brittleLinger {
		return false
	}
	changed = s.Brittleness != stated
	s.Brittleness = stated
	return changed
}

// StrictestOf returns the stricter of what two servers state.
func StrictestOf(a, b Brittleness) Brittleness { return a.strictest(b) }

// allowedRejections returns the number of rejections in rejectionWindow after which nothing
// more is sent to a server.
func (b Brittleness) allowedRejections() int {
	return max(1, int(rejectionShare*float64(b.MaxRejections)))
}

// brittleRoom is what bounds the requests at one server while its service is brittle.
type brittleRoom struct {
	// rejectedAt are the times of this instance's rejections for want of room in the last
	// rejectionWindow.
	rejectedAt []time.Time
	// waitingLimit is how many requests may wait at the server; set once learned.
	waitingLimit int
	learned      bool
	// sentAt are the times of this instance's requests of the last unsharedTime, releasedAt
	// those of the last releaseTime at which requests ended whose place is not taken yet.
	sentAt, releasedAt []time.Time
	// fullRunning is the number that ran when the server last reported that others wait, or
	// rejected one.
	fullRunning int
	fullAt      time.Time
	// chance was drawn at drawnAt.
	chance  float64
	drawnAt time.Time
}

// dropBefore returns times without those before a time.
func dropBefore(times []time.Time, t time.Time) []time.Time {
	for len(times) > 0 && times[0].Before(t) {
		times = times[1:]
	}
	return times
}

// maxRoomTimes bounds the remembered times of each kind.
const maxRoomTimes = 1024

func appendTime(times []time.Time, t time.Time) []time.Time {
	if len(times) >= maxRoomTimes {
		times = times[1:]
	}
	return append(times, t)
}

// sent records a request that is about to be sent.
func (r *brittleRoom) sent(now time.Time) {
	if r.releasedAt = dropBefore(r.releasedAt, now.Add(-releaseTime)); len(r.releasedAt) > 0 {
		r.releasedAt = r.releasedAt[1:]
		return
	}
	r.sentAt = appendTime(dropBefore(r.sentAt, now.Add(-unsharedTime)), now)
}

// released records a request that has ended.
func (r *brittleRoom) released(now time.Time) {
	r.releasedAt = appendTime(dropBefore(r.releasedAt, now.Add(-releaseTime)), now)
}

// reported records a server's report.
func (r *brittleRoom) reported(report Report, now time.Time) {
	if report.Waiting > 0 {
		r.fullRunning, r.fullAt = report.Running+1, now // one may just have ended
	}
}

// rejectedElsewhere records that other instances have had rejections within rejectionWindow,
// with total requests at the server. No slot beyond these returns until slotReturn after that:
// if each of n instances tried by itself whether one more fits, the server would reject n in
// slotReturn. Slots below total return all the same: the others show that the server has them.
func (r *brittleRoom) rejectedElsewhere(announced int, total float64, now time.Time) {
	if r.fullAt.IsZero() || total > float64(r.slots(announced, now)) {
		return
	}
	r.fullRunning, r.fullAt = max(r.fullRunning, int(total)), now
}

// slots returns how many requests the server can run.
func (r *brittleRoom) slots(announced int, now time.Time) int {
	if r.fullAt.IsZero() {
		return announced
	}
	return min(announced, r.fullRunning+int(min(now.Sub(r.fullAt), time.Hour)/slotReturn))
}

// recentRejections returns the number of rejections in the last rejectionWindow.
func (r *brittleRoom) recentRejections(now time.Time) int {
	r.rejectedAt = dropBefore(r.rejectedAt, now.Add(-rejectionWindow))
	return len(r.rejectedAt)
}

// limit returns how many requests may wait at a server with the given slots.
func (r *brittleRoom) limit(slots int) int {
	if r.learned {
		return r.waitingLimit
	}
	return max(1, int(waitingShare*float64(slots)))
}

// SharedLoad returns the load that this instance shares with the others: that in progress, and
// the recent rejections for want of room.
func (b *BackendState) SharedLoad(now time.Time) Load {
	l := b.ownLoad
	l.Rejections = b.room.recentRejections(now)
	return l
}

// HasRoom reports whether a server of a service with the given brittleness can take one more
// request without the risk that it has to reject it. others is the load that the other
// instances share; chance in [0, 1) decides which of the instances take room that is not
// enough for one request of each, once in unsharedTime for all requests of an instance.
//
// Invariant: as far as the instances know of each other, what they have sent together fits the
// slots and the waiting limit. Of what they do not know yet, each assumes that all others
// send as much as it does.
func (b *BackendState) HasRoom(s Brittleness, others Load, instances int, chance float64, now time.Time) bool {
	if !s.Brittle || b.Slots == 0 {
		return true // without slots, the number of requests that it runs is not known
	}
	if n := len(b.room.rejectedAt); n > 0 && now.Sub(b.room.rejectedAt[n-1]) < rejectionRest {
		return false
	}
	own := b.room.recentRejections(now)
	if own >= s.allowedRejections() {
		return false
	}
	rejections := own + others.Rejections
	total, _ := b.requests(others, now)
	if others.Rejections > 0 {
		b.room.waitingLimit, b.room.learned = 0, true
		b.room.rejectedElsewhere(b.Slots, total, now)
	}
	bound := b.room.slots(b.Slots, now)
	if rejections == 0 {
		bound += b.room.limit(b.Slots)
	}
	free := float64(bound) - total
	if instances <= 1 || free < 1 {
		return free >= 1
	}
	if b.room.releasedAt = dropBefore(b.room.releasedAt, now.Add(-releaseTime)); len(b.room.releasedAt) > 0 {
		return true // for the others, the place is still taken
	}
	if rejections >= s.allowedRejections() {
		return false
	}
	b.room.sentAt = dropBefore(b.room.sentAt, now.Add(-unsharedTime))
	free -= float64(len(b.room.sentAt) * (instances - 1))
	if free >= float64(instances) {
		return true
	}
	if now.Sub(b.room.drawnAt) >= unsharedTime {
		b.room.chance, b.room.drawnAt = chance, now
	}
	return b.room.chance < contention*free/float64(instances)
}

// RejectedForRoom records a request that a server of a brittle service rejected without
// running it. The report is nil if the server sent none.
func (b *BackendState) RejectedForRoom(r *Report, now time.Time) {
	room := &b.room
	room.recentRejections(now)
	room.rejectedAt = appendTime(room.rejectedAt, now)
	limit := room.limit(b.Slots) / 2
	if r != nil {
		limit = min(room.limit(b.Slots), max(0, r.Waiting-1))
		room.fullRunning, room.fullAt = r.Running, now
	}
	room.waitingLimit, room.learned = limit, true
}

// ReleasedAt is Release for a server whose room is bounded: the instance may use the place again
// before the others know that it is free.
func (b *BackendState) ReleasedAt(w Work, ran time.Duration, now time.Time) {
	b.Release(w, ran)
	b.room.released(now)
	b.calls.released(now)
}

// EndBrittleness forgets what was learned while the service was brittle.
func (b *BackendState) EndBrittleness() { b.room = brittleRoom{} }
