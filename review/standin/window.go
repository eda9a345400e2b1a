package main

import (
	"sync/atomic"
	"time"
)

// window is the time of a disruption, which may come more than once.
type window struct{ until atomic.Int64 }

// open begins a disruption.
func (w *window) open(r *record, name string, length time.Duration) {
	r.writef("disruption: %s for %s", name, length)
	w.until.Store(time.Now().Add(length).UnixNano())
}

func (w *window) isOpen() bool { return time.Now().UnixNano() < w.until.Load() }

// openRepeatedly begins a disruption again and again until an end.
func (w *window) openRepeatedly(r *record, name string, length, pause time.Duration, end time.Time) {
	for time.Now().Add(length).Before(end) {
		w.open(r, name, length)
		time.Sleep(length + pause)
	}
}
