package replica

import (
	"strconv"
)

const (
	// revisionBits is the number of bits of a position that hold the revision.
	revisionBits = 44
	maxRevision  = 1<<revisionBits - 1
)

type (
	// Position is a place in the store's history. The store may return from an older copy: then a
	// new history begins, in the next era, and the revisions since that copy are given out again. So
	// a revision tells an order only within an era, while a position of a later era is always
	// greater. Zero is the position before all changes.
	Position uint64
)

// NewPosition returns the position of a revision in an era. Revision zero is position zero in every
// era.
func NewPosition(era, revision uint64) Position {
	if revision == 0 {
		return 0
	}
	return Position(era<<revisionBits | min(revision, maxRevision))
}

// Era returns the era.
func (p Position) Era() uint64 { return uint64(p) >> revisionBits }

// Revision returns the revision within the era.
func (p Position) Revision() uint64 { return uint64(p) & maxRevision }

// InEra returns the position of the same revision in another era.
func (p Position) InEra(era uint64) Position { return NewPosition(era, p.Revision()) }

// SameEra reports whether two positions can be compared by revision. Position zero is in every era.
func (p Position) SameEra(other Position) bool {
	return p == 0 || other == 0 || p.Era() == other.Era()
}

// String returns the position for logs.
func (p Position) String() string {
	return strconv.FormatUint(p.Era(), 10) + "/" + strconv.FormatUint(p.Revision(), 10)
}
