package steering

import (
	"maps"
	"slices"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/placing"
)

// recordLocalDemand counts a request for the division of this region's capacity between routes.
func (k *Kernel) recordLocalDemand(now time.Time, req *ActiveRequest) {
	if req.allowedRegions != allRegions {
		k.localShares.RecordRestricted(now)
		return
	}
	work := k.service(req.Service).workOf(req.Route).typical(req.Route)
	k.localShares.Record(now, placing.ServiceRoute{Service: req.Service, Route: req.Route.Name}, work)
}

// routeWithLocalShare returns the route of a request if it has a local share of its own, otherwise
// an empty name.
func (k *Kernel) routeWithLocalShare(req *ActiveRequest) string {
	if req.allowedRegions == allRegions && k.localShares.Has(placing.ServiceRoute{Service: req.Service, Route: req.Route.Name}) {
		return req.Route.Name
	}
	return ""
}

// applyLocalShare changes the weight of this region relative to the others to a route's local share.
func (k *Kernel) applyLocalShare(route placing.ServiceRoute, weightByRegion map[string]float64) {
	local := weightByRegion[k.config.Region]
	remote := -local
	for _, region := range k.regions {
		remote += weightByRegion[region]
	}
	if local == 0 || remote <= 0 {
		return
	}
	share := k.localShares.Of(route, local/(local+remote))
	for region := range weightByRegion {
		if region != k.config.Region {
			weightByRegion[region] *= (1 - share) / remote
		}
	}
	weightByRegion[k.config.Region] = share
}

// movePlacement moves placement one step towards the current demand.
func (k *Kernel) movePlacement(now time.Time) {
	if k.table == nil || !k.placementMoves.Begin(now) || !k.isEnabled(MechanismLocalCapacity) || !k.isEnabled(MechanismRegionCapacity) {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(k.services)) {
		changes := k.localShares.Update(now, name, k.farthestRoundTrip(), k.localRoutes(name), &k.placementMoves)
		for _, c := range changes {
			scope := placementScope{regions: allRegions, route: c.Route}
			delete(k.services[name].placements, scope)
			delete(k.services[name].regionDraws, scope)
			k.config.Observe(Event{Kind: EventLocalShareChanged, At: now, Service: name, Route: c.Route, Region: k.config.Region, Share: c.Share})
		}
	}
}

// localRoutes describes the routes of a service whose requests may run in all regions, as far as
// requests of them were counted.
func (k *Kernel) localRoutes(service string) []placing.LocalRoute {
	var list []placing.LocalRoute
	for _, name := range slices.Sorted(maps.Keys(k.table.Routes)) {
		r := k.table.Routes[name]
		if k.routeRegions[name] == allRegions && k.localShares.Knows(placing.ServiceRoute{Service: service, Route: name}) {
			list = append(list, placing.LocalRoute{Name: name, Target: r.Target, Fixed: k.staysLocal(r)})
		}
	}
	if len(list) < 2 && (len(list) == 0 || !k.localShares.Has(placing.ServiceRoute{Service: service, Route: list[0].Name})) {
		return nil
	}
	svc := k.eligibleService(service)
	for i := range list {
		r := k.table.Routes[list[i].Name]
		req := &ActiveRequest{Route: r, Service: service, allowedRegions: allRegions}
		if r.Sticky && k.isEnabled(MechanismHomes) {
			req.Object = "any"
		}
		local, total := 0, 0
		candidates, weights := k.regionWeights(req, svc, placementScope{regions: allRegions})
		for _, s := range candidates {
			total += weights[s.region] * s.Slots
			if s.region == k.config.Region {
				local += weights[s.region] * s.Slots
			}
		}
		list[i].Uniform = float64(local) / float64(max(1, total))
	}
	return list
}
