package ratelimit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// waitMost is the longest wait for a token that a pool tells.
	waitMost = time.Second
	// memberIdle is how long a proxy that no longer reports is remembered.
	memberIdle = 10 * time.Second
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

		id       uint64
		start    time.Time
		answers  uint64
		members  map[string]*member
		accounts map[string]*pooledAccount
		// lenders are the last answers of other regions' pools.
		lenders map[string]appliedAnswer
		// share is what was here at the moment settled; accrued is what has come in by
		// time since it last fell, in shares times seconds.
		share   Share
		settled time.Time
		accrued float64
		// starter are the parts of the processes that have started until a short while ago.
		starter      Share
		starterUntil time.Time
	}

	// reportContext is one report being answered.
	reportContext struct {
		now    time.Time
		from   string
		member *member
		// have is what may be granted, lasts for how long.
		have  Share
		lasts time.Duration
		id    uint64
	}

	// appliedAnswer is the last answer of a start of a pool that was taken in.
	appliedAnswer struct {
		id      uint64
		applied uint64
	}

	// LoanRequest is what another region's pool is asked for.
	LoanRequest struct {
		Lender string
		Report Report
	}

	// member is a proxy that reports to the pool.
	member struct {
		part    Share
		until   time.Time
		heard   time.Time
		applied uint64
		// start is that of the proxy's process, as far as it is known.
		start uint64
		// closed is the pool's clock when the part was last taken back: reports made before
		// may still arrive.
		closed time.Duration
		// borrows is set for the pool of another region.
		borrows bool
	}

	// pooledAccount is an account's limit at the pool.
	pooledAccount struct {
		bucket Bucket
		// asks are those for single requests.
		asks RequestRate
		// starters are tokens of processes that have just started; counted is how much of
		// the pool's starter they are made from.
		starters float64
		counted  Share
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
		current, before shareLease
		id              uint64
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
	p.start, p.share, p.accrued = now, 0, 0
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
	m.heard, m.borrows = now, r.Lends
	p.answers++
	answer := Grants{Pool: p.id, Clock: now.Sub(p.start), ID: p.answers}
	if r.Pool == p.id {
		m.applied = r.Applied
		p.deposit(m, r)
	}
	p.begins(now, m, r)
	p.settle(now)
	if r.Withdraws {
		answer.Withdrawn = p.withdraw(now, r.From, m)
		return answer
	}
	for _, w := range r.Wants {
		p.account(now, w.Account).wants[r.From] = shareLease{share: w.Share, until: now.Add(grantFor)}
	}
	d := reportContext{now: now, from: r.From, member: m, have: p.deposited(now, grantLeast), lasts: p.lasts(now), id: answer.ID}
	answer.For = d.lasts
	for _, w := range r.Wants {
		if share := p.grant(d, w); share > 0 {
			answer.Shares = append(answer.Shares, AccountShare{Account: w.Account, Share: share})
		}
	}
	return answer
}

// deposit takes in that a proxy gives its part away.
func (p *Pool) deposit(m *member, r Report) {
	until := p.start.Add(r.Echo + depositFor)
	if r.Part > 0 && r.Echo > m.closed && until.After(m.until) {
		m.part, m.until = r.Part, until
	}
}

// begins takes in that a process has started. Its part may still be held by others, but
// some requests are let through at once.
func (p *Pool) begins(now time.Time, m *member, r Report) {
	if r.Starter == 0 || m.start == r.Start {
		return
	}
	m.start = r.Start
	if now.After(p.starterUntil) {
		p.starter = 0
		for _, a := range p.accounts {
			a.starters, a.counted = 0, 0
		}
	}
	p.starter += r.Starter
	p.starterUntil = now.Add(depositFor + guard)
}

// takeStarter takes one of the tokens of processes that have just started.
func (p *Pool) takeStarter(now time.Time, account string, a *pooledAccount) bool {
	if now.After(p.starterUntil) {
		return false
	}
	a.starters += float64(p.starter-a.counted) / float64(FullShare) * p.StartupBurst(account)
	a.counted = p.starter
	if a.starters < 1 {
		return false
	}
	a.starters--
	return true
}

// settle brings all buckets up to a moment if the pool has become larger or smaller.
func (p *Pool) settle(now time.Time) {
	if now.After(p.settled) {
		p.accrued += float64(p.share) / float64(FullShare) * now.Sub(p.settled).Seconds()
		p.settled = now
	}
	share := p.deposited(now, 0)
	if share == p.share {
		return
	}
	if share < p.share {
		p.accrued = 0
	}
	p.share = share
	for name, a := range p.accounts {
		p.fill(now, p.Limits(name), a)
	}
}

// withdraw gives a proxy its part back, unless others have been granted of it.
func (p *Pool) withdraw(now time.Time, from string, m *member) bool {
	for name, a := range p.accounts {
		delete(a.grants, from)
		p.fill(now, p.Limits(name), a)
		if a.granted(now) > p.share-m.part {
			return false
		}
	}
	m.part, m.until, m.closed = 0, time.Time{}, now.Sub(p.start)
	p.settle(now)
	return true
}

// grant settles the share of an account that a proxy holds from now on. What another one
// may still hold is left to it.
func (p *Pool) grant(d reportContext, w AccountShare) Share {
	l, a := p.Limits(w.Account), p.account(d.now, w.Account)
	before := a.grants[d.from].heldBy(d)
	share := min(p.fair(d, a, w), d.have-a.grantedTo(d.now, d.from))
	if l.Unlimited() || share.burst(l) < tokenLeast {
		share = 0
	}
	if share == 0 && before.share == 0 {
		delete(a.grants, d.from)
	} else {
		a.grants[d.from] = grant{id: d.id, before: before, current: shareLease{share: share, until: d.now.Add(d.lasts)}}
	}
	p.fill(d.now, l, a)
	return share
}

// fair is the share that a proxy should get of what its region has: what it wants, or if
// that is too much for all, the same part as the others. Other regions get what is to
// spare.
func (p *Pool) fair(d reportContext, a *pooledAccount, w AccountShare) Share {
	want := w.Share
	have := d.have
	own, others := p.wanted(d.now, w.Account, a)
	all := own
	if d.member.borrows {
		have, all = max(0, have-own), others
	}
	if all > have {
		return scale(want, have, all)
	}
	return want
}

// wanted sums what the region's proxies want, for a time or request by request, and what
// other regions do.
func (p *Pool) wanted(now time.Time, account string, a *pooledAccount) (own, others Share) {
	own = wanted(a.asks.PerSecond(now), p.Limits(account))
	for name, w := range a.wants {
		if !w.live(now) {
			continue
		}
		if m := p.members[name]; m != nil && m.borrows {
			others += w.share
		} else {
			own += w.share
		}
	}
	return own, others
}

// lasts is how long a share lasts that is granted now: no longer than what backs it.
func (p *Pool) lasts(now time.Time) time.Duration {
	span := grantFor
	for _, m := range p.members {
		if left := m.until.Sub(now); m.part > 0 && left >= grantLeast {
			span = min(span, left)
		}
	}
	return span
}

// deposited sums the parts that are here for a time at least.
func (p *Pool) deposited(now time.Time, least time.Duration) Share {
	sum := Share(0)
	for _, m := range p.members {
		if left := m.until.Sub(now); left > 0 && left >= least {
			sum += m.part
		}
	}
	return min(sum, FullShare)
}

// Take answers a proxy that asks for a single request of an account.
func (p *Pool) Take(now time.Time, account string) TokenReply {
	l := p.Limits(account)
	if l.Unlimited() {
		return TokenReply{Wait: waitMost}
	}
	p.settle(now)
	a := p.account(now, account)
	a.asks.Record(now)
	p.fill(now, l, a)
	if a.bucket.Take() || p.takeStarter(now, account, a) {
		return TokenReply{Granted: true}
	}
	wait := waitMost
	if young := p.start.Add(depositFor + guard).Sub(now); p.share == 0 && young > 0 {
		// Proxies that have started with this one have not given their parts yet.
		wait = young + rampUp
	}
	return TokenReply{Wait: a.bucket.Wait(l, wait)}
}

// fill brings an account's bucket up to a moment, at the share that the pool keeps.
func (p *Pool) fill(now time.Time, l Limit, a *pooledAccount) {
	a.bucket.Refill(now, l, max(0, p.share+a.lent(now)-a.granted(now)))
}

// LoanRequests tells other regions' pools what the one here lacks, divided over them; nothing
// if it lacks nothing.
func (p *Pool) LoanRequests(now time.Time, from string, lenders []string) []LoanRequest {
	wants := p.short(now, len(lenders))
	if len(wants) == 0 {
		return nil
	}
	list := make([]LoanRequest, 0, len(lenders))
	for _, name := range lenders {
		known := p.lenders[name]
		list = append(list, LoanRequest{Lender: name, Report: Report{From: from, Pool: known.id, Applied: known.applied, Lends: true, Wants: wants}})
	}
	return list
}

// short lists the shares that are wanted here beyond what there is, divided by a number.
func (p *Pool) short(now time.Time, lenders int) []AccountShare {
	have := p.deposited(now, grantLeast)
	var list []AccountShare
	for name, a := range p.accounts {
		own, _ := p.wanted(now, name, a)
		if short := (own - have) / Share(max(1, lenders)); short > 0 {
			list = append(list, AccountShare{Account: name, Share: short})
		}
	}
	slices.SortFunc(list, func(a, b AccountShare) int { return cmp.Compare(a.Account, b.Account) })
	return list
}

// ApplyLoan takes in a lender's answer to what was asked at a moment.
func (p *Pool) ApplyLoan(now, asked time.Time, lender string, g Grants) {
	if known := p.lenders[lender]; known.id == g.Pool && known.applied >= g.ID {
		// The lender may hold what an older answer granted for ended.
		return
	}
	p.lenders[lender] = appliedAnswer{id: g.Pool, applied: g.ID}
	for _, a := range p.accounts {
		delete(a.borrowed, lender)
	}
	for _, s := range g.Shares {
		p.account(now, s.Account).borrowed[lender] = shareLease{share: s.Share, until: asked.Add(g.For)}
	}
}

// Tick forgets proxies that no longer report and accounts that nobody uses.
func (p *Pool) Tick(now time.Time) {
	p.settle(now)
	maps.DeleteFunc(p.members, func(_ string, m *member) bool { return now.Sub(m.heard) > memberIdle })
	for name, a := range p.accounts {
		ended := func(_ string, r shareLease) bool { return !r.live(now) }
		maps.DeleteFunc(a.wants, ended)
		maps.DeleteFunc(a.borrowed, ended)
		maps.DeleteFunc(a.grants, func(_ string, g grant) bool { return !g.current.live(now) && !g.before.live(now) })
		p.fill(now, p.Limits(name), a)
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
		a.bucket = Bucket{tokens: p.accrued * p.Limits(name).PerSecond, share: p.share, at: now}
		p.accounts[name] = a
	}
	return a
}

// granted is the share that proxies may hold; grantedTo leaves one of them out.
func (a *pooledAccount) granted(now time.Time) Share { return a.grantedTo(now, "") }

func (a *pooledAccount) grantedTo(now time.Time, without string) Share {
	sum := Share(0)
	for name, g := range a.grants {
		if name != without {
			sum += g.most(now)
		}
	}
	return sum
}

// lent is the share that other pools have lent.
func (a *pooledAccount) lent(now time.Time) Share {
	sum := Share(0)
	for _, r := range a.borrowed {
		if r.live(now) {
			sum += r.share
		}
	}
	return sum
}

// heldBy is what the proxy that reports may hold of its grant until it hears of the next.
func (g grant) heldBy(d reportContext) shareLease {
	held := g.current
	if d.member.applied < g.id && g.before.live(d.now) {
		held = shareLease{share: max(held.share, g.before.share), until: later(held.until, g.before.until)}
	}
	if !held.live(d.now) {
		return shareLease{}
	}
	return held
}

// most is the share that a proxy may hold of a grant.
func (g grant) most(now time.Time) Share {
	most := Share(0)
	for _, r := range []shareLease{g.current, g.before} {
		if r.live(now) {
			most = max(most, r.share)
		}
	}
	return most
}

func (r shareLease) live(now time.Time) bool { return r.share > 0 && now.Before(r.until) }

// scale is a part of have that is to have as want is to all.
func scale(want, have, all Share) Share { return want * have / max(1, all) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
