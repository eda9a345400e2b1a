package steering

import (
	"time"
)

const (
	// EventTable marks a configuration that came into force.
	EventTable Kind = "configuration"
	// EventServer marks a server that joined, changed or drains.
	EventServer Kind = "server-changed"
	// EventServerGone marks a server that left.
	EventServerGone Kind = "server-gone"
	// EventServerOut marks a server passed over after failures.
	EventServerOut Kind = "server-out"
	// EventEvacuated marks a failure domain emptied or taken back.
	EventEvacuated Kind = "domain-evacuated"
	// EventSent marks a request sent to a server.
	EventSent Kind = "request-sent"
	// EventAttemptEnded marks the end of one attempt.
	EventAttemptEnded Kind = "attempt-ended"
	// EventFinished marks a request's final outcome.
	EventFinished Kind = "request-finished"
)

type (
	// Kind names a type of event.
	Kind string

	// Event is one decision, with what decided it.
	Event struct {
		Kind     Kind
		Request  string
		Route    string
		Service  string
		Server   string
		Object   string
		Domain   string
		Version  uint64
		Attempt  int
		Result   Result
		Reason   Reason
		Draining bool
		// Expected is the time that the choice reckoned with.
		Expected time.Duration
		// Took is how long the attempt or the request lasted.
		Took time.Duration
		Load float64
		Err  error
	}
)
