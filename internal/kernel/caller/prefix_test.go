package caller

import (
	"net/netip"
	"testing"

	"pgregory.net/rapid"
)

// linearLookup is the reference implementation of Lookup: the last of the longest prefixes that
// cover the address.
func linearLookup(list []PrefixSite, a netip.Addr) Site {
	site, bits := NoSite, -1
	for _, p := range list {
		if p.Prefix.Contains(a) && p.Prefix.Bits() >= bits {
			site = p.Site
			bits = p.Prefix.Bits()
		}
	}
	return site
}

func TestPrefixTableMatchesLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ipv6 := rapid.Bool().Draw(t, "IPv6")
		address := func(label string) netip.Addr {
			// With few distinct byte values, prefixes are often nested or adjacent.
			b := rapid.SliceOfN(rapid.SampledFrom([]byte{0, 1, 127, 128, 255}), 4, 4).Draw(t, label)
			if ipv6 {
				return netip.AddrFrom16([16]byte{b[0], b[1], b[2], b[3]})
			}
			return netip.AddrFrom4([4]byte(b))
		}
		var list []PrefixSite
		for range rapid.IntRange(0, 12).Draw(t, "prefixes") {
			bits := rapid.IntRange(0, 32).Draw(t, "bits")
			site := Site(rapid.IntRange(0, 3).Draw(t, "site"))
			list = append(list, PrefixSite{Prefix: netip.PrefixFrom(address("prefix"), bits).Masked(), Site: site})
		}
		table := NewPrefixTable(list)
		for range 20 {
			a := address("address")
			if got, want := table.Lookup(a), linearLookup(list, a); got != want {
				t.Fatalf("%s in %v: got site %d, want %d", a, list, got, want)
			}
		}
	})
}

func BenchmarkPrefixTableLookup(b *testing.B) {
	var list []PrefixSite
	for i := range 65536 {
		a := netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 0})
		list = append(list, PrefixSite{Prefix: netip.PrefixFrom(a, 24), Site: Site(i % 210)})
	}
	table := NewPrefixTable(list)
	a := netip.MustParseAddr("10.77.88.99")
	b.ReportAllocs()
	for b.Loop() {
		table.Lookup(a)
	}
}
