package steering

import (
	"maps"
	"slices"
)

type (
	// regionDistribution are the parts that regions have in the requests of this region's
	// callers that name no object.
	regionDistribution struct {
		names []string
		// cumulative sums the parts up to each region.
		cumulative []float64
	}
)

// drawRegion draws the region in which a request without an object should run, by
// the same parts as objects are dealt out. Its server is chosen by load, but not
// its region: when callers of one region came in a burst, a third of them ran in
// another within two seconds, more than operators allow to shift at once.
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
