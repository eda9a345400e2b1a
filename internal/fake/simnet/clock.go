// Package simnet runs several kernels in one process and in virtual time,
// joined by a small in-memory network with delay, loss, cuts and freezes, next
// to small fakes of the platform, backend servers and callers. It asserts the
// promises while it runs. The same code carries the randomised tests and the
// benchmarks.
package simnet

import (
	"math/rand/v2"
	"time"
)

type (
	event struct {
		at       time.Time
		sequence uint64
		run      func()
	}

	// Heap is a binary heap of items in the order of a function.
	Heap[T any] struct {
		items []T
		less  func(a, b *T) bool
	}

	// Clock is virtual time with events.
	Clock struct {
		now          time.Time
		lastSequence uint64
		queue        Heap[event]
	}
)

// Push adds an item.
func (h *Heap[T]) Push(item T) {
	h.items = append(h.items, item)
	at := len(h.items) - 1
	for at > 0 {
		up := (at - 1) / 2
		if !h.less(&h.items[at], &h.items[up]) {
			return
		}
		h.items[at], h.items[up] = h.items[up], h.items[at]
		at = up
	}
}

// Pop removes the least item.
func (h *Heap[T]) Pop() T {
	top := h.items[0]
	last := len(h.items) - 1
	h.items[0] = h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	h.siftDown(0)
	return top
}

func (h *Heap[T]) siftDown(index int) {
	for {
		least := index
		for _, down := range [2]int{2*index + 1, 2*index + 2} {
			if down < len(h.items) && h.less(&h.items[down], &h.items[least]) {
				least = down
			}
		}
		if least == index {
			return
		}
		h.items[index], h.items[least] = h.items[least], h.items[index]
		index = least
	}
}

// Len counts the items.
func (h *Heap[T]) Len() int { return len(h.items) }

// newClock starts virtual time. Events at one moment run in the order in
// which they were asked for, so that a run depends on its seed alone.
func newClock(start time.Time) *Clock {
	c := &Clock{now: start}
	c.queue.less = func(a, b *event) bool {
		if a.at.Equal(b.at) {
			return a.sequence < b.sequence
		}
		return a.at.Before(b.at)
	}
	return c
}

// After runs a function after a span of virtual time.
func (c *Clock) After(d time.Duration, run func()) {
	c.lastSequence++
	c.queue.Push(event{at: c.now.Add(max(0, d)), sequence: c.lastSequence, run: run})
}

// RunUntil runs events up to a moment.
func (c *Clock) RunUntil(end time.Time) {
	for c.queue.Len() > 0 && !c.queue.items[0].at.After(end) {
		e := c.queue.Pop()
		c.now = e.at
		e.run()
	}
	c.now = end
}

// randomizeSpan varies a span by half of itself either way.
func randomizeSpan(r *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + r.Float64()))
}

// Now is the virtual time.
func (c *Clock) Now() time.Time { return c.now }
