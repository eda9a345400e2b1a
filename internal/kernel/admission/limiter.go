package admission

import (
	"slices"
	"time"
)

const (
	// Granted requests may be sent now.
	Granted Verdict = iota + 1
	// Queued requests wait for a slot.
	Queued
	// Denied requests would get a slot too late for any response.
	Denied
)

const (
	// maxWaiting bounds the queue of one limiter. A server processes only a few requests at a time,
	// and none waits longer than the timeout of its route.
	maxWaiting = 1000
)

type (
	// Verdict is the decision on a request for a slot.
	Verdict uint8

	// Ticket requests a slot to run one request on a server.
	Ticket struct {
		// ID identifies the ticket among those of the proxy From.
		ID   uint64
		From string
		// Priority orders tickets, 0 first.
		Priority int
		// Good is the latest start at which the response still meets its target, Last the latest
		// start for any response.
		Good, Last time.Time
		// Until is when the slot expires if it is not released.
		Until time.Time
	}

	// Limiter is a concurrency limiter with a queue for one server. It holds requests back so that
	// no more than a limit run on the server at once. It protects servers that slow down when they
	// are nearly full: after a short burst such a server would keep all its slots busy from its own
	// queue, remain at its lowest throughput and never catch up. All requests for the server pass
	// through the same limiter, so the limit holds across all proxies.
	Limiter struct {
		running []Ticket
		waiting []Ticket
	}

	// Grant informs a proxy of the decision on its ticket.
	Grant struct {
		Ticket
		Verdict Verdict
		// Rank is the number of requests running on the server, including this one.
		Rank int
	}
)

// Acquire requests a slot. limit is the number of requests that may run at once, serviceTime how
// long one request runs.
func (l *Limiter) Acquire(now time.Time, t Ticket, limit int, serviceTime time.Duration) Grant {
	if grant, found := l.lookup(t); found {
		return grant
	}
	if len(l.waiting) == 0 && len(l.running) < limit {
		return l.admit(t)
	}
	wait := time.Duration(float64(serviceTime) * float64(l.waitingAhead(now, t)+1) / float64(max(1, limit)))
	if len(l.waiting) >= maxWaiting || now.Add(wait).After(t.Last) {
		return Grant{Ticket: t, Verdict: Denied}
	}
	l.waiting = append(l.waiting, t)
	return Grant{Ticket: t, Verdict: Queued}
}

// lookup replies to a ticket that is already known: its proxy has not received the reply, or checks
// whether the limiter still exists.
func (l *Limiter) lookup(t Ticket) (Grant, bool) {
	same := func(o Ticket) bool { return o.From == t.From && o.ID == t.ID }
	if i := slices.IndexFunc(l.running, same); i >= 0 {
		return Grant{Ticket: t, Verdict: Granted, Rank: i + 1}, true
	}
	if slices.ContainsFunc(l.waiting, same) {
		return Grant{Ticket: t, Verdict: Queued}, true
	}
	return Grant{}, false
}

// waitingAhead counts the waiting tickets that get a slot before one that arrives now.
func (l *Limiter) waitingAhead(now time.Time, t Ticket) int {
	n := 0
	for _, other := range l.waiting {
		if !now.After(other.Last) && (other.Priority <= t.Priority || now.After(t.Good)) {
			n++
		}
	}
	return n
}

// Release frees the slot of a ticket, or removes it from the queue.
func (l *Limiter) Release(from string, id uint64) {
	same := func(t Ticket) bool { return t.From == from && t.ID == id }
	l.running = slices.DeleteFunc(l.running, same)
	l.waiting = slices.DeleteFunc(l.waiting, same)
}

// Dispatch grants free slots to waiting tickets and denies those that have waited too long.
// Tickets that can still meet their target go first, by priority and then in order of arrival. The
// others follow, since their responses are late in any case.
func (l *Limiter) Dispatch(now time.Time, limit int) []Grant {
	l.running = slices.DeleteFunc(l.running, func(t Ticket) bool { return now.After(t.Until) })
	var grants []Grant
	l.waiting = slices.DeleteFunc(l.waiting, func(t Ticket) bool {
		expired := now.After(t.Last)
		if expired {
			grants = append(grants, Grant{Ticket: t, Verdict: Denied})
		}
		return expired
	})
	for len(l.running) < limit && len(l.waiting) > 0 {
		i := l.nextWaiting(now)
		t := l.waiting[i]
		l.waiting = slices.Delete(l.waiting, i, i+1)
		grants = append(grants, l.admit(t))
	}
	return grants
}

// nextWaiting returns the index of the waiting ticket to be granted next.
func (l *Limiter) nextWaiting(now time.Time) int {
	best := 0
	for i, t := range l.waiting[1:] {
		bestTicket := l.waiting[best]
		inTime, bestInTime := !now.After(t.Good), !now.After(bestTicket.Good)
		if inTime && !bestInTime || inTime == bestInTime && t.Priority < bestTicket.Priority {
			best = i + 1
		}
	}
	return best
}

func (l *Limiter) admit(t Ticket) Grant {
	l.running = append(l.running, t)
	return Grant{Ticket: t, Verdict: Granted, Rank: len(l.running)}
}

// Load returns the numbers of running and waiting requests.
func (l *Limiter) Load() (running, waiting int) { return len(l.running), len(l.waiting) }
