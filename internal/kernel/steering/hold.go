package steering

import (
	"cmp"
	"slices"
	"time"

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
)

type (
	// ServiceLimit is what a proxy has learned of a service whose servers slow down when full.
	ServiceLimit struct {
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
		// levels learn for the gates that this proxy owns, limits are what was heard with
		// the most evidence: by the slots of the servers.
		levels map[int]*admission.Concurrency
		limits map[int]admission.Limit
	}
)

// held reports whether requests of a service are held back.
func (k *Kernel) held(now time.Time, g *service) bool {
	return now.Before(g.holding.until)
}

// ConcurrencyLimits lists what this proxy knows of services whose servers slow down when full,
// for its peers.
func (k *Kernel) ConcurrencyLimits(now time.Time) []ServiceLimit {
	var list []ServiceLimit
	for name, g := range k.services {
		if !now.Before(g.holding.own) {
			continue
		}
		if len(g.holding.limits) == 0 {
			list = append(list, ServiceLimit{Service: name})
		}
		for _, l := range g.holding.limits {
			list = append(list, ServiceLimit{Service: name, Limit: l})
		}
	}
	slices.SortFunc(list, func(a, b ServiceLimit) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Slots, b.Slots))
	})
	return list
}

// ApplyConcurrencyLimits takes in what a peer knows.
func (k *Kernel) ApplyConcurrencyLimits(now time.Time, list []ServiceLimit) {
	if len(list) == 0 || !k.on(MechanismConcurrencyLimit) {
		return
	}
	k.record(Call{Method: callHolding, At: now, ServiceLimits: list})
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
	k.config.Observe(Event{Kind: EventConcurrencyUnlimited, Service: g.name})
}

// adopt takes over a limit with more evidence than the own one.
func (h *holding) adopt(l admission.Limit) {
	if l.Slots < 1 || l.Evidence <= h.limits[l.Slots].Evidence {
		return
	}
	if h.limits == nil {
		h.limits = make(map[int]admission.Limit)
	}
	h.limits[l.Slots] = l
	if c := h.levels[l.Slots]; c != nil {
		c.Adopt(l)
	}
}

// levelsOf learns for the gates before servers with a number of slots.
func (h *holding) levelsOf(slots int) *admission.Concurrency {
	c := h.levels[slots]
	if c != nil {
		return c
	}
	if h.levels == nil {
		h.levels = make(map[int]*admission.Concurrency)
	}
	c = admission.NewConcurrency(slots)
	c.Adopt(h.limits[slots])
	h.levels[slots] = c
	return c
}

func (k *Kernel) hold(now time.Time, g *service, span time.Duration) {
	if now.Before(g.holding.cleared) {
		return
	}
	if !now.Before(g.holding.until) {
		k.config.Observe(Event{Kind: EventConcurrencyLimited, Service: g.name})
	}
	g.holding.until = later(g.holding.until, now.Add(span))
}

// suspect takes in how long a request took at a server that knew the object. Only
// what a full server did tells whether it slows down. An answer that never came in
// time is the strongest sign, of first runs too: where servers slow down there are
// few others.
func (k *Kernel) suspect(now time.Time, f *ActiveRequest, s *server, g *service, a Attempt, took time.Duration) {
	if !k.on(MechanismConcurrencyLimit) {
		return
	}
	alone := g.workOn(f.Route).expect(f.warm, f.Route.Target)
	// A server that has answered nothing since is silent, not slow.
	late := a.Result == ResultTimeout && s.answeredAt.After(f.sentAt)
	answered := a.Result == ResultAnswered && a.Loaded && f.warm
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
