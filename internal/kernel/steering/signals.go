package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
)

const (
	// withheldMost bounds the time that a caller is told to stay away since servers have
	// asked for less.
	withheldMost = time.Minute
)

// hearSignal takes in what an attempt tells of what the server asks of its senders.
func (k *Kernel) hearSignal(now time.Time, f *ActiveRequest, s *server, a Attempt) {
	whole := a.Result == ResultAnswered || a.Result == ResultServerError || a.Result == ResultRefused
	if w := k.signals.Heard(now, f.sentAt, s.start, a.Signal, whole); w != nil {
		s.asks = w
	}
}

// permits reports whether a server takes a request of this proxy now, by what it asks of
// its senders. Every way to a server asks this.
func (k *Kernel) permits(now time.Time, s *server) bool {
	if s.asks == nil {
		return true
	}
	if s.asks.Paused(now) {
		return false
	}
	window, limited := s.asks.Window(now)
	return !limited || s.asks.Room(now, k.limitShare(now, s, window))
}

// permittedAt is when a server takes a request of this proxy again; false if that is not
// known before it says otherwise.
func (k *Kernel) permittedAt(now time.Time, s *server) (time.Time, bool) {
	at := later(now, s.asks.PausedUntil())
	window, limited := s.asks.Window(now)
	if !limited {
		return at, true
	}
	room := s.asks.RoomAt(now, k.limitShare(now, s, window))
	return later(at, room), !room.IsZero()
}

// ServerStillAccepts reports whether a request may still go to the server that it was placed at:
// while a connection was opened, the server may have asked for a pause or begun to leave.
func (k *Kernel) ServerStillAccepts(now time.Time, f *ActiveRequest) bool {
	return !f.server.asks.Paused(now) && !f.server.asks.Leaving()
}

// limitShare is this proxy's part of the requests that a server takes in a window. One that
// has just started knows too few others, and has no part.
func (k *Kernel) limitShare(now time.Time, s *server, window int) int {
	if now.Sub(k.config.Joined) < joinFor {
		return 0
	}
	return k.rankAt(s).Share(window)
}

// withheld is how long until a server that might take the request else takes more; false
// if there is none.
func (k *Kernel) withheld(now time.Time, f *ActiveRequest, g *service) (wait time.Duration, found bool) {
	for _, s := range g.servers {
		if s.asks == nil || !f.mayUse(now, s) {
			continue
		}
		at, known := k.permittedAt(now, s)
		if !known {
			at = now.Add(comeBackMost)
		}
		if left := at.Sub(now); !found || left < wait {
			wait, found = left, true
		}
	}
	return wait, found
}

// withheldReason tells whether a request finds no server since those that there are have
// asked for less.
func (k *Kernel) withheldReason(now time.Time, f *ActiveRequest, g *service, reason Reason) Reason {
	if reason != ReasonNoServer {
		return reason
	}
	wait, found := k.withheld(now, f, g)
	if !found {
		return reason
	}
	f.withheld = wait
	return ReasonBackpressure
}

// afterWait is when a caller may come back that servers would not take, spread so that not
// all return as the first of them takes more.
func (k *Kernel) afterWait(f *ActiveRequest) time.Duration {
	wait := max(comeBackLeast, min(f.withheld, withheldMost))
	return wait + time.Duration(k.random.Int64N(int64(min(wait, comeBackMost))))
}

// BackpressureReports lists what peers should hear of what servers ask; all of it for one that knows
// nothing yet.
func (k *Kernel) BackpressureReports(now time.Time, all bool) []backpressure.Report {
	return k.signals.Reports(now, all)
}

// ApplyBackpressureReports takes in what a peer knows.
func (k *Kernel) ApplyBackpressureReports(now time.Time, list []backpressure.Report) {
	if len(list) == 0 {
		return
	}
	k.record(Call{Method: callSignals, At: now, BackpressureReports: list})
	if !k.signals.Hear(now, list) {
		return
	}
	for _, s := range k.servers {
		if w := k.signals.Of(s.start); w != nil {
			s.asks = w
		}
	}
}

// observeSignal tells of what a server asks from now on, and lists the servers of its
// service anew.
func (k *Kernel) observeSignal(n backpressure.Notice) {
	e := Event{Kind: EventKind(n.Change), Limit: n.Limit, Duration: n.Pause}
	for _, s := range k.servers {
		if s.start == n.Server {
			e.Server, e.Service = s.id, s.Service
			k.service(s.Service).stale = k.service(s.Service).stale || n.Change == backpressure.ChangeLeaving
		}
	}
	k.config.Observe(e)
}
