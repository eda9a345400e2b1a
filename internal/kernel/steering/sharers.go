package steering

import (
	"slices"
	"strings"
	"time"
)

const (
	// sharerGrace is how long a proxy that is no longer listed still counts where
	// limits are divided. One that is cut off from the store loses its entry
	// after its lease of 5 s and goes on serving; platforms heal such cuts
	// within some ten seconds, and one that stays away is gone for good. Until
	// then its part is lost to the others, which slows the warming of servers.
	sharerGrace = 30 * time.Second
)

type (
	// limitSharer is a proxy among which limits are divided.
	limitSharer struct {
		Proxy
		// expiresAt is when one that is no longer listed stops to count; zero for
		// one that is listed.
		expiresAt time.Time
	}
)

// updateSharers notes the proxies listed. Those that are no longer listed linger: the
// platform may take all entries away while their proxies serve on, and if each
// then took itself for the only one, a cold server would get the whole of what
// it bears from every one of them.
func (k *Kernel) updateSharers(now time.Time, listed []Proxy) {
	sharers := make([]limitSharer, 0, len(listed))
	alive := make(map[string]bool, len(listed))
	for _, p := range listed {
		sharers = append(sharers, limitSharer{Proxy: p})
		alive[p.Name] = true
	}
	for _, old := range k.limitSharers {
		if alive[old.Name] {
			continue
		}
		if old.expiresAt.IsZero() {
			old.expiresAt = now.Add(sharerGrace)
		}
		sharers = append(sharers, old)
	}
	slices.SortFunc(sharers, func(a, b limitSharer) int { return strings.Compare(a.Name, b.Name) })
	k.limitSharers = sharers
	k.applySharers()
}

// expireSharers drops sharers that have lingered long enough.
func (k *Kernel) expireSharers(now time.Time) {
	count := len(k.limitSharers)
	k.limitSharers = slices.DeleteFunc(k.limitSharers, func(s limitSharer) bool { return !s.expiresAt.IsZero() && now.After(s.expiresAt) })
	if len(k.limitSharers) != count {
		k.applySharers()
	}
}

// applySharers renews what follows from the list of sharers.
func (k *Kernel) applySharers() {
	clear(k.ranksByDomain)
	k.quotas.setKnownProxies(len(k.limitSharers))
	k.sharersInRegion = 0
	for i, s := range k.limitSharers {
		if s.Name == k.config.Name {
			k.ownIndex = i
		}
		if s.Region == k.config.Region {
			k.sharersInRegion++
		}
	}
}
