package admission

import (
	"time"
)

type (
	// SlidingWindow counts one proxy's requests to one server in a sliding window.
	SlidingWindow struct {
		sent []time.Time
	}
)

// HasRoom reports whether one more request is within a share of the window that ends now.
func (p *SlidingWindow) HasRoom(now time.Time, length time.Duration, share int) bool {
	for len(p.sent) > 0 && now.Sub(p.sent[0]) >= length {
		p.sent = p.sent[1:]
	}
	return len(p.sent) < share
}

// Record counts one request.
func (p *SlidingWindow) Record(now time.Time) { p.sent = append(p.sent, now) }

// NextAllowed is when there is room for one more request; zero for never.
func (p *SlidingWindow) NextAllowed(now time.Time, length time.Duration, share int) time.Time {
	if p.HasRoom(now, length, share) {
		return now
	}
	if share < 1 {
		return time.Time{}
	}
	return p.sent[len(p.sent)-share].Add(length)
}

// Apportion is the share of the proxy of a rank, from 0, in a number of requests. One request
// after the other goes to the first ranks until none is left.
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
