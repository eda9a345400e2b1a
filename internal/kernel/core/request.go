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
	// AnswerGracePeriod is how long after its deadline a non-idempotent request's
	// answer is still waited for, so that a repeat can be told the outcome.
	AnswerGracePeriod = 5 * time.Second
	// startupPeriod after its start a proxy may not have heard of every minter, so
	// it does not call one gone that it does not know.
	startupPeriod = 10 * time.Second
	// forwardRetryAfter is when to ask again for a token whose minter is silent.
	forwardRetryAfter = time.Second
)

type (
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
		work        quarantine.Work
		// interruptions counts the exchanges that broke.
		interruptions int
		startedAt     time.Time
		sentAt        time.Time
		deadline      time.Time
	}
)

// BeginRequest decides the first step of a caller's request.
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
	f := inFlightRequest{service: s, work: r.Work, startedAt: now, deadline: deadline, homeRegion: k.homeRegion(r.Client)}
	f.idempotent = s.IsIdempotent(r.Method, r.Path)
	if !f.idempotent {
		if d, settled := k.claimToken(now, r, &f); settled {
			return d
		}
	}
	k.regions[f.homeRegion].demand.count++
	s.retryBudget.Deposit(k.bundle.Retry.BudgetPermille)
	return k.dispatch(now, f, nil)
}

// claimToken settles who may dispatch a non-idempotent request. It reports true
// when the decision is made without a dispatch here.
func (k *Kernel) claimToken(now time.Time, r Request, f *inFlightRequest) (Decision, bool) {
	if r.Token == "" {
		d := k.rejectRequest(now, r, caller.ReasonTokenNeeded, 0)
		if t, ok := k.Mint(now, r.Service); ok {
			d.NewToken = t
		}
		return d, true
	}
	t, err := caller.ParseToken(r.Token)
	if err != nil {
		return k.rejectRequest(now, r, caller.ReasonTokenInvalid, 0), true
	}
	if !k.tokenRecords.Owner(t) {
		return k.forwardToMinter(now, r, t, f.deadline), true
	}
	claim, result := k.tokenRecords.Use(t, r.Service, now)
	reuse := k.config.Faults.TokenReuse && result.Outcome != caller.NotRun
	if claim == caller.Settled && !reuse {
		d := Decision{Step: StepFinish, ID: t.ID(), Result: result}
		k.log(now, Event{Kind: EventFinished, Service: r.Service, Request: d.ID, Outcome: result.Outcome, Reason: result.Reason, Detail: "kept"})
		return d, true
	}
	f.token = t
	f.id = t.ID()
	return Decision{}, false
}

// forwardToMinter hands the request to whoever decides over its token. When that
// process is gone, the request may have run before it went: unknown, for ever.
func (k *Kernel) forwardToMinter(now time.Time, r Request, t *caller.Token, deadline time.Time) Decision {
	heir, ok := k.members.Heir(t.Minter)
	if !ok && now.Sub(k.startedAt) < startupPeriod {
		return k.finishUnknown(now, r, t, caller.ReasonMinterSlow, forwardRetryAfter)
	}
	if ok && heir.State == peer.Suspect && k.isVMUnlisted(heir.Name) {
		// It does not answer and the platform says that its VM is gone: the
		// answer will not change any more, and the caller need not come back.
		ok = false
	}
	if !ok || r.Forwarded || heir.Name == k.config.Self.Name {
		return k.finishUnknown(now, r, t, caller.ReasonMinterGone, 0)
	}
	k.log(now, Event{Kind: EventForwarded, Service: r.Service, Request: t.ID(), Target: heir.Name})
	return Decision{Step: StepForward, ID: t.ID(), Peer: heir, Deadline: deadline}
}

// isVMUnlisted reports whether the platform's list is known and lacks a VM.
func (k *Kernel) isVMUnlisted(name string) bool {
	_, listed := k.machines.State(name)
	return k.machines != nil && !listed
}

func (k *Kernel) finishUnknown(now time.Time, r Request, t *caller.Token, reason caller.Reason, after time.Duration) Decision {
	result := caller.Result{Outcome: caller.Unknown, Reason: reason, RetryAfter: after}
	k.log(now, Event{Kind: EventFinished, Service: r.Service, Request: t.ID(), Outcome: result.Outcome, Reason: reason})
	return Decision{Step: StepFinish, ID: t.ID(), Result: result}
}

// HandleForwardFailure is the result when the minter did not answer a forward.
func (k *Kernel) HandleForwardFailure(now time.Time, service, id, minter string) caller.Result {
	k.members.Failed(minter, now)
	result := caller.Result{Outcome: caller.Unknown, Reason: caller.ReasonMinterSlow, RetryAfter: forwardRetryAfter}
	k.log(now, Event{Kind: EventFinished, Service: service, Request: id, Target: minter, Outcome: result.Outcome, Reason: result.Reason})
	return result
}

// Mint makes an idempotency token for a service.
func (k *Kernel) Mint(now time.Time, service string) (string, bool) {
	if k.bundle == nil || k.services[service] == nil || k.stopping {
		return "", false
	}
	var nonce caller.Nonce
	for i := range nonce {
		nonce[i] = byte(k.random.Uint32())
	}
	t, ok := k.tokenRecords.Mint(service, nonce, now, k.bundle.Token.Lifetime.Std(), k.bundle.Token.Retention.Std())
	if !ok {
		return "", false
	}
	k.log(now, Event{Kind: EventTokenMinted, Service: service, Request: t.ID()})
	return t.Text(), true
}

// dispatch admits one attempt: the proxy's own bound, the region, its quota,
// the link's, and a server. Whatever turns it away leaves no trace in the
// counts. avoid is the server of the attempt before.
func (k *Kernel) dispatch(now time.Time, f inFlightRequest, avoid *backend.Server) Decision {
	if reason, after := k.checkQuarantine(now, &f); reason != caller.ReasonNone {
		return k.rejectAttempt(now, f, reason, after)
	}
	if k.inFlight >= k.config.MaxInFlight {
		return k.rejectAttempt(now, f, caller.ReasonBusy, time.Second)
	}
	at := k.regions[f.homeRegion].spreader.Next(k.regions[f.homeRegion].mover.Row())
	if k.regions[at].lost {
		at = k.failoverRegion(now, f, at)
	}
	if at < 0 {
		return k.rejectAttempt(now, f, caller.ReasonNoServer, k.bundle.Shift.FailoverInterval.Std())
	}
	r := k.regions[at]
	if !k.mayUseQuota(now) || !r.quota.Take(now) && !k.config.Faults.QuotaDisabled {
		r.rejected.count++
		return k.rejectAttempt(now, f, caller.ReasonCapacity, k.retryAfter(now, &r.quota))
	}
	link := k.links[linkKey{k.regionIndex(k.config.Self.Region), at}]
	if link != nil && !link.Take(now) {
		r.quota.Undo()
		return k.rejectAttempt(now, f, caller.ReasonLink, k.retryAfter(now, link))
	}
	server := f.service.picker.Pick(now, f.service.byRegion[at], avoid, k.serverLimit(now))
	if server == nil {
		r.quota.Undo()
		if link != nil {
			link.Undo()
		}
		return k.rejectAttempt(now, f, caller.ReasonNoServer, k.pauseRetryAfter(now, f.service.byRegion[at]))
	}
	return k.startAttempt(now, f, at, server)
}

// failoverRegion is a region for one request whose region is lost and whose row
// has not moved yet. It spends from the retry budget, so the traffic that
// jumps ahead of the paced failover stays within that share.
func (k *Kernel) failoverRegion(now time.Time, f inFlightRequest, lost int) int {
	if !f.service.retryBudget.TryWithdraw() {
		return -1
	}
	best, room := -1, 0
	for i, r := range k.regions {
		if i == lost || r.lost || k.bundle.Drained(operator.DrainRegion, r.Name, now) {
			continue
		}
		if free := r.quota.Free(now); free > room {
			best = i
			room = free
		}
	}
	return best
}

func (k *Kernel) startAttempt(now time.Time, f inFlightRequest, at int, server *backend.Server) Decision {
	k.lastSerial++
	f.serial = k.lastSerial
	f.server = server
	f.regionIndex = at
	f.attempts++
	f.sentAt = now
	if f.id == "" {
		f.id = k.config.Self.Name + "-" + strconv.FormatUint(k.lastSerial, 36)
	}
	server.Start()
	k.backpressureOf(server).Sent(now)
	k.quarantine.Started(f.work)
	k.inFlight++
	kind := EventAdmitted
	if f.attempts > 1 {
		kind = EventRetried
	}
	k.log(now, Event{Kind: kind, Service: f.service.Name, Request: f.id, Target: server.Name})
	handle := k.requests.Put(f)
	return Decision{
		Step:       StepDispatch,
		Attempt:    Attempt{handle: handle, serial: f.serial},
		Server:     server,
		Idempotent: f.idempotent,
		ID:         f.id,
		Deadline:   f.deadline,
	}
}

// serverLimit tells how many requests this proxy may have at a server now: its part of the
// server's connections, or none if the server asks for less.
func (k *Kernel) serverLimit(now time.Time) func(*backend.Server) int {
	return func(s *backend.Server) int {
		if !k.serverAccepts(now, s) {
			return 0
		}
		return k.connectionLimit(s)
	}
}

// connectionLimit is this proxy's part of a server's connections.
func (k *Kernel) connectionLimit(s *backend.Server) int {
	return max(1, s.Connections/max(1, k.quotaSlots))
}

// EndAttempt takes in how an attempt ended and decides the next step. An attempt
// that was ended before gets a zero decision: late news changes nothing.
func (k *Kernel) EndAttempt(now time.Time, e AttemptEnd) Decision {
	entry := k.requests.Get(e.Attempt.handle)
	if entry == nil || entry.serial != e.Attempt.serial {
		return Decision{}
	}
	f := *entry
	k.requests.Free(e.Attempt.handle)
	k.inFlight--
	k.recordAttemptEnd(now, &f, e)
	wasOut := f.server.Ejected()
	if e.Report != nil {
		f.server.ApplyReport(*e.Report)
		k.recordSignal(now, f.sentAt, f.server, *e.Report)
	}
	f.server.End(e.Result, now.Sub(f.sentAt), now)
	if f.server.Ejected() && !wasOut {
		k.log(now, Event{Kind: EventServerEjected, Target: f.server.Name})
	}
	switch e.Result {
	case backend.Answered:
		return k.finish(now, f, caller.Result{Outcome: caller.Done, Answer: e.Answer})
	case backend.Rejected:
		return k.retryOrFinish(now, f, e.NoRetry, caller.Result{Outcome: caller.NotRun, Reason: caller.ReasonShed})
	case backend.Unreachable:
		return k.retryOrFinish(now, f, e.NoRetry, caller.Result{Outcome: caller.NotRun, Reason: caller.ReasonNoServer})
	case backend.Abandoned:
		return k.finish(now, f, caller.Result{Outcome: caller.Unknown, Reason: caller.ReasonDeadline, RetryAfter: forwardRetryAfter})
	}
	broken := caller.Result{Outcome: caller.Unknown, Reason: caller.ReasonBroken, RetryAfter: forwardRetryAfter}
	if !f.idempotent || e.NoRetry {
		// Bytes were sent and no whole answer came: it may have run. A second
		// dispatch could run it twice, so there is none.
		return k.finish(now, f, broken)
	}
	return k.retryOrFinish(now, f, false, broken)
}

// HandleDeadlineExceeded is what the caller is told at the deadline while the attempt still
// runs. The attempt goes on for AnswerGracePeriod where its outcome is worth keeping.
func (k *Kernel) HandleDeadlineExceeded(now time.Time, a Attempt) caller.Result {
	result := caller.Result{Outcome: caller.Unknown, Reason: caller.ReasonDeadline, RetryAfter: forwardRetryAfter}
	if f := k.requests.Get(a.handle); f != nil && f.serial == a.serial {
		k.log(now, Event{Kind: EventOverdue, Service: f.service.Name, Request: f.id, Target: f.server.Name})
	}
	return result
}

// retryOrFinish tries another server if the request may be repeated in time and the
// budget allows; otherwise the result stands.
func (k *Kernel) retryOrFinish(now time.Time, f inFlightRequest, final bool, result caller.Result) Decision {
	if final || f.attempts >= k.bundle.Retry.Attempts || !now.Before(f.deadline) || !f.service.retryBudget.TryWithdraw() {
		if result.Outcome == caller.NotRun {
			result.RetryAfter = k.jitter(time.Second)
		}
		return k.finish(now, f, result)
	}
	d := k.dispatch(now, f, f.server)
	if d.Step == StepFinish && result.Outcome == caller.Unknown {
		// The retry was not run, but the attempt before may have been.
		d.Result.Outcome = caller.Unknown
	}
	return d
}

// finish settles a request that was dispatched.
func (k *Kernel) finish(now time.Time, f inFlightRequest, result caller.Result) Decision {
	if f.token != nil {
		if result.Outcome == caller.NotRun {
			k.tokenRecords.Release(f.token.Nonce)
		} else if err := k.tokenRecords.Finish(f.token.Nonce, result); err != nil && !k.config.Faults.TokenReuse {
			k.invariantViolated(err.Error() + " " + f.id)
		}
	}
	k.log(now, Event{Kind: EventFinished, Service: f.service.Name, Request: f.id, Target: f.server.Name, Outcome: result.Outcome, Reason: result.Reason})
	return Decision{Step: StepFinish, ID: f.id, Idempotent: f.idempotent, Result: result}
}

// rejectAttempt refuses an attempt before its dispatch. After a first attempt that
// was itself not run the request as a whole was not run either; again keeps
// the other case apart.
func (k *Kernel) rejectAttempt(now time.Time, f inFlightRequest, reason caller.Reason, after time.Duration) Decision {
	if f.token != nil {
		k.tokenRecords.Release(f.token.Nonce)
	}
	result := caller.Result{Outcome: caller.NotRun, Reason: reason, RetryAfter: k.jitter(after)}
	k.log(now, Event{Kind: EventRefused, Service: f.service.Name, Request: f.id, Outcome: result.Outcome, Reason: result.Reason})
	return Decision{Step: StepFinish, ID: f.id, Idempotent: f.idempotent, Result: result}
}

func (k *Kernel) rejectRequest(now time.Time, r Request, reason caller.Reason, after time.Duration) Decision {
	result := caller.Result{Outcome: caller.NotRun, Reason: reason, RetryAfter: after}
	k.log(now, Event{Kind: EventRefused, Service: r.Service, Outcome: result.Outcome, Reason: result.Reason})
	return Decision{Step: StepFinish, Result: result}
}
