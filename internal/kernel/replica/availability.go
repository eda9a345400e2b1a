package replica

import (
	"time"
)

const (
	// minOutage is the shortest time without the store in which entries may have expired. A
	// single failed call, such as an interrupted watch, is no outage: the next call succeeds
	// within a fraction of a second.
	minOutage = time.Second
	// tentativeFor is how long after the end of an outage a missing entry may be one that expired
	// because of it. Live servers register again within about two seconds, and the news of it may
	// wait for the pause of a watch.
	tentativeFor = 3 * time.Second
	// absenceGracePeriod is how long a server is kept whose registration may have expired, by a proxy
	// that knows of an outage only from others, or after the store's return from an older copy.
	absenceGracePeriod = 2200 * time.Millisecond
)

type (
	// Availability tracks when the store was available. Entries expire during an outage although
	// their servers are alive, so that for a moment all of them may be missing. A proxy that cannot
	// reach the store does not know whether others can, so proxies tell each other when the store
	// responded to one of them: an outage is a time in which it responded to none.
	Availability struct {
		// failing is set since failingSince while this proxy's calls fail.
		failing      bool
		failingSince time.Time
		// returnedAt is when the store responded to this proxy again after it had not for minOutage or
		// longer.
		returnedAt time.Time
		// own is the latest period in which this proxy read the store without an interruption of
		// minOutage. known is the same for all proxies together, as far as this one was told.
		own, known period
		// activeAt is when this proxy last ran, resumedAt when it last did after a standstill.
		activeAt, resumedAt time.Time
	}

	// Span is a period in which the store was available, by the ages of its beginning and end.
	Span struct {
		// Known is unset if no such period is known.
		Known        bool
		Began, Ended time.Duration
	}

	period struct {
		since, until time.Time
	}
)

// extend adds a period. If minOutage or more is between the two, only the later one remains.
func (p *period) extend(other period) {
	switch {
	case p.until.IsZero() || other.since.Sub(p.until) >= minOutage:
		*p = other
	case p.since.Sub(other.until) >= minOutage:
		// The other one is earlier and says nothing of this one.
	default:
		if other.since.Before(p.since) {
			p.since = other.since
		}
		p.until = latest(p.until, other.until)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// RecordFailure records that a call of this proxy, begun at start, has failed and the store hasn't
// responded since a time. It reports whether this begins a series of failures.
func (a *Availability) RecordFailure(start, since time.Time) bool {
	if a.failing {
		return false
	}
	a.failing, a.failingSince = true, since
	if start.Sub(a.own.until) < minOutage {
		// The store was available until the call failed.
		a.own.until = latest(a.own.until, since)
	}
	return true
}

// RecordSuccess records a response of the store to this proxy and reports whether it ends a series
// of failures. It extends the known period, but begins none: a proxy may make calls so rarely that the
// store was unavailable between two of them.
func (a *Availability) RecordSuccess(now time.Time) bool {
	ended := a.failing
	if ended && now.Sub(a.failingSince) >= minOutage {
		a.returnedAt = now
	}
	a.failing = false
	if a.covers(now) {
		a.known.until = latest(a.known.until, now)
	}
	return ended
}

// RecordRead records that a watch or read which began at start has returned the store's state. The
// store was available all the while, unless other calls failed.
func (a *Availability) RecordRead(start, now time.Time) {
	start = latest(start, latest(a.returnedAt, a.resumedAt))
	a.own.extend(period{start, now})
	a.known.extend(a.own)
}

// Learn adds what a peer knows. Messages that may have waited while this proxy stood still are
// ignored, since their ages are wrong.
func (a *Availability) Learn(now time.Time, s Span) {
	a.RecordActivity(now)
	if s.Known && now.Sub(a.resumedAt) >= minOutage {
		a.known.extend(period{now.Add(-s.Began), now.Add(-s.Ended)})
	}
}

// RecordActivity records that this proxy is running. It must be called several times a second: after
// a longer standstill, what the proxy knew and what it reads next may be out of date.
func (a *Availability) RecordActivity(now time.Time) {
	if !a.activeAt.IsZero() && now.Sub(a.activeAt) >= minOutage {
		a.RecordStandstill(now)
	}
	a.activeAt = now
}

// RecordStandstill records that this proxy has stood still until now.
func (a *Availability) RecordStandstill(now time.Time) {
	a.own, a.known, a.resumedAt = period{}, period{}, now
}

// Span returns what this proxy knows, for peers.
func (a *Availability) Span(now time.Time) Span {
	if a.known.until.IsZero() {
		return Span{}
	}
	return Span{Known: true, Began: now.Sub(a.known.since), Ended: now.Sub(a.known.until)}
}

// RemovalsTentative reports whether entries that this proxy finds missing may be back soon.
func (a *Availability) RemovalsTentative(now time.Time) bool {
	return a.hadOutage(now) && !a.Refutes(now, now)
}

// hadOutage reports whether the store has not responded to this proxy for minOutage, now or lately.
func (a *Availability) hadOutage(now time.Time) bool {
	if a.failing {
		return now.Sub(a.failingSince) >= minOutage
	}
	return now.Before(a.returnedAt.Add(tentativeFor))
}

// Refutes reports whether an entry that was found missing at a time cannot have expired in an outage:
// the store was available until then, and the last outage, if any, is long over.
func (a *Availability) Refutes(now, foundAt time.Time) bool {
	return a.covers(foundAt) && !now.Before(a.known.since.Add(tentativeFor))
}

// covers reports whether the known period includes a time or ends shortly before it.
func (a *Availability) covers(at time.Time) bool {
	return !a.known.until.IsZero() && at.Sub(a.known.until) < minOutage
}

// keepUntil returns until when a server is kept whose entry is found missing now. A proxy that had no
// outage itself may be told of one by mistake, and waits for less long.
func (a *Availability) keepUntil(now time.Time) time.Time {
	until := now.Add(absenceGracePeriod)
	if end := a.known.since.Add(tentativeFor); a.covers(now) && (a.hadOutage(now) || end.Before(until)) {
		return end
	}
	return until
}
