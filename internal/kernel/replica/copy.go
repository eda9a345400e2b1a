// Package replica maintains a proxy's copy of the platform's store at a revision. Proxies
// exchange their copies, so that only a few of them query the store and all get its changes. A
// proxy that is disconnected from the store gets the changes from those that aren't.
package replica

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRemovals bounds the removals kept for lagging peers. A peer that lags further gets a
	// full copy.
	maxRemovals = 2000
	// maxMismatches is how many deltas may lead to a wrong key digest before the copy requests a
	// full one. One or two peers may be in the middle of a full read; a full copy is a thousand
	// times the size of a change.
	maxMismatches = 3
)

type (
	// Entry is the state of a key as of the revision of its last change.
	Entry struct {
		Key      string
		Value    []byte
		Revision uint64
		Removed  bool
		// Tentative is set if a removal may be of an entry that expired during a store outage and
		// may be back soon. It is decided by the proxy that reads the store; the others pass it
		// on.
		Tentative bool
	}

	// Delta is a set of changes after Base up to Revision, or all entries if Full.
	Delta struct {
		Base     uint64
		Revision uint64
		Full     bool
		Entries  []Entry
		// MayMissRemovals is set if removals after Base may be missing. The changes are complete
		// if they lead to KeyDigest, the digest of the keys at Revision.
		MayMissRemovals bool
		KeyDigest       uint64
		// TentativeRemovals marks all removals as tentative. It is set by a proxy that reads the
		// store during or shortly after an outage.
		TentativeRemovals bool
		// Age is the time since this was known to be the store's state.
		Age time.Duration
	}

	// Copy is a complete copy of the store as of a revision. The zero revision means that it
	// hasn't received anything yet.
	Copy struct {
		revision    uint64
		confirmedAt time.Time
		entries     map[string]Entry
		removals    map[string]removal
		// removalsSince is the revision after which all removals are kept.
		removalsSince uint64
		// changes lists the changes of entries and removals, so that those after a revision are
		// found without a search through all keys.
		changes changeLog
		// size is the approximate size in bytes of a full copy.
		size int
		// keyDigest is the digest of the keys in entries: the XOR of their hashes.
		keyDigest uint64
		// mismatches counts the deltas rejected for a wrong key digest since the last one that
		// was applied.
		mismatches int
	}

	// removal is the record of a removed key.
	removal struct {
		revision uint64
		// tentativeUntil is until when the removal is passed on as tentative.
		tentativeUntil time.Time
	}
)

// NewCopy returns an empty copy.
func NewCopy() *Copy {
	return &Copy{entries: make(map[string]Entry), removals: make(map[string]removal)}
}

// Revision returns the revision up to which the copy is complete.
func (c *Copy) Revision() uint64 { return c.revision }

// Age returns the time since the copy was known to be the store's state.
func (c *Copy) Age(now time.Time) time.Duration {
	if c.revision == 0 {
		return time.Duration(1<<63 - 1)
	}
	return now.Sub(c.confirmedAt)
}

// ConfirmedAt returns when the copy was last known to be the store's state.
func (c *Copy) ConfirmedAt() time.Time { return c.confirmedAt }

// Apply applies a delta and returns the entries that changed, removals last. It rejects a delta
// that begins after the copy's revision, because that leaves a gap, and one with missing
// removals.
func (c *Copy) Apply(now time.Time, d Delta) ([]Entry, bool) {
	if !d.Full && (c.revision == 0 || d.Base > c.revision) {
		return nil, false
	}
	if d.Revision < c.revision {
		return nil, true
	}
	if d.MayMissRemovals && !d.Full && c.keyDigestAfter(d) != d.KeyDigest {
		c.mismatches++
		return nil, false
	}
	c.mismatches = 0
	var changed, removed []Entry
	last := lastOfEach(d.Entries)
	for i, e := range d.Entries {
		e.Tentative = e.Removed && (e.Tentative || d.TentativeRemovals)
		if last[e.Key] != i || !c.put(now, e) {
			continue
		}
		if e.Removed {
			removed = append(removed, e)
		} else {
			changed = append(changed, e)
		}
	}
	if d.Full {
		removed = append(removed, c.prune(now, d, last)...)
	}
	c.changes.sort(c.isCurrent)
	c.revision = d.Revision
	if at := now.Add(-d.Age); at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
	return append(changed, removed...), true
}

// lastOfEach returns the index of each key's last entry. A watch reports every step of a key that
// was removed and created again. If all steps were applied, with removals last, a live server
// would stay removed.
func lastOfEach(entries []Entry) map[string]int {
	last := make(map[string]int, len(entries))
	for i, e := range entries {
		if before, seen := last[e.Key]; !seen || e.Revision >= entries[before].Revision {
			last[e.Key] = i
		}
	}
	return last
}

// RequestRevision returns the revision after which the copy requests changes from peers: its own
// revision, or zero to request a full copy.
func (c *Copy) RequestRevision() uint64 {
	if c.mismatches >= maxMismatches {
		return 0
	}
	return c.revision
}

// keyDigestAfter returns the key digest that applying a delta would lead to.
func (c *Copy) keyDigestAfter(d Delta) uint64 {
	digest := c.keyDigest
	for _, e := range d.Entries {
		if _, known := c.entries[e.Key]; c.isNewer(e) && known == e.Removed {
			digest ^= xxhash.Sum64String(e.Key)
		}
	}
	return digest
}

// isNewer reports whether an entry is newer than what is known of its key.
func (c *Copy) isNewer(e Entry) bool {
	return e.Revision > c.entries[e.Key].Revision && e.Revision > c.removals[e.Key].revision
}

// put applies one entry if it is newer than what is known of its key, and reports whether
// this changed the state of the key.
func (c *Copy) put(now time.Time, e Entry) bool {
	if !c.isNewer(e) {
		return c.confirmRemoval(now, e)
	}
	_, known := c.entries[e.Key]
	if known == e.Removed {
		c.keyDigest ^= xxhash.Sum64String(e.Key)
	}
	c.size -= c.entries[e.Key].size()
	if !e.Removed {
		delete(c.removals, e.Key)
		c.entries[e.Key] = e
		c.size += e.size()
		c.changes.add(e.Key, e.Revision)
		return true
	}
	delete(c.entries, e.Key)
	c.recordRemoval(now, e)
	return known
}

// isCurrent reports whether a change is the last one of its key.
func (c *Copy) isCurrent(l keyChange) bool {
	if e, present := c.entries[l.key]; present {
		return e.Revision == l.revision
	}
	r, present := c.removals[l.key]
	return present && r.revision == l.revision
}

// prune removes the entries that a full copy doesn't hold.
func (c *Copy) prune(now time.Time, d Delta, held map[string]int) []Entry {
	var removed []Entry
	for key, e := range c.entries {
		if _, stays := held[key]; stays || e.Revision > d.Revision {
			continue
		}
		delete(c.entries, key)
		c.size -= e.size()
		c.keyDigest ^= xxhash.Sum64String(key)
		gone := Entry{Key: key, Revision: d.Revision, Removed: true, Tentative: d.TentativeRemovals}
		c.recordRemoval(now, gone)
		removed = append(removed, gone)
	}
	// Keys that were added and removed since the copy's last change are missing in both.
	c.removalsSince = d.Revision
	return removed
}

func (c *Copy) recordRemoval(now time.Time, e Entry) {
	if len(c.removals) >= maxRemovals {
		clear(c.removals)
		c.removalsSince = e.Revision
	}
	r := removal{revision: e.Revision}
	if e.Tentative {
		r.tentativeUntil = now.Add(tentativeFor)
	}
	c.removals[e.Key] = r
	c.changes.add(e.Key, e.Revision)
}

// confirmRemoval makes a tentative removal definite if e says so, and reports whether it did.
func (c *Copy) confirmRemoval(now time.Time, e Entry) bool {
	r, known := c.removals[e.Key]
	if !known || !e.Removed || e.Tentative || e.Revision < r.revision || !now.Before(r.tentativeUntil) {
		return false
	}
	c.removals[e.Key] = removal{revision: r.revision}
	return true
}

// Since returns the changes that a copy at the given revision lacks. One that lags beyond the
// removals kept gets the changes with the key digest: usually it lacks no removal, and a full
// copy would be a thousand times the size.
func (c *Copy) Since(now time.Time, revision uint64) Delta {
	d := Delta{
		Base: revision, Revision: c.revision, Age: c.Age(now),
		Full: revision == 0, MayMissRemovals: revision < c.removalsSince, KeyDigest: c.keyDigest,
	}
	if d.Full {
		d.Entries = slices.AppendSeq(make([]Entry, 0, len(c.entries)), maps.Values(c.entries))
		return d
	}
	for _, l := range c.changes.after(revision) {
		if !c.isCurrent(l) {
			continue
		}
		e, present := c.entries[l.key]
		if !present {
			e = Entry{Key: l.key, Revision: l.revision, Removed: true, Tentative: now.Before(c.removals[l.key].tentativeUntil)}
		}
		d.Entries = append(d.Entries, e)
	}
	return d
}
