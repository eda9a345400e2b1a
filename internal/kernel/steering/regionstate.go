package steering

import (
	"maps"
	"slices"
	"time"
)

const (
	// regionLostAfter is how long a region must have been without proxies before its callers are
	// counted in other regions. A single proxy whose entry the store removes writes it again within
	// half a second.
	regionLostAfter = time.Second
	// regionBackAfter is how long a region must have had proxies again before its callers are
	// counted there. Callers keep the result of a lookup for two seconds, some for three times as
	// long.
	regionBackAfter = 6 * time.Second
)

type (
	// regionState records whether the callers of a region have to use proxies of other regions.
	regionState struct {
		// noProxies is set while the region has no proxy for callers. since is the time of its last
		// change.
		noProxies bool
		since     time.Time
		// redirected is set while the callers of the region are counted in other regions.
		redirected bool
	}
)

// updateRegionStates updates which regions have no proxies. Callers of such a region use the
// proxies of other regions. If these proxies assigned objects as before, the servers of their own
// regions would get the requests meant for all regions while the others are idle. The change takes
// effect at once: each second of delay, and any gradual change, runs objects cold twice and
// overloads the servers.
func (k *Kernel) updateRegionStates(now time.Time) {
	if now.Sub(k.config.Joined) < startupGrace || now.Before(k.ignoreMissingUntil) || !k.isEnabled(MechanismStrandedRegions) {
		return
	}
	hasProxies := make(map[string]bool)
	for _, p := range k.proxies {
		hasProxies[p.Region] = hasProxies[p.Region] || !p.Leaving
	}
	hasProxies[k.config.Region] = true
	for _, region := range k.regions {
		s := k.regionStates[region]
		if !s.update(now, !hasProxies[region]) {
			continue
		}
		k.config.Observe(Event{Kind: EventRegionWithoutProxies, At: now, Region: region, CallersElsewhere: s.redirected})
		for _, svc := range k.services {
			svc.invalidatePlacements()
		}
	}
}

// IgnoreMissingProxiesUntil sets until when proxies missing from the list count as possibly alive:
// the store was unavailable, and their entries expired although they continue to serve.
func (k *Kernel) IgnoreMissingProxiesUntil(until time.Time) {
	k.record(Call{Method: callIgnoreMissingProxies, Until: until})
	k.ignoreMissingUntil = laterOf(k.ignoreMissingUntil, until)
}

// update records whether the region has no proxies now and reports whether redirected changed.
func (s *regionState) update(now time.Time, noProxies bool) bool {
	if s.noProxies != noProxies || s.since.IsZero() {
		s.noProxies, s.since = noProxies, now
	}
	wait := regionBackAfter
	if noProxies {
		wait = regionLostAfter
	}
	if s.redirected == noProxies || now.Sub(s.since) < wait {
		return false
	}
	s.redirected = noProxies
	return true
}

// regionDemand returns the demand of each allowed region, measured by its number of failure
// domains. Callers of a region without proxies use any proxy of the other regions, so their demand
// is divided equally among those.
func (k *Kernel) regionDemand(allowed regionSet) map[string]float64 {
	demand := make(map[string]float64)
	for _, region := range k.config.RegionOf {
		if allowed.has(k.regionBit(region)) {
			demand[region]++
		}
	}
	redirected := 0.0
	var served []string
	for region := range demand {
		if k.regionStates[region].redirected {
			redirected += demand[region]
			demand[region] = 0
		} else {
			served = append(served, region)
		}
	}
	for _, region := range served {
		demand[region] += redirected / float64(len(served))
	}
	return demand
}

// regionsWithoutProxies lists the regions whose callers are counted in other regions.
func (k *Kernel) regionsWithoutProxies() []string {
	return slices.DeleteFunc(slices.Clone(k.regions), func(region string) bool { return !k.regionStates[region].redirected })
}

// regionsOf lists the regions of the failure domains in order.
func regionsOf(domains map[string]string) []string {
	return slices.Compact(slices.Sorted(maps.Values(domains)))
}
