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
	// maxListAge is how old this proxy's list of proxies may be while it uses its share of a cold
	// server's rate.
	maxListAge = 3 * time.Second
	// listingGrace is how much longer than the lists of others may be old a proxy must be listed before
	// it uses its share of a limit. Until then others may have used shares computed without it, and
	// what they sent to a cold server counts for another second.
	listingGrace = 1200 * time.Millisecond
)

type (
	// limitSharer is a proxy among which limits are divided.
	limitSharer struct {
		Proxy
		// expiresAt is when a proxy that is no longer listed stops counting. It is zero while the
		// proxy is listed.
		expiresAt time.Time
	}

	// listing records whether the list of proxies in the store contains this proxy, so that others
	// count it when limits are divided. The zero value is that of a proxy whose kernel is not told.
	listing struct {
		tracked, listed bool
		// listedBefore is set once the list has contained this proxy.
		listedBefore bool
		// registeredAt is when this proxy was first registered after its start, since when it was
		// last added to the list.
		registeredAt, since time.Time
		// confirmedAt is when the list was last known to be current.
		confirmedAt time.Time
		// resumedAt is when this process was last suspended or its clock jumped. The age of a list
		// from before is not known.
		resumedAt time.Time
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

// RecordRegistration records that this proxy was registered anew. Lists from before may contain it
// because of an earlier registration that has ended since.
func (k *Kernel) RecordRegistration(now time.Time) {
	k.record(Call{Method: callRegistered, At: now})
	l := &k.listing
	l.tracked, l.since = true, now
	if l.registeredAt.IsZero() {
		l.registeredAt = now
	}
}

// ConfirmListing records whether the list of proxies contains this one, and when the list was last
// known to be current.
func (k *Kernel) ConfirmListing(now, confirmedAt time.Time, listed bool) {
	k.record(Call{Method: callListing, At: now, RequestedAt: confirmedAt, Flag: listed})
	l := &k.listing
	if listed && !l.listed {
		l.since = now
	}
	l.tracked, l.listed, l.confirmedAt = true, listed, confirmedAt
	if listed && !l.listedBefore {
		l.listedBefore = true
		k.quotas.updateBaseShare()
	}
}

// wasListed reports whether the list has contained this proxy since its start, so that the others count it.
func (l *listing) wasListed() bool { return !l.tracked || l.listedBefore }

// countedByAll reports whether all proxies that use shares of a limit now count this one, if they use
// them only while their lists are no older than maxAge: this one has been listed for longer than
// that, and its own list is current.
func (l *listing) countedByAll(now time.Time, maxAge time.Duration) bool {
	if !l.tracked {
		return true
	}
	current := now.Sub(l.confirmedAt) <= maxAge && !l.confirmedAt.Before(l.resumedAt)
	return l.listed && current && now.Sub(l.since) >= maxAge+listingGrace
}

// wasRegistered reports whether this proxy has been registered for long enough since its start that
// the others have heard of it. They count a proxy for sharerGrace after its registration has ended.
func (l *listing) wasRegistered(now time.Time) bool {
	return !l.tracked || !l.registeredAt.IsZero() && now.Sub(l.registeredAt) >= startupGrace
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
