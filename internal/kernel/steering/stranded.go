package steering

import (
	"maps"
	"slices"
	"time"
)

const (
	// regionLostAfter is how long a region must have been without proxies before
	// its callers count with other regions. A single proxy whose entry the store
	// takes away writes it again within half a second.
	regionLostAfter = time.Second
	// regionBackAfter is how long a region must have had proxies again. Callers
	// keep a look-up's answer for two seconds, some for three times as long.
	regionBackAfter = 6 * time.Second
)

type (
	// regionState is whether a region's callers must ask other regions' proxies.
	regionState struct {
		// noProxies is set while the region has no proxy for callers, since when
		// is known too.
		noProxies bool
		since     time.Time
		// redirected is set while its callers count with the other regions.
		redirected bool
	}
)

// updateRegionStates follows which regions have lost all their proxies, or have some again.
// Their callers ask the proxies of other regions. If these dealt objects out as
// before, their own servers would get what is meant for those of all regions and
// the others would idle. What moves does so at once: each second of waiting, and
// any move in steps, runs objects cold twice and leaves the servers overloaded.
func (k *Kernel) updateRegionStates(now time.Time) {
	if now.Sub(k.config.Joined) < startupGrace || now.Before(k.ignoreMissingUntil) || !k.isEnabled(MechanismStrandedRegions) {
		return
	}
	open := make(map[string]bool)
	for _, p := range k.proxies {
		open[p.Region] = open[p.Region] || !p.Leaving
	}
	open[k.config.Region] = true
	for _, region := range k.regions {
		s := k.regionStates[region]
		if !s.update(now, !open[region]) {
			continue
		}
		k.config.Observe(Event{Kind: EventRegionWithoutProxies, At: now, Region: region, CallersElsewhere: s.redirected})
		for _, svc := range k.services {
			svc.invalidatePlacements()
		}
	}
}

// IgnoreMissingProxiesUntil says that proxies which are no longer listed may be back by a
// moment: the store was away, and their entries ran out though they serve on.
func (k *Kernel) IgnoreMissingProxiesUntil(until time.Time) {
	k.record(Call{Method: callIgnoreMissingProxies, Until: until})
	k.ignoreMissingUntil = laterOf(k.ignoreMissingUntil, until)
}

// update takes in whether the region has no proxies now and reports whether its
// callers count elsewhere from now on, or no longer do.
func (s *regionState) update(now time.Time, without bool) bool {
	if s.noProxies != without || s.since.IsZero() {
		s.noProxies, s.since = without, now
	}
	wait := regionBackAfter
	if without {
		wait = regionLostAfter
	}
	if s.redirected == without || now.Sub(s.since) < wait {
		return false
	}
	s.redirected = without
	return true
}

// regionDemand tells each region's part of the callers of the regions allowed, by its
// failure domains. The callers of a region without proxies ask any proxy of the
// other regions, and so count there in equal parts.
func (k *Kernel) regionDemand(allowed regionSet) map[string]float64 {
	demand := make(map[string]float64)
	for _, region := range k.config.RegionOf {
		if allowed.has(k.regionBit(region)) {
			demand[region]++
		}
	}
	elsewhere := 0.0
	var open []string
	for region := range demand {
		if k.regionStates[region].redirected {
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

// regionsWithoutProxies lists the regions whose callers count with others.
func (k *Kernel) regionsWithoutProxies() []string {
	return slices.DeleteFunc(slices.Clone(k.regions), func(region string) bool { return !k.regionStates[region].redirected })
}

// regionsOf lists the regions of failure domains, in order.
func regionsOf(domains map[string]string) []string {
	return slices.Compact(slices.Sorted(maps.Values(domains)))
}
