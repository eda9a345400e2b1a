package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

const (
	// outAfter failures in a row take a server out. One may be chance.
	outAfter = 3
	outBase  = 400 * time.Millisecond
	outMost  = 5 * time.Second
	// refusalsMost refusals in a row, with no answer between, take a server out.
	// One that refuses 0.45 of its requests by chance comes to that in one of 600
	// rows; it knows its objects and is worth asking again.
	refusalsMost = 8
	// fullPause is how long a server that was full is passed over.
	fullPause = 60 * time.Millisecond
	// reportHorizon is the age at which a load report says nothing any more.
	reportHorizon = 500 * time.Millisecond
	// speedWeight is the weight of one sample in a server's speed.
	speedWeight = 0.2
	// speedMost bounds the speed factor, so that a slow server is tried again.
	speedMost = 20.0
	// failWeight is the weight of one outcome in a server's share of failures.
	failWeight = 0.15
	// nearby is the assumed round trip to a failure domain of the own region
	// before one was measured, faraway that to another region.
	nearby  = 2 * time.Millisecond
	faraway = 60 * time.Millisecond
)

type (
	// server is what this proxy knows of one backend server.
	server struct {
		routing.Server
		id string
		// start names this start of the server in the quarantine.
		start quarantine.InstanceID
		// asks is what this start of the server asks of its senders, nil for nothing.
		asks   *backpressure.ServerState
		region string
		// regionBit stands for the region in sets of them.
		regionBit regionSet
		gone      bool
		domain    *distance
		// unreadable is set while its entry names no server.
		unreadable bool
		// absentUntil is set while the server's registration is missing.
		absentUntil time.Time

		// answeredAt is when it last answered.
		answeredAt time.Time
		inFlight   int
		// turns counts the requests sent so far.
		turns int
		// reported is the server's last word on all it runs and queues, and
		// ownThen this proxy's part of it.
		reported   int
		ownThen    int
		reportedAt time.Time
		// limit is how many it should run at once, as its gate said; zero for all its
		// slots. ownerLost is until when nobody asks its gate.
		limit     int
		ownerLost time.Time
		// pressure is how long its queue was of late, as heard at feltAt.
		pressure admission.QueuePressure
		feltAt   time.Time
		// alone is its work without a queue, by route, if it does not tell its
		// load.
		alone map[string]*workModel

		// speed is observed over expected time of answers. What is expected takes
		// it into account, so it settles at the square root of how many times as
		// long the server takes. That is meant: a home that is slow keeps its
		// objects unless it is very slow, for each would run cold elsewhere.
		speed    float64
		failed   float64
		failures int
		// refusals in a row, with no answer between.
		refusals int
		outs     int
		outUntil time.Time

		coldUntil time.Time
		cold      admission.ColdStartLimiter
		// objects handled lately, with the time of the last answer.
		objects map[string]time.Time
	}

	// distance is the measured round trip to a failure domain.
	distance struct {
		roundTrip time.Duration
		measured  bool
	}
)

func (k *Kernel) distanceTo(domain string) *distance {
	d := k.distance[domain]
	if d == nil {
		d = &distance{roundTrip: faraway}
		if k.config.RegionOf[domain] == k.config.Region {
			d.roundTrip = nearby
		}
		k.distance[domain] = d
	}
	return d
}

// heard takes in a measured round trip. The smallest counts: what lies above
// it is queueing, and a figure that rose with the load would move homes.
func (d *distance) heard(roundTrip time.Duration) {
	if roundTrip <= 0 || d.measured && roundTrip >= d.roundTrip {
		return
	}
	d.roundTrip, d.measured = roundTrip, true
}

func (s *server) isCold(now time.Time) bool { return now.Before(s.coldUntil) }

// takesRequests reports whether the server is registered and does not leave, by its
// registration or by its own word.
func (s *server) takesRequests() bool {
	return !s.gone && !s.Draining && !s.unreadable && !s.asks.Draining()
}

// startedAfter reports whether a registration is of an earlier start.
func (s *server) startedAfter(r routing.Server) bool {
	return !r.Started.IsZero() && r.Started.Before(s.Started)
}

// usable reports whether a request may go there now.
func (s *server) usable(now time.Time) bool {
	if now.Before(s.outUntil) || !s.takesRequests() {
		return false
	}
	// A server that was out gets one request at a time until one succeeds.
	return s.outs == 0 || s.inFlight == 0
}

// sound reports whether the server is neither out after failures nor pausing.
func (s *server) sound(now time.Time) bool { return s.outs == 0 && !s.asks.Paused(now) }

// places is how many requests it should run at once.
func (s *server) places() int {
	if s.limit > 0 && s.limit < s.Slots {
		return s.limit
	}
	return s.Slots
}

// load estimates how many requests the server runs and queues, over all
// proxies.
func (s *server) load(now time.Time) float64 {
	age := now.Sub(s.reportedAt)
	if age >= reportHorizon {
		return float64(s.inFlight)
	}
	others := max(0, float64(s.reported-s.ownThen))
	return float64(s.inFlight) + others*(1-float64(age)/float64(reportHorizon))
}

// loadAge is how old the server's last word on its load is, negative for none.
func (s *server) loadAge(now time.Time) time.Duration {
	if s.reportedAt.IsZero() {
		return -1
	}
	return now.Sub(s.reportedAt)
}

// report takes in the server's own word on its load.
func (s *server) report(now time.Time, running, waiting int) {
	s.reported = running + waiting
	s.ownThen = s.inFlight
	s.reportedAt = now
}

// aloneOn is the server's work without a queue on the requests of a route.
func (s *server) aloneOn(route string) *workModel {
	w := s.alone[route]
	if w == nil {
		if s.alone == nil {
			s.alone = make(map[string]*workModel)
		}
		w = &workModel{}
		s.alone[route] = w
	}
	return w
}

// succeeded notes an answer that took a time against the one expected.
func (s *server) succeeded(took, expected time.Duration) {
	s.failures, s.refusals, s.outs = 0, 0, 0
	s.failed -= failWeight * s.failed
	if expected <= 0 {
		return
	}
	ratio := min(speedMost, float64(took)/float64(expected))
	s.speed += speedWeight * (ratio - s.speed)
}

// hasRefused notes a refusal. One while slots were free says nothing of the
// next request; any other has the server passed over for a moment. After many in
// a row the server is out: it would look idle for good and draw the requests of
// its objects, each of which would be refused or cost a repeat. Those of a server
// that tells that all its slots are busy don't count: it is at work.
func (s *server) hasRefused(now time.Time, a Attempt) {
	free := a.refusedThoughFree(s.Slots)
	if busy := a.Loaded && a.Running >= s.Slots; !busy {
		s.refusals++
	}
	switch {
	case s.refusals >= refusalsMost:
		s.hasFailed(now, true)
	case !free:
		s.outUntil = later(s.outUntil, now.Add(fullPause))
	}
}

// hasFailed notes a failed attempt and takes the server out after several in
// a row, or at once if nothing listens there.
func (s *server) hasFailed(now time.Time, hard bool) {
	s.failed += failWeight * (1 - s.failed)
	s.failures++
	if s.failures < outAfter && !hard {
		return
	}
	s.outUntil = now.Add(min(outBase<<min(s.outs, 6), outMost))
	s.outs++
}
