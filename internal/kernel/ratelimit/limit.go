// Package ratelimit keeps requests within limits that many proxies share. Each proxy
// holds a share of every limit, and the shares add up to at most the whole at every
// moment, whoever can't be heard: a share is handed on for a time, and its giver lowers
// its own first.
//
// A share is a token bucket of its own. What all admit in a window is therefore at most
// the rate times the window and one burst, however the shares move.
package ratelimit

import (
	"math"
	"time"
)

const (
	// FullShare is all of a limit.
	FullShare Share = 1_000_000
	// overageUsed is the part in use of what operators allow beyond a limit. The rest
	// covers requests that are sent again and views of the fleet that differ.
	overageUsed = 0.5
	// startupFraction is the part of it for processes that start; all may start twice within
	// a window.
	startupFraction = 0.2
	// minToken is what counts as a token. Shares are whole millionths, and those of all
	// add up to a little less than the whole.
	minToken = 0.999
	// headroom is how much more is wanted than what has come of late.
	headroom = 1.25
)

type (
	// Limit is how many requests may be sent, by all together.
	Limit struct {
		// PerSecond is the rate; zero for no limit.
		PerSecond float64
		// Burst is how many may come at once on top.
		Burst float64
	}

	// Overage is what operators allow beyond a limit in any window.
	Overage struct {
		Window time.Duration
		// Ratio is a part of what the limit allows in the window, Requests a number on
		// top.
		Ratio    float64
		Requests float64
	}

	// Share is a part of a limit, in millionths.
	Share int64

	// Bucket is a token bucket that holds a share of a limit.
	Bucket struct {
		tokens     float64
		share      Share
		refilledAt time.Time
	}
)

// Unlimited reports whether there is no limit.
func (l Limit) Unlimited() bool { return l.PerSecond <= 0 }

// WithOverage is the limit that is kept to: a part of the allowance comes on top, so that what
// is within the limit need not be refused because shares are uneven.
func (l Limit) WithOverage(a Overage) Limit {
	if l.Unlimited() {
		return l
	}
	factor := 1 + overageUsed*a.Ratio
	return Limit{PerSecond: l.PerSecond * factor, Burst: max(1, l.Burst*factor+overageUsed*a.Requests)}
}

// StartupBurst is how many requests all processes together may let through at their start,
// before they can know what the processes before them have given away: a part of what is
// allowed beyond the limit and not in use.
func (l Limit) StartupBurst(a Overage) float64 {
	if l.Unlimited() {
		return 0
	}
	return startupFraction * (a.Ratio*(l.PerSecond*a.Window.Seconds()+l.Burst) + a.Requests)
}

// EqualShare is the share of each of a number of equal holders.
func EqualShare(holders int) Share { return FullShare / Share(max(1, holders)) }

// ratePerSecond is a share's part of the rate, burst its part of the burst.
func (s Share) ratePerSecond(l Limit) float64 { return float64(s) / float64(FullShare) * l.PerSecond }
func (s Share) burst(l Limit) float64         { return float64(s) / float64(FullShare) * l.Burst }

// shareForRate is the share that lets requests through that arrive at a rate.
func shareForRate(perSecond float64, l Limit) Share {
	if l.Unlimited() || perSecond <= 0 {
		return 0
	}
	return Share(min(float64(FullShare), math.Ceil(headroom*perSecond/l.PerSecond*float64(FullShare))))
}

// Refill brings the tokens up to a moment, at which a share is held. A share that has
// grown brings no tokens: whoever held it before may have used them.
func (b *Bucket) Refill(now time.Time, l Limit, s Share) {
	unchanged := min(b.share, s)
	if now.After(b.refilledAt) {
		if !b.refilledAt.IsZero() {
			b.tokens += now.Sub(b.refilledAt).Seconds() * unchanged.ratePerSecond(l)
		}
		b.refilledAt = now
	}
	b.share = s
	b.tokens = min(b.tokens, unchanged.burst(l))
}

// Take takes a token, if there is one.
func (b *Bucket) Take() bool {
	if b.tokens < minToken {
		return false
	}
	b.tokens--
	return true
}

// Charge takes a token though there may be none: later requests wait for it.
func (b *Bucket) Charge() { b.tokens-- }

// Refund gives a token back that was not used.
func (b *Bucket) Refund() { b.tokens++ }

// Full reports whether the bucket holds all that its share allows.
func (b *Bucket) Full(l Limit) bool { return b.tokens >= b.share.burst(l) }

// Wait is the time until the next token, or most if that is longer.
func (b *Bucket) Wait(l Limit, maxWait time.Duration) time.Duration {
	rate := b.share.ratePerSecond(l)
	if rate <= 0 || b.share.burst(l) < minToken {
		return maxWait
	}
	return min(maxWait, time.Duration(max(0, 1-b.tokens)/rate*float64(time.Second)))
}
