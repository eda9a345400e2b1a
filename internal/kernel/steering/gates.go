package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
)

type (
	// gate is the queue before a server that this proxy owns.
	gate struct {
		admission.Gate
		levels *admission.Concurrency
		// used is when it last had a ticket.
		used time.Time
	}
)

const (
	// gateIdle is how long a gate that nobody asks is kept.
	gateIdle = time.Minute
)

// HandleSlotRequest answers a proxy that asks for a place at a server whose gate is here.
func (k *Kernel) HandleSlotRequest(now time.Time, a SlotRequest) SlotReply {
	k.record(Call{Method: callHearAsk, At: now, SlotRequest: &a})
	s := k.servers[a.Server]
	if s == nil || !s.takesRequests() {
		return SlotReply{Unknown: true, Grant: admission.Grant{Ticket: a.Ticket, Verdict: admission.Granted}}
	}
	h := &k.service(s.Service).holding
	h.adopt(a.Limit)
	q := k.gates[a.Server]
	if q == nil {
		q = &gate{}
		k.gates[a.Server] = q
	}
	q.levels, q.used = h.levelsOf(s.Slots), now
	limit := q.levels.Trial(now)
	grant := q.Ask(now, a.Ticket, limit, a.Work)
	if grant.Rank > q.levels.Limit() {
		q.levels.Tried(now)
	}
	return q.reply(grant)
}

func (q *gate) reply(g admission.Grant) SlotReply {
	r := SlotReply{Grant: g, Limit: q.levels.Learned(), Whole: q.levels.Whole(), Sound: q.levels.Sound()}
	r.Running, r.Waiting = q.Load()
	return r
}

// next gives free places to those that wait.
func (q *gate) next(now time.Time) []SlotReply {
	var replies []SlotReply
	for _, g := range q.Next(now, q.levels.Limit()) {
		replies = append(replies, q.reply(g))
	}
	return replies
}

// HandleSlotRelease takes a place back and tells who gets it.
func (k *Kernel) HandleSlotRelease(now time.Time, r SlotRelease) []SlotReply {
	k.record(Call{Method: callHearRelease, At: now, SlotRelease: &r})
	q := k.gates[r.Server]
	if q == nil {
		return nil
	}
	q.GiveBack(r.From, r.ID)
	if r.Ratio > 0 {
		q.levels.Heard(now, r.Rank, r.Ratio)
	}
	return q.next(now)
}

// expireGates ends waits that have become useless and places that were not given
// back, and drops gates that nobody uses. What follows is told by Grants.
func (k *Kernel) expireGates(now time.Time) {
	for id, q := range k.gates {
		k.grants = append(k.grants, q.next(now)...)
		if now.Sub(q.used) > gateIdle {
			delete(k.gates, id)
		}
	}
}

// TakeSlotReplies hands over what the last tick has granted or denied.
func (k *Kernel) TakeSlotReplies() []SlotReply {
	list := k.grants
	k.grants = nil
	return list
}
