// Package caller holds what the system promises to callers: outcomes of
// requests, idempotency tokens that make a repeat safe, and the table that
// maps client prefixes to points of presence.
package caller

import (
	"net/http"
	"time"
)

const (
	// OutcomeDone means that the backend server's whole answer is known.
	OutcomeDone Outcome = iota + 1
	// OutcomeNotRun means that no backend server ran the request or will run it.
	OutcomeNotRun
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
)

const (
	// ReasonNone stands where nothing needs explaining.
	ReasonNone Reason = ""
	// ReasonNoService means that the bundle names no such service.
	ReasonNoService Reason = "no-such-service"
	// ReasonNoBundle means that no bundle is in force here yet.
	ReasonNoBundle Reason = "no-bundle-yet"
	// ReasonTokenRequired means that a non-idempotent request came without an
	// idempotency token.
	ReasonTokenRequired Reason = "token-needed"
	// ReasonTokenInvalid means that the token was not minted here.
	ReasonTokenInvalid Reason = "token-invalid"
	// ReasonTokenExpired means that the token can no longer be used and was
	// never dispatched.
	ReasonTokenExpired Reason = "token-expired"
	// ReasonTokenClosed means that the minting proxy stopped before the token
	// was used; it will never be dispatched.
	ReasonTokenClosed Reason = "token-closed"
	// ReasonTokenRecordExpired means that the token's record is gone.
	ReasonTokenRecordExpired Reason = "token-forgotten"
	// ReasonInProgress means that the token's request is running now.
	ReasonInProgress Reason = "in-progress"
	// ReasonMinterGone means that the proxy that minted the token is gone.
	ReasonMinterGone Reason = "minter-gone"
	// ReasonMinterTimeout means that the minting proxy did not answer in time.
	ReasonMinterTimeout Reason = "minter-slow"
	// ReasonRegionCapacity means that the region's capacity is used up.
	ReasonRegionCapacity Reason = "region-capacity"
	// ReasonLinkLimit means that a link's limit is used up.
	ReasonLinkLimit Reason = "link-limit"
	// ReasonNoServer means that no backend server can take the request now.
	ReasonNoServer Reason = "no-backend-server"
	// ReasonDeadline means that the deadline has passed or cannot be met.
	ReasonDeadline Reason = "deadline"
	// ReasonShed means that the backend server refused before running it.
	ReasonShed Reason = "backend-shed"
	// ReasonConnectionLost means that the exchange with the backend server broke.
	ReasonConnectionLost Reason = "backend-broken"
	// ReasonMayCrashServers means that the request's work may have ended backend servers
	// and runs once at a time, and not again.
	ReasonMayCrashServers Reason = "may-end-servers"
	// ReasonCrashesServers means that the request's work has ended backend servers.
	ReasonCrashesServers Reason = "ends-servers"
	// ReasonProxyBusy means that this proxy holds as many requests as it may.
	ReasonProxyBusy Reason = "proxy-busy"
	// ReasonProxyStopping means that this proxy takes no new requests.
	ReasonProxyStopping Reason = "proxy-stopping"
	// ReasonResponseNotRetained means that the request ran, but its answer was too
	// large to be kept for a repeat.
	ReasonResponseNotRetained Reason = "answer-not-kept"
)

var (
	outcomeNames = map[Outcome]string{OutcomeDone: "done", OutcomeNotRun: "not-run", OutcomeUnknown: "unknown"}
)

type (
	// Outcome is the final word on a request.
	Outcome uint8

	// Reason explains an outcome in a form that programs can compare.
	Reason string

	// Response is a backend server's whole answer. Streamed means that its body
	// went to the caller as a stream and is not here.
	Response struct {
		Status   int
		Header   http.Header
		Body     []byte
		Streamed bool
	}

	// Result is what a caller is told: an outcome, with the answer when done,
	// and when to come back otherwise.
	Result struct {
		Outcome    Outcome
		Reason     Reason
		RetryAfter time.Duration
		Response   *Response
	}
)

// GuaranteesNotRun reports whether a token that was refused for this reason was never
// run and never will be, so that a fresh one is safe.
func (r Reason) GuaranteesNotRun() bool {
	switch r {
	case ReasonTokenExpired, ReasonTokenClosed, ReasonTokenInvalid:
		return true
	}
	return false
}

// String is the outcome's name in headers, logs and events.
func (o Outcome) String() string {
	if name, ok := outcomeNames[o]; ok {
		return name
	}
	return "none"
}

// ParseOutcome reads the name that String writes.
func ParseOutcome(name string) (Outcome, bool) {
	for o, n := range outcomeNames {
		if n == name {
			return o, true
		}
	}
	return 0, false
}

// MarshalText writes the outcome's name.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText reads the outcome's name; an unknown one becomes zero.
func (o *Outcome) UnmarshalText(text []byte) error {
	*o, _ = ParseOutcome(string(text))
	return nil
}
