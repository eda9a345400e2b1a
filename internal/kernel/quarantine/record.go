package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxCrashes bounds the ends that are kept for each work, protectedCrashes of them the first.
	maxCrashes       = 8
	protectedCrashes = DefaultThreshold
	// maxPropagationDelay is how long news of an end may be under way. Ends later than that after a
	// work was condemned are those of trials.
	maxPropagationDelay = 4 * time.Second
)

var (
	// quarantinePeriods come one after the other, each after a trial that has ended a server. Sound
	// work that was condemned in a storm of ends runs again within seconds, or all who ask
	// for what is asked for most would be refused by all proxies, and nothing could clear
	// it. Work that ends servers gets three trials within a day, as many as the operators
	// allow.
	quarantinePeriods = []quarantinePeriod{{2 * time.Second, 4 * time.Second}, {5 * time.Minute, 15 * time.Second}, {time.Hour, time.Minute}, {24 * time.Hour, time.Minute}}
)

type (
	// record is what is known of a work. Ends are only added, and Cleared only set,
	// so that records of different proxies merge to the same in any order.
	record struct {
		crashes []crash
		// changedAt is when an end was added or cleared, here.
		changedAt time.Time
		// succeeded is set if the work is known to have run well, before or after.
		succeeded bool
		// announced is what was last told of the work: how many ends count.
		announced int
	}

	// crash is a server's end with the work there.
	crash struct {
		server InstanceID
		at     time.Time
		// cleared is set once the work has run well after it.
		cleared bool
	}

	// quarantinePeriod is how long a condemned work is refused before a trial at one proxy, and the
	// time from there to the next proxy's: until most have heard what became of it.
	quarantinePeriod struct {
		duration, rankDelay time.Duration
	}
)

// insert adds an end and reports whether it is kept. Beyond those that are kept a cleared one
// goes, else the oldest after the first, by which the work was condemned. If that is the
// one added, nothing has changed: peers that still have it would else bring it back for
// ever.
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

// uncleared counts the ends since the work last ran well.
func (r *record) uncleared() (n int) {
	for _, c := range r.crashes {
		if !c.cleared {
			n++
		}
	}
	return n
}

// hasUncleared reports whether an end counts against the work.
func (r *record) hasUncleared(server InstanceID) bool {
	return slices.ContainsFunc(r.crashes, func(c crash) bool { return c.server == server && !c.cleared })
}

// unclearedTimes are those of the ends that count, in order.
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

// period is the present term of a condemned work, from its last end on. It follows from the
// ends alone, so that all proxies that know the same ends reckon with the same.
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
