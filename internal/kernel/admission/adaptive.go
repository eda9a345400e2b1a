package admission

import (
	"maps"
	"time"
)

const (
	// slowFactor is how many times the work without company an answer must take to count
	// as slow. On servers that do not slow down, one in ten does, full or not; on
	// those that take three times as long once two of three slots are used, half and
	// more of the answers of full ones do.
	slowFactor = 1.8
	// minSlowRatio is the share of slow answers of full servers from which their
	// service is suspected, between those two.
	minSlowRatio = 0.6
	// minResponses is how many answers must have been seen for it. One in ten comes
	// to five of eight by chance once in 2,000 times; what follows then is a few
	// seconds in which gates measure.
	minResponses = 8
	// minSlowExcess is by how much the share of slow answers must be larger for full
	// servers than for others. Objects that servers have forgotten make answers slow
	// whether they are full or not.
	minSlowExcess = 0.2
	// minSlowServers is how many servers must have been slow within slowServerTTL. One
	// or two that are slow by themselves are full all the time, but no reason to hold
	// back before the others.
	minSlowServers = 3
	slowServerTTL  = 5 * time.Second
	// maxLevels bounds the levels that are told apart: with many slots, one more or
	// less makes no difference that shows.
	maxLevels = 8
	// levelWeight is the weight of one answer in the mean of its level, once
	// minLevelSamples were seen; a level is not compared with fewer.
	levelWeight     = 1.0 / 16
	minLevelSamples = 8
	// probeWeight is that of an answer to a trial: they are few.
	probeWeight = 1.0 / 4
	// reductionFactor is the part of the running requests that is tried first. "Nearly full"
	// is beyond it on any server that was seen.
	reductionFactor = 0.67
	// confirmSamples is how many answers at the highest level must be known before
	// servers are called sound and are no longer held back.
	confirmSamples = 24
	// minImprovement is by how much more a level must get done to be preferred. Below it
	// the difference is within the spread of 16 answers.
	minImprovement = 1.08
	// maxRatio bounds one answer's part in the mean: one that took longer waited
	// for something else.
	maxRatio = 6.0
	// explorationInterval is how long less is not tried again if it has not got more done.
	explorationInterval = 10 * time.Second
	// minProbeInterval is how long after a move of the limit one more is let run, to see,
	// and maxProbeInterval the longest time between two such trials; it doubles with each.
	// A trial is one slow answer, and a proxy may own the gates of a few servers.
	minProbeInterval = 2 * time.Second
	maxProbeInterval = time.Minute
)

type (
	// SlowdownDetector notes how often answers are slow, of full servers and of others.
	SlowdownDetector struct {
		full, other slowRatio
		// lastSlow are the servers whose answers were slow when full, with the last time.
		lastSlow map[string]time.Time
	}

	slowRatio struct {
		ratio   float64
		samples int
	}

	// AdaptiveLimit learns how many requests the servers of a service should run at
	// once: the number at which most gets done, by how long the work takes for the
	// request that began as the first, second and so on.
	AdaptiveLimit struct {
		slots int
		// step is how many more running requests are the next level.
		step   int
		levels []level
		// current is the level up to which requests may run.
		current int
		// lastProbe is when the next level was last let run, pause the time until it is
		// again.
		lastProbe     time.Time
		probeInterval time.Duration
		// lastExploration is when less was last tried without knowing more of it.
		lastExploration time.Time
		// adoptedSamples is the evidence for the limit if another proxy has told it.
		adoptedSamples int
	}

	// level is the work of requests that began with so many running, as a part of
	// their target.
	level struct {
		ratio   float64
		samples int
	}

	// Limit is what a proxy has learned of a service: how many its servers should run
	// at once, and how many answers speak for that.
	Limit struct {
		// Slots are those of the servers that it is about.
		Slots   int `json:"slots"`
		Max     int `json:"most"`
		Samples int `json:"evidence"`
	}
)

// Observe takes in a server's answer. full is set if all its slots were in use;
// reckoned is how long it should have taken.
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

// Detected reports whether full servers seem to slow down.
func (s *SlowdownDetector) Detected(now time.Time) bool {
	maps.DeleteFunc(s.lastSlow, func(_ string, at time.Time) bool { return now.Sub(at) > slowServerTTL })
	return s.full.samples >= minResponses && s.full.ratio >= minSlowRatio && s.full.ratio-s.other.ratio >= minSlowExcess &&
		len(s.lastSlow) >= minSlowServers
}

// Reset forgets what was seen.
func (s *SlowdownDetector) Reset() { *s = SlowdownDetector{} }

// NewAdaptiveLimit begins to learn for servers with a number of slots.
func NewAdaptiveLimit(slots int) *AdaptiveLimit {
	step := max(1, slots/maxLevels)
	top := (slots + step - 1) / step
	return &AdaptiveLimit{slots: slots, step: step, current: top, levels: make([]level, top+1), probeInterval: minProbeInterval}
}

// Limit is how many may run at once: up to the next level while nothing is known of
// it, unless another proxy has told the limit.
func (c *AdaptiveLimit) Limit() int {
	if c.adoptedSamples == 0 && !c.AtMax() && c.isMeasured(c.current) && !c.isMeasured(c.current+1) {
		return c.limitAt(c.current + 1)
	}
	return c.limitAt(c.current)
}

func (c *AdaptiveLimit) limitAt(level int) int { return min(c.slots, level*c.step) }

// Learned is the limit with the evidence for it.
func (c *AdaptiveLimit) Learned() Limit {
	return Limit{Slots: c.slots, Max: c.limitAt(c.current), Samples: c.samples()}
}

// samples counts the answers that speak for the limit: those that began at the level
// above it, or at the highest if there is none.
func (c *AdaptiveLimit) samples() int {
	return max(c.adoptedSamples, c.levels[min(c.current+1, c.topLevel())].samples)
}

// Adopt takes over what another proxy has learned from more answers. Each gate sees
// a few answers a second; alone, each would take tens of seconds to learn.
func (c *AdaptiveLimit) Adopt(l Limit) {
	if l.Slots != c.slots || l.Max < 1 || l.Max > c.slots || l.Samples < minLevelSamples || l.Samples <= c.samples() {
		return
	}
	c.current, c.adoptedSamples = (l.Max+c.step-1)/c.step, l.Samples
}

func (c *AdaptiveLimit) topLevel() int { return len(c.levels) - 1 }

// AtMax reports whether the servers may use all their slots so far.
func (c *AdaptiveLimit) AtMax() bool { return c.current == c.topLevel() }

// ConfirmedAtMax reports whether the servers are known to get most done with all their slots.
func (c *AdaptiveLimit) ConfirmedAtMax() bool {
	return c.AtMax() && c.levels[c.current].samples >= confirmSamples && (c.current == 1 || c.isMeasured(c.reducedLevel()))
}

// NextLimit is the limit for the next request: now and then more, to learn whether the
// servers have become better.
func (c *AdaptiveLimit) NextLimit(now time.Time) int {
	if c.lastProbe.IsZero() {
		c.lastProbe = now
	}
	if c.AtMax() || now.Sub(c.lastProbe) < c.probeInterval {
		return c.Limit()
	}
	return c.limitAt(c.current + 1)
}

// RecordProbe notes that a request was let run beyond the limit.
func (c *AdaptiveLimit) RecordProbe(now time.Time) {
	c.lastProbe, c.probeInterval = now, min(2*c.probeInterval, maxProbeInterval)
}

// Observe takes in how long a request that began as the rank-th took, as a part of its
// target, and moves the limit to where most gets done.
func (c *AdaptiveLimit) Observe(now time.Time, rank int, ratio float64) {
	if rank < 1 || rank > c.slots {
		return
	}
	l := &c.levels[(rank+c.step-1)/c.step]
	l.samples++
	weight := max(levelWeight, 1/float64(l.samples))
	if rank > c.limitAt(c.current) {
		weight = max(weight, probeWeight)
	}
	l.ratio += (min(ratio, maxRatio) - l.ratio) * weight
	for other := range c.levels {
		if c.outperforms(other, c.current) {
			c.moveTo(other)
		}
	}
	if c.needsExploration() && now.Sub(c.lastExploration) > explorationInterval {
		c.lastExploration = now
		c.levels[c.reducedLevel()] = level{}
		c.moveTo(c.reducedLevel())
	}
}

// reducedLevel is the level that is tried if nothing is known of less than now. One level less
// would not do: beyond the point from which servers slow down, less gets done with it
// too.
func (c *AdaptiveLimit) reducedLevel() int { return max(1, int(reductionFactor*float64(c.current))) }

// needsExploration reports whether less must be tried to know more: servers that use
// all their slots may get more done with fewer, and where answers come late without
// a queue, what is known of less may be of a time when servers were full of what had
// been sent before.
func (c *AdaptiveLimit) needsExploration() bool {
	return c.current > 1 && c.isMeasured(c.current) && (c.AtMax() && !c.isMeasured(c.reducedLevel()) || c.levels[c.current].ratio > 1)
}

func (c *AdaptiveLimit) isMeasured(level int) bool { return c.levels[level].samples >= minLevelSamples }

func (c *AdaptiveLimit) moveTo(level int) {
	c.current, c.adoptedSamples, c.probeInterval = level, 0, minProbeInterval
}

// outperforms reports whether clearly more gets done at level a than at b.
func (c *AdaptiveLimit) outperforms(a, b int) bool {
	if a < 1 || a > c.topLevel() || !c.isMeasured(a) || !c.isMeasured(b) {
		return false
	}
	return c.throughput(a) > minImprovement*c.throughput(b)
}

// throughput is how much gets done at a level.
func (c *AdaptiveLimit) throughput(level int) float64 {
	return float64(c.limitAt(level)) / max(0.1, c.levels[level].ratio)
}
