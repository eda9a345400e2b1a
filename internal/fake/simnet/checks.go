package simnet

import (
	"fmt"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
)

const (
	// leavingGrace is how long after the start of a drain new work may still
	// come: the spread of the bundle and one look-up of the clock.
	leavingGrace = 3 * time.Second
	// capacityGrace is how long admissions under an older bundle still count.
	capacityGrace = peer.WindowLength + 100*time.Millisecond
	// maxViolations bounds what a broken run prints.
	maxViolations = 20
	maxNotes      = 200
)

type (
	// Checks asserts the promises while a run goes on, and measures.
	Checks struct {
		sim        *Sim
		from       time.Time
		violations []string
		notes      []string
		runs       map[string]int
		sendRan    map[uint64]bool
		sendNotRun map[uint64]string
		windows    map[string]*peer.SlidingWindow
		versions   map[string]uint64
		isolated   map[string]bool
		live       map[string]bool
		rollouts   map[uint64]time.Time
		bundles    map[uint64]*operator.Bundle
		// oldest is the lowest bundle version in use, past those before it.
		oldest  uint64
		past    []pastVersion
		lostAt  map[string]time.Time
		resets  int
		sheds   int
		late    int
		stopped int
		// deadlyEnds are the moments at which deadly requests have ended servers.
		deadlyEnds []time.Time
		// limits are those of the servers that name one.
		limits map[string]*limitCheck
		// pauses are what servers have asked processes for.
		pauses map[pauseKey]*pauseCheck
		// Headroom is the largest share of a region's capacity ever used.
		PeakUtilization float64
		// RolloutTimes is the time from each roll-out until all proxies used it.
		RolloutTimes []time.Duration
		// LastDispatch is the last dispatch to each backend server.
		LastDispatch map[string]time.Time
		// DispatchesPerSecond counts dispatches by region and second.
		DispatchesPerSecond map[string]map[int64]int
	}

	pastVersion struct {
		version uint64
		until   time.Time
	}
)

// CrashCounts counts the servers that deadly requests have ended, and those after the
// third end and a bound for the news of it.
func (c *Checks) CrashCounts(known int, bound time.Duration) (all, after int) {
	for _, at := range c.deadlyEnds {
		if len(c.deadlyEnds) >= known && at.After(c.deadlyEnds[known-1].Add(bound)) {
			after++
		}
	}
	return len(c.deadlyEnds), after
}

func newChecks(s *Sim) *Checks {
	return &Checks{
		sim:                 s,
		from:                s.now.Add(s.config.WarmUp),
		runs:                make(map[string]int),
		sendRan:             make(map[uint64]bool),
		sendNotRun:          make(map[uint64]string),
		windows:             make(map[string]*peer.SlidingWindow),
		versions:            make(map[string]uint64),
		isolated:            make(map[string]bool),
		live:                make(map[string]bool),
		rollouts:            make(map[uint64]time.Time),
		bundles:             make(map[uint64]*operator.Bundle),
		lostAt:              make(map[string]time.Time),
		limits:              make(map[string]*limitCheck),
		pauses:              make(map[pauseKey]*pauseCheck),
		LastDispatch:        make(map[string]time.Time),
		DispatchesPerSecond: make(map[string]map[int64]int),
	}
}

// Violations lists broken promises, first to last.
func (c *Checks) Violations() []string { return c.violations }

// EventLog lists what was done to the system, for a report of a broken run.
func (c *Checks) EventLog() []string { return c.notes }

// ShedRequests counts refusals by backend servers.
func (c *Checks) ShedRequests() int { return c.sheds }

// ExpiredDispatches counts dispatches that a backend server refused after their deadline.
func (c *Checks) ExpiredDispatches() int { return c.late }

// PlannedStops counts planned stops that came to their end.
func (c *Checks) PlannedStops() int { return c.stopped }

// SetConnectionResets breaks that many of a thousand connections to backend servers.
func (c *Checks) SetConnectionResets(permille int) { c.resets = permille }

func (c *Checks) since() string { return fmt.Sprintf("%8.3fs ", c.sim.now.Sub(c.from).Seconds()) }

func (c *Checks) violate(format string, values ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, c.since()+fmt.Sprintf(format, values...))
	}
}

func (c *Checks) note(text string) {
	if len(c.notes) < maxNotes {
		c.notes = append(c.notes, c.since()+text)
	}
}

// ran counts a run: promises "at most once" and "not run is true".
func (c *Checks) ran(d dispatch, w *BackendServer) {
	if reason, told := c.sendNotRun[d.send]; told {
		c.violate("%s ran on %s after its caller was told not-run (%s)", d.key, w.config.Name, reason)
	}
	if !d.book {
		return
	}
	c.sendRan[d.send] = true
	c.runs[d.key]++
	if c.runs[d.key] > 1 {
		c.violate("%s ran %d times, last on %s under %s", d.key, c.runs[d.key], w.config.Name, d.attempt)
	}
}

// told notes what a caller was told of one send.
func (c *Checks) told(send uint64, key string, result caller.Result) {
	if result.Outcome != caller.OutcomeNotRun {
		return
	}
	c.sendNotRun[send] = string(result.Reason)
	if c.sendRan[send] {
		c.violate("%s had run, and its caller was told not-run (%s)", key, result.Reason)
	}
}

func (c *Checks) booked(key string) {
	if c.runs[key] == 0 {
		c.violate("%s was confirmed but never ran", key)
	}
}

// dispatched counts a steering decision: capacity and leaving. One whose
// deadline has passed already, since the proxy's clock was stopped, reaches no
// backend server that would run it.
func (c *Checks) dispatched(p *Proxy, w *BackendServer, deadline time.Time) {
	now := c.sim.now
	if !now.Before(deadline) {
		return
	}
	c.LastDispatch[w.config.Name] = now
	name := w.config.Region
	window := c.windows[name]
	if window == nil {
		window = &peer.SlidingWindow{}
		c.windows[name] = window
		c.DispatchesPerSecond[name] = make(map[int64]int)
	}
	c.DispatchesPerSecond[name][now.Unix()]++
	capacity := c.capacity(name)
	if !window.Admit(now, capacity) {
		c.violate("region %s got more than %d requests within a second, last from %s", name, capacity, p.name)
	}
	if !now.Before(c.from) {
		c.PeakUtilization = max(c.PeakUtilization, float64(window.Used(now))/float64(capacity))
	}
	c.link(p, w)
	c.leaving(p, w)
	c.limit(p, w)
	c.pause(p, w)
}

// link counts requests over a link between regions.
func (c *Checks) link(p *Proxy, w *BackendServer) {
	limit := 0
	for version, b := range c.bundles {
		for _, l := range b.Links {
			if version >= c.oldest && l.From == p.place.region && l.To == w.config.Region {
				limit = max(limit, l.Limit)
			}
		}
	}
	if limit == 0 {
		return
	}
	name := p.place.region + ">" + w.config.Region
	if c.windows[name] == nil {
		c.windows[name] = &peer.SlidingWindow{}
	}
	if !c.windows[name].Admit(c.sim.now, limit) {
		c.violate("link %s got more than %d requests within a second, last from %s", name, limit, p.name)
	}
}

// capacity is the largest capacity of a region that a proxy may still go by:
// of the bundles not older than the oldest in use within the last window.
func (c *Checks) capacity(name string) int {
	oldest := c.sim.current.Version
	for _, p := range c.sim.proxies {
		if v := p.kernel.BundleVersion(); p.alive && v > 0 && v < oldest {
			oldest = v
		}
	}
	if oldest != c.oldest {
		c.past = append(c.past, pastVersion{c.oldest, c.sim.now})
		c.oldest = oldest
	}
	for _, p := range c.past {
		if c.sim.now.Sub(p.until) <= capacityGrace {
			oldest = min(oldest, p.version)
		}
	}
	most := 0
	for version, b := range c.bundles {
		if version >= oldest {
			r, _ := b.Region(name)
			most = max(most, r.Capacity)
		}
	}
	return most
}

func (c *Checks) leaving(p *Proxy, w *BackendServer) {
	if c.isolated[p.name] || p.behind > 0 {
		return
	}
	b := c.sim.current
	for i := range b.Drains {
		d := &b.Drains[i]
		if d.Kind != operator.DrainServer || d.Target != w.config.Name || !d.Active(c.sim.now) {
			continue
		}
		start := d.Start
		if at := c.rollouts[b.Version]; at.After(start) {
			start = at
		}
		if c.sim.now.Sub(start) > leavingGrace {
			c.violate("%s got new work from %s %s after its drain began", w.config.Name, p.name, c.sim.now.Sub(start))
		}
	}
}

func (c *Checks) rolledOut(b *operator.Bundle) {
	c.rollouts[b.Version] = c.sim.now
	c.bundles[b.Version] = b
}

func (c *Checks) regionLost(name string) { c.lostAt[name] = c.sim.now }

// proxyTicked asserts that versions never fall and measures when a bundle is
// in force everywhere.
func (c *Checks) proxyTicked(p *Proxy) {
	id := p.id()
	version := p.kernel.BundleVersion()
	if version < c.versions[id] {
		c.violate("%s went from bundle %d back to %d", p.name, c.versions[id], version)
	}
	c.versions[id] = version
	c.joined(p, id)
	newest := c.sim.current.Version
	began, open := c.rollouts[newest]
	if !open || version != newest {
		return
	}
	for _, other := range c.sim.proxies {
		if other.alive && !other.frozen && other.kernel.BundleVersion() != newest {
			return
		}
	}
	if len(c.RolloutTimes) < int(newest) {
		c.RolloutTimes = append(c.RolloutTimes, c.sim.now.Sub(began))
	}
}

// joined asserts that a proxy that begins to serve while others do spreads its
// traffic like one of them, within one step: else its part of the traffic would
// shift at once.
func (c *Checks) joined(p *Proxy, id string) {
	if c.live[id] || p.kernel.Self().State != peer.StateLive {
		return
	}
	c.live[id] = true
	own := p.kernel.Status(p.now()).Regions
	planned := c.sim.current.Shift.CapPermille
	for i := range own {
		nearest := -1
		for _, other := range c.sim.proxies {
			if other == p || !other.alive || other.frozen || other.kernel.Self().State != peer.StateLive {
				continue
			}
			rows := other.kernel.Status(other.now()).Regions
			if d := rows[i].Row.Distance(own[i].Row); nearest < 0 || d < nearest {
				nearest = d
			}
		}
		if nearest > planned {
			c.violate("%s began to serve with a row of %s that is %d permille from any other's", p.name, own[i].Name, nearest)
		}
	}
}

func (c *Checks) exchanged(asked, answer peer.Exchange) {
	if c.sim.config.OnExchange != nil {
		c.sim.config.OnExchange(asked, answer)
	}
}

// CheckFinalState asserts what must hold at the end: counts that add up.
func (c *Checks) CheckFinalState() {
	for _, p := range c.sim.proxies {
		if !p.alive || p.frozen {
			continue
		}
		if n := p.kernel.Status(p.now()).InFlight; n < 0 {
			c.violate("%s counts %d requests in flight", p.name, n)
		}
	}
}
