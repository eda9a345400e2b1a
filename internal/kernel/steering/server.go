package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

const (
	// ejectAfterFailures failures in a row take a server out. One may be chance.
	ejectAfterFailures = 3
	ejectionBase       = 400 * time.Millisecond
	maxEjection        = 5 * time.Second
	// ejectAfterRefusals refusals in a row, with no answer between, take a server out.
	// One that refuses 0.45 of its requests by chance comes to that in one of 600
	// rows; it knows its objects and is worth asking again.
	ejectAfterRefusals = 8
	// fullServerPause is how long a server that was full is passed over.
	fullServerPause = 60 * time.Millisecond
	// loadReportTTL is the age at which a load report says nothing any more.
	loadReportTTL = 500 * time.Millisecond
	// slowdownWeight is the weight of one sample in a server's speed.
	slowdownWeight = 0.2
	// maxSlowdown bounds the speed factor, so that a slow server is tried again.
	maxSlowdown = 20.0
	// failureWeight is the weight of one outcome in a server's share of failures.
	failureWeight = 0.15
	// defaultRegionRTT is the assumed round trip to a failure domain of the own region
	// before one was measured, faraway that to another region.
	defaultRegionRTT = 2 * time.Millisecond
	defaultRemoteRTT = 60 * time.Millisecond
)

type (
	// server is what this proxy knows of one backend server.
	server struct {
		routing.Server
		id string
		// startID names this start of the server in the quarantine.
		startID quarantine.Server
		// backpressure is what this start of the server asks of its senders, nil for nothing.
		backpressure *backpressure.State
		region       string
		// regionBit stands for the region in sets of them.
		regionBit regionSet
		removed   bool
		rtt       *rttEstimate
		// unreadable is set while its entry names no server.
		unreadable bool
		// absentUntil is set while the server's registration is missing.
		absentUntil time.Time

		// answeredAt is when it last answered.
		answeredAt time.Time
		inFlight   int
		// sentCount counts the requests sent so far.
		sentCount int
		// reportedLoad is the server's last word on all it runs and queues, and
		// inFlightAtReport this proxy's part of it.
		reportedLoad     int
		inFlightAtReport int
		reportedAt       time.Time
		// concurrencyLimit is how many it should run at once, as its gate said; zero for all its
		// slots. skipOwnerUntil is until when nobody asks its gate.
		concurrencyLimit int
		skipOwnerUntil   time.Time
		// queuePressure is how long its queue was of late, as heard at pressureAt.
		queuePressure admission.Pressure
		pressureAt    time.Time
		// unqueuedWork is its work without a queue, by route, if it does not tell its
		// load.
		unqueuedWork map[string]*workEstimate

		// slowdown is observed over expected time of answers. What is expected takes
		// it into account, so it settles at the square root of how many times as
		// long the server takes. That is meant: a home that is slow keeps its
		// objects unless it is very slow, for each would run cold elsewhere.
		slowdown      float64
		failureShare  float64
		failuresInRow int
		// refusalsInRow in a row, with no answer between.
		refusalsInRow int
		ejections     int
		ejectedUntil  time.Time

		coldUntil time.Time
		coldRate  admission.Cold
		// warmObjects handled lately, with the time of the last answer.
		warmObjects map[string]time.Time
	}

	// rttEstimate is the measured round trip to a failure domain.
	rttEstimate struct {
		roundTrip time.Duration
		measured  bool
	}
)

func (k *Kernel) rttTo(domain string) *rttEstimate {
	d := k.roundTrips[domain]
	if d == nil {
		d = &rttEstimate{roundTrip: defaultRemoteRTT}
		if k.config.RegionOf[domain] == k.config.Region {
			d.roundTrip = defaultRegionRTT
		}
		k.roundTrips[domain] = d
	}
	return d
}

// observe takes in a measured round trip. The smallest counts: what lies above
// it is queueing, and a figure that rose with the load would move homes.
func (d *rttEstimate) observe(roundTrip time.Duration) {
	if roundTrip <= 0 || d.measured && roundTrip >= d.roundTrip {
		return
	}
	d.roundTrip, d.measured = roundTrip, true
}

func (s *server) isCold(now time.Time) bool { return now.Before(s.coldUntil) }

// isEligible reports whether the server is registered and does not leave, by its
// registration or by its own word.
func (s *server) isEligible() bool {
	return !s.removed && !s.Draining && !s.unreadable && !s.backpressure.Leaving()
}

// isNewerThan reports whether a registration is of an earlier start.
func (s *server) isNewerThan(r routing.Server) bool {
	return !r.Started.IsZero() && r.Started.Before(s.Started)
}

// usable reports whether a request may go there now.
func (s *server) usable(now time.Time) bool {
	if now.Before(s.ejectedUntil) || !s.isEligible() {
		return false
	}
	// A server that was out gets one request at a time until one succeeds.
	return s.ejections == 0 || s.inFlight == 0
}

// isHealthy reports whether the server is neither out after failures nor pausing.
func (s *server) isHealthy(now time.Time) bool {
	return s.ejections == 0 && !s.backpressure.Paused(now)
}

// usableSlots is how many requests it should run at once.
func (s *server) usableSlots() int {
	if s.concurrencyLimit > 0 && s.concurrencyLimit < s.Slots {
		return s.concurrencyLimit
	}
	return s.Slots
}

// load estimates how many requests the server runs and queues, over all
// proxies.
func (s *server) load(now time.Time) float64 {
	age := now.Sub(s.reportedAt)
	if age >= loadReportTTL {
		return float64(s.inFlight)
	}
	others := max(0, float64(s.reportedLoad-s.inFlightAtReport))
	return float64(s.inFlight) + others*(1-float64(age)/float64(loadReportTTL))
}

// loadAge is how old the server's last word on its load is, negative for none.
func (s *server) loadAge(now time.Time) time.Duration {
	if s.reportedAt.IsZero() {
		return -1
	}
	return now.Sub(s.reportedAt)
}

// recordLoad takes in the server's own word on its load.
func (s *server) recordLoad(now time.Time, running, waiting int) {
	s.reportedLoad = running + waiting
	s.inFlightAtReport = s.inFlight
	s.reportedAt = now
}

// unqueuedWorkOf is the server's work without a queue on the requests of a route.
func (s *server) unqueuedWorkOf(route string) *workEstimate {
	w := s.unqueuedWork[route]
	if w == nil {
		if s.unqueuedWork == nil {
			s.unqueuedWork = make(map[string]*workEstimate)
		}
		w = &workEstimate{}
		s.unqueuedWork[route] = w
	}
	return w
}

// recordSuccess notes an answer that took a time against the one expected.
func (s *server) recordSuccess(took, expected time.Duration) {
	s.failuresInRow, s.refusalsInRow, s.ejections = 0, 0, 0
	s.failureShare -= failureWeight * s.failureShare
	if expected <= 0 {
		return
	}
	ratio := min(maxSlowdown, float64(took)/float64(expected))
	s.slowdown += slowdownWeight * (ratio - s.slowdown)
}

// recordRefusal notes a refusal. One while slots were free says nothing of the
// next request; any other has the server passed over for a moment. After many in
// a row the server is out: it would look idle for good and draw the requests of
// its objects, each of which would be refused or cost a repeat. Those of a server
// that tells that all its slots are busy don't count: it is at work.
func (s *server) recordRefusal(now time.Time, a Attempt) {
	free := a.refusedWithFreeSlots(s.Slots)
	if busy := a.Loaded && a.Running >= s.Slots; !busy {
		s.refusalsInRow++
	}
	switch {
	case s.refusalsInRow >= ejectAfterRefusals:
		s.recordFailure(now, true)
	case !free:
		s.ejectedUntil = laterOf(s.ejectedUntil, now.Add(fullServerPause))
	}
}

// recordFailure notes a failed attempt and takes the server out after several in
// a row, or at once if nothing listens there.
func (s *server) recordFailure(now time.Time, hard bool) {
	s.failureShare += failureWeight * (1 - s.failureShare)
	s.failuresInRow++
	if s.failuresInRow < ejectAfterFailures && !hard {
		return
	}
	s.ejectedUntil = now.Add(min(ejectionBase<<min(s.ejections, 6), maxEjection))
	s.ejections++
}
