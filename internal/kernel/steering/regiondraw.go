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
	scope := k.scopeOf(req)
	distribution := svc.regionDraws[scope]
	if distribution == nil {
		distribution = k.newRegionDistribution(req, svc, scope)
		svc.regionDraws[scope] = distribution
	}
	if len(distribution.names) == 0 {
		return k.config.Region
	}
	x := k.random.Float64() * distribution.cumulative[len(distribution.cumulative)-1]
	i, _ := slices.BinarySearch(distribution.cumulative, x)
	return distribution.names[min(i, len(distribution.names)-1)]
}

func (k *Kernel) newRegionDistribution(req *ActiveRequest, svc *service, scope placementScope) *regionDistribution {
	candidates, weights := k.regionWeights(req, svc, scope)
	weightByRegion := make(map[string]float64)
	for _, s := range candidates {
		weightByRegion[s.region] += float64(weights[s.region] * s.Slots)
	}
	if scope.route != "" {
		k.applyLocalShare(req, candidates, weightByRegion)
	}
	distribution := &regionDistribution{}
	sum := 0.0
	for _, region := range slices.Sorted(maps.Keys(weightByRegion)) {
		if weightByRegion[region] > 0 {
			sum += weightByRegion[region]
			distribution.names, distribution.cumulative = append(distribution.names, region), append(distribution.cumulative, sum)
		}
	}
	return distribution
}
