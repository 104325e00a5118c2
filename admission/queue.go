package admission

import (
	"time"

	"github.com/galenaarch/galenaarch/internal/priority"
)

// Bounds of a queue.
const (
	// interactiveReserve is the part of the places that batch requests leave
	// free.
	interactiveReserve = 0.25
	// maxWaiting bounds the requests that wait, maxWaitingShare the part of
	// one account.
	maxWaiting      = 4096
	maxWaitingShare = 0.25
	// holdWeight is the weight of the newest request in the mean time that a
	// request holds its place.
	holdWeight = 0.05
	// minRetry and maxRetry bound the time told to a refused caller.
	minRetry = 100 * time.Millisecond
	maxRetry = 30 * time.Second
)

// Class is a priority class; a lower one goes first.
type Class int

// Classes.
const (
	Interactive Class = iota
	Batch
	classes
)

// Request asks for a place.
type Request struct {
	Account string
	// Weight is the account's share among those that wait.
	Weight float64
	Class  Class
	// Cost is the request's work, in any unit that is the same for all.
	Cost float64
	// Deadline is when it must have its place.
	Deadline time.Time

	start   time.Time
	finish  float64
	serial  uint64
	waiting *priority.Item[*Request]
	running bool
}

// Outcome says what becomes of a request.
type Outcome int

// Outcomes of Offer.
const (
	// Run: the request has its place.
	Run Outcome = iota
	// Wait: the request is queued.
	Wait
	// Refused: the request was not taken.
	Refused
)

// sooner orders waiting requests by the virtual finish time of fair queueing.
func sooner(a, b *Request) bool {
	if a.finish != b.finish {
		return a.finish < b.finish
	}
	return a.serial < b.serial
}

// Queue gives out places before the engines of a deployment: interactive
// requests before batch ones, and within a class by weighted fair queueing
// among accounts. It is not safe for concurrent use.
type Queue struct {
	places  int
	running [classes]int
	waiting [classes]*priority.Queue[*Request]
	// virtual is the virtual time of a class, last an account's latest virtual
	// finish time; accounts whose requests have all ended are dropped.
	virtual [classes]float64
	last    [classes]map[string]float64
	counts  map[string]int
	serial  uint64
	// hold is the mean time that a request holds its place, by class.
	hold [classes]time.Duration
}

// NewQueue returns a queue without places.
func NewQueue() *Queue {
	q := &Queue{counts: make(map[string]int)}
	for c := range q.last {
		q.last[c] = make(map[string]float64)
		q.waiting[c] = priority.New(sooner)
	}
	return q
}

// Running and Waiting count requests of a class.
func (q *Queue) Running(c Class) int { return q.running[c] }

// Waiting counts the requests of a class that wait.
func (q *Queue) Waiting(c Class) int { return q.waiting[c].Len() }

// Offer takes a request on. A request that would not have its place by its
// deadline is refused at once, with the time after which to come back.
func (q *Queue) Offer(r *Request, now time.Time) (Outcome, time.Duration) {
	if q.room(r.Class) && q.waiting[r.Class].Len() == 0 {
		q.begin(r, now)
		return Run, 0
	}
	wait := q.Estimate(r.Class)
	full := q.waiting[Interactive].Len()+q.waiting[Batch].Len() >= maxWaiting || float64(q.counts[r.Account]) >= maxWaitingShare*maxWaiting
	if full || now.Add(wait).After(r.Deadline) {
		return Refused, min(max(wait, minRetry), maxRetry)
	}
	q.push(r)
	return Wait, 0
}

func (q *Queue) push(r *Request) {
	c := r.Class
	weight := max(r.Weight, 1e-3)
	r.finish = max(q.virtual[c], q.last[c][r.Account]) + max(r.Cost, 1e-3)/weight
	q.last[c][r.Account] = r.finish
	q.serial++
	r.serial = q.serial
	q.counts[r.Account]++
	r.waiting = q.waiting[c].Push(r)
}

// room reports whether a request of a class may begin.
func (q *Queue) room(c Class) bool {
	total := q.running[Interactive] + q.running[Batch]
	if total >= q.places {
		return false
	}
	return c == Interactive || q.running[Batch] < q.batchPlaces()
}

// batchPlaces is the number of places that batch requests may hold. One place
// is theirs unless there is but one.
func (q *Queue) batchPlaces() int {
	reserved := max(1, int(interactiveReserve*float64(q.places)))
	if q.places == 1 {
		reserved = 0
	}
	return max(0, q.places-reserved)
}

func (q *Queue) begin(r *Request, now time.Time) {
	r.running, r.start = true, now
	q.running[r.Class]++
}

// Estimate is the time that a new request of a class would wait: those ahead
// of it over the rate at which places that it may take come free.
func (q *Queue) Estimate(c Class) time.Duration {
	if q.places == 0 {
		return maxRetry
	}
	ahead := q.waiting[c].Len() + 1
	perSecond := q.rate(Batch)
	if c == Interactive {
		perSecond += q.rate(Interactive)
	}
	if perSecond == 0 {
		return 0
	}
	return time.Duration(float64(ahead) / perSecond * float64(time.Second))
}

// rate is how many requests of a class end in a second; 0 if none has ended.
func (q *Queue) rate(c Class) float64 {
	if q.hold[c] == 0 {
		return 0
	}
	return float64(q.running[c]) / q.hold[c].Seconds()
}

// SetPlaces changes the number of places and returns the requests that get
// one. Requests under way keep theirs.
func (q *Queue) SetPlaces(places int, now time.Time) []*Request {
	q.places = max(0, places)
	return q.fill(now)
}

// Done gives a request's place back and returns those that get one.
func (q *Queue) Done(r *Request, now time.Time) []*Request {
	if !r.running {
		return nil
	}
	r.running = false
	q.running[r.Class]--
	q.hold[r.Class] += time.Duration(holdWeight * float64(now.Sub(r.start)-q.hold[r.Class]))
	return q.fill(now)
}

// Cancel takes a waiting request out.
func (q *Queue) Cancel(r *Request) {
	if q.waiting[r.Class].Remove(r.waiting) {
		q.leave(r)
	}
}

func (q *Queue) leave(r *Request) {
	r.waiting = nil
	q.counts[r.Account]--
	if q.counts[r.Account] == 0 {
		delete(q.counts, r.Account)
	}
	if q.waiting[r.Class].Len() == 0 {
		// Nobody waits: no account is owed anything.
		clear(q.last[r.Class])
		q.virtual[r.Class] = 0
	}
}

// fill begins waiting requests while there is room.
func (q *Queue) fill(now time.Time) []*Request {
	var begun []*Request
	for c := Interactive; c < classes; c++ {
		for q.waiting[c].Len() > 0 && q.room(c) {
			r := q.waiting[c].Pop()
			q.virtual[c] = r.finish - max(r.Cost, 1e-3)/max(r.Weight, 1e-3)
			q.leave(r)
			q.begin(r, now)
			begun = append(begun, r)
		}
	}
	return begun
}
