package caller

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"sort"
)

const (
	// NoSite is the result of a lookup for an address that no prefix covers.
	NoSite Site = 0xFFFF
	// indexBits is the number of leading key bits that the index of a rangeTable resolves.
	indexBits = 16
)

type (
	// Site is the index of a point of presence in the list of their names.
	Site uint16

	// PrefixSite maps one client prefix to a point of presence.
	PrefixSite struct {
		Prefix netip.Prefix
		Site   Site
	}

	// PrefixTable maps an address to the point of presence of the longest prefix that covers it. It
	// is immutable: a new version replaces it by swapping one pointer, so no lookup sees a partial
	// update.
	//
	// Nested prefixes are flattened into disjoint ranges at build time. A range takes 4+2 bytes for
	// IPv4 and 8+2 bytes for IPv6, whose prefixes longer than 64 bits are rejected. This size lets
	// 940,000 prefixes fit into memory.
	PrefixTable struct {
		v4 rangeTable[uint32]
		v6 rangeTable[uint64]
	}

	rangeTable[K uint32 | uint64] struct {
		starts []K
		sites  []Site
		index  []uint32
		shift  uint
	}

	span[K uint32 | uint64] struct {
		first, last K
		bits        int
		site        Site
	}
)

// NewPrefixTable builds a table. Prefixes may be nested and in any order. Of equal prefixes, the
// last one applies.
func NewPrefixTable(list []PrefixSite) *PrefixTable {
	var v4Spans []span[uint32]
	var v6Spans []span[uint64]
	for _, p := range list {
		prefix := p.Prefix.Masked()
		if prefix.Addr().Is4() {
			first := ipv4Key(prefix.Addr())
			size := uint32(1)<<(32-prefix.Bits()) - 1
			if prefix.Bits() == 0 {
				size = ^uint32(0)
			}
			v4Spans = append(v4Spans, span[uint32]{first: first, last: first + size, bits: prefix.Bits(), site: p.Site})
			continue
		}
		bits := min(prefix.Bits(), 64)
		first := ipv6Key(prefix.Addr())
		size := ^uint64(0)
		if bits > 0 {
			size = uint64(1)<<(64-bits) - 1
		}
		v6Spans = append(v6Spans, span[uint64]{first: first, last: first + size, bits: bits, site: p.Site})
	}
	return &PrefixTable{v4: flatten(v4Spans, 32), v6: flatten(v6Spans, 64)}
}

// Lookup returns the site of an address, or NoSite if no prefix covers it.
func (t *PrefixTable) Lookup(a netip.Addr) Site {
	a = a.Unmap()
	if a.Is4() {
		return t.v4.find(ipv4Key(a))
	}
	return t.v6.find(ipv6Key(a))
}

// MemoryBytes returns the size of the table's arrays in bytes.
func (t *PrefixTable) MemoryBytes() int {
	return 6*len(t.v4.starts) + 10*len(t.v6.starts) + 4*(len(t.v4.index)+len(t.v6.index))
}

// RangeCount returns the number of disjoint ranges.
func (t *PrefixTable) RangeCount() int { return len(t.v4.starts) + len(t.v6.starts) }

func ipv4Key(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

func ipv6Key(a netip.Addr) uint64 {
	b := a.As16()
	return binary.BigEndian.Uint64(b[:8])
}

// flatten converts nested spans into disjoint ranges. It sorts the spans so that an outer span
// precedes the spans inside it, and keeps the spans that enclose the current position on a stack.
func flatten[K uint32 | uint64](spans []span[K], width uint) rangeTable[K] {
	sort.SliceStable(spans, func(i, j int) bool {
		if spans[i].first != spans[j].first {
			return spans[i].first < spans[j].first
		}
		return spans[i].bits < spans[j].bits
	})
	r := rangeTable[K]{shift: width - indexBits}
	r.starts = make([]K, 0, len(spans)+1)
	r.sites = make([]Site, 0, len(spans)+1)
	var open []span[K]
	closeUntil := func(next K, all bool) {
		for len(open) > 0 && (all || open[len(open)-1].last < next) {
			top := open[len(open)-1]
			open = open[:len(open)-1]
			if top.last == ^K(0) {
				continue
			}
			site := NoSite
			if len(open) > 0 {
				site = open[len(open)-1].site
			}
			r.appendRange(top.last+1, site)
		}
	}
	for _, s := range spans {
		closeUntil(s.first, false)
		r.appendRange(s.first, s.site)
		open = append(open, s)
	}
	closeUntil(0, true)
	r.starts = slices.Clip(r.starts)
	r.sites = slices.Clip(r.sites)
	r.buildIndex()
	return r
}

// appendRange appends a range. A range that begins where the last one does replaces it, and a range
// with the site of the last one is merged into it.
func (r *rangeTable[K]) appendRange(start K, site Site) {
	n := len(r.starts)
	if n > 0 && r.starts[n-1] == start {
		r.sites[n-1] = site
		if n > 1 && r.sites[n-2] == site {
			r.starts = r.starts[:n-1]
			r.sites = r.sites[:n-1]
		}
		return
	}
	if n > 0 && r.sites[n-1] == site || n == 0 && site == NoSite {
		return
	}
	r.starts = append(r.starts, start)
	r.sites = append(r.sites, site)
}

// buildIndex records for each value of the leading bits the first range that starts at or after it,
// so that a lookup has to search only a few ranges.
func (r *rangeTable[K]) buildIndex() {
	if len(r.starts) == 0 {
		return
	}
	r.index = make([]uint32, 1<<indexBits+1)
	next := 0
	for leading := range 1 << indexBits {
		for next < len(r.starts) && int(r.starts[next]>>r.shift) < leading {
			next++
		}
		r.index[leading] = uint32(next)
	}
	r.index[1<<indexBits] = uint32(len(r.starts))
}

func (r *rangeTable[K]) find(key K) Site {
	if len(r.starts) == 0 {
		return NoSite
	}
	leading := int(key >> r.shift)
	low, high := int(r.index[leading]), int(r.index[leading+1])
	for low < high {
		mid := int(uint(low+high) >> 1)
		if r.starts[mid] <= key {
			low = mid + 1
		} else {
			high = mid
		}
	}
	if low == 0 {
		return NoSite
	}
	return r.sites[low-1]
}
