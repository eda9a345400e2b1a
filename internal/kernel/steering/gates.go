package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
)

type (
	// serverLimiter limits the concurrent requests to a server. It queues slot requests and is
	// owned by this proxy.
	serverLimiter struct {
		admission.Gate
		adaptiveLimit *admission.Concurrency
		// lastUsedAt is the time of the last slot request.
		lastUsedAt time.Time
	}
)

const (
	// limiterIdleTTL is how long an unused limiter is kept.
	limiterIdleTTL = time.Minute
)

// HandleSlotRequest replies to a proxy that requests a slot at a server whose limiter this proxy
// owns.
func (k *Kernel) HandleSlotRequest(now time.Time, a SlotRequest) SlotReply {
	k.record(Call{Method: callSlotRequest, At: now, SlotRequest: &a})
	s := k.servers[a.Server]
	if s == nil || !s.isEligible() {
		return SlotReply{Unknown: true, Grant: admission.Grant{Ticket: a.Ticket, Verdict: admission.Granted}}
	}
	h := &k.service(s.Service).concurrency
	h.adopt(a.Limit)
	q := k.limiters[a.Server]
	if q == nil {
		q = &serverLimiter{}
		k.limiters[a.Server] = q
	}
	q.adaptiveLimit, q.lastUsedAt = h.adaptiveLimitFor(s.Slots), now
	limit := q.adaptiveLimit.Trial(now)
	grant := q.Ask(now, a.Ticket, limit, a.Work)
	if grant.Rank > q.adaptiveLimit.Limit() {
		q.adaptiveLimit.Tried(now)
	}
	return q.newReply(grant)
}

func (q *serverLimiter) newReply(g admission.Grant) SlotReply {
	r := SlotReply{Grant: g, Limit: q.adaptiveLimit.Learned(), Whole: q.adaptiveLimit.Whole(), Sound: q.adaptiveLimit.Sound()}
	r.Running, r.Waiting = q.Load()
	return r
}

// grantNext grants free slots to waiting requests.
func (q *serverLimiter) grantNext(now time.Time) []SlotReply {
	var replies []SlotReply
	for _, g := range q.Next(now, q.adaptiveLimit.Limit()) {
		replies = append(replies, q.newReply(g))
	}
	return replies
}

// HandleSlotRelease takes back a slot and returns the replies for the waiting requests that get one
// now.
func (k *Kernel) HandleSlotRelease(now time.Time, r SlotRelease) []SlotReply {
	k.record(Call{Method: callSlotRelease, At: now, SlotRelease: &r})
	q := k.limiters[r.Server]
	if q == nil {
		return nil
	}
	q.GiveBack(r.From, r.ID)
	if r.Ratio > 0 {
		q.adaptiveLimit.Heard(now, r.Rank, r.Ratio)
	}
	return q.grantNext(now)
}

// expireLimiters ends waits that have become useless, reclaims slots that were not released, and
// removes unused limiters. The resulting replies are returned by TakeSlotReplies.
func (k *Kernel) expireLimiters(now time.Time) {
	for id, q := range k.limiters {
		k.pendingSlotReplies = append(k.pendingSlotReplies, q.grantNext(now)...)
		if now.Sub(q.lastUsedAt) > limiterIdleTTL {
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
