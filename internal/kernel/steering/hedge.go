package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
	"github.com/gypsumquay/gypsumquay/internal/kernel/hedging"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
)

const (
	// HedgeNone is the outcome of a request that was not hedged.
	HedgeNone HedgeOutcome = ""
	// HedgeWon means that the caller gets the response of the second attempt.
	HedgeWon HedgeOutcome = "won"
	// HedgeLost means that the second attempt made no difference.
	HedgeLost HedgeOutcome = "lost"
)

type (
	// HedgeOutcome is what the hedge of a request achieved.
	HedgeOutcome string
)

// sendDecision returns the decision to send a request to the server that place has chosen.
func (k *Kernel) sendDecision(now time.Time, req *ActiveRequest, target *Target) Decision {
	d := Decision{Server: target, SlotRequest: req.slotRequest}
	if req.Route.Idempotent && req.warm && k.mayHedge(req) {
		d.HedgeAfter, _ = hedging.Delay(k.hedgeRequest(now, req), &req.workEstimate.warmRuns)
	}
	return d
}

// mayHedge reports whether hedges are enabled for a request. Requests in progress are not hedged
// once another configuration is active, which may forbid the account or the route, nor while the
// process shuts down.
func (k *Kernel) mayHedge(req *ActiveRequest) bool {
	return k.isEnabled(MechanismHedging) && k.isEnabled(MechanismRetries) && !req.hedged && k.shutdown == nil && req.tableVersion == k.table.Version
}

// BeginHedge begins a second attempt of a request whose attempt has been in flight for
// Decision.HedgeAfter. If the decision has no server, the first attempt continues alone.
func (k *Kernel) BeginHedge(now time.Time, req *ActiveRequest) Decision {
	d := k.beginHedge(now, req)
	if k.config.Record != nil {
		decision := recordedDecisionOf(d)
		k.config.Record(Call{Method: callBeginHedge, At: now, RequestNumber: req.seq, Decision: &decision})
	}
	return d
}

func (k *Kernel) beginHedge(now time.Time, req *ActiveRequest) Decision {
	if req.server == nil || req.hedge != nil || !k.mayHedge(req) {
		return Decision{}
	}
	svc, runs := k.eligibleService(req.Service), &req.workEstimate.warmRuns
	servers := k.hedgeServers(now, req, svc)
	candidates := make([]hedging.Server, 0, len(servers))
	for _, s := range servers {
		candidates = append(candidates, k.hedgeServer(now, req, svc, s))
	}
	i, verdict := hedging.Choose(k.hedgeRequest(now, req), runs, k.hedgeLoad(now, req, svc), candidates)
	if verdict != hedging.Allowed || !svc.retries.TrySpendHedge(now) {
		return Decision{}
	}
	req.recordCharge(now, k.retryBudgetState(now, svc), true)
	if req.Account != nil {
		k.quotas.limiter.Charge(req.Account.Name)
	}
	k.startHedge(now, req, servers[i])
	return Decision{Server: k.newTarget(svc, servers[i])}
}

// startHedge adds a second attempt at a server to the one in flight.
func (k *Kernel) startHedge(now time.Time, req *ActiveRequest, s *server) {
	first := req.sentAttempt
	k.startAttempt(now, req, s, k.estimate(now, req, s, nil), true)
	hedge := req.sentAttempt
	req.sentAttempt, req.hedge, req.hedged = first, &hedge, true
}

// hedgeRequest describes a request for the decision on a hedge.
func (k *Kernel) hedgeRequest(now time.Time, req *ActiveRequest) hedging.Request {
	status, _ := k.quarantine.Status(now, req.Work)
	return hedging.Request{
		// The attempt in flight and the hedge count as two.
		Repeatable: req.Route.Idempotent && req.reachedServers+2 <= req.Route.Attempts && req.sendAttempts+2 <= maxSends,
		Warm:       req.warm,
		HoldsSlot:  req.slotRequest != nil || k.isLimited(now, k.service(req.Service)),
		Suspected:  req.workSuspected || status != quarantine.Clear || req.connectionsLost > 0,
		RoundTrip:  req.server.rtt.roundTrip, ExpectedWait: req.expectedWait, WorkFactor: req.server.reported.Factor(now),
		UntilTarget:  req.startedAt.Add(req.Route.Target).Sub(now),
		UntilTimeout: req.ExpiresAt.Sub(now) - minAttemptTime,
	}
}

// hedgeServers lists the servers that are warm for the object of a request, beginning with the one
// that its attempt is in flight at.
func (k *Kernel) hedgeServers(now time.Time, req *ActiveRequest, svc *service) []*server {
	list := []*server{req.server}
	for _, s := range svc.warmServers[req.objectKey()] {
		if s != req.server && s.isWarm(req.objectKey(), now) {
			list = append(list, s)
		}
	}
	return list
}

func (k *Kernel) hedgeServer(now time.Time, req *ActiveRequest, svc *service, s *server) hedging.Server {
	slowdown, connectionLimit := s.reported.Factor(now), k.maxConnections(svc)
	if k.useSlowdown && !s.reported.ReportsSpeed() {
		// What a proxy learns from durations exceeds the limit for several responses after a single
		// slow run, and hedges are sent for slow runs. Reports have no such effect.
		slowdown = max(1, s.slowdown)
	}
	return hedging.Server{
		Usable: svc.registered[s.id] == s && !k.evacuatedDomains[s.Domain] && k.mayUse(now, req, s) && (connectionLimit == 0 || s.inFlight < connectionLimit),
		Warm:   s.isWarm(req.objectKey(), now), Cold: s.isCold(now), Wait: k.estimate(now, req, s, nil).untilStart - s.rtt.roundTrip, Slowdown: slowdown, RoundTrip: s.rtt.roundTrip,
	}
}

// hedgeLoad describes the queues in the region of the attempt in flight.
func (k *Kernel) hedgeLoad(now time.Time, req *ActiveRequest, svc *service) hedging.Load {
	pressure := svc.capacity.Load(now, req.server.region).Pressure
	return hedging.Load{Pressure: pressure, Shedding: admission.ShedRatio(pressure) > 0}
}

// selectEnded makes the attempt that has ended the current one, and returns the other if it is
// still in flight.
func (req *ActiveRequest) selectEnded(isHedge bool) *sentAttempt {
	other := req.hedge
	if other != nil && isHedge {
		first := req.sentAttempt
		req.sentAttempt, other = *other, &first
	}
	req.hedge = nil
	return other
}

// endsRequest reports whether the request ends with the attempt even if another is in flight.
func (a Attempt) endsRequest() bool {
	return a.Result == ResultResponded || a.Result == ResultCallerGone || a.Result == ResultInterrupted || a.ResponseStarted
}

// cancelAttempt records that an attempt is cancelled because the other one ended the request with a
// result. It counts as neither a failure nor a success of its server.
func (k *Kernel) cancelAttempt(now time.Time, req *ActiveRequest, cancelled *sentAttempt, result Result) {
	s, elapsed := cancelled.server, now.Sub(cancelled.sentAt)
	s.inFlight--
	k.reachability.RecordEnd(cancelled.id)
	k.quarantine.RecordStop(req.Work)
	if !cancelled.isHedge && result == ResultResponded {
		k.learnRunTime(req, cancelled, s.reported.Factor(now), elapsed)
	}
	req.addStep(Event{
		At: now, Kind: EventAttemptEnded, Server: s.id, Attempt: cancelled.number, IsHedge: cancelled.isHedge, Result: ResultCancelled,
		Expected: cancelled.expected, Duration: elapsed,
	})
}

// learnRunTime records how long a warm run took, or has taken so far if it was cancelled.
// factorAfter is the work factor of its server at its end.
func (k *Kernel) learnRunTime(req *ActiveRequest, a *sentAttempt, factorAfter float64, elapsed time.Duration) {
	if a.warm && req.Route.Idempotent {
		req.workEstimate.warmRuns.Record(elapsed-a.server.rtt.roundTrip-a.expectedWait, a.workFactor, factorAfter)
	}
}

// hedgeOutcome returns what the hedge of a request that ends with a decision achieved.
func (req *ActiveRequest) hedgeOutcome(d Decision) HedgeOutcome {
	switch {
	case !req.hedged:
		return HedgeNone
	case d.ReturnResponse && d.Reason == ReasonNone && req.isHedge:
		return HedgeWon
	}
	return HedgeLost
}
