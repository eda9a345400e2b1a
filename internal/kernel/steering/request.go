package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/account"
	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
	"github.com/gypsumquay/gypsumquay/internal/kernel/ratelimit"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

const (
	// ResultResponded means that a complete response has arrived that reports no failure of the
	// server.
	ResultResponded Result = iota + 1
	// ResultServerError means that the server's complete response reports a failure of the server.
	ResultServerError
	// ResultRejected means that the server rejected the request and reported that it did not run
	// it.
	ResultRejected
	// ResultWrongServer means that another server now has the address. The request has not run.
	ResultWrongServer
	// ResultUnreachable means that no byte of the request was sent.
	ResultUnreachable
	// ResultConnectionLost means that the connection failed after the first byte was sent.
	ResultConnectionLost
	// ResultTimeout means that no response arrived in time.
	ResultTimeout
	// ResultCallerGone means that the caller disconnected.
	ResultCallerGone
	// ResultNotSent means that nothing was sent: while the connection was being opened, the server
	// announced that it takes no more requests.
	ResultNotSent
	// ResultCancelled means that the attempt was cancelled because the other of two attempts ended
	// the request. It says nothing about the server.
	ResultCancelled
	// ResultInterrupted means that the attempt was ended by the shutdown of this proxy. It says nothing
	// about the server.
	ResultInterrupted
)

const (
	// OutcomeDone means that the caller gets a server's complete response.
	OutcomeDone Outcome = iota + 1
	// OutcomeNotRun means that no server has run the request or will run it.
	OutcomeNotRun
	// OutcomeMayHaveRun means that it is unknown whether a server has run the request.
	OutcomeMayHaveRun
)

const (
	// ReasonNone is the reason of a successful request.
	ReasonNone Reason = ""
	// ReasonNoConfiguration means that no configuration is active yet.
	ReasonNoConfiguration Reason = "no-configuration"
	// ReasonNoRoute means that no route matches the request.
	ReasonNoRoute Reason = "no-route"
	// ReasonNoAccount means that the request carries no valid key of a client account.
	ReasonNoAccount Reason = "no-account"
	// ReasonRateLimit means that the client account has exceeded its rate limit.
	ReasonRateLimit Reason = "rate-limit"
	// ReasonNoRegion means that the regions allowed by the route and by the client account do not
	// overlap.
	ReasonNoRegion Reason = "no-region"
	// ReasonNoServer means that no server can take the request now.
	ReasonNoServer Reason = "no-server"
	// ReasonBackpressure means that all servers that could take the request have announced that
	// they take no more requests for now.
	ReasonBackpressure Reason = "withheld-by-servers"
	// ReasonOverload means that no server would respond in time.
	ReasonOverload Reason = "overload"
	// ReasonQueuesTooLong means that the server queues are so long that responses would miss the
	// target.
	ReasonQueuesTooLong Reason = "queues-too-long"
	// ReasonUrgentFirst means that the server queues are so long that more urgent requests would
	// miss their targets.
	ReasonUrgentFirst Reason = "urgent-first"
	// ReasonRejected means that servers rejected the request.
	ReasonRejected Reason = "refused-by-server"
	// ReasonRetryBudget means that the retry budget was exhausted.
	ReasonRetryBudget Reason = "repeat-budget"
	// ReasonConnectionLost means that a connection was lost and the request may have run.
	ReasonConnectionLost Reason = "broken"
	// ReasonMayCrashServers means that the request may have crashed servers. Requests with its
	// fingerprint run one at a time and are not retried.
	ReasonMayCrashServers Reason = "may-end-servers"
	// ReasonCrashesServers means that the request's fingerprint is quarantined because it crashed
	// servers.
	ReasonCrashesServers Reason = "ends-servers"
	// ReasonServerError means that the response returned to the caller reports a failure of the
	// server.
	ReasonServerError Reason = "server-failed"
	// ReasonCallerGone means that the caller disconnected.
	ReasonCallerGone Reason = "caller-left"
	// ReasonCutOff means that this proxy is cut off from all servers and no other proxy could take
	// the request.
	ReasonCutOff Reason = "cut-off"
	// ReasonTimeout means that the request reached its deadline: the route's timeout or the caller's
	// deadline.
	ReasonTimeout Reason = "timeout"
	// ReasonShutdown means that the request was interrupted by the shutdown of this proxy, or was not
	// sent because it would have been.
	ReasonShutdown Reason = "shutdown"
)

const (
	// maxSends limits the attempts of one request on servers that turn out to be unreachable. Each
	// of them can cost a connection timeout.
	maxSends = 4
	// minAttemptTime is the remaining time below which another attempt is not worthwhile.
	minAttemptTime = 20 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry delay that a rejected caller is given. The
	// delay is also at most a third of the time that the caller has left.
	minRetryAfter = 80 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

type (
	// Result is how one attempt ended.
	Result uint8

	// Outcome is how a request ended for its caller.
	Outcome uint8

	// Reason is the machine-readable reason why a request ended as it did.
	Reason string

	// Request describes a caller's request as far as decisions depend on it.
	Request struct {
		ID     string
		Host   string
		Path   string
		Object string
		// Credential identifies the client account of the request.
		Credential account.Credential
		// Work is the fingerprint of what the server would run.
		Work quarantine.Fingerprint
		// Deadline is when the caller stops waiting. It is zero if the caller did not set one.
		Deadline time.Time
		// ConnectionUses is how many requests the caller's connection has carried, including this one, or
		// zero for a request that was started ahead of its turn.
		ConnectionUses int `json:",omitempty"`
		// IsHandover is set if another proxy, HandoverFrom, received the request from the caller and
		// handed it over. AttemptsUsed is the number of its attempts there, ConnectionsLost how many of
		// them lost their connection.
		IsHandover   bool   `json:",omitempty"`
		HandoverFrom string `json:",omitempty"`
		AttemptsUsed int    `json:",omitempty"`
		// IsCounted is set if the request counts in that proxy's retry budget.
		IsCounted       bool `json:",omitempty"`
		ConnectionsLost int  `json:",omitempty"`
	}

	// ActiveRequest is the state of a request in progress.
	ActiveRequest struct {
		Request
		Route   *routing.Route
		Service string
		// Account is the client account, or nil if there is none. HasAccounts is set if the
		// configuration has client accounts; their keys must then not be forwarded to servers.
		Account     *account.Account
		HasAccounts bool
		// ExpiresAt is when the request ends at the latest, with or without a response.
		ExpiresAt time.Time
		// timesOutAt is ExpiresAt without the shutdown of this proxy.
		timesOutAt time.Time

		// seq is the sequence number of the request in this kernel.
		seq uint64
		// tableVersion is the version of the configuration in which the account was looked up.
		tableVersion uint64
		// allowedRegions are the regions in which the request may run.
		allowedRegions regionSet
		// quotaDecision is the pending decision for which a token is requested from a quota pool.
		quotaDecision ratelimit.Decision
		startedAt     time.Time
		// sentAttempt is the attempt in flight. hedge is the second one, or nil if there are not
		// two in flight. If one of two ends, the other becomes the sentAttempt.
		sentAttempt
		hedge *sentAttempt
		// hedged is set once the request has been hedged.
		hedged bool
		// workEstimate estimates how long requests of the route take at the service.
		workEstimate *workEstimate
		// queuedWork is how long the requests in the queues of the service take in the mean.
		queuedWork time.Duration
		// drawnRegion is the region drawn for a request without an object.
		drawnRegion  string
		triedServers []*server
		// connectionsLost counts the attempts that lost their connection. workSuspected is set if
		// the request's fingerprint is suspected of crashing servers, and quarantinedFor is how
		// long it stays quarantined.
		connectionsLost int
		workSuspected   bool
		quarantinedFor  time.Duration
		// reachedServers counts the attempts that reached or may have reached a server.
		reachedServers int
		sendAttempts   int
		retries        retryCharges
		// unreachableDomain is the failure domain of the first server that could not be reached.
		unreachableDomain string
		// charged is set while the request is charged to its account.
		charged bool
		// handover is the handover in progress, or nil. triedPeers are the proxies that the request
		// was handed over to.
		handover   *activeHandover
		triedPeers []string
		// slotRequest is the request for a slot at the server's limiter, kept until the slot is
		// released. slotRank is how many requests ran at the server including this one, or zero if
		// no slot was requested.
		slotRequest *SlotRequest
		// yieldsToUrgent is set if the request waits for a slot so that more urgent requests of its
		// service need not wait behind it.
		yieldsToUrgent bool
		slotRank       int
		// unproven counts the attempts and handovers of which nothing proves that they have not run
		// and never will, including those in progress.
		unproven int
		// shedding is the decision whether to reject the request because of the queues.
		shedding admission.ShedDecision
		// offer is what the account asked for when the request arrived.
		offer accountOffer
		// backpressureWait is how long until a server that announced a limit or pause takes
		// requests again.
		backpressureWait time.Duration
		steps            []Event
	}

	// sentAttempt is the state of one attempt.
	sentAttempt struct {
		// id is unique in this kernel.
		id       uint64
		server   *server
		sentAt   time.Time
		expected time.Duration
		// expectedWait is the part of expected until a slot is free.
		expectedWait time.Duration
		warm         bool
		// loadAtSend is the estimated number of requests that ran and waited at the server when
		// this one was sent.
		loadAtSend float64
		// workFactor is the reported work factor that expected and expectedWait include.
		workFactor float64
		// number is the number of the attempt, starting at 1.
		number  int
		isHedge bool
	}

	// Decision is the next step of a request.
	Decision struct {
		// Server is the server to send the request to. If it, Handover and QuotaPool are empty and
		// OtherContinues is not set, the request ends.
		Server *Target
		// Handover is the proxy to hand the request over to.
		Handover *Handover
		// HedgeAfter is the delay after which BeginHedge must be called if no response has begun to
		// arrive by then. Zero means never.
		HedgeAfter time.Duration
		// OtherContinues is set if one of two attempts has failed and the other one decides.
		OtherContinues bool
		// SlotRequest is set if a slot must be requested before the request is sent. SlotRelease is
		// set if a slot must be released.
		SlotRequest *SlotRequest
		SlotRelease *SlotRelease
		// QuotaPool is the proxy from which a token of the account's rate limit must be requested
		// first. It is empty if no token is needed.
		QuotaPool string
		// ReturnResponse ends the request with the response of the attempt or the handover.
		ReturnResponse bool
		Reason         Reason
		// NotRun is set if no server has run the request or will run it.
		NotRun bool
		// ServersReached counts the servers that this proxy sent a request to that ends.
		ServersReached int
		// RetryAfter is the delay after which a rejected caller may try again. TryOtherProxy is set
		// if another proxy may accept the request now.
		RetryAfter    time.Duration
		TryOtherProxy bool
	}

	// Target is the server that an attempt is sent to.
	Target struct {
		routing.Server
		// RoundTrip is the estimated round-trip time to the server's failure domain.
		RoundTrip time.Duration
		// MaxConnections is the limit on this proxy's open connections to the server, in use or
		// idle. Zero means no limit.
		MaxConnections int
	}

	// Attempt reports how an attempt ended.
	Attempt struct {
		Result Result
		// Hedge is set if the attempt was begun by BeginHedge.
		Hedge bool `json:",omitempty"`
		// RoundTrip is the round-trip time measured on a new connection, or zero if there was none.
		RoundTrip time.Duration
		// Connection identifies the connection in this process that the request was sent on, and
		// ConnectionUses is how many requests it has carried, including this one. They are zero if
		// nothing was sent.
		Connection     uint64 `json:",omitempty"`
		ConnectionUses int    `json:",omitempty"`
		// Loaded is set if the server reported its load.
		Loaded           bool
		Running, Waiting int
		// Slots is the number of slots that the server reported, and WorkPercent the current
		// duration of its work in percent of the usual. Zero means unknown.
		Slots       int `json:"slots,omitempty"`
		WorkPercent int `json:"work-percent,omitempty"`
		// Rejected is set if a complete response reports an error in the request, unlike
		// ResultRejected. The server may not have started to run it.
		Rejected bool
		// ClaimsNotRun is set if the status of the server's response tells callers that the request has
		// not run, although the server did not report so to the proxy.
		ClaimsNotRun bool `json:",omitempty"`
		// Refusing is set if the connection was refused: no process listens at the server's
		// address.
		Refusing bool
		// ResponseStarted is set if the caller has already received a part of the response.
		ResponseStarted bool
		// Unsent is set if the attempt was given up before a byte of the request was sent.
		Unsent bool `json:",omitempty"`
		// Signal is the backpressure signal that the server sent.
		Signal backpressure.Signal
		Err    error `json:"-"`
	}
)

// String returns the result as it appears in logs.
func (r Result) String() string {
	names := [...]string{"none", "answered", "failed", "refused", "mistaken", "unreachable", "broken", "late", "left", "withheld", "cancelled", "interrupted"}
	return names[min(int(r), len(names)-1)]
}

// String returns the outcome as it appears in logs.
func (o Outcome) String() string {
	names := [...]string{"none", "done", "not-run", "may-have-run"}
	return names[min(int(o), len(names)-1)]
}

// Outcome returns how the request ended. It is meaningful only if the decision ends the request.
func (d Decision) Outcome() Outcome {
	switch {
	case d.NotRun:
		return OutcomeNotRun
	case d.ReturnResponse:
		return OutcomeDone
	}
	return OutcomeMayHaveRun
}
