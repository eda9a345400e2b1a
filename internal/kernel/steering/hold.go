package steering

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
)

const (
	// holdFor is how long requests of a service are held back after the last sign
	// that its servers slow down when full. Signs are rare while it works, and all
	// proxies must hold back for it to work.
	holdFor = 20 * time.Second
	// measureFor is how long requests pass gates after a first suspicion: at ten
	// answers a second and gate, what servers do is known in one or two.
	measureFor = 5 * time.Second
	// clearFor is how long a service whose servers do not slow down is not suspected
	// again. Places that are asked for from far away stand empty for the way, so a
	// gate that is not needed costs some of what servers can do.
	clearFor = 30 * time.Second
	// askShare is the largest part of a route's target that the way to a gate may
	// take. The request takes the same way again after it: in the emulator, at a
	// third (110 of 300 ms), every request that asks is late.
	askShare = 0.2
	// ownerPause is how long the owner of a gate that did not answer is not asked.
	ownerPause = time.Second
)

type (
	// Ask is the question for a place at a server, to the proxy that owns the gate
	// before it.
	Ask struct {
		Owner  Proxy
		Server string
		// Limit is what the asking proxy has heard.
		Limit admission.Limit
		// Work is how long such requests take there at least, zero if not known.
		Work time.Duration
		admission.Ticket
	}

	// Reply is what the owner says at once.
	Reply struct {
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

	// Release gives a place back, with how long the work took as a part of what it
	// takes without company; zero if that is not known.
	Release struct {
		Owner  Proxy
		Server string
		From   string
		ID     uint64
		Rank   int
		Ratio  float64
	}

	// Held is what a proxy has learned of a service whose servers slow down when full.
	Held struct {
		Service string `json:"service"`
		admission.Limit
	}

	// holding is whether requests of a service are held back.
	holding struct {
		suspicion admission.Suspicion
		until     time.Time
		// cleared is until when no suspicion counts, since the servers were found to
		// be sound.
		cleared time.Time
		// own is until when this proxy has seen signs itself.
		own time.Time
		// levels learn for the gates that this proxy owns; limit is what was heard
		// with the most evidence.
		levels *admission.Concurrency
		limit  admission.Limit
	}
)

// held reports whether requests of a service are held back.
func (k *Kernel) held(now time.Time, g *service) bool {
	return now.Before(g.holding.until) && k.on(MechanismHold)
}

// Holding lists what this proxy knows of services whose servers slow down when full,
// for its peers.
func (k *Kernel) Holding(now time.Time) []Held {
	var list []Held
	for name, g := range k.services {
		if now.Before(g.holding.own) {
			list = append(list, Held{Service: name, Limit: g.holding.limit})
		}
	}
	slices.SortFunc(list, func(a, b Held) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// SetHolding takes in what a peer knows.
func (k *Kernel) SetHolding(now time.Time, list []Held) {
	if len(list) == 0 {
		return
	}
	k.record(Call{Do: callHolding, At: now, Holding: list})
	for _, h := range list {
		g := k.service(h.Service)
		g.holding.adopt(h.Limit)
		k.hold(now, g, measureFor)
	}
}

// clear ends the holding back: the servers do not slow down.
func (k *Kernel) clear(now time.Time, g *service) {
	h := &g.holding
	h.until, h.own, h.cleared = now, now, now.Add(clearFor)
	h.suspicion.Reset()
	k.config.Observe(Event{Kind: EventSound, Service: g.name})
}

// adopt takes over a limit with more evidence than the own one.
func (h *holding) adopt(l admission.Limit) {
	if l.Evidence > h.limit.Evidence {
		h.limit = l
	}
	if h.levels != nil {
		h.levels.Adopt(h.limit)
	}
}

func (k *Kernel) hold(now time.Time, g *service, span time.Duration) {
	if now.Before(g.holding.cleared) {
		return
	}
	if !now.Before(g.holding.until) {
		k.config.Observe(Event{Kind: EventHolding, Service: g.name})
	}
	g.holding.until = later(g.holding.until, now.Add(span))
}

// suspect takes in how long a request took at a server that knew the object. Only
// what a full server did tells whether it slows down. An answer that never came in
// time is the strongest sign, of first runs too: where servers slow down there are
// few others.
func (k *Kernel) suspect(now time.Time, f *Flight, s *server, g *service, a Attempt, took time.Duration) {
	alone := g.workOn(f.Route).expect(f.warm, f.Route.Target)
	// A server that has answered nothing since is silent, not slow.
	late := a.Result == Late && s.answeredAt.After(f.sentAt)
	answered := a.Result == Answered && a.Loaded && f.warm
	if !late && !answered || s.Slots < 2 || f.rank > 0 {
		return
	}
	full := late || a.Running >= s.Slots
	queue := max(float64(a.Waiting), f.load+1-float64(s.Slots))
	wait := time.Duration(max(0, queue) / float64(s.Slots) * float64(g.workOn(f.Route).typical(f.Route)))
	h := &g.holding
	h.suspicion.Heard(now, s.id, full, took-s.domain.roundTrip, alone+wait)
	if h.suspicion.Arisen(now) {
		h.suspicion.Reset()
		h.own = now.Add(measureFor)
		k.hold(now, g, measureFor)
	}
}

// ask decides whether the request needs a place at the server's gate first.
func (k *Kernel) ask(now time.Time, f *Flight, g *service, s *server, p pick) *Ask {
	if !k.held(now, g) || now.Before(s.ownerLost) {
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
	return &Ask{
		Owner: owner, Server: s.id, Limit: g.holding.limit, Work: least,
		Ticket: admission.Ticket{
			ID: f.number, From: k.config.Name, Priority: f.Route.Priority,
			Good: f.began.Add(f.Route.Target - work - way), Last: f.Until.Add(-least - way), Until: f.Until,
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

// Asked takes in what became of the question for a place, and decides what follows.
// Without an answer the request is sent as it would have been without a gate: a
// proxy that owns gates may be gone or cut off, and callers must not wait for it.
func (k *Kernel) Asked(now time.Time, f *Flight, r Reply, answered bool) Decision {
	d := k.asked(now, f, r, answered)
	if k.config.Record != nil {
		v := verdictOf(d)
		k.config.Record(Call{Do: callAsked, At: now, Flight: f.number, Reply: &r, On: answered, Decision: &v})
	}
	return d
}

func (k *Kernel) asked(now time.Time, f *Flight, r Reply, answered bool) Decision {
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
		f.note(Event{
			At: now, Kind: EventAttemptEnded, Server: s.id, Attempt: len(f.steps)/2 + 1, Result: Refused,
			Expected: f.expected, Took: now.Sub(f.sentAt), Load: float64(r.Running + r.Waiting),
		})
		d := k.giveUp(now, f, ReasonQueues)
		d.Release = release
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
func (k *Kernel) learnGate(now time.Time, f *Flight, s *server, g *service, r Reply) {
	s.report(now, r.Running, r.Waiting)
	k.feel(now, f, s, float64(r.Waiting))
	s.limit = r.Limit.Most
	g.holding.adopt(r.Limit)
	switch {
	case !r.Whole:
		g.holding.own = later(g.holding.own, now.Add(holdFor))
		k.hold(now, g, holdFor)
	case r.Sound && g.holding.limit.Most >= s.Slots:
		k.clear(now, g)
	}
}

// release is the word to the owner of the gate that the request's place is free.
func (f *Flight) release(ratio float64) *Release {
	if f.asking == nil {
		return nil
	}
	r := &Release{Owner: f.asking.Owner, Server: f.asking.Server, From: f.asking.From, ID: f.asking.ID, Rank: f.rank, Ratio: ratio}
	f.asking, f.rank = nil, 0
	return r
}
