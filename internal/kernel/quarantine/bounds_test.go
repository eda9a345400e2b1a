package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// Two groups of proxies are cut off from each other, and a request ends more servers than
// are kept for a work. When they meet, each brings ends that the other has dropped. They
// must come to rest: news that never end would fill the links.
func TestMoreEndsThanAreKeptComeToRest(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	work := NewFingerprint("GET", "host", "/deadly", "", nil)
	a, b := NewTracker(), NewTracker()
	for i := range 2 * endsMost {
		l := []*Tracker{a, b}[i%2]
		at := now.Add(time.Duration(i) * time.Second)
		s := NewInstanceID(fmt.Sprint("s", i), time.Time{})
		l.RecordConnectionLoss(at, work, s)
		l.RecordServerGone(at, s)
	}
	now = now.Add(2 * endsMost * time.Second)
	const rounds = 4
	for i := range rounds + 1 {
		news := b.Merge(now, a.Reports(now, false))
		news = a.Merge(now, b.Reports(now, false)) || news
		if i == rounds && news {
			t.Errorf("round %d: got news still, want none", i)
		}
	}
	if ruling, _ := a.Status(now, work); ruling != Quarantined {
		t.Errorf("got ruling %d, want it condemned", ruling)
	}
}

// A region is lost with thousands of requests, each of which was there at one end. The
// one that had ended two servers before must not be forgotten for them.
func TestFloodOfWorksKeepsTheSuspects(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	l := NewTracker()
	deadly := NewFingerprint("GET", "host", "/deadly", "", nil)
	for _, id := range []string{"s1", "s2"} {
		l.RecordConnectionLoss(now, deadly, NewInstanceID(id, time.Time{}))
		l.RecordServerGone(now, NewInstanceID(id, time.Time{}))
	}
	for i := range 10 * worksMost {
		s := NewInstanceID(fmt.Sprint("flood-", i/10), time.Time{})
		l.RecordConnectionLoss(now, NewFingerprint("GET", "host", fmt.Sprint("/", i), "", nil), s)
		l.RecordServerGone(now, s)
	}
	if n := len(l.works); n > worksMost {
		t.Errorf("got %d works, want %d at most", n, worksMost)
	}
	if got := len(l.Reports(now, true)); got > reportsMost {
		t.Errorf("got %d reports in a message, want %d at most", got, reportsMost)
	}
	if ruling, _ := l.Status(now, deadly); ruling != Suspected {
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
		w := NewFingerprint("GET", "host", "/sound/17?day=2", "key", nil)
		l.Status(now, w)
		l.RecordStart(w)
		l.RecordStop(w)
		l.RecordSuccess(now, w)
	}
}
