package steering

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumquay/gypsumquay/internal/kernel/placing"
)

const (
	// failoverMaxPressure is the queue, as a part of the room for requests that can still
	// be answered in time, up to which a region takes objects of another one. It
	// is half of that from which requests are refused.
	failoverMaxPressure = 0.25
)

// failover names the servers for an object whose home is out or takes less than usual: for a part of these
// objects one in another region first. A failure domain is lost and its servers
// are registered for seconds more. If all their objects went to the servers left
// in the region, these would have twice their share and answers would come late,
// while other regions have room. What moves is what must move anyway; an object
// whose home is sound stays there.
func (k *Kernel) failover(now time.Time, req *ActiveRequest, svc *service, homes []string) []string {
	if len(homes) == 0 || !k.isEnabled(MechanismFailover) {
		return homes
	}
	home := svc.registered[homes[0]]
	if home == nil {
		return homes
	}
	switch fit := k.availableShare(now, svc, home); {
	case fit == 1, home.ejections > 0 && home.usable(now) && !home.backpressure.Paused(now):
		// One that is out but due to be tried gets a request, to see; one that is
		// passed over for a moment is sound.
		return homes
	case fit > 0 && objectFraction(req.Object+"@"+home.id) < fit:
		return homes
	case fit > 0:
		// The same objects leave a limited home at all proxies, so that they are warm
		// where they go.
		homes = append(slices.Clone(homes[1:]), home.id)
	}
	if k.scopeOf(req).ownRegionOnly || objectFraction(req.Object) >= k.displacedShare(now, req, svc, home.region) {
		return homes
	}
	for _, id := range k.placementOutside(req, svc, home.region).Of(req.Object) {
		s := svc.registered[id]
		if p := svc.queuePressure[s.region]; s.isHealthy(now) && (p == nil || p.Level(now) <= failoverMaxPressure) {
			return append([]string{id}, homes...)
		}
	}
	return homes
}

// displacedShare is the part of the objects with homes that are out in a region for
// which the region's other servers have no room.
func (k *Kernel) displacedShare(now time.Time, req *ActiveRequest, svc *service, region string) float64 {
	all, sound, own, ownSound := 0.0, 0.0, 0.0, 0.0
	for _, s := range svc.eligible {
		if !req.allowedRegions.has(s.regionBit) {
			continue
		}
		slots := float64(s.Slots)
		all += slots
		fit := k.availableShare(now, svc, s) * slots
		sound += fit

		if s.region != region {
			continue
		}
		own += slots
		ownSound += fit
	}
	if own == ownSound || sound == 0 {
		return 0
	}
	kept := min(1, placing.RoomShare*(ownSound/sound)/(own/all))
	return (1 - kept) / (1 - ownSound/own)
}

// availableShare is the part of its usual requests that a server takes now: none while it is out or
// pauses, what its limit leaves if it names one.
func (k *Kernel) availableShare(now time.Time, svc *service, s *server) float64 {
	if !s.isHealthy(now) {
		return 0
	}
	limit := s.backpressure.Limit(now)
	if !limit.Named {
		return 1
	}
	// This proxy takes the others to see as much as it does.
	usual := svc.retries.Rate(now) * float64(len(k.limitSharers)) * float64(s.Slots) / float64(max(1, svc.totalSlots))
	if limit.PerSecond >= usual {
		return 1
	}
	return limit.PerSecond / usual
}

// placementOutside deals all objects out over the servers outside a region.
func (k *Kernel) placementOutside(req *ActiveRequest, svc *service, region string) *placing.Homes {
	key := placementScope{regions: req.allowedRegions, excludedRegion: region}
	if h := svc.placements[key]; h != nil {
		return h
	}
	var list []placing.Server
	for _, s := range svc.eligible {
		if req.allowedRegions.has(s.regionBit) && s.region != region {
			list = append(list, placing.Server{ID: s.id, Weight: s.Slots, Class: s.class()})
		}
	}
	svc.placements[key] = placing.NewHomes(list, svc.ranking)
	return svc.placements[key]
}

// objectFraction turns an object into a number from 0 to 1, the same at all proxies.
func objectFraction(object string) float64 {
	return float64(xxhash.Sum64String(object)>>11) / (1 << 53)
}
