package core

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
)

const (
	// EventAdmitted marks the first dispatch of a request.
	EventAdmitted EventKind = "request-admitted"
	// EventRetried marks a further dispatch of a request.
	EventRetried EventKind = "request-retried"
	// EventFinished marks the final outcome of a request.
	EventFinished EventKind = "request-finished"
	// EventOverdue marks a request that is still running at its deadline, and whose caller is told
	// "unknown".
	EventOverdue EventKind = "request-overdue"
	// EventRejected marks a request or an attempt that was rejected before its dispatch.
	EventRejected EventKind = "request-refused"
	// EventForwarded marks a request forwarded to the minter of its token.
	EventForwarded EventKind = "request-forwarded"
	// EventTokenMinted marks a new idempotency token.
	EventTokenMinted EventKind = "token-minted"
	// EventBundleApplied marks a bundle coming into force on this proxy.
	EventBundleApplied EventKind = "bundle-applied"
	// EventBundleRejected marks a bundle that failed validation, wholly or in part.
	EventBundleRejected EventKind = "bundle-rejected"
	// EventAssignment marks a new assignment of quota slots.
	EventAssignment EventKind = "assignment-applied"
	// EventMember marks a change of a peer's member record.
	EventMember EventKind = "member-changed"
	// EventShift marks a step of a traffic shift between regions.
	EventShift EventKind = "traffic-shifted"
	// EventRegionLost marks a region of which nearly all servers are ejected.
	EventRegionLost EventKind = "region-lost"
	// EventRegionBack marks a lost region of which enough servers respond again.
	EventRegionBack EventKind = "region-back"
	// EventServerLimit marks a backend server that sets, changes or removes a limit.
	EventServerLimit EventKind = "backend-server-limit"
	// EventServerEjected marks a backend server ejected after failures.
	EventServerEjected EventKind = "backend-server-out"
	// EventServerDraining marks a backend server that gets no new requests.
	EventServerDraining EventKind = "backend-server-leaving"
	// EventBorrowed marks quota borrowed from a peer.
	EventBorrowed EventKind = "quota-borrowed"
	// EventFenced marks a proxy that stopped using its quota after a pause of its process.
	EventFenced EventKind = "quota-fenced"
	// EventStopping marks the start of a graceful shutdown.
	EventStopping EventKind = "stop-begun"
	// EventHandover marks token records handed over to a peer.
	EventHandover EventKind = "records-handed-over"
	// EventInherited marks token records taken over from a peer.
	EventInherited EventKind = "records-inherited"
)

const (
	// eventLogSize is the number of events that the event log of a proxy retains.
	eventLogSize = 4096
)

type (
	// EventKind is the type of an event.
	EventKind string

	// Event is an entry of the event log.
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

	// RingBuffer keeps the latest items up to a limit. It grows as items are added and never beyond
	// the limit.
	RingBuffer[T any] struct {
		items []T
		next  int
		limit int
	}
)

// NewRingBuffer creates a ring buffer for up to limit items.
func NewRingBuffer[T any](limit int) *RingBuffer[T] { return &RingBuffer[T]{limit: limit} }

// Add adds an item, replacing the oldest when the buffer is full.
func (r *RingBuffer[T]) Add(item T) {
	if len(r.items) < r.limit {
		r.items = append(r.items, item)
		return
	}
	r.items[r.next] = item
	r.next = (r.next + 1) % r.limit
}

// All returns the items from oldest to newest.
func (r *RingBuffer[T]) All() []T {
	list := make([]T, 0, len(r.items))
	list = append(list, r.items[r.next:]...)
	return append(list, r.items[:r.next]...)
}

// Events returns the logged events, oldest first.
func (k *Kernel) Events() []Event { return k.events.All() }

func (k *Kernel) log(now time.Time, e Event) {
	e.Stamp = k.clock.Now(now)
	e.VM = k.config.Self.Name
	k.events.Add(e)
	if k.config.OnEvent != nil {
		k.config.OnEvent(e)
	}
}
