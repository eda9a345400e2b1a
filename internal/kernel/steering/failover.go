package steering

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumquay/gypsumquay/internal/kernel/placing"
)

const (
	// failoverMaxPressure is the queue pressure up to which a region takes over objects of another
	// region. It is half of the pressure from which requests are shed.
	failoverMaxPressure = 0.25
)

// failover returns the servers for an object, with another order if its home is ejected or takes
// less than usual: for part of these objects, a server in another region comes first. Servers of a
// lost failure domain stay registered for some seconds. If all their objects went to the remaining
// servers of the region, these would get twice their share and respond late while other regions
// have free capacity. Only objects that must move anyway are moved; those with a healthy home stay
// there.
func (k *Kernel) failover(now time.Time, req *ActiveRequest, svc *service, homes []string) []string {
	if len(homes) == 0 || !k.isEnabled(MechanismFailover) {
		return homes
	}
	home := svc.registered[homes[0]]
	if home == nil {
		return homes
	}
	switch available := k.availableShare(now, svc, home); {
	case available == 1, home.ejections > 0 && home.usable(now) && !home.backpressure.Paused(now):
		// An ejected server that is due for a trial gets a request to test it. A server that is
		// only skipped for a moment is healthy.
		return homes
	case available > 0 && objectFraction(req.Object+"@"+home.id) < available:
		return homes
	case available > 0:
		// All proxies move the same objects away from a rate-limited home, so that they are warm at
		// their new servers.
		homes = append(slices.Clone(homes[1:]), home.id)
	}
	if k.scopeOf(req).ownRegionOnly || objectFraction(req.Object) >= k.displacedShare(now, req, svc, home.region) {
		return homes
	}
	for _, id := range k.placementOutside(req, svc, home.region).ServersFor(req.objectKey()) {
		s := svc.registered[id]
		if p := svc.queuePressure[s.region]; s.isHealthy(now) && (p == nil || p.Level(now) <= failoverMaxPressure) {
			return append([]string{id}, homes...)
		}
	}
	return homes
}

// displacedShare returns, among the objects whose homes in a region are unavailable, the share for
// which the other servers of the region have no room.
func (k *Kernel) displacedShare(now time.Time, req *ActiveRequest, svc *service, region string) float64 {
	total, totalAvailable, regional, regionalAvailable := 0.0, 0.0, 0.0, 0.0
	for _, s := range svc.eligible {
		if !req.allowedRegions.has(s.regionBit) {
			continue
		}
		slots := float64(s.Slots)
		total += slots
		available := k.availableShare(now, svc, s) * slots
		totalAvailable += available

		if s.region != region {
			continue
		}
		regional += slots
		regionalAvailable += available
	}
	if regional == regionalAvailable || totalAvailable == 0 {
		return 0
	}
	kept := min(1, placing.MaxLoadFactor*(regionalAvailable/totalAvailable)/(regional/total))
	return (1 - kept) / (1 - regionalAvailable/regional)
}

// availableShare returns the share of its usual requests that a server takes now: zero while it is
// ejected or paused, otherwise what its announced limit allows.
func (k *Kernel) availableShare(now time.Time, svc *service, s *server) float64 {
	if !s.isHealthy(now) {
		return 0
	}
	limit := s.backpressure.Limit(now)
	if !limit.Set {
		return 1
	}
	// The other proxies are assumed to have the same request rate as this one.
	usual := svc.retries.RequestRate(now) * float64(len(k.limitSharers)) * float64(s.Slots) / float64(max(1, svc.totalSlots))
	if limit.PerSecond >= usual {
		return 1
	}
	return limit.PerSecond / usual
}

// placementOutside assigns all objects to the servers outside a region.
func (k *Kernel) placementOutside(req *ActiveRequest, svc *service, region string) *placing.Placement {
	key := placementScope{regions: req.allowedRegions, excludedRegion: region}
	if placement := svc.placements[key]; placement != nil {
		return placement
	}
	var list []placing.Server
	for _, s := range svc.eligible {
		if req.allowedRegions.has(s.regionBit) && s.region != region {
			list = append(list, placing.Server{ID: s.id, Weight: s.Slots, Class: s.class})
		}
	}
	svc.placements[key] = placing.NewPlacement(list, svc.ranking, k.routeGroups[svc.name])
	return svc.placements[key]
}

// objectFraction hashes an object to a number from 0 to 1 that is the same at all proxies.
func objectFraction(object string) float64 {
	return float64(xxhash.Sum64String(object)>>11) / (1 << 53)
}
