package steering

import (
	"time"
)

const (
	// CauseNone is the cause of a request that met its target or was not sent.
	CauseNone Cause = ""
	// CauseFailedAttempts means that most of the time was spent on failed attempts.
	CauseFailedAttempts Cause = "failed-attempts"
	// CauseColdServer means that the server had just started.
	CauseColdServer Cause = "cold-server"
	// CauseSlowServer means that the response took much longer than expected.
	CauseSlowServer Cause = "slow-server"
	// CauseQueue means that most of the expected time was a wait in the server's queue.
	CauseQueue Cause = "queue"
	// CauseFirstRun means that the server was not warm for the object.
	CauseFirstRun Cause = "first-run"
	// CauseWork means that the time was spent on the work itself.
	CauseWork Cause = "work"
)

const (
	// slowServerFactor is the factor by which a response must exceed its expected time for the
	// server to be reported as slow. The duration of the work alone varies by a third, and an
	// unknown queue adds up to a half.
	slowServerFactor = 2
)

type (
	// Cause is where most of the time of a late request was spent. It is reported to operators; no
	// decision depends on it.
	Cause string
)

// latencyCause returns why a request that ends now is late, that is, it exceeded the target or
// timed out. The server state is the one at the last send.
func (req *ActiveRequest) latencyCause(now time.Time) (cause Cause, state ServerState) {
	var sent Event
	for _, e := range req.steps {
		if e.Kind == EventRequestSent && !e.IsHedge {
			sent = e
		}
	}
	if sent.Kind == "" || req.Route == nil {
		return CauseNone, StateNone
	}
	if now.Sub(req.startedAt) <= req.Route.Target {
		return CauseNone, sent.State
	}
	elapsed := now.Sub(sent.At)
	switch {
	case sent.At.Sub(req.startedAt) > elapsed:
		return CauseFailedAttempts, sent.State
	case sent.State == StateCold:
		return CauseColdServer, sent.State
	case elapsed > slowServerFactor*sent.Expected:
		return CauseSlowServer, sent.State
	case 2*sent.ExpectedWait > sent.Expected:
		return CauseQueue, sent.State
	case !sent.Warm:
		return CauseFirstRun, sent.State
	}
	return CauseWork, sent.State
}
