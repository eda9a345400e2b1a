package replica

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var (
	start = time.Unix(1_000_000, 0)
)

// fullRead returns a full read of the store at revision 10.
func fullRead(keys ...string) Delta {
	d := Delta{Revision: 10, Full: true}
	for i, key := range keys {
		d.Entries = append(d.Entries, Entry{Key: key, Revision: Position(i + 1), Value: []byte(key)})
	}
	return d
}

func entryNames(entries []Entry) []string {
	var list []string
	for _, e := range entries {
		text := e.Key
		if e.Removed {
			text = "-" + text
		}
		list = append(list, text)
	}
	slices.Sort(list)
	return list
}

// Messages of a peer arrive out of order. Applying the later one would skip the changes in
// between, and a drained server would get requests.
func TestDeltaAfterGapIsRejected(t *testing.T) {
	c := NewCopy()
	c.Apply(start, fullRead("a"))
	if _, ok := c.Apply(start, Delta{Base: 12, Revision: 13, Entries: []Entry{{Key: "b", Revision: 13}}}); ok {
		t.Error("a delta from revision 12 was applied to a copy at 10")
	}
	if got, want := c.Revision(), Position(10); got != want {
		t.Errorf("revision is %d, want %d", got, want)
	}
}

// A proxy that was disconnected comes back and sends its old state. A server that has left in the
// meantime must not be restored.
func TestStaleDeltaDoesNotRestoreRemovedEntry(t *testing.T) {
	c := NewCopy()
	c.Apply(start, fullRead("a", "b"))
	c.Apply(start, Delta{Base: 10, Revision: 11, Entries: []Entry{{Key: "b", Revision: 11, Removed: true}}})
	changed, _ := c.Apply(start, fullRead("a", "b"))
	if len(changed) > 0 {
		t.Errorf("an older full copy changed %v, want nothing", entryNames(changed))
	}
	changed, _ = c.Apply(start, Delta{Base: 9, Revision: 11, Entries: []Entry{{Key: "b", Revision: 2}}})
	if len(changed) > 0 {
		t.Errorf("an older entry changed %v, want nothing", entryNames(changed))
	}
}

// After the store has compacted its history, a full read lacks the removals in between. Entries
// that are missing from it must be removed.
func TestFullReadRemovesMissingEntries(t *testing.T) {
	c := NewCopy()
	c.Apply(start, fullRead("a", "b", "c"))
	changed, _ := c.Apply(start, Delta{Revision: 20, Full: true, Entries: []Entry{
		{Key: "a", Revision: 1}, {Key: "c", Revision: 15},
	}})
	if got, want := entryNames(changed), []string{"-b", "c"}; !slices.Equal(got, want) {
		t.Errorf("changed %v, want %v", got, want)
	}
}

func TestSinceBringsPeerUpToDate(t *testing.T) {
	a, b := NewCopy(), NewCopy()
	a.Apply(start, fullRead("a", "b"))
	b.Apply(start, a.Since(start, 0))
	a.Apply(start, Delta{Base: 10, Revision: 12, Entries: []Entry{
		{Key: "a", Revision: 11, Removed: true}, {Key: "c", Revision: 12},
	}})
	changed, ok := b.Apply(start, a.Since(start, b.Revision()))
	if got, want := entryNames(changed), []string{"-a", "c"}; !ok || !slices.Equal(got, want) {
		t.Errorf("changed %v (applied %t), want %v", got, ok, want)
	}
	if b.Revision() != a.Revision() {
		t.Errorf("revision is %d, want %d", b.Revision(), a.Revision())
	}
}

// So many servers join and leave that their removals are no longer kept. A lagging peer must not
// apply the changes alone, or it keeps dead servers; after a few attempts it requests a full
// copy.
func TestLaggingPeerRequestsFullCopy(t *testing.T) {
	a, b := NewCopy(), NewCopy()
	a.Apply(start, fullRead("a", "b"))
	b.Apply(start, a.Since(start, 0))
	revision := Position(10)
	for i := range maxRemovals + 10 {
		key := fmt.Sprintf("server-%d", i)
		a.Apply(start, Delta{Base: revision, Revision: revision + 2, Entries: []Entry{
			{Key: key, Revision: revision + 1}, {Key: key, Revision: revision + 2, Removed: true},
		}})
		revision += 2
		if i == 3 {
			a.Apply(start, Delta{Base: revision, Revision: revision + 1, Entries: []Entry{{Key: "b", Revision: revision + 1, Removed: true}}})
			revision++
		}
	}
	for range maxMismatches {
		if changed, ok := b.Apply(start, a.Since(start, b.RequestRevision())); ok {
			t.Fatalf("changes without the removal of b were applied (%v)", entryNames(changed))
		}
	}
	changed, _ := b.Apply(start, a.Since(start, b.RequestRevision()))
	if got, want := entryNames(changed), []string{"-b"}; !slices.Equal(got, want) {
		t.Errorf("changed %v, want %v", got, want)
	}
	if got, want := b.RequestRevision(), a.Revision(); got != want {
		t.Errorf("requests changes after %d, want %d", got, want)
	}
}

// A proxy has just read the store. A peer that lags by one registration, and by no removal, must
// get that registration alone instead of a full copy.
func TestPeerThatMissesNoRemovalGetsOnlyChanges(t *testing.T) {
	lagging, reader := NewCopy(), NewCopy()
	lagging.Apply(start, fullRead("a", "b"))
	reader.Apply(start, Delta{Revision: 11, Full: true, Entries: append(fullRead("a", "b").Entries, Entry{Key: "c", Revision: 11})})
	d := reader.Since(start, lagging.RequestRevision())
	if len(d.Entries) != 1 {
		t.Errorf("%d entries are sent, want 1", len(d.Entries))
	}
	changed, ok := lagging.Apply(start, d)
	if got, want := entryNames(changed), []string{"c"}; !ok || !slices.Equal(got, want) {
		t.Errorf("changed %v (applied %t), want %v", got, ok, want)
	}
}

// A relay's connection to the store hangs. Its copy stays complete but ages, and peers must learn
// this age to notice.
func TestAgeIsPassedOnWithCopy(t *testing.T) {
	a, b := NewCopy(), NewCopy()
	a.Apply(start, fullRead("a"))
	later := start.Add(3 * time.Second)
	b.Apply(later, a.Since(later, 0))
	if got, want := b.Age(later), 3*time.Second; got != want {
		t.Errorf("age is %s, want %s", got, want)
	}
	a.Apply(later, Delta{Base: 10, Revision: 10})
	b.Apply(later, a.Since(later, 10))
	if got := b.Age(later); got != 0 {
		t.Errorf("age after a confirmation is %s, want 0", got)
	}
}

// When all relays of a region are disconnected from the store, the others must query it
// themselves well within the time in which a change has to take effect.
func TestOtherProxiesFollowStoreWhenRelaysAreStale(t *testing.T) {
	var list []Candidate
	for i := range 24 {
		list = append(list, Candidate{Name: fmt.Sprintf("proxy-%d", i)})
	}
	fresh, late := 0, 0
	for _, c := range list {
		rank := Rank(c.Name, list)
		if ShouldFollowStore(rank, 500*time.Millisecond) {
			fresh++
		}
		if ShouldFollowStore(rank, 2*time.Second) {
			late++
		}
	}
	if fresh != RelaysPerRegion {
		t.Errorf("%d proxies follow the store while changes arrive, want %d", fresh, RelaysPerRegion)
	}
	if late <= RelaysPerRegion {
		t.Errorf("%d proxies follow the store after 2 s without changes, want more than %d", late, RelaysPerRegion)
	}
	if got := Rank("stranger", list); got != len(list) {
		t.Errorf("rank of a name that is not listed is %d, want %d", got, len(list))
	}
}

// A fleet of 300 starts at once and all proxies request full copies from three seed peers. When
// all requests were granted, the copies saturated the seeds' links for seconds, and an operator's
// change didn't take effect in time.
func TestFullCopiesAreBoundedByBudget(t *testing.T) {
	const size = 750 << 10
	var a FullCopyBudget
	granted := 0
	for i := range 300 {
		if a.Allow(start.Add(time.Duration(i)*10*time.Millisecond), size) {
			granted++
		}
	}
	if granted != 1 {
		t.Errorf("%d copies of 750 KB were granted within three seconds, want 1", granted)
	}
	if !a.Allow(start.Add(time.Minute), size) {
		t.Error("no copy is granted after a minute")
	}
	granted = 0
	var small FullCopyBudget
	for range 66 {
		if small.Allow(start, 100<<10) {
			granted++
		}
	}
	if granted != 10 {
		t.Errorf("%d copies of 100 KB were granted at once, want 10", granted)
	}
}

// A relay sends each change to dozens of peers. On a link of 10 Mbit/s a burst of registrations
// took seconds, while VMs with twenty times the bandwidth were available.
func TestProxiesWithWidestLinksAreRelays(t *testing.T) {
	var list []Candidate
	for i := range 24 {
		c := Candidate{Name: fmt.Sprintf("proxy-%d", i), LinkMbps: 10}
		if i%8 == 0 {
			c.LinkMbps = 200
		}
		list = append(list, c)
	}
	for _, c := range list {
		if rank := Rank(c.Name, list); (rank < 3) != (c.LinkMbps == 200) {
			t.Errorf("%s with %d Mbit/s has rank %d", c.Name, c.LinkMbps, rank)
		}
	}
}

// A platform removes a server's entry and the server writes it again at once; one watch reports
// both. If removals were applied after changes, the live server would stay removed.
func TestKeyRemovedAndRecreatedInOneDelta(t *testing.T) {
	c := NewCopy()
	c.Apply(start, fullRead("a", "b"))
	changed, _ := c.Apply(start, Delta{Base: 10, Revision: 14, Entries: []Entry{
		{Key: "a", Revision: 11, Removed: true}, {Key: "a", Revision: 12, Value: []byte("again")},
		{Key: "c", Revision: 13}, {Key: "c", Revision: 14, Removed: true},
	}})
	if got, want := entryNames(changed), []string{"a"}; !slices.Equal(got, want) {
		t.Errorf("changed %v, want %v", got, want)
	}
	if len(changed) > 0 && string(changed[0].Value) != "again" {
		t.Errorf("the entry returned is %q, want the last one", changed[0].Value)
	}
}

// A peer passes on a removal as tentative; then the store, or a peer that read it later, reports
// it as definite. The definite removal must be passed on, or proxies would keep waiting for a
// server that has left.
func TestDefiniteRemovalReplacesTentativeOne(t *testing.T) {
	c := NewCopy()
	c.Apply(start, fullRead("a", "b"))
	removal := func(tentative bool) Delta {
		return Delta{Base: 10, Revision: 11, Entries: []Entry{{Key: "b", Revision: 11, Removed: true, Tentative: tentative}}}
	}
	if changed, _ := c.Apply(start, removal(true)); len(changed) != 1 || !changed[0].Tentative {
		t.Errorf("a tentative removal changed %v, want b as tentative", changed)
	}
	if changed, _ := c.Apply(start, removal(true)); len(changed) != 0 {
		t.Errorf("the same removal again changed %v, want nothing", changed)
	}
	if changed, _ := c.Apply(start, removal(false)); len(changed) != 1 || changed[0].Tentative {
		t.Errorf("the definite removal changed %v, want b as definite", changed)
	}
	if changed, _ := c.Apply(start, removal(true)); len(changed) != 0 {
		t.Errorf("a tentative removal after the definite one changed %v, want nothing", changed)
	}
	if d := c.Since(start, 10); len(d.Entries) != 1 || d.Entries[0].Tentative {
		t.Errorf("peers get %v, want b as definite", d.Entries)
	}
}

// A copy that was read as a whole does not know of keys that were added and removed in between. A
// peer that had such a key kept it for good.
func TestPeerLearnsRemovalsFromBeforeFullRead(t *testing.T) {
	reader, peer := NewCopy(), NewCopy()
	for _, c := range []*Copy{reader, peer} {
		c.Apply(start, Delta{Full: true, Revision: 40, Entries: []Entry{{Key: "a", Revision: 40}}})
	}
	peer.Apply(start, Delta{Base: 40, Revision: 50, Entries: []Entry{{Key: "b", Revision: 45}}})
	reader.Apply(start, Delta{Full: true, Revision: 62, Entries: []Entry{{Key: "a", Revision: 40}}})
	for range maxMismatches + 1 {
		peer.Apply(start, reader.Since(start, peer.RequestRevision()))
	}
	if _, present := peer.entries["b"]; present {
		t.Error("got a key that the store does not have, want it removed")
	}
}
