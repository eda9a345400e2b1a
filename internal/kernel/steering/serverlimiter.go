package steering

import (
	"maps"
	"slices"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
)

type (
	// serverLimiter limits the concurrent requests to a server. It queues slot requests and is
	// owned by this proxy.
	serverLimiter struct {
		admission.Limiter
		adaptiveLimit *admission.AdaptiveLimit
		// lastUsedAt is the time of the last slot request.
		lastUsedAt time.Time
		// unreserved is how many slots requests may use that yield to more urgent ones. If it is
		// zero, adaptiveLimit applies.
		unreserved int
	}
)

const (
	// limiterIdleTTL is how long an unused limiter is kept.
	limiterIdleTTL = time.Minute
)

// HandleSlotRequest replies to a proxy that requests a slot at a server whose limiter this proxy
// owns.
func (k *Kernel) HandleSlotRequest(now time.Time, request SlotRequest) SlotReply {
	k.record(Call{Method: callSlotRequest, At: now, SlotRequest: &request})
	s := k.servers[request.Server]
	if s == nil || !s.isEligible() {
		return SlotReply{Unknown: true, Grant: admission.Grant{Ticket: request.Ticket, Verdict: admission.Granted}}
	}
	state := &k.service(s.Service).concurrency
	state.adopt(request.Limit)
	limiter := k.limiters[request.Server]
	if limiter == nil {
		limiter = &serverLimiter{}
		k.limiters[request.Server] = limiter
	}
	limiter.adaptiveLimit, limiter.lastUsedAt = state.adaptiveLimitFor(s.Slots), now
	limiter.unreserved = 0
	if k.yieldsSlots(now, k.service(s.Service), request.Priority) {
		limiter.unreserved = s.Slots - admission.ReservedSlots(s.Slots)
		return limiter.newReply(limiter.Acquire(now, request.Ticket, limiter.unreserved, request.Work))
	}
	limit := limiter.adaptiveLimit.NextLimit(now)
	grant := limiter.Acquire(now, request.Ticket, limit, request.Work)
	if grant.Rank > limiter.adaptiveLimit.Limit() {
		limiter.adaptiveLimit.RecordProbe(now)
	}
	return limiter.newReply(grant)
}

func (q *serverLimiter) newReply(grant admission.Grant) SlotReply {
	r := SlotReply{Grant: grant, Limit: q.adaptiveLimit.Learned(), Whole: q.adaptiveLimit.AtMax(), Sound: q.adaptiveLimit.ConfirmedAtMax()}
	r.Running, r.Waiting = q.Load()
	return r
}

// grantNext grants free slots to waiting requests.
func (q *serverLimiter) grantNext(now time.Time) []SlotReply {
	limit := q.adaptiveLimit.Limit()
	if q.unreserved > 0 {
		limit = q.unreserved
	}
	var replies []SlotReply
	for _, grant := range q.Dispatch(now, limit) {
		replies = append(replies, q.newReply(grant))
	}
	return replies
}

// HandleSlotRelease takes back a slot and returns the replies for the waiting requests that get one
// now.
func (k *Kernel) HandleSlotRelease(now time.Time, r SlotRelease) []SlotReply {
	k.record(Call{Method: callSlotRelease, At: now, SlotRelease: &r})
	limiter := k.limiters[r.Server]
	if limiter == nil {
		return nil
	}
	limiter.Release(r.From, r.ID)
	if r.Ratio > 0 {
		limiter.adaptiveLimit.Observe(now, r.Rank, r.Ratio)
	}
	return limiter.grantNext(now)
}

// expireLimiters ends waits that have become useless, reclaims slots that were not released, and
// removes unused limiters. The resulting replies are returned by TakeSlotReplies. They are ordered, so
// that equal inputs give equal outputs.
func (k *Kernel) expireLimiters(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(k.limiters)) {
		limiter := k.limiters[id]
		k.pendingSlotReplies = append(k.pendingSlotReplies, limiter.grantNext(now)...)
		if now.Sub(limiter.lastUsedAt) > limiterIdleTTL {
			delete(k.limiters, id)
		}
	}
}

// TakeSlotReplies returns the grants and denials of the last tick and clears them.
func (k *Kernel) TakeSlotReplies() []SlotReply {
	list := k.pendingSlotReplies
	k.pendingSlotReplies = nil
	return list
}
