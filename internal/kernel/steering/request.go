package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/account"
	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
	"github.com/gypsumquay/gypsumquay/internal/kernel/ratelimit"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

const (
	// ResultAnswered means that the server's whole answer has arrived.
	ResultAnswered Result = iota + 1
	// ResultServerError means that the server's whole answer tells of its own failure.
	ResultServerError
	// ResultRefused means that the server says that it did not run the request.
	ResultRefused
	// ResultWrongServer means that another server has the address; nothing has run.
	ResultWrongServer
	// ResultUnreachable means that no byte of the request was sent.
	ResultUnreachable
	// ResultConnectionLost means that the exchange broke after the first byte was sent.
	ResultConnectionLost
	// ResultTimeout means that no answer came in time.
	ResultTimeout
	// ResultCallerGone means that the caller has gone.
	ResultCallerGone
	// ResultNotSent means that nothing was sent: the server asked for no more while a
	// connection was opened.
	ResultNotSent
)

const (
	// OutcomeDone means that the caller gets a server's whole answer.
	OutcomeDone Outcome = iota + 1
	// OutcomeNotRun means that no server has run the request or will.
	OutcomeNotRun
	// OutcomeMayHaveRun means that nobody can say.
	OutcomeMayHaveRun
)

const (
	// ReasonNone goes with a good answer.
	ReasonNone Reason = ""
	// ReasonNoConfiguration means that no configuration is known yet.
	ReasonNoConfiguration Reason = "no-configuration"
	// ReasonNoRoute means that no route matches.
	ReasonNoRoute Reason = "no-route"
	// ReasonNoAccount means that the request carries no key of an account.
	ReasonNoAccount Reason = "no-account"
	// ReasonRateLimit means that its account has sent as many as it may.
	ReasonRateLimit Reason = "rate-limit"
	// ReasonNoRegion means that no region may serve both its route and its account.
	ReasonNoRegion Reason = "no-region"
	// ReasonNoServer means that no server may take the request now.
	ReasonNoServer Reason = "no-server"
	// ReasonBackpressure means that all servers that might take the request have asked for no
	// more of them now.
	ReasonBackpressure Reason = "withheld-by-servers"
	// ReasonOverload means that no server would answer in time.
	ReasonOverload Reason = "overload"
	// ReasonQueuesTooLong says that the queues are so long that answers come late.
	ReasonQueuesTooLong Reason = "queues-too-long"
	// ReasonRefused means that servers refused the request.
	ReasonRefused Reason = "refused-by-server"
	// ReasonRetryBudget means that a repeat was not within the budget.
	ReasonRetryBudget Reason = "repeat-budget"
	// ReasonConnectionLost means that an exchange broke and may have run.
	ReasonConnectionLost Reason = "broken"
	// ReasonMayCrashServers means that the request's work may have ended servers and runs
	// once at a time, and not again.
	ReasonMayCrashServers Reason = "may-end-servers"
	// ReasonCrashesServers means that the request's work has ended servers and is refused.
	ReasonCrashesServers Reason = "ends-servers"
	// ReasonServerError goes with an answer that tells of the server's own failure.
	ReasonServerError Reason = "server-failed"
	// ReasonCallerGone means that the caller has gone.
	ReasonCallerGone Reason = "caller-left"
	// ReasonTimeout means that the route's timeout has passed.
	ReasonTimeout Reason = "timeout"
)

const (
	// maxSends bounds the sends of one request to servers that turn out to
	// be unreachable: each costs a connection's time-out.
	maxSends = 4
	// minAttemptTime is the time below which another attempt is not worth it.
	minAttemptTime = 20 * time.Millisecond
	// minRetryAfter and comeBackMost bound the time that a refused caller is
	// told to stay away. Callers give up a third of their time at most.
	minRetryAfter = 80 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

type (
	// Result is how one attempt ended.
	Result uint8

	// Outcome is how a request ended for its caller.
	Outcome uint8

	// Reason says why a request ended as it did, for programs.
	Reason string

	// Request is what a decision needs to know of a caller's request.
	Request struct {
		ID     string
		Host   string
		Path   string
		Object string
		// Credential shows whose request it is.
		Credential account.Credential
		// Work names what a server would run.
		Work quarantine.Work
		// Deadline is when the caller stops waiting; zero if it did not say.
		Deadline time.Time
	}

	// ActiveRequest is a request in progress.
	ActiveRequest struct {
		Request
		Route   *routing.Route
		Service string
		// Account is the client account, nil for none; Keyed is set if the configuration
		// has accounts, so that no key may be passed on.
		Account     *account.Account
		HasAccounts bool
		// ExpiresAt is when the request ends at the latest, answered or not.
		ExpiresAt time.Time

		// seq counts the kernel's requests.
		seq uint64
		// tableVersion is that of the table by which the account was found.
		tableVersion uint64
		// allowedRegions are the regions in which the request may run.
		allowedRegions regionSet
		// quotaRuling is the ruling by which a pool is asked for a token.
		quotaRuling ratelimit.Ruling
		startedAt   time.Time
		server      *server
		sentAt      time.Time
		expected    time.Duration
		warm        bool
		// workEstimate is what is known of how long such requests take at the service.
		workEstimate *workEstimate
		// loadAtSend is what the server was reckoned to run and queue when it was sent.
		loadAtSend float64
		// drawnRegion is where a request without an object should run.
		drawnRegion  string
		triedServers []*server
		// connectionsLost counts the exchanges that broke; suspected is set if the work has been
		// there at the ends of servers, and away is for how long it is refused.
		connectionsLost int
		workSuspected   bool
		quarantinedFor  time.Duration
		// reachedServers counts sends that reached or may have reached a server.
		reachedServers int
		sendAttempts   int
		// slotRequest is the question for a place at the server's gate, until the place is
		// given back; rank is how many ran there with this one, zero if not asked.
		slotRequest *SlotRequest
		slotRank    int
		// mayHaveRun is set once a server may have begun to run the request.
		mayHaveRun bool
		// queuePressure is how long the queues were where it would have gone.
		queuePressure float64
		// maxRetryAfter is the longest time until a refused caller's return in which it
		// can still be answered within the target; zero if it can't.
		maxRetryAfter time.Duration
		// backpressureWait is how long until a server that has asked for less takes more.
		backpressureWait time.Duration
		steps            []Event
	}

	// Decision is the next step of a request.
	Decision struct {
		// Server to send to; nil ends the request.
		Server *Target
		// SlotRequest is set if a place must be asked for before it is sent, Release if one
		// must be given back.
		SlotRequest *SlotRequest
		SlotRelease *SlotRelease
		// QuotaPool is the proxy that must be asked whether the request is within its account's
		// limit, before anything else; empty for none.
		QuotaPool string
		// ReturnResponse ends the request with the attempt's answer.
		ReturnResponse bool
		Reason         Reason
		// NotRun is set if no server has run the request or will.
		NotRun bool
		// RetryAfter is when a refused caller may try again. Elsewhere is set if another
		// proxy may serve it now.
		RetryAfter    time.Duration
		TryOtherProxy bool
	}

	// Target is the server that an attempt goes to.
	Target struct {
		routing.Server
		// RoundTrip to the server's failure domain.
		RoundTrip time.Duration
		// MaxConnections is how many this proxy may hold to the server, used and
		// idle; zero for no bound.
		MaxConnections int
	}

	// Attempt reports how a send ended.
	Attempt struct {
		Result Result
		// RoundTrip to the server as measured by a new connection, or zero.
		RoundTrip time.Duration
		// Loaded is set if the server told its load.
		Loaded           bool
		Running, Waiting int
		// Rejected is set if the answer tells of a fault of the request: the server may
		// not have begun to run it.
		Rejected bool
		// Refusing is set if nothing listens at the server's address.
		Refusing bool
		// Signal is what the server asks of its senders.
		Signal backpressure.Signal
		Err    error `json:"-"`
	}
)

// String names the result for logs.
func (r Result) String() string {
	names := [...]string{"none", "answered", "failed", "refused", "mistaken", "unreachable", "broken", "late", "left", "withheld"}
	return names[min(int(r), len(names)-1)]
}

// String names the outcome for logs.
func (o Outcome) String() string {
	names := [...]string{"none", "done", "not-run", "may-have-run"}
	return names[min(int(o), len(names)-1)]
}

// Outcome is how the request ended, if the decision ends it.
func (d Decision) Outcome() Outcome {
	switch {
	case d.ReturnResponse:
		return OutcomeDone
	case d.NotRun:
		return OutcomeNotRun
	}
	return OutcomeMayHaveRun
}
