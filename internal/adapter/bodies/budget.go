package bodies

import (
	"net/netip"
	"sync"
)

type (
	// MemoryBudget limits the memory of all buffered bodies together. A budget that was returned by From
	// is a view of it for the bodies of one source.
	MemoryBudget struct {
		*sharedBudget
		source netip.AddrPort
	}

	sharedBudget struct {
		size int64

		mu sync.Mutex
		// used is the memory that is reserved, held the part of it by source.
		used int64
		held map[netip.AddrPort]int64
	}
)

// NewMemoryBudget returns a budget of maxBytes bytes.
func NewMemoryBudget(maxBytes int64) *MemoryBudget {
	return &MemoryBudget{sharedBudget: &sharedBudget{size: maxBytes, held: make(map[netip.AddrPort]int64)}}
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
	free := m.size - m.used
	if bytes > free {
		return false
	}
	if m.source.IsValid() {
		if m.held[m.source]+bytes > free {
			return false
		}
		m.held[m.source] += bytes
	}
	m.used += bytes
	return true
}

func (m *MemoryBudget) release(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= bytes
	if !m.source.IsValid() {
		return
	}
	if m.held[m.source] -= bytes; m.held[m.source] == 0 {
		delete(m.held, m.source)
	}
}
