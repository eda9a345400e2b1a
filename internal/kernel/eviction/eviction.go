// Package eviction decides which connection of a client is closed when a proxy has no room for another
// one, or no memory for the next request. It answers crowds of clients that open connections and send
// or read little or nothing on them: without it they shut out all others until they time out. It does
// no I/O and reads no clock.
package eviction

import (
	"time"
)

const (
	// Closing is a connection that was answered for the last time and waits for its client's close.
	Closing Activity = iota
	// AwaitingHead is a connection whose first request is not read yet.
	AwaitingHead
	// ReadingBody is a connection whose client sends the body of a request.
	ReadingBody
	// Writing is a connection whose client receives a response.
	Writing
	// Idle is a connection whose requests were all answered.
	Idle
	// Serving is a connection with a request that was read and not answered. It is never closed.
	Serving
)

const (
	// MinProgress is how many bytes count as progress. Single bytes keep no connection open.
	MinProgress = 4 << 10
)

var (
	// ForwardPatience is that of connections with requests of callers and calls of peers. A lost packet of a head is
	// rarely sent again within it, but a crowd that opens connections all the time leaves room for
	// others only if it is short. Of idle connections, the one that is idle for the longest is closed in any
	// case: a crowd that sends one request after the other would keep its connections for good.
	ForwardPatience = Patience{Head: 100 * time.Millisecond, Body: 250 * time.Millisecond}
	// ShortPatience is that of connections whose requests are few, and mostly small.
	ShortPatience = Patience{Head: 5 * time.Millisecond, Body: 50 * time.Millisecond}
)

type (
	// Activity is what a connection is doing.
	Activity int32

	// Connection is a connection that may be closed.
	Connection struct {
		Activity Activity
		// ProgressAt is when the client last made progress in this activity, or when it began.
		ProgressAt time.Time
	}

	// Patience is how long a client may make no progress before its connection counts as stalled: with a
	// head, with each MinProgress bytes of a body or response, and with the next request.
	Patience struct {
		Head, Body, Idle time.Duration
	}

	// Purpose is what a connection is closed for.
	Purpose int

	// Choice collects the best connection to close. The zero value is not usable.
	Choice[C any] struct {
		now      time.Time
		patience Patience
		purpose  Purpose
		best     C
		found    bool
		overdue  time.Duration
		idle     bool
		// next is how long it takes until another connection may be closed.
		next time.Duration
	}
)

const (
	// ForConnection frees a connection.
	ForConnection Purpose = iota
	// ForHead frees memory of heads.
	ForHead
	// ForBody frees memory of bodies.
	ForBody
)

// NewChoice returns an empty choice.
func NewChoice[C any](now time.Time, patience Patience, p Purpose) *Choice[C] {
	return &Choice[C]{now: now, patience: patience, purpose: p, next: min(patience.Head, patience.Body, patience.Idle)}
}

// Consider compares a connection with the best one so far: one whose client is overdue goes before an
// idle one, and of two the one that is overdue for longer.
func (c *Choice[C]) Consider(candidate C, state Connection) {
	patience, ok := c.patienceFor(state.Activity)
	if !ok {
		return
	}
	overdue, isIdle := c.now.Sub(state.ProgressAt)-patience, state.Activity == Idle
	if overdue < 0 {
		c.next = min(c.next, -overdue)
		return
	}
	if !c.found || c.idle && !isIdle || c.idle == isIdle && overdue > c.overdue {
		c.best, c.found, c.overdue, c.idle = candidate, true, overdue, isIdle
	}
}

// Found reports whether there is a connection to close.
func (c *Choice[C]) Found() bool { return c.found }

// Best returns the connection to close. If there is none, it returns how long it takes until there may
// be one.
func (c *Choice[C]) Best() (best C, found bool, next time.Duration) { return c.best, c.found, c.next }

// patienceFor returns how long a client may make no progress, or false if closing its connection does not
// serve the purpose.
func (c *Choice[C]) patienceFor(a Activity) (time.Duration, bool) {
	switch a {
	case Closing:
		return 0, c.purpose == ForConnection
	case AwaitingHead:
		return c.patience.Head, c.purpose != ForBody
	case ReadingBody, Writing:
		// Both hold the head of their request, and memory for bodies.
		return c.patience.Body, true
	case Idle:
		return c.patience.Idle, c.purpose == ForConnection
	}
	return 0, false
}
