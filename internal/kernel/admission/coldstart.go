package admission

import (
	"math"
	"time"
)

const (
	// coldStartUtilization is the part of a cold server's rate in use. The rest covers
	// proxies that see unlike sets of peers.
	coldStartUtilization = 0.8
	// coldStartWindow is the sliding window in which a proxy sends its part of what a
	// server bears in a second. It is longer by what a request over a new
	// connection takes longer than one over a kept connection, a round trip of up
	// to 70 ms and some: what is sent within a second and that may arrive within
	// one.
	coldStartWindow = 1100 * time.Millisecond
)

type (
	// ColdStartLimiter paces one proxy's requests to one cold server.
	ColdStartLimiter struct {
		sent SlidingWindow
	}

	// ColdStartRate is what a cold server bears from all proxies in any second.
	ColdStartRate struct {
		PerSecond float64
		Factor    float64
		Slack     float64
	}
)

// Share is how many requests a second the proxy of the given rank, from 0, may
// send. A second's worth is a handful of requests, so it is not divided among
// all proxies, each of which would get less than one: the first ranks get one
// request after the other until none is left.
func (c ColdStartRate) Share(rank, proxies int) int {
	total := int(math.Floor(coldStartUtilization * (c.PerSecond*c.Factor + c.Slack)))
	return Apportion(total, rank, proxies)
}

// HasRoom reports whether one more request is within the share of this second.
func (c *ColdStartLimiter) HasRoom(now time.Time, share int) bool {
	return c.sent.HasRoom(now, coldStartWindow, share)
}

// Record counts one request.
func (c *ColdStartLimiter) Record(now time.Time) { c.sent.Record(now) }
