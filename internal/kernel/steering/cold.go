package steering

import (
	"slices"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
)

const (
	// joinFor is how long a proxy that has started sends nothing to cold
	// servers. If all lost power for longer than their leases, each that comes
	// back is alone on the list at first and would take all that a server bears
	// for its part; the news of the others take up to a second or two.
	joinFor = 2 * time.Second
)

// coldRoom reports whether this proxy may send a cold server one more request
// in this second.
func (k *Kernel) coldRoom(now time.Time, g *service, s *server) bool {
	if now.Sub(k.config.Joined) < joinFor {
		return false
	}
	return s.cold.Room(now, k.coldShare(g, s))
}

// coldShare is this proxy's part of what a cold server bears. The nearest
// proxies have the first ranks: their requests are the likeliest to go there.
func (k *Kernel) coldShare(g *service, s *server) int {
	c := k.table.Services[g.name]
	if c == nil {
		return 0
	}
	rate := admission.ColdRate{PerSecond: c.ColdPerSecond, Factor: k.config.ColdFactor, Slack: k.config.ColdSlack}
	return rate.Share(k.coldRank(s), len(k.sharers))
}

// coldRank is this proxy's place among all proxies, the nearest to the server
// first. It is kept for each failure domain: all its servers are as near, and
// after a failure domain's return each choice asks for hundreds of them.
func (k *Kernel) coldRank(s *server) int {
	if rank, known := k.coldRanks[s.Domain]; known {
		return rank
	}
	ordered := slices.Clone(k.sharers)
	slices.SortStableFunc(ordered, func(a, b sharer) int { return farness(a.Proxy, s) - farness(b.Proxy, s) })
	rank := slices.IndexFunc(ordered, func(p sharer) bool { return p.Name == k.config.Name })
	k.coldRanks[s.Domain] = rank
	return rank
}

func farness(p Proxy, s *server) int {
	switch {
	case p.Domain == s.Domain:
		return 0
	case p.Region == s.region:
		return 1
	}
	return 2
}
