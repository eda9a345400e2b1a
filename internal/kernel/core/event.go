package core

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
)

const (
	// EventAdmitted marks a request's first dispatch.
	EventAdmitted EventKind = "request-admitted"
	// EventRetried marks a further attempt.
	EventRetried EventKind = "request-retried"
	// EventFinished marks the final outcome.
	EventFinished EventKind = "request-finished"
	// EventOverdue marks a caller told "unknown" while its request still runs.
	EventOverdue EventKind = "request-overdue"
	// EventRefused marks a request refused before any dispatch.
	EventRefused EventKind = "request-refused"
	// EventForwarded marks a request handed to its token's minter.
	EventForwarded EventKind = "request-forwarded"
	// EventTokenMinted marks a new idempotency token.
	EventTokenMinted EventKind = "token-minted"
	// EventBundleApplied marks a bundle that came into force here.
	EventBundleApplied EventKind = "bundle-applied"
	// EventBundleRejected marks a bundle that was not believed.
	EventBundleRejected EventKind = "bundle-rejected"
	// EventAssignment marks a new assignment of quota slots.
	EventAssignment EventKind = "assignment-applied"
	// EventMember marks news of a peer.
	EventMember EventKind = "member-changed"
	// EventShift marks a step of traffic between regions.
	EventShift EventKind = "traffic-shifted"
	// EventRegionLost marks a region that stopped answering.
	EventRegionLost EventKind = "region-lost"
	// EventRegionBack marks a region that answers again.
	EventRegionBack EventKind = "region-back"
	// EventServerLimit marks a backend server that names a limit, another one, or none.
	EventServerLimit EventKind = "backend-server-limit"
	// EventServerEjected marks a backend server taken out after failures.
	EventServerEjected EventKind = "backend-server-out"
	// EventServerLeaving marks a backend server that gets no new work.
	EventServerLeaving EventKind = "backend-server-leaving"
	// EventBorrowed marks quota borrowed.
	EventBorrowed EventKind = "quota-borrowed"
	// EventFenced marks a proxy that stopped using its quota after a pause.
	EventFenced EventKind = "quota-fenced"
	// EventStopping marks the begin of a planned stop.
	EventStopping EventKind = "stop-begun"
	// EventHandover marks records left to a peer.
	EventHandover EventKind = "records-handed-over"
	// EventInherited marks records taken over.
	EventInherited EventKind = "records-inherited"
)

const (
	eventLogSize = 4096
)

type (
	// EventKind names a type of event.
	EventKind string

	// Event is one line of the event log.
	Event struct {
		Stamp   peer.Stamp     `json:"stamp"`
		VM      string         `json:"vm"`
		Kind    EventKind      `json:"kind"`
		Service string         `json:"service,omitempty"`
		Request string         `json:"request,omitempty"`
		Target  string         `json:"target,omitempty"`
		Version uint64         `json:"version,omitempty"`
		Outcome caller.Outcome `json:"outcome,omitempty"`
		Reason  caller.Reason  `json:"reason,omitempty"`
		Detail  string         `json:"detail,omitempty"`
	}

	// RingBuffer keeps the newest items of a fixed number. It allocates its room as
	// items come and never more.
	RingBuffer[T any] struct {
		items []T
		next  int
		limit int
	}
)

// NewRingBuffer makes a ring of limit items.
func NewRingBuffer[T any](limit int) *RingBuffer[T] { return &RingBuffer[T]{limit: limit} }

// Add adds an item in place of the oldest when full.
func (r *RingBuffer[T]) Add(item T) {
	if len(r.items) < r.limit {
		r.items = append(r.items, item)
		return
	}
	r.items[r.next] = item
	r.next = (r.next + 1) % r.limit
}

// All lists the items from oldest to newest.
func (r *RingBuffer[T]) All() []T {
	list := make([]T, 0, len(r.items))
	list = append(list, r.items[r.next:]...)
	return append(list, r.items[:r.next]...)
}

// Events lists the events kept, oldest first.
func (k *Kernel) Events() []Event { return k.events.All() }

func (k *Kernel) log(now time.Time, e Event) {
	e.Stamp = k.clock.Now(now)
	e.VM = k.config.Self.Name
	k.events.Add(e)
	if k.config.OnEvent != nil {
		k.config.OnEvent(e)
	}
}
