package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/account"
	"github.com/gypsumquay/gypsumquay/internal/kernel/ratelimit"
)

const (
	// fleetSizeWait is how long after its start a proxy waits for the announced number of proxies
	// among which limits are divided. After that it assumes twice the number that it knows.
	fleetSizeWait = 4 * time.Second
	// poolSuffix marks requests that a proxy makes as a pool, as opposed to those for itself.
	poolSuffix = "/pool"
)

type (
	// quotas holds this proxy's shares of the rate limits of client accounts, and the shares that
	// others have deposited with it as the quota pool of their region.
	quotas struct {
		kernel  *Kernel
		limiter *ratelimit.Limiter
		pool    *ratelimit.Pool
		// fleetSize is the minimum number of proxies among which limits are divided, as announced
		// to all; zero if this proxy has not received it. knownProxies is the number of proxies
		// that it knows.
		fleetSize    int
		knownProxies int
		// waitOver is set once this proxy no longer waits for the announced fleet size.
		waitOver bool
	}
)

func newQuotas(k *Kernel) *quotas {
	l := &quotas{
		kernel:  k,
		limiter: ratelimit.NewLimiter(k.config.Name, k.config.Joined),
		pool:    ratelimit.NewPool(uint64(max(1, k.config.Joined.UnixMilli())), k.config.Joined),
	}
	l.limiter.Limits, l.pool.Limits, l.pool.StartupBurst = l.limitOf, l.limitOf, l.startAllowance
	return l
}

// startAllowance is the number of requests of an account that all processes may admit at their
// start.
func (l *quotas) startAllowance(name string) float64 {
	return l.account(name).Limit.StartupBurst(l.kernel.config.Quota)
}

// limitOf returns the limit enforced for an account, which includes part of the permitted overage.
func (l *quotas) limitOf(name string) ratelimit.Limit {
	return l.account(name).Limit.WithOverage(l.kernel.config.Quota)
}

// account returns the account with a name. An unknown account has no limit and no share of one.
func (l *quotas) account(name string) account.Account {
	if l.kernel.table == nil {
		return account.Account{}
	}
	a := l.kernel.table.Accounts.ByName(name)
	if a == nil {
		return account.Account{}
	}
	return *a
}

// setKnownProxies sets the number of known proxies among which limits are divided. It includes
// proxies that are no longer listed but may be alive, because their shares must not be reused.
func (l *quotas) setKnownProxies(count int) {
	l.knownProxies = count
	l.updateBaseShare()
}

// updateBaseShare updates the share of this proxy. Until the fleet size has been announced, a proxy
// that has just started knows too few others and takes no share, and until it has been listed the others
// use its share.
func (l *quotas) updateBaseShare() {
	switch {
	case !l.kernel.listing.wasListed():
		l.limiter.SetBaseShare(0)
	case l.fleetSize > 0:
		l.limiter.SetBaseShare(ratelimit.EqualShare(max(l.fleetSize, l.knownProxies)))
	case l.waitOver:
		l.limiter.SetBaseShare(ratelimit.EqualShare(2 * l.knownProxies))
	}
}

// tick expires old state.
func (l *quotas) tick(now time.Time) {
	if !l.waitOver && now.Sub(l.kernel.config.Joined) >= fleetSizeWait {
		l.waitOver = true
		l.updateBaseShare()
	}
	l.limiter.Tick(now)
	l.pool.Tick(now)
}

// checkQuota decides whether a request is within the rate limit of its account, or which pool to
// ask.
func (k *Kernel) checkQuota(now time.Time, req *ActiveRequest) Decision {
	if req.Account == nil {
		return k.dispatch(now, req)
	}
	decision := k.quotas.limiter.Take(now, req.Account.Name)
	if decision.Verdict == ratelimit.AskPool && decision.Pool == k.config.Name {
		decision = k.quotas.limiter.HandlePoolReply(now, req.Account.Name, decision, k.quotas.pool.Take(now, req.Account.Name), true)
	}
	return k.applyQuotaDecision(now, req, decision)
}

// applyQuotaDecision sends a request that is within its limit, requests a token for it from a pool,
// or rejects it.
func (k *Kernel) applyQuotaDecision(now time.Time, req *ActiveRequest, r ratelimit.Decision) Decision {
	switch r.Verdict {
	case ratelimit.Admitted:
		return k.dispatch(now, req)
	case ratelimit.AskPool:
		req.quotaDecision = r
		return Decision{QuotaPool: r.Pool}
	}
	d := Decision{Reason: ReasonRateLimit, NotRun: true, RetryAfter: k.retryAfterQuota(r.RetryAfter), TryOtherProxy: r.RetryElsewhere}
	return k.finish(now, req, d)
}

// retryAfterQuota returns the retry delay for a caller who must wait for a token. It is randomized
// so that callers do not all return for the same token.
func (k *Kernel) retryAfterQuota(wait time.Duration) time.Duration {
	wait = max(wait, minRetryAfter)
	return min(maxRetryAfter, wait+time.Duration(k.random.Int64N(int64(wait))))
}

// ApplyPoolToken handles the pool's reply for a request, or its absence, and returns the next step.
func (k *Kernel) ApplyPoolToken(now time.Time, req *ActiveRequest, t ratelimit.TokenReply, replied bool) Decision {
	d := k.applyQuotaDecision(now, req, k.quotas.limiter.HandlePoolReply(now, req.Account.Name, req.quotaDecision, t, replied))
	if k.config.Record != nil {
		decision := recordedDecisionOf(d)
		k.config.Record(Call{Method: callPoolToken, At: now, RequestNumber: req.seq, Token: &t, Flag: replied, Decision: &decision})
	}
	return d
}

// TakePoolToken replies to a proxy that requests a token for one request of an account from the
// pool at this proxy.
func (k *Kernel) TakePoolToken(now time.Time, account string) ratelimit.TokenReply {
	k.record(Call{Method: callTakePoolToken, At: now, ID: account})
	return k.quotas.pool.Take(now, account)
}

// HasRateLimits reports whether any account of the active configuration has a limit.
func (k *Kernel) HasRateLimits() bool {
	return k.table != nil && k.table.Accounts.HasRateLimits()
}

// QuotaReport returns the name of this proxy's pool and the report that is due to it. bestPool is
// the proxy that should be the pool, otherPools are the pools of other regions.
func (k *Kernel) QuotaReport(now time.Time, bestPool string, otherPools []string) (string, ratelimit.Report) {
	k.record(Call{Method: callQuotaReport, At: now, ID: bestPool, IDs: otherPools})
	return k.quotas.limiter.NextReport(now, bestPool, otherPools)
}

// HandleQuotaReport replies to a proxy that uses this proxy as its pool.
func (k *Kernel) HandleQuotaReport(now time.Time, r ratelimit.Report) ratelimit.Grants {
	k.record(Call{Method: callHandleQuotaReport, At: now, Report: &r})
	return k.quotas.pool.HandleReport(now, r)
}

// ApplyQuotaGrants applies the pool's reply to a report that was sent at the given time, and
// reports whether the next report should follow immediately.
func (k *Kernel) ApplyQuotaGrants(now, reportedAt time.Time, pool string, g ratelimit.Grants) bool {
	k.record(Call{Method: callQuotaGrants, At: now, RequestedAt: reportedAt, ID: pool, Grants: &g})
	return k.quotas.limiter.ApplyGrants(now, reportedAt, pool, g)
}

// MarkPoolUnresponsive records that the pool did not reply to a report.
func (k *Kernel) MarkPoolUnresponsive(now time.Time, pool string) {
	k.record(Call{Method: callMarkPoolUnresponsive, At: now, ID: pool})
	k.quotas.limiter.MarkUnresponsive(now, pool)
}

// BorrowQuota returns the loans to request from the pools of other regions. There are none if this
// proxy is not a pool or if it has enough.
func (k *Kernel) BorrowQuota(now time.Time, lenders []string) []ratelimit.LoanRequest {
	k.record(Call{Method: callBorrowQuota, At: now, IDs: lenders})
	return k.quotas.pool.LoanRequests(now, k.config.Name+poolSuffix, lenders)
}

// ApplyQuotaLoan applies a loan from another region's pool that was requested at the given time.
func (k *Kernel) ApplyQuotaLoan(now, requestedAt time.Time, lender string, g ratelimit.Grants) {
	k.record(Call{Method: callQuotaLoan, At: now, RequestedAt: requestedAt, ID: lender, Grants: &g})
	k.quotas.pool.ApplyLoan(now, requestedAt, lender, g)
}

// SetFleetSize sets the minimum number of proxies among which limits are divided, as announced to
// all proxies.
func (k *Kernel) SetFleetSize(size int) {
	k.record(Call{Method: callFleetSize, Count: size})
	k.quotas.fleetSize = size
	k.quotas.updateBaseShare()
}

// QuotaProxies returns the number of proxies that this one knows among which limits are divided.
func (k *Kernel) QuotaProxies() int { return len(k.limitSharers) }

// IsLeader reports whether this proxy does the tasks that only one of all proxies must do. It is
// the first one by name that is not leaving.
func (k *Kernel) IsLeader() bool {
	for _, p := range k.proxies {
		if !p.Leaving {
			return p.Name == k.config.Name
		}
	}
	return false
}

// HandleResume records that this process was suspended or that its clock jumped. Shares granted for
// a limited time may have expired.
func (k *Kernel) HandleResume(now time.Time) {
	k.record(Call{Method: callResume, At: now})
	k.quotas.limiter.ResetAfterPause(now)
	k.quotas.pool.Reset(now)
	k.listing.resumedAt = now
	for _, svc := range k.services {
		svc.retries.ForgetCredit()
	}
}
