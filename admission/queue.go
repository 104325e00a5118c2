package admission

import (
	"time"

	"github.com/galenaarch/galenaarch/internal/priority"
)

// Queue parameters.
const (
	// interactiveReserve is the share of the slots that batch requests leave free.
	interactiveReserve = 0.25
	// maxWaiting bounds the number of waiting requests, maxAccountShare the part of
	// one account.
	maxWaiting      = 4096
	maxAccountShare = 0.25
	// holdEWMAWeight is the weight of the newest sample in the moving average of the
	// time that a request holds its slot.
	holdEWMAWeight = 0.05
	// minQueueRetryAfter and maxQueueRetryAfter bound the retry delay of a rejected
	// request.
	minQueueRetryAfter = 100 * time.Millisecond
	maxQueueRetryAfter = 30 * time.Second
)

// Class is a priority class; lower classes go first.
type Class int

// Priority classes.
const (
	Interactive Class = iota
	Batch
	classCount
)

// Request is a request for a slot.
type Request struct {
	Account string
	// Weight is the account's weight in fair queueing, relative to other accounts.
	Weight float64
	Class  Class
	// Cost is the work of the request, in any unit used for all requests.
	Cost float64
	// Deadline is the latest time to get a slot.
	Deadline time.Time

	start    time.Time
	finish   float64
	sequence uint64
	item     *priority.Item[*Request]
	running  bool
}

// Outcome is the result of Queue.Offer.
type Outcome int

// Outcomes of Offer.
const (
	// Run: the request got a slot.
	Run Outcome = iota
	// Wait: the request is queued.
	Wait
	// Rejected: the request was rejected.
	Rejected
)

// finishesBefore orders waiting requests by their virtual finish time in fair
// queueing.
func finishesBefore(a, b *Request) bool {
	if a.finish != b.finish {
		return a.finish < b.finish
	}
	return a.sequence < b.sequence
}

// Queue allocates the slots of a deployment's engines: interactive requests before
// batch ones, and within a class by weighted fair queueing among accounts. It is not
// safe for concurrent use.
type Queue struct {
	slots   int
	running [classCount]int
	waiting [classCount]*priority.Queue[*Request]
	// virtualTime is the virtual time per class, lastFinish the latest virtual finish
	// time per account. Both are reset when no request of the class waits.
	virtualTime      [classCount]float64
	lastFinish       [classCount]map[string]float64
	waitingByAccount map[string]int
	sequence         uint64
	// meanHold is the moving average of the time that a request holds its slot, per
	// class.
	meanHold [classCount]time.Duration
}

// NewQueue returns a queue without slots.
func NewQueue() *Queue {
	q := &Queue{waitingByAccount: make(map[string]int)}
	for c := range q.lastFinish {
		q.lastFinish[c] = make(map[string]float64)
		q.waiting[c] = priority.New(finishesBefore)
	}
	return q
}

// Running returns the number of running requests of a class.
func (q *Queue) Running(c Class) int { return q.running[c] }

// Waiting returns the number of waiting requests of a class.
func (q *Queue) Waiting(c Class) int { return q.waiting[c].Len() }

// Offer submits a request. If the queue is full, or the request is not expected to get
// a slot by its deadline, it is rejected at once. The duration is the retry delay of a
// rejected request, otherwise 0.
func (q *Queue) Offer(r *Request, now time.Time) (Outcome, time.Duration) {
	if now.After(r.Deadline) {
		return Rejected, minQueueRetryAfter
	}
	if q.hasFreeSlot(r.Class) && q.waiting[r.Class].Len() == 0 {
		q.startRequest(r, now)
		return Run, 0
	}
	wait := q.EstimateWait(r.Class)
	full := q.waiting[Interactive].Len()+q.waiting[Batch].Len() >= maxWaiting || float64(q.waitingByAccount[r.Account]) >= maxAccountShare*maxWaiting
	if full || now.Add(wait).After(r.Deadline) {
		return Rejected, min(max(wait, minQueueRetryAfter), maxQueueRetryAfter)
	}
	q.push(r)
	return Wait, 0
}

// push adds a request to the queue of its class, ordered by its virtual finish time.
func (q *Queue) push(r *Request) {
	c := r.Class
	weight := max(r.Weight, 1e-3)
	r.finish = max(q.virtualTime[c], q.lastFinish[c][r.Account]) + max(r.Cost, 1e-3)/weight
	q.lastFinish[c][r.Account] = r.finish
	q.sequence++
	r.sequence = q.sequence
	q.waitingByAccount[r.Account]++
	r.item = q.waiting[c].Push(r)
}

// hasFreeSlot reports whether a request of a class may start.
func (q *Queue) hasFreeSlot(c Class) bool {
	total := q.running[Interactive] + q.running[Batch]
	if total >= q.slots {
		return false
	}
	return c == Interactive || q.running[Batch] < q.batchSlots()
}

// batchSlots returns the number of slots that batch requests may hold. At least one
// slot is reserved for interactive requests unless there is only one.
func (q *Queue) batchSlots() int {
	reserved := max(1, int(interactiveReserve*float64(q.slots)))
	if q.slots == 1 {
		reserved = 0
	}
	return max(0, q.slots-reserved)
}

// startRequest marks a request as running and counts its slot as used.
func (q *Queue) startRequest(r *Request, now time.Time) {
	r.running, r.start = true, now
	q.running[r.Class]++
}

// EstimateWait returns the expected wait of a new request of a class: the queue length
// divided by the rate at which usable slots become free. It is 0 while that rate is
// unknown.
func (q *Queue) EstimateWait(c Class) time.Duration {
	if q.slots == 0 {
		return maxQueueRetryAfter
	}
	ahead := q.waiting[c].Len() + 1
	perSecond := q.completionRate(Batch)
	if c == Interactive {
		perSecond += q.completionRate(Interactive)
	}
	if perSecond == 0 {
		return 0
	}
	return time.Duration(float64(ahead) / perSecond * float64(time.Second))
}

// completionRate returns the number of requests of a class that finish per second; 0
// if none has finished yet.
func (q *Queue) completionRate(c Class) float64 {
	if q.meanHold[c] == 0 {
		return 0
	}
	return float64(q.running[c]) / q.meanHold[c].Seconds()
}

// SetSlots changes the number of slots and returns the requests that start as a
// result. Running requests keep their slots.
func (q *Queue) SetSlots(slots int, now time.Time) []*Request {
	q.slots = max(0, slots)
	return q.startWaiting(now)
}

// Release frees the slot of a request and returns the requests that start as a result.
func (q *Queue) Release(r *Request, now time.Time) []*Request {
	if !r.running {
		return nil
	}
	r.running = false
	q.running[r.Class]--
	q.meanHold[r.Class] += time.Duration(holdEWMAWeight * float64(now.Sub(r.start)-q.meanHold[r.Class]))
	return q.startWaiting(now)
}

// Cancel removes a waiting request; it does nothing if the request does not wait.
func (q *Queue) Cancel(r *Request) {
	if q.waiting[r.Class].Remove(r.item) {
		q.removeWaiting(r)
	}
}

// removeWaiting updates the counts for a request that has left its queue, and resets the
// fair queueing of a class without waiting requests.
func (q *Queue) removeWaiting(r *Request) {
	r.item = nil
	q.waitingByAccount[r.Account]--
	if q.waitingByAccount[r.Account] == 0 {
		delete(q.waitingByAccount, r.Account)
	}
	if q.waiting[r.Class].Len() == 0 {
		// Fair queueing keeps no history across an empty queue.
		clear(q.lastFinish[r.Class])
		q.virtualTime[r.Class] = 0
	}
}

// startWaiting starts waiting requests while slots are free.
func (q *Queue) startWaiting(now time.Time) []*Request {
	var started []*Request
	for c := Interactive; c < classCount; c++ {
		for q.waiting[c].Len() > 0 && q.hasFreeSlot(c) {
			r := q.waiting[c].Pop()
			q.virtualTime[c] = r.finish - max(r.Cost, 1e-3)/max(r.Weight, 1e-3)
			q.removeWaiting(r)
			q.startRequest(r, now)
			started = append(started, r)
		}
	}
	return started
}
