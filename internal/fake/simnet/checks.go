package simnet

import (
	"fmt"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
)

const (
	// drainGracePeriod is how long after the start of a drain new work may still
	// come: the spread of the bundle and one look-up of the clock.
	drainGracePeriod = 3 * time.Second
	// capacityGracePeriod is how long admissions under an older bundle still count.
	capacityGracePeriod = peer.WindowLength + 100*time.Millisecond
	// maxViolations bounds what a broken run prints.
	maxViolations = 20
	maxLogEntries = 200
)

type (
	// Checks asserts the promises while a run goes on, and measures.
	Checks struct {
		sim            *Sim
		measureFrom    time.Time
		violations     []string
		eventLog       []string
		runsByKey      map[string]int
		bookingRan     map[uint64]bool
		notRunReasons  map[uint64]string
		windows        map[string]*peer.SlidingWindow
		bundleVersions map[string]uint64
		isolated       map[string]bool
		startedServing map[string]bool
		rolloutStarts  map[uint64]time.Time
		bundles        map[uint64]*operator.Bundle
		// oldestVersion is the lowest bundle version in use, past those before it.
		oldestVersion     uint64
		pastVersions      []pastVersion
		regionDownSince   map[string]time.Time
		resetPermille     int
		shedRequests      int
		expiredDispatches int
		plannedStops      int
		// crashTimes are the moments at which deadly requests have ended servers.
		crashTimes []time.Time
		// serverLimits are those of the servers that name one.
		serverLimits map[string]*limitCheck
		// serverPauses are what servers have asked processes for.
		serverPauses map[pauseKey]*pauseCheck
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
	for _, at := range c.crashTimes {
		if len(c.crashTimes) >= known && at.After(c.crashTimes[known-1].Add(bound)) {
			after++
		}
	}
	return len(c.crashTimes), after
}

func newChecks(s *Sim) *Checks {
	return &Checks{
		sim:                 s,
		measureFrom:         s.now.Add(s.config.WarmUp),
		runsByKey:           make(map[string]int),
		bookingRan:          make(map[uint64]bool),
		notRunReasons:       make(map[uint64]string),
		windows:             make(map[string]*peer.SlidingWindow),
		bundleVersions:      make(map[string]uint64),
		isolated:            make(map[string]bool),
		startedServing:      make(map[string]bool),
		rolloutStarts:       make(map[uint64]time.Time),
		bundles:             make(map[uint64]*operator.Bundle),
		regionDownSince:     make(map[string]time.Time),
		serverLimits:        make(map[string]*limitCheck),
		serverPauses:        make(map[pauseKey]*pauseCheck),
		LastDispatch:        make(map[string]time.Time),
		DispatchesPerSecond: make(map[string]map[int64]int),
	}
}

// Violations lists broken promises, first to last.
func (c *Checks) Violations() []string { return c.violations }

// EventLog lists what was done to the system, for a report of a broken run.
func (c *Checks) EventLog() []string { return c.eventLog }

// ShedRequests counts refusals by backend servers.
func (c *Checks) ShedRequests() int { return c.shedRequests }

// ExpiredDispatches counts dispatches that a backend server refused after their deadline.
func (c *Checks) ExpiredDispatches() int { return c.expiredDispatches }

// PlannedStops counts planned stops that came to their end.
func (c *Checks) PlannedStops() int { return c.plannedStops }

// SetConnectionResets breaks that many of a thousand connections to backend servers.
func (c *Checks) SetConnectionResets(permille int) { c.resetPermille = permille }

func (c *Checks) timestamp() string {
	return fmt.Sprintf("%8.3fs ", c.sim.now.Sub(c.measureFrom).Seconds())
}

func (c *Checks) violate(format string, values ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, c.timestamp()+fmt.Sprintf(format, values...))
	}
}

func (c *Checks) logEvent(text string) {
	if len(c.eventLog) < maxLogEntries {
		c.eventLog = append(c.eventLog, c.timestamp()+text)
	}
}

// recordRun counts a run: promises "at most once" and "not run is true".
func (c *Checks) recordRun(d dispatch, w *BackendServer) {
	if reason, reported := c.notRunReasons[d.sendID]; reported {
		c.violate("%s ran on %s after its caller was told not-run (%s)", d.key, w.config.Name, reason)
	}
	if !d.booking {
		return
	}
	c.bookingRan[d.sendID] = true
	c.runsByKey[d.key]++
	if c.runsByKey[d.key] > 1 {
		c.violate("%s ran %d times, last on %s under %s", d.key, c.runsByKey[d.key], w.config.Name, d.attempt)
	}
}

// recordResult notes what a caller was told of one send.
func (c *Checks) recordResult(send uint64, key string, result caller.Result) {
	if result.Outcome != caller.OutcomeNotRun {
		return
	}
	c.notRunReasons[send] = string(result.Reason)
	if c.bookingRan[send] {
		c.violate("%s had run, and its caller was told not-run (%s)", key, result.Reason)
	}
}

func (c *Checks) checkBookingRan(key string) {
	if c.runsByKey[key] == 0 {
		c.violate("%s was confirmed but never ran", key)
	}
}

// checkDispatch counts a steering decision: capacity and leaving. One whose
// deadline has passed already, since the proxy's clock was stopped, reaches no
// backend server that would run it.
func (c *Checks) checkDispatch(p *Proxy, w *BackendServer, deadline time.Time) {
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
	capacity := c.maxCapacity(name)
	if !window.Admit(now, capacity) {
		c.violate("region %s got more than %d requests within a second, last from %s", name, capacity, p.name)
	}
	if !now.Before(c.measureFrom) {
		c.PeakUtilization = max(c.PeakUtilization, float64(window.Used(now))/float64(capacity))
	}
	c.checkLinkLimit(p, w)
	c.checkDrain(p, w)
	c.checkServerLimit(p, w)
	c.checkServerPause(p, w)
}

// checkLinkLimit counts requests over a link between regions.
func (c *Checks) checkLinkLimit(p *Proxy, w *BackendServer) {
	limit := 0
	for version, b := range c.bundles {
		for _, l := range b.Links {
			if version >= c.oldestVersion && l.From == p.location.region && l.To == w.config.Region {
				limit = max(limit, l.Limit)
			}
		}
	}
	if limit == 0 {
		return
	}
	name := p.location.region + ">" + w.config.Region
	if c.windows[name] == nil {
		c.windows[name] = &peer.SlidingWindow{}
	}
	if !c.windows[name].Admit(c.sim.now, limit) {
		c.violate("link %s got more than %d requests within a second, last from %s", name, limit, p.name)
	}
}

// maxCapacity is the largest capacity of a region that a proxy may still go by:
// of the bundles not older than the oldest in use within the last window.
func (c *Checks) maxCapacity(name string) int {
	oldest := c.sim.currentBundle.Version
	for _, p := range c.sim.proxies {
		if v := p.kernel.BundleVersion(); p.alive && v > 0 && v < oldest {
			oldest = v
		}
	}
	if oldest != c.oldestVersion {
		c.pastVersions = append(c.pastVersions, pastVersion{c.oldestVersion, c.sim.now})
		c.oldestVersion = oldest
	}
	for _, p := range c.pastVersions {
		if c.sim.now.Sub(p.until) <= capacityGracePeriod {
			oldest = min(oldest, p.version)
		}
	}
	largest := 0
	for version, b := range c.bundles {
		if version >= oldest {
			r, _ := b.Region(name)
			largest = max(largest, r.Capacity)
		}
	}
	return largest
}

func (c *Checks) checkDrain(p *Proxy, w *BackendServer) {
	if c.isolated[p.name] || p.clockLag > 0 {
		return
	}
	b := c.sim.currentBundle
	for i := range b.Drains {
		d := &b.Drains[i]
		if d.Kind != operator.DrainServer || d.Target != w.config.Name || !d.Active(c.sim.now) {
			continue
		}
		start := d.Start
		if at := c.rolloutStarts[b.Version]; at.After(start) {
			start = at
		}
		if c.sim.now.Sub(start) > drainGracePeriod {
			c.violate("%s got new work from %s %s after its drain began", w.config.Name, p.name, c.sim.now.Sub(start))
		}
	}
}

func (c *Checks) recordRollout(b *operator.Bundle) {
	c.rolloutStarts[b.Version] = c.sim.now
	c.bundles[b.Version] = b
}

func (c *Checks) recordRegionDown(name string) { c.regionDownSince[name] = c.sim.now }

// checkProxyState asserts that versions never fall and measures when a bundle is
// in force everywhere.
func (c *Checks) checkProxyState(p *Proxy) {
	id := p.incarnationID()
	version := p.kernel.BundleVersion()
	if version < c.bundleVersions[id] {
		c.violate("%s went from bundle %d back to %d", p.name, c.bundleVersions[id], version)
	}
	c.bundleVersions[id] = version
	c.checkInitialRow(p, id)
	currentVersion := c.sim.currentBundle.Version
	startedAt, known := c.rolloutStarts[currentVersion]
	if !known || version != currentVersion {
		return
	}
	for _, other := range c.sim.proxies {
		if other.alive && !other.frozen && other.kernel.BundleVersion() != currentVersion {
			return
		}
	}
	if len(c.RolloutTimes) < int(currentVersion) {
		c.RolloutTimes = append(c.RolloutTimes, c.sim.now.Sub(startedAt))
	}
}

// checkInitialRow asserts that a proxy that begins to serve while others do spreads its
// traffic like one of them, within one step: else its part of the traffic would
// shift at once.
func (c *Checks) checkInitialRow(p *Proxy, id string) {
	if c.startedServing[id] || p.kernel.Self().State != peer.StateLive {
		return
	}
	c.startedServing[id] = true
	ownRegions := p.kernel.Status(p.now()).Regions
	maxDistance := c.sim.currentBundle.Shift.CapPermille
	for i := range ownRegions {
		nearest := -1
		for _, other := range c.sim.proxies {
			if other == p || !other.alive || other.frozen || other.kernel.Self().State != peer.StateLive {
				continue
			}
			rows := other.kernel.Status(other.now()).Regions
			if d := rows[i].Row.Distance(ownRegions[i].Row); nearest < 0 || d < nearest {
				nearest = d
			}
		}
		if nearest > maxDistance {
			c.violate("%s began to serve with a row of %s that is %d permille from any other's", p.name, ownRegions[i].Name, nearest)
		}
	}
}

func (c *Checks) observeExchange(request, answer peer.Exchange) {
	if c.sim.config.OnExchange != nil {
		c.sim.config.OnExchange(request, answer)
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
