package ratelimit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Admitted means that the request fits the share held by this proxy.
	Admitted Verdict = iota + 1
	// AskPool means that a token must be requested from a pool.
	AskPool
	// Denied means that no token is available.
	Denied
)

const (
	// minDenyTime and maxDenyTime bound how long requests of an account are denied without asking
	// a pool, after a pool had no token.
	minDenyTime = 50 * time.Millisecond
	maxDenyTime = time.Second
	// unresponsivePoolBackoff is how long a pool that didn't reply isn't asked for tokens.
	unresponsivePoolBackoff = 500 * time.Millisecond
	// noPoolRetryAfter is the retry delay for callers of a proxy that reaches no pool. It is
	// short because another proxy can serve the request at once.
	noPoolRetryAfter = 100 * time.Millisecond
	// minRateForShare is the minimum request rate, per second, for which a proxy requests a
	// share. A share that is hardly used is lost to the other proxies; below this rate the pool
	// is asked for each request.
	minRateForShare = 5.0
	// idleRate is the request rate, per second, below which an idle account is evicted.
	idleRate = 0.05
)

type (
	// Verdict is the outcome of a decision on a request.
	Verdict uint8

	// Decision is the decision on one request.
	Decision struct {
		Verdict Verdict
		// Pool is the pool to ask. NextIndex is where the search continues if that pool has no
		// token.
		Pool      string
		NextIndex int
		// RetryAfter is when a token may be available. RetryElsewhere is set if another proxy may
		// have one now.
		RetryAfter     time.Duration
		RetryElsewhere bool
	}

	// Limiter is a proxy's local part of all rate limits. It admits requests within the shares
	// that the proxy holds: its base share, which it deposits with the pool of its region while
	// there is one, and the shares that the pool has granted it.
	Limiter struct {
		// Limits returns the limit of an account; unlimited if it has none.
		Limits func(account string) Limit

		name      string
		baseShare Share
		// processStart identifies the run of the process. startReported is set once the pool has
		// received it.
		processStart  uint64
		startReported bool
		// depositedUntil is the time until which other proxies may hold the base share.
		// baseShareSince is the time since which this proxy has held it undiminished.
		depositedUntil time.Time
		baseShareSince time.Time
		pool           poolSession
		// otherPools are pools of other regions.
		otherPools []string
		// unresponsiveUntil holds, for each pool that didn't reply, the time until which it isn't
		// asked.
		unresponsiveUntil map[string]time.Time
		accounts          map[string]*accountState
	}

	// poolSession is the state shared with the pool that this proxy reports to.
	poolSession struct {
		name string
		// id and clock are the last that the pool sent; id is zero before its first reply.
		id          uint64
		clock       time.Duration
		lastApplied uint64
		// deposited is set while the base share is deposited with this run of the pool.
		deposited bool
		// withdrawing is set while the deposit is being withdrawn.
		withdrawing bool
	}

	// accountState is the state of one account's limit at this proxy.
	accountState struct {
		bucket      Bucket
		granted     shareLease
		grantedBy   string
		requestRate RequestRate
		deniedUntil time.Time
		admitted    uint64
		denied      uint64
	}

	// AccountUsage is an account's share and request counts at this proxy, for operators.
	AccountUsage struct {
		Account string
		Share   Share
		// PerSecond is the recent request rate at this proxy.
		PerSecond float64
		// Admitted and Denied count requests since the account was last idle.
		Admitted uint64
		Denied   uint64
	}
)

// NewLimiter returns the limiter of a process that started at start. The base share counts as
// deposited at first, because a deposit of the previous process on this VM may still be in use.
func NewLimiter(name string, start time.Time) *Limiter {
	return &Limiter{name: name, processStart: uint64(start.UnixMilli()), depositedUntil: start.Add(depositTTL + clockDriftMargin), unresponsiveUntil: make(map[string]time.Time), accounts: make(map[string]*accountState)}
}

// SetBaseShare sets the base share of all limits.
func (h *Limiter) SetBaseShare(share Share) {
	if share > h.baseShare {
		h.baseShareSince = time.Time{}
	}
	h.baseShare = share
}

// ResetAfterPause drops all grants and the deposit. It is called when this process was suspended
// for a while: leases may have expired meanwhile by the clocks of other proxies.
func (h *Limiter) ResetAfterPause(now time.Time) {
	h.pool = poolSession{}
	h.depositedUntil = now.Add(depositTTL + clockDriftMargin)
	for _, a := range h.accounts {
		a.granted = shareLease{}
	}
}

// Take decides on one request of an account.
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

// denyWithoutPool denies a request because no pool can be asked. Another proxy may serve it,
// unless all proxies may have just started.
func (h *Limiter) denyWithoutPool(now time.Time) Decision {
	if startupLeft := h.depositedUntil.Sub(now); !h.startReported && startupLeft > 0 {
		return Decision{Verdict: Denied, RetryAfter: startupLeft + poolRampUp}
	}
	return Decision{Verdict: Denied, RetryAfter: noPoolRetryAfter, RetryElsewhere: true}
}

// Tick records the time since which this proxy has held its base share.
func (h *Limiter) Tick(now time.Time) { h.baseShareHeldSince(now) }

// baseShareHeldSince returns the time since which this proxy has held its base share. An
// account that wasn't used since then has accrued tokens for that time.
func (h *Limiter) baseShareHeldSince(now time.Time) time.Time {
	if h.baseShareSince.IsZero() {
		h.baseShareSince = now
	}
	return laterOf(h.baseShareSince, h.depositedUntil)
}

// nextPool returns the next pool to ask: the pool of the proxy's own region first, then those of
// other regions.
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

// HandlePoolReply continues the pending decision with the pool's reply. If replied is false, the
// pool didn't reply.
func (h *Limiter) HandlePoolReply(now time.Time, account string, pending Decision, reply TokenReply, replied bool) Decision {
	a := h.account(account)
	if replied && reply.Granted {
		a.admitted++
		return Decision{Verdict: Admitted}
	}
	if !replied {
		h.MarkUnresponsive(now, pending.Pool)
	}
	if next, found := h.nextPool(now, pending.NextIndex); found {
		return next
	}
	a.denied++
	if !replied {
		return h.denyWithoutPool(now)
	}
	wait := max(minDenyTime, min(reply.Wait, maxDenyTime))
	a.deniedUntil = laterOf(a.deniedUntil, now.Add(wait))
	return Decision{Verdict: Denied, RetryAfter: wait}
}

// Charge takes a token for a retry of a request that may have run before.
func (h *Limiter) Charge(account string) {
	if a := h.accounts[account]; a != nil {
		a.bucket.Charge()
	}
}

// Refund returns the token of an admitted request that wasn't sent.
func (h *Limiter) Refund(account string) {
	if a := h.accounts[account]; a != nil {
		a.bucket.Refund()
	}
}

// NextReport returns the next report and the pool to send it to. preferred is the proxy that
// should be the pool. While a deposit is being withdrawn from another pool that still replies,
// the report goes to that pool. otherPools are pools of other regions that may be asked for
// tokens.
func (h *Limiter) NextReport(now time.Time, preferred string, otherPools []string) (to string, r Report) {
	h.otherPools = otherPools
	h.choosePool(now, preferred)
	r = Report{From: h.name, Pool: h.pool.id, Echo: h.pool.clock, Applied: h.pool.lastApplied, Withdraws: h.pool.withdrawing}
	if h.pool.withdrawing {
		return h.pool.name, r
	}
	if h.pool.id != 0 && (h.pool.deposited || !now.Before(h.depositedUntil)) {
		// The local share is lowered before the pool can learn of the deposit.
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

// choosePool selects the pool to report to.
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

// wantedShares returns the shares to request and evicts idle accounts.
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

// ApplyGrants applies a pool's reply to a report made at reportedAt. It reports whether the next
// report should follow at once, because the base share isn't deposited with this pool yet.
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

// replaceGrants replaces the shares that a pool granted before by the new ones.
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

// MarkUnresponsive records that a pool didn't reply, so that callers don't wait for it again.
func (h *Limiter) MarkUnresponsive(now time.Time, pool string) {
	h.unresponsiveUntil[pool] = now.Add(unresponsivePoolBackoff)
}

// AccountUsages returns the usage of all active accounts, sorted by name.
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

// Pool returns the name of the pool that this proxy reports to, empty if there is none.
func (h *Limiter) Pool() string { return h.pool.name }

// shareHeld returns the share of an account's limit that this proxy holds at now.
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
