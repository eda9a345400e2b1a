package steering

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
)

const (
	// maxSlotRequestShare is the largest part of a route's target that the round trip for a slot
	// request may take. The request itself takes the same round trip afterwards.
	maxSlotRequestShare = 0.2
	// unresponsiveOwnerBackoff is how long no slots are requested from the owner of a limiter after
	// it did not reply.
	unresponsiveOwnerBackoff = time.Second
)

type (
	// SlotRequest requests a slot at a server from the proxy that owns the server's limiter.
	SlotRequest struct {
		Owner  Proxy
		Server string
		// Limit is the concurrency limit known to the requesting proxy.
		Limit admission.Limit
		// Work is the minimum duration of such requests at the server, or zero if it is unknown.
		Work time.Duration
		admission.Ticket
	}

	// SlotReply is the owner's immediate reply to a SlotRequest.
	SlotReply struct {
		admission.Grant
		// Running and Waiting are the load of the server as seen by its limiter.
		Running, Waiting int
		// Limit is the concurrency limit of the server as learned by the owner.
		Limit admission.Limit
		// Unknown is set if the owner does not know the server. The request then needs no slot.
		Unknown bool
		// Whole is set if the servers may use all their slots at present. Sound is set if they are
		// known not to slow down when all slots are in use.
		Whole, Sound bool
	}

	// SlotRelease returns a slot. Ratio is the duration of the request relative to the route's
	// target, or zero if it is unknown.
	SlotRelease struct {
		Owner  Proxy
		Server string
		From   string
		ID     uint64
		Rank   int
		Ratio  float64
	}
)

// newSlotRequest returns the slot request that must precede the request, or nil if none is needed.
func (k *Kernel) newSlotRequest(now time.Time, req *ActiveRequest, svc *service, s *server, chosen choice) *SlotRequest {
	if !k.isLimited(now, svc) && !req.yieldsToUrgent || now.Before(s.skipOwnerUntil) || s.isCold(now) {
		// A cold server gets the requests that its rate allows within the same second, without a
		// wait for slots.
		return nil
	}
	owner, found := k.limiterOwner(s)
	roundTrip := s.rtt.roundTrip
	if !found || roundTrip > time.Duration(maxSlotRequestShare*float64(req.Route.Target)) {
		return nil
	}
	work := chosen.expected - chosen.untilStart
	// Requests are denied only on measured durations. For a route without measurements the estimate
	// is its target, and denying on that basis would keep routes with short timeouts from ever
	// being served.
	minWork := svc.workOf(req.Route).warm
	r := &SlotRequest{
		Owner: owner, Server: s.id, Limit: svc.concurrency.learnedLimits[s.Slots], Work: minWork,
		Ticket: admission.Ticket{
			ID: req.seq, From: k.config.Name, Priority: req.priority(),
			Good: req.startedAt.Add(req.Route.Target - work - roundTrip), Last: req.ExpiresAt.Add(-minWork - roundTrip), Until: req.ExpiresAt,
		},
	}
	if req.yieldsToUrgent {
		// The grant takes a round trip, and so does the request.
		r.Last = req.startedAt.Add(admission.MaxYieldWait(req.Route.Target - minWork - 2*roundTrip))
	}
	return r
}

// limiterOwner returns the proxy that owns the limiter of a server. All proxies that know the same
// proxies agree on it: it is chosen by hash from the proxies of the server's failure domain, or of
// its region if the domain has none.
func (k *Kernel) limiterOwner(s *server) (Proxy, bool) {
	best, found := Proxy{}, false
	rankOf := func(p Proxy) (int, uint64) { return proximity(p, s), xxhash.Sum64String(p.Name + "/" + s.id) }
	for _, p := range k.proxies {
		if p.Leaving || p.Region != s.region {
			continue
		}
		distance, score := rankOf(p)
		bestDistance, bestScore := rankOf(best)
		if !found || cmp.Or(cmp.Compare(distance, bestDistance), cmp.Compare(score, bestScore)) < 0 {
			best, found = p, true
		}
	}
	return best, found
}

// HandleSlotReply handles the reply to a slot request, or its absence, and returns the next step.
// Without a reply the request is sent as if there were no limiter: the owner may be gone or
// partitioned, and callers must not wait for it.
func (k *Kernel) HandleSlotReply(now time.Time, req *ActiveRequest, r SlotReply, replied bool) Decision {
	d := k.handleSlotReply(now, req, r, replied)
	if k.config.Record != nil {
		decision := recordedDecisionOf(d)
		k.config.Record(Call{Method: callSlotReply, At: now, RequestNumber: req.seq, SlotReply: &r, Flag: replied, Decision: &decision})
	}
	return d
}

func (k *Kernel) handleSlotReply(now time.Time, req *ActiveRequest, r SlotReply, replied bool) Decision {
	s, svc := req.server, k.service(req.Service)
	switch {
	case !replied:
		s.skipOwnerUntil = now.Add(unresponsiveOwnerBackoff)
	case !r.Unknown && !req.yieldsToUrgent:
		k.learnFromSlotReply(now, req, s, svc, r)
	}
	if replied && r.Verdict == admission.Denied || now.After(req.latestStart()) {
		// Any slot is released, since the owner's grant may have been lost.
		release := k.abandonSlot(req)
		req.addStep(Event{
			At: now, Kind: EventAttemptEnded, Server: s.id, Attempt: req.number, Result: ResultRejected, Proof: ProofUnsent,
			Expected: req.expected, Duration: now.Sub(req.sentAt), Load: float64(r.Running + r.Waiting),
		})
		d := k.slotDenied(now, req, svc, s)
		d.SlotRelease = release
		return d
	}
	if reason := k.reauthorize(req); reason != ReasonNone {
		// The key of the account was revoked while the request waited.
		release := k.abandonSlot(req)
		d := k.failUnsent(now, req, reason)
		d.SlotRelease = release
		return d
	}
	if s.isCold(now) || !req.allowedRegions.has(s.regionBit) || !k.ServerStillAccepts(now, req, false) {
		// The server left, was paused or evacuated, or became cold while the request waited.
		release := k.abandonSlot(req)
		req.triedServers = append(req.triedServers, s)
		d := k.send(now, req)
		d.SlotRelease = release
		return d
	}
	if !k.shutdownAdmits(now, req, max(0, req.expected-req.expectedWait)) {
		release := k.abandonSlot(req)
		d := k.failUnsent(now, req, ReasonShutdown)
		d.SlotRelease = release
		return d
	}
	if !k.rechargeLateRetry(now, req) {
		release := k.abandonSlot(req)
		d := k.fail(now, req, ReasonRejected)
		d.SlotRelease = release
		return d
	}
	if r.Unknown {
		req.slotRequest = nil
	}
	req.slotRank, req.sentAt, req.expectedWait = r.Rank, now, 0
	req.workFactor = s.reported.Factor(now)
	req.expected = s.rtt.roundTrip + time.Duration(req.workFactor*float64(svc.workOf(req.Route).expected(req.warm, req.Route.Target)))
	return Decision{Server: k.newTarget(svc, s)}
}

// abandonSlot ends an attempt that was not sent and returns the release of its slot.
func (k *Kernel) abandonSlot(req *ActiveRequest) *SlotRelease {
	req.server.inFlight--
	req.recordProof(ProofUnsent)
	k.quarantine.RecordStop(req.Work)
	return req.takeSlotRelease(0)
}

// failUnsent ends a request whose last attempt was not sent.
func (k *Kernel) failUnsent(now time.Time, req *ActiveRequest, reason Reason) Decision {
	k.refundRetry(now, req)
	return k.fail(now, req, reason)
}

// slotDenied returns the next step of a request that got no slot. One that yields to more urgent
// requests may run at another server while the region has room; otherwise its caller returns while
// it can still get a response in time.
func (k *Kernel) slotDenied(now time.Time, req *ActiveRequest, svc *service, s *server) Decision {
	if !req.yieldsToUrgent {
		return k.failUnsent(now, req, ReasonQueuesTooLong)
	}
	if req.sendAttempts++; req.sendAttempts < maxSends && admission.AllowsElsewhere(svc.capacity.Load(now, s.region).Utilization) {
		req.triedServers = append(req.triedServers, s)
		return k.send(now, req)
	}
	slack := req.Route.Target - s.rtt.roundTrip - svc.workOf(req.Route).typical(req.Route)
	req.shedding.MaxRetryAfter = max(0, (slack-now.Sub(req.startedAt))/2)
	return k.failUnsent(now, req, ReasonUrgentFirst)
}

// latestStart returns until when the request may start to run once it has a slot. One that yields to
// more urgent requests waits for a slot only for a part of that time.
func (req *ActiveRequest) latestStart() time.Time {
	if req.yieldsToUrgent {
		return req.ExpiresAt.Add(-minAttemptTime)
	}
	return req.slotRequest.Last
}

// yieldsSlots reports whether a request must ask for a slot because its service has more urgent
// requests. If the service is subject to concurrency limits, all its requests ask, and the limiters
// order them by priority.
func (k *Kernel) yieldsSlots(now time.Time, svc *service, priority int) bool {
	if !k.isEnabled(MechanismPriorityShedding) || k.isLimited(now, svc) {
		return false
	}
	_, hasUrgent := svc.capacity.UrgentSlack(priority)
	return hasUrgent
}

// learnFromSlotReply records what a limiter reports about its server. The limiter knows all
// requests that run and wait there, so its figures count as a load report of the server.
func (k *Kernel) learnFromSlotReply(now time.Time, req *ActiveRequest, s *server, svc *service, r SlotReply) {
	s.recordLoad(now, r.Running, r.Waiting)
	k.recordQueue(now, req, s, r.Running, float64(r.Waiting))
	s.concurrencyLimit = r.Limit.Max
	svc.concurrency.adopt(r.Limit)
	switch {
	case !r.Whole:
		svc.concurrency.ownEvidenceUntil = laterOf(svc.concurrency.ownEvidenceUntil, now.Add(limitFor))
		k.startLimiting(now, svc, limitFor)
	case r.Sound && svc.concurrency.learnedLimits[s.Slots].Max >= s.Slots:
		k.stopLimiting(now, svc)
	}
}

// takeSlotRelease returns the release of the request's slot and clears the slot, or returns nil if
// the request holds none.
func (req *ActiveRequest) takeSlotRelease(ratio float64) *SlotRelease {
	if req.slotRequest == nil {
		return nil
	}
	r := &SlotRelease{Owner: req.slotRequest.Owner, Server: req.slotRequest.Server, From: req.slotRequest.From, ID: req.slotRequest.ID, Rank: req.slotRank, Ratio: ratio}
	req.slotRequest, req.slotRank = nil, 0
	return r
}
