package placing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minServiceRequests is the decayed count of a service's requests from which the shares of its
	// routes are used. With 50 requests, the standard deviation of a share is at most 0.07.
	minServiceRequests = 50
	// minWorkShare is the share of a service's work below which a route's placement is not changed.
	// Its share of the local capacity would follow from a few chance requests.
	minWorkShare = 0.02
	// minRoundTripShare is the smallest round trip to another region, relative to the target of the
	// most urgent route, for which local capacity is worth assigning.
	minRoundTripShare = 0.1
	// nearRoundTripShare is the round trip above which local capacity is assigned again once the
	// round trip was below minRoundTripShare. With a single threshold, measurements 1 ms around it
	// moved objects back and forth.
	nearRoundTripShare = 0.12
	// localSteps is the number of steps to which local shares are rounded.
	localSteps = 8
	// localTolerance is how far a local share may be from its ideal value. It exceeds half a step,
	// so that chance doesn't move objects back and forth.
	localTolerance = 0.1
	// minLocalMove is the smallest change of a local share for which objects are assigned again,
	// unless it is the last one.
	minLocalMove = 1.0 / 64
)

type (
	// ServiceRoute identifies a route at one of its services.
	ServiceRoute struct {
		Service, Route string
	}

	// LocalRoute describes a route at a service for LocalShares.
	LocalRoute struct {
		Name   string
		Target time.Duration
		// Uniform is the fraction of the route's objects that RegionWeights places in the callers'
		// region.
		Uniform float64
		// Capacity is the fraction for which the region has capacity: Uniform, or another one where
		// demand is measured.
		Capacity float64
		// Fixed marks a route all whose objects are placed there.
		Fixed bool
	}

	// LocalShareChange is a change of a route's local share.
	LocalShareChange struct {
		Route string
		Share float64
	}

	// LocalShares divides the capacity of the callers' region between the routes of each service,
	// as seen by one proxy. The most urgent routes, those for which the round trip to another
	// region is the largest part of the target, get it first. The sum over the routes remains what
	// the region has capacity for, except for the rounding of shares.
	LocalShares struct {
		total  workCount
		routes map[ServiceRoute]*localRoute
		// anySet is set once a route had a local share of its own.
		anySet bool
		// near holds the services for which the round trip to the other regions is short.
		near map[string]bool
	}

	localRoute struct {
		demand workCount
		// set is set if the route has a local share of its own: share, when its uniform share was
		// uniform.
		set            bool
		share, uniform float64
		// target is the share towards which the route moves, in steps, valid if hasTarget is set.
		target    int
		hasTarget bool
		moving    bool
	}

	// localPlan is a step of one route.
	localPlan struct {
		LocalRoute
		state *localRoute
		// work is the route's share of the work of the service, requests its share of all requests.
		work, requests  float64
		current, target float64
	}
)

// Record counts a request that may run in any region and the work it is expected to need.
func (l *LocalShares) Record(now time.Time, key ServiceRoute, work time.Duration) {
	l.RecordRestricted(now)
	r := l.routes[key]
	if r == nil {
		if l.routes == nil {
			l.routes = make(map[ServiceRoute]*localRoute)
		}
		r = &localRoute{}
		l.routes[key] = r
	}
	r.demand.add(now, work, demandTimeConstant)
}

// RecordRestricted counts a request that is restricted to regions. Its placement doesn't change.
func (l *LocalShares) RecordRestricted(now time.Time) { l.total.add(now, 0, demandTimeConstant) }

// Prune removes the routes that are not kept.
func (l *LocalShares) Prune(keep func(ServiceRoute) bool) {
	for key := range l.routes {
		if !keep(key) {
			delete(l.routes, key)
		}
	}
}

// Knows reports whether requests of a route were counted.
func (l *LocalShares) Knows(key ServiceRoute) bool { return l.routes[key] != nil }

// Has reports whether a route has a local share of its own.
func (l *LocalShares) Has(key ServiceRoute) bool {
	return l.anySet && l.routes[key] != nil && l.routes[key].set
}

// Of returns the local share of a route whose uniform share is given.
func (l *LocalShares) Of(key ServiceRoute, uniform float64) float64 {
	if r := l.routes[key]; r != nil {
		return r.at(uniform)
	}
	return uniform
}

// at returns the share at a uniform share that may have changed since the share was set. If
// capacity is lost or restored, the shares of all routes change at once and in proportion, so that
// their sum remains what the region has capacity for.
func (r *localRoute) at(uniform float64) float64 {
	switch {
	case !r.set || uniform <= 0:
		return uniform
	case uniform < r.uniform:
		return r.share * uniform / r.uniform
	case r.uniform >= 1:
		return r.share
	}
	return 1 - (1-r.share)*(1-uniform)/(1-r.uniform)
}

// Update moves the local shares of a service's routes by one step and returns the changes.
// roundTrip is the round trip to the farthest region.
func (l *LocalShares) Update(now time.Time, service string, roundTrip time.Duration, routes []LocalRoute, b *MoveBudget) []LocalShareChange {
	plans := l.plan(now, service, routes)
	if len(plans) == 0 || !assignLocal(plans, l.isNear(service, roundTrip, plans[0].Target)) {
		return nil
	}
	largest, cost, moving := 0.0, 0.0, false
	for _, p := range plans {
		distance := math.Abs(p.target - p.current)
		largest, cost = max(largest, distance), cost+p.requests*distance
		moving = moving || distance > localTolerance || p.state.moving
	}
	if !moving || largest == 0 {
		return nil
	}
	// All routes cover the same part of their distance, so that the sum of their work is the same
	// after each step.
	part := min(1, 1.0/localSteps/largest)
	if cost > 0 {
		part = min(part, b.left/cost)
	}
	if part < 1 && part*largest < minLocalMove {
		return nil
	}
	b.spend(part * cost)
	var changes []LocalShareChange
	for _, p := range plans {
		p.state.moving = part < 1
		if p.target == p.current {
			continue
		}
		share := p.current + part*(p.target-p.current)
		p.state.set, p.state.share, p.state.uniform = share != p.Uniform, share, p.Uniform
		l.anySet = l.anySet || p.state.set
		changes = append(changes, LocalShareChange{Route: p.Name, Share: share})
	}
	return changes
}

// plan returns the routes with their shares of the work and of the requests, most urgent first. It
// returns none if too few requests are known.
func (l *LocalShares) plan(now time.Time, service string, routes []LocalRoute) []localPlan {
	var plans []localPlan
	work, requests := 0.0, 0.0
	for _, r := range routes {
		state := l.routes[ServiceRoute{service, r.Name}]
		if state == nil {
			continue
		}
		demand := state.demand.decayedOver(now, demandTimeConstant)
		p := localPlan{LocalRoute: r, state: state, work: demand.seconds, requests: demand.requests, current: state.at(r.Uniform)}
		work, requests = work+p.work, requests+p.requests
		plans = append(plans, p)
	}
	if requests < minServiceRequests || work <= 0 {
		return nil
	}
	total := l.total.decayedOver(now, demandTimeConstant).requests
	for i := range plans {
		plans[i].work /= work
		plans[i].requests /= total
	}
	slices.SortFunc(plans, func(a, b localPlan) int { return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Name, b.Name)) })
	return plans
}

// isNear reports whether the round trip to the other regions is short, given the target of the
// service's most urgent route.
func (l *LocalShares) isNear(service string, roundTrip, target time.Duration) bool {
	limit := minRoundTripShare
	if l.near[service] {
		limit = nearRoundTripShare
	}
	if l.near == nil {
		l.near = make(map[string]bool)
	}
	l.near[service] = roundTrip < time.Duration(limit*float64(target))
	return l.near[service]
}

// assignLocal sets the target of each route, given in order of their latency targets, and reports
// whether there are any. Where the round trip to the other regions is short, all routes are equally
// urgent.
func assignLocal(plans []localPlan, near bool) bool {
	capacity, uniform := 0.0, true
	var open []*localPlan
	for i := range plans {
		p := &plans[i]
		p.target = p.current
		capacity += p.work * p.Capacity
		uniform = uniform && p.Capacity == p.Uniform
		switch {
		case p.Fixed:
			capacity -= p.work
		case p.work < minWorkShare:
			capacity -= p.work * p.current
		default:
			open = append(open, p)
		}
	}
	if len(open) == 0 {
		return false
	}
	if uniform && (near || plans[0].Target == plans[len(plans)-1].Target) {
		for _, p := range open {
			p.target = p.Uniform
		}
		return true
	}
	for len(open) > 0 {
		end := slices.IndexFunc(open, func(p *localPlan) bool { return p.Target != open[0].Target && !near })
		if end < 0 {
			end = len(open)
		}
		// Routes with equal targets get the same share of their objects.
		work := 0.0
		for _, p := range open[:end] {
			work += p.work
		}
		share := max(0, min(1, capacity/work))
		for _, p := range open[:end] {
			p.target = p.state.round(share)
			// With the rounded share, the remainder for a route with a tenth of the work would differ
			// between proxies by more than half of its objects.
			capacity -= p.work * share
		}
		open = open[end:]
	}
	return true
}

// round returns the target for an ideal share: the previous one if that is near enough.
func (r *localRoute) round(share float64) float64 {
	if !r.hasTarget || math.Abs(share-float64(r.target)/localSteps) > localTolerance {
		r.target, r.hasTarget = int(math.Round(share*localSteps)), true
	}
	return float64(r.target) / localSteps
}
