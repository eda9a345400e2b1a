package replica

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func entryAt(key, value string, era, revision uint64) Entry {
	return Entry{Key: key, Value: []byte(value), Revision: NewPosition(era, revision)}
}

func fullCopy(era, revision uint64, entries ...Entry) Delta {
	return Delta{Full: true, Revision: NewPosition(era, revision), Entries: entries}
}

// A copy ignored all that the store said after its return from an older copy, until the revisions had
// passed, and keys whose new revision was below the lost one for longer.
func TestCopyTakesOverLaterEra(t *testing.T) {
	c := NewCopy()
	c.Apply(start, fullCopy(1, 100, entryAt("a", "lost", 1, 100), entryAt("b", "old", 1, 50)))
	changed, ok := c.Apply(start, fullCopy(2, 91, entryAt("a", "kept", 2, 90), entryAt("b", "old", 2, 50)))
	if !ok || len(changed) != 1 || changed[0].Key != "a" {
		t.Errorf("got changes %v, accepted %t, want those of a alone", changed, ok)
	}
	c.Apply(start, Delta{Base: NewPosition(2, 91), Revision: NewPosition(2, 105), Entries: []Entry{entryAt("b", "new", 2, 99)}})
	for key, want := range map[string]string{"a": "kept", "b": "new"} {
		if e, _ := c.Get(key); string(e.Value) != want {
			t.Errorf("%s: got %q, want %q", key, e.Value, want)
		}
	}
}

func TestCopyIgnoresEarlierEra(t *testing.T) {
	c := NewCopy()
	c.Apply(start, fullCopy(2, 91, entryAt("a", "now", 2, 90)))
	for _, d := range []Delta{
		fullCopy(1, 100, entryAt("a", "lost", 1, 100)),
		{Base: NewPosition(1, 90), Revision: NewPosition(1, 100), Entries: []Entry{entryAt("a", "lost", 1, 100)}},
	} {
		if changed, _ := c.Apply(start, d); len(changed) > 0 {
			t.Errorf("got changes %v of an earlier era, want none", changed)
		}
	}
	if got, want := c.Revision(), NewPosition(2, 91); got != want {
		t.Errorf("got position %s, want %s", got, want)
	}
}

// Changes of a later era do not tell which entries of the era before are gone.
func TestLaterEraNeedsFullCopy(t *testing.T) {
	behind, ahead := NewCopy(), NewCopy()
	behind.Apply(start, fullCopy(1, 100, entryAt("lost", "x", 1, 100), entryAt("a", "1", 1, 40)))
	ahead.Apply(start, fullCopy(2, 60, entryAt("a", "1", 2, 40)))
	ahead.Apply(start, Delta{Base: NewPosition(2, 60), Revision: NewPosition(2, 110), Entries: []Entry{entryAt("b", "2", 2, 110)}})
	if _, ok := behind.Apply(start, Delta{Base: NewPosition(1, 100), Revision: NewPosition(2, 110), Entries: []Entry{entryAt("b", "2", 2, 110)}}); ok {
		t.Error("got changes of a later era accepted, want them rejected")
	}
	d := ahead.Since(start, behind.Revision())
	if !d.Full {
		t.Fatal("got changes for a copy of an earlier era, want a full copy")
	}
	changed, _ := behind.Apply(start, d)
	if _, present := behind.Get("lost"); present {
		t.Error("got an entry that the store has lost, want none")
	}
	for _, e := range changed {
		if e.Removed && !e.Tentative {
			t.Errorf("got a definite removal of %s, want a tentative one: it may be written again", e.Key)
		}
	}
}

// Entries that the store lost with its latest changes may be written again, although it was available
// to others all the time.
func TestRemovalsOfLaterEraStayTentative(t *testing.T) {
	c := NewCopy()
	c.Apply(start, fullCopy(1, 100, entryAt("lost", "x", 1, 100), entryAt("a", "1", 1, 40)))
	c.Availability.Learn(start, Span{Known: true, Began: time.Minute})
	changed, _ := c.Apply(start, fullCopy(2, 60, entryAt("a", "1", 2, 40)))
	if len(changed) != 1 || !changed[0].Tentative {
		t.Errorf("got %v, want a tentative removal", changed)
	}
	if confirmed := c.ConfirmRemovals(start.Add(minOutage / 2)); len(confirmed) > 0 {
		t.Errorf("got %v confirmed, want none", confirmed)
	}
}

// A server that had left must not get requests because the store has lost its removal.
func TestReturnedEntryOfRemovedKeyIsNoNews(t *testing.T) {
	c := NewCopy()
	c.Apply(start, fullCopy(1, 60, entryAt("a", "1", 1, 50)))
	c.Apply(start, Delta{Base: NewPosition(1, 60), Revision: NewPosition(1, 70), Entries: []Entry{{Key: "a", Revision: NewPosition(1, 70), Removed: true}}})
	changed, _ := c.Apply(start, fullCopy(2, 62, entryAt("a", "1", 2, 50)))
	if len(changed) > 0 {
		t.Errorf("got changes %v, want none for an entry whose removal was lost", changed)
	}
	changed, _ = c.Apply(start, Delta{Base: NewPosition(2, 62), Revision: NewPosition(2, 63), Entries: []Entry{entryAt("a", "2", 2, 63)}})
	if len(changed) != 1 {
		t.Errorf("got changes %v, want the entry that was written again", changed)
	}
}

// fakeHistory is a store that may return from an older copy.
type fakeHistory struct {
	entries  map[string]Entry
	log      []Entry
	era      uint64
	revision uint64
}

func (h *fakeHistory) clone() fakeHistory {
	return fakeHistory{entries: maps.Clone(h.entries), log: slices.Clone(h.log), era: h.era, revision: h.revision}
}

func (h *fakeHistory) change(random *rand.Rand) {
	h.revision++
	e := entryAt(fmt.Sprint(random.IntN(12)), fmt.Sprint(random.IntN(3)), h.era, h.revision)
	if e.Removed = random.IntN(4) == 0; e.Removed {
		delete(h.entries, e.Key)
	} else {
		h.entries[e.Key] = e
	}
	h.log = append(h.log, e)
}

// inCurrentEra returns entries as the store reports them now.
func (h *fakeHistory) inCurrentEra(entries []Entry) []Entry {
	list := slices.Clone(entries)
	for i := range list {
		list[i].Revision = list[i].Revision.InEra(h.era)
	}
	return list
}

// read lets a copy follow the store, as a proxy does with a watch and a full read if that fails.
func (h *fakeHistory) read(c *Copy) {
	after := c.Revision()
	if after == 0 || after.Era() != h.era || after.Revision() > h.revision {
		c.Apply(start, Delta{Full: true, Revision: NewPosition(h.era, h.revision), Entries: h.inCurrentEra(slices.Collect(maps.Values(h.entries)))})
		return
	}
	d := Delta{Base: after, Revision: NewPosition(h.era, h.revision)}
	for _, e := range h.inCurrentEra(h.log) {
		if e.Revision > after {
			d.Entries = append(d.Entries, e)
		}
	}
	c.Apply(start, d)
}

// Copies that exchange changes in any order, while some of them follow the store, must all agree with
// it in the end, however often it returns from an older copy.
func TestCopiesAgreeAfterStoreReturnsOlder(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 7))
		h := fakeHistory{entries: make(map[string]Entry), era: 1}
		var saved fakeHistory
		copies := []*Copy{NewCopy(), NewCopy(), NewCopy(), NewCopy()}
		exchange := func(a, b *Copy) {
			if a.Revision() > b.Revision() {
				b.Apply(start, a.Since(start, b.RequestRevision()))
			}
		}
		for step := range 400 {
			switch random.IntN(8) {
			case 0, 1, 2:
				h.change(random)
			case 3, 4:
				h.read(copies[random.IntN(2)])
			case 5:
				if step%3 == 0 {
					saved = h.clone()
				}
			case 6:
				exchange(copies[random.IntN(len(copies))], copies[random.IntN(len(copies))])
			case 7:
				if random.IntN(10) == 0 && saved.entries != nil {
					era := h.era
					h = saved.clone()
					h.era = era + 1
				}
			}
		}
		h.read(copies[0])
		for range 2 * len(copies) {
			for _, a := range copies {
				for _, b := range copies {
					exchange(a, b)
				}
			}
		}
		for i, c := range copies {
			got := make(map[string]string)
			for key, e := range c.entries {
				got[key] = string(e.Value)
			}
			want := make(map[string]string)
			for key, e := range h.entries {
				want[key] = string(e.Value)
			}
			if !maps.Equal(got, want) {
				t.Fatalf("seed %d: copy %d at %s has %v, want %v", seed, i, c.Revision(), got, want)
			}
		}
	}
}

func TestPositionOrder(t *testing.T) {
	ordered := []Position{0, NewPosition(0, 7), NewPosition(0, 9), NewPosition(1, 1), NewPosition(1, 1<<43), NewPosition(2, 1)}
	if !slices.IsSorted(ordered) {
		t.Errorf("got %v in another order", ordered)
	}
	if got := NewPosition(3, 5); got.Era() != 3 || got.Revision() != 5 || got.String() != "3/5" {
		t.Errorf("got %s, want 3/5", got)
	}
}
