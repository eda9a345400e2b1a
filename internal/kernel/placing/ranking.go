package placing

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// rankedPerObject is how many servers of a class are kept for an object: a few more than the
	// short list, so that some may leave before the object has to be ranked again. Each takes 16
	// bytes.
	rankedPerObject = shortListSize + 4
)

type (
	// Ranking maintains the servers nearest to each object while servers join and leave. A change
	// of one server costs one hash per object instead of one per object and server. In a fleet
	// with hundreds of servers of a service the full computation took half a second on a small
	// VM, at every proxy and several times a second during a rollout, while requests waited.
	Ranking struct {
		classes map[string]*classRanking
		// update counts the updates.
		update uint64
	}

	// classRanking is the ranking of the servers of one class.
	classRanking struct {
		// hashes and ids are indexed by server number. The number of a server that has left is
		// reused.
		hashes  []uint64
		ids     []string
		numbers map[string]int32
		free    []int32
		// listedIn is the last update that listed each server, by number.
		listedIn []uint64
		// nearest holds for each ranking index the servers with the largest hashes, largest first. It
		// is nil where it has not been needed yet.
		nearest [][]serverHash
	}
)

// NewRanking returns a ranking without servers.
func NewRanking() *Ranking { return &Ranking{classes: make(map[string]*classRanking)} }

// Update adds and removes servers so that the ranking holds the given ones.
func (r *Ranking) Update(servers []Server) {
	r.update++
	for _, s := range servers {
		c := r.classes[s.Class]
		if c == nil {
			c = &classRanking{numbers: make(map[string]int32)}
			r.classes[s.Class] = c
		}
		number, known := c.numbers[s.ID]
		if !known {
			number = c.add(s.ID)
		}
		c.listedIn[number] = r.update
	}
	for _, c := range r.classes {
		for number, id := range c.ids {
			if id != "" && c.listedIn[number] != r.update {
				c.remove(id)
			}
		}
	}
}

// Nearest returns the servers of a class that are nearest to an object, at most shortListSize.
// The result is the same at all proxies that know the same servers and groups.
func (r *Ranking) Nearest(class string, g *RouteGroups, o Object) []string {
	c := r.classes[class]
	if c == nil {
		return nil
	}
	list := c.nearestTo(rankingIndex(g.groupOf(o.Route), ObjectIndex(o.Name)))
	ids := make([]string, 0, len(list))
	for _, s := range list {
		ids = append(ids, c.ids[s.server])
	}
	return ids
}

func (c *classRanking) add(id string) int32 {
	number := int32(len(c.ids))
	if n := len(c.free); n > 0 {
		number, c.free = c.free[n-1], c.free[:n-1]
	} else {
		c.ids, c.hashes, c.listedIn = append(c.ids, ""), append(c.hashes, 0), append(c.listedIn, 0)
	}
	c.ids[number], c.hashes[number] = id, xxhash.Sum64String(id)
	previousCount := len(c.numbers)
	c.numbers[id] = number
	for object := range c.nearest {
		list := c.nearest[object]
		if list == nil {
			continue
		}
		hash := hashPair(c.hashes[number], object) >> droppedHashBits
		if len(list) == previousCount || hash > list[len(list)-1].hash {
			c.nearest[object] = insertRanked(list, serverHash{hash, number}, rankedPerObject)
		}
	}
	return number
}

func (c *classRanking) remove(id string) {
	number := c.numbers[id]
	delete(c.numbers, id)
	c.ids[number] = ""
	for object, list := range c.nearest {
		hash := hashPair(c.hashes[number], object) >> droppedHashBits
		if len(list) == 0 || hash < list[len(list)-1].hash {
			continue
		}
		list = slices.DeleteFunc(list, func(h serverHash) bool { return h.server == number })
		c.nearest[object] = list
		if len(list) < shortListSize && len(list) < len(c.numbers) {
			c.nearest[object] = c.rank(object)
		}
	}
	c.free = append(c.free, number)
}

// nearestTo returns the short list of servers nearest to an object, by server number.
func (c *classRanking) nearestTo(object int) []serverHash {
	if missing := object + 1 - len(c.nearest); missing > 0 {
		c.nearest = append(c.nearest, make([][]serverHash, missing)...)
	}
	if c.nearest[object] == nil {
		c.nearest[object] = c.rank(object)
	}
	list := c.nearest[object]
	return list[:min(len(list), shortListSize)]
}

func (c *classRanking) rank(object int) []serverHash {
	list := make([]serverHash, 0, min(rankedPerObject, len(c.numbers)))
	for number, id := range c.ids {
		if id == "" {
			continue
		}
		hash := hashPair(c.hashes[number], object) >> droppedHashBits
		if len(list) == rankedPerObject && hash <= list[rankedPerObject-1].hash {
			continue
		}
		list = insertRanked(list, serverHash{hash, int32(number)}, rankedPerObject)
	}
	return list
}

// insertRanked inserts a server into a list sorted by descending hash and keeps at most maxLen
// entries.
func insertRanked(list []serverHash, h serverHash, maxLen int) []serverHash {
	i := len(list)
	for i > 0 && list[i-1].hash < h.hash {
		i--
	}
	if len(list) < maxLen {
		list = append(list, serverHash{})
	}
	if i == len(list) {
		return list
	}
	copy(list[i+1:], list[i:len(list)-1])
	list[i] = h
	return list
}
