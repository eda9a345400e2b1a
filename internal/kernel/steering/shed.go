package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
	"github.com/gypsumquay/gypsumquay/internal/kernel/capacity"
)

const (
	// minSlackShare is the least slack of a route, as a part of its target. The work is estimated
	// from response times, which include waits where a proxy has seen nothing but queues; an urgent
	// route must not look as if no shedding could help it.
	minSlackShare = 0.25
)

var (
	shedReasons = map[admission.ShedCause]Reason{admission.ShedOwnTarget: ReasonQueuesTooLong, admission.ShedUrgentTarget: ReasonUrgentFirst}
)

// observeArrival counts an arriving request in the demand of its service and of its account.
func (k *Kernel) observeArrival(now time.Time, req *ActiveRequest) {
	svc := k.service(req.Service)
	work := svc.workOf(req.Route).typical(req.Route)
	svc.capacity.ObserveRequest(now, capacity.Request{Route: req.Route.Name, Priority: req.priority(), Work: work, Slack: max(req.Route.Target-work, time.Duration(minSlackShare*float64(req.Route.Target)))})
	k.recordOffer(now, req, svc, work)
}

// queuedWork returns how long the requests in the queues of a service take in the mean, whatever
// their route: a short request waits for the long ones ahead of it.
func (svc *service) queuedWork(req *ActiveRequest) time.Duration {
	if work := svc.capacity.MeanWork(); work > 0 {
		return work
	}
	return svc.workOf(req.Route).typical(req.Route)
}

// recordQueue records the queue of a server, for the server itself and for all servers of its
// service in the region. The room for waiting requests assumes that the server is warm for them.
func (k *Kernel) recordQueue(now time.Time, req *ActiveRequest, s *server, running int, waiting float64) {
	svc := k.service(s.Service)
	r := capacity.Report{Running: running, Waiting: waiting, Slots: s.usableSlots(now), Room: svc.queueRoom(now, req, s)}
	svc.capacity.ObserveReport(now, s.region, r)
	s.use()
	s.queue.Observe(now, r)
}

// queueRoom returns how many requests may wait at a server so that the last of them still gets a
// response within the route's target, assuming that the server is warm for them.
func (svc *service) queueRoom(now time.Time, req *ActiveRequest, s *server) float64 {
	work := svc.workOf(req.Route).typical(req.Route)
	if work <= 0 {
		return 0
	}
	return float64(s.usableSlots(now)) * max(1, float64(req.Route.Target-s.rtt.roundTrip-work)/float64(work))
}

// shed decides whether to reject a request that has not been sent yet because of the queues at its
// server, and returns the reason.
func (k *Kernel) shed(now time.Time, req *ActiveRequest, svc *service, s *server, chosen choice) Reason {
	if !k.placer.shedsLoad || !k.isEnabled(MechanismLoadShedding) {
		return ReasonNone
	}
	r := admission.ShedRequest{
		Priority: req.priority(), LowestPriority: k.lowestPriority[svc.name], Target: req.Route.Target, RoundTrip: s.rtt.roundTrip,
		Work: svc.workOf(req.Route).typical(req.Route), Elapsed: now.Sub(req.startedAt), Wait: chosen.untilStart - s.rtt.roundTrip, FreeSlots: s.hasFreeSlots(now),
		AccountRatio: req.offer.shedRatio,
	}
	r.UrgentSlack, r.HasUrgent = svc.capacity.UrgentSlack(r.Priority)
	r.SlotsReserved = req.yieldsToUrgent && admission.ReservedSlots(s.Slots) > 0
	region, single := svc.capacity.Load(now, s.region), s.queue.Load(now, svc.capacity.MeanWork())
	req.shedding = admission.Shedder{ByPriority: k.isEnabled(MechanismPriorityShedding)}.Decide(region, single, r, k.random)
	return shedReasons[req.shedding.Cause]
}

// hasFreeSlots reports whether slots are free according to a recent report and to the requests that
// this proxy has sent since then.
func (s *server) hasFreeSlots(now time.Time) bool {
	return s.loadAge(now) >= 0 && s.loadAge(now) < loadReportTTL && s.reportedLoad+s.inFlight-s.inFlightAtReport < s.usableSlots(now)
}

// inferQueue infers the queue of a server that does not report its load from the duration of a
// response and the recent minimum for the route, which is the duration of the work alone. Cold runs
// are ignored, because their durations vary more.
func (k *Kernel) inferQueue(now time.Time, req *ActiveRequest, s *server, work time.Duration) {
	if !req.warm && req.Object != "" || work <= 0 || !k.isEnabled(MechanismQueueInference) {
		return
	}
	svc, unqueued := k.service(s.Service), s.unqueuedWorkOf(req.Route.Name)
	unqueued.observe(true, work, req.Route.Target)
	waiting := admission.InferWaiting(work, unqueued.warm, s.Slots)
	if waiting >= 1 && req.Object != "" {
		// Without an object, the choice itself accounts for requests of other proxies and does
		// better without an inferred load.
		s.recordLoad(now, s.Slots, int(waiting))
	}
	evidence, known := admission.QueueEvidence(waiting, svc.queueRoom(now, req, s), work, unqueued.warm, req.Route.Target-s.rtt.roundTrip)
	if known {
		// The queue holds requests of all routes, so the same wait means a different number of them.
		k.recordQueue(now, req, s, s.inFlight, evidence*svc.capacity.RelativeWork(req.Route.Name))
	}
}

// mustNotSpill reports whether a request must be rejected because its home is full and the other
// servers, where it would run cold, have queues. A cold run takes several times as long as a run at
// the home, so a service that is only slightly overloaded would complete fewer and fewer requests
// until nearly all of its responses are late. Rejected callers return when the home has caught up.
func (k *Kernel) mustNotSpill(now time.Time, svc *service, homes []string, best choice) bool {
	if best.server == nil || best.warm || len(homes) == 0 {
		return false
	}
	home := svc.registered[homes[0]]
	return home != nil && home.isFull(now) && !admission.TakesOver(svc.capacity.Load(now, best.server.region))
}

// isFull reports whether the server has just rejected a request because its queue was full, and may
// take the next one. This excludes a server that is paused.
func (s *server) isFull(now time.Time) bool { return s.isHealthy(now) && now.Before(s.ejectedUntil) }
