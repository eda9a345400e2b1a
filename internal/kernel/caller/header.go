package caller

const (
	// HeaderOutcome carries the name of an Outcome to callers. A backend server sets it to
	// "not-run" if it rejected the request before running it.
	HeaderOutcome = "Gypsumquay-Outcome"
	// HeaderReason carries a Reason to callers.
	HeaderReason = "Gypsumquay-Reason"
	// HeaderToken carries an idempotency token, in requests and responses.
	HeaderToken = "Gypsumquay-Token"
	// HeaderTimeout is the caller's timeout, such as "800ms". It is capped by the deadline that the
	// bundle sets.
	HeaderTimeout = "Gypsumquay-Timeout"
	// HeaderRequest carries the request ID to backend servers and callers.
	HeaderRequest = "Gypsumquay-Request"
	// HeaderAttempt carries the number of the attempt to backend servers. Attempts are numbered per
	// proxy process.
	HeaderAttempt = "Gypsumquay-Attempt"
	// HeaderDeadline is the time, in Unix microseconds, after which a backend server must not start
	// the request.
	HeaderDeadline = "Gypsumquay-Deadline"
	// HeaderLoad is the number of requests that a backend server is running.
	HeaderLoad = "Gypsumquay-Load"
	// HeaderDraining is "true" in responses of a backend server that is draining.
	HeaderDraining = "Gypsumquay-Leaving"
	// HeaderLimit is the rate, in requests per second, that a backend server accepts from all
	// proxies together.
	HeaderLimit = "Gypsumquay-Limit"
)
