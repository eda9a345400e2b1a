package admission

import (
	"time"
)

type (
	// SlidingWindow counts the requests of one proxy to one server in a sliding window.
	SlidingWindow struct {
		sent []time.Time
	}
)

// HasRoom reports whether one more request stays within share in the window that ends now.
func (w *SlidingWindow) HasRoom(now time.Time, length time.Duration, share int) bool {
	for len(w.sent) > 0 && now.Sub(w.sent[0]) >= length {
		w.sent = w.sent[1:]
	}
	return len(w.sent) < share
}

// Record counts a sent request.
func (w *SlidingWindow) Record(now time.Time) { w.sent = append(w.sent, now) }

// NextAllowed returns when one more request stays within share, or the zero time if share is zero.
func (w *SlidingWindow) NextAllowed(now time.Time, length time.Duration, share int) time.Time {
	if w.HasRoom(now, length, share) {
		return now
	}
	if share < 1 {
		return time.Time{}
	}
	return w.sent[len(w.sent)-share].Add(length)
}

// Apportion returns the part of total requests that belongs to the proxy with the given rank, from
// 0. The remainder of the division goes to the first ranks, one request each.
func Apportion(total, rank, proxies int) int {
	if proxies < 1 || rank < 0 || rank >= proxies {
		return 0
	}
	share := total / proxies
	if rank < total%proxies {
		share++
	}
	return share
}
