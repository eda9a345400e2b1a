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
	// itemsAsked is how many different items callers ask each service for.
	itemsAsked = 50
	// deadlyPath ends the server that runs it, deadlyAfter after it has begun, and
	// deadlyBack later the server is back.
	deadlyPath  = "/deadly"
	deadlyAfter = 20 * time.Millisecond
	deadlyBack  = 2 * time.Second

	groupsPerRegion = 32
	callerTimeout   = 4 * time.Second
	repeatPause     = 250 * time.Millisecond
	repeatsMost     = 60
	hopelessMost    = 3
)

type (
	// Callers is everybody who sends requests: per home region some groups
	// that share one cached look-up answer each.
	Callers struct {
		sim    *Sim
		groups [][]*callerGroup
		serial uint64
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
		callers *Callers
		home    int
		place   location
		address netip.Addr
		proxies []peer.Member
		until   time.Time
	}

	booking struct {
		group   *callerGroup
		service string
		key     string
		token   string
		tries   int
		began   time.Time
		// hopeless counts answers that will not change any more.
		hopeless int
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
				callers: c,
				home:    home,
				place:   location{r.Name, r.Domains[i%len(r.Domains)]},
				address: netip.AddrFrom4([4]byte{10, byte(10 + home), byte(i), 1}),
			})
		}
		c.groups = append(c.groups, list)
		c.arrive(home)
	}
	return c
}

// arrive makes one request after an exponential gap, and the next.
func (c *Callers) arrive(home int) {
	rate := c.sim.config.Load[home]
	if rate <= 0 {
		return
	}
	gap := time.Duration(c.sim.random.ExpFloat64() / rate * float64(time.Second))
	c.sim.After(gap, func() {
		c.arrive(home)
		g := c.groups[home][c.sim.random.IntN(groupsPerRegion)]
		b := c.sim.config.Bundle
		service := b.Services[c.sim.random.IntN(len(b.Services))].Name
		if c.sim.random.IntN(1000) < c.sim.config.BookingPermille {
			c.serial++
			(&booking{group: g, service: service, key: fmt.Sprint("bid-", c.serial), began: c.sim.now}).try()
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
		s.callers.arrive(home)
	}
}

func (g *callerGroup) browse(service string) {
	began := g.callers.sim.now
	key := fmt.Sprint("get-", g.callers.sim.serial)
	item := quarantine.NewFingerprint("GET", service, fmt.Sprint("/item/", g.callers.sim.serial%itemsAsked), "", nil)
	r := core.Request{Service: service, Method: "GET", Path: "/item", Client: g.address, Work: item}
	g.send(r, key, func(result caller.Result, _ string, ok bool) {
		g.callers.note(g, began, result, ok, key)
	})
}

// askDeadly asks a service for what ends the server that runs it.
func (c *Callers) askDeadly(service string) {
	list := c.groups[c.sim.random.IntN(len(c.groups))]
	r := core.Request{
		Service: service, Method: "GET", Path: deadlyPath, Client: list[c.sim.random.IntN(len(list))].address,
		Work: quarantine.NewFingerprint("GET", service, deadlyPath, "", nil),
	}
	list[c.sim.random.IntN(len(list))].send(r, deadlyPath, func(caller.Result, string, bool) {})
}

// try sends the booking with its token. It repeats until the outcome is final,
// with the same token, or a fresh one once that can never run.
func (b *booking) try() {
	c := b.group.callers
	b.tries++
	r := core.Request{Service: b.service, Method: "POST", Path: "/book", Client: b.group.address, Token: b.token}
	sent := c.sim.now
	b.group.send(r, b.key, func(result caller.Result, token string, ok bool) {
		if result.Reason != caller.ReasonTokenRequired || !ok {
			c.note(b.group, sent, result, ok, b.key)
		}
		switch {
		case ok && result.Outcome == caller.OutcomeDone:
			c.BookingsDone++
			c.sim.checks.booked(b.key)
			return
		case ok && token != "":
			b.token = token
			b.try()
			return
		case ok && result.Outcome == caller.OutcomeNotRun && result.Reason.GuaranteesNotRun():
			b.token = ""
		case ok && final(result.Reason):
			// Nobody can say. A caller asks a few times all the same, then a
			// person has to look.
			b.hopeless++
			if b.hopeless >= hopelessMost {
				c.unsettled()
				return
			}
		}
		if b.tries >= repeatsMost {
			c.unsettled()
			return
		}
		c.sim.After(max(result.RetryAfter, repeatPause), b.try)
	})
}

func (c *Callers) unsettled() {
	if !c.sim.now.Before(c.sim.checks.from) {
		c.BookingsUnresolved++
	}
}

func final(r caller.Reason) bool {
	return r == caller.ReasonMinterGone || r == caller.ReasonTokenRecordExpired || r == caller.ReasonConnectionLost
}

func (c *Callers) note(g *callerGroup, began time.Time, result caller.Result, ok bool, key string) {
	if c.sim.now.Before(c.sim.checks.from) {
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
	c.Latencies = append(c.Latencies, c.sim.now.Sub(began))
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
	if s.now.Before(g.until) && len(g.proxies) > 0 {
		return true
	}
	offset := s.random.IntN(len(s.proxies))
	for i := range s.proxies {
		p := s.proxies[(offset+i)%len(s.proxies)]
		if !p.alive || p.frozen || !p.serving {
			continue
		}
		if answer, ok := p.kernel.Lookup(p.now(), service, g.address); ok {
			g.proxies = answer.Proxies
			g.until = s.now.Add(answer.TTL)
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
		s.After(repeatPause, func() { done(caller.Result{}, "", false) })
		return
	}
	g.sendTo(g.proxies, r, key, done)
}

func (g *callerGroup) sendTo(list []peer.Member, r core.Request, key string, done func(caller.Result, string, bool)) {
	s := g.callers.sim
	if len(list) == 0 {
		g.until = time.Time{}
		s.After(repeatPause, func() { done(caller.Result{}, "", false) })
		return
	}
	p := s.byAddress(list[0].Address)
	there := s.config.Net.Client
	if p.place.region != g.place.region {
		there += s.config.Net.BetweenRegions
	}
	settled := false
	settle := func(result caller.Result, token string, ok bool) {
		if !settled {
			settled = true
			done(result, token, ok)
		}
	}
	s.After(there, func() {
		if !p.alive || !p.serving {
			g.until = time.Time{}
			s.After(there, func() {
				if !settled {
					settled = true
					g.sendTo(list[1:], r, key, done)
				}
			})
			return
		}
		s.serial++
		id := s.serial
		p.open[id] = func() { s.After(there, func() { settle(caller.Result{}, "", false) }) }
		p.do(p.life, func() {
			p.serve(request{Request: r, send: id, key: key, reply: func(result caller.Result, token string) {
				delete(p.open, id)
				s.checks.told(id, key, result)
				s.After(there, func() { settle(result, token, true) })
			}})
		})
	})
	s.After(callerTimeout, func() { settle(caller.Result{}, "", false) })
}
