package steering

import (
	"time"
)

// learnFromAttempt takes in what an attempt tells of the server.
func (k *Kernel) learnFromAttempt(now time.Time, f *ActiveRequest, s *server, a Attempt, took time.Duration) {
	s.rtt.observe(a.RoundTrip)
	k.recordBackpressure(now, f, s, a)
	if a.Loaded {
		s.recordLoad(now, a.Running, a.Waiting)
		k.recordQueue(now, f, s, float64(a.Waiting))
	}
	g := k.service(s.Service)
	k.detectSlowdown(now, f, s, g, a, took)
	outs := s.ejections
	switch a.Result {
	case ResultAnswered:
		s.answeredAt = now
		k.learnWork(now, f, s, g, took)
		if !a.Loaded {
			k.inferQueue(now, f, s, took-s.rtt.roundTrip)
		}
	case ResultRefused:
		s.recordRefusal(now, a)
	case ResultWrongServer:
		// Its address belongs to another server now: this one is gone, unless it
		// has started again meanwhile.
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
	if s.ejections > outs {
		k.config.Observe(Event{Kind: EventServerEjected, Server: s.id, Service: s.Service, Result: a.Result, Duration: s.ejectedUntil.Sub(now)})
	}
}

func (k *Kernel) learnWork(now time.Time, f *ActiveRequest, s *server, g *service, took time.Duration) {
	work := took - s.rtt.roundTrip
	s.recordSuccess(work, f.expected-s.rtt.roundTrip)
	// Warm work is the least that was seen, so it needs no correction for slow
	// servers: queues inflate their speed.
	if !f.warm {
		work = time.Duration(float64(work) / max(1, s.slowdown))
	}
	idle := s.load(now) < float64(s.Slots)
	model := g.workOf(f.Route)
	if work > 0 && (idle || f.warm && model.exceeds(work)) {
		model.observe(f.warm, work, f.Route.Target)
	}
	s.recordObject(f.Object, now)
	g.markWarm(now, s, f.Object)
}
