package steering

import (
	"slices"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
)

const (
	// startupGrace is how long a proxy sends nothing to cold servers after its own start. If all
	// proxies lose power for longer than their leases, each one that returns is alone on the list
	// at first and would claim the whole rate of a cold server. The registrations of the others
	// arrive within a second or two.
	startupGrace = 2 * time.Second
)

const (
	// Proximity of a proxy to a server: in the same failure domain, in the same region, or in
	// another region.
	proximityDomain = iota
	proximityRegion
	proximityRemote
)

// coldRoom reports whether this proxy may send a cold server one more request in this second. The
// shares of all proxies add up to the server's rate only while each proxy that uses its share is
// counted by the others.
func (k *Kernel) coldRoom(now time.Time, svc *service, s *server) bool {
	if now.Sub(k.config.Joined) < startupGrace || !k.listing.countedByAll(now, maxListAge) {
		return false
	}
	return s.coldRate.HasRoom(now, k.coldShare(svc, s))
}

// coldShare returns this proxy's share of the request rate of a cold server. The nearest proxies
// have the first ranks, because their requests are the most likely to go there.
func (k *Kernel) coldShare(svc *service, s *server) int {
	c := k.table.Services[svc.name]
	if c == nil {
		return 0
	}
	rate := admission.ColdStartRate{PerSecond: c.ColdPerSecond, Factor: k.config.ColdFactor, Slack: k.config.ColdSlack}
	return rate.Share(k.rankAt(s).Position, len(k.limitSharers))
}

// rankAt returns the rank of this proxy among all proxies at a server. It is cached by failure
// domain: all servers of a domain are equally near, and after a domain returns, each choice needs
// the rank for hundreds of them.
func (k *Kernel) rankAt(s *server) backpressure.ProxyRank {
	if rank, cached := k.ranksByDomain[s.Domain]; cached {
		return rank
	}
	ordered := slices.Clone(k.limitSharers)
	slices.SortStableFunc(ordered, func(a, b limitSharer) int { return proximity(a.Proxy, s) - proximity(b.Proxy, s) })
	rank := backpressure.ProxyRank{Total: len(ordered), Position: slices.IndexFunc(ordered, func(p limitSharer) bool { return p.Name == k.config.Name })}
	for _, p := range ordered {
		if proximity(p.Proxy, s) < proximityRemote {
			rank.InRegion++
		}
	}
	k.ranksByDomain[s.Domain] = rank
	return rank
}

func proximity(p Proxy, s *server) int {
	switch {
	case p.Domain == s.Domain:
		return proximityDomain
	case p.Region == s.region:
		return proximityRegion
	}
	return proximityRemote
}
