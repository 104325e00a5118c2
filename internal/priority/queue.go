// Package priority implements a priority queue whose items can be removed before
// they reach the front.
package priority

import (
	"container/heap"
	"iter"
)

// Item is an entry of a Queue. It is in at most one queue at a time.
type Item[T any] struct {
	Value T
	// position is the item's index in the heap plus 1, or 0 if it is in no queue.
	position int
}

// Queued reports whether the item is in a queue.
func (i *Item[T]) Queued() bool { return i.position > 0 }

// Queue is a priority queue ordered by a comparison function. The first item is one that
// no other precedes. It is not safe for concurrent use.
type Queue[T any] struct{ heap itemHeap[T] }

// New returns an empty queue. The function before reports whether a must leave the
// queue before b.
func New[T any](before func(a, b T) bool) *Queue[T] {
	return &Queue[T]{itemHeap[T]{before: before}}
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return len(q.heap.list) }

// Push adds a value and returns its item.
func (q *Queue[T]) Push(v T) *Item[T] {
	i := &Item[T]{Value: v}
	heap.Push(&q.heap, i)
	return i
}

// All returns an iterator over the values, in no order.
func (q *Queue[T]) All() iter.Seq[T] {
	return func(yield func(T) bool) {
		for _, i := range q.heap.list {
			if !yield(i.Value) {
				return
			}
		}
	}
}

// Peek returns the value that Pop would remove. The queue must not be empty.
func (q *Queue[T]) Peek() T { return q.heap.list[0].Value }

// Pop removes and returns the first value. The queue must not be empty.
func (q *Queue[T]) Pop() T { return heap.Pop(&q.heap).(*Item[T]).Value }

// Remove removes an item and reports whether it was in the queue. The item may be nil;
// it must not be in another queue.
func (q *Queue[T]) Remove(i *Item[T]) bool {
	if i == nil || !i.Queued() {
		return false
	}
	heap.Remove(&q.heap, i.position-1)
	return true
}

// itemHeap implements heap.Interface.
type itemHeap[T any] struct {
	before func(a, b T) bool
	list   []*Item[T]
}

func (h *itemHeap[T]) Len() int           { return len(h.list) }
func (h *itemHeap[T]) Less(i, j int) bool { return h.before(h.list[i].Value, h.list[j].Value) }
func (h *itemHeap[T]) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].position, h.list[j].position = i+1, j+1
}

// Push implements heap.Interface.
func (h *itemHeap[T]) Push(x any) {
	i := x.(*Item[T])
	h.list = append(h.list, i)
	i.position = len(h.list)
}

// Pop implements heap.Interface.
func (h *itemHeap[T]) Pop() any {
	last := len(h.list) - 1
	i := h.list[last]
	h.list[last] = nil
	h.list = h.list[:last]
	i.position = 0
	return i
}
