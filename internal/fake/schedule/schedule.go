// Package schedule runs functions in virtual time, ordered by the time they are scheduled for.
package schedule

import (
	"container/heap"
	"time"
)

type (
	// Schedule is a queue of scheduled functions with a virtual clock. The zero value is an empty
	// queue at time zero.
	Schedule struct {
		Now          time.Duration
		queue        events
		lastSequence int
	}

	event struct {
		at       time.Duration
		sequence int
		run      func()
	}

	events []event
)

// After schedules a function after a delay. Functions scheduled for the same time run in the order
// in which they were added.
func (s *Schedule) After(delay time.Duration, run func()) {
	s.lastSequence++
	heap.Push(&s.queue, event{at: s.Now + delay, sequence: s.lastSequence, run: run})
}

// RunNext advances the clock to the next function and runs it. It reports false if there is none.
func (s *Schedule) RunNext() bool {
	if len(s.queue) == 0 {
		return false
	}
	e := heap.Pop(&s.queue).(event)
	s.Now = e.at
	e.run()
	return true
}

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
