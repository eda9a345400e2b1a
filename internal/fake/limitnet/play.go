package limitnet

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/fake/schedule"
	"github.com/gypsumquay/gypsumquay/internal/kernel/ratelimit"
)

const (
	sameDomain  = 100 * time.Microsecond
	sameRegion  = 900 * time.Microsecond
	otherRegion = 35 * time.Millisecond
	// reportLost and tokenLost are when a proxy gives up on an answer.
	reportLost = 250 * time.Millisecond
	tokenLost  = 150 * time.Millisecond
	// keepConnection is the part of its requests that a client sends to the proxy of the
	// one before.
	keepConnection = 0.8
	// returnFor is how long a refused caller may be told to stay away and still come back.
	returnFor = 1500 * time.Millisecond
	// lead is how long the proxies run before the first request.
	lead = 5 * time.Second
	// pauseAfter is how long a pool that did not answer is passed over.
	pauseAfter = 2 * time.Second
)

type (
	world struct {
		schedule.Schedule
		load    Load
		way     Way
		random  *rand.Rand
		proxies []*proxy
		byName  map[string]*proxy
		// domains are the proxies of each failure domain, regions those of each region.
		domains map[int][]*proxy
		regions map[int][]*proxy
		// limits are those of the accounts, by name.
		limits map[string]ratelimit.Limit
		// owed, kept and allowed are single buckets that see all requests: of the limit, of
		// what is kept to, and of what is allowed.
		owed, kept, allowed map[string]*reference
		out                 Outcome
		reports, asks       int
	}

	proxy struct {
		name   string
		region int
		domain int
		holder *ratelimit.Limiter
		pool   *ratelimit.Pool
		cut    bool
		down   bool
		start  int
		silent map[string]time.Duration
	}

	client struct {
		domain int
		last   *proxy
	}

	// reference is a token bucket that may be overdrawn.
	reference struct {
		tokens float64
		at     time.Duration
	}
)

// Play plays a load. Equal arguments give equal outcomes.
func Play(l Load, way Way, seed uint64) Outcome {
	w := &world{
		byName: make(map[string]*proxy), domains: make(map[int][]*proxy), regions: make(map[int][]*proxy),
		load: l, way: way, random: rand.New(rand.NewPCG(seed, 1)), limits: make(map[string]ratelimit.Limit),
		owed: make(map[string]*reference), kept: make(map[string]*reference), allowed: make(map[string]*reference),
	}
	for i := range l.Proxies {
		p := &proxy{name: "proxy-" + strconv.Itoa(i), region: i % l.Regions, domain: i % (2 * l.Regions)}
		w.proxies = append(w.proxies, p)
		w.byName[p.name] = p
		w.domains[p.domain] = append(w.domains[p.domain], p)
		w.regions[p.region] = append(w.regions[p.region], p)
		w.begin(p)
	}
	for i, rate := range l.rates() {
		w.account(i, rate)
	}
	w.faults()
	for w.RunNext() && w.Now < lead+l.For {
	}
	seconds := (lead + l.For).Seconds() * float64(l.Proxies)
	w.out.Reports, w.out.Asks = float64(w.reports)/seconds, float64(w.asks)/seconds
	return w.out
}

func (w *world) clock() time.Time { return time.Unix(1_000_000, 0).Add(w.Now) }

// begin starts a proxy's process.
func (w *world) begin(p *proxy) {
	p.start++
	p.down, p.silent = false, make(map[string]time.Duration)
	p.holder = ratelimit.NewLimiter(p.name, w.clock())
	p.pool = ratelimit.NewPool(uint64(p.start), w.clock())
	limits := func(account string) ratelimit.Limit { return w.limits[account].WithOverage(allowance) }
	p.holder.Limits, p.pool.Limits = limits, limits
	p.pool.StartupBurst = func(account string) float64 { return w.limits[account].StartupBurst(allowance) }
	p.holder.SetBaseShare(ratelimit.EqualShare(w.load.Proxies))
	if w.way != Even {
		w.report(p, p.start)
	}
}

// report has a proxy report to its pool for as long as its process runs.
func (w *world) report(p *proxy, start int) {
	if p.start != start || p.down {
		return
	}
	pause := ratelimit.ReportInterval*9/10 + time.Duration(w.random.Int64N(int64(ratelimit.ReportInterval/5)))
	w.After(pause, func() { w.report(p, start) })
	if best := w.poolOf(p, p.region); best != nil {
		w.reportOnce(p, start, best)
	}
	w.borrow(p, start)
}

func (w *world) reportOnce(p *proxy, start int, best *proxy) {
	asked := w.clock()
	to, r := p.holder.NextReport(asked, best.name, w.others(p))
	if w.way == Owner {
		r.Wants = nil
	}
	pool := w.byName[to]
	w.reports++
	var g ratelimit.Grants
	w.call(p, pool, reportLost, func() { g = pool.pool.HandleReport(w.clock(), r) }, func(answered bool) {
		switch {
		case p.start != start || p.down:
		case !answered:
			p.silent[to] = w.Now + pauseAfter
			p.holder.MarkUnresponsive(w.clock(), to)
		case p.holder.ApplyGrants(w.clock(), asked, to, g):
			if next := w.poolOf(p, p.region); next != nil {
				w.reportOnce(p, start, next)
			}
		}
	})
}

func (w *world) borrow(p *proxy, start int) {
	if w.way != Pools || !p.pool.HasDeposits(w.clock()) {
		return
	}
	asked := w.clock()
	for _, l := range p.pool.LoanRequests(asked, p.name+"/pool", w.others(p)) {
		lender := w.byName[l.Lender]
		var g ratelimit.Grants
		w.call(p, lender, reportLost, func() { g = lender.pool.HandleReport(w.clock(), l.Report) }, func(answered bool) {
			if answered && p.start == start && !p.down {
				p.pool.ApplyLoan(w.clock(), asked, l.Lender, g)
			}
		})
	}
}

// others are the pools of other regions as a proxy sees them.
func (w *world) others(p *proxy) []string {
	if w.way == Owner {
		return nil
	}
	var list []string
	for region := range w.load.Regions {
		if other := w.poolOf(p, region); region != p.region && other != nil {
			list = append(list, other.name)
		}
	}
	w.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(2, len(list))]
}

// call has one proxy ask another; done is told once whether it was answered.
func (w *world) call(from, to *proxy, most time.Duration, ask func(), done func(answered bool)) {
	ended := false
	end := func(answered bool) {
		if !ended {
			ended = true
			done(answered)
		}
	}
	if from == to {
		ask()
		end(true)
		return
	}
	w.After(most, func() { end(false) })
	start := to.start
	reaches := func() bool { return !from.cut && !to.cut && !to.down && to.start == start }
	way := w.delay(from, to)
	w.After(way, func() {
		if !reaches() {
			return
		}
		ask()
		w.After(way, func() {
			if reaches() {
				end(true)
			}
		})
	})
}

// delay is how long a message takes; some take far longer.
func (w *world) delay(a, b *proxy) time.Duration {
	way := otherRegion
	switch {
	case a.domain == b.domain:
		way = sameDomain
	case a.region == b.region:
		way = sameRegion
	}
	if w.random.IntN(200) == 0 {
		way += time.Duration(w.random.Int64N(int64(time.Second)))
	}
	return way
}

// poolOf is the proxy that is a region's pool as another one sees it.
func (w *world) poolOf(p *proxy, region int) *proxy {
	if w.way == Owner {
		region = 0
	}
	for _, other := range w.regions[region] {
		if w.Now >= p.silent[other.name] {
			return other
		}
	}
	return nil
}

// account makes an account with its clients and has them send.
func (w *world) account(i int, rate float64) {
	name := "account-" + strconv.Itoa(i)
	w.limits[name] = ratelimit.Limit{PerSecond: w.load.Headroom * rate, Burst: w.load.Headroom * rate}
	w.owed[name], w.kept[name], w.allowed[name] = &reference{tokens: 1e9}, &reference{tokens: 1e9}, &reference{tokens: 1e9}
	count := max(1, int(float64(w.load.Clients)*rate/w.load.Rate+w.random.Float64()))
	clients := make([]*client, 0, count)
	for range count {
		clients = append(clients, &client{domain: w.random.IntN(2 * w.load.Regions)})
	}
	var next func()
	next = func() {
		now := rate
		if i == 0 && w.Now > lead+w.load.For/2 && w.load.Hot > 0 {
			now *= w.load.Hot
		}
		w.After(time.Duration(w.random.ExpFloat64()/now*float64(time.Second)), next)
		w.request(name, clients[w.random.IntN(len(clients))])
	}
	w.After(lead, next)
}

// request is a request's first try.
func (w *world) request(account string, c *client) {
	l := w.limits[account]
	w.out.Asked++
	owed := w.owed[account].take(w.Now, l) >= 0
	if !owed {
		w.owed[account].tokens++
	} else {
		w.out.Owed++
	}
	w.try(account, c, func(r ratelimit.Decision) {
		if r.Verdict == ratelimit.Admitted || !owed {
			return
		}
		w.out.RefusedAtFirst++
		if r.RetryAfter > returnFor {
			w.out.Refused++
			return
		}
		c.last = nil
		w.After(max(80*time.Millisecond, r.RetryAfter+time.Duration(w.random.Int64N(int64(r.RetryAfter)+1))), func() {
			w.try(account, c, func(r ratelimit.Decision) {
				if r.Verdict != ratelimit.Admitted {
					w.out.Refused++
				}
			})
		})
	})
}

// try sends a request to a proxy of the client's failure domain.
func (w *world) try(account string, c *client, done func(ratelimit.Decision)) {
	p := w.proxyFor(c)
	if p == nil {
		done(ratelimit.Decision{Verdict: ratelimit.Denied, RetryAfter: returnFor / 2})
		return
	}
	w.settle(account, p, p.holder.Take(w.clock(), account), done)
}

// settle asks pools for a request until one rules on it.
func (w *world) settle(account string, p *proxy, r ratelimit.Decision, done func(ratelimit.Decision)) {
	if r.Verdict != ratelimit.AskPool {
		if r.Verdict == ratelimit.Admitted {
			w.admitted(account)
		}
		done(r)
		return
	}
	pool, start := w.byName[r.Pool], p.start
	if pool != p {
		w.asks++
	}
	var t ratelimit.TokenReply
	w.call(p, pool, tokenLost, func() { t = pool.pool.Take(w.clock(), account) }, func(answered bool) {
		if p.start != start || p.down {
			done(ratelimit.Decision{Verdict: ratelimit.Denied, RetryAfter: returnFor / 2})
			return
		}
		w.settle(account, p, p.holder.HandlePoolReply(w.clock(), account, r, t, answered), done)
	})
}

// proxyFor is the proxy that a client sends its next request to.
func (w *world) proxyFor(c *client) *proxy {
	if c.last != nil && !c.last.down && w.random.Float64() < keepConnection {
		return c.last
	}
	var list []*proxy
	for _, p := range w.domains[c.domain] {
		if !p.down {
			list = append(list, p)
		}
	}
	c.last = nil
	if len(list) > 0 {
		c.last = list[w.random.IntN(len(list))]
	}
	return c.last
}

// admitted checks what all proxies have let through.
func (w *world) admitted(account string) {
	l := w.limits[account]
	w.out.Excess = max(w.out.Excess, -w.kept[account].take(w.Now, l.WithOverage(allowance)))
	bound := ratelimit.Limit{
		PerSecond: l.PerSecond * (1 + allowance.Ratio), Burst: l.Burst*(1+allowance.Ratio) + allowance.Requests,
	}
	w.out.Broken = max(w.out.Broken, -w.allowed[account].take(w.Now, bound))
}

// take takes a token and tells how many are left, below zero if there was none.
func (r *reference) take(now time.Duration, l ratelimit.Limit) float64 {
	r.tokens = min(l.Burst, r.tokens+(now-r.at).Seconds()*l.PerSecond)
	r.at = now
	r.tokens--
	return r.tokens
}

// faults has proxies cut off and killed, and a limit lowered.
func (w *world) faults() {
	l := w.load
	struck := func(share float64) []*proxy {
		order := w.random.Perm(len(w.proxies))
		var list []*proxy
		for _, i := range order[:int(share*float64(len(order)))] {
			list = append(list, w.proxies[i])
		}
		return list
	}
	cut := struck(l.Cut)
	w.After(lead+l.For/4, func() { setCut(cut, true) })
	w.After(lead+l.For/2, func() { setCut(cut, false) })
	killed := struck(l.Killed)
	w.After(lead+l.For/2, func() {
		for _, p := range killed {
			p.down = true
			w.After(l.Down, func() { w.begin(p) })
		}
	})
	if l.Lowered > 0 {
		w.After(lead+l.For/3, func() {
			limit := w.limits["account-0"]
			w.limits["account-0"] = ratelimit.Limit{PerSecond: limit.PerSecond / l.Lowered, Burst: limit.Burst / l.Lowered}
		})
	}
}

func setCut(list []*proxy, cut bool) {
	for _, p := range list {
		p.cut = cut
	}
}
