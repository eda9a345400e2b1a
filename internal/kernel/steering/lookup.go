package steering

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxLookupProxies is the largest number of proxies that a lookup returns.
	maxLookupProxies = 64
	// minLookupProxies is the smallest number that a lookup returns if there are that many. A
	// caller that knows only one proxy has no alternative when it fails.
	minLookupProxies = 2
)

// Lookup returns the proxies that a caller should use: those of its failure domain or, if there are
// too few, those of its region. If its region has too few as well, just enough others are added,
// because callers choose any returned proxy and those of their own region are nearer. If its region
// has none, all others are returned. Proxies outside the regions in which the host may be served
// are omitted, because they would accept requests that they may not forward. Proxies in the
// caller's own region are always allowed.
func (k *Kernel) Lookup(host, region, domain string) []netip.AddrPort {
	if list := k.acceptingProxies(func(p Proxy) bool { return p.Domain == domain }); len(list) >= minLookupProxies {
		return addresses(list)
	}
	own := k.acceptingProxies(func(p Proxy) bool { return p.Region == region })
	if len(own) >= minLookupProxies {
		return addresses(own)
	}
	others := k.acceptingProxies(func(p Proxy) bool { return p.Region != region && k.mayServeHost(host, p.Region) })
	if len(others) == 0 && len(own) == 0 {
		others = k.acceptingProxies(func(Proxy) bool { return true })
	}
	if len(own) > 0 {
		sortByHash(others, domain)
		others = others[:min(len(others), minLookupProxies-len(own))]
	}
	return addresses(slices.Concat(own, others))
}

// acceptingProxies lists the matching proxies that accept callers, in order.
func (k *Kernel) acceptingProxies(matches func(Proxy) bool) []Proxy {
	var list []Proxy
	for _, p := range k.proxies {
		if !p.Leaving && matches(p) {
			list = append(list, p)
		}
	}
	return list
}

// mayServeHost reports whether a host may be served in a region.
func (k *Kernel) mayServeHost(host, region string) bool {
	if k.table == nil {
		return true
	}
	allowed := k.table.HostRegions(host)
	return len(allowed) == 0 || slices.Contains(allowed, region)
}

// sortByHash sorts proxies by a hash of their names and a failure domain, so that the callers of
// different domains use different proxies and all lookups agree.
func sortByHash(list []Proxy, domain string) {
	rank := func(p Proxy) uint64 { return xxhash.Sum64String(p.Name + " " + domain) }
	slices.SortFunc(list, func(a, b Proxy) int { return cmp.Compare(rank(a), rank(b)) })
}

// addresses returns the addresses of proxies, up to the maximum of one lookup.
func addresses(list []Proxy) []netip.AddrPort {
	var out []netip.AddrPort
	for _, p := range list[:min(len(list), maxLookupProxies)] {
		out = append(out, p.Address)
	}
	return out
}
