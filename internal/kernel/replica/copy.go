// Package replica keeps a proxy's copy of what the platform's store holds, at
// a revision. Copies are exchanged between proxies, so that few of them ask
// the store and all have its news; a proxy that is cut off from the store
// hears of changes from those that are not.
package replica

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRemovals bounds the removals remembered for peers that lag. A peer
	// that lags further gets everything.
	maxRemovals = 2000
	// maxMismatches is how many peers may tell of changes that do not lead to
	// their keys before the copy asks for everything. One or two may be in the
	// middle of a reading; everything is a thousand times the size of a change.
	maxMismatches = 3
)

type (
	// Entry is a key's state as of the revision of its last change.
	Entry struct {
		Key      string
		Value    []byte
		Revision uint64
		Removed  bool
		// Tentative is set if a removal may be of an entry that ran out while the
		// store was away, and may be back soon. Who reads the store decides it;
		// the others pass it on.
		Tentative bool
	}

	// Delta is a part of a copy: the changes after Base up to Revision, or
	// all entries if Whole.
	Delta struct {
		Base     uint64
		Revision uint64
		Full     bool
		Entries  []Entry
		// MayMissRemovals is set if removals after Base may be missing. The changes are
		// all there are if they lead to Keys, a digest of the keys at Revision.
		MayMissRemovals bool
		KeyDigest       uint64
		// TentativeRemovals is set by who reads the store in an outage: all removals are.
		TentativeRemovals bool
		// Age is how long ago this was known to be the store's state.
		Age time.Duration
	}

	// Copy is a complete copy as of a revision. The zero revision means that
	// nothing was heard yet.
	Copy struct {
		revision    uint64
		confirmedAt time.Time
		entries     map[string]Entry
		removals    map[string]removal
		// removalsSince is the revision after which all removals are remembered.
		removalsSince uint64
		// keyDigest is the digest of the keys held: the hashes of all, XORed.
		keyDigest uint64
		// mismatches counts the deltas since the last advance that did not lead
		// to their keys.
		mismatches int
	}

	// removal is what is remembered of a key that went.
	removal struct {
		revision uint64
		// tentativeUntil is how long it is told to others as doubtful.
		tentativeUntil time.Time
	}
)

// NewCopy makes an empty copy.
func NewCopy() *Copy {
	return &Copy{entries: make(map[string]Entry), removals: make(map[string]removal)}
}

// Revision is the revision up to which the copy is complete.
func (c *Copy) Revision() uint64 { return c.revision }

// Age is how long ago the copy was known to be the store's state.
func (c *Copy) Age(now time.Time) time.Duration {
	if c.revision == 0 {
		return time.Duration(1<<63 - 1)
	}
	return now.Sub(c.confirmedAt)
}

// Apply takes in a delta and returns the entries that changed, removals last.
// A delta that begins after the copy's revision leaves a gap and is refused, and
// so is one of which removals are missing.
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
	c.revision = d.Revision
	if at := now.Add(-d.Age); at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
	return append(changed, removed...), true
}

// lastOfEach finds the place of each key's last entry. A watch tells every step
// of a key that went and came back; told one by one, with removals last, a live
// server would be gone for good.
func lastOfEach(entries []Entry) map[string]int {
	last := make(map[string]int, len(entries))
	for i, e := range entries {
		if before, seen := last[e.Key]; !seen || e.Revision >= entries[before].Revision {
			last[e.Key] = i
		}
	}
	return last
}

// RequestRevision is the revision after which the copy asks peers for changes: its own, or
// zero if it asks for everything.
func (c *Copy) RequestRevision() uint64 {
	if c.mismatches >= maxMismatches {
		return 0
	}
	return c.revision
}

// keyDigestAfter is the digest of the keys that a delta would lead to.
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

// put takes in one entry if it is newer than what is known of its key.
func (c *Copy) put(now time.Time, e Entry) bool {
	if !c.isNewer(e) {
		return c.confirmRemoval(now, e)
	}
	_, known := c.entries[e.Key]
	if known == e.Removed {
		c.keyDigest ^= xxhash.Sum64String(e.Key)
	}
	if !e.Removed {
		delete(c.removals, e.Key)
		c.entries[e.Key] = e
		return true
	}
	delete(c.entries, e.Key)
	c.recordRemoval(now, e)
	return known
}

// prune removes what a whole copy of the store does not hold.
func (c *Copy) prune(now time.Time, d Delta, held map[string]int) []Entry {
	var removed []Entry
	for key, e := range c.entries {
		if _, stays := held[key]; stays || e.Revision > d.Revision {
			continue
		}
		delete(c.entries, key)
		c.keyDigest ^= xxhash.Sum64String(key)
		gone := Entry{Key: key, Revision: d.Revision, Removed: true, Tentative: d.TentativeRemovals}
		c.recordRemoval(now, gone)
		removed = append(removed, gone)
	}
	if c.removalsSince == 0 {
		c.removalsSince = d.Revision
	}
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
}

// confirmRemoval reports whether an entry says for certain that a key went whose removal
// was doubtful so far.
func (c *Copy) confirmRemoval(now time.Time, e Entry) bool {
	r, known := c.removals[e.Key]
	if !known || !e.Removed || e.Tentative || e.Revision < r.revision || !now.Before(r.tentativeUntil) {
		return false
	}
	c.removals[e.Key] = removal{revision: r.revision}
	return true
}

// Since is what a copy at a revision lacks. One that lags by more than the
// removals remembered gets the changes with the digest of the keys: it mostly
// lacks no removal, and everything would be a thousand times as much.
func (c *Copy) Since(now time.Time, revision uint64) Delta {
	d := Delta{
		Base: revision, Revision: c.revision, Age: c.Age(now),
		Full: revision == 0, MayMissRemovals: revision < c.removalsSince, KeyDigest: c.keyDigest,
	}
	for _, e := range c.entries {
		if d.Full || e.Revision > revision {
			d.Entries = append(d.Entries, e)
		}
	}
	if d.Full {
		return d
	}
	for key, r := range c.removals {
		if r.revision > revision {
			d.Entries = append(d.Entries, Entry{Key: key, Revision: r.revision, Removed: true, Tentative: now.Before(r.tentativeUntil)})
		}
	}
	return d
}
