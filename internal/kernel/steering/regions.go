package steering

import (
	"slices"
)

const (
	// MaxRegions is the largest supported number of regions.
	MaxRegions = 63
	// unknownRegion is the bit of all unknown regions. Requests without a region restriction may
	// run there, too.
	unknownRegion regionSet = 1 << MaxRegions
	allRegions    regionSet = 1<<64 - 1
)

type (
	// regionSet is a set of regions with one bit each.
	regionSet uint64
)

// has reports whether a region is in the set.
func (s regionSet) has(bit regionSet) bool { return s&bit != 0 }

// regionBit returns the bit of a region.
func (k *Kernel) regionBit(region string) regionSet {
	if i := slices.Index(k.regions, region); i >= 0 {
		return 1 << i
	}
	return unknownRegion
}

// regionSet returns the set of the named regions. No names mean all regions.
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
