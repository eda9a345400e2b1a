package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxCrashes bounds the crashes kept for each fingerprint. The protectedCrashes oldest
	// uncleared ones are never dropped.
	maxCrashes       = 8
	protectedCrashes = DefaultThreshold
	// maxPropagationDelay is the longest time that a report of a crash takes to reach other
	// proxies. Crashes later than that after a fingerprint was quarantined were caused by trials.
	maxPropagationDelay = 4 * time.Second
)

var (
	// quarantinePeriods are applied in order, the next one after each trial that crashed a server.
	// The first is short: a harmless request that was quarantined in a burst of crashes may run
	// again within seconds. Otherwise all proxies would reject the most frequent requests and
	// nothing could clear them. A request that does crash servers gets three trials within a day,
	// as many crashes as the operators allow.
	quarantinePeriods = []quarantinePeriod{{2 * time.Second, 4 * time.Second}, {5 * time.Minute, 15 * time.Second}, {time.Hour, time.Minute}, {24 * time.Hour, time.Minute}}
)

type (
	// record is what is known about a fingerprint. Crashes are only added and cleared only set, so
	// that the records of different proxies merge to the same result in any order.
	record struct {
		crashes []crash
		// changedAt is when a crash was last added or cleared at this proxy.
		changedAt time.Time
		// succeeded is set if the fingerprint is known to have succeeded, before or after the
		// crashes.
		succeeded bool
		// announced is the number of attributed crashes at the last call of emitEvents.
		announced int
	}

	// crash is a server crash at which the fingerprint was in flight.
	crash struct {
		server InstanceID
		at     time.Time
		// cleared is set once the fingerprint has succeeded after the crash.
		cleared bool
	}

	// quarantinePeriod is how long a fingerprint is rejected before the first proxy may try it, and
	// the delay from the trial of one proxy to that of the next, in which most proxies learn its
	// result.
	quarantinePeriod struct {
		duration, rankDelay time.Duration
	}
)

// insert adds a crash and reports whether it is kept. If there are too many crashes, a cleared one
// is dropped, or else the oldest one after those by which the fingerprint was quarantined. If the
// added crash itself is dropped, nothing has changed: otherwise peers that still have it would send
// it back and forth forever.
func (r *record) insert(c crash) bool {
	r.crashes = append(r.crashes, c)
	if len(r.crashes) <= maxCrashes {
		return true
	}
	slices.SortFunc(r.crashes, func(a, b crash) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.server, b.server)) })
	index := slices.IndexFunc(r.crashes, func(c crash) bool { return c.cleared })
	if index < 0 {
		index = protectedCrashes
	}
	dropped := r.crashes[index]
	r.crashes = slices.Delete(r.crashes, index, index+1)
	return dropped.server != c.server
}

// uncleared counts the crashes since the fingerprint last succeeded.
func (r *record) uncleared() (n int) {
	for _, c := range r.crashes {
		if !c.cleared {
			n++
		}
	}
	return n
}

// hasUncleared reports whether the crash of a server counts against the fingerprint.
func (r *record) hasUncleared(server InstanceID) bool {
	return slices.ContainsFunc(r.crashes, func(c crash) bool { return c.server == server && !c.cleared })
}

// unclearedTimes returns the times of the uncleared crashes in order.
func (r *record) unclearedTimes() []time.Time {
	var times []time.Time
	for _, c := range r.crashes {
		if !c.cleared {
			times = append(times, c.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// period returns the current quarantine period and the crash from which it counts, the last one. It
// depends on the crashes alone, so proxies that know the same crashes use the same period.
func (r *record) period(threshold int) (lastCrash time.Time, period quarantinePeriod) {
	times := r.unclearedTimes()
	quarantinedAt := times[min(threshold, len(times))-1]
	trials := 0
	for _, at := range times {
		if at.Sub(quarantinedAt) > maxPropagationDelay {
			trials++
		}
	}
	return times[len(times)-1], quarantinePeriods[min(trials, len(quarantinePeriods)-1)]
}
