package steering

import (
	"maps"
	"slices"
	"time"
)

const (
	// strandedAfter is how long a region must have been without proxies before
	// its callers count with other regions. A single proxy whose entry the store
	// takes away writes it again within half a second.
	strandedAfter = time.Second
	// returnedAfter is how long a region must have had proxies again. Callers
	// keep a look-up's answer for two seconds, some for three times as long.
	returnedAfter = 6 * time.Second
)

type (
	// stranding is whether a region's callers must ask other regions' proxies.
	stranding struct {
		// without is set while the region has no proxy for callers, since when
		// is known too.
		without bool
		since   time.Time
		// elsewhere is set while its callers count with the other regions.
		elsewhere bool
	}
)

// strand follows which regions have lost all their proxies, or have some again.
// Their callers ask the proxies of other regions. If these dealt objects out as
// before, their own servers would get what is meant for those of all regions and
// the others would idle. What moves does so at once: each second of waiting, and
// any move in steps, runs objects cold twice and leaves the servers overloaded.
func (k *Kernel) strand(now time.Time) {
	if now.Sub(k.config.Joined) < joinFor || now.Before(k.doubtUntil) || !k.on(MechanismStrandedRegions) {
		return
	}
	open := make(map[string]bool)
	for _, p := range k.proxies {
		open[p.Region] = open[p.Region] || !p.Leaving
	}
	open[k.config.Region] = true
	for _, region := range k.regions {
		s := k.stranded[region]
		if !s.heard(now, !open[region]) {
			continue
		}
		k.config.Observe(Event{Kind: EventRegionWithoutProxies, At: now, Region: region, CallersElsewhere: s.elsewhere})
		for _, g := range k.services {
			g.forgetHomes()
		}
	}
}

// IgnoreMissingProxiesUntil says that proxies which are no longer listed may be back by a
// moment: the store was away, and their entries ran out though they serve on.
func (k *Kernel) IgnoreMissingProxiesUntil(until time.Time) {
	k.record(Call{Method: callDoubtProxies, Until: until})
	k.doubtUntil = later(k.doubtUntil, until)
}

// heard takes in whether the region has no proxies now and reports whether its
// callers count elsewhere from now on, or no longer do.
func (s *stranding) heard(now time.Time, without bool) bool {
	if s.without != without || s.since.IsZero() {
		s.without, s.since = without, now
	}
	wait := returnedAfter
	if without {
		wait = strandedAfter
	}
	if s.elsewhere == without || now.Sub(s.since) < wait {
		return false
	}
	s.elsewhere = without
	return true
}

// demand tells each region's part of the callers of the regions allowed, by its
// failure domains. The callers of a region without proxies ask any proxy of the
// other regions, and so count there in equal parts.
func (k *Kernel) demand(allowed regionSet) map[string]float64 {
	demand := make(map[string]float64)
	for _, region := range k.config.RegionOf {
		if allowed.has(k.regionBit(region)) {
			demand[region]++
		}
	}
	elsewhere := 0.0
	var open []string
	for region := range demand {
		if k.stranded[region].elsewhere {
			elsewhere += demand[region]
			demand[region] = 0
		} else {
			open = append(open, region)
		}
	}
	for _, region := range open {
		demand[region] += elsewhere / float64(len(open))
	}
	return demand
}

// strandedRegions lists the regions whose callers count with others.
func (k *Kernel) strandedRegions() []string {
	return slices.DeleteFunc(slices.Clone(k.regions), func(region string) bool { return !k.stranded[region].elsewhere })
}

// regionsOf lists the regions of failure domains, in order.
func regionsOf(domains map[string]string) []string {
	return slices.Compact(slices.Sorted(maps.Values(domains)))
}
