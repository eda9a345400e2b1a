package steering

import (
	"slices"
)

const (
	// MaxRegions is how many regions there may be.
	MaxRegions = 63
	// unknownRegion stands for all that are not known: what names no region may run there
	// too.
	unknownRegion regionSet = 1 << MaxRegions
	allRegions    regionSet = 1<<64 - 1
)

type (
	// regionSet is a set of regions, a bit each.
	regionSet uint64
)

// has reports whether a region is in the set.
func (s regionSet) has(bit regionSet) bool { return s&bit != 0 }

// regionBit stands for a region.
func (k *Kernel) regionBit(region string) regionSet {
	if i := slices.Index(k.regions, region); i >= 0 {
		return 1 << i
	}
	return unknownRegion
}

// regionSet is the set of the regions named; no name means all.
func (k *Kernel) regionSet(names []string) regionSet {
	if len(names) == 0 {
		return allRegions
	}
	set := regionSet(0)
	for _, name := range names {
		set |= k.regionBit(name)
	}
	return set &^ unknownRegion
}
