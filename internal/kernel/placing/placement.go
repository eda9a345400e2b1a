// Package placing assigns objects to backend servers. A server that has recently handled an
// object does the work in a fraction of the time, so all proxies must choose the same server
// without coordination: the assignment depends on the list of servers alone.
package placing

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// objectIndexCount is the number of object indexes. Objects with smaller numbers have an
	// index of their own; larger numbers and other names are hashed onto all indexes.
	objectIndexCount = 4096
	// ChoicesPerObject is how many servers are chosen for an object, best first.
	ChoicesPerObject = 3
	// windowSize is how many consecutive objects are spread evenly over the servers.
	windowSize = 24
	// shortListSize is how many servers are considered first for each object. Where an object
	// finds capacity only further down, all servers are considered; the result is the same.
	shortListSize = 16
	// droppedHashBits is how many low bits of a hash are dropped so that the rest converts
	// exactly to a floating-point number.
	droppedHashBits = 11
	// maxDistance exceeds the distance of the smallest hash without the dropped bits, at weight 1.
	maxDistance = 64
)

type (
	// Server describes a backend server for placement.
	Server struct {
		ID string
		// Weight determines the server's share of the objects, such as its slots.
		Weight int
		// Class groups servers for a Ranking. All servers of a class always have the same weight.
		Class string
		// Local is set if the server is in the region of the callers.
		Local bool
		// MoveWeight determines the server's share of the objects that SetLocalShare moves into the
		// region of the callers or out of it. A server may have a MoveWeight only.
		MoveWeight int
	}

	// Placement chooses the servers of each object for one list of servers. The same list and
	// groups of routes give the same choices in every process.
	Placement struct {
		servers     []Server
		hashes      []uint64
		totalWeight int
		classes     []serverClass
		groups      *RouteGroups
		// assigned counts the objects assigned to each server so far, assignedByGroup those of each
		// group.
		assigned        []int
		assignedByGroup [][]int
		// choices holds the choices by position in the order of assignment: a window of each group,
		// then the next window of each group, and so on.
		choices  [][ChoicesPerObject]int32
		assigner *assigner
		// move changes the share of the objects with local homes, nil if it is that of the weights.
		move *localMove
	}
)

// NewPlacement returns a placement over servers. A ranking of the same servers makes it cheaper
// but doesn't change the result; it may be nil. Nil groups give all routes the same homes.
func NewPlacement(servers []Server, r *Ranking, g *RouteGroups) *Placement {
	h := &Placement{servers: slices.Clone(servers), groups: g}
	slices.SortFunc(h.servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	h.assigned = make([]int, len(h.servers))
	h.assignedByGroup = make([][]int, g.groupCount())
	for i := range h.assignedByGroup {
		h.assignedByGroup[i] = make([]int, len(h.servers))
	}
	for _, s := range h.servers {
		h.hashes = append(h.hashes, xxhash.Sum64String(s.ID))
		h.totalWeight += s.Weight
	}
	h.groupServers(r)
	return h
}

// groupServers groups the servers by class, weights and whether they are local.
func (h *Placement) groupServers(r *Ranking) {
	type classKey struct {
		class  string
		weight int
		move   int
		local  bool
	}
	known := make(map[classKey]int)
	for i, s := range h.servers {
		key := classKey{s.Class, s.Weight, s.MoveWeight, s.Local}
		n, found := known[key]
		if !found {
			n = len(h.classes)
			known[key] = n
			h.classes = append(h.classes, serverClass{weight: s.Weight, moveWeight: s.MoveWeight, local: s.Local})
			if r != nil && r.classes[s.Class] != nil {
				h.classes[n].ranking = r.classes[s.Class]
				h.classes[n].indexes = make([]int32, len(r.classes[s.Class].ids))
			}
		}
		c := &h.classes[n]
		c.servers = append(c.servers, int32(i))
		if c.ranking != nil {
			c.indexes[c.ranking.numbers[s.ID]] = int32(i)
		}
	}
	for n := range h.classes {
		// A ranking of a different set of servers would omit some or choose servers that are
		// gone.
		if c := &h.classes[n]; c.ranking != nil && len(c.ranking.numbers) != len(c.servers) {
			c.ranking = nil
		}
	}
}

// ServersFor returns the servers of an object, best first.
func (h *Placement) ServersFor(o Object) []string {
	if h.totalWeight == 0 {
		return nil
	}
	index := h.position(o)
	for len(h.choices) <= index {
		h.placeWindow(len(h.choices))
	}
	ids := make([]string, 0, ChoicesPerObject)
	for _, i := range h.choices[index] {
		if i >= 0 {
			ids = append(ids, h.servers[i].ID)
		}
	}
	return ids
}

// position returns the position of an object in the order of assignment. The windows of the groups
// alternate, because the lowest numbers of each group are usually the most frequently requested.
func (h *Placement) position(o Object) int {
	index := ObjectIndex(o.Name)
	window := index/windowSize*len(h.assignedByGroup) + h.groups.groupOf(o.Route)
	return window*windowSize + index%windowSize
}

// placeWindow assigns the objects of the next window, which begins at the given position. No
// server gets more than its share of the group's objects assigned so far, rounded up, nor, if
// possible, of all objects; the pairs of object and server with the best weighted rendezvous
// hashing scores come first. When a server joins or leaves, the objects that it takes or gives up
// move and few others do.
func (h *Placement) placeWindow(position int) {
	if h.assigner == nil {
		h.assigner = newAssigner(h, shortListSize)
	}
	choices := h.assigner.assign(position)
	if h.move != nil {
		h.assigner.moveObjects(&choices)
	}
	h.choices = append(h.choices, choices[:]...)
}

func hashPair(server uint64, n int) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], server)
	binary.LittleEndian.PutUint64(b[8:], uint64(n))
	return xxhash.Sum64(b[:])
}
