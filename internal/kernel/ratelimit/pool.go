package ratelimit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxTokenWait is the longest wait for a token that a pool tells.
	maxTokenWait = time.Second
	// memberTTL is how long a proxy that no longer reports is remembered.
	memberTTL = 10 * time.Second
)

type (
	// Pool holds the parts that proxies give away and grants them to those that need
	// them. Any proxy may be one: a pool has only what it was given.
	Pool struct {
		// Limits tells the limit of an account; none for one that is not known.
		Limits func(account string) Limit
		// StartupBurst tells how many requests of an account all processes together may let
		// through at their start.
		StartupBurst func(account string) float64

		id           uint64
		start        time.Time
		lastAnswerID uint64
		members      map[string]*member
		accounts     map[string]*pooledAccount
		// lenders are the last answers of other regions' pools.
		lenders map[string]appliedAnswer
		// depositedShare is what was here at the moment settled; accrued is what has come in by
		// time since it last fell, in shares times seconds.
		depositedShare      Share
		settledAt           time.Time
		accruedShareSeconds float64
		// startupShare are the parts of the processes that have started until a short while ago.
		startupShare Share
		startupUntil time.Time
	}

	// grantRequest is one report being answered.
	grantRequest struct {
		now    time.Time
		from   string
		member *member
		// available is what may be granted, lasts for how long.
		available Share
		ttl       time.Duration
		answerID  uint64
	}

	// appliedAnswer is the last answer of a start of a pool that was taken in.
	appliedAnswer struct {
		poolID   uint64
		answerID uint64
	}

	// LoanRequest is what another region's pool is asked for.
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
		// processStart is that of the proxy's process, as far as it is known.
		processStart uint64
		// withdrawnAt is the pool's clock when the part was last taken back: reports made before
		// may still arrive.
		withdrawnAt time.Duration
		// isRemotePool is set for the pool of another region.
		isRemotePool bool
	}

	// pooledAccount is an account's limit at the pool.
	pooledAccount struct {
		bucket Bucket
		// tokenRequests are those for single requests.
		tokenRequests RequestRate
		// startupTokens are tokens of processes that have just started; counted is how much of
		// the pool's starter they are made from.
		startupTokens       float64
		startupShareCounted Share
		// wants and grants are by proxy.
		wants  map[string]shareLease
		grants map[string]grant
		// borrowed are shares that other pools have lent.
		borrowed map[string]shareLease
	}

	// shareLease is a share until a moment.
	shareLease struct {
		share Share
		until time.Time
	}

	// grant is what a proxy was granted. Until it tells that it has heard of the current
	// grant, it may hold the one before.
	grant struct {
		current, previous shareLease
		answerID          uint64
	}
)

// NewPool makes a pool that has nothing yet. The id tells the starts of the process apart.
func NewPool(id uint64, start time.Time) *Pool {
	return &Pool{id: id, start: start, members: make(map[string]*member), accounts: make(map[string]*pooledAccount), lenders: make(map[string]appliedAnswer)}
}

// Reset forgets all that was given: this process did not run for a while, and the givers
// have taken their parts back.
func (p *Pool) Reset(now time.Time) {
	clear(p.members)
	clear(p.accounts)
	clear(p.lenders)
	p.id++
	p.start, p.depositedShare, p.accruedShareSeconds = now, 0, 0
}

// HasDeposits reports whether any proxy gives its part to this pool.
func (p *Pool) HasDeposits(now time.Time) bool { return p.deposited(now, 0) > 0 }

// HandleReport takes a report in and answers it.
func (p *Pool) HandleReport(now time.Time, r Report) Grants {
	m := p.members[r.From]
	if m == nil {
		m = &member{}
		p.members[r.From] = m
	}
	m.lastReportAt, m.isRemotePool = now, r.Lends
	p.lastAnswerID++
	answer := Grants{Pool: p.id, Clock: now.Sub(p.start), ID: p.lastAnswerID}
	if r.Pool == p.id {
		m.lastApplied = r.Applied
		p.recordDeposit(m, r)
	}
	p.recordStart(now, m, r)
	p.settle(now)
	if r.Withdraws {
		answer.Withdrawn = p.withdraw(now, r.From, m)
		return answer
	}
	for _, w := range r.Wants {
		p.account(now, w.Account).wants[r.From] = shareLease{share: w.Share, until: now.Add(grantTTL)}
	}
	req := grantRequest{now: now, from: r.From, member: m, available: p.deposited(now, minDepositLeft), ttl: p.grantDuration(now), answerID: answer.ID}
	answer.For = req.ttl
	for _, w := range r.Wants {
		if share := p.grant(req, w); share > 0 {
			answer.Shares = append(answer.Shares, AccountShare{Account: w.Account, Share: share})
		}
	}
	return answer
}

// recordDeposit takes in that a proxy gives its part away.
func (p *Pool) recordDeposit(m *member, r Report) {
	until := p.start.Add(r.Echo + depositTTL)
	if r.Part > 0 && r.Echo > m.withdrawnAt && until.After(m.depositUntil) {
		m.deposit, m.depositUntil = r.Part, until
	}
}

// recordStart takes in that a process has started. Its part may still be held by others, but
// some requests are let through at once.
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

// takeStartupToken takes one of the tokens of processes that have just started.
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

// settle brings all buckets up to a moment if the pool has become larger or smaller.
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

// withdraw gives a proxy its part back, unless others have been granted of it.
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

// grant settles the share of an account that a proxy holds from now on. What another one
// may still hold is left to it.
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
		a.grants[req.from] = grant{answerID: req.answerID, previous: previous, current: shareLease{share: share, until: req.now.Add(req.ttl)}}
	}
	p.refill(req.now, l, a)
	return share
}

// fairShare is the share that a proxy should get of what its region has: what it wants, or if
// that is too much for all, the same part as the others. Other regions get what is to
// spare.
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

// wanted sums what the region's proxies want, for a time or request by request, and what
// other regions do.
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

// grantDuration is how long a share lasts that is granted now: no longer than what backs it.
func (p *Pool) grantDuration(now time.Time) time.Duration {
	ttl := grantTTL
	for _, m := range p.members {
		if left := m.depositUntil.Sub(now); m.deposit > 0 && left >= minDepositLeft {
			ttl = min(ttl, left)
		}
	}
	return ttl
}

// deposited sums the parts that are here for a time at least.
func (p *Pool) deposited(now time.Time, minLeft time.Duration) Share {
	sum := Share(0)
	for _, m := range p.members {
		if left := m.depositUntil.Sub(now); left > 0 && left >= minLeft {
			sum += m.deposit
		}
	}
	return min(sum, FullShare)
}

// Take answers a proxy that asks for a single request of an account.
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
		// Proxies that have started with this one have not given their parts yet.
		wait = startupLeft + poolRampUp
	}
	return TokenReply{Wait: a.bucket.Wait(l, wait)}
}

// refill brings an account's bucket up to a moment, at the share that the pool keeps.
func (p *Pool) refill(now time.Time, l Limit, a *pooledAccount) {
	a.bucket.Refill(now, l, max(0, p.depositedShare+a.totalBorrowed(now)-a.totalGranted(now)))
}

// LoanRequests tells other regions' pools what the one here lacks, divided over them; nothing
// if it lacks nothing.
func (p *Pool) LoanRequests(now time.Time, from string, lenders []string) []LoanRequest {
	wants := p.shortfalls(now, len(lenders))
	if len(wants) == 0 {
		return nil
	}
	list := make([]LoanRequest, 0, len(lenders))
	for _, name := range lenders {
		known := p.lenders[name]
		list = append(list, LoanRequest{Lender: name, Report: Report{From: from, Pool: known.poolID, Applied: known.answerID, Lends: true, Wants: wants}})
	}
	return list
}

// shortfalls lists the shares that are wanted here beyond what there is, divided by a number.
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

// ApplyLoan takes in a lender's answer to what was asked at a moment.
func (p *Pool) ApplyLoan(now, requestedAt time.Time, lender string, g Grants) {
	if known := p.lenders[lender]; known.poolID == g.Pool && known.answerID >= g.ID {
		// The lender may hold what an older answer granted for ended.
		return
	}
	p.lenders[lender] = appliedAnswer{poolID: g.Pool, answerID: g.ID}
	for _, a := range p.accounts {
		delete(a.borrowed, lender)
	}
	for _, s := range g.Shares {
		p.account(now, s.Account).borrowed[lender] = shareLease{share: s.Share, until: requestedAt.Add(g.For)}
	}
}

// Tick forgets proxies that no longer report and accounts that nobody uses.
func (p *Pool) Tick(now time.Time) {
	p.settle(now)
	maps.DeleteFunc(p.members, func(_ string, m *member) bool { return now.Sub(m.lastReportAt) > memberTTL })
	for name, a := range p.accounts {
		ended := func(_ string, r shareLease) bool { return !r.active(now) }
		maps.DeleteFunc(a.wants, ended)
		maps.DeleteFunc(a.borrowed, ended)
		maps.DeleteFunc(a.grants, func(_ string, g grant) bool { return !g.current.active(now) && !g.previous.active(now) })
		p.refill(now, p.Limits(name), a)
		if len(a.wants)+len(a.grants)+len(a.borrowed) == 0 && a.bucket.Full(p.Limits(name)) {
			delete(p.accounts, name)
		}
	}
}

// account is an account's limit here. One that was not used so far has the tokens that
// came in meanwhile.
func (p *Pool) account(now time.Time, name string) *pooledAccount {
	a := p.accounts[name]
	if a == nil {
		a = &pooledAccount{wants: make(map[string]shareLease), grants: make(map[string]grant), borrowed: make(map[string]shareLease)}
		a.bucket = Bucket{tokens: p.accruedShareSeconds * p.Limits(name).PerSecond, share: p.depositedShare, refilledAt: now}
		p.accounts[name] = a
	}
	return a
}

// totalGranted is the share that proxies may hold; grantedExcept leaves one of them out.
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

// totalBorrowed is the share that other pools have lent.
func (a *pooledAccount) totalBorrowed(now time.Time) Share {
	sum := Share(0)
	for _, r := range a.borrowed {
		if r.active(now) {
			sum += r.share
		}
	}
	return sum
}

// heldBy is what the proxy that reports may hold of its grant until it hears of the next.
func (g grant) heldBy(req grantRequest) shareLease {
	held := g.current
	if req.member.lastApplied < g.answerID && g.previous.active(req.now) {
		held = shareLease{share: max(held.share, g.previous.share), until: laterOf(held.until, g.previous.until)}
	}
	if !held.active(req.now) {
		return shareLease{}
	}
	return held
}

// maxHeld is the share that a proxy may hold of a grant.
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

// proRata is a part of have that is to have as want is to all.
func proRata(want, available, totalWanted Share) Share { return want * available / max(1, totalWanted) }

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
