package ratelimit

import (
	"math"
	"time"
)

const (
	// rateTimeConstant is how long a request counts for the rate of arrivals.
	rateTimeConstant = 2 * time.Second
)

type (
	// RequestRate is how many requests come in a second, of late.
	RequestRate struct {
		perSecond float64
		at        time.Time
	}
)

// Record counts one request.
func (a *RequestRate) Record(now time.Time) {
	a.perSecond = a.PerSecond(now) + 1/rateTimeConstant.Seconds()
	a.at = now
}

// PerSecond is the rate at a moment.
func (a *RequestRate) PerSecond(now time.Time) float64 {
	if a.perSecond == 0 {
		return 0
	}
	return a.perSecond * math.Exp(-max(0, now.Sub(a.at).Seconds())/rateTimeConstant.Seconds())
}
