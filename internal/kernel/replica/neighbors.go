package replica

import (
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// minNeighbors is how many neighbors a proxy has at least, in its own region and in all others
	// together, if there are so many.
	minNeighbors = 8
	// neighborsPerDoubling is how many neighbors of its own region a proxy has for each doubling of
	// the region.
	neighborsPerDoubling = 2
	// neighborRotation is how often one neighbor of a proxy is replaced. Two parts of a region
	// between which no proxy has a neighbor would not hear of each other for so long.
	neighborRotation = 10 * time.Second
)

type (
	// Neighbors chooses the peers with which a proxy exchanges changes: a small random part of the
	// fleet that changes slowly. If each exchange went to a random peer, a proxy of a large fleet
	// would hold a connection to each of hundreds of peers, with tens of kilobytes of memory for
	// each of them, at both ends.
	Neighbors struct {
		// Region is this proxy's region.
		Region string
		random *rand.Rand

		local     []netip.AddrPort
		remote    map[string][]netip.AddrPort
		rotatedAt time.Time
	}

	// Peers are the other proxies by region. They must not be modified.
	Peers map[string][]netip.AddrPort
)

// NewNeighbors returns no neighbors for a proxy of the given region.
func NewNeighbors(region string, random *rand.Rand) *Neighbors {
	return &Neighbors{Region: region, random: random, remote: make(map[string][]netip.AddrPort)}
}

// Update drops the neighbors that are gone, replaces some from time to time, and fills up. A proxy
// that sends each change to its region has at least localMin neighbors there.
func (n *Neighbors) Update(now time.Time, peers Peers, localMin int) {
	if n.RotationDue(now) {
		n.rotatedAt = now
		n.local = n.dropOne(n.local)
		for region, list := range n.remote {
			n.remote[region] = n.dropOne(list)
		}
	}
	all := peers[n.Region]
	n.local = n.fill(n.local, all, max(localMin, minNeighbors, neighborsPerDoubling*bits.Len(uint(len(all)))))
	for region := range n.remote {
		if len(peers[region]) == 0 {
			delete(n.remote, region)
		}
	}
	remoteRegions := max(1, len(peers)-min(1, len(all)))
	for region, list := range peers {
		if region != n.Region && len(list) > 0 {
			n.remote[region] = n.fill(n.remote[region], list, (minNeighbors+remoteRegions-1)/remoteRegions)
		}
	}
}

// RotationDue reports whether it is time to replace some neighbors.
func (n *Neighbors) RotationDue(now time.Time) bool { return now.Sub(n.rotatedAt) >= neighborRotation }

// Local returns the neighbors in the proxy's own region.
func (n *Neighbors) Local() []netip.AddrPort { return n.local }

// Remote returns the neighbors in each other region, at least one in each that has proxies.
func (n *Neighbors) Remote() map[string][]netip.AddrPort { return n.remote }

func (n *Neighbors) dropOne(list []netip.AddrPort) []netip.AddrPort {
	if len(list) == 0 {
		return list
	}
	i := n.random.IntN(len(list))
	return slices.Delete(list, i, i+1)
}

// fill removes the neighbors that are not among all and adds random ones up to size.
func (n *Neighbors) fill(list, all []netip.AddrPort, size int) []netip.AddrPort {
	list = slices.DeleteFunc(list, func(a netip.AddrPort) bool { return !slices.Contains(all, a) })
	if size >= len(all) {
		return append(list[:0], all...)
	}
	for len(list) < size {
		if a := all[n.random.IntN(len(all))]; !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	return list[:size]
}
