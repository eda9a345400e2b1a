package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/capacity"
	"github.com/gypsumquay/gypsumquay/internal/kernel/placing"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
	"github.com/gypsumquay/gypsumquay/internal/kernel/serverload"
)

const (
	// ejectAfterFailures is the number of consecutive failures after which a server is ejected. A
	// single one may be chance.
	ejectAfterFailures = 3
	ejectionBase       = 400 * time.Millisecond
	maxEjection        = 5 * time.Second
	// ejectAfterRejections is the number of consecutive rejections after which a server is ejected.
	// A server that rejects 0.45 of its requests at random reaches it in 1 of 600 series; it is
	// warm for its objects and worth trying again.
	ejectAfterRejections = 8
	// fullServerPause is how long a server is skipped after it rejected a request because it was
	// full.
	fullServerPause = 60 * time.Millisecond
	// loadReportTTL is the age from which a load report is ignored.
	loadReportTTL = 500 * time.Millisecond
	// slowdownWeight is the weight of one sample in a server's slowdown.
	slowdownWeight = 0.2
	// maxSlowdown caps the slowdown of a server, so that a slow server is tried again.
	maxSlowdown = 20.0
	// failureWeight is the weight of one attempt in a server's share of failures.
	failureWeight = 0.15
	// defaultRegionRTT is the assumed round-trip time to a failure domain of this region before one
	// was measured, defaultRemoteRTT that to another region.
	defaultRegionRTT = 2 * time.Millisecond
	defaultRemoteRTT = 60 * time.Millisecond
)

type (
	// server is what this proxy knows about one backend server.
	server struct {
		routing.Server
		id string
		// startID identifies this start of the server for the quarantine.
		startID quarantine.InstanceID
		// backpressure is what this start of the server announced to its clients, or nil if it
		// announced nothing.
		backpressure *backpressure.ServerState
		region       string
		// regionBit is the bit of the server's region in a regionSet.
		regionBit regionSet
		// class is the placement class of the server.
		class   string
		removed bool
		rtt     *rttEstimate
		// unreadable is set while the server's registration cannot be parsed.
		unreadable bool
		// absentUntil is set while the server's registration is missing. The server is removed at
		// this time.
		absentUntil time.Time
		coldUntil   time.Time
		// serverUse is what this proxy learned by sending requests to the server. It must only be
		// changed after a call of use.
		*serverUse
	}

	// serverUse is what a proxy learns about a server that it sends requests to. In a large fleet, a
	// proxy uses a small part of the servers that it knows.
	serverUse struct {
		// respondedAt is the time of the last response.
		respondedAt time.Time
		// silentAt is when an attempt last failed without a response, or zero if a request has
		// succeeded since.
		silentAt time.Time
		inFlight int
		// sentCount counts the requests sent so far.
		sentCount int
		// reportedLoad is the number of running and waiting requests that the server last reported,
		// and inFlightAtReport is this proxy's share of them.
		reportedLoad     int
		inFlightAtReport int
		reportedAt       time.Time
		// reported holds the slots and the speed that the server last reported.
		reported serverload.State
		// concurrencyLimit is the number of requests that the server should run at once according
		// to its limiter. Zero means all its slots. No slots are requested from the owner of the
		// limiter before skipOwnerUntil.
		concurrencyLimit int
		skipOwnerUntil   time.Time
		// queue is the recent load of the server as reported or inferred.
		queue capacity.Queue
		// unqueuedWork estimates the duration of requests without queueing by route, for a server
		// that does not report its load.
		unqueuedWork map[string]*workEstimate

		// slowdown is the ratio of observed to expected response times. The expected time already
		// includes it, so it settles at the square root of the actual factor. This is intended: a
		// slow home keeps its objects unless it is very slow, because they would run cold on any
		// other server.
		slowdown      float64
		failureShare  float64
		failuresInRow int
		// rejectionsInRow counts consecutive rejections by a server that did not report all its
		// slots in use.
		rejectionsInRow int
		ejections       int
		ejectedUntil    time.Time

		coldRate admission.ColdStartLimiter
		// warmObjects are the objects handled recently, with the time of the last response.
		warmObjects map[placing.Object]time.Time
	}

	// rttEstimate is the measured round-trip time to a failure domain.
	rttEstimate struct {
		roundTrip time.Duration
		measured  bool
	}
)

var (
	// unused is the state of all servers that this proxy has not used. It must not be changed.
	unused = newServerUse()
)

func newServerUse() *serverUse { return &serverUse{slowdown: 1} }

// use prepares the state of a server for a change.
func (s *server) use() {
	if s.serverUse == unused {
		s.serverUse = newServerUse()
	}
}

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

// observe records a measured round-trip time. Only the minimum counts: anything above it is
// queueing, and a value that rose with the load would move objects to other homes.
func (d *rttEstimate) observe(roundTrip time.Duration) {
	if roundTrip <= 0 || d.measured && roundTrip >= d.roundTrip {
		return
	}
	d.roundTrip, d.measured = roundTrip, true
}

func (s *server) isCold(now time.Time) bool { return now.Before(s.coldUntil) }

// isEligible reports whether the server is registered and not draining, according to both its
// registration and its own signals.
func (s *server) isEligible() bool {
	return !s.removed && !s.Draining && !s.unreadable && !s.backpressure.Draining()
}

// isNewerThan reports whether a registration belongs to an earlier start of the server, or is an
// earlier one of the same start: the store may return from a copy that lacks the latest ones.
func (s *server) isNewerThan(r routing.Server) bool {
	if r.Started.IsZero() {
		return false
	}
	return r.Started.Before(s.Started) || r.Started.Equal(s.Started) && r.Sequence < s.Sequence
}

// usable reports whether the server may get a request now.
func (s *server) usable(now time.Time) bool {
	if now.Before(s.ejectedUntil) || !s.isEligible() {
		return false
	}
	// A server that was ejected gets one request at a time until one succeeds.
	return s.ejections == 0 || s.inFlight == 0
}

// isHealthy reports whether the server is neither ejected nor paused.
func (s *server) isHealthy(now time.Time) bool {
	return s.ejections == 0 && !s.backpressure.Paused(now)
}

// usableSlots is the number of requests that the server should run at once.
func (s *server) usableSlots(now time.Time) int {
	slots := s.currentSlots(now)
	if s.concurrencyLimit > 0 && s.concurrencyLimit < slots {
		return s.concurrencyLimit
	}
	return slots
}

// load estimates the number of running and waiting requests of all proxies at the server.
func (s *server) load(now time.Time) float64 {
	age := now.Sub(s.reportedAt)
	if age >= loadReportTTL {
		return float64(s.inFlight)
	}
	others := max(0, float64(s.reportedLoad-s.inFlightAtReport))
	return float64(s.inFlight) + others*(1-float64(age)/float64(loadReportTTL))
}

// loadAge returns the age of the server's last load report, or a negative value if there is none.
func (s *server) loadAge(now time.Time) time.Duration {
	if s.reportedAt.IsZero() {
		return -1
	}
	return now.Sub(s.reportedAt)
}

// recordLoad records a load report of the server.
func (s *server) recordLoad(now time.Time, running, waiting int) {
	s.use()
	s.reportedLoad = running + waiting
	s.inFlightAtReport = s.inFlight
	s.reportedAt = now
}

// unqueuedWorkOf returns the estimate of the server's work without queueing for a route.
func (s *server) unqueuedWorkOf(route string) *workEstimate {
	s.use()
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

// recordSuccess records a response and compares its duration with the expected one.
func (s *server) recordSuccess(elapsed, expected time.Duration) {
	s.use()
	s.failuresInRow, s.rejectionsInRow, s.ejections = 0, 0, 0
	s.failureShare -= failureWeight * s.failureShare
	if expected <= 0 {
		return
	}
	ratio := min(maxSlowdown, float64(elapsed)/float64(expected))
	s.slowdown += slowdownWeight * (ratio - s.slowdown)
}

// recordRejection records a rejection. A rejection while slots were free says nothing about the
// next request; after any other, the server is skipped for a moment. After several consecutive
// rejections the server is ejected: it would look idle indefinitely and attract the requests of its
// objects, each of which would be rejected or cost a retry. Rejections of a server that reports all
// its slots in use are not counted, because it is working.
func (s *server) recordRejection(now time.Time, a Attempt) {
	s.use()
	slots := a.slotsOr(s.Slots)
	free := a.rejectedWithFreeSlots(slots)
	if busy := a.Loaded && a.Running >= slots; !busy {
		s.rejectionsInRow++
	}
	switch {
	case s.rejectionsInRow >= ejectAfterRejections:
		s.recordFailure(now, true)
	case !free:
		s.ejectedUntil = laterOf(s.ejectedUntil, now.Add(fullServerPause))
	}
}

// recordFailure records a failed attempt. It ejects the server after several consecutive failures,
// or immediately if the failure is hard.
func (s *server) recordFailure(now time.Time, ejectNow bool) {
	s.use()
	s.failureShare += failureWeight * (1 - s.failureShare)
	s.failuresInRow++
	if s.failuresInRow < ejectAfterFailures && !ejectNow {
		return
	}
	s.ejectedUntil = now.Add(min(ejectionBase<<min(s.ejections, 6), maxEjection))
	s.ejections++
}
