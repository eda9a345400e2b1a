// Package backend decides which backend server gets a request: the state an
// own proxy knows of each server, the registry of balancers, and the budget
// that keeps retries from amplifying an overload.
package backend

import (
	"net/netip"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
)

const (
	// ejectionThreshold consecutive failures take a server out for a while.
	ejectionThreshold = 3
	baseEjectionTime  = 500 * time.Millisecond
	maxEjectionTime   = 10 * time.Second
	// shedBackoff is how long a server that shed is passed over, if others can
	// take the request. Short: it refuses because its slots are full now.
	shedBackoff = 25 * time.Millisecond
	// minWarmShare is the share of its slots that a cold server starts with.
	minWarmShare = 0.1
	// latencySampleWeight is the weight of one sample in the moving average.
	latencySampleWeight = 0.1
)

const (
	// Answered means that a whole answer arrived.
	Answered Result = iota + 1
	// Rejected means that the server shed the request before running it.
	Rejected
	// Unreachable means that no byte of the request was sent.
	Unreachable
	// Interrupted means that the exchange broke after the first byte was sent.
	Interrupted
	// Abandoned means that the proxy gave the attempt up.
	Abandoned
)

type (
	// Result is how one attempt ended.
	Result uint8

	// Health is what a probe found.
	Health struct {
		OK bool
		// ConnectionRefused is set if nothing listens there.
		ConnectionRefused bool
		Report            *Report
	}

	// Report is a server's own word on its load. It lags and may be wrong, so
	// it only ever weighs a choice and never permits a request.
	Report struct {
		Running int
		Leaving bool
		// Signal is what it asks of its senders.
		Signal backpressure.Signal
		At     time.Time
	}

	// Server is what this proxy knows of one backend server.
	Server struct {
		Name        string
		Address     netip.AddrPort
		Region      string
		Domain      string
		Slots       int
		Connections int

		inFlight       int
		otherLoad      float64
		reportedAt     time.Time
		latency        time.Duration
		failures       int
		ejections      int
		unusableUntil  time.Time
		reportsLeaving bool
		drained        bool
		listed         bool
		warmupStart    time.Time
		slowStart      time.Duration
		nextProbe      time.Time
	}
)

// NewServer begins with no knowledge of a configured server.
func NewServer(s operator.Server, slowStart time.Duration) *Server {
	return &Server{
		Name:        s.Name,
		Address:     s.Address,
		Region:      s.Region,
		Domain:      s.Domain,
		Slots:       s.Slots,
		Connections: s.Connections,
		slowStart:   slowStart,
		listed:      true,
	}
}

// InFlight is the number of this proxy's requests on the server.
func (s *Server) InFlight() int { return s.inFlight }

// Latency is the moving average of whole answers' times.
func (s *Server) Latency() time.Duration { return s.latency }

// SetDrained notes whether a drain of the bundle holds for the server.
func (s *Server) SetDrained(drained bool) { s.drained = drained }

// SetListed notes whether the VM list shows the server's VM as live. A server
// that comes back begins cold.
func (s *Server) SetListed(listed bool, now time.Time) {
	if listed && !s.listed {
		s.warmupStart = now
	}
	s.listed = listed
}

// Leaving reports whether the server must get no new work: a drain planned by
// bundle, the VM list, or its own word, whichever comes first.
func (s *Server) Leaving() bool {
	return s.drained || !s.listed || s.reportsLeaving
}

// ReportsLeaving reports whether the server has said that it is leaving. The word stands
// until its health says otherwise: it has one name for all its starts.
func (s *Server) ReportsLeaving() bool { return s.reportsLeaving }

// Usable reports whether the server may be chosen.
func (s *Server) Usable(now time.Time) bool {
	return !s.Leaving() && !now.Before(s.unusableUntil)
}

// Start counts a request in.
func (s *Server) Start() { s.inFlight++ }

// End counts a request out and learns from how it went.
func (s *Server) End(r Result, took time.Duration, now time.Time) {
	s.inFlight--
	switch r {
	case Answered:
		s.recordSuccess(took, now)
	case Rejected:
		s.failures = 0
		s.unusableUntil = now.Add(shedBackoff)
	case Unreachable, Interrupted:
		s.recordFailure(now)
	}
}

func (s *Server) recordSuccess(took time.Duration, now time.Time) {
	if s.ejections > 0 {
		s.warmupStart = now
	}
	s.failures = 0
	s.ejections = 0
	if s.latency == 0 {
		s.latency = took
		return
	}
	s.latency += time.Duration(latencySampleWeight * float64(took-s.latency))
}

// recordFailure takes a server out after several failures in a row, for a time that
// doubles. The first request after that is the probe: one failure more puts
// the server out again at once.
func (s *Server) recordFailure(now time.Time) {
	s.failures++
	if s.failures < ejectionThreshold {
		return
	}
	pause := min(baseEjectionTime<<min(s.ejections, 8), maxEjectionTime)
	s.unusableUntil = now.Add(pause)
	s.ejections++
	s.failures = ejectionThreshold - 1
}

// Ejected reports whether failures have taken the server out and no answer has
// brought it back yet.
func (s *Server) Ejected() bool { return s.ejections > 0 }

// ApplyReport takes in a load report.
func (s *Server) ApplyReport(r Report) {
	if r.Leaving {
		s.reportsLeaving = true
	}
	if r.At.Before(s.reportedAt) {
		return
	}
	s.reportedAt = r.At
	s.otherLoad = max(0, float64(r.Running-s.inFlight))
}

// estimatedLoad estimates how many requests the server runs. What other proxies add is
// only known from the last report, whose weight fades with age.
func (s *Server) estimatedLoad(now time.Time, horizon time.Duration) float64 {
	age := now.Sub(s.reportedAt)
	if age >= horizon {
		return float64(s.inFlight)
	}
	return float64(s.inFlight) + s.otherLoad*(1-float64(age)/float64(horizon))
}

// effectiveSlots is the number of slots that may be counted on, less while cold.
func (s *Server) effectiveSlots(now time.Time) float64 {
	if s.warmupStart.IsZero() {
		return float64(s.Slots)
	}
	age := now.Sub(s.warmupStart)
	if age >= s.slowStart {
		s.warmupStart = time.Time{}
		return float64(s.Slots)
	}
	warm := max(minWarmShare, float64(age)/float64(s.slowStart))
	return float64(s.Slots) * warm
}

// ProbeDue reports whether a health probe should be sent now, and counts it
// as sent.
func (s *Server) ProbeDue(now time.Time, every time.Duration) bool {
	if now.Before(s.nextProbe) {
		return false
	}
	s.nextProbe = now.Add(every)
	return true
}

// ApplyProbe takes in a probe's result. A good one brings a server back that was
// taken out, cold, or that was leaving and no longer says so; a bad one counts like a
// failed request.
func (s *Server) ApplyProbe(h Health, now time.Time) {
	if !h.OK {
		if !s.reportsLeaving {
			s.recordFailure(now)
		}
		return
	}
	if s.reportsLeaving && (h.Report == nil || !h.Report.Leaving) {
		s.reportsLeaving = false
		s.warmupStart = now
	}
	if s.ejections > 0 {
		s.warmupStart = now
		s.unusableUntil = now
	}
	s.failures = 0
	s.ejections = 0
}

// Reconfigure takes in a new bundle's figures and keeps what was learnt.
func (s *Server) Reconfigure(c operator.Server, slowStart time.Duration) {
	s.Region = c.Region
	s.Domain = c.Domain
	s.Slots = c.Slots
	s.Connections = c.Connections
	s.slowStart = slowStart
}
