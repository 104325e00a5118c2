// Package priority has a queue that gives its items out in order and lets any of
// them be taken out before its turn.
package priority

import "container/heap"

// Item is in at most one queue at a time.
type Item[T any] struct {
	Value T
	// place is where the heap holds the item, counted from 1; 0 if it is in none.
	place int
}

// Waiting reports whether the item is in a queue.
func (i *Item[T]) Waiting() bool { return i.place > 0 }

// Queue gives out the first item by an order. It is not safe for concurrent use.
type Queue[T any] struct{ items items[T] }

// New returns an empty queue; before says which of two values comes first.
func New[T any](before func(a, b T) bool) *Queue[T] {
	return &Queue[T]{items[T]{before: before}}
}

// Len is the number of items.
func (q *Queue[T]) Len() int { return len(q.items.list) }

// Push puts a value in and returns its item.
func (q *Queue[T]) Push(v T) *Item[T] {
	i := &Item[T]{Value: v}
	heap.Push(&q.items, i)
	return i
}

// First is the value that Pop would take out. The queue must not be empty.
func (q *Queue[T]) First() T { return q.items.list[0].Value }

// Pop takes the first value out. The queue must not be empty.
func (q *Queue[T]) Pop() T { return heap.Pop(&q.items).(*Item[T]).Value }

// Remove takes an item out and reports whether it was in the queue.
func (q *Queue[T]) Remove(i *Item[T]) bool {
	if i == nil || !i.Waiting() {
		return false
	}
	heap.Remove(&q.items, i.place-1)
	return true
}

// items implements heap.Interface.
type items[T any] struct {
	before func(a, b T) bool
	list   []*Item[T]
}

func (h *items[T]) Len() int           { return len(h.list) }
func (h *items[T]) Less(i, j int) bool { return h.before(h.list[i].Value, h.list[j].Value) }
func (h *items[T]) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].place, h.list[j].place = i+1, j+1
}

// Push implements heap.Interface.
func (h *items[T]) Push(x any) {
	i := x.(*Item[T])
	h.list = append(h.list, i)
	i.place = len(h.list)
}

// Pop implements heap.Interface.
func (h *items[T]) Pop() any {
	last := len(h.list) - 1
	i := h.list[last]
	h.list[last] = nil
	h.list = h.list[:last]
	i.place = 0
	return i
}
