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
	// itemsPerService is the number of different items that callers request from each service.
	itemsPerService = 50
	// crashPath is the path of a request that crashes the server: crashDelay after it starts, with
	// a restart crashRestartDelay later.
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
	// Callers simulates the callers: per home region, a number of groups that each share one cached
	// lookup response.
	Callers struct {
		sim         *Sim
		groups      [][]*callerGroup
		lastBooking uint64
		// Latencies holds the latency of each request that was done.
		Latencies          []time.Duration
		Outcomes           map[caller.Outcome]int
		Reasons            map[caller.Reason]int
		ResponsesLost      int
		BookingsDone       int
		BookingsUnresolved int
		// DoneAt and FailedAt hold the completion times of requests by home region.
		DoneAt, FailedAt [][]time.Time
	}

	// callerGroup is a group of callers with one address and one cached lookup response.
	callerGroup struct {
		callers         *Callers
		home            int
		location        location
		address         netip.Addr
		proxies         []peer.Member
		lookupExpiresAt time.Time
	}

	// booking is a non-idempotent request with its retries.
	booking struct {
		group     *callerGroup
		service   string
		key       string
		token     string
		attempts  int
		startedAt time.Time
		// finalUnknowns counts responses with a reason that repeating the request cannot change.
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

// scheduleArrival schedules the next request of a home region after an exponentially distributed
// gap, which in turn schedules the one after it.
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

// SetLoad sets the request rate of a home region, in requests per second.
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
	r := core.Request{Service: service, Method: "GET", Path: "/item", Client: g.address, Fingerprint: item}
	g.send(r, key, func(result caller.Result, _ string, ok bool) {
		g.callers.recordResult(g, startedAt, result, ok, key)
	})
}

// sendCrashingRequest sends a service a request that crashes the server that runs it.
func (c *Callers) sendCrashingRequest(service string) {
	groups := c.groups[c.sim.random.IntN(len(c.groups))]
	r := core.Request{
		Service: service, Method: "GET", Path: crashPath, Client: groups[c.sim.random.IntN(len(groups))].address,
		Fingerprint: quarantine.NewFingerprint("GET", service, crashPath, "", nil),
	}
	groups[c.sim.random.IntN(len(groups))].send(r, crashPath, func(caller.Result, string, bool) {})
}

// send sends the booking with its current token and retries until the outcome is final. A retry
// uses the same token, or a new one once the old token can never run.
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
			// The outcome can no longer be determined. A caller retries a few times all the same;
			// after that, the booking has to be resolved by hand.
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

// recordUnresolvedBooking counts a booking that the caller gave up on, once measuring has begun.
func (c *Callers) recordUnresolvedBooking() {
	if !c.sim.now.Before(c.sim.checks.measureFrom) {
		c.BookingsUnresolved++
	}
}

// isFinalUnknown reports whether the outcome stays unknown however often the request is repeated.
func isFinalUnknown(r caller.Reason) bool {
	return r == caller.ReasonMinterGone || r == caller.ReasonTokenRecordExpired || r == caller.ReasonConnectionLost
}

// recordResult records the result of one request and checks that the response belongs to it.
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
		c.sim.checks.violate("caller of %s received the response to %s", key, result.Response.Body)
	}
	c.Latencies = append(c.Latencies, c.sim.now.Sub(startedAt))
	c.DoneAt[g.home] = append(c.DoneAt[g.home], c.sim.now)
}

// Quantile returns the latency quantile q over all requests that were done.
func (c *Callers) Quantile(q float64) time.Duration {
	if len(c.Latencies) == 0 {
		return 0
	}
	sort.Slice(c.Latencies, func(i, j int) bool { return c.Latencies[i] < c.Latencies[j] })
	return c.Latencies[int(q*float64(len(c.Latencies)-1))]
}

// lookup refreshes the cached lookup response from the first available proxy, starting at a random
// one, and reports whether there is a valid response.
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
		if response, ok := p.kernel.Lookup(p.now(), service, g.address); ok {
			g.proxies = response.Proxies
			g.lookupExpiresAt = s.now.Add(response.TTL)
			return true
		}
	}
	return false
}

// send sends a request to the first cached proxy that accepts connections. The ok argument of done
// is false if the response was lost.
func (g *callerGroup) send(r core.Request, key string, done func(caller.Result, string, bool)) {
	s := g.callers.sim
	if !g.lookup(r.Service) {
		s.After(minRetryDelay, func() { done(caller.Result{}, "", false) })
		return
	}
	g.sendToFirst(g.proxies, r, key, done)
}

// sendToFirst sends a request to the first of the proxies; if it refuses the connection, the next
// one is tried.
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
