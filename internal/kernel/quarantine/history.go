package quarantine

import (
	"time"
)

const (
	// maxSuccesses bounds the fingerprints whose last success is remembered.
	maxSuccesses = 4096
)

type (
	// runHistory holds the fingerprints that are running now and the times of recent successes.
	// Reports of crashes arrive with a delay, so a success since the crash must still be known
	// then.
	runHistory struct {
		running     map[Fingerprint]int
		lastSuccess map[Fingerprint]time.Time
		// insertionOrder is a ring buffer of the keys of lastSuccess; next is the oldest entry once
		// the buffer is full.
		insertionOrder []Fingerprint
		next           int
	}
)

func newRunHistory() runHistory {
	return runHistory{running: make(map[Fingerprint]int), lastSuccess: make(map[Fingerprint]time.Time)}
}

func (h *runHistory) recordSuccess(now time.Time, fp Fingerprint) {
	if _, known := h.lastSuccess[fp]; !known {
		if len(h.insertionOrder) < maxSuccesses {
			h.insertionOrder = append(h.insertionOrder, fp)
		} else {
			delete(h.lastSuccess, h.insertionOrder[h.next])
			h.insertionOrder[h.next] = fp
			h.next = (h.next + 1) % maxSuccesses
		}
	}
	h.lastSuccess[fp] = now
}

// hasSucceeded reports whether a success of the fingerprint is remembered.
func (h *runHistory) hasSucceeded(fp Fingerprint) bool {
	_, succeeded := h.lastSuccess[fp]
	return succeeded
}

func (h *runHistory) succeededSince(fp Fingerprint, since time.Time) bool {
	return h.lastSuccess[fp].After(since)
}
