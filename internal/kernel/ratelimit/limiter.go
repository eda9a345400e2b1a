package ratelimit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Admitted means that the request is within the share held here.
	Admitted Verdict = iota + 1
	// AskPool means that the pool may have a token for the request.
	AskPool
	// Denied means that there is no token.
	Denied
)

const (
	// minDenyTime and maxDenyTime bound how long the pool is not asked for an account
	// again after it had no token.
	minDenyTime = 50 * time.Millisecond
	maxDenyTime = time.Second
	// unresponsivePoolBackoff is how long a pool that did not answer is not asked for requests.
	unresponsivePoolBackoff = 500 * time.Millisecond
	// noPoolRetryAfter is when a caller may come back whose proxy reaches no pool: another
	// proxy can serve it at once.
	noPoolRetryAfter = 100 * time.Millisecond
	// minRateForShare is the rate from which a share is wanted, in requests a second. A share
	// that is hardly used is lost to the others; below it the pool is asked each time.
	minRateForShare = 5.0
	// idleRate is the rate below which an account is forgotten, in requests a second.
	idleRate = 0.05
)

type (
	// Verdict says what is to become of a request.
	Verdict uint8

	// Decision is the verdict on one request.
	Decision struct {
		Verdict Verdict
		// Pool is who is to be asked, Next where to go on if it has no token.
		Pool      string
		NextIndex int
		// RetryAfter is when there may be a token, Elsewhere is set if another proxy may have
		// one now.
		RetryAfter     time.Duration
		RetryElsewhere bool
	}

	// Limiter is one proxy's side of all limits: its own part, which it gives to the pool
	// of its region while there is one, and what the pool has granted it.
	Limiter struct {
		// Limits tells the limit of an account; none for one that has none.
		Limits func(account string) Limit

		name      string
		baseShare Share
		// processStart tells the starts of the process apart; started is set once the pool has
		// heard of this one.
		processStart  uint64
		startReported bool
		// depositedUntil is how long others may hold the own part, baseShareSince since when it has
		// been here undiminished.
		depositedUntil time.Time
		baseShareSince time.Time
		pool           poolSession
		// otherPools are the pools of some other regions.
		otherPools []string
		// unresponsiveUntil is until when pools that did not answer are not asked.
		unresponsiveUntil map[string]time.Time
		accounts          map[string]*accountState
	}

	// poolSession is what is known of the pool that this proxy reports to.
	poolSession struct {
		name string
		// id and clock are the pool's, as told last; no id if it has not answered yet.
		id          uint64
		clock       time.Duration
		lastApplied uint64
		// deposited is set while the own part is with this start of the pool.
		deposited bool
		// withdrawing is set while the part is taken back.
		withdrawing bool
	}

	// accountState is an account's limit as held here.
	accountState struct {
		bucket      Bucket
		granted     shareLease
		grantedBy   string
		requestRate RequestRate
		deniedUntil time.Time
		admitted    uint64
		denied      uint64
	}

	// AccountUsage is an account's state here, for operators.
	AccountUsage struct {
		Account string
		Share   Share
		// PerSecond is the rate of requests here, of late.
		PerSecond float64
		// Admitted and Denied count requests since the account was last idle.
		Admitted uint64
		Denied   uint64
	}
)

// NewLimiter makes the holder of a process that started at a moment. What the process
// before it on this VM gave away may still be in use.
func NewLimiter(name string, start time.Time) *Limiter {
	return &Limiter{name: name, processStart: uint64(start.UnixMilli()), depositedUntil: start.Add(depositTTL + clockDriftMargin), unresponsiveUntil: make(map[string]time.Time), accounts: make(map[string]*accountState)}
}

// SetBaseShare sets the own part of all limits.
func (h *Limiter) SetBaseShare(share Share) {
	if share > h.baseShare {
		h.baseShareSince = time.Time{}
	}
	h.baseShare = share
}

// ResetAfterPause forgets what was granted and given: this process did not run for a while, and
// shares may have ended meanwhile by others' clocks.
func (h *Limiter) ResetAfterPause(now time.Time) {
	h.pool = poolSession{}
	h.depositedUntil = now.Add(depositTTL + clockDriftMargin)
	for _, a := range h.accounts {
		a.granted = shareLease{}
	}
}

// Take rules on one request of an account.
func (h *Limiter) Take(now time.Time, account string) Decision {
	l := h.Limits(account)
	if l.Unlimited() {
		return Decision{Verdict: Admitted}
	}
	a := h.account(account)
	if a.bucket.refilledAt.IsZero() && !now.Before(h.depositedUntil) {
		a.bucket = Bucket{refilledAt: h.baseShareHeldSince(now), share: h.baseShare}
	}
	a.requestRate.Record(now)
	a.bucket.Refill(now, l, h.shareHeld(now, a))
	switch {
	case a.bucket.Take():
		a.admitted++
		return Decision{Verdict: Admitted}
	case now.Before(a.deniedUntil):
		a.denied++
		return Decision{Verdict: Denied, RetryAfter: a.deniedUntil.Sub(now)}
	}
	if decision, found := h.nextPool(now, 0); found {
		return decision
	}
	a.denied++
	return h.denyWithoutPool(now)
}

// denyWithoutPool denies a request because no pool can be asked. Another proxy may serve it, unless
// all may have just started.
func (h *Limiter) denyWithoutPool(now time.Time) Decision {
	if startupLeft := h.depositedUntil.Sub(now); !h.startReported && startupLeft > 0 {
		return Decision{Verdict: Denied, RetryAfter: startupLeft + poolRampUp}
	}
	return Decision{Verdict: Denied, RetryAfter: noPoolRetryAfter, RetryElsewhere: true}
}

// Tick notes since when the own part has been here.
func (h *Limiter) Tick(now time.Time) { h.baseShareHeldSince(now) }

// baseShareHeldSince is since when the own part has been here. An account that was not used since
// then has the tokens that came in meanwhile.
func (h *Limiter) baseShareHeldSince(now time.Time) time.Time {
	if h.baseShareSince.IsZero() {
		h.baseShareSince = now
	}
	return laterOf(h.baseShareSince, h.depositedUntil)
}

// nextPool names the next pool to ask: that of the own region first, then some others.
func (h *Limiter) nextPool(now time.Time, first int) (Decision, bool) {
	for i := first; i <= len(h.otherPools); i++ {
		pool := h.pool.name
		if i > 0 {
			pool = h.otherPools[i-1]
		}
		if pool != "" && !now.Before(h.unresponsiveUntil[pool]) {
			return Decision{Verdict: AskPool, Pool: pool, NextIndex: i + 1}, true
		}
	}
	return Decision{}, false
}

// HandlePoolReply takes in the answer to a ruling that a pool is to be asked; there may be none.
func (h *Limiter) HandlePoolReply(now time.Time, account string, asked Decision, reply TokenReply, answered bool) Decision {
	a := h.account(account)
	if answered && reply.Granted {
		a.admitted++
		return Decision{Verdict: Admitted}
	}
	if !answered {
		h.MarkUnresponsive(now, asked.Pool)
	}
	if next, found := h.nextPool(now, asked.NextIndex); found {
		return next
	}
	a.denied++
	if !answered {
		return h.denyWithoutPool(now)
	}
	wait := max(minDenyTime, min(reply.Wait, maxDenyTime))
	a.deniedUntil = laterOf(a.deniedUntil, now.Add(wait))
	return Decision{Verdict: Denied, RetryAfter: wait}
}

// Charge counts a request that is sent again, and may have run before.
func (h *Limiter) Charge(account string) {
	if a := h.accounts[account]; a != nil {
		a.bucket.Charge()
	}
}

// Refund takes back that a request was admitted, if it was not sent.
func (h *Limiter) Refund(account string) {
	if a := h.accounts[account]; a != nil {
		a.bucket.Refund()
	}
}

// NextReport tells what the pool must hear now, and who that is. best is the proxy that
// should be the pool; while the part is taken back from another one that answers, it is
// that one still. others are pools of other regions that may be asked for requests.
func (h *Limiter) NextReport(now time.Time, preferred string, otherPools []string) (to string, r Report) {
	h.otherPools = otherPools
	h.choosePool(now, preferred)
	r = Report{From: h.name, Pool: h.pool.id, Echo: h.pool.clock, Applied: h.pool.lastApplied, Withdraws: h.pool.withdrawing}
	if h.pool.withdrawing {
		return h.pool.name, r
	}
	if h.pool.id != 0 && (h.pool.deposited || !now.Before(h.depositedUntil)) {
		// The own share goes down before the pool can hear of it.
		h.pool.deposited = true
		h.depositedUntil = laterOf(h.depositedUntil, now.Add(depositTTL+clockDriftMargin))
		r.Part = h.baseShare
	}
	if !h.startReported {
		r.Starter, r.Start = h.baseShare, h.processStart
	}
	r.Wants = h.wantedShares(now)
	return h.pool.name, r
}

// choosePool settles which pool is reported to.
func (h *Limiter) choosePool(now time.Time, preferred string) {
	p := &h.pool
	switch {
	case p.name == preferred:
		p.withdrawing = false
	case p.deposited && !now.Before(h.unresponsiveUntil[p.name]) && now.Before(h.depositedUntil):
		p.withdrawing = true
		for _, a := range h.accounts {
			a.granted = shareLease{}
		}
	default:
		*p = poolSession{name: preferred}
	}
}

// wantedShares lists the shares that are wanted, and forgets accounts that are idle.
func (h *Limiter) wantedShares(now time.Time) []AccountShare {
	var list []AccountShare
	for name, a := range h.accounts {
		rate := a.requestRate.PerSecond(now)
		if share := shareForRate(rate, h.Limits(name)); rate >= minRateForShare && share > 0 {
			list = append(list, AccountShare{Account: name, Share: share})
			continue
		}
		if rate < idleRate && !a.granted.active(now) && !now.Before(a.deniedUntil) && a.bucket.Full(h.Limits(name)) {
			delete(h.accounts, name)
		}
	}
	slices.SortFunc(list, func(a, b AccountShare) int { return cmp.Compare(a.Account, b.Account) })
	return list
}

// ApplyGrants takes in a pool's answer to a report made at a moment. It reports whether the
// next one should follow at once: the pool has not been given the part yet.
func (h *Limiter) ApplyGrants(now, reportedAt time.Time, pool string, g Grants) bool {
	p := &h.pool
	if p.name != pool {
		return false
	}
	delete(h.unresponsiveUntil, pool)
	if g.Withdrawn {
		h.depositedUntil = now
		*p = poolSession{}
		return true
	}
	h.startReported = h.startReported || h.baseShare > 0
	first := p.id != g.Pool
	if first {
		p.deposited = false
	}
	p.id, p.clock, p.lastApplied = g.Pool, g.Clock, g.ID
	if p.withdrawing {
		return false
	}
	h.replaceGrants(now, pool, g.Shares, reportedAt.Add(g.For))
	return first
}

// replaceGrants brings the shares that a pool grants into force, in place of those that it
// granted before.
func (h *Limiter) replaceGrants(now time.Time, pool string, shares []AccountShare, until time.Time) {
	for _, a := range h.accounts {
		if a.grantedBy == pool {
			a.granted = shareLease{}
		}
	}
	for _, s := range shares {
		a := h.account(s.Account)
		if !a.granted.active(now) || s.Share >= a.granted.share {
			a.granted, a.grantedBy = shareLease{share: s.Share, until: until}, pool
		}
	}
	for name, a := range h.accounts {
		a.bucket.Refill(now, h.Limits(name), h.shareHeld(now, a))
	}
}

// MarkUnresponsive notes that a pool did not answer. Callers must not wait for it again.
func (h *Limiter) MarkUnresponsive(now time.Time, pool string) {
	h.unresponsiveUntil[pool] = now.Add(unresponsivePoolBackoff)
}

// AccountUsages describes the accounts that are in use here, by name.
func (h *Limiter) AccountUsages(now time.Time) []AccountUsage {
	list := make([]AccountUsage, 0, len(h.accounts))
	for name, a := range h.accounts {
		list = append(list, AccountUsage{
			Account: name, Share: h.shareHeld(now, a), PerSecond: a.requestRate.PerSecond(now), Admitted: a.admitted, Denied: a.denied,
		})
	}
	slices.SortFunc(list, func(a, b AccountUsage) int { return cmp.Compare(a.Account, b.Account) })
	return list
}

// Pool is the proxy that is reported to, empty for none.
func (h *Limiter) Pool() string { return h.pool.name }

// shareHeld is what is held of an account's limit at a moment.
func (h *Limiter) shareHeld(now time.Time, a *accountState) Share {
	share := Share(0)
	if a.granted.active(now) {
		share = a.granted.share
	}
	if !now.Before(h.depositedUntil) {
		share += h.baseShare
	}
	return min(share, FullShare)
}

func (h *Limiter) account(name string) *accountState {
	a := h.accounts[name]
	if a == nil {
		a = &accountState{}
		h.accounts[name] = a
	}
	return a
}
