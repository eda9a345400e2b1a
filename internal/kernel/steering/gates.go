package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
)

type (
	// gate is the queue before a server that this proxy owns.
	gate struct {
		admission.Limiter
		levels *admission.AdaptiveLimit
		// used is when it last had a ticket.
		used time.Time
	}
)

const (
	// gateIdle is how long a gate that nobody asks is kept.
	gateIdle = time.Minute
)

// HearAsk answers a proxy that asks for a place at a server whose gate is here.
func (k *Kernel) HearAsk(now time.Time, a Ask) Reply {
	k.record(Call{Do: callHearAsk, At: now, Ask: &a})
	s := k.servers[a.Server]
	if s == nil || !s.takesRequests() {
		return Reply{Unknown: true, Grant: admission.Grant{Ticket: a.Ticket, Verdict: admission.Granted}}
	}
	h := &k.service(s.Service).holding
	h.adopt(a.Limit)
	q := k.gates[a.Server]
	if q == nil {
		q = &gate{}
		k.gates[a.Server] = q
	}
	q.levels, q.used = h.levelsOf(s.Slots), now
	limit := q.levels.NextLimit(now)
	grant := q.Acquire(now, a.Ticket, limit, a.Work)
	if grant.Rank > q.levels.Limit() {
		q.levels.RecordProbe(now)
	}
	return q.reply(grant)
}

func (q *gate) reply(g admission.Grant) Reply {
	r := Reply{Grant: g, Limit: q.levels.Learned(), Whole: q.levels.AtMax(), Sound: q.levels.ConfirmedAtMax()}
	r.Running, r.Waiting = q.Load()
	return r
}

// next gives free places to those that wait.
func (q *gate) next(now time.Time) []Reply {
	var replies []Reply
	for _, g := range q.Dispatch(now, q.levels.Limit()) {
		replies = append(replies, q.reply(g))
	}
	return replies
}

// HearRelease takes a place back and tells who gets it.
func (k *Kernel) HearRelease(now time.Time, r Release) []Reply {
	k.record(Call{Do: callHearRelease, At: now, Release: &r})
	q := k.gates[r.Server]
	if q == nil {
		return nil
	}
	q.Release(r.From, r.ID)
	if r.Ratio > 0 {
		q.levels.Observe(now, r.Rank, r.Ratio)
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

// Grants hands over what the last tick has granted or denied.
func (k *Kernel) Grants() []Reply {
	list := k.grants
	k.grants = nil
	return list
}
