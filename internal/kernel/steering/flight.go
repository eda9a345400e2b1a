package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
)

// BeginRequest finds the route of a request and its first step.
func (k *Kernel) BeginRequest(now time.Time, r Request) (*ActiveRequest, Decision) {
	k.requestCount++
	req := &ActiveRequest{Request: r, seq: k.requestCount, startedAt: now}
	d := k.beginRequest(now, req)
	if k.config.Record != nil {
		given, v := r, recordedDecisionOf(d)
		k.config.Record(Call{Method: callBegin, At: now, RequestNumber: req.seq, Request: &given, Decision: &v})
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
	if k.shuttingDown && k.shutdownDeadline.Before(req.ExpiresAt) {
		req.ExpiresAt = k.shutdownDeadline
	}
	if !req.Route.Sticky || !k.isEnabled(MechanismHomes) {
		// No server is faster for having handled the object, and one home each
		// would only leave some servers with long queues while others idle.
		req.Object = ""
	}
	return k.checkQuota(now, req)
}

// dispatch hands a request that is within its limits to a service.
func (k *Kernel) dispatch(now time.Time, req *ActiveRequest) Decision {
	req.Service = k.splitter.Next(req.Route)
	if req.Object != "" {
		k.service(req.Service).demand.Heard(now, req.Object)
	}
	return k.send(now, req)
}

// send picks a server or gives up.
func (k *Kernel) send(now time.Time, req *ActiveRequest) Decision {
	target, reason := k.place(now, req)
	if target == nil {
		return k.fail(now, req, reason)
	}
	return Decision{Server: target, SlotRequest: req.slotRequest}
}

// place picks a server and counts the request in there.
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
	s, pick := k.chooseServer(now, req, svc)
	if s == nil {
		return nil, k.noServerReason(now, req, svc, pick.reason)
	}
	if len(req.steps) == 0 {
		if k.shouldShed(now, req, svc, s) {
			return nil, ReasonQueuesTooLong
		}
		svc.retries.First(now)
	}
	k.quarantine.Started(req.Work)
	req.server, req.sentAt, req.expected, req.warm, req.loadAtSend = s, now, pick.expected, pick.warm, s.load(now)
	state := s.state(now)
	s.inFlight++
	s.sentCount++
	s.backpressure.Sent(now)
	req.addStep(Event{
		At: now, Kind: EventRequestSent, Server: s.id, Domain: s.Domain, Attempt: len(req.steps)/2 + 1, Expected: pick.expected,
		Load: s.load(now), LoadAge: s.loadAge(now), HomeRank: pick.homeRank, Warm: pick.warm,
		ExpectedWait: pick.untilStart - s.rtt.roundTrip, State: state,
	})
	req.slotRequest, req.slotRank = k.newSlotRequest(now, req, svc, s, pick), 0
	return k.newTarget(svc, s), ReasonNone
}

// chooseServer picks the server for a request, by what is known of its work.
func (k *Kernel) chooseServer(now time.Time, req *ActiveRequest, svc *service) (*server, choice) {
	if req.workSuspected {
		return k.chooseLeastLoaded(now, req, svc)
	}
	return k.chooseByCost(now, req, svc)
}

func (k *Kernel) newTarget(svc *service, s *server) *Target {
	return &Target{Server: s.Server, RoundTrip: s.rtt.roundTrip, MaxConnections: k.maxConnections(svc)}
}

// EndAttempt takes in how an attempt ended and decides what follows. If the request had
// a place at a gate, the place must be given back.
func (k *Kernel) EndAttempt(now time.Time, req *ActiveRequest, a Attempt) Decision {
	release := req.takeSlotRelease(req.latencyRatio(now, a))
	d := k.endAttempt(now, req, a)
	d.SlotRelease = release
	if k.config.Record != nil {
		given, v := a, recordedDecisionOf(d)
		k.config.Record(Call{Method: callEnded, At: now, RequestNumber: req.seq, Attempt: &given, Decision: &v})
	}
	return d
}

// latencyRatio is how long the work took at a server that knew the object, as a part of the
// route's target; zero if that is not known. The target stays the same whatever the
// servers do, so figures of different moments and proxies compare. One that was not
// answered in time took so long at least.
func (req *ActiveRequest) latencyRatio(now time.Time, a Attempt) float64 {
	if req.slotRequest == nil || !req.warm || req.Route.Target <= 0 || a.Result != ResultAnswered && a.Result != ResultTimeout {
		return 0
	}
	return float64(now.Sub(req.sentAt)-req.server.rtt.roundTrip) / float64(req.Route.Target)
}

func (k *Kernel) endAttempt(now time.Time, req *ActiveRequest, a Attempt) Decision {
	s := req.server
	s.inFlight--
	if !a.refusedWithFreeSlots(s.Slots) {
		req.triedServers = append(req.triedServers, s)
	}
	took := now.Sub(req.sentAt)
	k.recordCrashEvidence(now, req, s, a)
	k.learnFromAttempt(now, req, s, a, took)
	req.addStep(Event{
		At: now, Kind: EventAttemptEnded, Server: s.id, Attempt: len(req.steps)/2 + 1, Result: a.Result,
		Expected: req.expected, Duration: took, Load: float64(a.Running + a.Waiting), Err: a.Err,
	})
	switch a.Result {
	case ResultAnswered:
		return k.finish(now, req, Decision{ReturnResponse: true})
	case ResultCallerGone:
		return k.finish(now, req, Decision{Reason: ReasonCallerGone})
	case ResultTimeout:
		req.mayHaveRun = true
		return k.fail(now, req, ReasonTimeout)
	case ResultUnreachable, ResultNotSent:
		req.sendAttempts++
		if req.sendAttempts >= maxSends {
			return k.fail(now, req, ReasonNoServer)
		}
		return k.send(now, req)
	}
	if a.Result != ResultWrongServer {
		// Another server has the address: none of the service has had it yet.
		req.reachedServers++
	}
	req.sendAttempts++
	req.mayHaveRun = req.mayHaveRun || a.Result == ResultConnectionLost || a.Result == ResultServerError
	reason := reasonOf(a.Result)
	if k.mayRetry(now, req) {
		var target *Target
		if target, reason = k.place(now, req); target != nil {
			return Decision{Server: target, SlotRequest: req.slotRequest}
		}
	}
	if a.Result == ResultServerError {
		// The server's own failure is an answer, and tells more than a refusal.
		return k.finish(now, req, Decision{ReturnResponse: true, Reason: ReasonServerError})
	}
	return k.fail(now, req, reason)
}

// refusedWithFreeSlots reports whether the server refused the request while it had
// slots to spare. Such a server refuses by chance, and the next request may
// well be taken: it knows the object, and every other would run it cold.
func (a Attempt) refusedWithFreeSlots(slots int) bool {
	return a.Result == ResultRefused && a.Loaded && a.Running < slots && a.Waiting == 0
}

func reasonOf(r Result) Reason {
	if r == ResultRefused || r == ResultWrongServer {
		return ReasonRefused
	}
	return ReasonConnectionLost
}

// mayRetry decides whether a request that reached a server may go to another.
func (k *Kernel) mayRetry(now time.Time, req *ActiveRequest) bool {
	if req.mayHaveRun && !req.Route.Idempotent {
		return false
	}
	if !k.isEnabled(MechanismRetries) || req.reachedServers >= req.Route.Attempts || req.sendAttempts >= maxSends || req.connectionsLost >= quarantine.BreaksMost || req.ExpiresAt.Sub(now) < minAttemptTime {
		return false
	}
	if !k.service(req.Service).retries.Spend(now, len(k.limitSharers)) {
		return false
	}
	if req.mayHaveRun && req.Account != nil {
		k.quotas.limiter.Charge(req.Account.Name)
	}
	return true
}

// fail ends a request without an answer, at once.
func (k *Kernel) fail(now time.Time, req *ActiveRequest, reason Reason) Decision {
	d := Decision{Reason: reason, NotRun: !req.mayHaveRun}
	if req.Account != nil && len(req.steps) == 0 {
		k.quotas.limiter.Return(req.Account.Name)
	}
	if d.NotRun {
		d.RetryAfter = k.retryAfter(now, req)
	}
	if d.NotRun && reason == ReasonBackpressure {
		d.RetryAfter = k.retryAfterBackpressure(req)
	}
	if d.NotRun && reason == ReasonCrashesServers {
		// Its work does not run before its next trial, however soon the caller returns.
		d.RetryAfter = req.quarantinedFor
	}
	return k.finish(now, req, d)
}

// addStep keeps a decision until the request ends.
func (req *ActiveRequest) addStep(e Event) { req.steps = append(req.steps, e) }

// finish tells of a request's end together with the decisions before it.
func (k *Kernel) finish(now time.Time, req *ActiveRequest, d Decision) Decision {
	e := Event{
		At: now, Kind: EventRequestEnded, Request: req.ID, Service: req.Service, Object: req.Object, Fingerprint: req.Work, Version: k.Version(),
		Outcome: d.Outcome(), Reason: d.Reason, Duration: now.Sub(req.startedAt), Attempt: (len(req.steps) + 1) / 2,
		RetryAfter: d.RetryAfter, Pressure: req.queuePressure, Steps: req.steps,
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

// retryAfter tells a refused caller when to try again: spread, so that callers
// refused together do not return together.
func (k *Kernel) retryAfter(now time.Time, req *ActiveRequest) time.Duration {
	most := maxRetryAfter
	if !req.Deadline.IsZero() {
		most = min(most, req.Deadline.Sub(now)/3)
	}
	if req.maxRetryAfter > 0 {
		most = min(most, req.maxRetryAfter)
	}
	if most <= minRetryAfter {
		return minRetryAfter
	}
	return minRetryAfter + time.Duration(k.random.Int64N(int64(most-minRetryAfter)))
}
