package ratelimit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxTokenWait is the longest wait for a token that a pool returns.
	maxTokenWait = time.Second
	// memberTTL is how long a proxy is kept as a member after its last report.
	memberTTL = 10 * time.Second
)

type (
	// Pool holds the shares that proxies deposit and grants them to the proxies that need them.
	// Any proxy can act as the pool of its region; a pool never grants more than was deposited or
	// lent to it.
	Pool struct {
		// Limits returns the limit of an account; unlimited if the account isn't known.
		Limits func(account string) Limit
		// StartupBurst returns how many requests of an account all processes together may admit
		// at startup.
		StartupBurst func(account string) float64

		id          uint64
		start       time.Time
		lastReplyID uint64
		members     map[string]*member
		accounts    map[string]*pooledAccount
		// lenders holds, for each pool of another region, the last reply that was applied.
		lenders map[string]appliedReply
		// depositedShare is the sum of the deposits at settledAt. accruedShareSeconds is the
		// integral of depositedShare over time since it last fell, with a full share as 1.
		depositedShare      Share
		settledAt           time.Time
		accruedShareSeconds float64
		// startupShare is the sum of the base shares of recently started processes. It expires at
		// startupUntil.
		startupShare Share
		startupUntil time.Time
	}

	// grantRequest is the context in which the shares of one report are granted.
	grantRequest struct {
		now    time.Time
		from   string
		member *member
		// available is the share that may be granted, for at most ttl.
		available Share
		ttl       time.Duration
		replyID   uint64
	}

	// appliedReply identifies the last reply that was applied from one run of a pool.
	appliedReply struct {
		poolID  uint64
		replyID uint64
	}

	// LoanRequest is a report to be sent to the pool of another region to borrow shares.
	LoanRequest struct {
		Lender string
		Report Report
	}

	// member is a proxy that reports to the pool.
	member struct {
		deposit      Share
		depositUntil time.Time
		lastReportAt time.Time
		lastApplied  uint64
		// processStart identifies the run of the proxy's process; zero if unknown.
		processStart uint64
		// withdrawnAt is the pool's clock at the last withdrawal. Reports made before it may
		// still arrive and must not restore the deposit.
		withdrawnAt time.Duration
		// isRemotePool is set if the member is the pool of another region.
		isRemotePool bool
	}

	// pooledAccount is the state of one account's limit at the pool.
	pooledAccount struct {
		bucket Bucket
		// tokenRequests is the rate of requests for single tokens.
		tokenRequests RequestRate
		// startupTokens are the remaining tokens for processes that have just started.
		// startupShareCounted is the part of the pool's startupShare that they already include.
		startupTokens       float64
		startupShareCounted Share
		// wants and grants are keyed by proxy.
		wants  map[string]shareLease
		grants map[string]grant
		// borrowed are the shares lent by other pools, keyed by pool.
		borrowed map[string]shareLease
	}

	// shareLease is a share that expires.
	shareLease struct {
		share Share
		until time.Time
	}

	// grant is a proxy's grant. Until the proxy confirms that it has applied the current grant,
	// it may still hold the previous one.
	grant struct {
		current, previous shareLease
		replyID           uint64
	}
)

// NewPool returns a pool without deposits. The id identifies the run of the process.
func NewPool(id uint64, start time.Time) *Pool {
	return &Pool{id: id, start: start, members: make(map[string]*member), accounts: make(map[string]*pooledAccount), lenders: make(map[string]appliedReply)}
}

// Reset drops all deposits and grants. It is called when this process was suspended for a while:
// the depositors have taken their shares back.
func (p *Pool) Reset(now time.Time) {
	clear(p.members)
	clear(p.accounts)
	clear(p.lenders)
	p.id++
	p.start, p.depositedShare, p.accruedShareSeconds = now, 0, 0
}

// HasDeposits reports whether any proxy has deposited its share with this pool.
func (p *Pool) HasDeposits(now time.Time) bool { return p.deposited(now, 0) > 0 }

// HandleReport processes a report and returns the reply.
func (p *Pool) HandleReport(now time.Time, r Report) Grants {
	m := p.members[r.From]
	if m == nil {
		m = &member{}
		p.members[r.From] = m
	}
	m.lastReportAt, m.isRemotePool = now, r.Lends
	p.lastReplyID++
	reply := Grants{Pool: p.id, Clock: now.Sub(p.start), ID: p.lastReplyID}
	if r.Pool == p.id {
		m.lastApplied = r.Applied
		p.recordDeposit(m, r)
	}
	p.recordStart(now, m, r)
	p.settle(now)
	if r.Withdraws {
		reply.Withdrawn = p.withdraw(now, r.From, m)
		return reply
	}
	for _, w := range r.Wants {
		p.account(now, w.Account).wants[r.From] = shareLease{share: w.Share, until: now.Add(grantTTL)}
	}
	req := grantRequest{now: now, from: r.From, member: m, available: p.deposited(now, minDepositLeft), ttl: p.grantDuration(now), replyID: reply.ID}
	reply.For = req.ttl
	for _, w := range r.Wants {
		if share := p.grant(req, w); share > 0 {
			reply.Shares = append(reply.Shares, AccountShare{Account: w.Account, Share: share})
		}
	}
	return reply
}

// recordDeposit records or extends the deposit of a proxy.
func (p *Pool) recordDeposit(m *member, r Report) {
	until := p.start.Add(r.Echo + depositTTL)
	if r.Part > 0 && r.Echo > m.withdrawnAt && until.After(m.depositUntil) {
		m.deposit, m.depositUntil = r.Part, until
	}
}

// recordStart records that a process has started. Its base share may still be held by others, but
// some requests are admitted at once from the startup burst.
func (p *Pool) recordStart(now time.Time, m *member, r Report) {
	if r.Starter == 0 || m.processStart == r.Start {
		return
	}
	m.processStart = r.Start
	if now.After(p.startupUntil) {
		p.startupShare = 0
		for _, a := range p.accounts {
			a.startupTokens, a.startupShareCounted = 0, 0
		}
	}
	p.startupShare += r.Starter
	p.startupUntil = now.Add(depositTTL + clockDriftMargin)
}

// takeStartupToken takes a token of the startup burst and reports whether there was one.
func (p *Pool) takeStartupToken(now time.Time, account string, a *pooledAccount) bool {
	if now.After(p.startupUntil) {
		return false
	}
	a.startupTokens += float64(p.startupShare-a.startupShareCounted) / float64(FullShare) * p.StartupBurst(account)
	a.startupShareCounted = p.startupShare
	if a.startupTokens < 1 {
		return false
	}
	a.startupTokens--
	return true
}

// settle updates the sum of the deposits and, if it has changed, refills all buckets.
func (p *Pool) settle(now time.Time) {
	if now.After(p.settledAt) {
		p.accruedShareSeconds += float64(p.depositedShare) / float64(FullShare) * now.Sub(p.settledAt).Seconds()
		p.settledAt = now
	}
	share := p.deposited(now, 0)
	if share == p.depositedShare {
		return
	}
	if share < p.depositedShare {
		p.accruedShareSeconds = 0
	}
	p.depositedShare = share
	for name, a := range p.accounts {
		p.refill(now, p.Limits(name), a)
	}
}

// withdraw returns a proxy's deposit, unless grants to other proxies depend on it.
func (p *Pool) withdraw(now time.Time, from string, m *member) bool {
	for name, a := range p.accounts {
		delete(a.grants, from)
		p.refill(now, p.Limits(name), a)
		if a.totalGranted(now) > p.depositedShare-m.deposit {
			return false
		}
	}
	m.deposit, m.depositUntil, m.withdrawnAt = 0, time.Time{}, now.Sub(p.start)
	p.settle(now)
	return true
}

// grant sets and returns the share of an account that a proxy holds from now on. It leaves
// untouched what other proxies may still hold.
func (p *Pool) grant(req grantRequest, w AccountShare) Share {
	l, a := p.Limits(w.Account), p.account(req.now, w.Account)
	previous := a.grants[req.from].heldBy(req)
	share := min(p.fairShare(req, a, w), req.available-a.grantedExcept(req.now, req.from))
	if l.Unlimited() || share.burst(l) < minToken {
		share = 0
	}
	if share == 0 && previous.share == 0 {
		delete(a.grants, req.from)
	} else {
		a.grants[req.from] = grant{replyID: req.replyID, previous: previous, current: shareLease{share: share, until: req.now.Add(req.ttl)}}
	}
	p.refill(req.now, l, a)
	return share
}

// fairShare returns the share that a proxy should get of its region's deposits: the share that it
// wants or, if all together want more than there is, a proportional part of it. Pools of other
// regions get what the region doesn't need.
func (p *Pool) fairShare(req grantRequest, a *pooledAccount, w AccountShare) Share {
	want := w.Share
	available := req.available
	own, remote := p.wanted(req.now, w.Account, a)
	totalWanted := own
	if req.member.isRemotePool {
		available, totalWanted = max(0, available-own), remote
	}
	if totalWanted > available {
		return proRata(want, available, totalWanted)
	}
	return want
}

// wanted returns the sum of the shares that the region's own proxies want, including the share
// needed for single tokens, and the sum that pools of other regions want.
func (p *Pool) wanted(now time.Time, account string, a *pooledAccount) (own, remote Share) {
	own = shareForRate(a.tokenRequests.PerSecond(now), p.Limits(account))
	for name, w := range a.wants {
		if !w.active(now) {
			continue
		}
		if m := p.members[name]; m != nil && m.isRemotePool {
			remote += w.share
		} else {
			own += w.share
		}
	}
	return own, remote
}

// grantDuration returns how long a share granted now is valid: no longer than the deposits that
// back it.
func (p *Pool) grantDuration(now time.Time) time.Duration {
	ttl := grantTTL
	for _, m := range p.members {
		if left := m.depositUntil.Sub(now); m.deposit > 0 && left >= minDepositLeft {
			ttl = min(ttl, left)
		}
	}
	return ttl
}

// deposited returns the sum of the deposits that remain for at least minLeft.
func (p *Pool) deposited(now time.Time, minLeft time.Duration) Share {
	sum := Share(0)
	for _, m := range p.members {
		if left := m.depositUntil.Sub(now); left > 0 && left >= minLeft {
			sum += m.deposit
		}
	}
	return min(sum, FullShare)
}

// Take replies to a request for a single token of an account.
func (p *Pool) Take(now time.Time, account string) TokenReply {
	l := p.Limits(account)
	if l.Unlimited() {
		return TokenReply{Wait: maxTokenWait}
	}
	p.settle(now)
	a := p.account(now, account)
	a.tokenRequests.Record(now)
	p.refill(now, l, a)
	if a.bucket.Take() || p.takeStartupToken(now, account, a) {
		return TokenReply{Granted: true}
	}
	wait := maxTokenWait
	if startupLeft := p.start.Add(depositTTL + clockDriftMargin).Sub(now); p.depositedShare == 0 && startupLeft > 0 {
		// Proxies that started at the same time haven't made their deposits yet.
		wait = startupLeft + poolRampUp
	}
	return TokenReply{Wait: a.bucket.Wait(l, wait)}
}

// refill updates an account's bucket with the share that the pool keeps for single tokens.
func (p *Pool) refill(now time.Time, l Limit, a *pooledAccount) {
	a.bucket.Refill(now, l, max(0, p.depositedShare+a.totalBorrowed(now)-a.totalGranted(now)))
}

// LoanRequests returns the loan requests to send to pools of other regions. They divide the
// shares that this pool lacks equally among the lenders; there are none if it lacks nothing.
func (p *Pool) LoanRequests(now time.Time, from string, lenders []string) []LoanRequest {
	wants := p.shortfalls(now, len(lenders))
	if len(wants) == 0 {
		return nil
	}
	list := make([]LoanRequest, 0, len(lenders))
	for _, name := range lenders {
		known := p.lenders[name]
		list = append(list, LoanRequest{Lender: name, Report: Report{From: from, Pool: known.poolID, Applied: known.replyID, Lends: true, Wants: wants}})
	}
	return list
}

// shortfalls returns the shares that are wanted here beyond the deposits, divided by the number
// of lenders.
func (p *Pool) shortfalls(now time.Time, lenders int) []AccountShare {
	available := p.deposited(now, minDepositLeft)
	var list []AccountShare
	for name, a := range p.accounts {
		own, _ := p.wanted(now, name, a)
		if shortfall := (own - available) / Share(max(1, lenders)); shortfall > 0 {
			list = append(list, AccountShare{Account: name, Share: shortfall})
		}
	}
	slices.SortFunc(list, func(a, b AccountShare) int { return cmp.Compare(a.Account, b.Account) })
	return list
}

// ApplyLoan applies a lender's reply to a loan request made at requestedAt.
func (p *Pool) ApplyLoan(now, requestedAt time.Time, lender string, g Grants) {
	if known := p.lenders[lender]; known.poolID == g.Pool && known.replyID >= g.ID {
		// An older reply arrived late. The lender may already regard its grants as expired.
		return
	}
	p.lenders[lender] = appliedReply{poolID: g.Pool, replyID: g.ID}
	for _, a := range p.accounts {
		delete(a.borrowed, lender)
	}
	for _, s := range g.Shares {
		p.account(now, s.Account).borrowed[lender] = shareLease{share: s.Share, until: requestedAt.Add(g.For)}
	}
}

// Tick evicts proxies that no longer report, expired leases and unused accounts.
func (p *Pool) Tick(now time.Time) {
	p.settle(now)
	maps.DeleteFunc(p.members, func(_ string, m *member) bool { return now.Sub(m.lastReportAt) > memberTTL })
	for name, a := range p.accounts {
		expired := func(_ string, r shareLease) bool { return !r.active(now) }
		maps.DeleteFunc(a.wants, expired)
		maps.DeleteFunc(a.borrowed, expired)
		maps.DeleteFunc(a.grants, func(_ string, g grant) bool { return !g.current.active(now) && !g.previous.active(now) })
		p.refill(now, p.Limits(name), a)
		if len(a.wants)+len(a.grants)+len(a.borrowed) == 0 && a.bucket.Full(p.Limits(name)) {
			delete(p.accounts, name)
		}
	}
}

// account returns the state of an account. A new one starts with the tokens accrued since the
// deposits last fell.
func (p *Pool) account(now time.Time, name string) *pooledAccount {
	a := p.accounts[name]
	if a == nil {
		a = &pooledAccount{wants: make(map[string]shareLease), grants: make(map[string]grant), borrowed: make(map[string]shareLease)}
		a.bucket = Bucket{tokens: p.accruedShareSeconds * p.Limits(name).PerSecond, share: p.depositedShare, refilledAt: now}
		p.accounts[name] = a
	}
	return a
}

// totalGranted returns the share that proxies may hold. grantedExcept leaves out one proxy.
func (a *pooledAccount) totalGranted(now time.Time) Share { return a.grantedExcept(now, "") }

func (a *pooledAccount) grantedExcept(now time.Time, proxy string) Share {
	sum := Share(0)
	for name, g := range a.grants {
		if name != proxy {
			sum += g.maxHeld(now)
		}
	}
	return sum
}

// totalBorrowed returns the share lent by other pools.
func (a *pooledAccount) totalBorrowed(now time.Time) Share {
	sum := Share(0)
	for _, r := range a.borrowed {
		if r.active(now) {
			sum += r.share
		}
	}
	return sum
}

// heldBy returns what the reporting proxy may hold of its grant until it learns of the next one.
func (g grant) heldBy(req grantRequest) shareLease {
	held := g.current
	if req.member.lastApplied < g.replyID && g.previous.active(req.now) {
		held = shareLease{share: max(held.share, g.previous.share), until: laterOf(held.until, g.previous.until)}
	}
	if !held.active(req.now) {
		return shareLease{}
	}
	return held
}

// maxHeld returns the largest share that a proxy may hold of a grant.
func (g grant) maxHeld(now time.Time) Share {
	held := Share(0)
	for _, r := range []shareLease{g.current, g.previous} {
		if r.active(now) {
			held = max(held, r.share)
		}
	}
	return held
}

func (r shareLease) active(now time.Time) bool { return r.share > 0 && now.Before(r.until) }

// proRata returns the part of available that is proportional to want among totalWanted.
func proRata(want, available, totalWanted Share) Share { return want * available / max(1, totalWanted) }

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
