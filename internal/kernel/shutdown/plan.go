// Package shutdown plans the graceful shutdown of a proxy: which requests it still sends to servers,
// when it closes connections, and when everything has ended. It does no I/O and reads no clock.
package shutdown

import (
	"time"
)

const (
	// listenRatio is the part of the grace period, and maxListenPeriod the most of it, in which the
	// proxy accepts connections: callers use a cached lookup response until its TTL expires.
	listenRatio     = 0.5
	maxListenPeriod = 3 * time.Second
	// signalDelay is how long before the end of the listen period the proxy begins to reject what it
	// may have to interrupt. The process sees the signal later than its sender, on a busy VM much later.
	signalDelay = 200 * time.Millisecond
	// interruptMargin, and at most interruptRatio of the grace period, is how long before its end the last
	// requests are interrupted.
	interruptMargin = 500 * time.Millisecond
	interruptRatio  = 1.0 / 6
	// responseRatio is the part of that time in which their responses are written and logged. The rest is
	// reserved, so that the process exits before it is killed.
	responseRatio = 0.2
	// firstByteTimeout is how long a new connection may take to send its first byte.
	firstByteTimeout = 500 * time.Millisecond
	// repeatableMargin and onceMargin are how many times longer than expected a response may take to
	// arrive before the interruption. Callers can't repeat an interrupted request that may run only once.
	repeatableMargin = 1.25
	onceMargin       = 1.5
)

const (
	// ConnectionBusy is a connection with a request that is being read or served.
	ConnectionBusy Connection = iota
	// ConnectionNew is a connection that has not sent a request yet.
	ConnectionNew
	// ConnectionIdle is a connection whose requests have been served.
	ConnectionIdle
)

type (
	// Plan is the schedule of one shutdown.
	Plan struct {
		BegunAt time.Time     `json:"begun-at"`
		Grace   time.Duration `json:"grace"`
	}

	// Request is a request that is about to be sent to a server.
	Request struct {
		// ReceivedAt is when the proxy had read the request, and ExpiresAt when the request times out.
		ReceivedAt, ExpiresAt time.Time
		// Expected is how long the response is expected to take, or zero if that is not known.
		Expected time.Duration
		// Repeatable is set if the request may run more than once.
		Repeatable bool
	}

	// Connection is what a connection of a caller is doing.
	Connection int
)

// ListenUntil returns when the proxy stops accepting connections and closes those that are idle.
func (p Plan) ListenUntil() time.Time {
	return p.BegunAt.Add(min(time.Duration(listenRatio*float64(p.Grace)), maxListenPeriod))
}

// AdmitUntil returns until when the proxy accepts requests that it may have to interrupt.
func (p Plan) AdmitUntil() time.Time { return p.ListenUntil().Add(-signalDelay) }

// InterruptAt returns when the requests in progress are interrupted.
func (p Plan) InterruptAt() time.Time { return p.BegunAt.Add(p.Grace - p.interruptMargin()) }

// ExitAt returns when the process exits at the latest.
func (p Plan) ExitAt() time.Time {
	return p.InterruptAt().Add(time.Duration(responseRatio * float64(p.interruptMargin())))
}

func (p Plan) interruptMargin() time.Duration {
	return min(interruptMargin, time.Duration(interruptRatio*float64(p.Grace)))
}

// Admits reports whether a request may be sent to a server: it times out before it would be
// interrupted, or it was received early enough and its response is expected in time.
func (p Plan) Admits(now time.Time, r Request) bool {
	if !r.ExpiresAt.After(p.InterruptAt()) {
		return true
	}
	margin := onceMargin
	if r.Repeatable {
		margin = repeatableMargin
	}
	return r.ReceivedAt.Before(p.AdmitUntil()) && !now.Add(time.Duration(margin*float64(r.Expected))).After(p.InterruptAt())
}

// MayClose reports whether a connection that has been in a state for the given time may be closed once
// the proxy no longer listens.
func MayClose(c Connection, since time.Duration) bool {
	return c == ConnectionIdle || c == ConnectionNew && since > firstByteTimeout
}
