package steering

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
)

const (
	// askShare is the largest part of a route's target that the way to a gate may
	// take. The request takes the same way again after it.
	askShare = 0.2
	// ownerPause is how long the owner of a gate that did not answer is not asked.
	ownerPause = time.Second
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

// ask decides whether the request needs a place at the server's gate first.
func (k *Kernel) ask(now time.Time, f *ActiveRequest, g *service, s *server, p pick) *SlotRequest {
	if !k.held(now, g) || now.Before(s.ownerLost) || s.isCold(now) {
		// A cold server is sent what it bears in a second within that second.
		return nil
	}
	owner, found := k.gateOwner(s)
	way := s.domain.roundTrip
	if !found || way > time.Duration(askShare*float64(f.Route.Target)) {
		return nil
	}
	work := p.expected - p.start
	// Nothing is denied by a guess: the work of a route that was not seen yet is its
	// target, and refusing by that would keep routes with short time-outs out of
	// service for good.
	least := g.workOn(f.Route).warm
	return &SlotRequest{
		Owner: owner, Server: s.id, Limit: g.holding.limits[s.Slots], Work: least,
		Ticket: admission.Ticket{
			ID: f.number, From: k.config.Name, Priority: f.priority(),
			Good: f.began.Add(f.Route.Target - work - way), Last: f.ExpiresAt.Add(-least - way), Until: f.ExpiresAt,
		},
	}
}

// gateOwner is the proxy whose gate stands before a server, the same for all that
// know the same proxies: one of the server's failure domain if there is one, else of
// its region, by a hash.
func (k *Kernel) gateOwner(s *server) (Proxy, bool) {
	best, found := Proxy{}, false
	rank := func(p Proxy) (int, uint64) { return farness(p, s), xxhash.Sum64String(p.Name + "/" + s.id) }
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
func (k *Kernel) HandleSlotReply(now time.Time, f *ActiveRequest, r SlotReply, answered bool) Decision {
	d := k.asked(now, f, r, answered)
	if k.config.Record != nil {
		v := verdictOf(d)
		k.config.Record(Call{Method: callAsked, At: now, RequestNumber: f.number, SlotReply: &r, Flag: answered, Decision: &v})
	}
	return d
}

func (k *Kernel) asked(now time.Time, f *ActiveRequest, r SlotReply, answered bool) Decision {
	s, g := f.server, k.service(f.Service)
	switch {
	case !answered:
		s.ownerLost = now.Add(ownerPause)
	case !r.Unknown:
		k.learnGate(now, f, s, g, r)
	}
	if answered && r.Verdict == admission.Denied || now.After(f.asking.Last) {
		// The place, if there is one, is given back: the owner's answer may be lost.
		release := f.release(0)
		s.inFlight--
		k.quarantine.Stopped(f.Work)
		f.note(Event{
			At: now, Kind: EventAttemptEnded, Server: s.id, Attempt: len(f.steps)/2 + 1, Result: ResultRefused,
			Expected: f.expected, Duration: now.Sub(f.sentAt), Load: float64(r.Running + r.Waiting),
		})
		d := k.giveUp(now, f, ReasonQueuesTooLong)
		d.SlotRelease = release
		return d
	}
	if reason := k.identifyAgain(f); reason != ReasonNone {
		// Its key was taken away while the request waited.
		release := f.release(0)
		s.inFlight--
		k.quarantine.Stopped(f.Work)
		d := k.giveUp(now, f, reason)
		d.SlotRelease = release
		return d
	}
	if !s.takesRequests() || k.evacuated[s.Domain] || s.isCold(now) || !f.allowed.has(s.regionBit) || !k.ServerStillAccepts(now, f) {
		// The server has begun to leave, to pause or to be cold while the request waited.
		release := f.release(0)
		s.inFlight--
		k.quarantine.Stopped(f.Work)
		f.tried = append(f.tried, s)
		d := k.send(now, f)
		d.SlotRelease = release
		return d
	}
	if r.Unknown {
		f.asking = nil
	}
	f.rank, f.sentAt = r.Rank, now
	f.expected = s.domain.roundTrip + g.workOn(f.Route).expect(f.warm, f.Route.Target)
	return Decision{Server: k.targetOf(g, s)}
}

// learnGate takes in what a gate tells of its server. It knows all that runs and
// waits there, so its word is a report of the server's load.
func (k *Kernel) learnGate(now time.Time, f *ActiveRequest, s *server, g *service, r SlotReply) {
	s.report(now, r.Running, r.Waiting)
	k.feel(now, f, s, float64(r.Waiting))
	s.limit = r.Limit.Most
	g.holding.adopt(r.Limit)
	switch {
	case !r.Whole:
		g.holding.own = later(g.holding.own, now.Add(holdFor))
		k.hold(now, g, holdFor)
	case r.Sound && g.holding.limits[s.Slots].Most >= s.Slots:
		k.clear(now, g)
	}
}

// release is the word to the owner of the gate that the request's place is free.
func (f *ActiveRequest) release(ratio float64) *SlotRelease {
	if f.asking == nil {
		return nil
	}
	r := &SlotRelease{Owner: f.asking.Owner, Server: f.asking.Server, From: f.asking.From, ID: f.asking.ID, Rank: f.rank, Ratio: ratio}
	f.asking, f.rank = nil, 0
	return r
}
