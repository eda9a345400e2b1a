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
		// ranked are the same servers in a ranking, nil without one; indexes tells
		// their places in Homes by their numbers there.
		ranked  *classRanking
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
		// whole is set if all servers of the class are there.
		whole bool
		at    int
		// distance and server are those of the next one, if there is one.
		distance float64
		server   int32
		left     bool
	}

	// assigner deals the objects of a window out. One serves all windows of Homes, so
	// that nothing is allocated for each.
	assigner struct {
		homes *Placement
		// short is how many servers of a class are looked at before all are.
		short int
		first int
		// lines are the classes' for each object of the window, after each other.
		lines []candidateList
		heads [window]candidate
		// fellShort is set if some object had all servers of a class looked at.
		fellShort bool
	}

	candidate struct {
		distance float64
		server   int32
	}
)

func newAssigner(h *Placement, short int) *assigner {
	return &assigner{homes: h, short: short, lines: make([]candidateList, window*len(h.classes))}
}

// deal gives each object of the window from first on its servers: among the pairs of
// object and server the best come first, as far as the servers have room. A change of
// one server has every object of the service dealt out anew at every proxy while
// requests wait, so pairs are weighed only as far as they are needed: the best pair of
// all objects is the best of each object's next one.
func (d *assigner) deal(first int) (homes [window][ChoicesPerObject]int32) {
	d.first = first
	for n := range window {
		d.begin(n)
		d.heads[n] = d.next(n)
	}
	var dealt [window]bool
	for left := window; left > 0; {
		n := d.best(&dealt)
		server := d.heads[n].server
		if d.homes.taken[server] < d.homes.room(server, first) {
			d.homes.taken[server]++
			homes[n][0] = server
			dealt[n] = true
			left--
			continue
		}
		d.heads[n] = d.next(n)
	}
	for n := range window {
		d.fill(n, &homes[n])
	}
	return homes
}

// best is the object that is left with the best next pair.
func (d *assigner) best(dealt *[window]bool) int {
	best := -1
	for n := range window {
		if !dealt[n] && (best < 0 || comparePairs(d.heads[n], d.heads[best]) < 0) {
			best = n
		}
	}
	return best
}

// fill names the nearest servers beside an object's home, which is there already; -1
// where there are no more.
func (d *assigner) fill(n int, choices *[ChoicesPerObject]int32) {
	d.restart(n)
	for i := 1; i < ChoicesPerObject; i++ {
		p := d.next(n)
		if p.server == choices[0] {
			p = d.next(n)
		}
		choices[i] = p.server
	}
}

func (d *assigner) linesOf(n int) []candidateList {
	classes := len(d.homes.classes)
	return d.lines[n*classes : (n+1)*classes]
}

// begin lines the nearest servers of an object up.
func (d *assigner) begin(n int) {
	lines := d.linesOf(n)
	for i := range lines {
		c := &d.homes.classes[i]
		l := candidateList{}
		if c.ranked != nil && d.short <= shortList {
			l.servers, l.indexes = c.ranked.of(d.first+n), c.indexes
		} else {
			l.servers = d.homes.all(c, d.first+n)
		}
		l.servers = l.servers[:min(d.short, len(l.servers))]
		l.whole = len(l.servers) == len(c.servers)
		lines[i] = l
		d.weigh(n, i)
	}
}

func (d *assigner) restart(n int) {
	lines := d.linesOf(n)
	for i := range lines {
		lines[i].at = 0
		d.weigh(n, i)
	}
}

// next takes an object's nearest server that is left; -1 if there is none.
func (d *assigner) next(n int) candidate {
	lines := d.linesOf(n)
	best, from := candidate{server: -1}, -1
	for i := range lines {
		p := candidate{lines[i].distance, lines[i].server}
		if lines[i].left && (from < 0 || comparePairs(p, best) < 0) {
			best, from = p, i
		}
	}
	if from >= 0 {
		lines[from].at++
		d.weigh(n, from)
	}
	return best
}

// weigh reckons the distance of the next server of a class, and lines all of the class
// up where those at hand don't suffice.
func (d *assigner) weigh(n, class int) {
	l, c := &d.linesOf(n)[class], &d.homes.classes[class]
	if l.at == len(l.servers) && !l.whole {
		l.servers, l.indexes, l.whole = d.homes.all(c, d.first+n), nil, true
		d.fellShort = true
	}
	l.left = l.at < len(l.servers)
	if !l.left {
		return
	}
	s := l.servers[l.at]
	l.distance, l.server = weigh(s.hash, c.weight), s.server
	if l.indexes != nil {
		l.server = l.indexes[s.server]
	}
}

// all lists all servers of a class, the nearest to an object first: among servers of
// one weight these are those with the largest hashes.
func (h *Placement) all(c *serverClass, object int) []serverHash {
	list := make([]serverHash, 0, len(c.servers))
	for _, server := range c.servers {
		list = append(list, serverHash{mix(h.hashes[server], object) >> hashSpare, server})
	}
	slices.SortFunc(list, func(a, b serverHash) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.server, b.server))
	})
	return list
}

// room is how many objects a server may have at the end of a window: its share of all
// that are dealt out by then, rounded up, so that there is always room for each.
func (h *Placement) room(server int32, first int) int {
	return (h.servers[server].Weight*(first+window) + h.weight - 1) / h.weight
}

func comparePairs(a, b candidate) int {
	if a.distance != b.distance {
		return cmp.Compare(a.distance, b.distance)
	}
	return cmp.Compare(a.server, b.server)
}

// weigh turns a uniform hash, without its spare bits, into a distance that is the
// least of all with a probability proportional to the weight.
func weigh(hash uint64, weight int) float64 {
	uniform := (float64(hash) + 1) / (1 << (64 - hashSpare))
	return -math.Log(uniform) / float64(weight)
}
