package simnet

import (
	"fmt"
	"net/netip"
	"sort"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
	"github.com/gypsumquay/gypsumquay/internal/kernel/core"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
)

const (
	// itemsPerService is how many different items callers ask each service for.
	itemsPerService = 50
	// crashPath ends the server that runs it, crashDelay after it has begun, and
	// crashRestartDelay later the server is back.
	crashPath         = "/deadly"
	crashDelay        = 20 * time.Millisecond
	crashRestartDelay = 2 * time.Second

	groupsPerRegion  = 32
	callerTimeout    = 4 * time.Second
	minRetryDelay    = 250 * time.Millisecond
	maxAttempts      = 60
	maxFinalUnknowns = 3
)

type (
	// Callers is everybody who sends requests: per home region some groups
	// that share one cached look-up answer each.
	Callers struct {
		sim         *Sim
		groups      [][]*callerGroup
		lastBooking uint64
		// Latencies holds the latency of each done request, by home region.
		Latencies          []time.Duration
		Outcomes           map[caller.Outcome]int
		Reasons            map[caller.Reason]int
		ResponsesLost      int
		BookingsDone       int
		BookingsUnresolved int
		// DoneAt and Failed hold when requests ended, by home region.
		DoneAt, FailedAt [][]time.Time
	}

	callerGroup struct {
		callers         *Callers
		home            int
		location        location
		address         netip.Addr
		proxies         []peer.Member
		lookupExpiresAt time.Time
	}

	booking struct {
		group     *callerGroup
		service   string
		key       string
		token     string
		attempts  int
		startedAt time.Time
		// finalUnknowns counts answers that will not change any more.
		finalUnknowns int
	}
)

func newCallers(s *Sim) *Callers {
	c := &Callers{
		sim:      s,
		Outcomes: make(map[caller.Outcome]int),
		Reasons:  make(map[caller.Reason]int),
		DoneAt:   make([][]time.Time, len(s.config.Bundle.Regions)),
		FailedAt: make([][]time.Time, len(s.config.Bundle.Regions)),
	}
	for home, r := range s.config.Bundle.Regions {
		var list []*callerGroup
		for i := range groupsPerRegion {
			list = append(list, &callerGroup{
				callers:  c,
				home:     home,
				location: location{r.Name, r.Domains[i%len(r.Domains)]},
				address:  netip.AddrFrom4([4]byte{10, byte(10 + home), byte(i), 1}),
			})
		}
		c.groups = append(c.groups, list)
		c.scheduleArrival(home)
	}
	return c
}

// scheduleArrival makes one request after an exponential gap, and the next.
func (c *Callers) scheduleArrival(home int) {
	rate := c.sim.config.Load[home]
	if rate <= 0 {
		return
	}
	gap := time.Duration(c.sim.random.ExpFloat64() / rate * float64(time.Second))
	c.sim.After(gap, func() {
		c.scheduleArrival(home)
		g := c.groups[home][c.sim.random.IntN(groupsPerRegion)]
		b := c.sim.config.Bundle
		service := b.Services[c.sim.random.IntN(len(b.Services))].Name
		if c.sim.random.IntN(1000) < c.sim.config.BookingPermille {
			c.lastBooking++
			(&booking{group: g, service: service, key: fmt.Sprint("bid-", c.lastBooking), startedAt: c.sim.now}).send()
			return
		}
		g.browse(service)
	})
}

// SetLoad changes the requests per second of a home region.
func (s *Sim) SetLoad(home int, rate float64) {
	idle := s.config.Load[home] <= 0
	s.config.Load[home] = rate
	if idle {
		s.callers.scheduleArrival(home)
	}
}

func (g *callerGroup) browse(service string) {
	startedAt := g.callers.sim.now
	key := fmt.Sprint("get-", g.callers.sim.lastID)
	item := quarantine.NewFingerprint("GET", service, fmt.Sprint("/item/", g.callers.sim.lastID%itemsPerService), "", nil)
	r := core.Request{Service: service, Method: "GET", Path: "/item", Client: g.address, Work: item}
	g.send(r, key, func(result caller.Result, _ string, ok bool) {
		g.callers.recordResult(g, startedAt, result, ok, key)
	})
}

// sendCrashingRequest asks a service for what ends the server that runs it.
func (c *Callers) sendCrashingRequest(service string) {
	groups := c.groups[c.sim.random.IntN(len(c.groups))]
	r := core.Request{
		Service: service, Method: "GET", Path: crashPath, Client: groups[c.sim.random.IntN(len(groups))].address,
		Work: quarantine.NewFingerprint("GET", service, crashPath, "", nil),
	}
	groups[c.sim.random.IntN(len(groups))].send(r, crashPath, func(caller.Result, string, bool) {})
}

// send sends the booking with its token. It repeats until the outcome is final,
// with the same token, or a fresh one once that can never run.
func (b *booking) send() {
	c := b.group.callers
	b.attempts++
	r := core.Request{Service: b.service, Method: "POST", Path: "/book", Client: b.group.address, Token: b.token}
	sentAt := c.sim.now
	b.group.send(r, b.key, func(result caller.Result, token string, ok bool) {
		if result.Reason != caller.ReasonTokenRequired || !ok {
			c.recordResult(b.group, sentAt, result, ok, b.key)
		}
		switch {
		case ok && result.Outcome == caller.OutcomeDone:
			c.BookingsDone++
			c.sim.checks.checkBookingRan(b.key)
			return
		case ok && token != "":
			b.token = token
			b.send()
			return
		case ok && result.Outcome == caller.OutcomeNotRun && result.Reason.GuaranteesNotRun():
			b.token = ""
		case ok && isFinalUnknown(result.Reason):
			// Nobody can say. A caller asks a few times all the same, then a
			// person has to look.
			b.finalUnknowns++
			if b.finalUnknowns >= maxFinalUnknowns {
				c.recordUnresolvedBooking()
				return
			}
		}
		if b.attempts >= maxAttempts {
			c.recordUnresolvedBooking()
			return
		}
		c.sim.After(max(result.RetryAfter, minRetryDelay), b.send)
	})
}

func (c *Callers) recordUnresolvedBooking() {
	if !c.sim.now.Before(c.sim.checks.measureFrom) {
		c.BookingsUnresolved++
	}
}

func isFinalUnknown(r caller.Reason) bool {
	return r == caller.ReasonMinterGone || r == caller.ReasonTokenRecordExpired || r == caller.ReasonConnectionLost
}

func (c *Callers) recordResult(g *callerGroup, startedAt time.Time, result caller.Result, ok bool, key string) {
	if c.sim.now.Before(c.sim.checks.measureFrom) {
		return
	}
	if !ok || result.Outcome != caller.OutcomeDone {
		c.FailedAt[g.home] = append(c.FailedAt[g.home], c.sim.now)
	}
	if !ok {
		c.ResponsesLost++
		return
	}
	c.Outcomes[result.Outcome]++
	if result.Reason != caller.ReasonNone {
		c.Reasons[result.Reason]++
	}
	if result.Outcome != caller.OutcomeDone {
		return
	}
	if result.Response != nil && string(result.Response.Body) != key {
		c.sim.checks.violate("caller of %s got the answer of %s", key, result.Response.Body)
	}
	c.Latencies = append(c.Latencies, c.sim.now.Sub(startedAt))
	c.DoneAt[g.home] = append(c.DoneAt[g.home], c.sim.now)
}

// Quantile is a latency quantile over all done requests.
func (c *Callers) Quantile(q float64) time.Duration {
	if len(c.Latencies) == 0 {
		return 0
	}
	sort.Slice(c.Latencies, func(i, j int) bool { return c.Latencies[i] < c.Latencies[j] })
	return c.Latencies[int(q*float64(len(c.Latencies)-1))]
}

// lookup refreshes the cached answer through any proxy that answers.
func (g *callerGroup) lookup(service string) bool {
	s := g.callers.sim
	if s.now.Before(g.lookupExpiresAt) && len(g.proxies) > 0 {
		return true
	}
	offset := s.random.IntN(len(s.proxies))
	for i := range s.proxies {
		p := s.proxies[(offset+i)%len(s.proxies)]
		if !p.alive || p.frozen || !p.acceptsConnections {
			continue
		}
		if answer, ok := p.kernel.Lookup(p.now(), service, g.address); ok {
			g.proxies = answer.Proxies
			g.lookupExpiresAt = s.now.Add(answer.TTL)
			return true
		}
	}
	return false
}

// send passes a request to the first cached proxy that takes connections. ok
// is false when the answer was lost.
func (g *callerGroup) send(r core.Request, key string, done func(caller.Result, string, bool)) {
	s := g.callers.sim
	if !g.lookup(r.Service) {
		s.After(minRetryDelay, func() { done(caller.Result{}, "", false) })
		return
	}
	g.sendToFirst(g.proxies, r, key, done)
}

func (g *callerGroup) sendToFirst(proxies []peer.Member, r core.Request, key string, done func(caller.Result, string, bool)) {
	s := g.callers.sim
	if len(proxies) == 0 {
		g.lookupExpiresAt = time.Time{}
		s.After(minRetryDelay, func() { done(caller.Result{}, "", false) })
		return
	}
	p := s.proxyByAddress(proxies[0].Address)
	oneWay := s.config.Net.Client
	if p.location.region != g.location.region {
		oneWay += s.config.Net.BetweenRegions
	}
	finished := false
	finish := func(result caller.Result, token string, ok bool) {
		if !finished {
			finished = true
			done(result, token, ok)
		}
	}
	s.After(oneWay, func() {
		if !p.alive || !p.acceptsConnections {
			g.lookupExpiresAt = time.Time{}
			s.After(oneWay, func() {
				if !finished {
					finished = true
					g.sendToFirst(proxies[1:], r, key, done)
				}
			})
			return
		}
		s.lastID++
		id := s.lastID
		p.openConnections[id] = func() { s.After(oneWay, func() { finish(caller.Result{}, "", false) }) }
		p.runInProcess(p.incarnation, func() {
			p.serve(request{Request: r, sendID: id, key: key, respond: func(result caller.Result, token string) {
				delete(p.openConnections, id)
				s.checks.recordResult(id, key, result)
				s.After(oneWay, func() { finish(result, token, true) })
			}})
		})
	})
	s.After(callerTimeout, func() { finish(caller.Result{}, "", false) })
}
