// Package simnet simulates a system of several kernels in one process and in virtual time: an
// in-memory network with delays, loss, partitions and frozen processes connects them with each
// other and with simulated callers, backend servers and the platform. The simulation verifies the
// guarantees of the system while it runs. The randomised tests and the benchmarks share its code.
package simnet

import (
	"math/rand/v2"
	"time"
)

type (
	// event is a function scheduled for a moment.
	event struct {
		at       time.Time
		sequence uint64
		run      func()
	}

	// Heap is a binary heap ordered by a comparison function.
	Heap[T any] struct {
		items []T
		less  func(a, b *T) bool
	}

	// Clock is a virtual clock with a queue of scheduled events.
	Clock struct {
		now          time.Time
		lastSequence uint64
		queue        Heap[event]
	}
)

// Push adds an item.
func (h *Heap[T]) Push(item T) {
	h.items = append(h.items, item)
	index := len(h.items) - 1
	for index > 0 {
		parent := (index - 1) / 2
		if !h.less(&h.items[index], &h.items[parent]) {
			return
		}
		h.items[index], h.items[parent] = h.items[parent], h.items[index]
		index = parent
	}
}

// Pop removes and returns the least item.
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
		for _, child := range [2]int{2*index + 1, 2*index + 2} {
			if child < len(h.items) && h.less(&h.items[child], &h.items[least]) {
				least = child
			}
		}
		if least == index {
			return
		}
		h.items[index], h.items[least] = h.items[least], h.items[index]
		index = least
	}
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.items) }

// newClock returns a clock that starts at the given time. Events at the same time run in the order
// in which they were scheduled, so that a run depends on its seed alone.
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

// After schedules a function after a span of virtual time.
func (c *Clock) After(delay time.Duration, run func()) {
	c.lastSequence++
	c.queue.Push(event{at: c.now.Add(max(0, delay)), sequence: c.lastSequence, run: run})
}

// RunUntil runs the events up to and including the given time and sets the clock to it.
func (c *Clock) RunUntil(end time.Time) {
	for c.queue.Len() > 0 && !c.queue.items[0].at.After(end) {
		e := c.queue.Pop()
		c.now = e.at
		e.run()
	}
	c.now = end
}

// jitter returns a random span between half and one and a half times the mean.
func jitter(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.5 + random.Float64()))
}

// Now returns the virtual time.
func (c *Clock) Now() time.Time { return c.now }
