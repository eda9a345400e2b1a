// Package replica maintains a proxy's copy of the platform's store at a revision. Proxies
// exchange their copies, so that only a few of them query the store and all get its changes. A
// proxy that is disconnected from the store gets the changes from those that aren't.
package replica

import (
	"bytes"
	"maps"
	"slices"
	"strings"
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
	// Entry is the state of a key as of its last change.
	Entry struct {
		Key      string
		Value    []byte
		Revision Position
		Removed  bool
		// Tentative is set if a removal may be of an entry that expired during a store outage and
		// may be back soon. It is set by the proxy that reads the store, and cleared by any that knows
		// that there was no outage.
		Tentative bool
		// KeepUntil is until when what a tentatively removed entry names is kept. It is not sent.
		KeepUntil time.Time
		// Confirms is set if a removal was tentative before. It is not sent.
		Confirms bool
	}

	// Delta is a set of changes after Base up to Revision, or all entries if Full.
	Delta struct {
		Base     Position
		Revision Position
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
		// Available is when the store was available to any proxy, as far as the sender knows.
		Available Span
	}

	// Copy is a complete copy of the store as of a position. Position zero means that it hasn't
	// received anything yet.
	Copy struct {
		revision    Position
		confirmedAt time.Time
		entries     map[string]Entry
		removals    map[string]removal
		// removalsSince is the revision after which all removals are kept.
		removalsSince Position
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
		// Availability is when the store was available.
		Availability Availability
		// tentativeUntil is until when any removal is tentative.
		tentativeUntil time.Time
		// eraBeganAt is when the copy last went to a later era.
		eraBeganAt time.Time
	}

	// removal is the record of a removed key.
	removal struct {
		revision Position
		// entry is the position of the removed entry, zero if there was none.
		entry Position
		// foundAt is when a tentative removal became known, and tentativeUntil until when it is passed
		// on as tentative.
		foundAt, tentativeUntil time.Time
	}
)

// NewCopy returns an empty copy.
func NewCopy() *Copy {
	return &Copy{entries: make(map[string]Entry), removals: make(map[string]removal)}
}

// Revision returns the position up to which the copy is complete.
func (c *Copy) Revision() Position { return c.revision }

// Get returns the entry of a key.
func (c *Copy) Get(key string) (Entry, bool) {
	e, present := c.entries[key]
	return e, present
}

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
// that begins after the copy's position, because that leaves a gap, one with missing removals, and
// changes in a later era: they do not tell which entries of the era before are gone. It ignores what
// is older than the copy.
func (c *Copy) Apply(now time.Time, d Delta) ([]Entry, bool) {
	if !d.Full && (c.revision == 0 || d.Base > c.revision || d.Revision.Era() > c.revision.Era()) {
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
	refuted := c.refutes(now, now)
	d.TentativeRemovals = d.TentativeRemovals && !refuted
	for i, e := range d.Entries {
		e.Tentative = e.Removed && (e.Tentative && !refuted || d.TentativeRemovals)
		if e.Tentative {
			e.KeepUntil = c.keepUntil(now)
		}
		_, wasRemoved := c.removals[e.Key]
		e.Confirms = wasRemoved && e.Removed && !e.Tentative
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
		if c.beginsEra(d) {
			d.TentativeRemovals, c.eraBeganAt = true, now
		}
		removed = append(removed, c.prune(now, d, last)...)
	}
	c.changes.sort(c.isCurrent)
	c.revision = d.Revision
	if at := now.Add(-d.Age); at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
	return append(changed, removed...), true
}

// beginsEra reports whether a delta leads to a later era than that of the copy. An entry that is
// missing then may have been lost with the store's latest changes and be written again.
func (c *Copy) beginsEra(d Delta) bool {
	return c.revision != 0 && d.Revision.Era() > c.revision.Era()
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
func (c *Copy) RequestRevision() Position {
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
		isNews := c.isNews(e)
		delete(c.removals, e.Key)
		c.entries[e.Key] = e
		c.size += e.size()
		c.changes.add(e.Key, e.Revision)
		return isNews
	}
	c.recordRemoval(now, e)
	delete(c.entries, e.Key)
	return known
}

// isNews reports whether an entry changes the state of its key. In a later era than before it does
// not if it has the same value, or if it is an entry that was removed and is back only because the
// store lost the removal.
func (c *Copy) isNews(e Entry) bool {
	if old, known := c.entries[e.Key]; known {
		return old.Revision.SameEra(e.Revision) || !bytes.Equal(old.Value, e.Value)
	}
	r, wasRemoved := c.removals[e.Key]
	return !wasRemoved || r.revision.SameEra(e.Revision) || r.entry.Revision() != e.Revision.Revision()
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
		c.size -= e.size()
		c.keyDigest ^= xxhash.Sum64String(key)
		gone := Entry{Key: key, Revision: d.Revision, Removed: true, Tentative: d.TentativeRemovals}
		if gone.Tentative {
			gone.KeepUntil = c.keepUntil(now)
		}
		c.recordRemoval(now, gone)
		delete(c.entries, key)
		removed = append(removed, gone)
	}
	// Keys that were added and removed since the copy's last change are missing in both.
	c.removalsSince = d.Revision
	return removed
}

// recordRemoval records the removal of a key whose entry is still known.
func (c *Copy) recordRemoval(now time.Time, e Entry) {
	if len(c.removals) >= maxRemovals {
		clear(c.removals)
		c.removalsSince = e.Revision
	}
	r := removal{revision: e.Revision, entry: c.entries[e.Key].Revision}
	if e.Tentative {
		r.foundAt, r.tentativeUntil = now, now.Add(tentativeFor)
		c.tentativeUntil = r.tentativeUntil
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
	c.removals[e.Key] = removal{revision: r.revision, entry: r.entry}
	return true
}

// ConfirmRemovals makes the tentative removals definite that were not of expired entries, because the
// store was available to other proxies, and returns them.
func (c *Copy) ConfirmRemovals(now time.Time) []Entry {
	if !now.Before(c.tentativeUntil) {
		return nil
	}
	var confirmed []Entry
	for key, r := range c.removals {
		if now.Before(r.tentativeUntil) && c.refutes(now, r.foundAt) {
			c.removals[key] = removal{revision: r.revision, entry: r.entry}
			confirmed = append(confirmed, Entry{Key: key, Revision: r.revision, Removed: true, Confirms: true})
		}
	}
	slices.SortFunc(confirmed, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	return confirmed
}

// refutes reports whether an entry that was found missing at a time cannot be back soon. After the
// store's return from an older copy, it may whenever the store was available.
func (c *Copy) refutes(now, foundAt time.Time) bool {
	return !c.eraIsNew(now) && c.Availability.Refutes(now, foundAt)
}

func (c *Copy) eraIsNew(now time.Time) bool {
	return !c.eraBeganAt.IsZero() && now.Before(c.eraBeganAt.Add(tentativeFor))
}

// keepUntil returns until when a server is kept whose entry is found missing now.
func (c *Copy) keepUntil(now time.Time) time.Time {
	if c.eraIsNew(now) {
		return now.Add(absenceGracePeriod)
	}
	return c.Availability.keepUntil(now)
}

// NeedsFullCopy reports whether a copy at the given position needs all entries: it is empty, or of an
// era before this one.
func (c *Copy) NeedsFullCopy(revision Position) bool {
	return revision == 0 || revision.Era() < c.revision.Era()
}

// Since returns the changes that a copy at the given revision lacks. One that lags beyond the
// removals kept gets the changes with the key digest: usually it lacks no removal, and a full
// copy would be a thousand times the size.
func (c *Copy) Since(now time.Time, revision Position) Delta {
	d := Delta{
		Base: revision, Revision: c.revision, Age: c.Age(now),
		Full: c.NeedsFullCopy(revision), MayMissRemovals: revision < c.removalsSince, KeyDigest: c.keyDigest,
		Available: c.Availability.Span(now),
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
