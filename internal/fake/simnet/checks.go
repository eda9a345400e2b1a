package simnet

import (
	"fmt"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
)

const (
	// drainGracePeriod is how long after the start of a drain a server may still receive new
	// requests: the time for the bundle to propagate plus one check of the clock.
	drainGracePeriod = 3 * time.Second
	// capacityGracePeriod is how long requests admitted under an older bundle still count.
	capacityGracePeriod = peer.WindowLength + 100*time.Millisecond
	// maxViolations limits the output of a failed run.
	maxViolations = 20
	maxLogEntries = 200
)

type (
	// Checks verifies the guarantees of the system during a run and collects measurements.
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
		// oldestVersion is the lowest bundle version in use, pastVersions the previous values of
		// it.
		oldestVersion     uint64
		pastVersions      []pastVersion
		regionDownSince   map[string]time.Time
		resetPermille     int
		shedRequests      int
		expiredDispatches int
		gracefulShutdowns int
		// crashTimes are the times at which a request crashed a server.
		crashTimes []time.Time
		// serverLimits holds the checks of the servers that advertise a request limit.
		serverLimits map[string]*limitCheck
		// serverPauses holds the pauses that servers have requested from processes.
		serverPauses map[pauseKey]*pauseCheck
		// PeakUtilization is the highest used share of any region's capacity.
		PeakUtilization float64
		// RolloutTimes is the time from the start of each rollout until all proxies used the
		// bundle.
		RolloutTimes []time.Duration
		// LastDispatch is the time of the last dispatch to each backend server.
		LastDispatch map[string]time.Time
		// DispatchesPerSecond counts dispatches by region and second.
		DispatchesPerSecond map[string]map[int64]int
	}

	// pastVersion is a bundle version that was the oldest in use until the given time.
	pastVersion struct {
		version uint64
		until   time.Time
	}
)

// CrashCounts returns how many servers were crashed by requests, in total and after the request
// must have been detected: later than detectionTime after crash number detectedAfter.
func (c *Checks) CrashCounts(detectedAfter int, detectionTime time.Duration) (total, afterDetection int) {
	for _, at := range c.crashTimes {
		if len(c.crashTimes) >= detectedAfter && at.After(c.crashTimes[detectedAfter-1].Add(detectionTime)) {
			afterDetection++
		}
	}
	return len(c.crashTimes), afterDetection
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

// Violations lists the violated guarantees in order of time.
func (c *Checks) Violations() []string { return c.violations }

// EventLog lists the faults and operator actions of the run, for the report of a failure.
func (c *Checks) EventLog() []string { return c.eventLog }

// ShedRequests counts the requests that backend servers rejected.
func (c *Checks) ShedRequests() int { return c.shedRequests }

// ExpiredDispatches counts the dispatches that backend servers rejected after their deadline.
func (c *Checks) ExpiredDispatches() int { return c.expiredDispatches }

// GracefulShutdowns counts the graceful shutdowns that completed.
func (c *Checks) GracefulShutdowns() int { return c.gracefulShutdowns }

// SetConnectionResets sets how many of a thousand connections to backend servers break.
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

// recordRun counts a run of a request. It verifies that a booking runs at most once and that no
// request runs whose caller was told that it did not.
func (c *Checks) recordRun(d dispatch, server *BackendServer) {
	if reason, reported := c.notRunReasons[d.sendID]; reported {
		c.violate("%s ran on %s after its caller was told not-run (%s)", d.key, server.config.Name, reason)
	}
	if !d.booking {
		return
	}
	c.bookingRan[d.sendID] = true
	c.runsByKey[d.key]++
	if c.runsByKey[d.key] > 1 {
		c.violate("%s ran %d times, last on %s under %s", d.key, c.runsByKey[d.key], server.config.Name, d.attempt)
	}
}

// recordResult records the result that a caller received for one send.
func (c *Checks) recordResult(sendID uint64, key string, result caller.Result) {
	if result.Outcome != caller.OutcomeNotRun {
		return
	}
	c.notRunReasons[sendID] = string(result.Reason)
	if c.bookingRan[sendID] {
		c.violate("%s had run when its caller was told not-run (%s)", key, result.Reason)
	}
}

// checkBookingRan verifies that a booking that its caller got confirmed has run.
func (c *Checks) checkBookingRan(key string) {
	if c.runsByKey[key] == 0 {
		c.violate("%s was confirmed but never ran", key)
	}
}

// checkDispatch verifies a dispatch against the capacity of the region, the limit of the link,
// drains, and the limit and pause of the server. A dispatch past its deadline, which a proxy makes
// whose clock was stopped, does not count: no backend server would run it.
func (c *Checks) checkDispatch(p *Proxy, server *BackendServer, deadline time.Time) {
	now := c.sim.now
	if !now.Before(deadline) {
		return
	}
	c.LastDispatch[server.config.Name] = now
	region := server.config.Region
	window := c.windows[region]
	if window == nil {
		window = &peer.SlidingWindow{}
		c.windows[region] = window
		c.DispatchesPerSecond[region] = make(map[int64]int)
	}
	c.DispatchesPerSecond[region][now.Unix()]++
	capacity := c.maxCapacity(region)
	if !window.Admit(now, capacity) {
		c.violate("region %s got more than %d requests within a second, last from %s", region, capacity, p.name)
	}
	if !now.Before(c.measureFrom) {
		c.PeakUtilization = max(c.PeakUtilization, float64(window.Used(now))/float64(capacity))
	}
	c.checkLinkLimit(p, server)
	c.checkDrain(p, server)
	c.checkServerLimit(p, server)
	c.checkServerPause(p, server)
}

// checkLinkLimit verifies the request limit of a link between regions.
func (c *Checks) checkLinkLimit(p *Proxy, server *BackendServer) {
	limit := 0
	for version, b := range c.bundles {
		for _, l := range b.Links {
			if version >= c.oldestVersion && l.From == p.location.region && l.To == server.config.Region {
				limit = max(limit, l.Limit)
			}
		}
	}
	if limit == 0 {
		return
	}
	link := p.location.region + ">" + server.config.Region
	if c.windows[link] == nil {
		c.windows[link] = &peer.SlidingWindow{}
	}
	if !c.windows[link].Admit(c.sim.now, limit) {
		c.violate("link %s got more than %d requests within a second, last from %s", link, limit, p.name)
	}
}

// maxCapacity returns the largest capacity of a region that a proxy may still apply: the maximum
// over the bundles not older than the oldest one in use within the last window.
func (c *Checks) maxCapacity(region string) int {
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
			r, _ := b.Region(region)
			largest = max(largest, r.Capacity)
		}
	}
	return largest
}

// checkDrain verifies that a server receives no new requests once its drain has taken effect.
func (c *Checks) checkDrain(p *Proxy, server *BackendServer) {
	if c.isolated[p.name] || p.clockLag > 0 {
		return
	}
	b := c.sim.currentBundle
	for i := range b.Drains {
		d := &b.Drains[i]
		if d.Kind != operator.DrainServer || d.Target != server.config.Name || !d.Active(c.sim.now) {
			continue
		}
		start := d.Start
		if at := c.rolloutStarts[b.Version]; at.After(start) {
			start = at
		}
		if c.sim.now.Sub(start) > drainGracePeriod {
			c.violate("%s got new work from %s %s after its drain began", server.config.Name, p.name, c.sim.now.Sub(start))
		}
	}
}

func (c *Checks) recordRollout(b *operator.Bundle) {
	c.rolloutStarts[b.Version] = c.sim.now
	c.bundles[b.Version] = b
}

func (c *Checks) recordRegionDown(region string) { c.regionDownSince[region] = c.sim.now }

// checkProxyState verifies that the bundle version of a proxy never decreases, and measures when
// all proxies use the current bundle.
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

// checkInitialRow verifies a proxy that starts serving while others already serve: each row of its
// traffic shares must be within one shift step of the same row of another proxy. Otherwise its part
// of the traffic would shift all at once.
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
			c.violate("%s started serving with a row for %s that is %d permille away from the nearest row of another proxy", p.name, ownRegions[i].Name, nearest)
		}
	}
}

func (c *Checks) observeExchange(request, response peer.Exchange) {
	if c.sim.config.OnExchange != nil {
		c.sim.config.OnExchange(request, response)
	}
}

// CheckFinalState verifies what must hold at the end of a run: no proxy counts a negative number of
// requests in flight.
func (c *Checks) CheckFinalState() {
	for _, p := range c.sim.proxies {
		if !p.alive || p.frozen {
			continue
		}
		if n := p.kernel.Status(p.now()).InFlight; n < 0 {
			c.violate("%s reports %d requests in flight at the end", p.name, n)
		}
	}
}
