package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/account"
	"github.com/gypsumquay/gypsumquay/internal/kernel/ratelimit"
)

const (
	// fleetWait is how long after its start a proxy waits to be told of how many proxies
	// limits are divided. Later it takes those that it knows, twice.
	fleetWait = 4 * time.Second
	// poolSuffix tells what a proxy asks as a pool from what it asks for itself.
	poolSuffix = "/pool"
)

type (
	// limits are this proxy's shares of the limits of client accounts, and what others
	// have given to it as their region's pool.
	limits struct {
		kernel *Kernel
		holder *ratelimit.Holder
		pool   *ratelimit.Pool
		// fleet is among how many proxies limits are divided at least, as all have been
		// told; zero if this one has not. holders are those that it knows.
		fleet   int
		holders int
		// waited is set once this proxy need not be told any more.
		waited bool
	}
)

func newLimits(k *Kernel) *limits {
	l := &limits{
		kernel: k,
		holder: ratelimit.NewHolder(k.config.Name, k.config.Joined),
		pool:   ratelimit.NewPool(uint64(max(1, k.config.Joined.UnixMilli())), k.config.Joined),
	}
	l.holder.Limits, l.pool.Limits, l.pool.Starter = l.of, l.of, l.starter
	return l
}

// starter is how many requests of an account all processes may let through at their start.
func (l *limits) starter(name string) float64 {
	return l.account(name).Limit.Starter(l.kernel.config.Quota)
}

// of is the limit that an account is held to, with a part of what is allowed beyond it.
func (l *limits) of(name string) ratelimit.Limit {
	return l.account(name).Limit.With(l.kernel.config.Quota)
}

// account is the account of a name; one that is not known has no limit and no share of one.
func (l *limits) account(name string) account.Account {
	if l.kernel.table == nil {
		return account.Account{}
	}
	a := l.kernel.table.Accounts.ByName(name)
	if a == nil {
		return account.Account{}
	}
	return *a
}

// setHolders sets among how many proxies limits are divided. Shares of proxies that no
// longer count but may be alive must not be taken, so they count too.
func (l *limits) setHolders(n int) {
	l.holders = n
	l.divide()
}

// divide settles the own part. While nobody has told how many there are, a proxy that
// has just started knows too few others, and takes nothing.
func (l *limits) divide() {
	switch {
	case l.fleet > 0:
		l.holder.SetPart(ratelimit.Part(max(l.fleet, l.holders)))
	case l.waited:
		l.holder.SetPart(ratelimit.Part(2 * l.holders))
	}
}

// tick drops what has run out.
func (l *limits) tick(now time.Time) {
	if !l.waited && now.Sub(l.kernel.config.Joined) >= fleetWait {
		l.waited = true
		l.divide()
	}
	l.holder.Tick(now)
	l.pool.Tick(now)
}

// limit decides whether a request is within its account's limit, or whom to ask.
func (k *Kernel) limit(now time.Time, f *Flight) Decision {
	if f.Account == nil {
		return k.start(now, f)
	}
	ruling := k.limits.holder.Take(now, f.Account.Name)
	if ruling.Verdict == ratelimit.AskPool && ruling.Pool == k.config.Name {
		ruling = k.limits.holder.Asked(now, f.Account.Name, ruling, k.limits.pool.Take(now, f.Account.Name), true)
	}
	return k.ruled(now, f, ruling)
}

// ruled goes on with a request that is within its limit, has a pool asked, or refuses it.
func (k *Kernel) ruled(now time.Time, f *Flight, r ratelimit.Ruling) Decision {
	switch r.Verdict {
	case ratelimit.Admitted:
		return k.start(now, f)
	case ratelimit.AskPool:
		f.asked = r
		return Decision{Pool: r.Pool}
	}
	d := Decision{Reason: ReasonRateLimit, NotRun: true, ComeBack: k.returnAfter(r.Wait), Elsewhere: r.Elsewhere}
	return k.finish(now, f, d)
}

// returnAfter is when a caller may come back for whom there is no token before a wait,
// spread so that not all return to the same one.
func (k *Kernel) returnAfter(wait time.Duration) time.Duration {
	wait = max(wait, comeBackLeast)
	return min(comeBackMost, wait+time.Duration(k.random.Int64N(int64(wait))))
}

// Token takes in the pool's answer for a request that it was asked about, if there was
// one, and decides what follows.
func (k *Kernel) Token(now time.Time, f *Flight, t ratelimit.Token, answered bool) Decision {
	d := k.ruled(now, f, k.limits.holder.Asked(now, f.Account.Name, f.asked, t, answered))
	if k.config.Record != nil {
		v := verdictOf(d)
		k.config.Record(Call{Do: callToken, At: now, Flight: f.number, Token: &t, On: answered, Decision: &v})
	}
	return d
}

// TakeToken answers a proxy that asks the pool here for one request of an account.
func (k *Kernel) TakeToken(now time.Time, account string) ratelimit.Token {
	k.record(Call{Do: callTakeToken, At: now, ID: account})
	return k.limits.pool.Take(now, account)
}

// HasLimits reports whether any account of the configuration in force has a limit.
func (k *Kernel) HasLimits() bool {
	return k.table != nil && k.table.Accounts.HasRateLimits()
}

// LimitReport tells what this proxy's pool must hear now, and who that is; best is the
// proxy that should be the pool, others are pools of other regions.
func (k *Kernel) LimitReport(now time.Time, best string, others []string) (string, ratelimit.Report) {
	k.record(Call{Do: callReport, At: now, ID: best, IDs: others})
	return k.limits.holder.Report(now, best, others)
}

// HearReport answers a proxy whose pool this is.
func (k *Kernel) HearReport(now time.Time, r ratelimit.Report) ratelimit.Grants {
	k.record(Call{Do: callHearReport, At: now, Report: &r})
	return k.limits.pool.Hear(now, r)
}

// HearGrants takes in the pool's answer to a report made at a moment, and tells whether
// the next one should follow at once.
func (k *Kernel) HearGrants(now, asked time.Time, pool string, g ratelimit.Grants) bool {
	k.record(Call{Do: callHearGrants, At: now, Asked: asked, ID: pool, Grants: &g})
	return k.limits.holder.Granted(now, asked, pool, g)
}

// ReportUnanswered notes that the pool did not answer a report.
func (k *Kernel) ReportUnanswered(now time.Time, pool string) {
	k.record(Call{Do: callUnanswered, At: now, ID: pool})
	k.limits.holder.Unanswered(now, pool)
}

// Borrow tells what other regions' pools should lend to the one here; nothing if there
// is none here, or it has enough.
func (k *Kernel) Borrow(now time.Time, lenders []string) []ratelimit.Loan {
	k.record(Call{Do: callBorrow, At: now, IDs: lenders})
	return k.limits.pool.Borrow(now, k.config.Name+poolSuffix, lenders)
}

// HearLoan takes in what another region's pool lends, as asked for at a moment.
func (k *Kernel) HearLoan(now, asked time.Time, lender string, g ratelimit.Grants) {
	k.record(Call{Do: callHearLoan, At: now, Asked: asked, ID: lender, Grants: &g})
	k.limits.pool.Lent(now, asked, lender, g)
}

// SetFleet tells among how many proxies limits are divided at least, as all are told.
func (k *Kernel) SetFleet(n int) {
	k.record(Call{Do: callFleet, Count: n})
	k.limits.fleet = n
	k.limits.divide()
}

// Holders is among how many proxies limits are divided as this one knows them.
func (k *Kernel) Holders() int { return len(k.sharers) }

// FirstOfFleet reports whether this proxy sees to what one of all must do.
func (k *Kernel) FirstOfFleet() bool {
	for _, p := range k.proxies {
		if !p.Leaving {
			return p.Name == k.config.Name
		}
	}
	return false
}

// Resumed notes that this process did not run for a while, or that clocks say so: what
// others gave it for a time may have ended.
func (k *Kernel) Resumed(now time.Time) {
	k.record(Call{Do: callResumed, At: now})
	k.limits.holder.Resume(now)
	k.limits.pool.Reset(now)
}
