package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// Guards against gossip that never stops: during a network partition two groups of proxies record
// more crashes of one fingerprint than a record holds, and each reports crashes that the other has
// dropped.
func TestMergeConvergesBeyondMaxCrashes(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	fp := NewFingerprint("GET", "host", "/deadly", "", nil)
	a, b := NewTracker(), NewTracker()
	for i := range 2 * maxCrashes {
		tracker := []*Tracker{a, b}[i%2]
		at := now.Add(time.Duration(i) * time.Second)
		s := NewInstanceID(fmt.Sprint("s", i), time.Time{})
		tracker.RecordConnectionLoss(at, fp, s)
		tracker.RecordServerGone(at, s)
	}
	now = now.Add(2 * maxCrashes * time.Second)
	const rounds = 4
	for i := range rounds + 1 {
		learned := b.Merge(now, a.Reports(now, false))
		learned = a.Merge(now, b.Reports(now, false)) || learned
		if i == rounds && learned {
			t.Errorf("round %d: got a change, want none", i)
		}
	}
	if status, _ := a.Status(now, fp); status != Quarantined {
		t.Errorf("got status %d, want it quarantined", status)
	}
}

// Guards against eviction of a suspected fingerprint, with two crashes, when the loss of a region
// adds thousands of fingerprints with one crash each.
func TestEvictionKeepsSuspects(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	tracker := NewTracker()
	poison := NewFingerprint("GET", "host", "/deadly", "", nil)
	for _, id := range []string{"s1", "s2"} {
		tracker.RecordConnectionLoss(now, poison, NewInstanceID(id, time.Time{}))
		tracker.RecordServerGone(now, NewInstanceID(id, time.Time{}))
	}
	for i := range 10 * maxRecords {
		s := NewInstanceID(fmt.Sprint("flood-", i/10), time.Time{})
		tracker.RecordConnectionLoss(now, NewFingerprint("GET", "host", fmt.Sprint("/", i), "", nil), s)
		tracker.RecordServerGone(now, s)
	}
	if n := len(tracker.records); n > maxRecords {
		t.Errorf("got %d records, want at most %d", n, maxRecords)
	}
	if got := len(tracker.Reports(now, true)); got > maxReports {
		t.Errorf("got %d reports in a message, want at most %d", got, maxReports)
	}
	if status, _ := tracker.Status(now, poison); status != Suspected {
		t.Errorf("got status %d, want it still suspected", status)
	}
}

// BenchmarkRequest measures the cost of a request without crashes, while a hundred other
// fingerprints are suspected.
func BenchmarkRequest(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	tracker := NewTracker()
	for i := range 100 {
		for _, id := range []string{"s1", "s2"} {
			s := NewInstanceID(fmt.Sprint(id, i/10), time.Time{})
			tracker.RecordConnectionLoss(now, NewFingerprint("GET", "host", fmt.Sprint("/suspect/", i), "", nil), s)
			tracker.RecordServerGone(now, s)
		}
	}
	for i := 0; b.Loop(); i++ {
		fp := NewFingerprint("GET", "host", "/sound/17?day=2", "key", nil)
		tracker.Status(now, fp)
		tracker.RecordStart(fp)
		tracker.RecordStop(fp)
		tracker.RecordSuccess(now, fp)
	}
}
