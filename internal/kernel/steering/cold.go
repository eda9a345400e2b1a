package steering

import (
	"slices"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
)

const (
	// startupGrace is how long a proxy that has started sends nothing to cold
	// servers. If all lost power for longer than their leases, each that comes
	// back is alone on the list at first and would take all that a server bears
	// for its part; the news of the others take up to a second or two.
	startupGrace = 2 * time.Second
)

const (
	// The farness of a proxy: in a server's failure domain, in its region, or in another.
	proximityDomain = iota
	proximityRegion
	proximityRemote
)

// coldRoom reports whether this proxy may send a cold server one more request
// in this second.
func (k *Kernel) coldRoom(now time.Time, svc *service, s *server) bool {
	if now.Sub(k.config.Joined) < startupGrace {
		return false
	}
	return s.coldRate.Room(now, k.coldShare(svc, s))
}

// coldShare is this proxy's part of what a cold server bears. The nearest
// proxies have the first ranks: their requests are the likeliest to go there.
func (k *Kernel) coldShare(svc *service, s *server) int {
	c := k.table.Services[svc.name]
	if c == nil {
		return 0
	}
	rate := admission.ColdRate{PerSecond: c.ColdPerSecond, Factor: k.config.ColdFactor, Slack: k.config.ColdSlack}
	return rate.Share(k.rankAt(s).Place, len(k.limitSharers))
}

// rankAt is this proxy's place among all proxies at a server. It is kept for each failure
// domain: all its servers are as near, and after a failure domain's return each choice asks
// for hundreds of them.
func (k *Kernel) rankAt(s *server) backpressure.Rank {
	if rank, known := k.ranksByDomain[s.Domain]; known {
		return rank
	}
	ordered := slices.Clone(k.limitSharers)
	slices.SortStableFunc(ordered, func(a, b limitSharer) int { return proximity(a.Proxy, s) - proximity(b.Proxy, s) })
	rank := backpressure.Rank{All: len(ordered), Place: slices.IndexFunc(ordered, func(p limitSharer) bool { return p.Name == k.config.Name })}
	for _, p := range ordered {
		if proximity(p.Proxy, s) < proximityRemote {
			rank.Near++
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
