package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// Two groups of proxies are cut off from each other, and a request ends more servers than
// are kept for a work. When they meet, each brings ends that the other has dropped. They
// must come to rest: news that never end would fill the links.
func TestMergeConvergesBeyondMaxCrashes(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	fp := NewFingerprint("GET", "host", "/deadly", "", nil)
	a, b := NewTracker(), NewTracker()
	for i := range 2 * maxCrashes {
		l := []*Tracker{a, b}[i%2]
		at := now.Add(time.Duration(i) * time.Second)
		s := NewInstanceID(fmt.Sprint("s", i), time.Time{})
		l.RecordConnectionLoss(at, fp, s)
		l.RecordServerGone(at, s)
	}
	now = now.Add(2 * maxCrashes * time.Second)
	const rounds = 4
	for i := range rounds + 1 {
		learned := b.Merge(now, a.Reports(now, false))
		learned = a.Merge(now, b.Reports(now, false)) || learned
		if i == rounds && learned {
			t.Errorf("round %d: got news still, want none", i)
		}
	}
	if ruling, _ := a.Status(now, fp); ruling != Quarantined {
		t.Errorf("got ruling %d, want it condemned", ruling)
	}
}

// A region is lost with thousands of requests, each of which was there at one end. The
// one that had ended two servers before must not be forgotten for them.
func TestEvictionKeepsSuspects(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	l := NewTracker()
	poison := NewFingerprint("GET", "host", "/deadly", "", nil)
	for _, id := range []string{"s1", "s2"} {
		l.RecordConnectionLoss(now, poison, NewInstanceID(id, time.Time{}))
		l.RecordServerGone(now, NewInstanceID(id, time.Time{}))
	}
	for i := range 10 * maxRecords {
		s := NewInstanceID(fmt.Sprint("flood-", i/10), time.Time{})
		l.RecordConnectionLoss(now, NewFingerprint("GET", "host", fmt.Sprint("/", i), "", nil), s)
		l.RecordServerGone(now, s)
	}
	if n := len(l.records); n > maxRecords {
		t.Errorf("got %d works, want %d at most", n, maxRecords)
	}
	if got := len(l.Reports(now, true)); got > maxReports {
		t.Errorf("got %d reports in a message, want %d at most", got, maxReports)
	}
	if ruling, _ := l.Status(now, poison); ruling != Suspected {
		t.Errorf("got ruling %d, want it suspected still", ruling)
	}
}

// BenchmarkRequest is what a request that nothing is held against costs, while a hundred
// others are suspected.
func BenchmarkRequest(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	l := NewTracker()
	for i := range 100 {
		for _, id := range []string{"s1", "s2"} {
			s := NewInstanceID(fmt.Sprint(id, i/10), time.Time{})
			l.RecordConnectionLoss(now, NewFingerprint("GET", "host", fmt.Sprint("/suspect/", i), "", nil), s)
			l.RecordServerGone(now, s)
		}
	}
	for i := 0; b.Loop(); i++ {
		fp := NewFingerprint("GET", "host", "/sound/17?day=2", "key", nil)
		l.Status(now, fp)
		l.RecordStart(fp)
		l.RecordStop(fp)
		l.RecordSuccess(now, fp)
	}
}
