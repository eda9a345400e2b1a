// Package ratelimit enforces rate limits that many proxies share. Each proxy holds a share of
// every limit, and the shares add up to at most the full limit at every moment, even if some
// proxies are unreachable: a share is transferred as a lease with an expiry, and the giver lowers
// its own share before the receiver can use it.
//
// Each share has its own token bucket. All proxies together therefore admit in any window at most
// the rate times the window plus one burst, however the shares move between them.
package ratelimit

import (
	"math"
	"time"
)

const (
	// FullShare is the whole limit.
	FullShare Share = 1_000_000
	// overageUsed is the fraction of the operators' overage by which the enforced limit is
	// raised. The rest covers retried requests and proxies whose views of the fleet differ.
	overageUsed = 0.5
	// startupFraction is the fraction of the overage reserved for processes that have just
	// started. All processes may start twice within a window.
	startupFraction = 0.2
	// minToken is the amount that counts as a full token. Shares are integer millionths, so the
	// shares of all proxies add up to slightly less than the full limit.
	minToken = 0.999
	// headroom is the factor by which a requested share exceeds the recent request rate.
	headroom = 1.25
)

type (
	// Limit is the request rate allowed for all proxies together.
	Limit struct {
		// PerSecond is the rate; zero means unlimited.
		PerSecond float64
		// Burst is the number of requests allowed at once in addition to the rate.
		Burst float64
	}

	// Overage is how far operators allow a limit to be exceeded in any window.
	Overage struct {
		Window time.Duration
		// Ratio is a fraction of what the limit allows in the window. Requests is an absolute
		// number on top of it.
		Ratio    float64
		Requests float64
	}

	// Share is a fraction of a limit, in millionths.
	Share int64

	// Bucket is a token bucket for one share of a limit.
	Bucket struct {
		tokens     float64
		share      Share
		refilledAt time.Time
	}
)

// Unlimited reports whether the limit allows any rate.
func (l Limit) Unlimited() bool { return l.PerSecond <= 0 }

// WithOverage returns the limit to enforce: the limit plus part of the overage, so that requests
// within the limit aren't denied because the shares are uneven.
func (l Limit) WithOverage(a Overage) Limit {
	if l.Unlimited() {
		return l
	}
	factor := 1 + overageUsed*a.Ratio
	return Limit{PerSecond: l.PerSecond * factor, Burst: max(1, l.Burst*factor+overageUsed*a.Requests)}
}

// StartupBurst returns how many requests all processes together may admit at startup, before they
// know which shares their predecessors have deposited. It is a fraction of the overage, taken
// from the part that WithOverage leaves unused.
func (l Limit) StartupBurst(a Overage) float64 {
	if l.Unlimited() {
		return 0
	}
	return startupFraction * (a.Ratio*(l.PerSecond*a.Window.Seconds()+l.Burst) + a.Requests)
}

// EqualShare returns the share of each of a number of equal holders.
func EqualShare(holders int) Share { return FullShare / Share(max(1, holders)) }

// ratePerSecond and burst return the share's fraction of the limit's rate and burst.
func (s Share) ratePerSecond(l Limit) float64 { return float64(s) / float64(FullShare) * l.PerSecond }
func (s Share) burst(l Limit) float64         { return float64(s) / float64(FullShare) * l.Burst }

// shareForRate returns the share needed to admit requests that arrive at a rate, with headroom.
func shareForRate(perSecond float64, l Limit) Share {
	if l.Unlimited() || perSecond <= 0 {
		return 0
	}
	return Share(min(float64(FullShare), math.Ceil(headroom*perSecond/l.PerSecond*float64(FullShare))))
}

// Refill adds the tokens accrued until now and sets the share to s. A share that has grown adds
// no tokens by itself, because its previous holder may have used them.
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

// Take takes a token and reports whether there was one.
func (b *Bucket) Take() bool {
	if b.tokens < minToken {
		return false
	}
	b.tokens--
	return true
}

// Charge takes a token even if the bucket is empty. Later requests wait until the debt is
// refilled.
func (b *Bucket) Charge() { b.tokens-- }

// Refund returns an unused token to the bucket.
func (b *Bucket) Refund() { b.tokens++ }

// Full reports whether the bucket holds as many tokens as its share allows.
func (b *Bucket) Full(l Limit) bool { return b.tokens >= b.share.burst(l) }

// Wait returns the time until the next token, at most maxWait.
func (b *Bucket) Wait(l Limit, maxWait time.Duration) time.Duration {
	rate := b.share.ratePerSecond(l)
	if rate <= 0 || b.share.burst(l) < minToken {
		return maxWait
	}
	return min(maxWait, time.Duration(max(0, 1-b.tokens)/rate*float64(time.Second)))
}
