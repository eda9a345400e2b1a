package steering

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxLookupProxies is how many proxies one answer names at most.
	maxLookupProxies = 64
	// minLookupProxies is how many proxies an answer names if there are so many:
	// a caller that finds the only one dead has nowhere to go.
	minLookupProxies = 2
)

// Lookup names the proxies that a caller should use: those of its failure
// domain, and if they are few, those of its region. If its region has hardly any,
// just enough of others come with them: a caller takes any of those named, and
// its own is near. If it has none, all are named. Proxies outside the regions in
// which the host may be served are left out, for they would take in requests that
// they may not pass on; a caller's own region always may.
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

// acceptingProxies lists the proxies that take callers and match, in order.
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

// sortByHash puts proxies in the order of a hash of their names and a failure domain,
// so that the callers of each are sent to others and all look-ups agree.
func sortByHash(list []Proxy, domain string) {
	rank := func(p Proxy) uint64 { return xxhash.Sum64String(p.Name + " " + domain) }
	slices.SortFunc(list, func(a, b Proxy) int { return cmp.Compare(rank(a), rank(b)) })
}

// addresses are where callers reach proxies, as many as one answer names.
func addresses(list []Proxy) []netip.AddrPort {
	var out []netip.AddrPort
	for _, p := range list[:min(len(list), maxLookupProxies)] {
		out = append(out, p.Address)
	}
	return out
}
