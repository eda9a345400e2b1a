package replica

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against changes that a peer does not get, whatever the order in which they arrived here.
func TestSinceReturnsEachChangeAfterRevision(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	c := NewCopy()
	c.Apply(start, Delta{Full: true, Revision: 1, Entries: []Entry{{Key: "k", Revision: 1}}})
	last := map[string]Entry{"k": {Key: "k", Revision: 1}}
	for revision := Position(2); revision < 5000; revision += 3 {
		d := Delta{Base: c.Revision(), Revision: revision + 2}
		for _, r := range random.Perm(3) {
			e := Entry{Key: fmt.Sprint(random.IntN(300)), Revision: revision + Position(r), Removed: random.IntN(3) == 0}
			d.Entries = append(d.Entries, e)
			if last[e.Key].Revision < e.Revision {
				last[e.Key] = e
			}
		}
		c.Apply(start, d)
		since := revision - min(revision-1, Position(random.Uint64N(100)))
		got, want := make(map[string]Entry), make(map[string]Entry)
		for _, e := range c.Since(start, since).Entries {
			got[e.Key] = e
		}
		for key, e := range last {
			if e.Revision > since {
				want[key] = e
			}
		}
		if !maps.EqualFunc(got, want, func(a, b Entry) bool { return a.Revision == b.Revision && a.Removed == b.Removed }) {
			t.Fatalf("changes after %d at revision %d: got %v, want %v", since, c.Revision(), got, want)
		}
	}
	if got, bound := len(c.changes.list), 2*(len(c.entries)+len(c.removals))+minCompactedChanges; got > bound {
		t.Errorf("%d changes are kept for %d keys, want at most %d", got, len(last), bound)
	}
}

// BenchmarkSince gets the last change from a copy of a fleet's store. A search through all keys
// takes a thousand times as long.
func BenchmarkSince(b *testing.B) {
	for _, keys := range []int{1000, 11000, 22000} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			c, d := NewCopy(), Delta{Full: true, Revision: Position(keys)}
			for i := range keys {
				d.Entries = append(d.Entries, Entry{Key: fmt.Sprintf("servers/%d", i), Value: make([]byte, 250), Revision: Position(i + 1)})
			}
			c.Apply(start, d)
			b.ReportAllocs()
			for b.Loop() {
				if got := len(c.Since(time.Time{}, Position(keys)-1).Entries); got != 1 {
					b.Fatalf("got %d changes, want 1", got)
				}
			}
		})
	}
}
