package steering

import (
	"slices"
	"strings"
	"time"
)

const (
	// sharerGrace is how long a proxy that is no longer listed still counts when limits are
	// divided. A proxy that is partitioned from the store loses its entry when its lease of 5 s
	// expires and continues to serve. Such partitions heal within about ten seconds; a proxy that
	// stays away longer is gone for good. Until then its share is unavailable to the others, which
	// slows down the warm-up of servers.
	sharerGrace = 30 * time.Second
)

type (
	// limitSharer is a proxy among which limits are divided.
	limitSharer struct {
		Proxy
		// expiresAt is when a proxy that is no longer listed stops counting. It is zero while the
		// proxy is listed.
		expiresAt time.Time
	}
)

// updateSharers updates the limit sharers from the listed proxies. Proxies that are no longer
// listed are kept for a while: the store may lose all entries while the proxies continue to serve,
// and if each of them then considered itself the only one, a cold server would get its full rate
// from every proxy.
func (k *Kernel) updateSharers(now time.Time, listed []Proxy) {
	sharers := make([]limitSharer, 0, len(listed))
	isListed := make(map[string]bool, len(listed))
	for _, p := range listed {
		sharers = append(sharers, limitSharer{Proxy: p})
		isListed[p.Name] = true
	}
	for _, old := range k.limitSharers {
		if isListed[old.Name] {
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

// expireSharers removes sharers whose grace period has passed.
func (k *Kernel) expireSharers(now time.Time) {
	count := len(k.limitSharers)
	k.limitSharers = slices.DeleteFunc(k.limitSharers, func(s limitSharer) bool { return !s.expiresAt.IsZero() && now.After(s.expiresAt) })
	if len(k.limitSharers) != count {
		k.applySharers()
	}
}

// applySharers updates the state derived from the list of sharers.
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
