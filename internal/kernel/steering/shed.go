package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

const (
	// maxShareForSoonRetry is the share refused up to which a refused caller is told to come
	// back within the target: more than half of those that do are taken then, and
	// answered in time. At more it had better wait for the overload to end.
	maxShareForSoonRetry = 0.5
)

// queueRoom is how many requests may wait at a server for the last of them to be
// answered within the route's target, if the work is warm.
func (k *Kernel) queueRoom(req *ActiveRequest, svc *service, s *server) float64 {
	work := svc.workOf(req.Route).typical(req.Route)
	if work <= 0 {
		return 0
	}
	left := req.Route.Target - s.rtt.roundTrip - work
	return float64(s.usableSlots()) * max(1, float64(left)/float64(work))
}

// recordQueue takes in how many requests wait at a server: for the server itself, and for
// all of its service in the region.
func (k *Kernel) recordQueue(now time.Time, req *ActiveRequest, s *server, waiting float64) {
	svc := k.service(s.Service)
	p := svc.queuePressure[s.region]
	if p == nil {
		p = &admission.Pressure{}
		svc.queuePressure[s.region] = p
	}
	room := k.queueRoom(req, svc, s)
	p.Heard(now, waiting, room)
	s.queuePressure.Heard(now, waiting, room)
	s.pressureAt = now
}

// inferQueue infers the queue of a server that does not tell its load from how much
// longer an answer took than the least of late for the route, which is the work
// alone. Work varies too, so an answer within the target is no sign of overload,
// and neither is a late one if the work alone takes longer than the target.
// Answers on a first run are left out: how long these take varies more.
func (k *Kernel) inferQueue(now time.Time, req *ActiveRequest, s *server, work time.Duration) {
	if !req.warm && req.Object != "" || work <= 0 || !k.isEnabled(MechanismQueueInference) {
		return
	}
	alone := s.unqueuedWorkOf(req.Route.Name)
	alone.observe(true, work, req.Route.Target)
	waiting := max(0, float64(work-alone.warm)/float64(alone.warm)*float64(s.Slots))
	if waiting >= 1 && req.Object != "" {
		// Without an object, the choice reckons with others' requests by itself,
		// and does better without a guess.
		s.recordLoad(now, s.Slots, int(waiting))
	}
	left := req.Route.Target - s.rtt.roundTrip
	switch {
	case alone.warm > left:
		return
	case work <= left:
		waiting = min(waiting, admission.ShedFrom*k.queueRoom(req, k.service(s.Service), s))
	}
	k.recordQueue(now, req, s, waiting)
}

// shouldShed decides whether a request that has not been sent yet is refused because
// of the queues where its server is: the load is more than the servers can do,
// its answer would come late, and all those behind it later. Routes that are
// more urgent than another one of the service are spared until half of all are
// refused.
func (k *Kernel) shouldShed(now time.Time, req *ActiveRequest, svc *service, s *server) bool {
	p := svc.queuePressure[s.region]
	if p == nil || !k.placer.shedsLoad || !k.isEnabled(MechanismLoadShedding) {
		return false
	}
	// A proxy of a few hears of each server often enough to go by its own queue;
	// one of many by that of the region's servers together.
	if now.Sub(s.pressureAt) < loadReportTTL {
		p = &s.queuePressure
	}
	req.queuePressure = p.Level(now)
	share := p.Shed(now)
	if req.priority() < k.lowestPriority[svc.name] {
		share = max(0, 2*share-1)
	}
	if share == 0 || k.random.Float64() >= share {
		return false
	}
	if share <= maxShareForSoonRetry {
		work := s.rtt.roundTrip + svc.workOf(req.Route).typical(req.Route)
		req.maxRetryAfter = max(0, (req.Route.Target-now.Sub(req.startedAt)-work)/2)
	}
	return true
}

// lowestPriorities finds the priority of the least urgent requests of each service. That of
// an account goes before that of a route.
func lowestPriorities(t *routing.Table) map[string]int {
	least := make(map[string]int)
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
			least[part.Service] = max(least[part.Service], priority)
		}
	}
	return least
}
