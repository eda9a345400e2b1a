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
	// AnswerGrace is how long after its deadline a non-idempotent request's
	// answer is still waited for, so that a repeat can be told the outcome.
	AnswerGrace = 5 * time.Second
	// youngFor after its start a proxy may not have heard of every minter, so
	// it does not call one gone that it does not know.
	youngFor = 10 * time.Second
	// forwardRetry is when to ask again for a token whose minter is silent.
	forwardRetry = time.Second
)

type (
	flight struct {
		serial     uint64
		id         string
		service    *service
		server     *backend.Server
		regionAt   int
		home       int
		idempotent bool
		token      *caller.Token
		attempts   int
		work       quarantine.Fingerprint
		// breaks counts the exchanges that broke.
		breaks   int
		began    time.Time
		sent     time.Time
		deadline time.Time
	}
)

// Begin decides the first step of a caller's request.
func (k *Kernel) Begin(now time.Time, r Request) Decision {
	if k.bundle == nil {
		return k.refuse(now, r, caller.ReasonNoBundle, time.Second)
	}
	s := k.services[r.Service]
	if s == nil {
		return k.refuse(now, r, caller.ReasonNoService, 0)
	}
	deadline := now.Add(s.Deadline.Std())
	if !r.Deadline.IsZero() && r.Deadline.Before(deadline) {
		deadline = r.Deadline
	}
	if !now.Before(deadline) {
		return k.refuse(now, r, caller.ReasonDeadline, 0)
	}
	f := flight{service: s, work: r.Work, began: now, deadline: deadline, home: k.home(r.Client)}
	f.idempotent = s.IsIdempotent(r.Method, r.Path)
	if !f.idempotent {
		if d, settled := k.claim(now, r, &f); settled {
			return d
		}
	}
	k.regions[f.home].demand.count++
	s.budget.Earn(k.bundle.Retry.BudgetPermille)
	return k.dispatch(now, f, nil)
}

// claim settles who may dispatch a non-idempotent request. It reports true
// when the decision is made without a dispatch here.
func (k *Kernel) claim(now time.Time, r Request, f *flight) (Decision, bool) {
	if r.Token == "" {
		d := k.refuse(now, r, caller.ReasonTokenNeeded, 0)
		if t, ok := k.Mint(now, r.Service); ok {
			d.NewToken = t
		}
		return d, true
	}
	t, err := caller.ParseToken(r.Token)
	if err != nil {
		return k.refuse(now, r, caller.ReasonTokenInvalid, 0), true
	}
	if !k.records.Owner(t) {
		return k.forward(now, r, t, f.deadline), true
	}
	claim, result := k.records.Use(t, r.Service, now)
	reuse := k.config.Break.TokenReuse && result.Outcome != caller.NotRun
	if claim == caller.Settled && !reuse {
		d := Decision{Step: Finish, ID: t.ID(), Result: result}
		k.log(now, Event{Kind: EventFinished, Service: r.Service, Request: d.ID, Outcome: result.Outcome, Reason: result.Reason, Detail: "kept"})
		return d, true
	}
	f.token = t
	f.id = t.ID()
	return Decision{}, false
}

// forward hands the request to whoever decides over its token. When that
// process is gone, the request may have run before it went: unknown, for ever.
func (k *Kernel) forward(now time.Time, r Request, t *caller.Token, deadline time.Time) Decision {
	heir, ok := k.members.Heir(t.Minter)
	if !ok && now.Sub(k.started) < youngFor {
		return k.unknown(now, r, t, caller.ReasonMinterSlow, forwardRetry)
	}
	if ok && heir.State == peer.Suspect && k.unlisted(heir.Name) {
		// It does not answer and the platform says that its VM is gone: the
		// answer will not change any more, and the caller need not come back.
		ok = false
	}
	if !ok || r.Forwarded || heir.Name == k.config.Self.Name {
		return k.unknown(now, r, t, caller.ReasonMinterGone, 0)
	}
	k.log(now, Event{Kind: EventForwarded, Service: r.Service, Request: t.ID(), Target: heir.Name})
	return Decision{Step: Forward, ID: t.ID(), Peer: heir, Deadline: deadline}
}

// unlisted reports whether the platform's list is known and lacks a VM.
func (k *Kernel) unlisted(name string) bool {
	_, listed := k.machines.State(name)
	return k.machines != nil && !listed
}

func (k *Kernel) unknown(now time.Time, r Request, t *caller.Token, reason caller.Reason, after time.Duration) Decision {
	result := caller.Result{Outcome: caller.Unknown, Reason: reason, RetryAfter: after}
	k.log(now, Event{Kind: EventFinished, Service: r.Service, Request: t.ID(), Outcome: result.Outcome, Reason: reason})
	return Decision{Step: Finish, ID: t.ID(), Result: result}
}

// ForwardLost is the result when the minter did not answer a forward.
func (k *Kernel) ForwardLost(now time.Time, service, id, minter string) caller.Result {
	k.members.Failed(minter, now)
	result := caller.Result{Outcome: caller.Unknown, Reason: caller.ReasonMinterSlow, RetryAfter: forwardRetry}
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
	t, ok := k.records.Mint(service, nonce, now, k.bundle.Token.Lifetime.Std(), k.bundle.Token.Retention.Std())
	if !ok {
		return "", false
	}
	k.log(now, Event{Kind: EventTokenMinted, Service: service, Request: t.ID()})
	return t.Text(), true
}

// dispatch admits one attempt: the proxy's own bound, the region, its quota,
// the link's, and a server. Whatever turns it away leaves no trace in the
// counts. avoid is the server of the attempt before.
func (k *Kernel) dispatch(now time.Time, f flight, avoid *backend.Server) Decision {
	if reason, after := k.mayRun(now, &f); reason != caller.ReasonNone {
		return k.turnAway(now, f, reason, after)
	}
	if k.inFlight >= k.config.MaxInFlight {
		return k.turnAway(now, f, caller.ReasonBusy, time.Second)
	}
	at := k.regions[f.home].spreader.Next(k.regions[f.home].mover.Row())
	if k.regions[at].lost {
		at = k.alternative(now, f, at)
	}
	if at < 0 {
		return k.turnAway(now, f, caller.ReasonNoServer, k.bundle.Shift.FailoverInterval.Std())
	}
	r := k.regions[at]
	if !k.mayUseQuota(now) || !r.quota.Take(now) && !k.config.Break.QuotaOff {
		r.refused.count++
		return k.turnAway(now, f, caller.ReasonCapacity, k.comeBack(now, &r.quota))
	}
	link := k.links[linkKey{k.regionIndex(k.config.Self.Region), at}]
	if link != nil && !link.Take(now) {
		r.quota.Undo()
		return k.turnAway(now, f, caller.ReasonLink, k.comeBack(now, link))
	}
	server := f.service.picker.Pick(now, f.service.byRegion[at], avoid, k.room(now))
	if server == nil {
		r.quota.Undo()
		if link != nil {
			link.Undo()
		}
		return k.turnAway(now, f, caller.ReasonNoServer, k.pausedFor(now, f.service.byRegion[at]))
	}
	return k.send(now, f, at, server)
}

// alternative is a region for one request whose region is lost and whose row
// has not moved yet. It spends from the retry budget, so the traffic that
// jumps ahead of the paced failover stays within that share.
func (k *Kernel) alternative(now time.Time, f flight, lost int) int {
	if !f.service.budget.Spend() {
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

func (k *Kernel) send(now time.Time, f flight, at int, server *backend.Server) Decision {
	k.serial++
	f.serial = k.serial
	f.server = server
	f.regionAt = at
	f.attempts++
	f.sent = now
	if f.id == "" {
		f.id = k.config.Self.Name + "-" + strconv.FormatUint(k.serial, 36)
	}
	server.Start()
	k.signalsOf(server).RecordSent(now)
	k.quarantine.RecordStart(f.work)
	k.inFlight++
	kind := EventAdmitted
	if f.attempts > 1 {
		kind = EventRetried
	}
	k.log(now, Event{Kind: kind, Service: f.service.Name, Request: f.id, Target: server.Name})
	handle := k.flights.Put(f)
	return Decision{
		Step:       Dispatch,
		Attempt:    Attempt{flight: handle, serial: f.serial},
		Server:     server,
		Idempotent: f.idempotent,
		ID:         f.id,
		Deadline:   f.deadline,
	}
}

// room tells how many requests this proxy may have at a server now: its part of the
// server's connections, or none if the server asks for less.
func (k *Kernel) room(now time.Time) func(*backend.Server) int {
	return func(s *backend.Server) int {
		if !k.permits(now, s) {
			return 0
		}
		return k.connectionLimit(s)
	}
}

// connectionLimit is this proxy's part of a server's connections.
func (k *Kernel) connectionLimit(s *backend.Server) int {
	return max(1, s.Connections/max(1, k.quotaSlots))
}

// End takes in how an attempt ended and decides the next step. An attempt
// that was ended before gets a zero decision: late news changes nothing.
func (k *Kernel) End(now time.Time, e AttemptEnd) Decision {
	entry := k.flights.Get(e.Attempt.flight)
	if entry == nil || entry.serial != e.Attempt.serial {
		return Decision{}
	}
	f := *entry
	k.flights.Free(e.Attempt.flight)
	k.inFlight--
	k.learnEnd(now, &f, e)
	wasOut := f.server.Out()
	if e.Report != nil {
		f.server.Learn(*e.Report)
		k.hearSignal(now, f.sent, f.server, *e.Report)
	}
	f.server.End(e.Result, now.Sub(f.sent), now)
	if f.server.Out() && !wasOut {
		k.log(now, Event{Kind: EventServerOut, Target: f.server.Name})
	}
	switch e.Result {
	case backend.Answered:
		return k.finish(now, f, caller.Result{Outcome: caller.Done, Answer: e.Answer})
	case backend.Refused:
		return k.again(now, f, e.Final, caller.Result{Outcome: caller.NotRun, Reason: caller.ReasonShed})
	case backend.Unreachable:
		return k.again(now, f, e.Final, caller.Result{Outcome: caller.NotRun, Reason: caller.ReasonNoServer})
	case backend.Abandoned:
		return k.finish(now, f, caller.Result{Outcome: caller.Unknown, Reason: caller.ReasonDeadline, RetryAfter: forwardRetry})
	}
	broken := caller.Result{Outcome: caller.Unknown, Reason: caller.ReasonBroken, RetryAfter: forwardRetry}
	if !f.idempotent || e.Final {
		// Bytes were sent and no whole answer came: it may have run. A second
		// dispatch could run it twice, so there is none.
		return k.finish(now, f, broken)
	}
	return k.again(now, f, false, broken)
}

// Overdue is what the caller is told at the deadline while the attempt still
// runs. The attempt goes on for AnswerGrace where its outcome is worth keeping.
func (k *Kernel) Overdue(now time.Time, a Attempt) caller.Result {
	result := caller.Result{Outcome: caller.Unknown, Reason: caller.ReasonDeadline, RetryAfter: forwardRetry}
	if f := k.flights.Get(a.flight); f != nil && f.serial == a.serial {
		k.log(now, Event{Kind: EventOverdue, Service: f.service.Name, Request: f.id, Target: f.server.Name})
	}
	return result
}

// again tries another server if the request may be repeated in time and the
// budget allows; otherwise the result stands.
func (k *Kernel) again(now time.Time, f flight, final bool, result caller.Result) Decision {
	if final || f.attempts >= k.bundle.Retry.Attempts || !now.Before(f.deadline) || !f.service.budget.Spend() {
		if result.Outcome == caller.NotRun {
			result.RetryAfter = k.jitter(time.Second)
		}
		return k.finish(now, f, result)
	}
	d := k.dispatch(now, f, f.server)
	if d.Step == Finish && result.Outcome == caller.Unknown {
		// The retry was not run, but the attempt before may have been.
		d.Result.Outcome = caller.Unknown
	}
	return d
}

// finish settles a request that was dispatched.
func (k *Kernel) finish(now time.Time, f flight, result caller.Result) Decision {
	if f.token != nil {
		if result.Outcome == caller.NotRun {
			k.records.Release(f.token.Nonce)
		} else if err := k.records.Finish(f.token.Nonce, result); err != nil && !k.config.Break.TokenReuse {
			k.broken(err.Error() + " " + f.id)
		}
	}
	k.log(now, Event{Kind: EventFinished, Service: f.service.Name, Request: f.id, Target: f.server.Name, Outcome: result.Outcome, Reason: result.Reason})
	return Decision{Step: Finish, ID: f.id, Idempotent: f.idempotent, Result: result}
}

// turnAway refuses an attempt before its dispatch. After a first attempt that
// was itself not run the request as a whole was not run either; again keeps
// the other case apart.
func (k *Kernel) turnAway(now time.Time, f flight, reason caller.Reason, after time.Duration) Decision {
	if f.token != nil {
		k.records.Release(f.token.Nonce)
	}
	result := caller.Result{Outcome: caller.NotRun, Reason: reason, RetryAfter: k.jitter(after)}
	k.log(now, Event{Kind: EventRefused, Service: f.service.Name, Request: f.id, Outcome: result.Outcome, Reason: result.Reason})
	return Decision{Step: Finish, ID: f.id, Idempotent: f.idempotent, Result: result}
}

func (k *Kernel) refuse(now time.Time, r Request, reason caller.Reason, after time.Duration) Decision {
	result := caller.Result{Outcome: caller.NotRun, Reason: reason, RetryAfter: after}
	k.log(now, Event{Kind: EventRefused, Service: r.Service, Outcome: result.Outcome, Reason: result.Reason})
	return Decision{Step: Finish, Result: result}
}
