package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
)

type (
	// serverLimiter is the queue before a server that this proxy owns.
	serverLimiter struct {
		admission.Gate
		adaptiveLimit *admission.Concurrency
		// lastUsedAt is when it last had a ticket.
		lastUsedAt time.Time
	}
)

const (
	// limiterIdleTTL is how long a gate that nobody asks is kept.
	limiterIdleTTL = time.Minute
)

// HandleSlotRequest answers a proxy that asks for a place at a server whose gate is here.
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

// grantNext gives free places to those that wait.
func (q *serverLimiter) grantNext(now time.Time) []SlotReply {
	var replies []SlotReply
	for _, g := range q.Next(now, q.adaptiveLimit.Limit()) {
		replies = append(replies, q.newReply(g))
	}
	return replies
}

// HandleSlotRelease takes a place back and tells who gets it.
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

// expireLimiters ends waits that have become useless and places that were not given
// back, and drops gates that nobody uses. What follows is told by Grants.
func (k *Kernel) expireLimiters(now time.Time) {
	for id, q := range k.limiters {
		k.pendingSlotReplies = append(k.pendingSlotReplies, q.grantNext(now)...)
		if now.Sub(q.lastUsedAt) > limiterIdleTTL {
			delete(k.limiters, id)
		}
	}
}

// TakeSlotReplies hands over what the last tick has granted or denied.
func (k *Kernel) TakeSlotReplies() []SlotReply {
	list := k.pendingSlotReplies
	k.pendingSlotReplies = nil
	return list
}
