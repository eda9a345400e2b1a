package steering

import (
	"time"
)

// learnFromAttempt updates the state of the server from the result of an attempt.
func (k *Kernel) learnFromAttempt(now time.Time, req *ActiveRequest, s *server, a Attempt, elapsed time.Duration) {
	s.rtt.observe(a.RoundTrip)
	k.recordBackpressure(now, req, s, a)
	if a.Loaded {
		s.recordLoad(now, a.Running, a.Waiting)
		s.reported.Record(now, a.loadReport())
		k.recordQueue(now, req, s, a.Running, float64(a.Waiting))
	}
	svc := k.service(s.Service)
	k.detectSlowdown(now, req, s, svc, a, elapsed)
	ejections := s.ejections
	if a.Result == ResultUnreachable || a.Result == ResultConnectionLost || a.Result == ResultTimeout {
		s.use()
		s.silentAt = now
	}
	switch a.Result {
	case ResultResponded:
		s.respondedAt, s.silentAt = now, time.Time{}
		k.learnWork(now, req, s, svc, a, elapsed)
		if !a.Rejected && !req.isHedge {
			k.learnRunTime(req, &req.sentAttempt, a.loadReport().Factor(), elapsed)
		}
		if !a.Loaded {
			k.inferQueue(now, req, s, elapsed-s.rtt.roundTrip)
		}
	case ResultRejected:
		s.recordRejection(now, a)
	case ResultWrongServer:
		// The address belongs to another server now, so this one is gone, unless it has restarted
		// in the meantime.
		if !s.removed {
			k.remove(now, s.id)
		}
	case ResultUnreachable:
		s.recordFailure(now, true)
	case ResultServerError, ResultConnectionLost, ResultTimeout:
		s.recordFailure(now, false)
	}
	if !k.isEnabled(MechanismOutlierDetection) {
		s.ejections, s.ejectedUntil = 0, now
	}
	if s.ejections > ejections {
		k.config.Observe(Event{Kind: EventServerEjected, Server: s.id, Service: s.Service, Result: a.Result, Duration: s.ejectedUntil.Sub(now)})
	}
}

func (k *Kernel) learnWork(now time.Time, req *ActiveRequest, s *server, svc *service, a Attempt, elapsed time.Duration) {
	work := elapsed - s.rtt.roundTrip
	s.recordSuccess(req.usualTime(work, a))
	// The warm estimate follows the shortest times seen, so it needs no correction for slow
	// servers, whose slowdown includes queueing.
	if !req.warm {
		work = time.Duration(float64(work) / max(1, s.slowdown))
	}
	model := svc.workOf(req.Route)
	work = req.atUsualSpeed(work, model.expected(req.warm, req.Route.Target), a)
	idle := s.load(now) < float64(s.currentSlots(now))
	if work > 0 && (idle || req.warm && model.exceeds(work)) {
		model.observe(req.warm, work, req.Route.Target)
	}
	s.recordObject(req.objectKey(), now)
	svc.markWarm(now, s, req.objectKey())
}
