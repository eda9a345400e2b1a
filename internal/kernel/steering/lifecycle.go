package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
)

// BeginRequest starts a request: it matches the route and returns the first step.
func (k *Kernel) BeginRequest(now time.Time, r Request) (*ActiveRequest, Decision) {
	k.requestCount++
	req := &ActiveRequest{Request: r, seq: k.requestCount, startedAt: now, sentAttempt: sentAttempt{workFactor: 1}}
	d := k.beginRequest(now, req)
	if k.config.Record != nil {
		recorded, decision := r, recordedDecisionOf(d)
		k.config.Record(Call{Method: callBegin, At: now, RequestNumber: req.seq, Request: &recorded, Decision: &decision})
	}
	return req, d
}

func (k *Kernel) beginRequest(now time.Time, req *ActiveRequest) Decision {
	if k.table == nil {
		return k.finish(now, req, Decision{Reason: ReasonNoConfiguration, NotRun: true, RetryAfter: k.retryAfter(now, req)})
	}
	req.Route = k.table.Match(req.Host, req.Path)
	if req.Route == nil {
		return k.finish(now, req, Decision{Reason: ReasonNoRoute, NotRun: true})
	}
	if reason := k.authorize(req); reason != ReasonNone {
		d := Decision{Reason: reason, NotRun: true}
		if reason == ReasonNoRegion {
			d.RetryAfter = maxRetryAfter
		}
		return k.finish(now, req, d)
	}
	req.ExpiresAt = now.Add(req.Route.Timeout)
	if !req.Deadline.IsZero() && req.Deadline.Before(req.ExpiresAt) {
		req.ExpiresAt = req.Deadline
	}
	req.timesOutAt = req.ExpiresAt
	if k.shutdown != nil && k.shutdown.InterruptAt().Before(req.ExpiresAt) {
		req.ExpiresAt = k.shutdown.InterruptAt()
	}
	if !req.Route.Sticky || !k.isEnabled(MechanismHomes) {
		// Servers of this route gain nothing from having handled the object before. A single home
		// server per object would only build long queues on some servers while others are idle.
		req.Object = ""
	}
	if req.IsHandover {
		req.reachedServers, req.connectionsLost, req.retries.isRequestCounted = req.AttemptsUsed, req.ConnectionsLost, req.IsCounted
		if k.CutOff() && !k.someServerResponds(now) {
			return k.fail(now, req, ReasonCutOff)
		}
	}
	if k.CutOff() {
		// Before the account is charged: the peer charges it.
		if d, ok := k.handOver(now, req); ok {
			return d
		}
	}
	return k.checkQuota(now, req)
}

// dispatch selects the service of a request that is within its rate limit and sends it.
func (k *Kernel) dispatch(now time.Time, req *ActiveRequest) Decision {
	req.Service, req.charged = k.splitter.Next(req.Route), true
	k.observeArrival(now, req)
	if req.Object != "" {
		k.service(req.Service).demand.Record(now, req.objectKey())
	}
	k.recordDemand(now, req)
	return k.send(now, req)
}

// send chooses a server for the request, or ends the request if there is none.
func (k *Kernel) send(now time.Time, req *ActiveRequest) Decision {
	d, reason := k.trySend(now, req)
	if reason != ReasonNone {
		return k.fail(now, req, reason)
	}
	return d
}

// trySend chooses a server or, if this proxy reaches none, a peer for the request. Without either
// it returns the reason.
func (k *Kernel) trySend(now time.Time, req *ActiveRequest) (Decision, Reason) {
	if k.CutOff() {
		if d, ok := k.handOver(now, req); ok {
			return d, ReasonNone
		}
		if !k.someServerResponds(now) {
			return Decision{}, ReasonCutOff
		}
	}
	target, reason := k.place(now, req)
	if target != nil {
		return k.sendDecision(now, req, target), ReasonNone
	}
	if reason == ReasonNoServer && k.peersMayReach(now, req) {
		if d, ok := k.handOver(now, req); ok {
			return d, ReasonNone
		}
	}
	return Decision{}, reason
}

// place chooses a server and counts the request as in flight there.
func (k *Kernel) place(now time.Time, req *ActiveRequest) (*Target, Reason) {
	svc := k.eligibleService(req.Service)
	if reason := k.reauthorize(req); reason != ReasonNone {
		return nil, reason
	}
	if req.ExpiresAt.Sub(now) < minAttemptTime && len(req.triedServers) > 0 {
		return nil, ReasonTimeout
	}
	if reason := k.checkQuarantine(now, req); reason != ReasonNone {
		return nil, reason
	}
	if !k.shutdownAdmits(now, req, 0) {
		return nil, ReasonShutdown
	}
	s, chosen := k.chooseServer(now, req, svc)
	if s == nil {
		return nil, k.noServerReason(now, req, svc, chosen.reason)
	}
	if !k.shutdownAdmits(now, req, chosen.expected) {
		return nil, ReasonShutdown
	}
	req.yieldsToUrgent = k.yieldsSlots(now, svc, req.priority())
	if len(req.steps) == 0 {
		if reason := k.shed(now, req, svc, s, chosen); reason != ReasonNone {
			return nil, reason
		}
		k.countRequest(now, req, svc)
	}
	k.startAttempt(now, req, s, chosen, false)
	req.slotRequest, req.slotRank = k.newSlotRequest(now, req, svc, s, chosen), 0
	return k.newTarget(svc, s), ReasonNone
}

// startAttempt makes an attempt at a server the current one and counts it as in flight there.
func (k *Kernel) startAttempt(now time.Time, req *ActiveRequest, s *server, chosen choice, isHedge bool) {
	k.quarantine.RecordStart(req.Work)
	k.attemptCount++
	k.reachability.RecordStart(now, k.attemptCount, s.id, chosen.expected)
	req.sentAttempt = sentAttempt{
		id: k.attemptCount, server: s, sentAt: now, expected: chosen.expected, expectedWait: chosen.untilStart - s.rtt.roundTrip, warm: chosen.warm, workFactor: chosen.workFactor,
		loadAtSend: s.load(now), number: (len(req.steps)+1)/2 + 1, isHedge: isHedge,
	}
	state := s.state(now)
	s.use()
	s.inFlight++
	req.unproven++
	s.sentCount++
	s.backpressure.RecordSent(now)
	req.addStep(Event{
		At: now, Kind: EventRequestSent, Server: s.id, Domain: s.Domain, Attempt: req.number, IsHedge: isHedge, Expected: chosen.expected,
		Load: s.load(now), LoadAge: s.loadAge(now), HomeRank: chosen.homeRank, Warm: chosen.warm,
		ExpectedWait: req.expectedWait, State: state, WorkFactor: chosen.workFactor, RetryBudget: req.retries.budget,
	})
}

// chooseServer chooses the server for a request. Requests that are suspected of crashing servers go
// to the least loaded one.
func (k *Kernel) chooseServer(now time.Time, req *ActiveRequest, svc *service) (*server, choice) {
	if req.workSuspected {
		return k.chooseLeastLoaded(now, req, svc)
	}
	return k.chooseByCost(now, req, svc)
}

func (k *Kernel) newTarget(svc *service, s *server) *Target {
	return &Target{Server: s.Server, RoundTrip: s.rtt.roundTrip, MaxConnections: k.maxConnections(svc)}
}

// EndAttempt records how an attempt ended and returns the next step. If the request held a slot,
// the decision contains its release. If two attempts were in flight and the decision does not say
// that the other one continues, that one must be cancelled and its end not be reported.
func (k *Kernel) EndAttempt(now time.Time, req *ActiveRequest, a Attempt) Decision {
	recorded := a
	if k.interrupts(now, req, a.Result) {
		a.Result = ResultInterrupted
	}
	release := req.takeSlotRelease(req.latencyRatio(now, a))
	d := k.endAttempt(now, req, a)
	d.SlotRelease = release
	if k.config.Record != nil {
		decision := recordedDecisionOf(d)
		k.config.Record(Call{Method: callEnded, At: now, RequestNumber: req.seq, Attempt: &recorded, Decision: &decision})
	}
	return d
}

// latencyRatio returns how long the request took on a warm server relative to the route's target,
// or zero if that is unknown. The target does not depend on how fast the servers are, so ratios
// from different times and proxies are comparable. For a request that timed out, the time so far is
// a lower bound.
func (req *ActiveRequest) latencyRatio(now time.Time, a Attempt) float64 {
	if req.slotRequest == nil || req.yieldsToUrgent || !req.warm || req.Route.Target <= 0 || a.Result != ResultResponded && a.Result != ResultTimeout {
		return 0
	}
	return float64(now.Sub(req.sentAt)-req.server.rtt.roundTrip) / float64(req.Route.Target)
}

func (k *Kernel) endAttempt(now time.Time, req *ActiveRequest, a Attempt) Decision {
	other := req.selectEnded(a.Hedge)
	s := req.server
	if !k.isEnabled(MechanismReportedSpeed) {
		a = a.withoutSpeed()
	}
	s.inFlight--
	if !a.rejectedWithFreeSlots(a.slotsOr(s.Slots)) {
		req.triedServers = append(req.triedServers, s)
	}
	elapsed := now.Sub(req.sentAt)
	k.recordReachability(now, &req.sentAttempt, a)
	k.recordCrashEvidence(now, req, s, a)
	k.learnFromAttempt(now, req, s, a, elapsed)
	req.addStep(Event{
		At: now, Kind: EventAttemptEnded, Server: s.id, Attempt: req.number, IsHedge: req.isHedge, Result: a.Result, Proof: a.proof(),
		Expected: req.expected, Duration: elapsed, Load: float64(a.Running + a.Waiting), WorkFactor: a.loadReport().Factor(), Connection: a.Connection, ConnectionUses: a.ConnectionUses, DialTime: a.RoundTrip, Err: a.Err,
	})
	req.countAttempt(a)
	if other != nil {
		if !a.endsRequest() {
			req.sentAttempt = *other
			return Decision{OtherContinues: true}
		}
		k.cancelAttempt(now, req, other, a.Result)
	}
	switch a.Result {
	case ResultResponded:
		return k.returnResponse(now, req, a, ReasonNone)
	case ResultCallerGone:
		return k.finish(now, req, Decision{Reason: ReasonCallerGone})
	case ResultTimeout:
		return k.fail(now, req, ReasonTimeout)
	case ResultInterrupted:
		return k.fail(now, req, ReasonShutdown)
	case ResultUnreachable:
		if req.unreachableElsewhere(s.Domain) {
			if d, ok := k.handOver(now, req); ok {
				return d
			}
		}
		return k.sendAgain(now, req)
	case ResultNotSent:
		return k.sendAgain(now, req)
	}
	reason := reasonOf(a.Result)
	if a.ResponseStarted {
		// Another response can't follow the part that the caller has.
		return k.fail(now, req, reason)
	}
	if k.mayRetry(now, req) {
		var d Decision
		if d, reason = k.trySend(now, req); reason == ReasonNone {
			return d
		}
		k.refundRetry(now, req)
	}
	if a.Result == ResultServerError {
		// A response that reports the server's failure is more informative for the caller than a
		// rejection by the proxy.
		return k.returnResponse(now, req, a, ReasonServerError)
	}
	return k.fail(now, req, reason)
}

// returnResponse ends a request with the response of its server, unless that would tell the caller
// without proof that a request which must not run twice has not run.
func (k *Kernel) returnResponse(now time.Time, req *ActiveRequest, a Attempt, reason Reason) Decision {
	if a.ClaimsNotRun && !req.Route.Idempotent {
		return k.fail(now, req, ReasonServerError)
	}
	return k.finish(now, req, Decision{ReturnResponse: true, Reason: reason})
}

// sendAgain sends a request of which nothing was sent to another server.
func (k *Kernel) sendAgain(now time.Time, req *ActiveRequest) Decision {
	if req.sendAttempts >= maxSends {
		return k.fail(now, req, ReasonNoServer)
	}
	return k.send(now, req)
}

// countAttempt counts an attempt that ended.
func (req *ActiveRequest) countAttempt(a Attempt) {
	req.recordProof(a.proof())
	req.sendAttempts++
	switch a.Result {
	case ResultUnreachable, ResultNotSent, ResultWrongServer:
		// With ResultWrongServer another server has the address, so no server of the service has
		// received the request.
		return
	}
	req.reachedServers++
}

// rejectedWithFreeSlots reports whether the server rejected the request while it had free slots.
// Such a server rejects at random and may well accept the next request. It is warm for the object,
// whereas any other server would run it cold.
func (a Attempt) rejectedWithFreeSlots(slots int) bool {
	return a.Result == ResultRejected && a.Loaded && a.Running < slots && a.Waiting == 0
}

func reasonOf(r Result) Reason {
	if r == ResultRejected || r == ResultWrongServer {
		return ReasonRejected
	}
	return ReasonConnectionLost
}

// fail ends a request immediately without a response.
func (k *Kernel) fail(now time.Time, req *ActiveRequest, reason Reason) Decision {
	d := Decision{Reason: reason, NotRun: !req.mayHaveRun()}
	if req.Account != nil && req.charged && len(req.steps) == 0 {
		k.quotas.limiter.Refund(req.Account.Name)
	}
	if d.NotRun {
		d.RetryAfter = k.retryAfter(now, req)
	}
	if d.NotRun && reason == ReasonBackpressure {
		d.RetryAfter = k.retryAfterBackpressure(req)
	}
	if d.NotRun && reason == ReasonCrashesServers {
		// The fingerprint does not run before its next trial, however early the caller retries.
		d.RetryAfter = req.quarantinedFor
	}
	if d.NotRun && reason == ReasonShutdown {
		// Other proxies accept the request now.
		d.RetryAfter = minRetryAfter
	}
	if d.NotRun {
		req.offer.recordRejection(now, d.RetryAfter)
	}
	return k.finish(now, req, d)
}

// addStep stores a decision until the request ends.
func (req *ActiveRequest) addStep(e Event) { req.steps = append(req.steps, e) }

// finish reports the end of a request together with its earlier decisions.
func (k *Kernel) finish(now time.Time, req *ActiveRequest, d Decision) Decision {
	d.NotRun = d.NotRun && !req.mayHaveRun()
	d.TryOtherProxy = d.TryOtherProxy || k.callersShouldLeave()
	d.ServersReached = req.reachedServers - req.AttemptsUsed
	e := Event{
		At: now, Kind: EventRequestEnded, From: req.HandoverFrom, Request: req.ID, Service: req.Service, Object: req.Object, Fingerprint: req.Work, Version: k.Version(),
		Outcome: d.Outcome(), Reason: d.Reason, Duration: now.Sub(req.startedAt), Attempt: (len(req.steps) + 1) / 2,
		RetryAfter: d.RetryAfter, Pressure: req.shedding.Pressure, Steps: req.steps, Hedge: req.hedgeOutcome(d),
		RetryBudget: req.retries.budget, RetriesCharged: req.retries.count, RetryDenied: req.retries.denied,
		ConnectionUses: req.ConnectionUses,
	}
	if k.shutdown != nil {
		e.SinceShutdown = req.startedAt.Sub(k.shutdown.BegunAt)
	}
	if req.shedding.Cause != admission.ShedNone {
		e.ExpectedWait, e.WaitLimit = req.shedding.Wait, req.shedding.Limit
		if req.offer.tracker != nil {
			e.ShedRatio, e.AccountShedRatio = req.shedding.Ratio, req.shedding.AccountRatio
		}
	}
	if d.NotRun {
		e.Proof = req.lastProof()
	}
	if req.Route != nil {
		e.Route, e.Target = req.Route.Name, req.Route.Target
	}
	if req.Account != nil {
		e.Account = req.Account.Name
	}
	e.Cause, e.State = req.latencyCause(now)
	k.config.Observe(e)
	return d
}

// retryAfter returns the retry delay for a rejected caller. It is randomized so that callers
// rejected at the same time do not return at the same time.
func (k *Kernel) retryAfter(now time.Time, req *ActiveRequest) time.Duration {
	minWait, maxWait := max(minRetryAfter, req.shedding.MinRetryAfter), maxRetryAfter
	if !req.Deadline.IsZero() {
		maxWait = min(maxWait, req.Deadline.Sub(now)/3)
	}
	if req.shedding.MaxRetryAfter > 0 {
		maxWait = min(maxWait, req.shedding.MaxRetryAfter)
	}
	if minWait = min(minWait, max(minRetryAfter, maxWait)); maxWait <= minWait {
		return minWait
	}
	return minWait + time.Duration(k.random.Int64N(int64(maxWait-minWait)))
}
