package admission

import (
	"slices"
	"time"
)

const (
	// Granted tickets may be sent now.
	Granted Verdict = iota + 1
	// Queued tickets wait for a place.
	Queued
	// Denied tickets would get a place too late for any answer.
	Denied
)

const (
	// maxWaiting bounds the tickets that wait at one gate. A server works on a few
	// at a time, and none waits for longer than its route's time-out.
	maxWaiting = 1000
)

type (
	// Verdict is what becomes of a ticket.
	Verdict uint8

	// Ticket asks for a place at a server.
	Ticket struct {
		// ID names the ticket among those of the proxy From.
		ID   uint64
		From string
		// Priority ranks tickets, 0 first.
		Priority int
		// Good is the latest start for an answer in time, Last that for any answer.
		Good, Last time.Time
		// Until is when the place is free again if nobody gives it back.
		Until time.Time
	}

	// Limiter is the queue before one server: it holds requests back so that no more
	// than a limit run there at once. The load that it answers: a server that slows
	// down when nearly full keeps all its slots full from its own queue as soon as
	// more than it can do comes for a moment, runs at its worst point from then on,
	// and so never catches up. All requests for the server pass one gate, so the
	// limit holds over all proxies.
	Limiter struct {
		running []Ticket
		waiting []Ticket
	}

	// Grant tells the proxy of a ticket what has become of it.
	Grant struct {
		Ticket
		Verdict Verdict
		// Rank is how many run at the server with it.
		Rank int
	}
)

// Acquire asks for a place. limit is how many may run at once, work how long one takes.
func (g *Limiter) Acquire(now time.Time, t Ticket, limit int, serviceTime time.Duration) Grant {
	if grant, known := g.lookup(t); known {
		return grant
	}
	if len(g.waiting) == 0 && len(g.running) < limit {
		return g.admit(t)
	}
	wait := time.Duration(float64(serviceTime) * float64(g.waitingAhead(now, t)+1) / float64(max(1, limit)))
	if len(g.waiting) >= maxWaiting || now.Add(wait).After(t.Last) {
		return Grant{Ticket: t, Verdict: Denied}
	}
	g.waiting = append(g.waiting, t)
	return Grant{Ticket: t, Verdict: Queued}
}

// lookup answers a ticket that has asked before: its proxy has not heard the answer,
// or wants to know whether the gate is still there.
func (g *Limiter) lookup(t Ticket) (Grant, bool) {
	same := func(o Ticket) bool { return o.From == t.From && o.ID == t.ID }
	if i := slices.IndexFunc(g.running, same); i >= 0 {
		return Grant{Ticket: t, Verdict: Granted, Rank: i + 1}, true
	}
	if slices.ContainsFunc(g.waiting, same) {
		return Grant{Ticket: t, Verdict: Queued}, true
	}
	return Grant{}, false
}

// waitingAhead counts the waiting tickets that get a place before one that comes now.
func (g *Limiter) waitingAhead(now time.Time, t Ticket) int {
	n := 0
	for _, w := range g.waiting {
		if !now.After(w.Last) && (w.Priority <= t.Priority || now.After(t.Good)) {
			n++
		}
	}
	return n
}

// Release frees the place of a ticket, or ends its wait.
func (g *Limiter) Release(from string, id uint64) {
	same := func(t Ticket) bool { return t.From == from && t.ID == id }
	g.running = slices.DeleteFunc(g.running, same)
	g.waiting = slices.DeleteFunc(g.waiting, same)
}

// Dispatch gives free places to those that wait and denies those that have waited too
// long. Of those that can still be answered in time the most urgent goes first, then
// the one that came first; the others go after all of them, for their answers are
// late in any case.
func (g *Limiter) Dispatch(now time.Time, limit int) []Grant {
	g.running = slices.DeleteFunc(g.running, func(t Ticket) bool { return now.After(t.Until) })
	var grants []Grant
	g.waiting = slices.DeleteFunc(g.waiting, func(t Ticket) bool {
		expired := now.After(t.Last)
		if expired {
			grants = append(grants, Grant{Ticket: t, Verdict: Denied})
		}
		return expired
	})
	for len(g.running) < limit && len(g.waiting) > 0 {
		i := g.nextWaiting(now)
		t := g.waiting[i]
		g.waiting = slices.Delete(g.waiting, i, i+1)
		grants = append(grants, g.admit(t))
	}
	return grants
}

// nextWaiting finds the waiting ticket that goes next.
func (g *Limiter) nextWaiting(now time.Time) int {
	best := 0
	for i, t := range g.waiting[1:] {
		b := g.waiting[best]
		inTime, bestInTime := !now.After(t.Good), !now.After(b.Good)
		if inTime && !bestInTime || inTime == bestInTime && t.Priority < b.Priority {
			best = i + 1
		}
	}
	return best
}

func (g *Limiter) admit(t Ticket) Grant {
	g.running = append(g.running, t)
	return Grant{Ticket: t, Verdict: Granted, Rank: len(g.running)}
}

// Load is how many run and how many wait.
func (g *Limiter) Load() (running, waiting int) { return len(g.running), len(g.waiting) }
