package steering

import (
	"slices"
	"strings"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/placing"
)

const (
	// farShare is the largest part of a route's target that a round trip to
	// another region may take for objects of this region to live there. Half
	// leaves as much for the work.
	farShare = 0.5
	// spillCost is charged for work on a server that does not know the
	// object, as a part of that work and for each rank away from home: it takes
	// the slots of others.
	spillCost = 6.0
	// unseenWait is the part of their work for which a request without an object is
	// taken to wait for others that nobody has told of, as many of each proxy of the
	// region as of this one. Reports are behind by some requests, and all proxies see
	// the same idle server.
	unseenWait = 0.5
	// busyFor is for how many times a route's target a server without an answer may
	// be busy. Work that the target allows for takes longer on a first run.
	busyFor = 2
	// plainShare takes the place of placing.RoomShare for requests without an
	// object: nothing runs cold in another region, so each gets what its slots are.
	plainShare = 1.0
	// otherRegion is charged a request without an object for a region that was not
	// drawn for it: more than any wait, so that it goes there only if no server of
	// its own region may take it.
	otherRegion = time.Hour
	// coldWork is how many times as long work is taken to last on a server that has
	// just started. Servers don't tell; too much only spares those that warm up.
	coldWork = 2
	// memory is how long an answer's object is taken to be remembered.
	memory = 10 * time.Second
	// memoryMost bounds the objects noted for each server.
	memoryMost = 64
	// knownObjectsMost is from how many objects on those are swept that no server knows.
	knownObjectsMost = 8192
)

type (
	// reach is how far requests may go: near, in this region only, if a round trip to
	// another takes too much of the route's target; in the regions allowed, but for one
	// that is left out.
	reach struct {
		near    bool
		allowed regionSet
		without string
	}

	// pick is a choice and what it was reckoned to take.
	pick struct {
		server   *server
		expected time.Duration
		// start is the part of it until a slot is free: how long the work
		// takes then is a guess, and not one to refuse a request for.
		start time.Duration
		cost  time.Duration
		warm  bool
		// home is the server's rank among the object's homes.
		home   int
		reason Reason
	}
)

// choose picks the server with the least expected time for the request among
// all that may take it.
func (k *Kernel) choose(now time.Time, f *ActiveRequest, g *service) (*server, pick) {
	homes := k.failover(now, f, g, k.atReplica(f, g, k.homes(f, g)))
	if f.Object == "" && f.region == "" {
		f.region = k.drawRegion(f, g)
	}
	f.work = g.workOn(f.Route)
	best, settled := k.chooseNear(now, f, g, homes)
	if !settled {
		best = k.chooseAmong(now, f, g, homes, g.servers)
	}
	if best.server != nil && best.server.isCold(now) {
		best.server.cold.Take(now)
	}
	return best.server, best
}

// chooseAmong picks the server with the least expected time among some.
func (k *Kernel) chooseAmong(now time.Time, f *ActiveRequest, g *service, homes []string, servers []*server) pick {
	best := pick{reason: ReasonNoServer}
	left := f.ExpiresAt.Sub(now)
	most := k.connections(g)
	homeFull := false
	for _, s := range servers {
		if k.weighed != nil {
			k.weigh(now, f, s, homes)
		}
		if !k.mayTry(now, f, s) {
			continue
		}
		p := k.reckon(now, f, s, homes)
		full := most > 0 && s.inFlight >= most
		homeFull = homeFull || full && len(homes) > 0 && p.home == 0 && now.Sub(s.answeredAt) < busyFor*f.Route.Target
		if full || p.start > left {
			if best.server == nil {
				best.reason = ReasonOverload
			}
			continue
		}
		p.cost = k.placer.cost(k, f, p)
		if best.server != nil && p.cost >= best.cost {
			continue
		}
		if s.isCold(now) && !k.coldRoom(now, g, s) {
			continue
		}
		best = p
	}
	if k.keptFromSpilling(now, g, homes, best) {
		return pick{reason: ReasonOverload}
	}
	if homeFull && !best.warm {
		// This proxy has all its connections to the object's home in use, and the
		// home has answered lately, so it does not hang but is busy. Its requests
		// would run cold elsewhere and leave the servers with three times the work,
		// until nearly all requests of the service come late. Refused callers come
		// back when the home has caught up.
		return pick{reason: ReasonOverload}
	}
	return best
}

// mayTry reports whether the request may go to a server now.
func (k *Kernel) mayTry(now time.Time, f *ActiveRequest, s *server) bool {
	return f.mayUse(now, s) && k.permits(now, s)
}

// mayUse reports whether it may, but for what the server asks of its senders.
func (f *ActiveRequest) mayUse(now time.Time, s *server) bool {
	return f.allowed.has(s.regionBit) && !slices.Contains(f.tried, s) && s.usable(now)
}

// weigh tells how a server is weighed.
func (k *Kernel) weigh(now time.Time, f *ActiveRequest, s *server, homes []string) {
	p := k.reckon(now, f, s, homes)
	k.weighed(Candidate{
		Server: s.id, Usable: k.mayTry(now, f, s), Cold: s.isCold(now),
		HomeRank: p.home, Warm: p.warm, Load: s.load(now), Slowdown: s.speed, Expected: p.expected, Cost: k.placer.cost(k, f, p),
	})
}

// homes lists the servers on which the request's object lives, best first.
func (k *Kernel) homes(f *ActiveRequest, g *service) []string {
	if f.Object == "" {
		return nil
	}
	r := k.reachOf(f)
	h := g.homes[r]
	if h == nil {
		h = k.newHomes(f, g, r)
		g.homes[r] = h
	}
	return h.Of(f.Object)
}

// newHomes deals the objects of this region's callers out.
func (k *Kernel) newHomes(f *ActiveRequest, g *service, r reach) *placing.Homes {
	candidates, weights := k.spread(f, g, r)
	list := make([]placing.Server, 0, len(candidates))
	for _, s := range candidates {
		if w := weights[s.region] * s.Slots; w > 0 {
			list = append(list, placing.Server{ID: s.id, Weight: w, Class: s.class()})
		}
	}
	return placing.NewHomes(list, g.ranking)
}

// spread lists the servers that this region's callers may use and how much of
// their work a slot of each region gets.
func (k *Kernel) spread(f *ActiveRequest, g *service, r reach) (candidates []*server, weights map[string]int) {
	for _, s := range g.servers {
		if f.allowed.has(s.regionBit) && (!r.near || s.region == k.config.Region) {
			candidates = append(candidates, s)
		}
	}
	share := placing.RoomShare
	if f.Object == "" {
		share = plainShare
	}
	return candidates, placing.Spread(k.rooms(f, candidates), k.config.Region, share)
}

// rooms lists the regions that may serve the route. The callers' shares are
// taken to follow the failure domains; the truth is not known before traffic
// begins, and homes that moved with each estimate would be cold. Only a region
// that has lost all its proxies counts elsewhere.
func (k *Kernel) rooms(f *ActiveRequest, candidates []*server) []placing.Room {
	slots := make(map[string]int)
	for _, s := range candidates {
		slots[s.region] += s.Slots
	}
	var list []placing.Room
	for region, n := range k.demand(f.allowed) {
		room := placing.Room{Region: region, Slots: slots[region], Demand: n}
		if f.allowed == everywhere {
			room.Bound = k.bound.now[region]
		}
		list = append(list, room)
	}
	slices.SortFunc(list, func(a, b placing.Room) int { return strings.Compare(a.Region, b.Region) })
	return list
}

// reachOf says how far the work of a route may go.
func (k *Kernel) reachOf(f *ActiveRequest) reach {
	farthest := time.Duration(0)
	for domain, d := range k.distance {
		if k.config.RegionOf[domain] != k.config.Region {
			farthest = max(farthest, d.roundTrip)
		}
	}
	if farthest > time.Duration(farShare*float64(f.Route.Target)) || !k.on(MechanismRegionCapacity) {
		return reach{near: true, allowed: f.allowed}
	}
	return reach{allowed: f.allowed}
}

// reckon estimates the time until the answer from one server.
func (k *Kernel) reckon(now time.Time, f *ActiveRequest, s *server, homes []string) pick {
	warm := s.knows(f.Object, now)
	slow := 1.0
	if k.bySpeed {
		slow = max(1, s.speed)
	}
	work := time.Duration(float64(f.work.expect(warm, f.Route.Target)) * slow)
	if s.isCold(now) {
		work *= coldWork
	}
	typical := float64(f.work.typical(f.Route)) * slow
	places := float64(s.places())
	wait := time.Duration(max(0, s.load(now)+1-places) / places * typical)
	p := pick{server: s, warm: warm, home: rank(homes, s.id), start: s.domain.roundTrip + wait, expected: s.domain.roundTrip + wait + work}
	p.cost = p.expected + time.Duration(s.failed*float64(f.Route.Target))
	if f.Object == "" {
		if s.region != f.region {
			p.cost += otherRegion
		}
		if k.on(MechanismUnseenRequests) {
			p.cost += time.Duration(unseenWait * float64(s.inFlight*k.neighbours) / float64(s.Slots) * typical)
		}
	}
	if len(homes) > 0 && !warm {
		p.cost += time.Duration(spillCost * float64(p.home) * float64(work))
	}
	return p
}

// rank is a server's place among an object's homes, from 0 for the first.
func rank(homes []string, id string) int {
	if i := slices.Index(homes, id); i >= 0 {
		return i
	}
	return len(homes)
}

// knows reports whether this proxy saw the server handle the object lately.
func (s *server) knows(object string, now time.Time) bool {
	at, seen := s.objects[object]
	return seen && now.Sub(at) < memory
}

func (s *server) handled(object string, now time.Time) {
	if object == "" {
		return
	}
	if s.objects == nil {
		s.objects = make(map[string]time.Time)
	}
	if len(s.objects) >= memoryMost {
		for o, at := range s.objects {
			if now.Sub(at) >= memory {
				delete(s.objects, o)
			}
		}
		if len(s.objects) >= memoryMost {
			return
		}
	}
	s.objects[object] = now
}
