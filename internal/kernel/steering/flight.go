package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
)

// BeginRequest finds the route of a request and its first step.
func (k *Kernel) BeginRequest(now time.Time, r Request) (*ActiveRequest, Decision) {
	k.requestCount++
	f := &ActiveRequest{Request: r, seq: k.requestCount, startedAt: now}
	d := k.beginRequest(now, f)
	if k.config.Record != nil {
		given, v := r, recordedDecisionOf(d)
		k.config.Record(Call{Method: callBegin, At: now, RequestNumber: f.seq, Request: &given, Decision: &v})
	}
	return f, d
}

func (k *Kernel) beginRequest(now time.Time, f *ActiveRequest) Decision {
	if k.table == nil {
		return k.finish(now, f, Decision{Reason: ReasonNoConfiguration, NotRun: true, RetryAfter: k.retryAfter(now, f)})
	}
	f.Route = k.table.Match(f.Host, f.Path)
	if f.Route == nil {
		return k.finish(now, f, Decision{Reason: ReasonNoRoute, NotRun: true})
	}
	if reason := k.authorize(f); reason != ReasonNone {
		d := Decision{Reason: reason, NotRun: true}
		if reason == ReasonNoRegion {
			d.RetryAfter = maxRetryAfter
		}
		return k.finish(now, f, d)
	}
	f.ExpiresAt = now.Add(f.Route.Timeout)
	if !f.Deadline.IsZero() && f.Deadline.Before(f.ExpiresAt) {
		f.ExpiresAt = f.Deadline
	}
	if k.shuttingDown && k.shutdownDeadline.Before(f.ExpiresAt) {
		f.ExpiresAt = k.shutdownDeadline
	}
	if !f.Route.Sticky || !k.isEnabled(MechanismHomes) {
		// No server is faster for having handled the object, and one home each
		// would only leave some servers with long queues while others idle.
		f.Object = ""
	}
	return k.checkQuota(now, f)
}

// dispatch hands a request that is within its limits to a service.
func (k *Kernel) dispatch(now time.Time, f *ActiveRequest) Decision {
	f.Service = k.splitter.Next(f.Route)
	if f.Object != "" {
		k.service(f.Service).demand.Heard(now, f.Object)
	}
	return k.send(now, f)
}

// send picks a server or gives up.
func (k *Kernel) send(now time.Time, f *ActiveRequest) Decision {
	target, reason := k.place(now, f)
	if target == nil {
		return k.fail(now, f, reason)
	}
	return Decision{Server: target, SlotRequest: f.slotRequest}
}

// place picks a server and counts the request in there.
func (k *Kernel) place(now time.Time, f *ActiveRequest) (*Target, Reason) {
	g := k.eligibleService(f.Service)
	if reason := k.reauthorize(f); reason != ReasonNone {
		return nil, reason
	}
	if f.ExpiresAt.Sub(now) < minAttemptTime && len(f.triedServers) > 0 {
		return nil, ReasonTimeout
	}
	if reason := k.checkQuarantine(now, f); reason != ReasonNone {
		return nil, reason
	}
	s, pick := k.chooseServer(now, f, g)
	if s == nil {
		return nil, k.noServerReason(now, f, g, pick.reason)
	}
	if len(f.steps) == 0 {
		if k.shouldShed(now, f, g, s) {
			return nil, ReasonQueuesTooLong
		}
		g.retries.First(now)
	}
	k.quarantine.Started(f.Work)
	f.server, f.sentAt, f.expected, f.warm, f.loadAtSend = s, now, pick.expected, pick.warm, s.load(now)
	state := s.state(now)
	s.inFlight++
	s.sentCount++
	s.backpressure.Sent(now)
	f.addStep(Event{
		At: now, Kind: EventRequestSent, Server: s.id, Domain: s.Domain, Attempt: len(f.steps)/2 + 1, Expected: pick.expected,
		Load: s.load(now), LoadAge: s.loadAge(now), HomeRank: pick.homeRank, Warm: pick.warm,
		ExpectedWait: pick.untilStart - s.rtt.roundTrip, State: state,
	})
	f.slotRequest, f.slotRank = k.newSlotRequest(now, f, g, s, pick), 0
	return k.newTarget(g, s), ReasonNone
}

// chooseServer picks the server for a request, by what is known of its work.
func (k *Kernel) chooseServer(now time.Time, f *ActiveRequest, g *service) (*server, choice) {
	if f.workSuspected {
		return k.chooseLeastLoaded(now, f, g)
	}
	return k.chooseByCost(now, f, g)
}

func (k *Kernel) newTarget(g *service, s *server) *Target {
	return &Target{Server: s.Server, RoundTrip: s.rtt.roundTrip, MaxConnections: k.maxConnections(g)}
}

// EndAttempt takes in how an attempt ended and decides what follows. If the request had
// a place at a gate, the place must be given back.
func (k *Kernel) EndAttempt(now time.Time, f *ActiveRequest, a Attempt) Decision {
	release := f.takeSlotRelease(f.latencyRatio(now, a))
	d := k.endAttempt(now, f, a)
	d.SlotRelease = release
	if k.config.Record != nil {
		given, v := a, recordedDecisionOf(d)
		k.config.Record(Call{Method: callEnded, At: now, RequestNumber: f.seq, Attempt: &given, Decision: &v})
	}
	return d
}

// latencyRatio is how long the work took at a server that knew the object, as a part of the
// route's target; zero if that is not known. The target stays the same whatever the
// servers do, so figures of different moments and proxies compare. One that was not
// answered in time took so long at least.
func (f *ActiveRequest) latencyRatio(now time.Time, a Attempt) float64 {
	if f.slotRequest == nil || !f.warm || f.Route.Target <= 0 || a.Result != ResultAnswered && a.Result != ResultTimeout {
		return 0
	}
	return float64(now.Sub(f.sentAt)-f.server.rtt.roundTrip) / float64(f.Route.Target)
}

func (k *Kernel) endAttempt(now time.Time, f *ActiveRequest, a Attempt) Decision {
	s := f.server
	s.inFlight--
	if !a.refusedWithFreeSlots(s.Slots) {
		f.triedServers = append(f.triedServers, s)
	}
	took := now.Sub(f.sentAt)
	k.recordCrashEvidence(now, f, s, a)
	k.learnFromAttempt(now, f, s, a, took)
	f.addStep(Event{
		At: now, Kind: EventAttemptEnded, Server: s.id, Attempt: len(f.steps)/2 + 1, Result: a.Result,
		Expected: f.expected, Duration: took, Load: float64(a.Running + a.Waiting), Err: a.Err,
	})
	switch a.Result {
	case ResultAnswered:
		return k.finish(now, f, Decision{ReturnResponse: true})
	case ResultCallerGone:
		return k.finish(now, f, Decision{Reason: ReasonCallerGone})
	case ResultTimeout:
		f.mayHaveRun = true
		return k.fail(now, f, ReasonTimeout)
	case ResultUnreachable, ResultNotSent:
		f.sendAttempts++
		if f.sendAttempts >= maxSends {
			return k.fail(now, f, ReasonNoServer)
		}
		return k.send(now, f)
	}
	if a.Result != ResultWrongServer {
		// Another server has the address: none of the service has had it yet.
		f.reachedServers++
	}
	f.sendAttempts++
	f.mayHaveRun = f.mayHaveRun || a.Result == ResultConnectionLost || a.Result == ResultServerError
	reason := reasonOf(a.Result)
	if k.mayRetry(now, f) {
		var target *Target
		if target, reason = k.place(now, f); target != nil {
			return Decision{Server: target, SlotRequest: f.slotRequest}
		}
	}
	if a.Result == ResultServerError {
		// The server's own failure is an answer, and tells more than a refusal.
		return k.finish(now, f, Decision{ReturnResponse: true, Reason: ReasonServerError})
	}
	return k.fail(now, f, reason)
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
func (k *Kernel) mayRetry(now time.Time, f *ActiveRequest) bool {
	if f.mayHaveRun && !f.Route.Idempotent {
		return false
	}
	if !k.isEnabled(MechanismRetries) || f.reachedServers >= f.Route.Attempts || f.sendAttempts >= maxSends || f.connectionsLost >= quarantine.BreaksMost || f.ExpiresAt.Sub(now) < minAttemptTime {
		return false
	}
	if !k.service(f.Service).retries.Spend(now, len(k.limitSharers)) {
		return false
	}
	if f.mayHaveRun && f.Account != nil {
		k.quotas.limiter.Charge(f.Account.Name)
	}
	return true
}

// fail ends a request without an answer, at once.
func (k *Kernel) fail(now time.Time, f *ActiveRequest, reason Reason) Decision {
	d := Decision{Reason: reason, NotRun: !f.mayHaveRun}
	if f.Account != nil && len(f.steps) == 0 {
		k.quotas.limiter.Return(f.Account.Name)
	}
	if d.NotRun {
		d.RetryAfter = k.retryAfter(now, f)
	}
	if d.NotRun && reason == ReasonBackpressure {
		d.RetryAfter = k.retryAfterBackpressure(f)
	}
	if d.NotRun && reason == ReasonCrashesServers {
		// Its work does not run before its next trial, however soon the caller returns.
		d.RetryAfter = f.quarantinedFor
	}
	return k.finish(now, f, d)
}

// addStep keeps a decision until the request ends.
func (f *ActiveRequest) addStep(e Event) { f.steps = append(f.steps, e) }

// finish tells of a request's end together with the decisions before it.
func (k *Kernel) finish(now time.Time, f *ActiveRequest, d Decision) Decision {
	e := Event{
		At: now, Kind: EventRequestEnded, Request: f.ID, Service: f.Service, Object: f.Object, Fingerprint: f.Work, Version: k.Version(),
		Outcome: d.Outcome(), Reason: d.Reason, Duration: now.Sub(f.startedAt), Attempt: (len(f.steps) + 1) / 2,
		RetryAfter: d.RetryAfter, Pressure: f.queuePressure, Steps: f.steps,
	}
	if f.Route != nil {
		e.Route, e.Target = f.Route.Name, f.Route.Target
	}
	if f.Account != nil {
		e.Account = f.Account.Name
	}
	e.Cause, e.State = f.latencyCause(now)
	k.config.Observe(e)
	return d
}

// retryAfter tells a refused caller when to try again: spread, so that callers
// refused together do not return together.
func (k *Kernel) retryAfter(now time.Time, f *ActiveRequest) time.Duration {
	most := maxRetryAfter
	if !f.Deadline.IsZero() {
		most = min(most, f.Deadline.Sub(now)/3)
	}
	if f.maxRetryAfter > 0 {
		most = min(most, f.maxRetryAfter)
	}
	if most <= minRetryAfter {
		return minRetryAfter
	}
	return minRetryAfter + time.Duration(k.random.Int64N(int64(most-minRetryAfter)))
}
