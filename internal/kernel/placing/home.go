// Package placing decides on which backend server an object lives. A server
// that has lately handled an object does the work in a fraction of the time,
// so all proxies must name the same server without asking each other: the
// homes follow from the list of servers alone.
package placing

import (
	"cmp"
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
	// shortList is how many servers of each object are tried at first. Where an
	// object finds room only further down, all are tried; the result is the same.
	shortList = 16
)

type (
	// Server is what placing needs to know of a backend server.
	Server struct {
		ID string
		// Weight is the server's share of objects, such as its slots.
		Weight int
	}

	// Homes names the servers of each object for one list of servers. The
	// same list gives the same homes in every process.
	Homes struct {
		servers []Server
		hashes  []uint64
		weight  int
		// taken counts the objects placed on each server so far.
		taken []int
		// homes holds the choices of object i at i.
		homes [][Choices]int32
	}

	pair struct {
		distance       float64
		server, object int32
	}
)

// NewHomes prepares homes over servers.
func NewHomes(servers []Server) *Homes {
	h := &Homes{servers: slices.Clone(servers)}
	slices.SortFunc(h.servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	h.taken = make([]int, len(h.servers))
	for _, s := range h.servers {
		h.hashes = append(h.hashes, xxhash.Sum64String(s.ID))
		h.weight += s.Weight
	}
	return h
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
	scores := h.scores(first)
	homes, counted, complete := h.deal(first, nearest(scores, shortList))
	if !complete {
		homes, counted, _ = h.deal(first, nearest(scores, len(h.servers)))
	}
	for server, n := range counted {
		h.taken[server] += n
	}
	h.homes = append(h.homes, homes[:]...)
}

// deal gives each object of a window its servers, from pairs in order, and
// counts what each server takes. It reports whether the pairs sufficed.
func (h *Homes) deal(first int, pairs []pair) (homes [window][Choices]int32, counted map[int32]int, complete bool) {
	for n := range homes {
		homes[n] = [Choices]int32{-1, -1, -1}
	}
	counted = make(map[int32]int)
	placed := 0
	for _, p := range pairs {
		room := (h.servers[p.server].Weight*(first+window) + h.weight - 1) / h.weight
		if homes[p.object][0] < 0 && h.taken[p.server]+counted[p.server] < room {
			homes[p.object][0] = p.server
			counted[p.server]++
			placed++
		}
	}
	for _, p := range pairs {
		choices := &homes[p.object]
		if i := slices.Index(choices[:], -1); i > 0 && !slices.Contains(choices[:i], p.server) {
			choices[i] = p.server
		}
	}
	return homes, counted, placed == window
}

// scores lists for each object of a window its distance to every server.
func (h *Homes) scores(first int) [window][]pair {
	var lists [window][]pair
	for n := range lists {
		lists[n] = make([]pair, len(h.servers))
		for i, s := range h.servers {
			lists[n][i] = pair{weigh(mix(h.hashes[i], first+n), s.Weight), int32(i), int32(n)}
		}
	}
	return lists
}

// nearest merges the most nearest servers of each object, best pairs first.
func nearest(scores [window][]pair, most int) []pair {
	var list []pair
	for _, all := range scores {
		list = append(list, least(all, most)...)
	}
	slices.SortFunc(list, comparePairs)
	return list
}

// least lists the most best pairs of one object. Most pairs are worse than the
// worst one kept and cost one comparison.
func least(all []pair, most int) []pair {
	if len(all) <= most {
		return all
	}
	kept := slices.Clone(all[:most])
	slices.SortFunc(kept, comparePairs)
	for _, p := range all[most:] {
		if comparePairs(p, kept[most-1]) > 0 {
			continue
		}
		i, _ := slices.BinarySearchFunc(kept, p, comparePairs)
		copy(kept[i+1:], kept[i:most-1])
		kept[i] = p
	}
	return kept
}

func comparePairs(a, b pair) int {
	return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.server, b.server), cmp.Compare(a.object, b.object))
}

// weigh turns a uniform hash into a distance that is the least of all with a
// probability proportional to the weight.
func weigh(hash uint64, weight int) float64 {
	uniform := (float64(hash>>11) + 1) / (1 << 53)
	return -math.Log(uniform) / float64(weight)
}

func mix(server uint64, n int) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], server)
	binary.LittleEndian.PutUint64(b[8:], uint64(n))
	return xxhash.Sum64(b[:])
}
