package admission

import (
	"maps"
	"time"
)

const (
	// slowBy is how many times the work without company an answer must take to count
	// as slow. On servers that do not slow down, one in ten does, full or not; on
	// those that take three times as long once two of three slots are used, half and
	// more of the answers of full ones do.
	slowBy = 1.8
	// suspectShare is the share of slow answers of full servers from which their
	// service is suspected, between those two.
	suspectShare = 0.6
	// suspectAnswers is how many answers must have been seen for it. One in ten comes
	// to five of eight by chance once in 2,000 times; what follows then is a few
	// seconds in which gates measure.
	suspectAnswers = 8
	// suspectMore is by how much the share of slow answers must be larger for full
	// servers than for others. Objects that servers have forgotten make answers slow
	// whether they are full or not.
	suspectMore = 0.2
	// suspectServers is how many servers must have been slow within suspectSpan. One
	// or two that are slow by themselves are full all the time, but no reason to hold
	// back before the others.
	suspectServers = 3
	suspectSpan    = 5 * time.Second
	// stepsMost bounds the levels that are told apart: with many slots, one more or
	// less makes no difference that shows.
	stepsMost = 8
	// levelWeight is the weight of one answer in the mean of its level, once
	// levelAnswers were seen; a level is not compared with fewer.
	levelWeight  = 1.0 / 16
	levelAnswers = 8
	// trialWeight is that of an answer to a trial: they are few.
	trialWeight = 1.0 / 4
	// lessShare is the part of the running requests that is tried first. "Nearly full"
	// is beyond it on any server that was seen.
	lessShare = 0.67
	// soundAnswers is how many answers at the highest level must be known before
	// servers are called sound and are no longer held back.
	soundAnswers = 24
	// betterBy is by how much more a level must get done to be preferred. Below it
	// the difference is within the spread of 16 answers.
	betterBy = 1.08
	// ratioMost bounds one answer's part in the mean: one that took longer waited
	// for something else.
	ratioMost = 6.0
	// exploreEvery is how long less is not tried again if it has not got more done.
	exploreEvery = 10 * time.Second
	// trialFirst is how long after a move of the limit one more is let run, to see,
	// and trialMost the longest time between two such trials; it doubles with each.
	// A trial is one slow answer, and a proxy may own the gates of a few servers.
	trialFirst = 2 * time.Second
	trialMost  = time.Minute
)

type (
	// SlowdownDetector notes how often answers are slow, of full servers and of others.
	SlowdownDetector struct {
		full, other share
		// slow are the servers whose answers were slow when full, with the last time.
		slow map[string]time.Time
	}

	share struct {
		slow float64
		seen int
	}

	// AdaptiveLimit learns how many requests the servers of a service should run at
	// once: the number at which most gets done, by how long the work takes for the
	// request that began as the first, second and so on.
	AdaptiveLimit struct {
		slots int
		// step is how many more running requests are the next level.
		step   int
		levels []level
		// at is the level up to which requests may run.
		at int
		// tried is when the next level was last let run, pause the time until it is
		// again.
		tried time.Time
		pause time.Duration
		// explored is when less was last tried without knowing more of it.
		explored time.Time
		// told is the evidence for the limit if another proxy has told it.
		told int
	}

	// level is the work of requests that began with so many running, as a part of
	// their target.
	level struct {
		ratio float64
		seen  int
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
func (s *SlowdownDetector) Observe(now time.Time, server string, full bool, took, reckoned time.Duration) {
	slow := float64(took) > slowBy*float64(reckoned)
	if !full {
		s.other.heard(slow)
		return
	}
	s.full.heard(slow)
	if slow {
		if s.slow == nil {
			s.slow = make(map[string]time.Time)
		}
		s.slow[server] = now
	}
}

func (s *share) heard(slow bool) {
	one := 0.0
	if slow {
		one = 1
	}
	s.seen++
	s.slow += (one - s.slow) / float64(min(s.seen, suspectAnswers))
}

// Detected reports whether full servers seem to slow down.
func (s *SlowdownDetector) Detected(now time.Time) bool {
	maps.DeleteFunc(s.slow, func(_ string, at time.Time) bool { return now.Sub(at) > suspectSpan })
	return s.full.seen >= suspectAnswers && s.full.slow >= suspectShare && s.full.slow-s.other.slow >= suspectMore &&
		len(s.slow) >= suspectServers
}

// Reset forgets what was seen.
func (s *SlowdownDetector) Reset() { *s = SlowdownDetector{} }

// NewAdaptiveLimit begins to learn for servers with a number of slots.
func NewAdaptiveLimit(slots int) *AdaptiveLimit {
	step := max(1, slots/stepsMost)
	top := (slots + step - 1) / step
	return &AdaptiveLimit{slots: slots, step: step, at: top, levels: make([]level, top+1), pause: trialFirst}
}

// Limit is how many may run at once: up to the next level while nothing is known of
// it, unless another proxy has told the limit.
func (c *AdaptiveLimit) Limit() int {
	if c.told == 0 && !c.AtMax() && c.known(c.at) && !c.known(c.at+1) {
		return c.limitAt(c.at + 1)
	}
	return c.limitAt(c.at)
}

func (c *AdaptiveLimit) limitAt(level int) int { return min(c.slots, level*c.step) }

// Learned is the limit with the evidence for it.
func (c *AdaptiveLimit) Learned() Limit {
	return Limit{Slots: c.slots, Max: c.limitAt(c.at), Samples: c.evidence()}
}

// evidence counts the answers that speak for the limit: those that began at the level
// above it, or at the highest if there is none.
func (c *AdaptiveLimit) evidence() int { return max(c.told, c.levels[min(c.at+1, c.top())].seen) }

// Adopt takes over what another proxy has learned from more answers. Each gate sees
// a few answers a second; alone, each would take tens of seconds to learn.
func (c *AdaptiveLimit) Adopt(l Limit) {
	if l.Slots != c.slots || l.Max < 1 || l.Max > c.slots || l.Samples < levelAnswers || l.Samples <= c.evidence() {
		return
	}
	c.at, c.told = (l.Max+c.step-1)/c.step, l.Samples
}

func (c *AdaptiveLimit) top() int { return len(c.levels) - 1 }

// AtMax reports whether the servers may use all their slots so far.
func (c *AdaptiveLimit) AtMax() bool { return c.at == c.top() }

// ConfirmedAtMax reports whether the servers are known to get most done with all their slots.
func (c *AdaptiveLimit) ConfirmedAtMax() bool {
	return c.AtMax() && c.levels[c.at].seen >= soundAnswers && (c.at == 1 || c.known(c.less()))
}

// NextLimit is the limit for the next request: now and then more, to learn whether the
// servers have become better.
func (c *AdaptiveLimit) NextLimit(now time.Time) int {
	if c.tried.IsZero() {
		c.tried = now
	}
	if c.AtMax() || now.Sub(c.tried) < c.pause {
		return c.Limit()
	}
	return c.limitAt(c.at + 1)
}

// RecordProbe notes that a request was let run beyond the limit.
func (c *AdaptiveLimit) RecordProbe(now time.Time) {
	c.tried, c.pause = now, min(2*c.pause, trialMost)
}

// Observe takes in how long a request that began as the rank-th took, as a part of its
// target, and moves the limit to where most gets done.
func (c *AdaptiveLimit) Observe(now time.Time, rank int, ratio float64) {
	if rank < 1 || rank > c.slots {
		return
	}
	l := &c.levels[(rank+c.step-1)/c.step]
	l.seen++
	weight := max(levelWeight, 1/float64(l.seen))
	if rank > c.limitAt(c.at) {
		weight = max(weight, trialWeight)
	}
	l.ratio += (min(ratio, ratioMost) - l.ratio) * weight
	for other := range c.levels {
		if c.beats(other, c.at) {
			c.move(other)
		}
	}
	if c.unsure() && now.Sub(c.explored) > exploreEvery {
		c.explored = now
		c.levels[c.less()] = level{}
		c.move(c.less())
	}
}

// less is the level that is tried if nothing is known of less than now. One level less
// would not do: beyond the point from which servers slow down, less gets done with it
// too.
func (c *AdaptiveLimit) less() int { return max(1, int(lessShare*float64(c.at))) }

// unsure reports whether less must be tried to know more: servers that use
// all their slots may get more done with fewer, and where answers come late without
// a queue, what is known of less may be of a time when servers were full of what had
// been sent before.
func (c *AdaptiveLimit) unsure() bool {
	return c.at > 1 && c.known(c.at) && (c.AtMax() && !c.known(c.less()) || c.levels[c.at].ratio > 1)
}

func (c *AdaptiveLimit) known(level int) bool { return c.levels[level].seen >= levelAnswers }

func (c *AdaptiveLimit) move(to int) { c.at, c.told, c.pause = to, 0, trialFirst }

// beats reports whether clearly more gets done at level a than at b.
func (c *AdaptiveLimit) beats(a, b int) bool {
	if a < 1 || a > c.top() || !c.known(a) || !c.known(b) {
		return false
	}
	return c.done(a) > betterBy*c.done(b)
}

// done is how much gets done at a level.
func (c *AdaptiveLimit) done(level int) float64 {
	return float64(c.limitAt(level)) / max(0.1, c.levels[level].ratio)
}
