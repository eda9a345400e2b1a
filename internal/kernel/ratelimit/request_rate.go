package ratelimit

import (
	"math"
	"time"
)

const (
	// rateTimeConstant is the time constant of the exponentially decayed request rate.
	rateTimeConstant = 2 * time.Second
)

type (
	// RequestRate estimates the current request rate with an exponentially decayed count.
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

// PerSecond returns the estimated rate at now, in requests per second.
func (a *RequestRate) PerSecond(now time.Time) float64 {
	if a.perSecond == 0 {
		return 0
	}
	return a.perSecond * math.Exp(-max(0, now.Sub(a.at).Seconds())/rateTimeConstant.Seconds())
}
