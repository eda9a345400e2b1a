package caller

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"sort"
)

const (
	// NoSite stands for an address that no prefix covers.
	NoSite Site = 0xFFFF
	// indexBits is how many leading bits the index of a range list resolves.
	indexBits = 16
)

type (
	// Site is the number of a point of presence in a table's list of names.
	Site uint16

	// PrefixSite maps one client prefix to a point of presence.
	PrefixSite struct {
		Prefix netip.Prefix
		Site   Site
	}

	// PrefixTable finds the point of presence of the longest prefix that
	// covers an address. It is immutable: a new version replaces it whole by
	// one pointer, so that no look-up ever sees half a change.
	//
	// Nested prefixes are flattened into disjoint ranges at build time. A
	// range costs 4+2 bytes for IPv4 and 8+2 for IPv6 (whose prefixes longer
	// than 64 bits are refused), which is what lets 940,000 prefixes fit.
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

// NewPrefixTable builds a table. Prefixes may nest and come in any order;
// equal prefixes are settled by the last one given.
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

// Lookup finds the site of an address.
func (t *PrefixTable) Lookup(a netip.Addr) Site {
	a = a.Unmap()
	if a.Is4() {
		return t.v4.find(ipv4Key(a))
	}
	return t.v6.find(ipv6Key(a))
}

// MemoryBytes is the memory that the table's arrays take.
func (t *PrefixTable) MemoryBytes() int {
	return 6*len(t.v4.starts) + 10*len(t.v6.starts) + 4*(len(t.v4.index)+len(t.v6.index))
}

// RangeCount counts the disjoint ranges.
func (t *PrefixTable) RangeCount() int { return len(t.v4.starts) + len(t.v6.starts) }

func ipv4Key(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

func ipv6Key(a netip.Addr) uint64 {
	b := a.As16()
	return binary.BigEndian.Uint64(b[:8])
}

// flatten turns nested spans into disjoint ranges. Spans are sorted so that
// an outer one comes before those inside; a stack holds the open ones.
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

// appendRange adds a range start. One that begins where the last did replaces it, and
// one with the last's site adds nothing.
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

// buildIndex notes, for each value of the leading bits, the first range that
// starts at or after it, so that a look-up searches a short stretch only.
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
		middle := int(uint(low+high) >> 1)
		if r.starts[middle] <= key {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == 0 {
		return NoSite
	}
	return r.sites[low-1]
}
