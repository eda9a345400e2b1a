package placing

import (
	"fmt"
	"math"
	"testing"
)

// localHomes returns the homes of the first objects of two groups, from callers of a region with a
// ninth of the servers, at a local share.
func localHomes(share float64) (homes []Server) {
	const objects = 5 * windowSize
	rooms := []RegionCapacity{{"few", 27, 1, 0}, {"many", 102, 1, 0}, {"more", 105, 1, 0}}
	weights := RegionWeights(rooms, "few", MaxLoadFactor)
	byID := make(map[string]Server)
	var list []Server
	for _, r := range rooms {
		for i := range r.Slots / 3 {
			s := Server{ID: fmt.Sprint(r.Region, "-", i), Weight: 3 * weights[r.Region], Class: r.Region, Local: r.Region == "few", MoveWeight: 3 * weights[r.Region]}
			byID[s.ID] = s
			list = append(list, s)
		}
	}
	h := NewPlacement(list, nil, urgentAndOthers)
	if share >= 0 {
		h.SetLocalShare(share)
	}
	for _, route := range []string{"urgent", "batch"} {
		for n := range objects {
			homes = append(homes, byID[h.ServersFor(Object{route, fmt.Sprintf("%x", n)})[0]])
		}
	}
	return homes
}

// A change of a route's local share must move as many objects to other regions as it says. When the
// weights of the servers were changed instead, a step of 0.05 moved up to 0.24 of the objects,
// because each object that finds its server full displaces others.
func TestLocalShareMovesNoOtherObjects(t *testing.T) {
	const step = 0.05
	base := localHomes(-1)
	uniform := 0.0
	for _, s := range base {
		if s.Local {
			uniform += 1 / float64(len(base))
		}
	}
	previous := localHomes(0)
	for share := step; share <= 1; share += step {
		homes := localHomes(share)
		local, crossed, moved := 0.0, 0.0, 0.0
		for i, s := range homes {
			if s.Local {
				local += 1 / float64(len(homes))
			}
			if s.Class != previous[i].Class {
				crossed += 1 / float64(len(homes))
			}
			if s.ID != previous[i].ID {
				moved += 1 / float64(len(homes))
			}
			if math.Abs(share-uniform) > 0.05 && s.ID != base[i].ID && s.Local != (share > uniform) {
				t.Errorf("share %.2f: object %d moved from %s to %s, want only moves in one direction", share, i, base[i].ID, s.ID)
			}
		}
		if math.Abs(local-share) > 0.04 {
			t.Errorf("%.2f of the objects are local, want %.2f", local, share)
		}
		if crossed > step+0.03 || moved > step+0.03 {
			t.Errorf("a step from %.2f to %.2f moves %.2f of the objects to other regions and %.2f to other servers, want at most %.2f", share-step, share, crossed, moved, step+0.03)
		}
		previous = homes
	}
}

// The objects that move must be spread evenly over the servers, or some of them would get twice
// their share and have queues.
func TestMovedObjectsAreSpreadEvenly(t *testing.T) {
	for _, share := range []float64{0, 0.25, 0.5, 0.75, 1} {
		count, local, remote := make(map[string]int), 0, 0
		for _, s := range localHomes(share)[:5*windowSize] {
			count[s.ID]++
			if s.Local {
				local++
			} else {
				remote++
			}
		}
		for id, got := range count {
			mean := float64(remote) / 69
			if id[:4] == "few-" {
				mean = float64(local) / 9
			}
			if float64(got) > mean+2.5 {
				t.Errorf("local share %.2f: %s is the home of %d objects, the mean is %.1f", share, id, got, mean)
			}
		}
	}
}

// Without servers on one side there is nowhere to move objects to.
func TestLocalShareNeedsServersOnBothSides(t *testing.T) {
	list := servers(2)
	list[0].MoveWeight, list[1].MoveWeight = 1, 1
	h := NewPlacement(list, nil, nil)
	h.SetLocalShare(1)
	if got := h.ServersFor(Object{Name: "1"}); len(got) != 2 {
		t.Errorf("no local servers: got %v, want both servers", got)
	}
	list[0].Local = true
	h = NewPlacement(list, nil, nil)
	h.SetLocalShare(1)
	if got := h.ServersFor(Object{Name: "1"}); len(got) != 2 || got[0] != list[0].ID {
		t.Errorf("one local server: got %v, want %s first", got, list[0].ID)
	}
}

// Objects that leave a region must go to the others in proportion to their spare capacity at any
// size of the fleet. With 200,000 slots, all weights were rounded to equal ones.
func TestSpareWeightsFollowSpareCapacity(t *testing.T) {
	for _, scale := range []int{1, 10_000} {
		rooms := []RegionCapacity{{"few", scale, 1, 0}, {"full", 9 * scale, 1.2, 0}, {"idle", 10 * scale, 0.2, 0}}
		got := SpareWeights(rooms, "few", MaxLoadFactor)
		// As shares of all requests; the weights are per slot.
		spareOfFull, spareOfIdle := MaxLoadFactor*9/20-1.2/2.4, MaxLoadFactor*10/20-0.2/2.4
		want := spareOfFull / 9 / (spareOfIdle / 10)
		if ratio := float64(got["full"]) / float64(got["idle"]); len(got) != 2 || math.Abs(ratio-want) > 0.001 {
			t.Errorf("scale %d: got weights %v with ratio %.4f, want %.4f", scale, got, ratio, want)
		}
		if weights := SpareWeights(rooms[:2], "few", 0); weights["full"] != 1 {
			t.Errorf("scale %d: without spare capacity, got weights %v, want 1", scale, weights)
		}
	}
}

// Servers may have no weight, but a weight for objects that move to them. Without any that have
// one, there are no homes; the division by their sum caused a panic.
func TestPlacementWithoutWeights(t *testing.T) {
	h := NewPlacement([]Server{{ID: "a", Local: true, MoveWeight: 1}}, nil, nil)
	h.SetLocalShare(1)
	if got := h.ServersFor(Object{Name: "1"}); got != nil {
		t.Errorf("got %v, want none", got)
	}
}
