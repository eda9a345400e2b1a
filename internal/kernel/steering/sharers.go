package steering

import (
	"slices"
	"strings"
	"time"
)

const (
	// lingerFor is how long a proxy that is no longer listed still counts where
	// limits are divided. One that is cut off from the store loses its entry
	// after its lease of 5 s and goes on serving; platforms heal such cuts
	// within some ten seconds, and one that stays away is gone for good. Until
	// then its part is lost to the others, which slows the warming of servers.
	lingerFor = 30 * time.Second
)

type (
	// sharer is a proxy among which limits are divided.
	sharer struct {
		Proxy
		// until is when one that is no longer listed stops to count; zero for
		// one that is listed.
		until time.Time
	}
)

// share notes the proxies listed. Those that are no longer listed linger: the
// platform may take all entries away while their proxies serve on, and if each
// then took itself for the only one, a cold server would get the whole of what
// it bears from every one of them.
func (k *Kernel) share(now time.Time, listed []Proxy) {
	sharers := make([]sharer, 0, len(listed))
	alive := make(map[string]bool, len(listed))
	for _, p := range listed {
		sharers = append(sharers, sharer{Proxy: p})
		alive[p.Name] = true
	}
	for _, old := range k.sharers {
		if alive[old.Name] {
			continue
		}
		if old.until.IsZero() {
			old.until = now.Add(lingerFor)
		}
		sharers = append(sharers, old)
	}
	slices.SortFunc(sharers, func(a, b sharer) int { return strings.Compare(a.Name, b.Name) })
	k.sharers = sharers
	k.sharersChanged()
}

// forget drops sharers that have lingered long enough.
func (k *Kernel) forget(now time.Time) {
	count := len(k.sharers)
	k.sharers = slices.DeleteFunc(k.sharers, func(s sharer) bool { return !s.until.IsZero() && now.After(s.until) })
	if len(k.sharers) != count {
		k.sharersChanged()
	}
}

// sharersChanged renews what follows from the list of sharers.
func (k *Kernel) sharersChanged() {
	clear(k.ranks)
	k.limits.setHolders(len(k.sharers))
	k.neighbours = 0
	for i, s := range k.sharers {
		if s.Name == k.config.Name {
			k.ownPlace = i
		}
		if s.Region == k.config.Region {
			k.neighbours++
		}
	}
}
