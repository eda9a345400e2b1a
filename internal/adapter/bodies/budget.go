package bodies

import (
	"net/netip"
	"sync"

	"golang.org/x/sync/semaphore"
)

type (
	// MemoryBudget limits the memory of all buffered bodies together. A budget that was returned by From
	// is a view of it for the bodies of one source.
	MemoryBudget struct {
		*sharedBudget
		source netip.AddrPort
	}

	sharedBudget struct {
		size      int64
		available *semaphore.Weighted

		mu sync.Mutex
		// used is the memory that is reserved, held the part of it by source.
		used int64
		held map[netip.AddrPort]int64
	}
)

// NewMemoryBudget returns a budget of maxBytes bytes.
func NewMemoryBudget(maxBytes int64) *MemoryBudget {
	return &MemoryBudget{sharedBudget: &sharedBudget{size: maxBytes, available: semaphore.NewWeighted(maxBytes), held: make(map[netip.AddrPort]int64)}}
}

// From returns a view of the budget for the bodies of a source. One source never holds more than the
// memory that is free, as with the dynamic thresholds of shared packet buffers: a source alone gets half
// of the budget, and however many sources send too much, a part stays free for all others.
func (m *MemoryBudget) From(source netip.AddrPort) *MemoryBudget {
	return &MemoryBudget{sharedBudget: m.sharedBudget, source: source}
}

// tryAcquire reserves memory, or returns false if it is used up or the source holds its part.
func (m *MemoryBudget) tryAcquire(bytes int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.source.IsValid() && m.held[m.source]+bytes > m.size-m.used {
		return false
	}
	if !m.available.TryAcquire(bytes) {
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
	m.available.Release(bytes)
	m.used -= bytes
	if !m.source.IsValid() {
		return
	}
	if m.held[m.source] -= bytes; m.held[m.source] == 0 {
		delete(m.held, m.source)
	}
}
