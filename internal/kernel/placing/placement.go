// Package placing assigns objects to backend servers. A server that has recently handled an
// object does the work in a fraction of the time, so all proxies must choose the same server
// without coordination: the assignment depends on the list of servers alone.
package placing

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strconv"

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
)

type (
	// Server describes a backend server for placement.
	Server struct {
		ID string
		// Weight determines the server's share of the objects, such as its slots.
		Weight int
		// Class groups servers for a Ranking. All servers of a class always have the same weight.
		Class string
	}

	// Placement chooses the servers of each object for one list of servers. The same list gives
	// the same choices in every process.
	Placement struct {
		servers     []Server
		hashes      []uint64
		totalWeight int
		classes     []serverClass
		// assigned counts the objects assigned to each server so far.
		assigned []int
		// choices holds the choices by object index.
		choices  [][ChoicesPerObject]int32
		assigner *assigner
	}
)

// NewPlacement returns a placement over servers. A ranking of the same servers makes it cheaper
// but doesn't change the result; it may be nil.
func NewPlacement(servers []Server, r *Ranking) *Placement {
	h := &Placement{servers: slices.Clone(servers)}
	slices.SortFunc(h.servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	h.assigned = make([]int, len(h.servers))
	for _, s := range h.servers {
		h.hashes = append(h.hashes, xxhash.Sum64String(s.ID))
		h.totalWeight += s.Weight
	}
	h.groupServers(r)
	return h
}

// groupServers groups the servers by class and weight.
func (h *Placement) groupServers(r *Ranking) {
	type classKey struct {
		class  string
		weight int
	}
	known := make(map[classKey]int)
	for i, s := range h.servers {
		n, found := known[classKey{s.Class, s.Weight}]
		if !found {
			n = len(h.classes)
			known[classKey{s.Class, s.Weight}] = n
			h.classes = append(h.classes, serverClass{weight: s.Weight})
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
func (h *Placement) ServersFor(object string) []string {
	if len(h.servers) == 0 {
		return nil
	}
	index := ObjectIndex(object)
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

// ObjectIndex returns an object's position in the order of assignment. Objects that are numbered
// densely, in decimal or hexadecimal digits, keep their numbers and are spread evenly; hashing a
// few dozen names wouldn't spread them evenly.
func ObjectIndex(object string) int {
	n, err := strconv.ParseUint(object, 16, 63)
	if err == nil && n < objectIndexCount {
		return int(n)
	}
	return int(xxhash.Sum64String(object) % objectIndexCount)
}

// placeWindow assigns the objects of the next window. No server gets more than its share of all
// objects assigned so far, rounded up; the pairs of object and server with the best weighted
// rendezvous hashing scores come first. When a server joins or leaves, the objects that it takes
// or gives up move and few others do.
func (h *Placement) placeWindow(firstObject int) {
	if h.assigner == nil {
		h.assigner = newAssigner(h, shortListSize)
	}
	choices := h.assigner.assign(firstObject)
	h.choices = append(h.choices, choices[:]...)
}

func hashPair(server uint64, n int) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], server)
	binary.LittleEndian.PutUint64(b[8:], uint64(n))
	return xxhash.Sum64(b[:])
}
