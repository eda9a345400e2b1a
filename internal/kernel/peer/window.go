package peer

import (
	"time"
)

const (
	// WindowLength is the length of the sliding window in which quotas are counted.
	WindowLength = time.Second
	// minRingSize is the initial size of the ring buffer of admission times.
	minRingSize = 16
)

type (
	// SlidingWindow counts admissions in a sliding window of one second. It records the time of
	// each admission, because a token bucket would admit nearly twice its rate within some
	// one-second windows.
	SlidingWindow struct {
		times []time.Time
		head  int
		count int
	}
)

// Used returns the number of admissions within the window that ends at now.
func (w *SlidingWindow) Used(now time.Time) int {
	w.trim(now)
	return w.count
}

// Admit records an admission and returns true, or returns false if the limit is reached.
func (w *SlidingWindow) Admit(now time.Time, limit int) bool {
	if w.Used(now) >= limit {
		return false
	}
	w.push(now)
	return true
}

// Undo removes the latest admission, for a request that another limit rejected.
func (w *SlidingWindow) Undo() {
	if w.count > 0 {
		w.count--
	}
}

func (w *SlidingWindow) trim(now time.Time) {
	for w.count > 0 && now.Sub(w.times[w.head]) >= WindowLength {
		w.head = (w.head + 1) % len(w.times)
		w.count--
	}
}

func (w *SlidingWindow) push(now time.Time) {
	if w.count == len(w.times) {
		w.grow()
	}
	w.times[(w.head+w.count)%len(w.times)] = now
	w.count++
}

func (w *SlidingWindow) grow() {
	larger := make([]time.Time, max(minRingSize, 2*len(w.times)))
	for i := range w.count {
		larger[i] = w.times[(w.head+i)%len(w.times)]
	}
	w.times = larger
	w.head = 0
}
