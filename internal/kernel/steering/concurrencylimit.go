package steering

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
)

const (
	// limitFor is how long requests of a service stay subject to concurrency limits after the last
	// evidence that its servers slow down when full. Evidence is rare while the limits work, and
	// they work only if all proxies apply them.
	limitFor = 20 * time.Second
	// measureConcurrencyFor is how long requests go through limiters after a first suspicion. At
	// ten responses per second and limiter, one or two seconds are enough to measure the servers.
	measureConcurrencyFor = 5 * time.Second
	// clearedFor is how long a service whose servers do not slow down is not suspected again. A
	// slot that a remote proxy requests stays empty for the round trip, so an unneeded limiter
	// costs capacity.
	clearedFor = 30 * time.Second
)

type (
	// ServiceLimit is what a proxy has learned about a service whose servers slow down when full.
	ServiceLimit struct {
		Service string `json:"service"`
		admission.Limit
	}

	// concurrencyState records whether requests of a service are subject to concurrency limits, and
	// the limits learned for it.
	concurrencyState struct {
		detector     admission.SlowdownDetector
		limitedUntil time.Time
		// clearedUntil is until when suspicions are ignored because the servers were found not to
		// slow down.
		clearedUntil time.Time
		// ownEvidenceUntil is until when this proxy has evidence of its own.
		ownEvidenceUntil time.Time
		// adaptiveLimits learn the limits for the limiters that this proxy owns. learnedLimits are
		// the limits known with the most evidence. Both are by the number of slots of the servers.
		adaptiveLimits map[int]*admission.AdaptiveLimit
		learnedLimits  map[int]admission.Limit
	}
)

// isLimited reports whether requests of a service are subject to concurrency limits.
func (k *Kernel) isLimited(now time.Time, svc *service) bool {
	return now.Before(svc.concurrency.limitedUntil)
}

// ConcurrencyLimits lists what this proxy knows about services whose servers slow down when full,
// to be sent to its peers.
func (k *Kernel) ConcurrencyLimits(now time.Time) []ServiceLimit {
	var list []ServiceLimit
	for name, svc := range k.services {
		if !now.Before(svc.concurrency.ownEvidenceUntil) {
			continue
		}
		if len(svc.concurrency.learnedLimits) == 0 {
			list = append(list, ServiceLimit{Service: name})
		}
		for _, l := range svc.concurrency.learnedLimits {
			list = append(list, ServiceLimit{Service: name, Limit: l})
		}
	}
	slices.SortFunc(list, func(a, b ServiceLimit) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Slots, b.Slots))
	})
	return list
}

// ApplyConcurrencyLimits merges what a peer knows.
func (k *Kernel) ApplyConcurrencyLimits(now time.Time, list []ServiceLimit) {
	if len(list) == 0 || !k.isEnabled(MechanismConcurrencyLimit) {
		return
	}
	k.record(Call{Method: callConcurrencyLimits, At: now, ServiceLimits: list})
	for _, known := range list {
		svc := k.service(known.Service)
		svc.concurrency.adopt(known.Limit)
		k.startLimiting(now, svc, measureConcurrencyFor)
	}
}

// stopLimiting lifts the concurrency limits because the servers do not slow down.
func (k *Kernel) stopLimiting(now time.Time, svc *service) {
	state := &svc.concurrency
	state.limitedUntil, state.ownEvidenceUntil, state.clearedUntil = now, now, now.Add(clearedFor)
	state.detector.Reset()
	k.config.Observe(Event{Kind: EventConcurrencyUnlimited, Service: svc.name})
}

// adopt takes over a limit that is based on more evidence than the known one.
func (h *concurrencyState) adopt(l admission.Limit) {
	if l.Slots < 1 || l.Samples <= h.learnedLimits[l.Slots].Samples {
		return
	}
	if h.learnedLimits == nil {
		h.learnedLimits = make(map[int]admission.Limit)
	}
	h.learnedLimits[l.Slots] = l
	if limit := h.adaptiveLimits[l.Slots]; limit != nil {
		limit.Adopt(l)
	}
}

// adaptiveLimitFor returns the adaptive limit for servers with the given number of slots.
func (h *concurrencyState) adaptiveLimitFor(slots int) *admission.AdaptiveLimit {
	c := h.adaptiveLimits[slots]
	if c != nil {
		return c
	}
	if h.adaptiveLimits == nil {
		h.adaptiveLimits = make(map[int]*admission.AdaptiveLimit)
	}
	c = admission.NewAdaptiveLimit(slots)
	c.Adopt(h.learnedLimits[slots])
	h.adaptiveLimits[slots] = c
	return c
}

func (k *Kernel) startLimiting(now time.Time, svc *service, span time.Duration) {
	if now.Before(svc.concurrency.clearedUntil) {
		return
	}
	if !now.Before(svc.concurrency.limitedUntil) {
		k.config.Observe(Event{Kind: EventConcurrencyLimited, Service: svc.name})
	}
	svc.concurrency.limitedUntil = laterOf(svc.concurrency.limitedUntil, now.Add(span))
}

// detectSlowdown records how long a request took at a warm server. Only the times at a full server
// show whether it slows down. A timeout is the strongest evidence, even on a cold run: where
// servers slow down, there is little other evidence.
func (k *Kernel) detectSlowdown(now time.Time, req *ActiveRequest, s *server, svc *service, a Attempt, elapsed time.Duration) {
	if !k.isEnabled(MechanismConcurrencyLimit) {
		return
	}
	unqueued := svc.workOf(req.Route).expected(req.warm, req.Route.Target)
	// A server that has not responded since the request was sent is unresponsive, not slow.
	late := a.Result == ResultTimeout && s.respondedAt.After(req.sentAt)
	responded := a.Result == ResultResponded && a.Loaded && req.warm
	if !late && !responded || s.Slots < 2 || req.slotRank > 0 {
		return
	}
	slots := a.slotsOr(s.Slots)
	full := late || a.Running >= slots
	queued := max(float64(a.Waiting), req.loadAtSend+1-float64(slots))
	wait := time.Duration(max(0, queued) / float64(slots) * float64(svc.workOf(req.Route).typical(req.Route)))
	state := &svc.concurrency
	state.detector.Observe(now, s.id, full, elapsed-s.rtt.roundTrip, unqueued+wait)
	if state.detector.Detected(now) {
		state.detector.Reset()
		state.ownEvidenceUntil = now.Add(measureConcurrencyFor)
		k.startLimiting(now, svc, measureConcurrencyFor)
	}
}
