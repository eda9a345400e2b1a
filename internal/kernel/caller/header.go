package caller

const (
	// HeaderOutcome carries an Outcome's name to callers, and "not-run" from
	// a backend server that refused before running the request.
	HeaderOutcome = "Gypsumquay-Outcome"
	// HeaderReason carries a Reason to callers.
	HeaderReason = "Gypsumquay-Reason"
	// HeaderToken carries an idempotency token, both ways.
	HeaderToken = "Gypsumquay-Token"
	// HeaderTimeout is how long the caller is willing to wait, such as
	// "800ms"; the bundle's deadline bounds it.
	HeaderTimeout = "Gypsumquay-Timeout"
	// HeaderRequest names the request towards backend servers and callers.
	HeaderRequest = "Gypsumquay-Request"
	// HeaderAttempt numbers dispatches of this process towards backend
	// servers.
	HeaderAttempt = "Gypsumquay-Attempt"
	// HeaderDeadline is the absolute time, in Unix microseconds, after which
	// a backend server must not begin the request.
	HeaderDeadline = "Gypsumquay-Deadline"
	// HeaderLoad is a backend server's count of running requests.
	HeaderLoad = "Gypsumquay-Load"
	// HeaderLeaving is "true" from a backend server that wants no new work.
	HeaderLeaving = "Gypsumquay-Leaving"
	// HeaderLimit is the rate, in requests a second, that a backend server takes from all
	// proxies together.
	HeaderLimit = "Gypsumquay-Limit"
)
