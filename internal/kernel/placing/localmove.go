package placing

import (
	"math"
)

const (
	// goldenSection is a number whose multiples, modulo 1, are spread evenly.
	goldenSection = 0.6180339887498949
)

type (
	// localMove moves some objects of a placement into the region of the callers or out of it, so
	// that it holds another share of them than by the weights of the servers. No other objects
	// move. With changed weights instead, four times as many objects changed their region as a
	// share changed by 0.05, because each object that finds its server full displaces others.
	localMove struct {
		// part is the part of the objects on one side that moves to the other side. inward is set
		// if they move into the region.
		part   float64
		inward bool
		// weight is the total MoveWeight of the servers on the side that objects move to.
		weight int
		// assigned counts the objects that each of these servers would have if all objects moved,
		// assignedByGroup those of each group. New homes don't depend on how many objects move.
		assigned        []int
		assignedByGroup [][]int
		// seen counts the objects that may move to or from each local server, by group.
		seen [][]int
	}
)

// LocalShare returns the share of the objects that the weights of the servers give the local ones.
func (h *Placement) LocalShare() float64 {
	local := 0
	for _, s := range h.servers {
		if s.Local {
			local += s.Weight
		}
	}
	return float64(local) / float64(max(1, h.totalWeight))
}

// SetLocalShare changes the share of the objects whose homes are local, if there are servers that
// they can move to. It must be called before the first call of ServersFor.
func (h *Placement) SetLocalShare(share float64) {
	before := h.LocalShare()
	m := &localMove{inward: share > before, assigned: make([]int, len(h.servers))}
	if m.inward {
		m.part = (share - before) / (1 - before)
	} else {
		m.part = (before - share) / before
	}
	for _, s := range h.servers {
		if s.Local == m.inward {
			m.weight += s.MoveWeight
		}
	}
	if m.weight == 0 || share == before {
		return
	}
	for range h.assignedByGroup {
		m.assignedByGroup = append(m.assignedByGroup, make([]int, len(h.servers)))
		m.seen = append(m.seen, make([]int, len(h.servers)))
	}
	h.move = m
}

// moveObjects moves objects of the assigner's window.
func (d *assigner) moveObjects(choices *[windowSize][ChoicesPerObject]int32) {
	m, h := d.placement.move, d.placement
	for n := range windowSize {
		if home := choices[n][0]; h.servers[home].Local == m.inward {
			m.add(d.group, home)
		}
	}
	for n := range windowSize {
		previous := choices[n][0]
		if h.servers[previous].Local == m.inward {
			continue
		}
		home := d.newHome(n)
		m.add(d.group, home)
		local := previous
		if m.inward {
			local = home
		}
		if !m.moves(d.group, local, h.hashes[local]) {
			continue
		}
		moved := [ChoicesPerObject]int32{home, -1, -1}
		i := 1
		for _, server := range choices[n] {
			if i < ChoicesPerObject && server != home {
				moved[i] = server
				i++
			}
		}
		choices[n] = moved
	}
}

// moves reports whether an object moves, given the local server that it moves to or from. Of the
// objects of each server and group the same part moves. A larger part moves the same objects and
// some more.
func (m *localMove) moves(group int, local int32, hash uint64) bool {
	m.seen[group][local]++
	_, x := math.Modf(goldenSection*float64(m.seen[group][local]) + float64(hash>>droppedHashBits)/(1<<(64-droppedHashBits)))
	return x < m.part
}

// newHome returns the nearest server on the side that objects move to that has capacity.
func (d *assigner) newHome(n int) int32 {
	m := d.placement.move
	for excess := 0; ; excess++ {
		d.rewindCandidates(n)
		for i, lists := 0, d.candidatesOf(n); i < len(lists); i++ {
			lists[i].hasNext = lists[i].hasNext && d.placement.classes[i].local == m.inward
		}
		for p := d.takeNearest(n); p.server >= 0; p = d.takeNearest(n) {
			weight := d.placement.servers[p.server].MoveWeight
			if weight > 0 && m.assignedByGroup[d.group][p.server] < m.capacity(weight, d.firstObject)+excess && (d.group == groupOthers || m.assigned[p.server] < m.capacity(weight, d.position)+excess) {
				return p.server
			}
		}
	}
}

// capacity is Placement.capacity if all objects move to one side.
func (m *localMove) capacity(weight, objects int) int {
	return (weight*(objects+windowSize) + m.weight - 1) / m.weight
}

func (m *localMove) add(group int, server int32) {
	m.assigned[server]++
	m.assignedByGroup[group][server]++
}
