package steering

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
)

const (
	// maxSlotRequestShare is the largest part of a route's target that the way to a gate may
	// take. The request takes the same way again after it.
	maxSlotRequestShare = 0.2
	// unresponsiveOwnerPause is how long the owner of a gate that did not answer is not asked.
	unresponsiveOwnerPause = time.Second
)

type (
	// SlotRequest is the question for a place at a server, to the proxy that owns the gate
	// before it.
	SlotRequest struct {
		Owner  Proxy
		Server string
		// Limit is what the asking proxy has heard.
		Limit admission.Limit
		// Work is how long such requests take there at least, zero if not known.
		Work time.Duration
		admission.Ticket
	}

	// SlotReply is what the owner says at once.
	SlotReply struct {
		admission.Grant
		// Running and Waiting are the server's load as its gate knows it.
		Running, Waiting int
		// Limit is how many may run there at once, as the owner has learned it.
		Limit admission.Limit
		// Unknown is set if the owner does not know the server: ask nobody.
		Unknown bool
		// Whole is set if the servers may use all their slots so far, Sound if they
		// are known not to slow down.
		Whole, Sound bool
	}

	// SlotRelease gives a place back, with how long the work took as a part of the route's
	// target; zero if that is not known.
	SlotRelease struct {
		Owner  Proxy
		Server string
		From   string
		ID     uint64
		Rank   int
		Ratio  float64
	}
)

// newSlotRequest decides whether the request needs a place at the server's gate first.
func (k *Kernel) newSlotRequest(now time.Time, req *ActiveRequest, svc *service, s *server, p choice) *SlotRequest {
	if !k.isLimited(now, svc) || now.Before(s.skipOwnerUntil) || s.isCold(now) {
		// A cold server is sent what it bears in a second within that second.
		return nil
	}
	owner, found := k.limiterOwner(s)
	way := s.rtt.roundTrip
	if !found || way > time.Duration(maxSlotRequestShare*float64(req.Route.Target)) {
		return nil
	}
	work := p.expected - p.untilStart
	// Nothing is denied by a guess: the work of a route that was not seen yet is its
	// target, and refusing by that would keep routes with short time-outs out of
	// service for good.
	least := svc.workOf(req.Route).warm
	return &SlotRequest{
		Owner: owner, Server: s.id, Limit: svc.concurrency.learnedLimits[s.Slots], Work: least,
		Ticket: admission.Ticket{
			ID: req.seq, From: k.config.Name, Priority: req.priority(),
			Good: req.startedAt.Add(req.Route.Target - work - way), Last: req.ExpiresAt.Add(-least - way), Until: req.ExpiresAt,
		},
	}
}

// limiterOwner is the proxy whose gate stands before a server, the same for all that
// know the same proxies: one of the server's failure domain if there is one, else of
// its region, by a hash.
func (k *Kernel) limiterOwner(s *server) (Proxy, bool) {
	best, found := Proxy{}, false
	rank := func(p Proxy) (int, uint64) { return proximity(p, s), xxhash.Sum64String(p.Name + "/" + s.id) }
	for _, p := range k.proxies {
		if p.Leaving || p.Region != s.region {
			continue
		}
		far, score := rank(p)
		bestFar, bestScore := rank(best)
		if !found || cmp.Or(cmp.Compare(far, bestFar), cmp.Compare(score, bestScore)) < 0 {
			best, found = p, true
		}
	}
	return best, found
}

// HandleSlotReply takes in what became of the question for a place, and decides what follows.
// Without an answer the request is sent as it would have been without a gate: a
// proxy that owns gates may be gone or cut off, and callers must not wait for it.
func (k *Kernel) HandleSlotReply(now time.Time, req *ActiveRequest, r SlotReply, answered bool) Decision {
	d := k.handleSlotReply(now, req, r, answered)
	if k.config.Record != nil {
		v := recordedDecisionOf(d)
		k.config.Record(Call{Method: callSlotReply, At: now, RequestNumber: req.seq, SlotReply: &r, Flag: answered, Decision: &v})
	}
	return d
}

func (k *Kernel) handleSlotReply(now time.Time, req *ActiveRequest, r SlotReply, answered bool) Decision {
	s, svc := req.server, k.service(req.Service)
	switch {
	case !answered:
		s.skipOwnerUntil = now.Add(unresponsiveOwnerPause)
	case !r.Unknown:
		k.learnFromSlotReply(now, req, s, svc, r)
	}
	if answered && r.Verdict == admission.Denied || now.After(req.slotRequest.Last) {
		// The place, if there is one, is given back: the owner's answer may be lost.
		release := req.takeSlotRelease(0)
		s.inFlight--
		k.quarantine.Stopped(req.Work)
		req.addStep(Event{
			At: now, Kind: EventAttemptEnded, Server: s.id, Attempt: len(req.steps)/2 + 1, Result: ResultRefused,
			Expected: req.expected, Duration: now.Sub(req.sentAt), Load: float64(r.Running + r.Waiting),
		})
		d := k.fail(now, req, ReasonQueuesTooLong)
		d.SlotRelease = release
		return d
	}
	if reason := k.reauthorize(req); reason != ReasonNone {
		// Its key was taken away while the request waited.
		release := req.takeSlotRelease(0)
		s.inFlight--
		k.quarantine.Stopped(req.Work)
		d := k.fail(now, req, reason)
		d.SlotRelease = release
		return d
	}
	if !s.isEligible() || k.evacuatedDomains[s.Domain] || s.isCold(now) || !req.allowedRegions.has(s.regionBit) || !k.ServerStillAccepts(now, req) {
		// The server has begun to leave, to pause or to be cold while the request waited.
		release := req.takeSlotRelease(0)
		s.inFlight--
		k.quarantine.Stopped(req.Work)
		req.triedServers = append(req.triedServers, s)
		d := k.send(now, req)
		d.SlotRelease = release
		return d
	}
	if r.Unknown {
		req.slotRequest = nil
	}
	req.slotRank, req.sentAt = r.Rank, now
	req.expected = s.rtt.roundTrip + svc.workOf(req.Route).expected(req.warm, req.Route.Target)
	return Decision{Server: k.newTarget(svc, s)}
}

// learnFromSlotReply takes in what a gate tells of its server. It knows all that runs and
// waits there, so its word is a report of the server's load.
func (k *Kernel) learnFromSlotReply(now time.Time, req *ActiveRequest, s *server, svc *service, r SlotReply) {
	s.recordLoad(now, r.Running, r.Waiting)
	k.recordQueue(now, req, s, float64(r.Waiting))
	s.concurrencyLimit = r.Limit.Most
	svc.concurrency.adopt(r.Limit)
	switch {
	case !r.Whole:
		svc.concurrency.ownEvidenceUntil = laterOf(svc.concurrency.ownEvidenceUntil, now.Add(limitFor))
		k.startLimiting(now, svc, limitFor)
	case r.Sound && svc.concurrency.learnedLimits[s.Slots].Most >= s.Slots:
		k.stopLimiting(now, svc)
	}
}

// takeSlotRelease is the word to the owner of the gate that the request's place is free.
func (req *ActiveRequest) takeSlotRelease(ratio float64) *SlotRelease {
	if req.slotRequest == nil {
		return nil
	}
	r := &SlotRelease{Owner: req.slotRequest.Owner, Server: req.slotRequest.Server, From: req.slotRequest.From, ID: req.slotRequest.ID, Rank: req.slotRank, Ratio: ratio}
	req.slotRequest, req.slotRank = nil, 0
	return r
}
