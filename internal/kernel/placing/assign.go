package placing

import (
	"cmp"
	"math"
	"slices"
)

type (
	// serverClass is the servers with the same class and weight, in order.
	serverClass struct {
		weight int
		// moveWeight and local are those of the servers.
		moveWeight int
		local      bool
		servers    []int32
		// ranking ranks the same servers, nil without a ranking. indexes maps a server's number
		// in the ranking to its index in Placement.servers.
		ranking *classRanking
		indexes []int32
	}

	// serverHash is a server and its hash for one object, without the dropped bits.
	serverHash struct {
		hash   uint64
		server int32
	}

	// candidateList is the servers of one class in order of distance from one object, nearest
	// first.
	candidateList struct {
		servers []serverHash
		// indexes maps the servers' numbers to server indexes if the numbers are those of a
		// ranking.
		indexes []int32
		// complete is set if servers holds all servers of the class.
		complete bool
		next     int
		// distance and server describe the next candidate, valid if hasNext is set.
		distance float64
		server   int32
		hasNext  bool
	}

	// assigner assigns the objects of a window to servers. A Placement uses one assigner for all
	// windows, so that nothing is allocated for each.
	assigner struct {
		placement *Placement
		// shortListLen is how many servers of a class are considered before all are.
		shortListLen int
		// group is the group of the window's objects, firstObject the index of its first object and
		// position that object's position in the order of assignment.
		group, firstObject, position int
		// excess is how many objects more than its share of all objects a server may get.
		excess int
		// candidates holds the lists of all classes for the first object of the window, then
		// those for the second, and so on.
		candidates []candidateList
		nearest    [windowSize]candidate
		// shortListExhausted is set once an object needed all servers of a class.
		shortListExhausted bool
	}

	candidate struct {
		distance float64
		server   int32
	}
)

func newAssigner(h *Placement, shortListLen int) *assigner {
	return &assigner{placement: h, shortListLen: shortListLen, candidates: make([]candidateList, windowSize*len(h.classes))}
}

// assign assigns servers to each object of the window that begins at a position. It goes through
// the pairs of object and server in order of distance, as far as the servers have capacity. When
// one server changes, every proxy recomputes the assignment of every object of the service while
// requests wait, so distances are computed only as far as they are needed: the nearest pair of
// all is the nearest among each object's next candidate.
func (d *assigner) assign(position int) (choices [windowSize][ChoicesPerObject]int32) {
	groups := len(d.placement.assignedByGroup)
	window := position / windowSize
	d.group, d.firstObject, d.position, d.excess = window%groups, window/groups*windowSize, position, 0
	for n := range windowSize {
		d.initCandidates(n)
		d.nearest[n] = d.takeNearest(n)
	}
	var assigned [windowSize]bool
	for left := windowSize; left > 0; {
		n := d.bestObject(&assigned)
		server := d.nearest[n].server
		if server < 0 {
			d.allowExcess(&assigned)
			continue
		}
		if d.hasCapacity(server) {
			d.placement.assigned[server]++
			d.placement.assignedByGroup[d.group][server]++
			choices[n][0] = server
			assigned[n] = true
			left--
			continue
		}
		d.nearest[n] = d.takeNearest(n)
	}
	for n := range windowSize {
		d.fillChoices(n, &choices[n])
	}
	return choices
}

// hasCapacity reports whether a server may get another object of the window. The urgent group avoids
// the servers of the other one, which does not depend on it.
func (d *assigner) hasCapacity(server int32) bool {
	h := d.placement
	if h.assignedByGroup[d.group][server] >= h.capacity(server, d.firstObject) {
		return false
	}
	return d.group == groupOthers || h.assigned[server] < h.capacity(server, d.position)+d.excess
}

// allowExcess lets servers get one object more than their share of all objects. It is called when
// an object found no server: the servers with capacity for another group's objects may have none
// left for this group. There is always a server with capacity for the group alone.
func (d *assigner) allowExcess(assigned *[windowSize]bool) {
	d.excess++
	for n := range windowSize {
		if !assigned[n] {
			d.rewindCandidates(n)
			d.nearest[n] = d.takeNearest(n)
		}
	}
}

// bestObject returns the unassigned object whose next candidate is nearest.
func (d *assigner) bestObject(assigned *[windowSize]bool) int {
	best := -1
	for n := range windowSize {
		if !assigned[n] && (best < 0 || compareCandidates(d.nearest[n], d.nearest[best]) < 0) {
			best = n
		}
	}
	return best
}

// fillChoices adds the nearest servers after an object's home server, which is set already; -1
// where there are no more.
func (d *assigner) fillChoices(n int, choices *[ChoicesPerObject]int32) {
	d.rewindCandidates(n)
	for i := 1; i < ChoicesPerObject; i++ {
		p := d.takeNearest(n)
		if p.server == choices[0] {
			p = d.takeNearest(n)
		}
		choices[i] = p.server
	}
}

func (d *assigner) candidatesOf(n int) []candidateList {
	classes := len(d.placement.classes)
	return d.candidates[n*classes : (n+1)*classes]
}

// initCandidates sets up an object's candidate lists with its nearest servers.
func (d *assigner) initCandidates(n int) {
	lists := d.candidatesOf(n)
	for i := range lists {
		c := &d.placement.classes[i]
		l := candidateList{}
		if c.ranking != nil && d.shortListLen <= shortListSize {
			l.servers, l.indexes = c.ranking.nearestTo(d.rankingIndex(n)), c.indexes
		} else {
			l.servers = d.placement.allServers(c, d.rankingIndex(n))
		}
		l.servers = l.servers[:min(d.shortListLen, len(l.servers))]
		l.complete = len(l.servers) == len(c.servers)
		lists[i] = l
		d.loadNext(n, i)
	}
}

// rankingIndex returns the number by which servers are ranked for object n of the window.
func (d *assigner) rankingIndex(n int) int { return rankingIndex(d.group, d.firstObject+n) }

func (d *assigner) rewindCandidates(n int) {
	lists := d.candidatesOf(n)
	for i := range lists {
		lists[i].next = 0
		d.loadNext(n, i)
	}
}

// takeNearest removes and returns an object's nearest remaining candidate; its server is -1 if
// there is none.
func (d *assigner) takeNearest(n int) candidate {
	lists := d.candidatesOf(n)
	best, from := candidate{server: -1}, -1
	for i := range lists {
		p := candidate{lists[i].distance, lists[i].server}
		if lists[i].hasNext && (from < 0 || compareCandidates(p, best) < 0) {
			best, from = p, i
		}
	}
	if from >= 0 {
		lists[from].next++
		d.loadNext(n, from)
	}
	return best
}

// loadNext computes the distance of the next server of a class. It loads all servers of the class
// once the short list is exhausted.
func (d *assigner) loadNext(n, class int) {
	l, c := &d.candidatesOf(n)[class], &d.placement.classes[class]
	if l.next == len(l.servers) && !l.complete {
		l.servers, l.indexes, l.complete = d.placement.allServers(c, d.rankingIndex(n)), nil, true
		d.shortListExhausted = true
	}
	l.hasNext = l.next < len(l.servers)
	if !l.hasNext {
		return
	}
	s := l.servers[l.next]
	l.distance, l.server = c.distance(s.hash), s.server
	if l.indexes != nil {
		l.server = l.indexes[s.server]
	}
}

// allServers returns all servers of a class, nearest to an object first. Among servers of one
// weight the nearest are those with the largest hashes.
func (h *Placement) allServers(c *serverClass, object int) []serverHash {
	list := make([]serverHash, 0, len(c.servers))
	for _, server := range c.servers {
		list = append(list, serverHash{hashPair(h.hashes[server], object) >> droppedHashBits, server})
	}
	slices.SortFunc(list, func(a, b serverHash) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.server, b.server))
	})
	return list
}

// capacity returns how many objects a server may hold at the end of a window before which the given
// number of objects were assigned: its share, by weight, of all objects assigned by then. It is
// rounded up, so that there is always room for each object.
func (h *Placement) capacity(server int32, objects int) int {
	return (h.servers[server].Weight*(objects+windowSize) + h.totalWeight - 1) / h.totalWeight
}

func compareCandidates(a, b candidate) int {
	if a.distance != b.distance {
		return cmp.Compare(a.distance, b.distance)
	}
	return cmp.Compare(a.server, b.server)
}

// distance returns the distance of a server of the class. Servers that get only moved objects are
// farther than all others.
func (c *serverClass) distance(hash uint64) float64 {
	if c.weight == 0 {
		return maxDistance + weightedDistance(hash, max(1, c.moveWeight))
	}
	return weightedDistance(hash, c.weight)
}

// weightedDistance turns a uniform hash, without the dropped bits, into a distance. The
// probability that a server has the smallest distance of all is proportional to its weight.
func weightedDistance(hash uint64, weight int) float64 {
	uniform := (float64(hash) + 1) / (1 << (64 - droppedHashBits))
	return -math.Log(uniform) / float64(weight)
}
