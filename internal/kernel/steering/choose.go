package steering

import (
	"slices"
	"strings"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/placing"
)

const (
	// maxRemoteRTTShare is the largest part of a route's target that a round trip to
	// another region may take for objects of this region to live there. Half
	// leaves as much for the work.
	maxRemoteRTTShare = 0.5
	// coldRunPenalty is charged for work on a server that does not know the
	// object, as a part of that work and for each rank away from home: it takes
	// the slots of others.
	coldRunPenalty = 6.0
	// unreportedWaitShare is the part of their work for which a request without an object is
	// taken to wait for others that nobody has told of, as many of each proxy of the
	// region as of this one. Reports are behind by some requests, and all proxies see
	// the same idle server.
	unreportedWaitShare = 0.5
	// busyTargets is for how many times a route's target a server without an answer may
	// be busy. Work that the target allows for takes longer on a first run.
	busyTargets = 2
	// objectlessLoadFactor takes the place of placing.RoomShare for requests without an
	// object: nothing runs cold in another region, so each gets what its slots are.
	objectlessLoadFactor = 1.0
	// otherRegionPenalty is charged a request without an object for a region that was not
	// drawn for it: more than any wait, so that it goes there only if no server of
	// its own region may take it.
	otherRegionPenalty = time.Hour
	// coldWorkFactor is how many times as long work is taken to last on a server that has
	// just started. Servers don't tell; too much only spares those that warm up.
	coldWorkFactor = 2
	// objectMemory is how long an answer's object is taken to be remembered.
	objectMemory = 10 * time.Second
	// maxObjectsPerServer bounds the objects noted for each server.
	maxObjectsPerServer = 64
	// warmServersSweepSize is from how many objects on those are swept that no server knows.
	warmServersSweepSize = 8192
)

type (
	// placementScope is how far requests may go: near, in this region only, if a round trip to
	// another takes too much of the route's target; in the regions allowed, but for one
	// that is left out.
	placementScope struct {
		ownRegionOnly  bool
		regions        regionSet
		excludedRegion string
	}

	// choice is a choice and what it was reckoned to take.
	choice struct {
		server   *server
		expected time.Duration
		// untilStart is the part of it until a slot is free: how long the work
		// takes then is a guess, and not one to refuse a request for.
		untilStart time.Duration
		cost       time.Duration
		warm       bool
		// homeRank is the server's rank among the object's homes.
		homeRank int
		reason   Reason
	}
)

// chooseByCost picks the server with the least expected time for the request among
// all that may take it.
func (k *Kernel) chooseByCost(now time.Time, req *ActiveRequest, svc *service) (*server, choice) {
	homes := k.failover(now, req, svc, k.withReplica(req, svc, k.homes(req, svc)))
	if req.Object == "" && req.drawnRegion == "" {
		req.drawnRegion = k.drawRegion(req, svc)
	}
	req.workEstimate = svc.workOf(req.Route)
	best, settled := k.chooseWarm(now, req, svc, homes)
	if !settled {
		best = k.chooseAmong(now, req, svc, homes, svc.eligible)
	}
	if best.server != nil && best.server.isCold(now) {
		best.server.coldRate.Take(now)
	}
	return best.server, best
}

// chooseAmong picks the server with the least expected time among some.
func (k *Kernel) chooseAmong(now time.Time, req *ActiveRequest, svc *service, homes []string, servers []*server) choice {
	best := choice{reason: ReasonNoServer}
	left := req.ExpiresAt.Sub(now)
	most := k.maxConnections(svc)
	homeFull := false
	for _, s := range servers {
		if k.observeCandidate != nil {
			k.reportCandidate(now, req, s, homes)
		}
		if !k.mayUse(now, req, s) {
			continue
		}
		p := k.estimate(now, req, s, homes)
		full := most > 0 && s.inFlight >= most
		homeFull = homeFull || full && len(homes) > 0 && p.homeRank == 0 && now.Sub(s.answeredAt) < busyTargets*req.Route.Target
		if full || p.untilStart > left {
			if best.server == nil {
				best.reason = ReasonOverload
			}
			continue
		}
		p.cost = k.placer.cost(k, req, p)
		if best.server != nil && p.cost >= best.cost {
			continue
		}
		if s.isCold(now) && !k.coldRoom(now, svc, s) {
			continue
		}
		best = p
	}
	if k.mustNotSpill(now, svc, homes, best) {
		return choice{reason: ReasonOverload}
	}
	if homeFull && !best.warm {
		// This proxy has all its connections to the object's home in use, and the
		// home has answered lately, so it does not hang but is busy. Its requests
		// would run cold elsewhere and leave the servers with three times the work,
		// until nearly all requests of the service come late. Refused callers come
		// back when the home has caught up.
		return choice{reason: ReasonOverload}
	}
	return best
}

// mayUse reports whether the request may go to a server now.
func (k *Kernel) mayUse(now time.Time, req *ActiveRequest, s *server) bool {
	return req.isCandidate(now, s) && k.serverPermits(now, s)
}

// isCandidate reports whether it may, but for what the server asks of its senders.
func (req *ActiveRequest) isCandidate(now time.Time, s *server) bool {
	return req.allowedRegions.has(s.regionBit) && !slices.Contains(req.triedServers, s) && s.usable(now)
}

// reportCandidate tells how a server is weighed.
func (k *Kernel) reportCandidate(now time.Time, req *ActiveRequest, s *server, homes []string) {
	p := k.estimate(now, req, s, homes)
	k.observeCandidate(Candidate{
		Server: s.id, Usable: k.mayUse(now, req, s), Cold: s.isCold(now),
		HomeRank: p.homeRank, Warm: p.warm, Load: s.load(now), Slowdown: s.slowdown, Expected: p.expected, Cost: k.placer.cost(k, req, p),
	})
}

// homes lists the servers on which the request's object lives, best first.
func (k *Kernel) homes(req *ActiveRequest, svc *service) []string {
	if req.Object == "" {
		return nil
	}
	r := k.scopeOf(req)
	h := svc.placements[r]
	if h == nil {
		h = k.newPlacement(req, svc, r)
		svc.placements[r] = h
	}
	return h.Of(req.Object)
}

// newPlacement deals the objects of this region's callers out.
func (k *Kernel) newPlacement(req *ActiveRequest, svc *service, r placementScope) *placing.Homes {
	candidates, weights := k.regionWeights(req, svc, r)
	list := make([]placing.Server, 0, len(candidates))
	for _, s := range candidates {
		if w := weights[s.region] * s.Slots; w > 0 {
			list = append(list, placing.Server{ID: s.id, Weight: w, Class: s.class()})
		}
	}
	return placing.NewHomes(list, svc.ranking)
}

// regionWeights lists the servers that this region's callers may use and how much of
// their work a slot of each region gets.
func (k *Kernel) regionWeights(req *ActiveRequest, svc *service, r placementScope) (candidates []*server, weights map[string]int) {
	for _, s := range svc.eligible {
		if req.allowedRegions.has(s.regionBit) && (!r.ownRegionOnly || s.region == k.config.Region) {
			candidates = append(candidates, s)
		}
	}
	share := placing.RoomShare
	if req.Object == "" {
		share = objectlessLoadFactor
	}
	return candidates, placing.Spread(k.regionCapacities(req, candidates), k.config.Region, share)
}

// regionCapacities lists the regions that may serve the route. The callers' shares are
// taken to follow the failure domains; the truth is not known before traffic
// begins, and homes that moved with each estimate would be cold. Only a region
// that has lost all its proxies counts elsewhere.
func (k *Kernel) regionCapacities(req *ActiveRequest, candidates []*server) []placing.Room {
	slots := make(map[string]int)
	for _, s := range candidates {
		slots[s.region] += s.Slots
	}
	var list []placing.Room
	for region, n := range k.regionDemand(req.allowedRegions) {
		room := placing.Room{Region: region, Slots: slots[region], Demand: n}
		if req.allowedRegions == allRegions {
			room.Bound = k.pinnedShares.current[region]
		}
		list = append(list, room)
	}
	slices.SortFunc(list, func(a, b placing.Room) int { return strings.Compare(a.Region, b.Region) })
	return list
}

// scopeOf says how far the work of a route may go.
func (k *Kernel) scopeOf(req *ActiveRequest) placementScope {
	farthest := time.Duration(0)
	for domain, d := range k.roundTrips {
		if k.config.RegionOf[domain] != k.config.Region {
			farthest = max(farthest, d.roundTrip)
		}
	}
	if farthest > time.Duration(maxRemoteRTTShare*float64(req.Route.Target)) || !k.isEnabled(MechanismRegionCapacity) {
		return placementScope{ownRegionOnly: true, regions: req.allowedRegions}
	}
	return placementScope{regions: req.allowedRegions}
}

// estimate estimates the time until the answer from one server.
func (k *Kernel) estimate(now time.Time, req *ActiveRequest, s *server, homes []string) choice {
	warm := s.isWarm(req.Object, now)
	slow := 1.0
	if k.useSlowdown {
		slow = max(1, s.slowdown)
	}
	work := time.Duration(float64(req.workEstimate.expected(warm, req.Route.Target)) * slow)
	if s.isCold(now) {
		work *= coldWorkFactor
	}
	typical := float64(req.workEstimate.typical(req.Route)) * slow
	places := float64(s.usableSlots())
	wait := time.Duration(max(0, s.load(now)+1-places) / places * typical)
	p := choice{server: s, warm: warm, homeRank: homeRank(homes, s.id), untilStart: s.rtt.roundTrip + wait, expected: s.rtt.roundTrip + wait + work}
	p.cost = p.expected + time.Duration(s.failureShare*float64(req.Route.Target))
	if req.Object == "" {
		if s.region != req.drawnRegion {
			p.cost += otherRegionPenalty
		}
		if k.isEnabled(MechanismUnseenRequests) {
			p.cost += time.Duration(unreportedWaitShare * float64(s.inFlight*k.sharersInRegion) / float64(s.Slots) * typical)
		}
	}
	if len(homes) > 0 && !warm {
		p.cost += time.Duration(coldRunPenalty * float64(p.homeRank) * float64(work))
	}
	return p
}

// homeRank is a server's place among an object's homes, from 0 for the first.
func homeRank(homes []string, id string) int {
	if i := slices.Index(homes, id); i >= 0 {
		return i
	}
	return len(homes)
}

// isWarm reports whether this proxy saw the server handle the object lately.
func (s *server) isWarm(object string, now time.Time) bool {
	at, seen := s.warmObjects[object]
	return seen && now.Sub(at) < objectMemory
}

func (s *server) recordObject(object string, now time.Time) {
	if object == "" {
		return
	}
	if s.warmObjects == nil {
		s.warmObjects = make(map[string]time.Time)
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
