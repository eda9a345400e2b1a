package placing

import (
	"math"
	"slices"
)

const (
	// MaxLoadFactor bounds the load of a region's servers, relative to the mean load, before
	// objects of its callers are placed in other regions. A lower value sends requests to other
	// regions although there is capacity; with a higher one the region with the fewest servers
	// queues while others are idle when its callers' demand peaks.
	MaxLoadFactor = 1.15
	// weightScale converts fractions to integer weights.
	weightScale = 100000
)

type (
	// RegionCapacity describes a region's capacity and demand for a service.
	RegionCapacity struct {
		Region string
		// Slots is the number of slots of the service's servers in the region.
		Slots int
		// Demand is the region's share of the callers, in any unit.
		Demand float64
		// Pinned is the fraction of all requests that must run in the region, wherever their
		// callers are.
		Pinned float64
	}
)

// RegionWeights returns how many of the objects used by callers in the region from are placed in
// each region, as a weight per slot. Objects are placed in the callers' region as far as it has
// capacity. The rest goes to the regions with spare capacity, in proportion to it, up to maxLoad
// times the mean load. All proxies of a region get the same result from the same list.
func RegionWeights(regions []RegionCapacity, from string, maxLoad float64) map[string]int {
	weights := make(map[string]int)
	slots, demand, pinned := 0.0, 0.0, 0.0
	for _, r := range regions {
		slots += float64(r.Slots)
		demand += r.Demand
		pinned += r.Pinned
	}
	if slots == 0 || demand == 0 {
		return weights
	}
	unpinned := max(0, 1-pinned)
	limit := func(r RegionCapacity) float64 { return max(0, maxLoad*float64(r.Slots)/slots-r.Pinned) }
	spare, own := 0.0, 0.0
	for _, r := range regions {
		spare += max(0, limit(r)-unpinned*r.Demand/demand)
		if r.Region == from {
			own = unpinned * r.Demand / demand
		}
	}
	i := slices.IndexFunc(regions, func(r RegionCapacity) bool { return r.Region == from })
	if i < 0 || own == 0 {
		// The callers' region isn't listed or has no demand: use the regions' capacity alone.
		for _, r := range regions {
			weights[r.Region] = weightScale
		}
		return weights
	}
	local := min(own, limit(regions[i]))
	if spare == 0 {
		// No other region has spare capacity either.
		local = own
	}
	for _, r := range regions {
		fraction := 0.0
		if spareHere := limit(r) - unpinned*r.Demand/demand; spareHere > 0 {
			fraction = (own - local) * spareHere / spare
		}
		if r.Region == from {
			fraction = local
		}
		if r.Slots > 0 {
			weights[r.Region] = int(math.Round(weightScale * fraction / own / float64(r.Slots)))
		}
	}
	return weights
}

// SpareWeights returns how objects that move out of the region from are divided between the others,
// as a weight per slot: in proportion to their spare capacity, or to their slots if none has any.
func SpareWeights(regions []RegionCapacity, from string, maxLoad float64) map[string]int {
	weights := make(map[string]int)
	slots, demand, pinned := 0.0, 0.0, 0.0
	for _, r := range regions {
		slots, demand, pinned = slots+float64(r.Slots), demand+r.Demand, pinned+r.Pinned
	}
	spareAnywhere := false
	for _, r := range regions {
		if r.Region == from || r.Slots == 0 || demand == 0 {
			continue
		}
		spare := maxLoad*float64(r.Slots)/slots - r.Pinned - max(0, 1-pinned)*r.Demand/demand
		// Relative to all slots, so that the weights of large fleets don't round to zero.
		weights[r.Region] = max(0, int(math.Round(weightScale*spare*slots/float64(r.Slots))))
		spareAnywhere = spareAnywhere || weights[r.Region] > 0
	}
	for region := range weights {
		if !spareAnywhere {
			weights[region] = 1
		}
	}
	return weights
}
