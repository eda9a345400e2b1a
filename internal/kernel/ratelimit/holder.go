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
	// deniedLeast and deniedMost bound how long the pool is not asked for an account
	// again after it had no token.
	deniedLeast = 50 * time.Millisecond
	deniedMost  = time.Second
	// silentFor is how long a pool that did not answer is not asked for requests.
	silentFor = 500 * time.Millisecond
	// aloneWait is when a caller may come back whose proxy reaches no pool: another
	// proxy can serve it at once.
	aloneWait = 100 * time.Millisecond
	// wantLeast is the rate from which a share is wanted, in requests a second. A share
	// that is hardly used is lost to the others; below it the pool is asked each time.
	wantLeast = 5.0
	// idleBelow is the rate below which an account is forgotten, in requests a second.
	idleBelow = 0.05
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

		name string
		part Share
		// start tells the starts of the process apart; started is set once the pool has
		// heard of this one.
		start   uint64
		started bool
		// awayUntil is how long others may hold the own part, ownSince since when it has
		// been here undiminished.
		awayUntil time.Time
		ownSince  time.Time
		pool      poolSession
		// others are the pools of some other regions.
		others []string
		// silent is until when pools that did not answer are not asked.
		silent   map[string]time.Time
		accounts map[string]*accountState
	}

	// poolSession is what is known of the pool that this proxy reports to.
	poolSession struct {
		name string
		// id and clock are the pool's, as told last; no id if it has not answered yet.
		id      uint64
		clock   time.Duration
		applied uint64
		// given is set while the own part is with this start of the pool.
		given bool
		// leaving is set while the part is taken back.
		leaving bool
	}

	// accountState is an account's limit as held here.
	accountState struct {
		bucket      Bucket
		granted     shareLease
		from        string
		arrivals    RequestRate
		deniedUntil time.Time
		admitted    uint64
		denied      uint64
	}

	// AccountStatus is an account's state here, for operators.
	AccountStatus struct {
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
	return &Limiter{name: name, start: uint64(start.UnixMilli()), awayUntil: start.Add(depositFor + guard), silent: make(map[string]time.Time), accounts: make(map[string]*accountState)}
}

// SetBaseShare sets the own part of all limits.
func (h *Limiter) SetBaseShare(part Share) {
	if part > h.part {
		h.ownSince = time.Time{}
	}
	h.part = part
}

// ResetAfterPause forgets what was granted and given: this process did not run for a while, and
// shares may have ended meanwhile by others' clocks.
func (h *Limiter) ResetAfterPause(now time.Time) {
	h.pool = poolSession{}
	h.awayUntil = now.Add(depositFor + guard)
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
	if a.bucket.at.IsZero() && !now.Before(h.awayUntil) {
		a.bucket = Bucket{at: h.heldSince(now), share: h.part}
	}
	a.arrivals.Record(now)
	a.bucket.Refill(now, l, h.share(now, a))
	switch {
	case a.bucket.Take():
		a.admitted++
		return Decision{Verdict: Admitted}
	case now.Before(a.deniedUntil):
		a.denied++
		return Decision{Verdict: Denied, RetryAfter: a.deniedUntil.Sub(now)}
	}
	if ruling, found := h.ask(now, 0); found {
		return ruling
	}
	a.denied++
	return h.alone(now)
}

// alone denies a request because no pool can be asked. Another proxy may serve it, unless
// all may have just started.
func (h *Limiter) alone(now time.Time) Decision {
	if young := h.awayUntil.Sub(now); !h.started && young > 0 {
		return Decision{Verdict: Denied, RetryAfter: young + rampUp}
	}
	return Decision{Verdict: Denied, RetryAfter: aloneWait, RetryElsewhere: true}
}

// Tick notes since when the own part has been here.
func (h *Limiter) Tick(now time.Time) { h.heldSince(now) }

// heldSince is since when the own part has been here. An account that was not used since
// then has the tokens that came in meanwhile.
func (h *Limiter) heldSince(now time.Time) time.Time {
	if h.ownSince.IsZero() {
		h.ownSince = now
	}
	return later(h.ownSince, h.awayUntil)
}

// ask names the next pool to ask: that of the own region first, then some others.
func (h *Limiter) ask(now time.Time, from int) (Decision, bool) {
	for i := from; i <= len(h.others); i++ {
		pool := h.pool.name
		if i > 0 {
			pool = h.others[i-1]
		}
		if pool != "" && !now.Before(h.silent[pool]) {
			return Decision{Verdict: AskPool, Pool: pool, NextIndex: i + 1}, true
		}
	}
	return Decision{}, false
}

// HandlePoolReply takes in the answer to a ruling that a pool is to be asked; there may be none.
func (h *Limiter) HandlePoolReply(now time.Time, account string, asked Decision, t TokenReply, answered bool) Decision {
	a := h.account(account)
	if answered && t.Granted {
		a.admitted++
		return Decision{Verdict: Admitted}
	}
	if !answered {
		h.MarkUnresponsive(now, asked.Pool)
	}
	if next, found := h.ask(now, asked.NextIndex); found {
		return next
	}
	a.denied++
	if !answered {
		return h.alone(now)
	}
	wait := max(deniedLeast, min(t.Wait, deniedMost))
	a.deniedUntil = later(a.deniedUntil, now.Add(wait))
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
func (h *Limiter) NextReport(now time.Time, best string, others []string) (to string, r Report) {
	h.others = others
	h.choose(now, best)
	r = Report{From: h.name, Pool: h.pool.id, Echo: h.pool.clock, Applied: h.pool.applied, Withdraws: h.pool.leaving}
	if h.pool.leaving {
		return h.pool.name, r
	}
	if h.pool.id != 0 && (h.pool.given || !now.Before(h.awayUntil)) {
		// The own share goes down before the pool can hear of it.
		h.pool.given = true
		h.awayUntil = later(h.awayUntil, now.Add(depositFor+guard))
		r.Part = h.part
	}
	if !h.started {
		r.Starter, r.Start = h.part, h.start
	}
	r.Wants = h.wants(now)
	return h.pool.name, r
}

// choose settles which pool is reported to.
func (h *Limiter) choose(now time.Time, best string) {
	p := &h.pool
	switch {
	case p.name == best:
		p.leaving = false
	case p.given && !now.Before(h.silent[p.name]) && now.Before(h.awayUntil):
		p.leaving = true
		for _, a := range h.accounts {
			a.granted = shareLease{}
		}
	default:
		*p = poolSession{name: best}
	}
}

// wants lists the shares that are wanted, and forgets accounts that are idle.
func (h *Limiter) wants(now time.Time) []AccountShare {
	var list []AccountShare
	for name, a := range h.accounts {
		rate := a.arrivals.PerSecond(now)
		if share := wanted(rate, h.Limits(name)); rate >= wantLeast && share > 0 {
			list = append(list, AccountShare{Account: name, Share: share})
			continue
		}
		if rate < idleBelow && !a.granted.live(now) && !now.Before(a.deniedUntil) && a.bucket.Full(h.Limits(name)) {
			delete(h.accounts, name)
		}
	}
	slices.SortFunc(list, func(a, b AccountShare) int { return cmp.Compare(a.Account, b.Account) })
	return list
}

// ApplyGrants takes in a pool's answer to a report made at a moment. It reports whether the
// next one should follow at once: the pool has not been given the part yet.
func (h *Limiter) ApplyGrants(now, asked time.Time, pool string, g Grants) bool {
	p := &h.pool
	if p.name != pool {
		return false
	}
	delete(h.silent, pool)
	if g.Withdrawn {
		h.awayUntil = now
		*p = poolSession{}
		return true
	}
	h.started = h.started || h.part > 0
	first := p.id != g.Pool
	if first {
		p.given = false
	}
	p.id, p.clock, p.applied = g.Pool, g.Clock, g.ID
	if p.leaving {
		return false
	}
	h.replace(now, pool, g.Shares, asked.Add(g.For))
	return first
}

// replace brings the shares that a pool grants into force, in place of those that it
// granted before.
func (h *Limiter) replace(now time.Time, pool string, shares []AccountShare, until time.Time) {
	for _, a := range h.accounts {
		if a.from == pool {
			a.granted = shareLease{}
		}
	}
	for _, s := range shares {
		a := h.account(s.Account)
		if !a.granted.live(now) || s.Share >= a.granted.share {
			a.granted, a.from = shareLease{share: s.Share, until: until}, pool
		}
	}
	for name, a := range h.accounts {
		a.bucket.Refill(now, h.Limits(name), h.share(now, a))
	}
}

// MarkUnresponsive notes that a pool did not answer. Callers must not wait for it again.
func (h *Limiter) MarkUnresponsive(now time.Time, pool string) {
	h.silent[pool] = now.Add(silentFor)
}

// AccountStatuses describes the accounts that are in use here, by name.
func (h *Limiter) AccountStatuses(now time.Time) []AccountStatus {
	list := make([]AccountStatus, 0, len(h.accounts))
	for name, a := range h.accounts {
		list = append(list, AccountStatus{
			Account: name, Share: h.share(now, a), PerSecond: a.arrivals.PerSecond(now), Admitted: a.admitted, Denied: a.denied,
		})
	}
	slices.SortFunc(list, func(a, b AccountStatus) int { return cmp.Compare(a.Account, b.Account) })
	return list
}

// Pool is the proxy that is reported to, empty for none.
func (h *Limiter) Pool() string { return h.pool.name }

// share is what is held of an account's limit at a moment.
func (h *Limiter) share(now time.Time, a *accountState) Share {
	share := Share(0)
	if a.granted.live(now) {
		share = a.granted.share
	}
	if !now.Before(h.awayUntil) {
		share += h.part
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
