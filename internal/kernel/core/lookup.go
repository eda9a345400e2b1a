package core

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumquay/gypsumquay/internal/kernel/kv"
	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
)

type (
	candidate struct {
		peer.Member
		hash uint64
	}

	// LookupAnswer ranks the proxies that a caller may use. It may be cached
	// for Lifetime.
	LookupAnswer struct {
		Service    string
		HomeRegion string
		Proxies    []peer.Member
		TTL        time.Duration
	}
)

// Lookup ranks proxies for a client: those of its home region first, then the
// rest, each group by rendezvous hash of the client, so that the loss of one
// proxy moves only its own callers. Proxies that leave are not named.
//
// The answer does not follow the rows that spread traffic over regions: each
// proxy applies those itself, at once and for every request. Were callers
// sent by them too, a shift would be counted twice, once late by the lifetime
// of cached answers, and a request could cross between regions and back.
func (k *Kernel) Lookup(now time.Time, service string, client netip.Addr) (LookupAnswer, bool) {
	if k.bundle == nil || k.services[service] == nil {
		return LookupAnswer{}, false
	}
	home := k.homeRegion(client)
	answer := LookupAnswer{
		Service:    service,
		HomeRegion: k.regions[home].Name,
		TTL:        k.bundle.Lookup.Lifetime.Std(),
	}
	key := xxhash.Sum64(client.AsSlice())
	candidates := k.candidates(now)
	answer.Proxies = appendHighestRanked(nil, candidates[answer.HomeRegion], key, k.bundle.Lookup.Answers)
	for _, r := range k.regions {
		if r.Name != answer.HomeRegion && len(answer.Proxies) < k.bundle.Lookup.Answers {
			answer.Proxies = appendHighestRanked(answer.Proxies, candidates[r.Name], key, k.bundle.Lookup.Answers)
		}
	}
	return answer, len(answer.Proxies) > 0
}

// candidates lists the proxies that look-ups may name, by region. It is made
// anew when the view of members changes, and each tick, for drains begin by
// the clock; a look-up then hashes the few of one region and not the fleet.
func (k *Kernel) candidates(now time.Time) map[string][]candidate {
	if k.candidateCache != nil && k.candidatesBuiltAt.Equal(k.lastTick) && k.candidatesDigest == k.members.Digest() {
		return k.candidateCache
	}
	k.candidateCache = make(map[string][]candidate)
	k.candidatesBuiltAt = k.lastTick
	k.candidatesDigest = k.members.Digest()
	for _, m := range k.members.Serving() {
		if !k.isProxyLeaving(now, m.Name) {
			k.candidateCache[m.Region] = append(k.candidateCache[m.Region], candidate{Member: m, hash: xxhash.Sum64String(m.Name)})
		}
	}
	return k.candidateCache
}

// appendHighestRanked appends the candidates with the highest rendezvous hashes, up to
// most in all.
func appendHighestRanked(list []peer.Member, candidates []candidate, key uint64, most int) []peer.Member {
	const none = -1
	below := ^uint64(0)
	for len(list) < most {
		best := none
		var highest uint64
		for i := range candidates {
			score := mixBits(key ^ candidates[i].hash)
			if score < below && (best == none || score > highest) {
				best = i
				highest = score
			}
		}
		if best == none {
			break
		}
		list = append(list, candidates[best].Member)
		below = highest
	}
	return list
}

// mixBits spreads the bits of a hash; the constants are those of splitmix64.
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// ExplainRouting tells an operator what a client's answers and dispatches go by.
func (k *Kernel) ExplainRouting(client netip.Addr) []string {
	if k.bundle == nil {
		return nil
	}
	home := k.homeRegion(client)
	why := []string{"home region " + k.regions[home].Name + ": its proxies come first"}
	for i, share := range k.regions[home].mover.Row() {
		if share == 0 {
			continue
		}
		line := "backend servers in " + k.regions[i].Name + " get " + formatPermille(share) + " of its requests"
		if k.regions[i].lost {
			line += ", lost"
		}
		why = append(why, line)
	}
	return why
}

// isProxyLeaving reports whether callers should no longer be sent to a proxy: it
// stops, a drain planned for it holds, or its VM is about to go.
func (k *Kernel) isProxyLeaving(now time.Time, name string) bool {
	if name == k.config.Self.Name && k.stopping {
		return true
	}
	state, listed := k.machines.State(name)
	if listed && state != kv.MachineLive {
		return true
	}
	return k.bundle.Drained(operator.DrainProxy, name, now)
}
