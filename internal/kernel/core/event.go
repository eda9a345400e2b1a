package core

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
)

const (
	// EventAdmitted marks a request's first dispatch.
	EventAdmitted Kind = "request-admitted"
	// EventRetried marks a further attempt.
	EventRetried Kind = "request-retried"
	// EventFinished marks the final outcome.
	EventFinished Kind = "request-finished"
	// EventOverdue marks a caller told "unknown" while its request still runs.
	EventOverdue Kind = "request-overdue"
	// EventRefused marks a request refused before any dispatch.
	EventRefused Kind = "request-refused"
	// EventForwarded marks a request handed to its token's minter.
	EventForwarded Kind = "request-forwarded"
	// EventTokenMinted marks a new idempotency token.
	EventTokenMinted Kind = "token-minted"
	// EventBundleApplied marks a bundle that came into force here.
	EventBundleApplied Kind = "bundle-applied"
	// EventBundleRejected marks a bundle that was not believed.
	EventBundleRejected Kind = "bundle-rejected"
	// EventAssignment marks a new assignment of quota slots.
	EventAssignment Kind = "assignment-applied"
	// EventMember marks news of a peer.
	EventMember Kind = "member-changed"
	// EventShift marks a step of traffic between regions.
	EventShift Kind = "traffic-shifted"
	// EventRegionLost marks a region that stopped answering.
	EventRegionLost Kind = "region-lost"
	// EventRegionBack marks a region that answers again.
	EventRegionBack Kind = "region-back"
	// EventServerLimit marks a backend server that names a limit, another one, or none.
	EventServerLimit Kind = "backend-server-limit"
	// EventServerOut marks a backend server taken out after failures.
	EventServerOut Kind = "backend-server-out"
	// EventServerLeaving marks a backend server that gets no new work.
	EventServerLeaving Kind = "backend-server-leaving"
	// EventLoan marks quota borrowed.
	EventLoan Kind = "quota-borrowed"
	// EventFenced marks a proxy that stopped using its quota after a pause.
	EventFenced Kind = "quota-fenced"
	// EventStopping marks the begin of a planned stop.
	EventStopping Kind = "stop-begun"
	// EventHandover marks records left to a peer.
	EventHandover Kind = "records-handed-over"
	// EventInherited marks records taken over.
	EventInherited Kind = "records-inherited"
)

const (
	eventRing = 4096
)

type (
	// Kind names a type of event.
	Kind string

	// Event is one line of the event log.
	Event struct {
		Stamp   peer.Stamp     `json:"stamp"`
		VM      string         `json:"vm"`
		Kind    Kind           `json:"kind"`
		Service string         `json:"service,omitempty"`
		Request string         `json:"request,omitempty"`
		Target  string         `json:"target,omitempty"`
		Version uint64         `json:"version,omitempty"`
		Outcome caller.Outcome `json:"outcome,omitempty"`
		Reason  caller.Reason  `json:"reason,omitempty"`
		Detail  string         `json:"detail,omitempty"`
	}

	// Ring keeps the newest items of a fixed number. It allocates its room as
	// items come and never more.
	Ring[T any] struct {
		items []T
		next  int
		limit int
	}
)

// NewRing makes a ring of limit items.
func NewRing[T any](limit int) *Ring[T] { return &Ring[T]{limit: limit} }

// Put adds an item in place of the oldest when full.
func (r *Ring[T]) Put(item T) {
	if len(r.items) < r.limit {
		r.items = append(r.items, item)
		return
	}
	r.items[r.next] = item
	r.next = (r.next + 1) % r.limit
}

// All lists the items from oldest to newest.
func (r *Ring[T]) All() []T {
	list := make([]T, 0, len(r.items))
	list = append(list, r.items[r.next:]...)
	return append(list, r.items[:r.next]...)
}

// Events lists the events kept, oldest first.
func (k *Kernel) Events() []Event { return k.events.All() }

func (k *Kernel) log(now time.Time, e Event) {
	e.Stamp = k.clock.Now(now)
	e.VM = k.config.Self.Name
	k.events.Put(e)
	if k.config.Observe != nil {
		k.config.Observe(e)
	}
}
