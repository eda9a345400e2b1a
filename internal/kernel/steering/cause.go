package steering

import (
	"time"
)

const (
	// CauseNone goes with an answer within the target.
	CauseNone Cause = ""
	// CauseFailedAttempts says that most of the time went to attempts that failed.
	CauseFailedAttempts Cause = "failed-attempts"
	// CauseColdServer says that the server had just started.
	CauseColdServer Cause = "cold-server"
	// CauseSlowServer says that the answer took far longer than reckoned.
	CauseSlowServer Cause = "slow-server"
	// CauseQueue says that most of the time was reckoned to pass in the server's
	// queue.
	CauseQueue Cause = "queue"
	// CauseFirstRun says that the server did not know the object.
	CauseFirstRun Cause = "first-run"
	// CauseWork says that nothing but the work itself took the time.
	CauseWork Cause = "work"
)

const (
	// slowServerFactor is how many times the time reckoned an answer must have taken for
	// its server to be called slow. Work varies by a third on its own, and a queue
	// that was not known of yet by half.
	slowServerFactor = 2
)

type (
	// Cause says where most of the time of a late request went, for operators.
	// Nothing is decided by it.
	Cause string
)

// latencyCause finds why a request that ends now is late: not answered within the
// target, or given up on at its time-out. The server's state is that at the last
// send.
func (req *ActiveRequest) latencyCause(now time.Time) (cause Cause, state ServerState) {
	var sent Event
	for _, e := range req.steps {
		if e.Kind == EventRequestSent {
			sent = e
		}
	}
	if sent.Kind == "" || req.Route == nil {
		return CauseNone, StateNone
	}
	if now.Sub(req.startedAt) <= req.Route.Target {
		return CauseNone, sent.State
	}
	took := now.Sub(sent.At)
	switch {
	case sent.At.Sub(req.startedAt) > took:
		return CauseFailedAttempts, sent.State
	case sent.State == StateCold:
		return CauseColdServer, sent.State
	case took > slowServerFactor*sent.Expected:
		return CauseSlowServer, sent.State
	case 2*sent.ExpectedWait > sent.Expected:
		return CauseQueue, sent.State
	case !sent.Warm:
		return CauseFirstRun, sent.State
	}
	return CauseWork, sent.State
}
