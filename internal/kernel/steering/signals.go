package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
)

const (
	// maxBackpressureWait bounds the time that a caller is told to stay away since servers have
	// asked for less.
	maxBackpressureWait = time.Minute
)

// recordBackpressure takes in what an attempt tells of what the server asks of its senders.
func (k *Kernel) recordBackpressure(now time.Time, req *ActiveRequest, s *server, a Attempt) {
	whole := a.Result == ResultAnswered || a.Result == ResultServerError || a.Result == ResultRefused
	if w := k.backpressure.Heard(now, req.sentAt, s.startID, a.Signal, whole); w != nil {
		s.backpressure = w
	}
}

// serverPermits reports whether a server takes a request of this proxy now, by what it asks of
// its senders. Every way to a server asks this.
func (k *Kernel) serverPermits(now time.Time, s *server) bool {
	if s.backpressure == nil {
		return true
	}
	if s.backpressure.Paused(now) {
		return false
	}
	window, limited := s.backpressure.Window(now)
	return !limited || s.backpressure.Room(now, k.backpressureShare(now, s, window))
}

// serverPermitsAt is when a server takes a request of this proxy again; false if that is not
// known before it says otherwise.
func (k *Kernel) serverPermitsAt(now time.Time, s *server) (time.Time, bool) {
	at := laterOf(now, s.backpressure.PausedUntil())
	window, limited := s.backpressure.Window(now)
	if !limited {
		return at, true
	}
	room := s.backpressure.RoomAt(now, k.backpressureShare(now, s, window))
	return laterOf(at, room), !room.IsZero()
}

// ServerStillAccepts reports whether a request may still go to the server that it was placed at:
// while a connection was opened, the server may have asked for a pause or begun to leave.
func (k *Kernel) ServerStillAccepts(now time.Time, req *ActiveRequest) bool {
	return !req.server.backpressure.Paused(now) && !req.server.backpressure.Leaving()
}

// backpressureShare is this proxy's part of the requests that a server takes in a window. One that
// has just started knows too few others, and has no part.
func (k *Kernel) backpressureShare(now time.Time, s *server, window int) int {
	if now.Sub(k.config.Joined) < startupGrace {
		return 0
	}
	return k.rankAt(s).Share(window)
}

// backpressureWait is how long until a server that might take the request else takes more; false
// if there is none.
func (k *Kernel) backpressureWait(now time.Time, req *ActiveRequest, svc *service) (wait time.Duration, found bool) {
	for _, s := range svc.eligible {
		if s.backpressure == nil || !req.isCandidate(now, s) {
			continue
		}
		at, known := k.serverPermitsAt(now, s)
		if !known {
			at = now.Add(maxRetryAfter)
		}
		if left := at.Sub(now); !found || left < wait {
			wait, found = left, true
		}
	}
	return wait, found
}

// noServerReason tells whether a request finds no server since those that there are have
// asked for less.
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

// retryAfterBackpressure is when a caller may come back that servers would not take, spread so that not
// all return as the first of them takes more.
func (k *Kernel) retryAfterBackpressure(req *ActiveRequest) time.Duration {
	wait := max(minRetryAfter, min(req.backpressureWait, maxBackpressureWait))
	return wait + time.Duration(k.random.Int64N(int64(min(wait, maxRetryAfter))))
}

// BackpressureReports lists what peers should hear of what servers ask; all of it for one that knows
// nothing yet.
func (k *Kernel) BackpressureReports(now time.Time, all bool) []backpressure.Report {
	return k.backpressure.Reports(now, all)
}

// ApplyBackpressureReports takes in what a peer knows.
func (k *Kernel) ApplyBackpressureReports(now time.Time, list []backpressure.Report) {
	if len(list) == 0 {
		return
	}
	k.record(Call{Method: callBackpressureReports, At: now, BackpressureReports: list})
	if !k.backpressure.Hear(now, list) {
		return
	}
	for _, s := range k.servers {
		if w := k.backpressure.Of(s.startID); w != nil {
			s.backpressure = w
		}
	}
}

// observeBackpressure tells of what a server asks from now on, and lists the servers of its
// service anew.
func (k *Kernel) observeBackpressure(n backpressure.Notice) {
	e := Event{Kind: EventKind(n.Change), Limit: n.Limit, Duration: n.Pause}
	for _, s := range k.servers {
		if s.startID == n.Server {
			e.Server, e.Service = s.id, s.Service
			k.service(s.Service).stale = k.service(s.Service).stale || n.Change == backpressure.ChangeLeaving
		}
	}
	k.config.Observe(e)
}
