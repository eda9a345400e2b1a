// Package placing decides on which backend server an object lives. A server
// that has lately handled an object does the work in a fraction of the time,
// so all proxies must name the same server without asking each other: the
// homes follow from the list of servers alone.
package placing

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// objectIndexCount is the largest object number that gets a place of its own.
	// Larger numbers and other names are spread over this many places.
	objectIndexCount = 4096
	// ChoicesPerObject is how many servers are named for an object, best first.
	ChoicesPerObject = 3
	// windowSize is how many consecutive objects are dealt out evenly.
	windowSize = 24
	// shortListSize is how many servers of each object are looked at first. Where an
	// object finds room only further down, all are; the result is the same.
	shortListSize = 16
	// droppedHashBits is how many bits of a hash are left out, so that the rest is exact as
	// a floating-point number.
	droppedHashBits = 11
)

type (
	// Server is what placing needs to know of a backend server.
	Server struct {
		ID string
		// Weight is the server's share of objects, such as its slots.
		Weight int
		// Class names servers that always have the same weight, for a ranking.
		Class string
	}

	// Placement names the servers of each object for one list of servers. The
	// same list gives the same homes in every process.
	Placement struct {
		servers     []Server
		hashes      []uint64
		totalWeight int
		classes     []serverClass
		// assigned counts the objects placed on each server so far.
		assigned []int
		// choices holds the choices of object i at i.
		choices  [][ChoicesPerObject]int32
		assigner *assigner
	}
)

// NewPlacement prepares homes over servers. A ranking of them makes it cheaper; without
// one, nil, the homes are the same.
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

// groupServers sorts the servers by class and weight.
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
		// Servers that the ranking lacks, or has besides, would be left out or named.
		if c := &h.classes[n]; c.ranking != nil && len(c.ranking.numbers) != len(c.servers) {
			c.ranking = nil
		}
	}
}

// ServersFor lists the servers for an object, best first.
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

// ObjectIndex is an object's place in the order in which objects are dealt out.
// Objects that number themselves densely, in decimal or hexadecimal digits,
// are spread evenly, which a hash does not do for a few dozen.
func ObjectIndex(object string) int {
	n, err := strconv.ParseUint(object, 16, 63)
	if err == nil && n < objectIndexCount {
		return int(n)
	}
	return int(xxhash.Sum64String(object) % objectIndexCount)
}

// placeWindow deals the objects of the next window out. No server takes more than
// its share of all objects dealt out so far, rounded up; among the pairs of
// object and server the best weighted rendezvous scores come first. A server
// that comes or goes moves the objects it takes or leaves and few others.
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
