package warmnet

import (
	"container/heap"
	"time"
)

type (
	event struct {
		at    time.Duration
		order int
		do    func()
	}

	events []event
)

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, event{at: w.now + d, order: w.order, do: do})
}
