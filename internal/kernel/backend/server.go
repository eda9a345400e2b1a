// Package backend selects the backend server for a request. It contains the state that one proxy
// keeps about each server, the registry of balancers, and the budget that keeps retries from
// amplifying an overload.
package backend

import (
	"net/netip"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
)

const (
	// ejectionThreshold is the number of consecutive failures that eject a server.
	ejectionThreshold = 3
	// baseEjectionTime is how long the first ejection lasts. Each further one lasts twice as long
	// as the one before, up to maxEjectionTime.
	baseEjectionTime = 500 * time.Millisecond
	maxEjectionTime  = 10 * time.Second
	// shedBackoff is how long a server that shed a request is skipped, if others can take the
	// request. It is short because the server sheds requests only while its slots are full.
	shedBackoff = 25 * time.Millisecond
	// minWarmShare is the share of its slots that a cold server starts with.
	minWarmShare = 0.1
	// latencySampleWeight is the weight of a new sample in the moving average of the latency.
	latencySampleWeight = 0.1
)

const (
	// Completed means that a complete response was received.
	Completed Result = iota + 1
	// Rejected means that the server shed the request before running it.
	Rejected
	// Unreachable means that no byte of the request was sent.
	Unreachable
	// Interrupted means that the connection failed after the first byte was sent.
	Interrupted
	// Abandoned means that the proxy gave up the attempt.
	Abandoned
)

type (
	// Result is how an attempt ended.
	Result uint8

	// Health is the result of a health probe.
	Health struct {
		OK bool
		// ConnectionRefused is set if nothing listens on the server's address.
		ConnectionRefused bool
		Report            *Report
	}

	// Report is the load that a server reports about itself. It lags and may be wrong, so it only
	// influences the choice among servers and never permits a request.
	Report struct {
		Running  int
		Draining bool
		// Signal is the backpressure signal of the server.
		Signal backpressure.Signal
		At     time.Time
	}

	// Server is the state that this proxy keeps about a backend server.
	Server struct {
		Name        string
		Address     netip.AddrPort
		Region      string
		Domain      string
		Slots       int
		Connections int

		inFlight        int
		otherLoad       float64
		reportedAt      time.Time
		latency         time.Duration
		failures        int
		ejections       int
		unusableUntil   time.Time
		reportsDraining bool
		drained         bool
		listed          bool
		warmupStart     time.Time
		slowStart       time.Duration
		nextProbe       time.Time
	}
)

// NewServer creates the state of a configured server about which nothing is known yet.
func NewServer(s operator.Server, slowStart time.Duration) *Server {
	return &Server{
		Name:        s.Name,
		Address:     s.Address,
		Region:      s.Region,
		Domain:      s.Domain,
		Slots:       s.Slots,
		Connections: s.MaxConnections,
		slowStart:   slowStart,
		listed:      true,
	}
}

// InFlight returns the number of this proxy's requests on the server.
func (s *Server) InFlight() int { return s.inFlight }

// Latency returns the moving average of the time to a complete response.
func (s *Server) Latency() time.Duration { return s.latency }

// SetDrained sets whether a drain in the bundle applies to the server.
func (s *Server) SetDrained(drained bool) { s.drained = drained }

// SetListed sets whether the VM list shows the server's VM as live. A server that is listed again
// starts cold.
func (s *Server) SetListed(listed bool, now time.Time) {
	if listed && !s.listed {
		s.warmupStart = now
	}
	s.listed = listed
}

// Draining reports whether the server must get no new requests, because of a drain in the bundle,
// the VM list or its own report.
func (s *Server) Draining() bool {
	return s.drained || !s.listed || s.reportsDraining
}

// ReportsDraining reports whether the server has announced that it is draining. This holds until a
// health probe finds otherwise, since the server keeps its name across restarts.
func (s *Server) ReportsDraining() bool { return s.reportsDraining }

// Usable reports whether the server may be chosen.
func (s *Server) Usable(now time.Time) bool {
	return !s.Draining() && !now.Before(s.unusableUntil)
}

// Start counts a request as in flight.
func (s *Server) Start() { s.inFlight++ }

// End removes a request from the count in flight and updates the server's state with its result.
func (s *Server) End(r Result, elapsed time.Duration, now time.Time) {
	s.inFlight--
	switch r {
	case Completed:
		s.recordSuccess(elapsed, now)
	case Rejected:
		s.failures = 0
		s.unusableUntil = now.Add(shedBackoff)
	case Unreachable, Interrupted:
		s.recordFailure(now)
	}
}

func (s *Server) recordSuccess(elapsed time.Duration, now time.Time) {
	if s.ejections > 0 {
		s.warmupStart = now
	}
	s.failures = 0
	s.ejections = 0
	if s.latency == 0 {
		s.latency = elapsed
		return
	}
	s.latency += time.Duration(latencySampleWeight * float64(elapsed-s.latency))
}

// recordFailure ejects the server after several consecutive failures, for a time that doubles with
// each ejection. The first request after the ejection serves as a probe: a single further failure
// ejects the server again.
func (s *Server) recordFailure(now time.Time) {
	s.failures++
	if s.failures < ejectionThreshold {
		return
	}
	ejectionTime := min(baseEjectionTime<<min(s.ejections, 8), maxEjectionTime)
	s.unusableUntil = now.Add(ejectionTime)
	s.ejections++
	s.failures = ejectionThreshold - 1
}

// Ejected reports whether failures have ejected the server and no success has reinstated it yet.
func (s *Server) Ejected() bool { return s.ejections > 0 }

// ApplyReport updates the state with a load report.
func (s *Server) ApplyReport(r Report) {
	if r.Draining {
		s.reportsDraining = true
	}
	if r.At.Before(s.reportedAt) {
		return
	}
	s.reportedAt = r.At
	s.otherLoad = max(0, float64(r.Running-s.inFlight))
}

// estimatedLoad estimates how many requests the server runs. The load from other proxies is known
// only from the last report, whose weight decreases linearly with age.
func (s *Server) estimatedLoad(now time.Time, maxAge time.Duration) float64 {
	age := now.Sub(s.reportedAt)
	if age >= maxAge {
		return float64(s.inFlight)
	}
	return float64(s.inFlight) + s.otherLoad*(1-float64(age)/float64(maxAge))
}

// effectiveSlots returns the number of slots that can be used now, which is reduced while the
// server is cold.
func (s *Server) effectiveSlots(now time.Time) float64 {
	if s.warmupStart.IsZero() {
		return float64(s.Slots)
	}
	age := now.Sub(s.warmupStart)
	if age >= s.slowStart {
		s.warmupStart = time.Time{}
		return float64(s.Slots)
	}
	share := max(minWarmShare, float64(age)/float64(s.slowStart))
	return float64(s.Slots) * share
}

// ProbeDue reports whether a health probe should be sent now, and if so schedules the next one.
func (s *Server) ProbeDue(now time.Time, interval time.Duration) bool {
	if now.Before(s.nextProbe) {
		return false
	}
	s.nextProbe = now.Add(interval)
	return true
}

// ApplyProbe updates the state with the result of a health probe. A successful probe reinstates an
// ejected server, and a draining one that no longer reports that it drains; both then start cold. A
// failed probe counts like a failed request.
func (s *Server) ApplyProbe(h Health, now time.Time) {
	if !h.OK {
		if !s.reportsDraining {
			s.recordFailure(now)
		}
		return
	}
	if s.reportsDraining && (h.Report == nil || !h.Report.Draining) {
		s.reportsDraining = false
		s.warmupStart = now
	}
	if s.ejections > 0 {
		s.warmupStart = now
		s.unusableUntil = now
	}
	s.failures = 0
	s.ejections = 0
}

// Reconfigure applies the configuration of a new bundle and keeps the observed state.
func (s *Server) Reconfigure(c operator.Server, slowStart time.Duration) {
	s.Region = c.Region
	s.Domain = c.Domain
	s.Slots = c.Slots
	s.Connections = c.MaxConnections
	s.slowStart = slowStart
}

// ProvesNotRun reports whether an attempt with the result has certainly not run.
func (r Result) ProvesNotRun() bool { return r == Rejected || r == Unreachable }
