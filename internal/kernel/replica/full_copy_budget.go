package replica

import (
	"time"
)

const (
	// fullCopyBytesPerSecond is how many bytes per second a proxy may send as full copies in the
	// long run. It is eight times the bandwidth budget for control traffic, but it is only used
	// while peers start or reconnect.
	fullCopyBytesPerSecond = 64 << 10
	// fullCopyBurstBytes is how much a proxy may send at once: a few compressed copies for a
	// fleet of a hundred VMs. More would saturate the links when a large fleet starts.
	fullCopyBurstBytes = 1 << 20
	// compressionRatio is the approximate ratio by which a full copy is compressed on the wire.
	compressionRatio = 6
)

type (
	// FullCopyBudget limits the full copies that a proxy sends to its peers. A peer whose request
	// is rejected queries another peer or the store.
	FullCopyBudget struct {
		spentBytes float64
		at         time.Time
	}
)

// Allow reports whether a copy of the given size may be sent now, and if so deducts it.
func (a *FullCopyBudget) Allow(now time.Time, bytes int) bool {
	a.spentBytes = max(0, a.spentBytes-now.Sub(a.at).Seconds()*fullCopyBytesPerSecond)
	a.at = now
	if a.spentBytes+float64(bytes) > fullCopyBurstBytes {
		return false
	}
	a.spentBytes += float64(bytes)
	return true
}

// CompressedSize returns the approximate size in bytes of a full copy on the wire.
func (c *Copy) CompressedSize() int { return c.size / compressionRatio }

// Size returns the approximate size in bytes of the delta in memory and in an uncompressed
// message.
func (d Delta) Size() int {
	n := 0
	for _, e := range d.Entries {
		n += e.size()
	}
	return n
}

// size is the approximate size of an entry in bytes; zero for the entry of an unknown key.
func (e Entry) size() int {
	const overhead = 16
	if e.Key == "" {
		return 0
	}
	return len(e.Key) + len(e.Value) + overhead
}
