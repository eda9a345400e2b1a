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
	// candidate is a proxy that lookups may return, with the hash of its name.
	candidate struct {
		peer.Member
		hash uint64
	}

	// LookupResponse lists the proxies that a caller may use, in order of preference. It may be
	// cached for TTL.
	LookupResponse struct {
		Service    string
		HomeRegion string
		Proxies    []peer.Member
		TTL        time.Duration
	}
)

// Lookup ranks proxies for a client: those of its home region first, then those of the other
// regions. Each region's proxies are ordered by rendezvous hash of the client address, so that the
// loss of one proxy moves only its own callers. Proxies that are leaving are not returned.
//
// The response does not depend on the rows that distribute traffic over regions, because each proxy
// applies those itself, immediately and to every request. If lookups applied them too, a shift
// would count twice, the second time delayed by the TTL of cached responses, and a request could
// cross between regions and back.
func (k *Kernel) Lookup(now time.Time, service string, client netip.Addr) (LookupResponse, bool) {
	if k.bundle == nil || k.services[service] == nil {
		return LookupResponse{}, false
	}
	home := k.homeRegion(client)
	response := LookupResponse{
		Service:    service,
		HomeRegion: k.regions[home].Name,
		TTL:        k.bundle.Lookup.TTL.Std(),
	}
	key := xxhash.Sum64(client.AsSlice())
	candidates := k.candidates(now)
	response.Proxies = appendHighestRanked(nil, candidates[response.HomeRegion], key, k.bundle.Lookup.MaxProxies)
	for _, r := range k.regions {
		if r.Name != response.HomeRegion && len(response.Proxies) < k.bundle.Lookup.MaxProxies {
			response.Proxies = appendHighestRanked(response.Proxies, candidates[r.Name], key, k.bundle.Lookup.MaxProxies)
		}
	}
	return response, len(response.Proxies) > 0
}

// candidates returns the proxies that lookups may return, by region. The result is cached and
// rebuilt when the membership view changes and on each tick, since drains start at a set time. A
// lookup then hashes only the proxies of some regions and not the whole fleet.
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

// appendHighestRanked appends the candidates with the highest rendezvous hashes for key until the
// list has maxLen entries.
func appendHighestRanked(list []peer.Member, candidates []candidate, key uint64, maxLen int) []peer.Member {
	const none = -1
	scoreBound := ^uint64(0)
	for len(list) < maxLen {
		best := none
		var bestScore uint64
		for i := range candidates {
			score := mixBits(key ^ candidates[i].hash)
			if score < scoreBound && (best == none || score > bestScore) {
				best = i
				bestScore = score
			}
		}
		if best == none {
			break
		}
		list = append(list, candidates[best].Member)
		scoreBound = bestScore
	}
	return list
}

// mixBits is the finalizer of splitmix64.
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// ExplainRouting describes to an operator which proxies a client's lookups return first and how its
// requests are distributed over regions.
func (k *Kernel) ExplainRouting(client netip.Addr) []string {
	if k.bundle == nil {
		return nil
	}
	home := k.homeRegion(client)
	lines := []string{"home region " + k.regions[home].Name + ": its proxies come first"}
	for i, share := range k.regions[home].shifter.Row() {
		if share == 0 {
			continue
		}
		line := "backend servers in " + k.regions[i].Name + " get " + formatPermille(share) + " of its requests"
		if k.regions[i].lost {
			line += ", lost"
		}
		lines = append(lines, line)
	}
	return lines
}

// isProxyLeaving reports whether callers should no longer be sent to a proxy because it is
// stopping, it is drained by the bundle, or its VM is about to be removed.
func (k *Kernel) isProxyLeaving(now time.Time, name string) bool {
	if name == k.config.Self.Name && k.stopping {
		return true
	}
	state, listed := k.vmList.State(name)
	if listed && state != kv.VMLive {
		return true
	}
	return k.bundle.IsDrained(operator.DrainProxy, name, now)
}
