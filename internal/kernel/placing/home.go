// Package placing decides on which backend server an object lives. A server
// that has lately handled an object does the work in a fraction of the time,
// so all proxies must name the same server without asking each other: the
// homes follow from the list of servers alone.
package placing

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxNumber is the largest object number that gets a place of its own.
	// Larger numbers and other names are spread over this many places.
	maxNumber = 4096
	// Choices is how many servers are named for an object, best first.
	Choices = 3
	// window is how many consecutive objects are dealt out evenly.
	window = 24
	// shortList is how many servers of each object are looked at first. Where an
	// object finds room only further down, all are; the result is the same.
	shortList = 16
	// hashSpare is how many bits of a hash are left out, so that the rest is exact as
	// a floating-point number.
	hashSpare = 11
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

	// Homes names the servers of each object for one list of servers. The
	// same list gives the same homes in every process.
	Homes struct {
		servers []Server
		hashes  []uint64
		weight  int
		classes []class
		// taken counts the objects placed on each server so far.
		taken []int
		// homes holds the choices of object i at i.
		homes [][Choices]int32
	}

	// class are the servers of one class and weight, in order.
	class struct {
		weight  int
		servers []int32
		// ranked are the same servers in a ranking, nil without one; indexes tells
		// their places in Homes by their numbers there.
		ranked  *ranked
		indexes []int32
	}

	// hashed is a server with its hash for one object, without the spare bits.
	hashed struct {
		hash   uint64
		server int32
	}

	// nearest are the servers of one weight that are nearest to an object, and how
	// many of them have been taken.
	nearest struct {
		weight  int
		servers []hashed
		at      int
	}

	// candidates yields the servers nearest to an object in order, up to most.
	candidates struct {
		lists      []nearest
		left, most int
	}

	pair struct {
		distance       float64
		server, object int32
	}

	// pairs is a heap, the best pair first.
	pairs []pair
)

// NewHomes prepares homes over servers. A ranking of them makes it cheaper; without
// one, nil, the homes are the same.
func NewHomes(servers []Server, r *Ranking) *Homes {
	h := &Homes{servers: slices.Clone(servers)}
	slices.SortFunc(h.servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	h.taken = make([]int, len(h.servers))
	for _, s := range h.servers {
		h.hashes = append(h.hashes, xxhash.Sum64String(s.ID))
		h.weight += s.Weight
	}
	h.classify(r)
	return h
}

// classify sorts the servers by class and weight.
func (h *Homes) classify(r *Ranking) {
	type kind struct {
		class  string
		weight int
	}
	known := make(map[kind]int)
	for i, s := range h.servers {
		n, found := known[kind{s.Class, s.Weight}]
		if !found {
			n = len(h.classes)
			known[kind{s.Class, s.Weight}] = n
			h.classes = append(h.classes, class{weight: s.Weight})
			if r != nil && r.classes[s.Class] != nil {
				h.classes[n].ranked = r.classes[s.Class]
				h.classes[n].indexes = make([]int32, len(r.classes[s.Class].ids))
			}
		}
		c := &h.classes[n]
		c.servers = append(c.servers, int32(i))
		if c.ranked != nil {
			c.indexes[c.ranked.numbers[s.ID]] = int32(i)
		}
	}
	for n := range h.classes {
		// Servers that the ranking lacks, or has besides, would be left out or named.
		if c := &h.classes[n]; c.ranked != nil && len(c.ranked.numbers) != len(c.servers) {
			c.ranked = nil
		}
	}
}

// Of lists the servers for an object, best first.
func (h *Homes) Of(object string) []string {
	if len(h.servers) == 0 {
		return nil
	}
	place := Number(object)
	for len(h.homes) <= place {
		h.place(len(h.homes))
	}
	ids := make([]string, 0, Choices)
	for _, i := range h.homes[place] {
		if i >= 0 {
			ids = append(ids, h.servers[i].ID)
		}
	}
	return ids
}

// Number is an object's place in the order in which objects are dealt out.
// Objects that number themselves densely, in decimal or hexadecimal digits,
// are spread evenly; a hash leaves the busiest of twelve servers at 1.4 to 2.1
// times the mean.
func Number(object string) int {
	n, err := strconv.ParseUint(object, 16, 63)
	if err == nil && n < maxNumber {
		return int(n)
	}
	return int(xxhash.Sum64String(object) % maxNumber)
}

// place deals the objects of the next window out. No server takes more than
// its share of all objects dealt out so far, rounded up; among the pairs of
// object and server the best weighted rendezvous scores come first. A server
// that comes or goes moves the objects it takes or leaves and few others.
func (h *Homes) place(first int) {
	homes, _ := h.deal(first, shortList)
	for _, choices := range homes {
		h.taken[choices[0]]++
	}
	h.homes = append(h.homes, homes[:]...)
}

// deal gives each object of a window its servers. A change of one server has every
// object of the service dealt out anew at every proxy while requests wait, so pairs
// are weighed only as far as they are needed: the best pair of all objects is the best
// of each object's next one, and first only the most nearest servers of each are looked
// at. It reports whether that did not suffice for some.
func (h *Homes) deal(first, most int) (homes [window][Choices]int32, fellShort bool) {
	lists := make([]candidates, window)
	next := make(pairs, 0, window)
	for n := range window {
		homes[n] = [Choices]int32{-1, -1, -1}
		lists[n] = h.candidates(first+n, most)
		p, _ := lists[n].next(int32(n))
		next = append(next, p)
	}
	heap.Init(&next)
	counted := make(map[int32]int)
	for len(next) > 0 {
		p := next[0]
		if h.taken[p.server]+counted[p.server] < h.room(p.server, first) {
			homes[p.object][0] = p.server
			counted[p.server]++
			heap.Pop(&next)
			continue
		}
		list := &lists[p.object]
		following, left := list.next(p.object)
		if !left {
			fellShort = true
			*list = h.candidates(first+int(p.object), len(h.servers))
			following, _ = list.next(p.object)
		}
		next[0] = following
		heap.Fix(&next, 0)
	}
	for n := range homes {
		lists[n].restart()
		lists[n].fill(int32(n), &homes[n])
	}
	return homes, fellShort
}

// room is how many objects a server may have at the end of a window: its share of all
// that are dealt out by then, rounded up, so that there is always room for each.
func (h *Homes) room(server int32, first int) int {
	return (h.servers[server].Weight*(first+window) + h.weight - 1) / h.weight
}

// candidates are the nearest servers of an object.
func (h *Homes) candidates(object, most int) candidates {
	c := candidates{left: most, most: most, lists: make([]nearest, len(h.classes))}
	for i, class := range h.classes {
		c.lists[i] = nearest{weight: class.weight, servers: h.largest(class, object, most)}
	}
	return c
}

// largest lists the servers of a class with the largest hashes for an object, the
// largest first: among servers of one weight these are the nearest.
func (h *Homes) largest(c class, object, most int) []hashed {
	if c.ranked != nil && most <= shortList {
		list := slices.Clone(c.ranked.of(object))
		for i := range list {
			list[i].server = c.indexes[list[i].server]
		}
		return list[:min(most, len(list))]
	}
	best := make([]hashed, 0, len(c.servers))
	for _, server := range c.servers {
		best = append(best, hashed{mix(h.hashes[server], object) >> hashSpare, server})
	}
	slices.SortFunc(best, func(a, b hashed) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.server, b.server))
	})
	return best[:min(most, len(best))]
}

// next takes an object's nearest server that is left.
func (c *candidates) next(object int32) (pair, bool) {
	best, found := pair{}, -1
	if c.left == 0 {
		return best, false
	}
	for i := range c.lists {
		l := &c.lists[i]
		if l.at == len(l.servers) {
			continue
		}
		s := l.servers[l.at]
		p := pair{weigh(s.hash, l.weight), s.server, object}
		if found < 0 || comparePairs(p, best) < 0 {
			best, found = p, i
		}
	}
	if found < 0 {
		return best, false
	}
	c.lists[found].at++
	c.left--
	return best, true
}

func (c *candidates) restart() {
	c.left = c.most
	for i := range c.lists {
		c.lists[i].at = 0
	}
}

// fill names the nearest servers beside an object's home, which is there already.
func (c *candidates) fill(object int32, choices *[Choices]int32) {
	if choices[0] < 0 {
		return
	}
	for i := 1; i < Choices; {
		p, left := c.next(object)
		if !left {
			return
		}
		if p.server != choices[0] {
			choices[i] = p.server
			i++
		}
	}
}

// Len implements heap.Interface.
func (p pairs) Len() int { return len(p) }

// Less implements heap.Interface.
func (p pairs) Less(i, j int) bool { return comparePairs(p[i], p[j]) < 0 }

// Swap implements heap.Interface.
func (p pairs) Swap(i, j int) { p[i], p[j] = p[j], p[i] }

// Push implements heap.Interface.
func (p *pairs) Push(x any) { *p = append(*p, x.(pair)) }

// Pop implements heap.Interface.
func (p *pairs) Pop() any {
	last := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return last
}

func comparePairs(a, b pair) int {
	return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.server, b.server), cmp.Compare(a.object, b.object))
}

// weigh turns a uniform hash, without its spare bits, into a distance that is the
// least of all with a probability proportional to the weight.
func weigh(hash uint64, weight int) float64 {
	uniform := (float64(hash) + 1) / (1 << (64 - hashSpare))
	return -math.Log(uniform) / float64(weight)
}

func mix(server uint64, n int) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], server)
	binary.LittleEndian.PutUint64(b[8:], uint64(n))
	return xxhash.Sum64(b[:])
}
