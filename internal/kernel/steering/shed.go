package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

const (
	// maxShedRatioForEarlyRetry is the largest share of rejected requests at which rejected callers
	// get a retry delay within the target. Up to it, more than half of the retries are accepted and
	// get a response in time. Above it, callers should wait for the overload to end.
	maxShedRatioForEarlyRetry = 0.5
)

// queueRoom returns how many requests may wait at a server so that the last of them still gets a
// response within the route's target, assuming that the server is warm for them.
func (k *Kernel) queueRoom(now time.Time, req *ActiveRequest, svc *service, s *server) float64 {
	work := svc.workOf(req.Route).typical(req.Route)
	if work <= 0 {
		return 0
	}
	available := req.Route.Target - s.rtt.roundTrip - work
	return float64(s.usableSlots(now)) * max(1, float64(available)/float64(work))
}

// recordQueue records the number of requests that wait at a server, for the server itself and for
// all servers of its service in the region.
func (k *Kernel) recordQueue(now time.Time, req *ActiveRequest, s *server, waiting float64) {
	svc := k.service(s.Service)
	p := svc.queuePressure[s.region]
	if p == nil {
		p = &admission.QueuePressure{}
		svc.queuePressure[s.region] = p
	}
	room := k.queueRoom(now, req, svc, s)
	p.Observe(now, waiting, room)
	s.use()
	s.queuePressure.Observe(now, waiting, room)
	s.pressureAt = now
}

// inferQueue infers the queue of a server that does not report its load. It compares the duration
// of a response with the recent minimum for the route, which is the duration of the work alone.
// Durations vary without a queue, too, so a response within the target is no evidence of overload.
// Neither is a late one if the work alone takes longer than the target. Cold runs are ignored,
// because their durations vary more.
func (k *Kernel) inferQueue(now time.Time, req *ActiveRequest, s *server, work time.Duration) {
	if !req.warm && req.Object != "" || work <= 0 || !k.isEnabled(MechanismQueueInference) {
		return
	}
	unqueued := s.unqueuedWorkOf(req.Route.Name)
	unqueued.observe(true, work, req.Route.Target)
	waiting := max(0, float64(work-unqueued.warm)/float64(unqueued.warm)*float64(s.Slots))
	if waiting >= 1 && req.Object != "" {
		// Without an object, the choice itself accounts for requests of other proxies and does
		// better without an inferred load.
		s.recordLoad(now, s.Slots, int(waiting))
	}
	available := req.Route.Target - s.rtt.roundTrip
	switch {
	case unqueued.warm > available:
		return
	case work <= available:
		waiting = min(waiting, admission.ShedThreshold*k.queueRoom(now, req, k.service(s.Service), s))
	}
	k.recordQueue(now, req, s, waiting)
}

// shouldShed decides whether to reject a request that has not been sent yet because of the queues
// at its server: the load exceeds the capacity, its response would be late, and those of all later
// requests would be later still. Routes that are more urgent than others of the service are exempt
// until half of all requests are rejected.
func (k *Kernel) shouldShed(now time.Time, req *ActiveRequest, svc *service, s *server) bool {
	p := svc.queuePressure[s.region]
	if p == nil || !k.placer.shedsLoad || !k.isEnabled(MechanismLoadShedding) {
		return false
	}
	// If there are only a few proxies, each receives load reports from each server often enough to
	// rely on that server's queue. If there are many, the queues of all servers in the region are
	// used together.
	if now.Sub(s.pressureAt) < loadReportTTL {
		p = &s.queuePressure
	}
	req.queuePressure = p.Level(now)
	share := p.ShedRatio(now)
	if req.priority() < k.lowestPriority[svc.name] {
		share = max(0, 2*share-1)
	}
	if share == 0 || k.random.Float64() >= share {
		return false
	}
	if share <= maxShedRatioForEarlyRetry {
		work := s.rtt.roundTrip + svc.workOf(req.Route).typical(req.Route)
		req.maxRetryAfter = max(0, (req.Route.Target-now.Sub(req.startedAt)-work)/2)
	}
	return true
}

// lowestPriorities returns the priority of the least urgent requests of each service. The priority
// of an account overrides that of a route.
func lowestPriorities(t *routing.Table) map[string]int {
	lowest := make(map[string]int)
	accounts := t.Accounts.All()
	for _, r := range t.Routes {
		priority := r.Priority
		for i, a := range accounts {
			if r.Public || a.Priority == nil {
				priority = max(priority, r.Priority)
			} else if priority = max(priority, *a.Priority); i == 0 {
				priority = *a.Priority
			}
		}
		for _, part := range r.Parts {
			lowest[part.Service] = max(lowest[part.Service], priority)
		}
	}
	return lowest
}
