package limitnet

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/fake/schedule"
	"github.com/gypsumquay/gypsumquay/internal/kernel/ratelimit"
)

const (
	sameDomainDelay  = 100 * time.Microsecond
	sameRegionDelay  = 900 * time.Microsecond
	crossRegionDelay = 35 * time.Millisecond
	// reportTimeout and tokenTimeout are the timeouts of a proxy's messages to a pool.
	reportTimeout = 250 * time.Millisecond
	tokenTimeout  = 150 * time.Millisecond
	// connectionReuse is the fraction of requests that a client sends to the same proxy as the one
	// before.
	connectionReuse = 0.8
	// maxRetryWait is the longest retry delay after which a rejected caller still retries.
	maxRetryWait = 1500 * time.Millisecond
	// warmUp is how long the proxies run before the first request.
	warmUp = 5 * time.Second
	// unresponsivePoolBackoff is how long a proxy skips a pool that did not respond.
	unresponsivePoolBackoff = 2 * time.Second
)

type (
	simulation struct {
		schedule.Schedule
		scenario Scenario
		strategy Strategy
		random   *rand.Rand
		proxies  []*proxy
		byName   map[string]*proxy
		// domains are the proxies of each failure domain, regions those of each region.
		domains map[int][]*proxy
		regions map[int][]*proxy
		// limits are the rate limits by account.
		limits map[string]ratelimit.Limit
		// conforming, enforced and allowed are reference buckets by account that see the requests
		// of all proxies: for the configured limit, for the limit that proxies enforce, and for the
		// limit plus the allowed overage.
		conforming, enforced, allowed  map[string]*referenceBucket
		result                         Result
		reportCount, tokenRequestCount int
	}

	proxy struct {
		name              string
		region            int
		domain            int
		limiter           *ratelimit.Limiter
		pool              *ratelimit.Pool
		partitioned       bool
		down              bool
		incarnation       int
		unresponsiveUntil map[string]time.Duration
	}

	client struct {
		domain    int
		lastProxy *proxy
	}

	// referenceBucket is a token bucket that may go negative.
	referenceBucket struct {
		tokens float64
		at     time.Duration
	}
)

// Simulate runs a scenario. Equal arguments give equal results.
func Simulate(scenario Scenario, strategy Strategy, seed uint64) Result {
	w := &simulation{
		byName: make(map[string]*proxy), domains: make(map[int][]*proxy), regions: make(map[int][]*proxy),
		scenario: scenario, strategy: strategy, random: rand.New(rand.NewPCG(seed, 1)), limits: make(map[string]ratelimit.Limit),
		conforming: make(map[string]*referenceBucket), enforced: make(map[string]*referenceBucket), allowed: make(map[string]*referenceBucket),
	}
	for i := range scenario.Proxies {
		p := &proxy{name: "proxy-" + strconv.Itoa(i), region: i % scenario.Regions, domain: i % (2 * scenario.Regions)}
		w.proxies = append(w.proxies, p)
		w.byName[p.name] = p
		w.domains[p.domain] = append(w.domains[p.domain], p)
		w.regions[p.region] = append(w.regions[p.region], p)
		w.startProxy(p)
	}
	for i, rate := range scenario.rates() {
		w.addAccount(i, rate)
	}
	w.scheduleFaults()
	for w.RunNext() && w.Now < warmUp+scenario.For {
	}
	seconds := (warmUp + scenario.For).Seconds() * float64(scenario.Proxies)
	w.result.ReportRate, w.result.TokenRequestRate = float64(w.reportCount)/seconds, float64(w.tokenRequestCount)/seconds
	return w.result
}

func (w *simulation) clock() time.Time { return time.Unix(1_000_000, 0).Add(w.Now) }

// startProxy starts or restarts a proxy.
func (w *simulation) startProxy(p *proxy) {
	p.incarnation++
	p.down, p.unresponsiveUntil = false, make(map[string]time.Duration)
	p.limiter = ratelimit.NewLimiter(p.name, w.clock())
	p.pool = ratelimit.NewPool(uint64(p.incarnation), w.clock())
	limits := func(account string) ratelimit.Limit { return w.limits[account].WithOverage(overage) }
	p.limiter.Limits, p.pool.Limits = limits, limits
	p.pool.StartupBurst = func(account string) float64 { return w.limits[account].StartupBurst(overage) }
	p.limiter.SetBaseShare(ratelimit.EqualShare(w.scenario.Proxies))
	if w.strategy != EqualShares {
		w.reportPeriodically(p, p.incarnation)
	}
}

// reportPeriodically has a proxy report to its pool until it stops or restarts.
func (w *simulation) reportPeriodically(p *proxy, incarnation int) {
	if p.incarnation != incarnation || p.down {
		return
	}
	delay := ratelimit.ReportInterval*9/10 + time.Duration(w.random.Int64N(int64(ratelimit.ReportInterval/5)))
	w.After(delay, func() { w.reportPeriodically(p, incarnation) })
	if pool := w.poolOf(p, p.region); pool != nil {
		w.sendReport(p, incarnation, pool)
	}
	w.requestLoans(p, incarnation)
}

func (w *simulation) sendReport(p *proxy, incarnation int, preferred *proxy) {
	reportedAt := w.clock()
	to, report := p.limiter.NextReport(reportedAt, preferred.name, w.otherPools(p))
	if w.strategy == CentralPool {
		report.Wants = nil
	}
	pool := w.byName[to]
	w.reportCount++
	var grants ratelimit.Grants
	w.call(p, pool, reportTimeout, func() { grants = pool.pool.HandleReport(w.clock(), report) }, func(responded bool) {
		switch {
		case p.incarnation != incarnation || p.down:
		case !responded:
			p.unresponsiveUntil[to] = w.Now + unresponsivePoolBackoff
			p.limiter.MarkUnresponsive(w.clock(), to)
		case p.limiter.ApplyGrants(w.clock(), reportedAt, to, grants):
			if next := w.poolOf(p, p.region); next != nil {
				w.sendReport(p, incarnation, next)
			}
		}
	})
}

func (w *simulation) requestLoans(p *proxy, incarnation int) {
	if w.strategy != RegionalPools || !p.pool.HasDeposits(w.clock()) {
		return
	}
	requestedAt := w.clock()
	for _, loan := range p.pool.LoanRequests(requestedAt, p.name+"/pool", w.otherPools(p)) {
		lender := w.byName[loan.Lender]
		var grants ratelimit.Grants
		w.call(p, lender, reportTimeout, func() { grants = lender.pool.HandleReport(w.clock(), loan.Report) }, func(responded bool) {
			if responded && p.incarnation == incarnation && !p.down {
				p.pool.ApplyLoan(w.clock(), requestedAt, loan.Lender, grants)
			}
		})
	}
}

// otherPools returns up to two pools of other regions that a proxy considers responsive.
func (w *simulation) otherPools(p *proxy) []string {
	if w.strategy == CentralPool {
		return nil
	}
	var list []string
	for region := range w.scenario.Regions {
		if other := w.poolOf(p, region); region != p.region && other != nil {
			list = append(list, other.name)
		}
	}
	w.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(2, len(list))]
}

// call delivers a message from one proxy to another. done is called once, with false on a timeout.
func (w *simulation) call(from, to *proxy, timeout time.Duration, handle func(), done func(responded bool)) {
	finished := false
	finish := func(responded bool) {
		if !finished {
			finished = true
			done(responded)
		}
	}
	if from == to {
		handle()
		finish(true)
		return
	}
	w.After(timeout, func() { finish(false) })
	incarnation := to.incarnation
	connected := func() bool { return !from.partitioned && !to.partitioned && !to.down && to.incarnation == incarnation }
	delay := w.messageDelay(from, to)
	w.After(delay, func() {
		if !connected() {
			return
		}
		handle()
		w.After(delay, func() {
			if connected() {
				finish(true)
			}
		})
	})
}

// messageDelay returns the delay of a message. One in 200 takes up to a second longer.
func (w *simulation) messageDelay(a, b *proxy) time.Duration {
	delay := crossRegionDelay
	switch {
	case a.domain == b.domain:
		delay = sameDomainDelay
	case a.region == b.region:
		delay = sameRegionDelay
	}
	if w.random.IntN(200) == 0 {
		delay += time.Duration(w.random.Int64N(int64(time.Second)))
	}
	return delay
}

// poolOf returns the proxy that another one takes for the pool of a region: the first that it does
// not consider unresponsive.
func (w *simulation) poolOf(p *proxy, region int) *proxy {
	if w.strategy == CentralPool {
		region = 0
	}
	for _, other := range w.regions[region] {
		if w.Now >= p.unresponsiveUntil[other.name] {
			return other
		}
	}
	return nil
}

// addAccount adds an account with its clients and schedules their requests.
func (w *simulation) addAccount(index int, rate float64) {
	name := "account-" + strconv.Itoa(index)
	w.limits[name] = ratelimit.Limit{PerSecond: w.scenario.Headroom * rate, Burst: w.scenario.Headroom * rate}
	w.conforming[name], w.enforced[name], w.allowed[name] = &referenceBucket{tokens: 1e9}, &referenceBucket{tokens: 1e9}, &referenceBucket{tokens: 1e9}
	count := max(1, int(float64(w.scenario.Clients)*rate/w.scenario.Rate+w.random.Float64()))
	clients := make([]*client, 0, count)
	for range count {
		clients = append(clients, &client{domain: w.random.IntN(2 * w.scenario.Regions)})
	}
	var next func()
	next = func() {
		currentRate := rate
		if index == 0 && w.Now > warmUp+w.scenario.For/2 && w.scenario.Hot > 0 {
			currentRate *= w.scenario.Hot
		}
		w.After(time.Duration(w.random.ExpFloat64()/currentRate*float64(time.Second)), next)
		w.sendRequest(name, clients[w.random.IntN(len(clients))])
	}
	w.After(warmUp, next)
}

// sendRequest sends a new request and retries it once if it is rejected within the limit.
func (w *simulation) sendRequest(account string, c *client) {
	limit := w.limits[account]
	w.result.Sent++
	conforming := w.conforming[account].take(w.Now, limit) >= 0
	if !conforming {
		w.conforming[account].tokens++
	} else {
		w.result.Conforming++
	}
	w.attempt(account, c, func(decision ratelimit.Decision) {
		if decision.Verdict == ratelimit.Admitted || !conforming {
			return
		}
		w.result.InitiallyRejected++
		if decision.RetryAfter > maxRetryWait {
			w.result.Rejected++
			return
		}
		c.lastProxy = nil
		w.After(max(80*time.Millisecond, decision.RetryAfter+time.Duration(w.random.Int64N(int64(decision.RetryAfter)+1))), func() {
			w.attempt(account, c, func(decision ratelimit.Decision) {
				if decision.Verdict != ratelimit.Admitted {
					w.result.Rejected++
				}
			})
		})
	})
}

// attempt sends a request to a proxy of the client's failure domain.
func (w *simulation) attempt(account string, c *client, done func(ratelimit.Decision)) {
	p := w.pickProxy(c)
	if p == nil {
		done(ratelimit.Decision{Verdict: ratelimit.Denied, RetryAfter: maxRetryWait / 2})
		return
	}
	w.resolve(account, p, p.limiter.Take(w.clock(), account), done)
}

// resolve asks pools about a request until one decides.
func (w *simulation) resolve(account string, p *proxy, decision ratelimit.Decision, done func(ratelimit.Decision)) {
	if decision.Verdict != ratelimit.AskPool {
		if decision.Verdict == ratelimit.Admitted {
			w.recordAdmitted(account)
		}
		done(decision)
		return
	}
	pool, incarnation := w.byName[decision.Pool], p.incarnation
	if pool != p {
		w.tokenRequestCount++
	}
	var reply ratelimit.TokenReply
	w.call(p, pool, tokenTimeout, func() { reply = pool.pool.Take(w.clock(), account) }, func(responded bool) {
		if p.incarnation != incarnation || p.down {
			done(ratelimit.Decision{Verdict: ratelimit.Denied, RetryAfter: maxRetryWait / 2})
			return
		}
		w.resolve(account, p, p.limiter.HandlePoolReply(w.clock(), account, decision, reply, responded), done)
	})
}

// pickProxy returns the proxy that a client sends its next request to, or nil if none is running.
func (w *simulation) pickProxy(c *client) *proxy {
	if c.lastProxy != nil && !c.lastProxy.down && w.random.Float64() < connectionReuse {
		return c.lastProxy
	}
	var running []*proxy
	for _, p := range w.domains[c.domain] {
		if !p.down {
			running = append(running, p)
		}
	}
	c.lastProxy = nil
	if len(running) > 0 {
		c.lastProxy = running[w.random.IntN(len(running))]
	}
	return c.lastProxy
}

// recordAdmitted compares the admitted requests of all proxies with the limits.
func (w *simulation) recordAdmitted(account string) {
	limit := w.limits[account]
	w.result.MaxExcess = max(w.result.MaxExcess, -w.enforced[account].take(w.Now, limit.WithOverage(overage)))
	bound := ratelimit.Limit{
		PerSecond: limit.PerSecond * (1 + overage.Ratio), Burst: limit.Burst*(1+overage.Ratio) + overage.Requests,
	}
	w.result.MaxViolation = max(w.result.MaxViolation, -w.allowed[account].take(w.Now, bound))
}

// take takes a token and returns the number left, which is negative if there was none.
func (r *referenceBucket) take(now time.Duration, limit ratelimit.Limit) float64 {
	r.tokens = min(limit.Burst, r.tokens+(now-r.at).Seconds()*limit.PerSecond)
	r.at = now
	r.tokens--
	return r.tokens
}

// scheduleFaults schedules the partitions, the killed proxies and the lowered limit.
func (w *simulation) scheduleFaults() {
	scenario := w.scenario
	sample := func(share float64) []*proxy {
		order := w.random.Perm(len(w.proxies))
		var list []*proxy
		for _, i := range order[:int(share*float64(len(order)))] {
			list = append(list, w.proxies[i])
		}
		return list
	}
	partitioned := sample(scenario.Cut)
	w.After(warmUp+scenario.For/4, func() { setPartitioned(partitioned, true) })
	w.After(warmUp+scenario.For/2, func() { setPartitioned(partitioned, false) })
	killed := sample(scenario.Killed)
	w.After(warmUp+scenario.For/2, func() {
		for _, p := range killed {
			p.down = true
			w.After(scenario.Down, func() { w.startProxy(p) })
		}
	})
	if scenario.Lowered > 0 {
		w.After(warmUp+scenario.For/3, func() {
			limit := w.limits["account-0"]
			w.limits["account-0"] = ratelimit.Limit{PerSecond: limit.PerSecond / scenario.Lowered, Burst: limit.Burst / scenario.Lowered}
		})
	}
}

func setPartitioned(list []*proxy, partitioned bool) {
	for _, p := range list {
		p.partitioned = partitioned
	}
}
