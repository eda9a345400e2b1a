package steering

import (
	"net/netip"
	"slices"

	"github.com/gypsumquay/gypsumquay/internal/kernel/directory"
)

// Lookup returns the proxies that a caller should use for a host.
func (k *Kernel) Lookup(host, region, domain string) []netip.AddrPort {
	var out []netip.AddrPort
	for _, p := range k.directory.Lookup(directory.Caller{Region: region, Domain: domain}, func(r string) bool { return k.mayServeHost(host, r) }) {
		out = append(out, p.Address)
	}
	return out
}

// OverflowGrowth returns by which factor the load of this proxy would grow at the next lower
// overflow level, or zero if its level has no effect.
func (k *Kernel) OverflowGrowth(l directory.Level) float64 {
	return k.directory.Growth(k.config.Name, l)
}

// proxiesOfRegion returns the number of proxies between which the callers of this region are
// divided, including this one. Where lookups return a few proxies with wide links, these get all
// requests: an estimate by all proxies of the region would be several times too high.
func (k *Kernel) proxiesOfRegion() int {
	if k.returnedInRegion < 0 {
		k.returnedInRegion = k.directory.CountReturned(k.config.Region)
	}
	if k.returnedInRegion > 0 {
		return k.returnedInRegion
	}
	return k.sharersInRegion
}

// mayServeHost reports whether a host may be served in a region.
func (k *Kernel) mayServeHost(host, region string) bool {
	if k.table == nil {
		return true
	}
	allowed := k.table.HostRegions(host)
	return len(allowed) == 0 || slices.Contains(allowed, region)
}
