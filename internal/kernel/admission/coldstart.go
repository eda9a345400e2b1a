package admission

import (
	"math"
	"time"
)

const (
	// coldStartUtilization is the part of a cold server's rate that is used. The rest is a margin
	// for proxies that see different sets of peers.
	coldStartUtilization = 0.8
	// coldStartWindow is the sliding window in which a proxy sends its share of the requests that a
	// cold server can handle in a second. It is longer than a second because a request over a new
	// connection arrives later than one over an existing connection, by a round trip of up to 70 ms
	// and some setup time: requests sent over more than a second may arrive within one.
	coldStartWindow = 1100 * time.Millisecond
)

type (
	// ColdStartLimiter limits the requests of one proxy to one cold server.
	ColdStartLimiter struct {
		sent SlidingWindow
	}

	// ColdStartRate is the number of requests that a cold server can handle from all proxies in any
	// second: PerSecond times Factor, plus Slack.
	ColdStartRate struct {
		PerSecond float64
		Factor    float64
		Slack     float64
	}
)

// Share returns how many requests per second the proxy with the given rank, from 0, may send. The
// rate is only a handful of requests per second, so equal shares would round down to none: the
// remainder goes to the first ranks, one request each.
func (c ColdStartRate) Share(rank, proxies int) int {
	total := int(math.Floor(coldStartUtilization * (c.PerSecond*c.Factor + c.Slack)))
	return Apportion(total, rank, proxies)
}

// HasRoom reports whether the share permits one more request now.
func (c *ColdStartLimiter) HasRoom(now time.Time, share int) bool {
	return c.sent.HasRoom(now, coldStartWindow, share)
}

// Record counts a sent request.
func (c *ColdStartLimiter) Record(now time.Time) { c.sent.Record(now) }
