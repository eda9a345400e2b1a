package replica

import (
	"time"
)

const (
	// fullCopyBytesPerSecond is how many bytes a second a proxy gives away as whole
	// copies in the long run: eight times what control may take, and only
	// while peers start or come back.
	fullCopyBytesPerSecond = 64 << 10
	// fullCopyBurstBytes is what it may give away at once, some copies of a fleet of
	// a hundred VMs, packed. More would fill the links when a large fleet starts.
	fullCopyBurstBytes = 1 << 20
	// compressionRatio is how many times smaller a whole copy is on its way.
	compressionRatio = 6
)

type (
	// FullCopyBudget bounds the whole copies that a proxy gives to its peers. One
	// that is refused asks another peer, or the store.
	FullCopyBudget struct {
		spentBytes float64
		at         time.Time
	}
)

// Allow reports whether a copy of a size may be given away now, and counts it.
func (a *FullCopyBudget) Allow(now time.Time, bytes int) bool {
	a.spentBytes = max(0, a.spentBytes-now.Sub(a.at).Seconds()*fullCopyBytesPerSecond)
	a.at = now
	if a.spentBytes+float64(bytes) > fullCopyBurstBytes {
		return false
	}
	a.spentBytes += float64(bytes)
	return true
}

// CompressedSize is about how many bytes a whole copy takes on a link.
func (d Delta) CompressedSize() int { return d.Size() / compressionRatio }

// Size is about how many bytes the delta takes in memory and in a
// message that is not packed.
func (d Delta) Size() int {
	const perEntry = 16
	n := 0
	for _, e := range d.Entries {
		n += len(e.Key) + len(e.Value) + perEntry
	}
	return n
}
