package steering

import (
	"time"
)

// learn takes in what an attempt tells of the server.
func (k *Kernel) learn(now time.Time, f *ActiveRequest, s *server, a Attempt, took time.Duration) {
	s.domain.heard(a.RoundTrip)
	k.hearSignal(now, f, s, a)
	if a.Loaded {
		s.report(now, a.Running, a.Waiting)
		k.feel(now, f, s, float64(a.Waiting))
	}
	g := k.service(s.Service)
	k.suspect(now, f, s, g, a, took)
	outs := s.outs
	switch a.Result {
	case ResultAnswered:
		s.answeredAt = now
		k.learnWork(now, f, s, g, took)
		if !a.Loaded {
			k.guess(now, f, s, took-s.domain.roundTrip)
		}
	case ResultRefused:
		s.hasRefused(now, a)
	case ResultWrongServer:
		// Its address belongs to another server now: this one is gone, unless it
		// has started again meanwhile.
		if !s.gone {
			k.remove(now, s.id)
		}
	case ResultUnreachable:
		s.hasFailed(now, true)
	case ResultServerError, ResultConnectionLost, ResultTimeout:
		s.hasFailed(now, false)
	}
	if !k.on(MechanismOutlierDetection) {
		s.outs, s.outUntil = 0, now
	}
	if s.outs > outs {
		k.config.Observe(Event{Kind: EventServerEjected, Server: s.id, Service: s.Service, Result: a.Result, Duration: s.outUntil.Sub(now)})
	}
}

func (k *Kernel) learnWork(now time.Time, f *ActiveRequest, s *server, g *service, took time.Duration) {
	work := took - s.domain.roundTrip
	s.succeeded(work, f.expected-s.domain.roundTrip)
	// Warm work is the least that was seen, so it needs no correction for slow
	// servers: queues inflate their speed.
	if !f.warm {
		work = time.Duration(float64(work) / max(1, s.speed))
	}
	idle := s.load(now) < float64(s.Slots)
	model := g.workOn(f.Route)
	if work > 0 && (idle || f.warm && model.longer(work)) {
		model.heard(f.warm, work, f.Route.Target)
	}
	s.handled(f.Object, now)
	g.knows(now, s, f.Object)
}
