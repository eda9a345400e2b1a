package steering

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumquay/gypsumquay/internal/kernel/placing"
)

const (
	// failoverIdle is the queue, as a part of the room for requests that can still
	// be answered in time, up to which a region takes objects of another one. It
	// is half of that from which requests are refused.
	failoverIdle = 0.25
)

// failover names the servers for an object whose home is out: for a part of these
// objects one in another region first. A failure domain is lost and its servers
// are registered for seconds more. If all their objects went to the servers left
// in the region, these would have twice their share and answers would come late,
// while other regions have room. What moves is what must move anyway; an object
// whose home is sound stays there.
func (k *Kernel) failover(now time.Time, f *Flight, g *service, homes []string) []string {
	if len(homes) == 0 || !k.on(MechanismFailover) {
		return homes
	}
	home := g.members[homes[0]]
	if home == nil || home.sound(now) || home.usable(now) && !home.word.Paused(now) || k.reachOf(f).near {
		// One that is out but due to be tried gets a request, to see; one that is
		// passed over for a moment is sound.
		return homes
	}
	if chance(f.Object) >= g.homeless(now, f, home.region) {
		return homes
	}
	for _, id := range k.homesWithout(f, g, home.region).Of(f.Object) {
		s := g.members[id]
		if p := g.pressure[s.region]; s.sound(now) && (p == nil || p.Level(now) <= failoverIdle) {
			return append([]string{id}, homes...)
		}
	}
	return homes
}

// homeless is the part of the objects with homes that are out in a region for
// which the region's other servers have no room.
func (g *service) homeless(now time.Time, f *Flight, region string) float64 {
	all, sound, own, ownSound := 0.0, 0.0, 0.0, 0.0
	for _, s := range g.servers {
		if !f.allowed.has(s.regionBit) {
			continue
		}
		slots := float64(s.Slots)
		all += slots
		if s.sound(now) {
			sound += slots
		}
		if s.region != region {
			continue
		}
		own += slots
		if s.sound(now) {
			ownSound += slots
		}
	}
	if own == ownSound || sound == 0 {
		return 0
	}
	kept := min(1, placing.RoomShare*(ownSound/sound)/(own/all))
	return (1 - kept) / (1 - ownSound/own)
}

// homesWithout deals all objects out over the servers outside a region.
func (k *Kernel) homesWithout(f *Flight, g *service, region string) *placing.Homes {
	key := reach{allowed: f.allowed, without: region}
	if h := g.homes[key]; h != nil {
		return h
	}
	var list []placing.Server
	for _, s := range g.servers {
		if f.allowed.has(s.regionBit) && s.region != region {
			list = append(list, placing.Server{ID: s.id, Weight: s.Slots, Class: s.class()})
		}
	}
	g.homes[key] = placing.NewHomes(list, g.ranking)
	return g.homes[key]
}

// chance turns an object into a number from 0 to 1, the same at all proxies.
func chance(object string) float64 {
	return float64(xxhash.Sum64String(object)>>11) / (1 << 53)
}
