package placing

import (
	"cmp"
	"math"
	"slices"
)

type (
	// serverClass are the servers of one class and weight, in order.
	serverClass struct {
		weight  int
		servers []int32
		// ranking are the same servers in a ranking, nil without one; indexes tells
		// their places in Homes by their numbers there.
		ranking *classRanking
		indexes []int32
	}

	// serverHash is a server with its hash for one object, without the spare bits.
	serverHash struct {
		hash   uint64
		server int32
	}

	// candidateList is the servers of one class for one object, the nearest first.
	candidateList struct {
		servers []serverHash
		// indexes translates the servers' numbers, if they are a ranking's.
		indexes []int32
		// complete is set if all servers of the class are there.
		complete bool
		next     int
		// distance and server are those of the next one, if there is one.
		distance float64
		server   int32
		hasNext  bool
	}

	// assigner deals the objects of a window out. One serves all windows of Homes, so
	// that nothing is allocated for each.
	assigner struct {
		placement *Placement
		// shortListLen is how many servers of a class are looked at before all are.
		shortListLen int
		firstObject  int
		// candidates are the classes' for each object of the window, after each other.
		candidates []candidateList
		nearest    [windowSize]candidate
		// shortListExhausted is set if some object had all servers of a class looked at.
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

// assign gives each object of the window from first on its servers: among the pairs of
// object and server the best come first, as far as the servers have room. A change of
// one server has every object of the service dealt out anew at every proxy while
// requests wait, so pairs are weighed only as far as they are needed: the best pair of
// all objects is the best of each object's next one.
func (d *assigner) assign(firstObject int) (choices [windowSize][ChoicesPerObject]int32) {
	d.firstObject = firstObject
	for n := range windowSize {
		d.initCandidates(n)
		d.nearest[n] = d.takeNearest(n)
	}
	var assigned [windowSize]bool
	for left := windowSize; left > 0; {
		n := d.bestObject(&assigned)
		server := d.nearest[n].server
		if d.placement.assigned[server] < d.placement.capacity(server, firstObject) {
			d.placement.assigned[server]++
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

// bestObject is the object that is left with the best next pair.
func (d *assigner) bestObject(assigned *[windowSize]bool) int {
	best := -1
	for n := range windowSize {
		if !assigned[n] && (best < 0 || compareCandidates(d.nearest[n], d.nearest[best]) < 0) {
			best = n
		}
	}
	return best
}

// fillChoices names the nearest servers beside an object's home, which is there already; -1
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

// initCandidates lines the nearest servers of an object up.
func (d *assigner) initCandidates(n int) {
	lists := d.candidatesOf(n)
	for i := range lists {
		c := &d.placement.classes[i]
		l := candidateList{}
		if c.ranking != nil && d.shortListLen <= shortListSize {
			l.servers, l.indexes = c.ranking.nearestTo(d.firstObject+n), c.indexes
		} else {
			l.servers = d.placement.allServers(c, d.firstObject+n)
		}
		l.servers = l.servers[:min(d.shortListLen, len(l.servers))]
		l.complete = len(l.servers) == len(c.servers)
		lists[i] = l
		d.loadNext(n, i)
	}
}

func (d *assigner) rewindCandidates(n int) {
	lists := d.candidatesOf(n)
	for i := range lists {
		lists[i].next = 0
		d.loadNext(n, i)
	}
}

// takeNearest takes an object's nearest server that is left; -1 if there is none.
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

// loadNext reckons the distance of the next server of a class, and lines all of the class
// up where those at hand don't suffice.
func (d *assigner) loadNext(n, class int) {
	l, c := &d.candidatesOf(n)[class], &d.placement.classes[class]
	if l.next == len(l.servers) && !l.complete {
		l.servers, l.indexes, l.complete = d.placement.allServers(c, d.firstObject+n), nil, true
		d.shortListExhausted = true
	}
	l.hasNext = l.next < len(l.servers)
	if !l.hasNext {
		return
	}
	s := l.servers[l.next]
	l.distance, l.server = weightedDistance(s.hash, c.weight), s.server
	if l.indexes != nil {
		l.server = l.indexes[s.server]
	}
}

// allServers lists all servers of a class, the nearest to an object first: among servers of
// one weight these are those with the largest hashes.
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

// capacity is how many objects a server may have at the end of a window: its share of all
// that are dealt out by then, rounded up, so that there is always room for each.
func (h *Placement) capacity(server int32, firstObject int) int {
	return (h.servers[server].Weight*(firstObject+windowSize) + h.totalWeight - 1) / h.totalWeight
}

func compareCandidates(a, b candidate) int {
	if a.distance != b.distance {
		return cmp.Compare(a.distance, b.distance)
	}
	return cmp.Compare(a.server, b.server)
}

// weightedDistance turns a uniform hash, without its spare bits, into a distance that is the
// least of all with a probability proportional to the weight.
func weightedDistance(hash uint64, weight int) float64 {
	uniform := (float64(hash) + 1) / (1 << (64 - droppedHashBits))
	return -math.Log(uniform) / float64(weight)
}
