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

// mayServeHost reports whether a host may be served in a region.
func (k *Kernel) mayServeHost(host, region string) bool {
	if k.table == nil {
		return true
	}
	allowed := k.table.HostRegions(host)
	return len(allowed) == 0 || slices.Contains(allowed, region)
}
