package core

import (
	"strconv"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backend"
	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
)

const (
	// ResponseGracePeriod is how long after the deadline the proxy still waits for the response to
	// a non-idempotent request, so that it can report the outcome to a caller that retries.
	ResponseGracePeriod = 5 * time.Second
	// startupPeriod is how long after its start a proxy may not have learned of every minter.
	// During it, an unknown minter is not reported as gone.
	startupPeriod = 10 * time.Second
	// forwardRetryAfter is the retry delay given to a caller whose outcome is not known yet, for
	// example because the minter of its token does not respond.
	forwardRetryAfter = time.Second
)

type (
	// inFlightRequest is a request with an attempt in progress.
	inFlightRequest struct {
		serial      uint64
		id          string
		service     *service
		server      *backend.Server
		regionIndex int
		homeRegion  int
		idempotent  bool
		token       *caller.Token
		attempts    int
		fingerprint quarantine.Fingerprint
		// interruptions counts the attempts that ended with backend.Interrupted.
		interruptions int
		// mayHaveRun is set unless it is proven that no earlier attempt has run.
		mayHaveRun bool
		startedAt  time.Time
		sentAt     time.Time
		deadline   time.Time
	}
)

// BeginRequest decides the first step for a caller's request.
func (k *Kernel) BeginRequest(now time.Time, r Request) Decision {
	if k.bundle == nil {
		return k.rejectRequest(now, r, caller.ReasonNoBundle, time.Second)
	}
	s := k.services[r.Service]
	if s == nil {
		return k.rejectRequest(now, r, caller.ReasonNoService, 0)
	}
	deadline := now.Add(s.Deadline.Std())
	if !r.Deadline.IsZero() && r.Deadline.Before(deadline) {
		deadline = r.Deadline
	}
	if !now.Before(deadline) {
		return k.rejectRequest(now, r, caller.ReasonDeadline, 0)
	}
	inflight := inFlightRequest{service: s, fingerprint: r.Fingerprint, startedAt: now, deadline: deadline, homeRegion: k.homeRegion(r.Client)}
	inflight.idempotent = s.IsIdempotent(r.Method, r.Path)
	if !inflight.idempotent {
		if d, settled := k.claimToken(now, r, &inflight); settled {
			return d
		}
	}
	k.regions[inflight.homeRegion].demand.count++
	s.retryBudget.Deposit(k.bundle.Retry.BudgetPermille)
	return k.dispatch(now, inflight, nil)
}

// claimToken determines whether this proxy may dispatch a non-idempotent request. It returns true
// if the decision is final without a dispatch by this proxy.
func (k *Kernel) claimToken(now time.Time, r Request, inflight *inFlightRequest) (Decision, bool) {
	if r.Token == "" {
		d := k.rejectRequest(now, r, caller.ReasonTokenRequired, 0)
		if t, ok := k.Mint(now, r.Service); ok {
			d.NewToken = t
		}
		return d, true
	}
	t, err := caller.ParseToken(r.Token)
	if err != nil {
		return k.rejectRequest(now, r, caller.ReasonTokenInvalid, 0), true
	}
	if !k.tokenRecords.Owns(t) {
		return k.forwardToMinter(now, r, t, inflight.deadline), true
	}
	claim, result := k.tokenRecords.Claim(t, r.Service, now)
	reuse := k.config.Faults.TokenReuse && result.Outcome != caller.OutcomeNotRun
	if claim == caller.ClaimResolved && !reuse {
		d := Decision{Step: StepFinish, ID: t.ID(), Result: result}
		k.log(now, Event{Kind: EventFinished, Service: r.Service, Request: d.ID, Outcome: result.Outcome, Reason: result.Reason, Detail: "kept"})
		return d, true
	}
	inflight.token = t
	inflight.id = t.ID()
	return Decision{}, false
}

// forwardToMinter forwards the request to the proxy that holds the record of its token. If the
// minter and its successors are gone, the outcome stays unknown permanently, since the request may
// have run before the minter stopped.
func (k *Kernel) forwardToMinter(now time.Time, r Request, t *caller.Token, deadline time.Time) Decision {
	owner, ok := k.members.TokenOwner(t.Minter)
	if !ok && now.Sub(k.startedAt) < startupPeriod {
		return k.finishUnknown(now, r, t, caller.ReasonMinterTimeout, forwardRetryAfter)
	}
	if ok && owner.State == peer.StateSuspect && k.isVMUnlisted(owner.Name) {
		// The peer does not respond and the platform no longer lists its VM, so the outcome will
		// never become known and the caller gets no retry time.
		ok = false
	}
	if !ok || r.Forwarded || owner.Name == k.config.Self.Name {
		return k.finishUnknown(now, r, t, caller.ReasonMinterGone, 0)
	}
	k.log(now, Event{Kind: EventForwarded, Service: r.Service, Request: t.ID(), Target: owner.Name})
	return Decision{Step: StepForward, ID: t.ID(), Peer: owner, Deadline: deadline}
}

// isVMUnlisted reports whether the VM list is known and does not contain the VM.
func (k *Kernel) isVMUnlisted(name string) bool {
	_, listed := k.vmList.State(name)
	return k.vmList != nil && !listed
}

// finishUnknown ends a request with an unknown outcome.
func (k *Kernel) finishUnknown(now time.Time, r Request, t *caller.Token, reason caller.Reason, retryAfter time.Duration) Decision {
	result := caller.Result{Outcome: caller.OutcomeUnknown, Reason: reason, RetryAfter: retryAfter}
	k.log(now, Event{Kind: EventFinished, Service: r.Service, Request: t.ID(), Outcome: result.Outcome, Reason: reason})
	return Decision{Step: StepFinish, ID: t.ID(), Result: result}
}

// HandleForwardFailure returns the result for a request whose forward to the minter got
// no reply.
func (k *Kernel) HandleForwardFailure(now time.Time, service, id, minter string) caller.Result {
	k.members.RecordFailure(minter, now)
	result := caller.Result{Outcome: caller.OutcomeUnknown, Reason: caller.ReasonMinterTimeout, RetryAfter: forwardRetryAfter}
	k.log(now, Event{Kind: EventFinished, Service: service, Request: id, Target: minter, Outcome: result.Outcome, Reason: result.Reason})
	return result
}

// Mint creates an idempotency token for a service. It returns false if the service is unknown, the
// proxy is stopping or the token cannot be recorded.
func (k *Kernel) Mint(now time.Time, service string) (string, bool) {
	if k.bundle == nil || k.services[service] == nil || k.stopping {
		return "", false
	}
	var nonce caller.Nonce
	for i := range nonce {
		nonce[i] = byte(k.random.Uint32())
	}
	t, ok := k.tokenRecords.Mint(service, nonce, now, k.bundle.Token.TTL.Std(), k.bundle.Token.Retention.Std())
	if !ok {
		return "", false
	}
	k.log(now, Event{Kind: EventTokenMinted, Service: service, Request: t.ID()})
	return t.Text(), true
}

// dispatch admits one attempt. It checks the quarantine, the proxy's limit of requests in flight,
// the quotas of the region and of the link, and picks a server. A rejected attempt is removed from
// all quota counts. The server avoid, which handled the previous attempt, is not picked.
func (k *Kernel) dispatch(now time.Time, inflight inFlightRequest, avoid *backend.Server) Decision {
	if reason, retryAfter := k.checkQuarantine(now, &inflight); reason != caller.ReasonNone {
		return k.rejectAttempt(now, inflight, reason, retryAfter)
	}
	if k.inFlight >= k.config.MaxInFlight {
		return k.rejectAttempt(now, inflight, caller.ReasonProxyBusy, time.Second)
	}
	regionIndex := k.regions[inflight.homeRegion].roundRobin.Next(k.regions[inflight.homeRegion].shifter.Row())
	if k.regions[regionIndex].lost {
		regionIndex = k.failoverRegion(now, inflight, regionIndex)
	}
	if regionIndex < 0 {
		return k.rejectAttempt(now, inflight, caller.ReasonNoServer, k.bundle.Shift.FailoverInterval.Std())
	}
	r := k.regions[regionIndex]
	if !k.mayUseQuota(now) || !r.quota.TryAcquire(now) && !k.config.Faults.QuotaDisabled {
		r.rejected.count++
		return k.rejectAttempt(now, inflight, caller.ReasonRegionCapacity, k.retryAfter(now, &r.quota))
	}
	link := k.links[linkKey{k.regionIndex(k.config.Self.Region), regionIndex}]
	if link != nil && !link.TryAcquire(now) {
		r.quota.Undo()
		return k.rejectAttempt(now, inflight, caller.ReasonLinkLimit, k.retryAfter(now, link))
	}
	server := inflight.service.picker.Pick(now, inflight.service.byRegion[regionIndex], avoid, k.serverLimit(now))
	if server == nil {
		r.quota.Undo()
		if link != nil {
			link.Undo()
		}
		return k.rejectAttempt(now, inflight, caller.ReasonNoServer, k.pauseRetryAfter(now, inflight.service.byRegion[regionIndex]))
	}
	return k.startAttempt(now, inflight, regionIndex, server)
}

// failoverRegion returns another region for a request whose region is lost but whose row has not
// shifted yet, or -1. Each use is charged to the retry budget, which bounds the traffic that fails
// over ahead of the paced shift.
func (k *Kernel) failoverRegion(now time.Time, inflight inFlightRequest, lostIndex int) int {
	if !inflight.service.retryBudget.TryWithdraw() {
		return -1
	}
	best, mostFree := -1, 0
	for i, r := range k.regions {
		if i == lostIndex || r.lost || k.bundle.IsDrained(operator.DrainRegion, r.Name, now) {
			continue
		}
		if free := r.quota.Available(now); free > mostFree {
			best = i
			mostFree = free
		}
	}
	return best
}

// startAttempt records the attempt as in flight and returns the decision to dispatch it.
func (k *Kernel) startAttempt(now time.Time, inflight inFlightRequest, regionIndex int, server *backend.Server) Decision {
	k.lastSerial++
	inflight.serial = k.lastSerial
	inflight.server = server
	inflight.regionIndex = regionIndex
	inflight.attempts++
	inflight.sentAt = now
	if inflight.id == "" {
		inflight.id = k.config.Self.Name + "-" + strconv.FormatUint(k.lastSerial, 36)
	}
	server.Start()
	k.backpressureOf(server).RecordSent(now)
	k.quarantine.RecordStart(inflight.fingerprint)
	k.inFlight++
	kind := EventAdmitted
	if inflight.attempts > 1 {
		kind = EventRetried
	}
	k.log(now, Event{Kind: kind, Service: inflight.service.Name, Request: inflight.id, Target: server.Name})
	handle := k.requests.Put(inflight)
	return Decision{
		Step:       StepDispatch,
		Attempt:    Attempt{handle: handle, serial: inflight.serial},
		Server:     server,
		Idempotent: inflight.idempotent,
		ID:         inflight.id,
		Deadline:   inflight.deadline,
	}
}

// serverLimit returns a function that gives the number of requests this proxy may have in flight at
// a server now: its share of the server's connections, or 0 if backpressure from the server allows
// no further request.
func (k *Kernel) serverLimit(now time.Time) func(*backend.Server) int {
	return func(s *backend.Server) int {
		if !k.serverAccepts(now, s) {
			return 0
		}
		return k.connectionLimit(s)
	}
}

// connectionLimit returns this proxy's share of a server's connections.
func (k *Kernel) connectionLimit(s *backend.Server) int {
	return max(1, s.Connections/max(1, k.quotaSlots))
}

// EndAttempt processes the end of an attempt and decides the next step. If the attempt has already
// ended, it changes nothing and returns a zero decision.
func (k *Kernel) EndAttempt(now time.Time, e AttemptEnd) Decision {
	entry := k.requests.Get(e.Attempt.handle)
	if entry == nil || entry.serial != e.Attempt.serial {
		return Decision{}
	}
	inflight := *entry
	k.requests.Free(e.Attempt.handle)
	k.inFlight--
	k.recordAttemptEnd(now, &inflight, e)
	wasEjected := inflight.server.Ejected()
	if e.Report != nil {
		inflight.server.ApplyReport(*e.Report)
		k.recordSignal(now, inflight.sentAt, inflight.server, *e.Report)
	}
	inflight.server.End(e.Result, now.Sub(inflight.sentAt), now)
	if inflight.server.Ejected() && !wasEjected {
		k.log(now, Event{Kind: EventServerEjected, Target: inflight.server.Name})
	}
	inflight.mayHaveRun = inflight.mayHaveRun || !e.Result.ProvesNotRun()
	switch e.Result {
	case backend.Completed:
		return k.finish(now, inflight, caller.Result{Outcome: caller.OutcomeDone, Response: e.Response})
	case backend.Rejected:
		return k.retryOrFinish(now, inflight, e.NoRetry, caller.Result{Outcome: caller.OutcomeNotRun, Reason: caller.ReasonShed})
	case backend.Unreachable:
		return k.retryOrFinish(now, inflight, e.NoRetry, caller.Result{Outcome: caller.OutcomeNotRun, Reason: caller.ReasonNoServer})
	case backend.Abandoned:
		return k.finish(now, inflight, caller.Result{Outcome: caller.OutcomeUnknown, Reason: caller.ReasonDeadline, RetryAfter: forwardRetryAfter})
	}
	interrupted := caller.Result{Outcome: caller.OutcomeUnknown, Reason: caller.ReasonConnectionLost, RetryAfter: forwardRetryAfter}
	if !inflight.idempotent || e.NoRetry {
		// Bytes were sent and no complete response was received, so the request may have run. A
		// second dispatch could run it twice.
		return k.finish(now, inflight, interrupted)
	}
	return k.retryOrFinish(now, inflight, false, interrupted)
}

// HandleDeadlineExceeded returns the result for a caller whose deadline passes while the attempt is
// still running. The attempt of a non-idempotent request continues for up to ResponseGracePeriod,
// so that its outcome can be recorded.
func (k *Kernel) HandleDeadlineExceeded(now time.Time, a Attempt) caller.Result {
	result := caller.Result{Outcome: caller.OutcomeUnknown, Reason: caller.ReasonDeadline, RetryAfter: forwardRetryAfter}
	if inflight := k.requests.Get(a.handle); inflight != nil && inflight.serial == a.serial {
		k.log(now, Event{Kind: EventOverdue, Service: inflight.service.Name, Request: inflight.id, Target: inflight.server.Name})
	}
	return result
}

// retryOrFinish dispatches the request to another server if a retry is allowed, the deadline has
// not passed and the retry budget permits it. Otherwise it finishes the request with the given
// result.
func (k *Kernel) retryOrFinish(now time.Time, inflight inFlightRequest, noRetry bool, result caller.Result) Decision {
	if noRetry || inflight.attempts >= k.bundle.Retry.MaxAttempts || !now.Before(inflight.deadline) || !inflight.service.retryBudget.TryWithdraw() {
		if result.Outcome == caller.OutcomeNotRun {
			result.RetryAfter = k.jitter(time.Second)
		}
		return k.finish(now, inflight, result)
	}
	return k.dispatch(now, inflight, inflight.server)
}

// outcome returns the outcome of a request that ends with the given one of its last attempt.
func (r *inFlightRequest) outcome(last caller.Outcome) caller.Outcome {
	if last == caller.OutcomeNotRun && r.mayHaveRun {
		return caller.OutcomeUnknown
	}
	return last
}

// finish completes a request that was dispatched at least once.
func (k *Kernel) finish(now time.Time, inflight inFlightRequest, result caller.Result) Decision {
	result.Outcome = inflight.outcome(result.Outcome)
	if inflight.token != nil {
		if result.Outcome == caller.OutcomeNotRun {
			k.tokenRecords.Release(inflight.token.Nonce)
		} else if err := k.tokenRecords.Finish(inflight.token.Nonce, result); err != nil && !k.config.Faults.TokenReuse {
			k.invariantViolated(err.Error() + " " + inflight.id)
		}
	}
	k.log(now, Event{Kind: EventFinished, Service: inflight.service.Name, Request: inflight.id, Target: inflight.server.Name, Outcome: result.Outcome, Reason: result.Reason})
	return Decision{Step: StepFinish, ID: inflight.id, Idempotent: inflight.idempotent, Result: result}
}

// rejectAttempt rejects an attempt before its dispatch.
func (k *Kernel) rejectAttempt(now time.Time, inflight inFlightRequest, reason caller.Reason, retryAfter time.Duration) Decision {
	if inflight.token != nil {
		k.tokenRecords.Release(inflight.token.Nonce)
	}
	result := caller.Result{Outcome: inflight.outcome(caller.OutcomeNotRun), Reason: reason, RetryAfter: k.jitter(retryAfter)}
	k.log(now, Event{Kind: EventRejected, Service: inflight.service.Name, Request: inflight.id, Outcome: result.Outcome, Reason: result.Reason})
	return Decision{Step: StepFinish, ID: inflight.id, Idempotent: inflight.idempotent, Result: result}
}

// rejectRequest rejects a request before its first attempt.
func (k *Kernel) rejectRequest(now time.Time, r Request, reason caller.Reason, retryAfter time.Duration) Decision {
	result := caller.Result{Outcome: caller.OutcomeNotRun, Reason: reason, RetryAfter: retryAfter}
	k.log(now, Event{Kind: EventRejected, Service: r.Service, Outcome: result.Outcome, Reason: result.Reason})
	return Decision{Step: StepFinish, Result: result}
}
