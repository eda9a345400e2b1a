package placing

import (
	"math"
	"slices"
)

const (
	// MaxLoadFactor is how much more than the mean load a region's servers may be
	// given before objects of its callers live elsewhere. At less, objects
	// travel though there is room; at more, the region with the fewest
	// servers queues while others idle when its callers' wave comes.
	MaxLoadFactor = 1.15
	// weightScale turns shares into whole weights.
	weightScale = 100000
)

type (
	// RegionCapacity is a region's part in a service.
	RegionCapacity struct {
		Region string
		// Slots of the service's servers there.
		Slots int
		// Demand is the region's share of the callers, in any unit.
		Demand float64
		// Pinned is the part of all requests that must run there, wherever their callers
		// are.
		Pinned float64
	}
)

// RegionWeights says how many of a region's objects live in each region, as a weight
// for one slot there. Objects live where their callers are as far as there is
// room; the rest goes to the regions with room to spare, by how much they
// have, up to a share of the mean load. All proxies of a region come to the same
// answer from the same list.
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
		// Callers of a region that is not listed: by room alone.
		for _, r := range regions {
			weights[r.Region] = weightScale
		}
		return weights
	}
	local := min(own, limit(regions[i]))
	if spare == 0 {
		// No other region has room either.
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
