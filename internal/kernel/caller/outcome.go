// Package caller defines what the system guarantees to callers: the outcomes of requests, the
// idempotency tokens that make retries safe, and the table that maps client prefixes to points of
// presence.
package caller

import (
	"net/http"
	"time"
)

const (
	// OutcomeDone means that the proxy received the backend server's complete response.
	OutcomeDone Outcome = iota + 1
	// OutcomeNotRun means that no backend server has run the request or will run it.
	OutcomeNotRun
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
)

const (
	// ReasonNone means that the outcome needs no reason.
	ReasonNone Reason = ""
	// ReasonNoService means that the bundle does not contain the service.
	ReasonNoService Reason = "no-such-service"
	// ReasonNoBundle means that the proxy has not received a bundle yet.
	ReasonNoBundle Reason = "no-bundle-yet"
	// ReasonTokenRequired means that a non-idempotent request carries no idempotency token.
	ReasonTokenRequired Reason = "token-needed"
	// ReasonTokenInvalid means that the token is malformed or altered, was not minted by the proxy
	// that it names, or is for another service.
	ReasonTokenInvalid Reason = "token-invalid"
	// ReasonTokenExpired means that the token has expired and was never dispatched.
	ReasonTokenExpired Reason = "token-expired"
	// ReasonTokenClosed means that the minting proxy stopped before the token was used, so the
	// token will never be dispatched.
	ReasonTokenClosed Reason = "token-closed"
	// ReasonTokenRecordExpired means that the retention of the token's record has ended, so it is
	// not known whether the token was dispatched.
	ReasonTokenRecordExpired Reason = "token-forgotten"
	// ReasonInProgress means that the token's request is still running.
	ReasonInProgress Reason = "in-progress"
	// ReasonMinterGone means that the proxy that minted the token no longer exists and that its
	// records were not handed over.
	ReasonMinterGone Reason = "minter-gone"
	// ReasonMinterTimeout means that the minting proxy did not respond in time.
	ReasonMinterTimeout Reason = "minter-slow"
	// ReasonRegionCapacity means that the region's capacity is exhausted.
	ReasonRegionCapacity Reason = "region-capacity"
	// ReasonLinkLimit means that the limit of a link between regions is exhausted.
	ReasonLinkLimit Reason = "link-limit"
	// ReasonNoServer means that no backend server can currently accept the request.
	ReasonNoServer Reason = "no-backend-server"
	// ReasonDeadline means that the deadline has passed or cannot be met.
	ReasonDeadline Reason = "deadline"
	// ReasonShed means that the backend server shed the request before running it.
	ReasonShed Reason = "backend-shed"
	// ReasonConnectionLost means that the connection to the backend server was lost.
	ReasonConnectionLost Reason = "backend-broken"
	// ReasonMayCrashServers means that the request is suspected of having crashed backend servers.
	// Such requests run one at a time and are not retried.
	ReasonMayCrashServers Reason = "may-end-servers"
	// ReasonCrashesServers means that the request has crashed backend servers.
	ReasonCrashesServers Reason = "ends-servers"
	// ReasonProxyBusy means that this proxy has reached its limit of concurrent requests.
	ReasonProxyBusy Reason = "proxy-busy"
	// ReasonProxyStopping means that this proxy is stopping and accepts no new requests.
	ReasonProxyStopping Reason = "proxy-stopping"
	// ReasonResponseNotRetained means that the request ran, but its response was too large to be
	// retained for a retry.
	ReasonResponseNotRetained Reason = "answer-not-kept"
)

var (
	outcomeNames = map[Outcome]string{OutcomeDone: "done", OutcomeNotRun: "not-run", OutcomeUnknown: "unknown"}
)

type (
	// Outcome is the final status of a request.
	Outcome uint8

	// Reason is a machine-readable reason for an outcome.
	Reason string

	// Response is the complete response of a backend server. Streamed means that the body was
	// streamed to the caller and is not in Body.
	Response struct {
		Status   int
		Header   http.Header
		Body     []byte
		Streamed bool
	}

	// Result is what is returned to a caller: the outcome with the response if it is done, or with
	// the time after which to retry otherwise.
	Result struct {
		Outcome    Outcome
		Reason     Reason
		RetryAfter time.Duration
		Response   *Response
	}
)

// GuaranteesNotRun reports whether a token rejected for this reason was never run and never will
// be, so that the caller can safely retry with a new token.
func (r Reason) GuaranteesNotRun() bool {
	switch r {
	case ReasonTokenExpired, ReasonTokenClosed, ReasonTokenInvalid:
		return true
	}
	return false
}

// String returns the outcome's name as used in headers, logs and events.
func (o Outcome) String() string {
	if name, ok := outcomeNames[o]; ok {
		return name
	}
	return "none"
}

// ParseOutcome parses a name returned by String.
func ParseOutcome(name string) (Outcome, bool) {
	for o, n := range outcomeNames {
		if n == name {
			return o, true
		}
	}
	return 0, false
}

// MarshalText returns the outcome's name.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText parses the outcome's name. An unknown name yields zero.
func (o *Outcome) UnmarshalText(text []byte) error {
	*o, _ = ParseOutcome(string(text))
	return nil
}
