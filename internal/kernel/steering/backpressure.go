package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
)

const (
	// maxBackpressureWait limits the retry delay given to callers because of backpressure from
	// servers.
	maxBackpressureWait = time.Minute
)

// recordBackpressure records the backpressure signal of an attempt.
func (k *Kernel) recordBackpressure(now time.Time, req *ActiveRequest, s *server, a Attempt) {
	complete := a.Result == ResultResponded || a.Result == ResultServerError || a.Result == ResultRejected
	if state := k.backpressure.RecordSignal(now, req.sentAt, s.startID, a.Signal, complete); state != nil {
		s.backpressure = state
	}
}

// serverPermits reports whether the backpressure of a server allows a request of this proxy now. It
// is checked for every request that is sent.
func (k *Kernel) serverPermits(now time.Time, s *server) bool {
	if s.backpressure == nil {
		return true
	}
	if s.backpressure.Paused(now) {
		return false
	}
	window, limited := s.backpressure.RequestsPerWindow(now)
	return !limited || s.backpressure.HasRoom(now, k.backpressureShare(now, s, window))
}

// serverPermitsAt returns when the backpressure of a server allows a request of this proxy again,
// or false if that is unknown until the server signals otherwise.
func (k *Kernel) serverPermitsAt(now time.Time, s *server) (time.Time, bool) {
	at := laterOf(now, s.backpressure.PausedUntil())
	window, limited := s.backpressure.RequestsPerWindow(now)
	if !limited {
		return at, true
	}
	room := s.backpressure.NextAllowed(now, k.backpressureShare(now, s, window))
	return laterOf(at, room), !room.IsZero()
}

// ServerStillAccepts reports whether a request may still be sent to the server chosen for it. The
// server may have paused, left, restarted or been evacuated while the connection was being opened.
// isHedge selects the attempt that was begun by BeginHedge.
func (k *Kernel) ServerStillAccepts(now time.Time, req *ActiveRequest, isHedge bool) bool {
	s := req.server
	if isHedge && req.hedge != nil {
		s = req.hedge.server
	}
	return s.isEligible() && !k.evacuatedDomains[s.Domain] && !s.backpressure.Paused(now)
}

// backpressureShare returns this proxy's share of the requests that a server accepts in a window. A
// proxy that has just started knows too few others and gets no share. Neither does one that is not
// registered yet: the others divide the whole among themselves.
func (k *Kernel) backpressureShare(now time.Time, s *server, window int) int {
	if now.Sub(k.config.Joined) < startupGrace || !k.listing.wasRegistered(now) {
		return 0
	}
	return k.rankAt(s).Share(window)
}

// backpressureWait returns how long until the backpressure of a server that could otherwise take
// the request allows one again, or false if there is no such server.
func (k *Kernel) backpressureWait(now time.Time, req *ActiveRequest, svc *service) (wait time.Duration, found bool) {
	for _, s := range svc.eligible {
		if s.backpressure == nil || !req.isCandidate(now, s) {
			continue
		}
		permittedAt, known := k.serverPermitsAt(now, s)
		if !known {
			permittedAt = now.Add(maxRetryAfter)
		}
		if remaining := permittedAt.Sub(now); !found || remaining < wait {
			wait, found = remaining, true
		}
	}
	return wait, found
}

// noServerReason returns ReasonBackpressure instead of ReasonNoServer if only backpressure keeps
// the request from all servers.
func (k *Kernel) noServerReason(now time.Time, req *ActiveRequest, svc *service, reason Reason) Reason {
	if reason != ReasonNoServer {
		return reason
	}
	wait, found := k.backpressureWait(now, req, svc)
	if !found {
		return reason
	}
	req.backpressureWait = wait
	return ReasonBackpressure
}

// retryAfterBackpressure returns the retry delay for a caller rejected because of backpressure. It
// is randomized so that callers do not all return when the first server takes requests again.
func (k *Kernel) retryAfterBackpressure(req *ActiveRequest) time.Duration {
	wait := max(minRetryAfter, min(req.backpressureWait, maxBackpressureWait))
	return wait + time.Duration(k.random.Int64N(int64(min(wait, maxRetryAfter))))
}

// BackpressureReports lists the reports on servers that are due to peers, or all of them for a peer
// that knows nothing yet.
func (k *Kernel) BackpressureReports(now time.Time, all bool) []backpressure.Report {
	return k.backpressure.Reports(now, all)
}

// ApplyBackpressureReports merges the reports of a peer.
func (k *Kernel) ApplyBackpressureReports(now time.Time, list []backpressure.Report) {
	if len(list) == 0 {
		return
	}
	k.record(Call{Method: callBackpressureReports, At: now, BackpressureReports: list})
	if !k.backpressure.Merge(now, list) {
		return
	}
	for _, s := range k.servers {
		if state := k.backpressure.State(s.startID); state != nil {
			s.backpressure = state
		}
	}
}

// observeBackpressure reports a new signal of a server. If the server drains, the eligible servers
// of its service are listed again.
func (k *Kernel) observeBackpressure(change backpressure.Event) {
	e := Event{Kind: EventKind(change.Type), Limit: change.Limit, Duration: change.Pause}
	for _, s := range k.servers {
		if s.startID == change.Server {
			e.Server, e.Service = s.id, s.Service
			k.service(s.Service).stale = k.service(s.Service).stale || change.Type == backpressure.EventDraining
		}
	}
	k.config.Observe(e)
}
