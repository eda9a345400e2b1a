package steering

import (
	"maps"
	"slices"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/placing"
)

// recordDemand counts a request for the division of this region's capacity between routes, and for
// the demand of the regions.
func (k *Kernel) recordDemand(now time.Time, req *ActiveRequest) {
	if req.allowedRegions != allRegions {
		k.localShares.RecordRestricted(now)
		return
	}
	work := k.service(req.Service).workOf(req.Route).typical(req.Route)
	k.localShares.Record(now, req.serviceRoute(), work)
	k.regionDemands.Record(now, req.Service, work)
}

func (req *ActiveRequest) serviceRoute() placing.ServiceRoute {
	return placing.ServiceRoute{Service: req.Service, Route: req.Route.Name}
}

// routeWithLocalShare returns the route of a request if it has a local share of its own, otherwise
// an empty name.
func (k *Kernel) routeWithLocalShare(req *ActiveRequest) string {
	if req.allowedRegions == allRegions && k.localShares.Has(req.serviceRoute()) {
		return req.Route.Name
	}
	return ""
}

// newLocalPlacement assigns the objects of a route with a local share of its own. The remaining
// objects are divided between the other regions by their spare capacity.
func (k *Kernel) newLocalPlacement(req *ActiveRequest, svc *service, candidates []*server, weights map[string]int) *placing.Placement {
	spare := placing.SpareWeights(k.regionCapacities(req, candidates), k.config.Region, req.maxLoadFactor())
	spare[k.config.Region] = 1
	list := make([]placing.Server, 0, len(candidates))
	for _, s := range candidates {
		p := placing.Server{ID: s.id, Weight: weights[s.region] * s.Slots, Class: s.class, Local: s.region == k.config.Region, MoveWeight: spare[s.region] * s.Slots}
		if p.Weight > 0 || p.MoveWeight > 0 {
			list = append(list, p)
		}
	}
	placement := placing.NewPlacement(list, svc.ranking, k.routeGroups[svc.name])
	placement.SetLocalShare(k.localShares.Of(req.serviceRoute(), placement.LocalShare()))
	return placement
}

// applyLocalShare changes the weight of this region relative to the others to a route's local share.
func (k *Kernel) applyLocalShare(req *ActiveRequest, candidates []*server, weightByRegion map[string]float64) {
	local := weightByRegion[k.config.Region]
	total, spareTotal := 0.0, 0.0
	spare := placing.SpareWeights(k.regionCapacities(req, candidates), k.config.Region, req.maxLoadFactor())
	spareByRegion := make(map[string]float64)
	for _, s := range candidates {
		spareByRegion[s.region] += float64(spare[s.region] * s.Slots)
	}
	for _, region := range k.regions {
		total += weightByRegion[region]
		spareTotal += spareByRegion[region]
	}
	if local == 0 || spareTotal == 0 {
		return
	}
	share := k.localShares.Of(req.serviceRoute(), local/total)
	for _, region := range k.regions {
		weightByRegion[region] = (1 - share) * spareByRegion[region] / spareTotal
	}
	weightByRegion[k.config.Region] = share
}

// movePlacement moves placement one step towards the current demand.
func (k *Kernel) movePlacement(now time.Time) {
	if k.table == nil || !k.isEnabled(MechanismRegionCapacity) {
		return
	}
	k.regionDemands.Measure(now, k.config.Region, k.proxiesOfRegion())
	if !k.placementMoves.Begin(now) {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(k.services)) {
		k.chooseDemand(now, k.services[name])
		changes := k.localShares.Update(now, name, k.farthestRoundTrip(), k.localRoutes(now, name), &k.placementMoves)
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
func (k *Kernel) localRoutes(now time.Time, service string) []placing.LocalRoute {
	var list []placing.LocalRoute
	needed := k.usesMeasuredDemand(service)
	for _, name := range slices.Sorted(maps.Keys(k.table.Routes)) {
		r, key := k.table.Routes[name], placing.ServiceRoute{Service: service, Route: name}
		if k.routeRegions[name] == allRegions && k.localShares.Knows(key) {
			list = append(list, placing.LocalRoute{Name: name, Target: r.Target, Fixed: k.staysLocal(r)})
			needed = needed || k.localShares.Has(key)
		}
	}
	if !needed && (len(list) < 2 || !k.isEnabled(MechanismLocalCapacity)) {
		return nil
	}
	svc := k.eligibleService(service)
	for i := range list {
		r := k.table.Routes[list[i].Name]
		req := &ActiveRequest{Route: r, Service: service, allowedRegions: allRegions}
		if r.Sticky && k.isEnabled(MechanismHomes) {
			req.Object = "any"
		}
		if !k.isEnabled(MechanismLocalCapacity) {
			// All routes are equally urgent.
			list[i].Target = 0
		}
		candidates, weights := k.regionWeights(req, svc, placementScope{regions: allRegions})
		list[i].Uniform = k.localFraction(candidates, weights)
		list[i].Capacity = list[i].Uniform
		if k.usesMeasuredDemand(service) {
			capacities := k.regionCapacities(req, candidates)
			k.regionDemands.ApplyTo(now, service, capacities)
			list[i].Capacity = k.localFraction(candidates, placing.RegionWeights(capacities, k.config.Region, req.maxLoadFactor()))
		}
	}
	return list
}

// localFraction returns the fraction of the requests that weights give the servers of this region.
func (k *Kernel) localFraction(candidates []*server, weights map[string]int) float64 {
	local, total := 0, 0
	for _, s := range candidates {
		total += weights[s.region] * s.Slots
		if s.region == k.config.Region {
			local += weights[s.region] * s.Slots
		}
	}
	return float64(local) / float64(max(1, total))
}
