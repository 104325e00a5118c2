package admission

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func request(account string, class Class, weight float64) *Request {
	return &Request{Account: account, Class: class, Weight: weight, Cost: 1, Deadline: start.Add(time.Hour)}
}

func offerAll(q *Queue, list ...*Request) {
	for _, r := range list {
		q.Offer(r, start)
	}
}

func TestInteractiveBeforeBatch(t *testing.T) {
	q := NewQueue()
	q.SetSlots(1, start)
	first := request("a", Batch, 1)
	batch, interactive := request("b", Batch, 1), request("c", Interactive, 1)
	offerAll(q, first, batch, interactive)
	require.Equal(t, []*Request{interactive}, q.Release(first, start))
	require.Equal(t, []*Request{batch}, q.Release(interactive, start))
}

func TestBatchLeavesInteractiveReserve(t *testing.T) {
	q := NewQueue()
	q.SetSlots(8, start)
	for range 20 {
		q.Offer(request("batch-account", Batch, 1), start)
	}
	require.Equal(t, 6, q.Running(Batch))
	outcome, _ := q.Offer(request("interactive-account", Interactive, 1), start)
	require.Equal(t, Run, outcome)
}

func TestWeightedFairQueueing(t *testing.T) {
	q := NewQueue()
	first := request("holder", Interactive, 1)
	q.SetSlots(1, start)
	q.Offer(first, start)
	// The large account queues all its requests before the others arrive.
	for range 400 {
		q.Offer(request("large", Interactive, 1), start)
	}
	for range 200 {
		q.Offer(request("small", Interactive, 1), start)
		q.Offer(request("heavy", Interactive, 2), start)
	}
	counts := make(map[string]int)
	current := first
	for range 200 {
		current = q.Release(current, start)[0]
		counts[current.Account]++
	}
	require.InDelta(t, 50, counts["large"], 2)
	require.InDelta(t, 50, counts["small"], 2)
	require.InDelta(t, 100, counts["heavy"], 2)
}

func TestRejectsRequestsPastDeadline(t *testing.T) {
	q := NewQueue()
	q.SetSlots(1, start)
	first := request("a", Interactive, 1)
	q.Offer(first, start)
	now := start.Add(20 * time.Second)
	q.Release(first, now) // a sample of 20 s with a weight of 0.05 gives a mean of 1 s
	q.Offer(request("a", Interactive, 1), now)
	late := request("a", Interactive, 1)
	late.Deadline = now.Add(500 * time.Millisecond)
	outcome, retryAfter := q.Offer(late, now)
	require.Equal(t, Rejected, outcome)
	require.Equal(t, time.Second, retryAfter)
	late.Deadline = now.Add(2 * time.Second)
	outcome, _ = q.Offer(late, now)
	require.Equal(t, Wait, outcome)
	q.Cancel(late)
	past := request("a", Interactive, 1)
	past.Deadline = now.Add(-time.Millisecond)
	q.SetSlots(2, now)
	outcome, retryAfter = q.Offer(past, now)
	require.Equal(t, Rejected, outcome, "no slot is used for what comes too late")
	require.Equal(t, minQueueRetryAfter, retryAfter)
	require.Zero(t, q.Waiting(Interactive))
	require.Empty(t, q.lastFinish[Interactive], "no account state without waiting requests")
}

func TestAccountCannotFillQueue(t *testing.T) {
	q := NewQueue()
	q.SetSlots(0, start)
	waiting := 0
	for range maxWaiting {
		r := request("large", Batch, 1)
		if outcome, _ := q.Offer(r, start); outcome == Wait {
			waiting++
		}
	}
	require.Equal(t, maxWaiting/4, waiting)
	outcome, _ := q.Offer(request("small", Batch, 1), start)
	require.Equal(t, Wait, outcome)
}

// Parameters of the instance loss simulation: engine slots of a deployment with four
// entry instances, and their load.
const (
	engineSlots       = 64
	instanceCount     = 4
	interactiveHold   = 250 * time.Millisecond
	batchHold         = 4 * time.Second
	interactiveRate   = 60.0
	batchRate         = 14.0
	simulatedTime     = 4 * time.Minute
	lossTime          = time.Minute
	interactiveTarget = 2 * time.Second
)

type completion struct {
	finishedAt time.Time
	request    *Request
	instance   int
}

type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].finishedAt.Before(h[j].finishedAt) }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// lossResult holds the waits and rejections after the loss of one of four instances.
type lossResult struct {
	interactive, batch []time.Duration
	rejected           [classCount]int
}

// simulateLoss offers load to four instances and loses one of them, in virtual time.
// The slots belong to engines, so the remaining instances take over those of the lost
// one.
func simulateLoss(seed uint64) lossResult {
	random := rand.New(rand.NewPCG(seed, 3))
	queues := make([]*Queue, instanceCount)
	for i := range queues {
		queues[i] = NewQueue()
		queues[i].SetSlots(engineSlots/instanceCount, start)
	}
	var result lossResult
	var completions completionHeap
	offeredAt := make(map[*Request]time.Time)
	startRequest := func(instance int, r *Request, now time.Time) {
		hold := interactiveHold
		if r.Class == Batch {
			hold = batchHold
		}
		hold = time.Duration((0.5 + random.Float64()) * float64(hold))
		heap.Push(&completions, completion{now.Add(hold), r, instance})
		wait := now.Sub(offeredAt[r])
		delete(offeredAt, r)
		if now.Sub(start) < lossTime {
			return
		}
		if r.Class == Interactive {
			result.interactive = append(result.interactive, wait)
		} else {
			result.batch = append(result.batch, wait)
		}
	}
	remaining := instanceCount
	for now := start; now.Sub(start) < simulatedTime; {
		now = now.Add(time.Duration(random.ExpFloat64() / (interactiveRate + batchRate) * float64(time.Second)))
		if remaining == instanceCount && now.Sub(start) >= lossTime {
			remaining--
			for i := range remaining {
				for _, r := range queues[i].SetSlots(engineSlots/remaining, now) {
					startRequest(i, r, now)
				}
			}
		}
		for len(completions) > 0 && !completions[0].finishedAt.After(now) {
			e := heap.Pop(&completions).(completion)
			for _, r := range queues[e.instance].Release(e.request, e.finishedAt) {
				startRequest(e.instance, r, e.finishedAt)
			}
		}
		// The instance itself sets the deadline of interactive requests; it is later
		// than the target.
		r := &Request{Account: "interactive-account", Class: Interactive, Weight: 1, Cost: 1, Deadline: now.Add(2 * interactiveTarget)}
		if random.Float64() < batchRate/(interactiveRate+batchRate) {
			r = &Request{Account: "batch-account", Class: Batch, Weight: 1, Cost: 10, Deadline: now.Add(10 * time.Minute)}
		}
		instance := random.IntN(remaining)
		offeredAt[r] = now
		switch outcome, _ := queues[instance].Offer(r, now); outcome {
		case Run:
			startRequest(instance, r, now)
		case Rejected:
			result.rejected[r.Class]++
			delete(offeredAt, r)
		}
	}
	return result
}

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[int(q*float64(len(list)-1))]
}

// Interactive requests must get a slot within the target time after one of four
// instances is lost.
func TestInteractiveTargetWithOneInstanceLost(t *testing.T) {
	for seed := range uint64(3) {
		result := simulateLoss(seed)
		require.Zero(t, result.rejected[Interactive])
		require.Less(t, quantile(result.interactive, 0.99), interactiveTarget)
		require.NotEmpty(t, result.batch)
	}
}

// BenchmarkInstanceLoss reports the waits in seconds.
func BenchmarkInstanceLoss(b *testing.B) {
	for b.Loop() {
		got := simulateLoss(1)
		b.ReportMetric(quantile(got.interactive, 0.5).Seconds(), "interactive-p50-s")
		b.ReportMetric(quantile(got.interactive, 0.99).Seconds(), "interactive-p99-s")
		b.ReportMetric(quantile(got.batch, 0.5).Seconds(), "batch-p50-s")
		b.ReportMetric(quantile(got.batch, 0.99).Seconds(), "batch-p99-s")
		b.ReportMetric(float64(got.rejected[Interactive]), "interactive-refused")
		b.ReportMetric(float64(got.rejected[Batch]), "batch-refused")
	}
}

// BenchmarkQueue measures one request through a queue with waiting requests.
func BenchmarkQueue(b *testing.B) {
	q := NewQueue()
	q.SetSlots(16, start)
	var running []*Request
	for i := range 1000 {
		r := request(string(rune('a'+i%26)), Interactive, 1)
		if outcome, _ := q.Offer(r, start); outcome == Run {
			running = append(running, r)
		}
	}
	for b.Loop() {
		r := request("a", Interactive, 1)
		q.Offer(r, start)
		done := running[0]
		running = append(running[1:], q.Release(done, start)...)
	}
}
