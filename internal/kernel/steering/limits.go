package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/account"
	"github.com/gypsumquay/gypsumquay/internal/kernel/ratelimit"
)

const (
	// fleetSizeWait is how long after its start a proxy waits to be told of how many proxies
	// limits are divided. Later it takes those that it knows, twice.
	fleetSizeWait = 4 * time.Second
	// poolSuffix tells what a proxy asks as a pool from what it asks for itself.
	poolSuffix = "/pool"
)

type (
	// quotas are this proxy's shares of the limits of client accounts, and what others
	// have given to it as their region's pool.
	quotas struct {
		kernel  *Kernel
		limiter *ratelimit.Holder
		pool    *ratelimit.Pool
		// fleetSize is among how many proxies limits are divided at least, as all have been
		// told; zero if this one has not. holders are those that it knows.
		fleetSize    int
		knownProxies int
		// waitOver is set once this proxy need not be told any more.
		waitOver bool
	}
)

func newQuotas(k *Kernel) *quotas {
	l := &quotas{
		kernel:  k,
		limiter: ratelimit.NewHolder(k.config.Name, k.config.Joined),
		pool:    ratelimit.NewPool(uint64(max(1, k.config.Joined.UnixMilli())), k.config.Joined),
	}
	l.limiter.Limits, l.pool.Limits, l.pool.Starter = l.limitOf, l.limitOf, l.startAllowance
	return l
}

// startAllowance is how many requests of an account all processes may let through at their start.
func (l *quotas) startAllowance(name string) float64 {
	return l.account(name).Limit.Starter(l.kernel.config.Quota)
}

// limitOf is the limit that an account is held to, with a part of what is allowed beyond it.
func (l *quotas) limitOf(name string) ratelimit.Limit {
	return l.account(name).Limit.With(l.kernel.config.Quota)
}

// account is the account of a name; one that is not known has no limit and no share of one.
func (l *quotas) account(name string) account.Account {
	if l.kernel.table == nil {
		return account.Account{}
	}
	a := l.kernel.table.Accounts.Named(name)
	if a == nil {
		return account.Account{}
	}
	return *a
}

// setKnownProxies sets among how many proxies limits are divided. Shares of proxies that no
// longer count but may be alive must not be taken, so they count too.
func (l *quotas) setKnownProxies(n int) {
	l.knownProxies = n
	l.updatePart()
}

// updatePart settles the own part. While nobody has told how many there are, a proxy that
// has just started knows too few others, and takes nothing.
func (l *quotas) updatePart() {
	switch {
	case l.fleetSize > 0:
		l.limiter.SetPart(ratelimit.Part(max(l.fleetSize, l.knownProxies)))
	case l.waitOver:
		l.limiter.SetPart(ratelimit.Part(2 * l.knownProxies))
	}
}

// tick drops what has run out.
func (l *quotas) tick(now time.Time) {
	if !l.waitOver && now.Sub(l.kernel.config.Joined) >= fleetSizeWait {
		l.waitOver = true
		l.updatePart()
	}
	l.limiter.Tick(now)
	l.pool.Tick(now)
}

// checkQuota decides whether a request is within its account's limit, or whom to ask.
func (k *Kernel) checkQuota(now time.Time, req *ActiveRequest) Decision {
	if req.Account == nil {
		return k.dispatch(now, req)
	}
	ruling := k.quotas.limiter.Take(now, req.Account.Name)
	if ruling.Verdict == ratelimit.AskPool && ruling.Pool == k.config.Name {
		ruling = k.quotas.limiter.Asked(now, req.Account.Name, ruling, k.quotas.pool.Take(now, req.Account.Name), true)
	}
	return k.applyQuotaRuling(now, req, ruling)
}

// applyQuotaRuling goes on with a request that is within its limit, has a pool asked, or refuses it.
func (k *Kernel) applyQuotaRuling(now time.Time, req *ActiveRequest, r ratelimit.Ruling) Decision {
	switch r.Verdict {
	case ratelimit.Admitted:
		return k.dispatch(now, req)
	case ratelimit.AskPool:
		req.quotaRuling = r
		return Decision{QuotaPool: r.Pool}
	}
	d := Decision{Reason: ReasonRateLimit, NotRun: true, RetryAfter: k.retryAfterQuota(r.Wait), TryOtherProxy: r.Elsewhere}
	return k.finish(now, req, d)
}

// retryAfterQuota is when a caller may come back for whom there is no token before a wait,
// spread so that not all return to the same one.
func (k *Kernel) retryAfterQuota(wait time.Duration) time.Duration {
	wait = max(wait, minRetryAfter)
	return min(maxRetryAfter, wait+time.Duration(k.random.Int64N(int64(wait))))
}

// ApplyPoolToken takes in the pool's answer for a request that it was asked about, if there was
// one, and decides what follows.
func (k *Kernel) ApplyPoolToken(now time.Time, req *ActiveRequest, t ratelimit.Token, answered bool) Decision {
	d := k.applyQuotaRuling(now, req, k.quotas.limiter.Asked(now, req.Account.Name, req.quotaRuling, t, answered))
	if k.config.Record != nil {
		v := recordedDecisionOf(d)
		k.config.Record(Call{Method: callPoolToken, At: now, RequestNumber: req.seq, Token: &t, Flag: answered, Decision: &v})
	}
	return d
}

// TakePoolToken answers a proxy that asks the pool here for one request of an account.
func (k *Kernel) TakePoolToken(now time.Time, account string) ratelimit.Token {
	k.record(Call{Method: callTakePoolToken, At: now, ID: account})
	return k.quotas.pool.Take(now, account)
}

// HasRateLimits reports whether any account of the configuration in force has a limit.
func (k *Kernel) HasRateLimits() bool {
	return k.table != nil && k.table.Accounts.Limited()
}

// QuotaReport tells what this proxy's pool must hear now, and who that is; best is the
// proxy that should be the pool, others are pools of other regions.
func (k *Kernel) QuotaReport(now time.Time, best string, others []string) (string, ratelimit.Report) {
	k.record(Call{Method: callQuotaReport, At: now, ID: best, IDs: others})
	return k.quotas.limiter.Report(now, best, others)
}

// HandleQuotaReport answers a proxy whose pool this is.
func (k *Kernel) HandleQuotaReport(now time.Time, r ratelimit.Report) ratelimit.Grants {
	k.record(Call{Method: callHandleQuotaReport, At: now, Report: &r})
	return k.quotas.pool.Hear(now, r)
}

// ApplyQuotaGrants takes in the pool's answer to a report made at a moment, and tells whether
// the next one should follow at once.
func (k *Kernel) ApplyQuotaGrants(now, asked time.Time, pool string, g ratelimit.Grants) bool {
	k.record(Call{Method: callQuotaGrants, At: now, ReportedAt: asked, ID: pool, Grants: &g})
	return k.quotas.limiter.Granted(now, asked, pool, g)
}

// QuotaReportUnanswered notes that the pool did not answer a report.
func (k *Kernel) QuotaReportUnanswered(now time.Time, pool string) {
	k.record(Call{Method: callQuotaReportUnanswered, At: now, ID: pool})
	k.quotas.limiter.Unanswered(now, pool)
}

// BorrowQuota tells what other regions' pools should lend to the one here; nothing if there
// is none here, or it has enough.
func (k *Kernel) BorrowQuota(now time.Time, lenders []string) []ratelimit.Loan {
	k.record(Call{Method: callBorrowQuota, At: now, IDs: lenders})
	return k.quotas.pool.Borrow(now, k.config.Name+poolSuffix, lenders)
}

// ApplyQuotaLoan takes in what another region's pool lends, as asked for at a moment.
func (k *Kernel) ApplyQuotaLoan(now, asked time.Time, lender string, g ratelimit.Grants) {
	k.record(Call{Method: callQuotaLoan, At: now, ReportedAt: asked, ID: lender, Grants: &g})
	k.quotas.pool.Lent(now, asked, lender, g)
}

// SetFleetSize tells among how many proxies limits are divided at least, as all are told.
func (k *Kernel) SetFleetSize(n int) {
	k.record(Call{Method: callFleetSize, Count: n})
	k.quotas.fleetSize = n
	k.quotas.updatePart()
}

// QuotaProxies is among how many proxies limits are divided as this one knows them.
func (k *Kernel) QuotaProxies() int { return len(k.limitSharers) }

// IsLeader reports whether this proxy sees to what one of all must do.
func (k *Kernel) IsLeader() bool {
	for _, p := range k.proxies {
		if !p.Leaving {
			return p.Name == k.config.Name
		}
	}
	return false
}

// HandleResume notes that this process did not run for a while, or that clocks say so: what
// others gave it for a time may have ended.
func (k *Kernel) HandleResume(now time.Time) {
	k.record(Call{Method: callResume, At: now})
	k.quotas.limiter.Resume(now)
	k.quotas.pool.Reset(now)
}
