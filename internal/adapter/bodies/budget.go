package bodies

import (
	"net/netip"
	"runtime"
	"sync"
	"time"
	"weak"
)

const (
	// smallSourceShare is the part of the budget, as a divisor, up to which a source counts as small.
	// reservedShare is the part that only small sources may use.
	smallSourceShare = 64
	reservedShare    = 4
	// longRequestShare is the part of the budget, as a divisor, that request bodies which are long or of
	// unknown length leave to others.
	longRequestShare = 16
	// garbageShare is the part of the budget, as a divisor, that released memory may take beyond the budget
	// until it is collected.
	garbageShare = 8
	// reclaimTimeout is how long a body waits for memory of connections that were closed for it.
	reclaimTimeout = 200 * time.Millisecond
)

type (
	// MemoryBudget limits the memory of all buffered bodies together. A budget that was returned by From
	// is a view of it for the bodies of one source.
	MemoryBudget struct {
		*sharedBudget
		source netip.AddrPort
		// leave is the part that this view leaves to others, in bytes.
		leave int64
	}

	sharedBudget struct {
		// reclaim closes a connection that holds memory, and reports whether there was one. It may be
		// nil.
		reclaim func() bool

		mu   sync.Mutex
		size int64
		// changed is closed when memory is released. It is nil unless a body waits for that.
		changed chan struct{}
		// used is the memory that is reserved, held the part of it by source.
		used int64
		held map[netip.AddrPort]int64
		// garbage is the memory that was released since the last garbage collection.
		garbage int64

		// collecting is held during a collection.
		collecting sync.Mutex
	}
)

// NewMemoryBudget returns a budget of maxBytes bytes.
func NewMemoryBudget(maxBytes int64) *MemoryBudget {
	m := &MemoryBudget{sharedBudget: &sharedBudget{size: maxBytes, held: make(map[netip.AddrPort]int64)}}
	m.watchCollections()
	return m
}

// watchCollections forgets the garbage with each garbage collection.
func (m *sharedBudget) watchCollections() {
	runtime.AddCleanup(new([16]byte), func(b weak.Pointer[sharedBudget]) {
		if m := b.Value(); m != nil {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.garbage = 0
			m.watchCollections()
		}
	}, weak.Make(m))
}

// collectGarbage collects the memory of released bodies if it would take the process beyond the budget: the
// collector goes by the heap as a whole and lets a crowd allocate while it runs.
func (m *sharedBudget) collectGarbage(bytes int64) {
	if !m.hasGarbage(bytes) {
		return
	}
	m.collecting.Lock()
	defer m.collecting.Unlock()
	if !m.hasGarbage(bytes) {
		return
	}
	runtime.GC()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.garbage = 0
}

// hasGarbage reports whether the next bytes exceed the budget together with the garbage.
func (m *sharedBudget) hasGarbage(bytes int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.garbage > m.size/garbageShare && m.used+m.garbage+bytes > m.size+m.size/garbageShare
}

// ReclaimWith calls reclaim when the memory is used up: it closes a connection that holds memory without
// need, and reports whether there was one. It must be called before the budget is used.
func (m *MemoryBudget) ReclaimWith(reclaim func() bool) { m.reclaim = reclaim }

// SetLongestRequest changes the size of the budget to maxBytes, or to less if that is enough for a request body
// of the given length, but not to less than minBytes.
func (m *MemoryBudget) SetLongestRequest(length, minBytes, maxBytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	needed := length + length/(longRequestShare-1) + 1
	m.size = min(max(minBytes, needed), max(minBytes, maxBytes))
}

func (m *MemoryBudget) currentSize() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.size
}

// forRequest returns a view of the budget for a request body. One that is long, or of unknown length if
// contentLength is negative, leaves a part to others: a crowd of them must not shut out short ones.
func (m *MemoryBudget) forRequest(contentLength int64) *MemoryBudget {
	view, size := &MemoryBudget{sharedBudget: m.sharedBudget, source: m.source}, m.currentSize()
	if contentLength < 0 || contentLength > size/smallSourceShare {
		view.leave = size / longRequestShare
	}
	return view
}

// acquire reserves memory like tryAcquire. If there is none, it reclaims some and waits for that a short
// time.
func (m *MemoryBudget) acquire(bytes int64) bool {
	m.collectGarbage(bytes)
	if m.tryAcquire(bytes) {
		return true
	}
	if m.reclaim == nil {
		return false
	}
	timeout := time.NewTimer(reclaimTimeout)
	defer timeout.Stop()
	for m.reclaim() {
		changed := m.released()
		if m.tryAcquire(bytes) {
			return true
		}
		select {
		case <-changed:
		case <-timeout.C:
			return m.tryAcquire(bytes)
		}
		if m.tryAcquire(bytes) {
			return true
		}
	}
	return false
}

// released returns a channel that is closed when memory is released next.
func (m *MemoryBudget) released() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.changed
}

// From returns a view of the budget for the bodies of a source. A source that holds more than a small part
// leaves a reserve to the others, and never holds more of the rest than is free there. So one source
// alone gets half of the rest, and small ones find memory beside as many sources that send too much as
// fit into the reserve with their small parts.
func (m *MemoryBudget) From(source netip.AddrPort) *MemoryBudget {
	return &MemoryBudget{sharedBudget: m.sharedBudget, source: source}
}

// tryAcquire reserves memory, or returns false if it is used up or the source holds its part.
func (m *MemoryBudget) tryAcquire(bytes int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	free := m.size - m.used - m.leave
	if held := m.held[m.source] + bytes; m.source.IsValid() && held > m.size/smallSourceShare {
		free -= m.size / reservedShare
		if held > free {
			return false
		}
	}
	if bytes > free {
		return false
	}
	m.used += bytes
	if m.source.IsValid() {
		m.held[m.source] += bytes
	}
	return true
}

func (m *MemoryBudget) release(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= bytes
	m.garbage += bytes
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
	if !m.source.IsValid() {
		return
	}
	if m.held[m.source] -= bytes; m.held[m.source] == 0 {
		delete(m.held, m.source)
	}
}
