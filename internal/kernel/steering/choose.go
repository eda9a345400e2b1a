package steering

import (
	"slices"
	"strings"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/placing"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

const (
	// maxRemoteRTTShare is the largest part of a route's target that the round trip to another
	// region may take if objects of this region are to be placed there. A half leaves the other
	// half for running the request.
	maxRemoteRTTShare = 0.5
	// coldRunPenalty is the extra cost of a cold run, as a multiple of its duration, for each rank
	// that the server is away from the first home. A cold run occupies slots that other requests
	// need.
	coldRunPenalty = 6.0
	// unreportedWaitShare is the part of the work of unreported requests that a request without an
	// object is expected to wait for. Load reports lag by some requests, and all proxies see the
	// same idle server. Each proxy of the region is assumed to have as many requests at the server
	// as this one.
	unreportedWaitShare = 0.5
	// busyTargets is how long, as a multiple of the route's target, a server that has not responded
	// may still be considered busy rather than hung. Requests that meet the target on a warm server
	// take longer on a cold run.
	busyTargets = 2
	// objectlessLoadFactor replaces placing.MaxLoadFactor for requests without an object. They do
	// not run colder in another region, so each region gets a share in proportion to its slots.
	objectlessLoadFactor = 1.0
	// otherRegionPenalty is the extra cost for a request without an object in a region that was not
	// drawn for it. It exceeds any wait, so that the request leaves the drawn region only if no
	// server there can take it.
	otherRegionPenalty = time.Hour
	// coldWorkFactor is the assumed factor by which requests take longer on a server that has just
	// started. Servers don't report it. A value that is too high only sends fewer requests to
	// servers that are warming up.
	coldWorkFactor = 2
	// objectMemory is how long a server is assumed to stay warm for an object after a response.
	objectMemory = 10 * time.Second
	// maxObjectsPerServer limits the objects recorded for each server.
	maxObjectsPerServer = 64
	// warmServersSweepSize is the number of recorded objects above which objects without a warm
	// server are removed.
	warmServersSweepSize = 8192
)

type (
	// placementScope is the set of regions in which requests may be placed: only this region if a
	// round trip to another one takes too much of the route's target, otherwise the allowed regions
	// without the excluded one.
	placementScope struct {
		ownRegionOnly  bool
		regions        regionSet
		excludedRegion string
		// route is set if the route has a local share of its own.
		route string
	}

	// choice is a chosen server with the estimates that led to the choice.
	choice struct {
		server   *server
		expected time.Duration
		// untilStart is the part of expected until a slot is free. The rest, the duration of the
		// work, is only an estimate.
		untilStart time.Duration
		// usualUntilStart is untilStart at the usual speed of the server. Only this part is a basis
		// for rejecting a request, because a server is usually slow for less than a second.
		usualUntilStart time.Duration
		cost            time.Duration
		// workFactor is the work factor that the server reports. expected and untilStart include
		// it. speedCost is its cost, which is not part of cost.
		workFactor float64
		speedCost  time.Duration
		warm       bool
		// homeRank is the rank of the server among the object's homes.
		homeRank int
		// position is the position among the considered servers. Of equal costs, the first wins.
		position int
		reason   Reason
	}
)

// chooseByCost chooses the server with the lowest cost for the request, mostly the expected time,
// among all that can take it.
func (k *Kernel) chooseByCost(now time.Time, req *ActiveRequest, svc *service) (*server, choice) {
	homes := k.failover(now, req, svc, k.withReplica(req, svc, k.homes(req, svc)))
	if req.Object == "" && req.drawnRegion == "" {
		req.drawnRegion = k.drawRegion(req, svc)
	}
	req.workEstimate = svc.workOf(req.Route)
	best, isBest := k.chooseWarm(now, req, svc, homes)
	if !isBest {
		best = k.chooseAmong(now, req, svc, homes, svc.eligible)
	}
	if best.server != nil && best.server.isCold(now) {
		best.server.use()
		best.server.coldRate.Record(now)
	}
	return best.server, best
}

// chooseAmong chooses the server with the lowest cost among the given ones.
func (k *Kernel) chooseAmong(now time.Time, req *ActiveRequest, svc *service, homes []string, servers []*server) choice {
	reason := ReasonNoServer
	var bestWarm, bestCold choice
	remaining := req.ExpiresAt.Sub(now)
	connectionLimit := k.maxConnections(svc)
	homeFull := false
	for position, s := range servers {
		if k.observeCandidate != nil {
			k.reportCandidate(now, req, s, homes)
		}
		if !k.mayUse(now, req, s) {
			continue
		}
		candidate := k.estimate(now, req, s, homes)
		full := connectionLimit > 0 && s.inFlight >= connectionLimit
		homeFull = homeFull || full && len(homes) > 0 && candidate.homeRank == 0 && now.Sub(s.respondedAt) < busyTargets*req.Route.Target
		if full || candidate.usualUntilStart > remaining {
			reason = ReasonOverload
			continue
		}
		candidate.cost, candidate.position = k.placer.cost(k, req, candidate), position
		best := &bestCold
		if candidate.warm {
			best = &bestWarm
		}
		if !candidate.betterThan(*best) {
			continue
		}
		if s.isCold(now) && !k.coldRoom(now, svc, s) {
			continue
		}
		*best = candidate
	}
	best := bestCold
	if !bestCold.betterThan(bestWarm) {
		best = bestWarm
	}
	if best.server == nil {
		return choice{reason: reason}
	}
	if k.mustNotSpill(now, svc, homes, best) {
		return choice{reason: ReasonOverload}
	}
	if homeFull && !best.warm {
		// All connections of this proxy to the object's home are in use, and the home has responded
		// recently, so it is busy and does not hang. Running the requests cold on other servers
		// would triple the work there until nearly all requests of the service miss the target.
		// Rejected callers return when the home has caught up.
		return choice{reason: ReasonOverload}
	}
	return best
}

// mayUse reports whether the request may go to the server now.
func (k *Kernel) mayUse(now time.Time, req *ActiveRequest, s *server) bool {
	return req.isCandidate(now, s) && k.serverPermits(now, s)
}

// isCandidate is mayUse without the server's backpressure.
func (req *ActiveRequest) isCandidate(now time.Time, s *server) bool {
	return req.allowedRegions.has(s.regionBit) && !slices.Contains(req.triedServers, s) && s.usable(now)
}

// reportCandidate reports the estimates for a server to observeCandidate.
func (k *Kernel) reportCandidate(now time.Time, req *ActiveRequest, s *server, homes []string) {
	estimated := k.estimate(now, req, s, homes)
	k.observeCandidate(Candidate{
		Server: s.id, Usable: k.mayUse(now, req, s), Cold: s.isCold(now),
		HomeRank: estimated.homeRank, Warm: estimated.warm, Load: s.load(now), Slowdown: s.slowdown, Expected: estimated.expected, Cost: k.placer.cost(k, req, estimated) + estimated.speedCost,
		WorkFactor: estimated.workFactor,
	})
}

// homes lists the home servers of the request's object, best first.
func (k *Kernel) homes(req *ActiveRequest, svc *service) []string {
	if req.Object == "" {
		return nil
	}
	scope := k.scopeOf(req)
	placement := svc.placements[scope]
	if placement == nil {
		placement = k.newPlacement(req, svc, scope)
		svc.placements[scope] = placement
	}
	return placement.ServersFor(req.objectKey())
}

// newPlacement assigns the objects of this region's callers to servers.
func (k *Kernel) newPlacement(req *ActiveRequest, svc *service, scope placementScope) *placing.Placement {
	candidates, weights := k.regionWeights(req, svc, scope)
	if scope.route != "" {
		return k.newLocalPlacement(req, svc, candidates, weights)
	}
	list := make([]placing.Server, 0, len(candidates))
	for _, s := range candidates {
		if weight := weights[s.region] * s.Slots; weight > 0 {
			list = append(list, placing.Server{ID: s.id, Weight: weight, Class: s.class})
		}
	}
	return placing.NewPlacement(list, svc.ranking, k.routeGroups[svc.name])
}

// regionWeights lists the servers that callers of this region may use, and the weight of one slot
// in each region for their requests.
func (k *Kernel) regionWeights(req *ActiveRequest, svc *service, scope placementScope) (candidates []*server, weights map[string]int) {
	for _, s := range svc.eligible {
		if req.allowedRegions.has(s.regionBit) && (!scope.ownRegionOnly || s.region == k.config.Region) {
			candidates = append(candidates, s)
		}
	}
	return candidates, placing.RegionWeights(k.regionCapacities(req, candidates), k.config.Region, req.maxLoadFactor())
}

// maxLoadFactor bounds the load of a region's servers before the request's route uses others.
func (req *ActiveRequest) maxLoadFactor() float64 {
	if req.Object == "" {
		return objectlessLoadFactor
	}
	return placing.MaxLoadFactor
}

// regionCapacities lists the regions that may serve the route. The demand of each region is assumed
// to be proportional to its number of failure domains. The actual demand is unknown before traffic
// starts, and homes that moved with each new estimate would be cold. Only the demand of a region
// that has lost all its proxies is counted in other regions.
func (k *Kernel) regionCapacities(req *ActiveRequest, candidates []*server) []placing.RegionCapacity {
	slots := make(map[string]int)
	for _, s := range candidates {
		slots[s.region] += s.Slots
	}
	var list []placing.RegionCapacity
	for region, demand := range k.regionDemand(req.allowedRegions) {
		room := placing.RegionCapacity{Region: region, Slots: slots[region], Demand: demand}
		if req.allowedRegions == allRegions {
			room.Pinned = k.pinnedShares.current[region]
		}
		list = append(list, room)
	}
	slices.SortFunc(list, func(a, b placing.RegionCapacity) int { return strings.Compare(a.Region, b.Region) })
	return list
}

// scopeOf returns the regions in which requests of a route may be placed.
func (k *Kernel) scopeOf(req *ActiveRequest) placementScope {
	if k.staysLocal(req.Route) {
		return placementScope{ownRegionOnly: true, regions: req.allowedRegions}
	}
	return placementScope{regions: req.allowedRegions, route: k.routeWithLocalShare(req)}
}

// staysLocal reports whether all requests of a route are placed in this region.
func (k *Kernel) staysLocal(r *routing.Route) bool {
	return k.farthestRoundTrip() > time.Duration(maxRemoteRTTShare*float64(r.Target)) || !k.isEnabled(MechanismRegionCapacity)
}

// farthestRoundTrip returns the longest round-trip time to another region.
func (k *Kernel) farthestRoundTrip() time.Duration {
	farthest := time.Duration(0)
	for domain, d := range k.roundTrips {
		if k.config.RegionOf[domain] != k.config.Region {
			farthest = max(farthest, d.roundTrip)
		}
	}
	return farthest
}

// estimate estimates the time until the response from one server, and its cost.
func (k *Kernel) estimate(now time.Time, req *ActiveRequest, s *server, homes []string) choice {
	warm := s.isWarm(req.objectKey(), now)
	slowdown := 1.0
	if k.useSlowdown {
		slowdown = max(1, s.slowdown)
	}
	work := time.Duration(float64(req.workEstimate.expected(warm, req.Route.Target)) * slowdown)
	if s.isCold(now) {
		work *= coldWorkFactor
	}
	typical := float64(req.workEstimate.typical(req.Route)) * slowdown
	slots := float64(s.usableSlots(now))
	wait := time.Duration(max(0, s.load(now)+1-slots) / slots * typical)
	estimated := choice{server: s, warm: warm, homeRank: homeRank(homes, s.id), untilStart: s.rtt.roundTrip + wait, expected: s.rtt.roundTrip + wait + work}
	estimated.cost = estimated.expected + time.Duration(s.failureShare*float64(req.Route.Target))
	if req.Object == "" {
		if s.region != req.drawnRegion {
			estimated.cost += otherRegionPenalty
		}
		if k.isEnabled(MechanismUnseenRequests) {
			estimated.cost += time.Duration(unreportedWaitShare * float64(s.inFlight*k.proxiesOfRegion()) / float64(s.currentSlots(now)) * typical * s.reported.Factor(now))
		}
	}
	if len(homes) > 0 && !warm {
		estimated.cost += time.Duration(coldRunPenalty * float64(estimated.homeRank) * float64(work))
	}
	estimated.applyWorkFactor(now)
	if !k.placer.comparesSpeed {
		estimated.speedCost = 0
	}
	return estimated
}

// homeRank returns the rank of a server among an object's homes, starting at 0 for the first.
func homeRank(homes []string, id string) int {
	if i := slices.Index(homes, id); i >= 0 {
		return i
	}
	return len(homes)
}

// isWarm reports whether this proxy has recently seen the server handle the object.
func (s *server) isWarm(object placing.Object, now time.Time) bool {
	at, seen := s.warmObjects[object]
	return seen && now.Sub(at) < objectMemory
}

func (s *server) recordObject(object placing.Object, now time.Time) {
	if object.Name == "" {
		return
	}
	s.use()
	if s.warmObjects == nil {
		s.warmObjects = make(map[placing.Object]time.Time)
	}
	if len(s.warmObjects) >= maxObjectsPerServer {
		for o, at := range s.warmObjects {
			if now.Sub(at) >= objectMemory {
				delete(s.warmObjects, o)
			}
		}
		if len(s.warmObjects) >= maxObjectsPerServer {
			return
		}
	}
	s.warmObjects[object] = now
}
