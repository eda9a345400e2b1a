package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// RelaysPerRegion is how many proxies of a region watch the store themselves. With only one,
	// a relay whose watch fails just before a change leaves its region without the change for
	// longer than a drained server may get requests. A second one costs each region one call
	// every 1.5 seconds.
	RelaysPerRegion = 2
	// takeoverAge is the age of a copy at which a proxy that isn't a relay queries the store
	// itself, because its relays are disconnected or gone. It allows for two rounds of a relay's
	// watch, and a change still takes effect in time.
	takeoverAge = 1700 * time.Millisecond
	// takeoverAgePerRank is added for each rank, so that the proxies don't all query the store at
	// once.
	takeoverAgePerRank = 100 * time.Millisecond
	maxTakeoverRank    = 10
)

type (
	// Candidate is a proxy that may be a relay of its region.
	Candidate struct {
		Name string
		// LinkMbps is the bandwidth of its link in Mbit/s; zero if unknown.
		LinkMbps int
	}
)

// Rank returns a proxy's rank among those of its region, from zero. A name that isn't listed
// ranks last.
func Rank(name string, region []Candidate) int {
	ordered := SortCandidates(region)
	if i := slices.IndexFunc(ordered, func(c Candidate) bool { return c.Name == name }); i >= 0 {
		return i
	}
	return len(ordered)
}

// SortCandidates returns the proxies of a region in order of preference. Those with the highest
// bandwidth come first, because a relay sends each change to dozens of peers. Ties are ordered by
// a hash of the name, which spreads the relays over the names.
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

// Fresh reports whether a copy of the given age comes from a proxy that watches the store, or
// from one close to it.
func Fresh(age time.Duration) bool { return age < takeoverAge }

// ShouldFollowStore reports whether a proxy of the given rank, whose copy has the given age,
// should query the store itself.
func ShouldFollowStore(rank int, age time.Duration) bool {
	if rank < RelaysPerRegion {
		return true
	}
	return age > takeoverAge+time.Duration(min(rank, maxTakeoverRank))*takeoverAgePerRank
}
