package admission

import (
	"maps"
	"time"
)

const (
	// slowFactor is the multiple of the unloaded service time from which a response counts as slow.
	// On servers that do not slow down, one response in ten is slow, at any load. On servers that
	// take three times as long once two of three slots are in use, at least half of the responses
	// are slow when the server is full.
	slowFactor = 1.8
	// minSlowRatio is the ratio of slow responses of full servers from which their service may be
	// slowing down. It separates the two cases above.
	minSlowRatio = 0.6
	// minResponses is the number of responses required for a detection. With one slow response in
	// ten, five of eight are slow by chance once in 2,000 cases; the cost is then a few seconds in
	// which the limiters measure throughput.
	minResponses = 8
	// minSlowExcess is how much higher the ratio of slow responses must be on full servers than on
	// others. Cache misses slow responses down at any load.
	minSlowExcess = 0.2
	// minSlowServers is the number of servers that must have been slow within slowServerTTL. One or
	// two servers that are always slow are also always full, but that is no reason to limit the
	// others.
	minSlowServers = 3
	slowServerTTL  = 5 * time.Second
	// maxLevels bounds the number of distinguished concurrency levels: on servers with many slots,
	// one more request makes no measurable difference.
	maxLevels = 8
	// levelWeight is the minimum weight of one response in the moving average of its level. Levels
	// with fewer samples than minLevelSamples are not compared.
	levelWeight     = 1.0 / 16
	minLevelSamples = 8
	// probeWeight is the weight of a response to a probe, of which there are few.
	probeWeight = 1.0 / 4
	// reductionFactor is the part of the current concurrency that is tried first when it is
	// reduced. Servers that slow down when nearly full do so only above that part of their slots.
	reductionFactor = 0.67
	// confirmSamples is the number of responses required at the highest level before the servers
	// are known not to slow down and are no longer limited.
	confirmSamples = 24
	// minImprovement is the factor by which the throughput of a level must be higher to be
	// preferred. An average of 16 responses varies by smaller factors by chance.
	minImprovement = 1.08
	// maxRatio bounds the contribution of one response to the average: a slower one waited for
	// something unrelated.
	maxRatio = 6.0
	// explorationInterval is the minimum time between two trials of a reduced level.
	explorationInterval = 10 * time.Second
	// minProbeInterval is the time from a change of the limit to the first probe, in which one more
	// request may run. The interval doubles with each probe up to maxProbeInterval. A probe costs
	// one slow response, and a proxy may own the limiters of several servers.
	minProbeInterval = 2 * time.Second
	maxProbeInterval = time.Minute
)

type (
	// SlowdownDetector measures how often responses are slow, separately for full servers and
	// others.
	SlowdownDetector struct {
		full, other slowRatio
		// lastSlow maps each server to the time of its last slow response while full.
		lastSlow map[string]time.Time
	}

	slowRatio struct {
		ratio   float64
		samples int
	}

	// AdaptiveLimit learns how many requests the servers of a service should run at once: the
	// number with the highest throughput, computed from the service times of requests by the number
	// of requests that were running when they started.
	AdaptiveLimit struct {
		slots int
		// step is the number of concurrent requests between two levels.
		step   int
		levels []level
		// current is the level up to which requests may run.
		current int
		// lastProbe is when a request was last allowed at the next level, probeInterval the time
		// until the next probe.
		lastProbe     time.Time
		probeInterval time.Duration
		// lastExploration is when a reduced level was last tried in order to measure it.
		lastExploration time.Time
		// adoptedSamples is the number of samples behind a limit that was adopted from another
		// proxy.
		adoptedSamples int
	}

	// level is the average service time of requests that started at this concurrency level,
	// relative to their target.
	level struct {
		ratio   float64
		samples int
	}

	// Limit is the concurrency limit that a proxy has learned for a service: the number of requests
	// that its servers should run at once, and the number of samples that support it.
	Limit struct {
		// Slots is the number of slots of the servers that the limit applies to.
		Slots   int `json:"slots"`
		Max     int `json:"most"`
		Samples int `json:"evidence"`
	}
)

// Observe adds a response of a server. full is set if all its slots were in use; expected is the
// service time to expect without load.
func (s *SlowdownDetector) Observe(now time.Time, server string, full bool, elapsed, expected time.Duration) {
	slow := float64(elapsed) > slowFactor*float64(expected)
	if !full {
		s.other.observe(slow)
		return
	}
	s.full.observe(slow)
	if slow {
		if s.lastSlow == nil {
			s.lastSlow = make(map[string]time.Time)
		}
		s.lastSlow[server] = now
	}
}

func (s *slowRatio) observe(slow bool) {
	value := 0.0
	if slow {
		value = 1
	}
	s.samples++
	s.ratio += (value - s.ratio) / float64(min(s.samples, minResponses))
}

// Detected reports whether servers appear to slow down when they are full.
func (s *SlowdownDetector) Detected(now time.Time) bool {
	maps.DeleteFunc(s.lastSlow, func(_ string, at time.Time) bool { return now.Sub(at) > slowServerTTL })
	return s.full.samples >= minResponses && s.full.ratio >= minSlowRatio && s.full.ratio-s.other.ratio >= minSlowExcess &&
		len(s.lastSlow) >= minSlowServers
}

// Reset discards all measurements.
func (s *SlowdownDetector) Reset() { *s = SlowdownDetector{} }

// NewAdaptiveLimit returns an AdaptiveLimit for servers with the given number of slots, which
// starts with all of them.
func NewAdaptiveLimit(slots int) *AdaptiveLimit {
	step := max(1, slots/maxLevels)
	top := (slots + step - 1) / step
	return &AdaptiveLimit{slots: slots, step: step, current: top, levels: make([]level, top+1), probeInterval: minProbeInterval}
}

// Limit returns how many requests may run at once. It includes the next level while that has not
// been measured, unless the limit was adopted from another proxy.
func (a *AdaptiveLimit) Limit() int {
	if a.adoptedSamples == 0 && !a.AtMax() && a.isMeasured(a.current) && !a.isMeasured(a.current+1) {
		return a.limitAt(a.current + 1)
	}
	return a.limitAt(a.current)
}

func (a *AdaptiveLimit) limitAt(level int) int { return min(a.slots, level*a.step) }

// Learned returns the limit with the number of samples that support it.
func (a *AdaptiveLimit) Learned() Limit {
	return Limit{Slots: a.slots, Max: a.limitAt(a.current), Samples: a.samples()}
}

// samples counts the responses that support the limit: those at the level above it, or at the
// highest level if there is none above.
func (a *AdaptiveLimit) samples() int {
	return max(a.adoptedSamples, a.levels[min(a.current+1, a.topLevel())].samples)
}

// Adopt applies the limit that another proxy has learned from more samples. Each limiter sees a few
// responses per second; alone, each would take tens of seconds to learn.
func (a *AdaptiveLimit) Adopt(l Limit) {
	if l.Slots != a.slots || l.Max < 1 || l.Max > a.slots || l.Samples < minLevelSamples || l.Samples <= a.samples() {
		return
	}
	a.current, a.adoptedSamples = (l.Max+a.step-1)/a.step, l.Samples
}

func (a *AdaptiveLimit) topLevel() int { return len(a.levels) - 1 }

// AtMax reports whether the servers may currently use all their slots.
func (a *AdaptiveLimit) AtMax() bool { return a.current == a.topLevel() }

// ConfirmedAtMax reports whether the servers are known to have the highest throughput with all
// their slots in use.
func (a *AdaptiveLimit) ConfirmedAtMax() bool {
	return a.AtMax() && a.levels[a.current].samples >= confirmSamples && (a.current == 1 || a.isMeasured(a.reducedLevel()))
}

// NextLimit returns the limit for the next request. It occasionally permits a probe at the next
// level, to detect servers that no longer slow down.
func (a *AdaptiveLimit) NextLimit(now time.Time) int {
	if a.lastProbe.IsZero() {
		a.lastProbe = now
	}
	if a.AtMax() || now.Sub(a.lastProbe) < a.probeInterval {
		return a.Limit()
	}
	return a.limitAt(a.current + 1)
}

// RecordProbe records that a request was allowed beyond the limit.
func (a *AdaptiveLimit) RecordProbe(now time.Time) {
	a.lastProbe, a.probeInterval = now, min(2*a.probeInterval, maxProbeInterval)
}

// Observe adds the service time, relative to its target, of a request that started as the rank-th
// running one, and moves the limit to the level with the highest throughput.
func (a *AdaptiveLimit) Observe(now time.Time, rank int, ratio float64) {
	if rank < 1 || rank > a.slots {
		return
	}
	l := &a.levels[(rank+a.step-1)/a.step]
	l.samples++
	weight := max(levelWeight, 1/float64(l.samples))
	if rank > a.limitAt(a.current) {
		weight = max(weight, probeWeight)
	}
	l.ratio += (min(ratio, maxRatio) - l.ratio) * weight
	for other := range a.levels {
		if a.outperforms(other, a.current) {
			a.moveTo(other)
		}
	}
	if a.needsExploration() && now.Sub(a.lastExploration) > explorationInterval {
		a.lastExploration = now
		a.levels[a.reducedLevel()] = level{}
		a.moveTo(a.reducedLevel())
	}
}

// reducedLevel returns the level to explore if no lower level has been measured. One level less
// would not do: above the point at which servers slow down, one level less also has a lower
// throughput.
func (a *AdaptiveLimit) reducedLevel() int { return max(1, int(reductionFactor*float64(a.current))) }

// needsExploration reports whether a reduced level must be measured: servers that use all their
// slots may have a higher throughput with fewer, and if responses are late without a queue, the
// measurements of lower levels may date from a time when the servers were full of earlier requests.
func (a *AdaptiveLimit) needsExploration() bool {
	return a.current > 1 && a.isMeasured(a.current) && (a.AtMax() && !a.isMeasured(a.reducedLevel()) || a.levels[a.current].ratio > 1)
}

func (a *AdaptiveLimit) isMeasured(level int) bool { return a.levels[level].samples >= minLevelSamples }

func (a *AdaptiveLimit) moveTo(level int) {
	a.current, a.adoptedSamples, a.probeInterval = level, 0, minProbeInterval
}

// outperforms reports whether the throughput of a level is clearly higher than that of other.
func (a *AdaptiveLimit) outperforms(level, other int) bool {
	if level < 1 || level > a.topLevel() || !a.isMeasured(level) || !a.isMeasured(other) {
		return false
	}
	return a.throughput(level) > minImprovement*a.throughput(other)
}

// throughput returns the relative throughput at a level.
func (a *AdaptiveLimit) throughput(level int) float64 {
	return float64(a.limitAt(level)) / max(0.1, a.levels[level].ratio)
}
