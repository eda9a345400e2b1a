package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Relays is how many proxies of a region follow the store themselves. With
	// one, a relay whose watch fails just before a change leaves its region
	// without the news for longer than a drained server may get requests; a
	// second costs a call every one and a half seconds a region.
	Relays = 2
	// takeOver is the age at which a proxy that is no relay asks the store
	// itself: its relays are cut off or gone. Two rounds of a relay's watch
	// fit in, and a change is still in force in time.
	takeOver = 1700 * time.Millisecond
	// takeOverStep is added for each rank, so that not all ask at once.
	takeOverStep = 100 * time.Millisecond
	takeOverMost = 10
)

// Rank is a proxy's place among the names of its region, in an order that
// spreads the relays over the names. A name that is not listed comes last.
func Rank(name string, names []string) int {
	ordered := slices.Clone(names)
	slices.SortFunc(ordered, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	if i := slices.Index(ordered, name); i >= 0 {
		return i
	}
	return len(ordered)
}

// Follows reports whether a proxy of a rank should ask the store itself.
func Follows(rank int, age time.Duration) bool {
	if rank < Relays {
		return true
	}
	return age > takeOver+time.Duration(min(rank, takeOverMost))*takeOverStep
}
