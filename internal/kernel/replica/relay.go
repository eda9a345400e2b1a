package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// RelaysPerRegion is how many proxies of a region follow the store themselves. With
	// one, a relay whose watch fails just before a change leaves its region
	// without the news for longer than a drained server may get requests; a
	// second costs a call every one and a half seconds a region.
	RelaysPerRegion = 2
	// takeoverAge is the age at which a proxy that is no relay asks the store
	// itself: its relays are cut off or gone. Two rounds of a relay's watch
	// fit in, and a change is still in force in time.
	takeoverAge = 1700 * time.Millisecond
	// takeoverAgePerRank is added for each rank, so that not all ask at once.
	takeoverAgePerRank = 100 * time.Millisecond
	maxTakeoverRank    = 10
)

type (
	// Candidate is a proxy that may be its region's relay.
	Candidate struct {
		Name string
		// LinkMbps is how wide its link is, in Mbit/s; zero if not known.
		LinkMbps int
	}
)

// Rank is a proxy's place among those of its region. A name that is not listed comes
// last.
func Rank(name string, region []Candidate) int {
	ordered := SortCandidates(region)
	if i := slices.IndexFunc(ordered, func(c Candidate) bool { return c.Name == name }); i >= 0 {
		return i
	}
	return len(ordered)
}

// SortCandidates lists the proxies of a region by what they do for the others: the widest links
// first, for a relay sends each change to dozens, and among equal ones in an order that
// spreads the relays over the names.
func SortCandidates(region []Candidate) []Candidate {
	ordered := slices.Clone(region)
	slices.SortFunc(ordered, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(b.LinkMbps, a.LinkMbps),
			cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return ordered
}

// Fresh reports whether a copy of an age is one that follows the store, or close
// to one.
func Fresh(age time.Duration) bool { return age < takeoverAge }

// ShouldFollowStore reports whether a proxy of a rank should ask the store itself.
func ShouldFollowStore(rank int, age time.Duration) bool {
	if rank < RelaysPerRegion {
		return true
	}
	return age > takeoverAge+time.Duration(min(rank, maxTakeoverRank))*takeoverAgePerRank
}
