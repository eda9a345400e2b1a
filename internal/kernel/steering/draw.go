package steering

import (
	"maps"
	"slices"
)

type (
	// regionDistribution holds the shares of the regions in the requests without an object from
	// callers of this region.
	regionDistribution struct {
		names []string
		// cumulative holds the cumulative sums of the shares.
		cumulative []float64
	}
)

// drawRegion draws the region for a request without an object, in the same proportions as objects
// are assigned. The server is then chosen by load, but the region is not: when it was, a burst of
// one region's callers moved a third of them to another region within two seconds, more than the
// operators permit to shift at once.
func (k *Kernel) drawRegion(req *ActiveRequest, svc *service) string {
	r := k.scopeOf(req)
	shares := svc.regionDraws[r]
	if shares == nil {
		shares = k.newRegionDistribution(req, svc, r)
		svc.regionDraws[r] = shares
	}
	if len(shares.names) == 0 {
		return k.config.Region
	}
	x := k.random.Float64() * shares.cumulative[len(shares.cumulative)-1]
	i, _ := slices.BinarySearch(shares.cumulative, x)
	return shares.names[min(i, len(shares.names)-1)]
}

func (k *Kernel) newRegionDistribution(req *ActiveRequest, svc *service, r placementScope) *regionDistribution {
	candidates, weights := k.regionWeights(req, svc, r)
	parts := make(map[string]float64)
	for _, s := range candidates {
		parts[s.region] += float64(weights[s.region] * s.Slots)
	}
	shares := &regionDistribution{}
	sum := 0.0
	for _, region := range slices.Sorted(maps.Keys(parts)) {
		if parts[region] > 0 {
			sum += parts[region]
			shares.names, shares.cumulative = append(shares.names, region), append(shares.cumulative, sum)
		}
	}
	return shares
}
