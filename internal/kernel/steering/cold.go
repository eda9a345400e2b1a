package steering

import (
	"slices"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
)

// coldRoom reports whether this proxy may send a cold server one more request
// in this second.
func (k *Kernel) coldRoom(now time.Time, g *service, s *server) bool {
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
	return rate.Share(k.coldRank(s), len(k.proxies))
}

// coldRank is this proxy's place among all proxies, the nearest to the server
// first. It is kept for each failure domain: all its servers are as near, and
// after a failure domain's return each choice asks for hundreds of them.
func (k *Kernel) coldRank(s *server) int {
	if rank, known := k.coldRanks[s.Domain]; known {
		return rank
	}
	ordered := slices.Clone(k.proxies)
	slices.SortStableFunc(ordered, func(a, b Proxy) int { return farness(a, s) - farness(b, s) })
	rank := slices.IndexFunc(ordered, func(p Proxy) bool { return p.Name == k.config.Name })
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
