// Package schedule runs functions in virtual time, in the order of their moments.
package schedule

import (
	"container/heap"
	"time"
)

type (
	// Schedule is what is still to run. The zero value is at the beginning of time.
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

// After runs a function some time from now. Functions of the same moment run in the order
// in which they were added.
func (s *Schedule) After(delay time.Duration, run func()) {
	s.lastSequence++
	heap.Push(&s.queue, event{at: s.Now + delay, sequence: s.lastSequence, run: run})
}

// RunNext runs the next function, and reports false if there is none.
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
