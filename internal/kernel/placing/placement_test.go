package placing

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"testing"
)

func servers(n int) []Server {
	list := make([]Server, n)
	for i := range list {
		list[i] = Server{ID: fmt.Sprintf("server-%d", i), Weight: 4}
	}
	return list
}

// Objects with consecutive numbers must be spread evenly. When two dozen objects were placed by a
// plain hash, one of twelve servers got twice the mean; its callers waited while other servers
// were idle.
func TestDenselyNumberedObjectsAreSpreadEvenly(t *testing.T) {
	h := NewPlacement(servers(12), nil, nil)
	for first := 0; first < 72; first += 24 {
		count := make(map[string]int)
		for n := first; n < first+24; n++ {
			count[h.ServersFor(Object{Name: strconv.FormatInt(int64(n), 16)})[0]]++
		}
		for id, got := range count {
			if got > 3 {
				t.Errorf("objects %d to %d: %s is the home of %d, want at most 3", first, first+23, id, got)
			}
		}
		if len(count) < 11 {
			t.Errorf("objects %d to %d are on %d servers, want at least 11", first, first+23, len(count))
		}
	}
}

// Two proxies learn of the servers in different orders. If they chose different servers, each
// object would run cold on two of them.
func TestPlacementDoesNotDependOnServerOrder(t *testing.T) {
	list := servers(12)
	a := NewPlacement(list, nil, nil)
	slices.Reverse(list)
	b := NewPlacement(list, nil, nil)
	for n := range 200 {
		object := strconv.FormatInt(int64(n), 16)
		if got, want := b.ServersFor(Object{Name: object}), a.ServersFor(Object{Name: object}); !slices.Equal(got, want) {
			t.Fatalf("object %s: got %v, want %v", object, got, want)
		}
	}
	if got, want := a.ServersFor(Object{Name: "7"}), b.ServersFor(Object{Name: "7"}); !slices.Equal(got, want) {
		t.Errorf("object 7, placed early: got %v, want %v", got, want)
	}
}

// When a server leaves, only its objects should move. If most others moved too, the whole service
// would be cold at once.
func TestFewObjectsMoveWhenAServerLeaves(t *testing.T) {
	list := servers(12)
	before := NewPlacement(list, nil, nil)
	after := NewPlacement(list[:11], nil, nil)
	moved, lost := 0, 0
	for n := range 72 {
		object := strconv.FormatInt(int64(n), 16)
		was, is := before.ServersFor(Object{Name: object})[0], after.ServersFor(Object{Name: object})[0]
		switch {
		case was == list[11].ID:
			lost++
		case was != is:
			moved++
		}
	}
	if moved > 72/3 {
		t.Errorf("%d objects of other servers moved, want at most a third of 72 (%d were on the server that left)", moved, lost)
	}
}

// assignAllPairs is the reference implementation of assigner.assign: it sorts all pairs of object
// and server by distance.
func assignAllPairs(h *Placement, firstObject int) (placed [windowSize][ChoicesPerObject]int32) {
	type objectCandidate struct {
		candidate
		object int
	}
	var list []objectCandidate
	for n := range windowSize {
		placed[n] = [ChoicesPerObject]int32{-1, -1, -1}
		for i, s := range h.servers {
			list = append(list, objectCandidate{candidate{weightedDistance(hashPair(h.hashes[i], firstObject+n)>>droppedHashBits, s.Weight), int32(i)}, n})
		}
	}
	slices.SortFunc(list, func(a, b objectCandidate) int {
		return cmp.Or(compareCandidates(a.candidate, b.candidate), cmp.Compare(a.object, b.object))
	})
	assigned := make(map[int32]int)
	for _, p := range list {
		if placed[p.object][0] < 0 && h.assigned[p.server]+assigned[p.server] < h.capacity(p.server, firstObject) {
			placed[p.object][0] = p.server
			assigned[p.server]++
		}
	}
	for _, p := range list {
		choices := &placed[p.object]
		if i := slices.Index(choices[:], -1); i > 0 && !slices.Contains(choices[:i], p.server) {
			choices[i] = p.server
		}
	}
	return placed
}

// Considering only each object's nearest servers must give the same result as considering every
// pair of object and server, also where the nearest servers are full. Computing all pairs took
// seconds on a small VM for a service with a thousand servers, and each registration triggers it,
// so that changes took effect late.
func TestShortListGivesSamePlacementAsAllPairs(t *testing.T) {
	shortListExhausted := false
	for n := 1; n <= 60; n += 7 {
		list := servers(n)
		for i := range list {
			list[i].Weight = 1 + i%5*i%7
		}
		h, shortListOfTwo := NewPlacement(list, nil, nil), NewPlacement(list, nil, nil)
		shortListOfTwo.assigner = newAssigner(shortListOfTwo, 2)
		for first := 0; first < 10*windowSize; first += windowSize {
			want := assignAllPairs(h, first)
			if slices.ContainsFunc(want[:], func(c [ChoicesPerObject]int32) bool { return c[0] < 0 }) {
				t.Fatalf("%d servers, objects from %d: not all have a home server", n, first)
			}
			h.placeWindow(first)
			shortListOfTwo.placeWindow(first)
			for i := range want {
				if got := h.choices[first+i]; got != want[i] {
					t.Fatalf("%d servers, object %d: servers are %v, want %v", n, first+i, got, want[i])
				}
				if got := shortListOfTwo.choices[first+i]; got != want[i] {
					t.Fatalf("%d servers, object %d, short list of two: servers are %v, want %v", n, first+i, got, want[i])
				}
			}
		}
		shortListExhausted = shortListExhausted || shortListOfTwo.assigner.shortListExhausted
	}
	if !shortListExhausted {
		t.Error("a short list of two always sufficed, so the test does not cover an exhausted short list")
	}
}

func TestServersGetObjectsByWeight(t *testing.T) {
	h := NewPlacement([]Server{{ID: "large", Weight: 30}, {ID: "small", Weight: 10}}, nil, nil)
	count := make(map[string]int)
	for n := range 3 * windowSize {
		count[h.ServersFor(Object{Name: strconv.FormatInt(int64(n), 16)})[0]]++
	}
	if got, want := count["large"], 54; got != want {
		t.Errorf("the server with three quarters of the weight is the home of %d, want %d", got, want)
	}
}

func TestObjectIndex(t *testing.T) {
	for _, c := range []struct {
		object string
		want   int
	}{{"0", 0}, {"1b", 27}, {"1B", 27}, {"fff", 4095}} {
		if got := ObjectIndex(c.object); got != c.want {
			t.Errorf("ObjectIndex(%q) = %d, want %d", c.object, got, c.want)
		}
	}
	for _, object := range []string{"", "order-17", "ffffffff", "-1"} {
		if got := ObjectIndex(object); got < 0 || got >= objectIndexCount {
			t.Errorf("ObjectIndex(%q) = %d, want within %d", object, got, objectIndexCount)
		}
	}
	if got := NewPlacement(nil, nil, nil).ServersFor(Object{Name: "1"}); got != nil {
		t.Errorf("placement without servers: got %v, want none", got)
	}
}

func ExamplePlacement() {
	h := NewPlacement([]Server{{ID: "a", Weight: 1}, {ID: "b", Weight: 1}}, nil, nil)
	fmt.Println(len(h.ServersFor(Object{Name: "1f"})))
	// Output: 2
}

// One region has a sixth of the servers and a third of the callers. If all its callers' objects
// were placed there, its servers would queue while those of other regions were idle; if the
// region were ignored, two thirds of all requests would cross regions.
func TestRegionWeightsKeepObjectsLocalWithinCapacity(t *testing.T) {
	rooms := []RegionCapacity{{"few", 8, 1, 0}, {"some", 16, 1, 0}, {"many", 24, 1, 0}}
	share := func(from string) map[string]float64 {
		weights := RegionWeights(rooms, from, MaxLoadFactor)
		total := 0.0
		of := make(map[string]float64)
		for _, r := range rooms {
			of[r.Region] = float64(weights[r.Region] * r.Slots)
			total += of[r.Region]
		}
		for region := range of {
			of[region] /= total
		}
		return of
	}
	if got := share("many")["many"]; got != 1 {
		t.Errorf("the region with spare capacity keeps %.2f of its objects, want all", got)
	}
	few := share("few")
	if want := MaxLoadFactor * 8 / 48 * 3; few["few"] < want-0.01 || few["few"] > want+0.01 {
		t.Errorf("the region short of capacity keeps %.2f, want %.2f", few["few"], want)
	}
	if few["many"] <= few["some"] {
		t.Errorf("%.2f go to the region with most spare capacity and %.2f to the other, want more in the first", few["many"], few["some"])
	}
}

// A region must not take its share of all objects in addition to the requests that can only run
// there.
func TestRegionWeightsReserveCapacityForPinnedRequests(t *testing.T) {
	rooms := []RegionCapacity{{"few", 8, 1, 0.1}, {"some", 16, 1, 0}, {"many", 24, 1, 0}}
	load := make(map[string]float64)
	for _, from := range rooms {
		weights, total := RegionWeights(rooms, from.Region, MaxLoadFactor), 0.0
		for _, r := range rooms {
			total += float64(weights[r.Region] * r.Slots)
		}
		for _, r := range rooms {
			load[r.Region] += float64(weights[r.Region]*r.Slots) / total * 0.9 / 3
		}
	}
	load["few"] += 0.1
	for _, r := range rooms {
		if most := MaxLoadFactor * float64(r.Slots) / 48; load[r.Region] > most+0.01 {
			t.Errorf("%s has %.2f of all requests, want at most %.2f", r.Region, load[r.Region], most)
		}
	}
	alone := []RegionCapacity{{"few", 8, 1, 0.9}, {"none", 0, 1, 0}}
	if got := RegionWeights(alone, "few", MaxLoadFactor); got["few"] == 0 {
		t.Error("the only region with servers has weight 0, want its objects there although it has no spare capacity")
	}
}

func TestRegionWeightsWithoutServersOrOwnRegion(t *testing.T) {
	if got := RegionWeights([]RegionCapacity{{"a", 0, 1, 0}}, "a", MaxLoadFactor); len(got) != 0 {
		t.Errorf("no slots: got %v, want none", got)
	}
	got := RegionWeights([]RegionCapacity{{"a", 4, 1, 0}, {"b", 8, 1, 0}}, "elsewhere", MaxLoadFactor)
	if got["a"] == 0 || got["a"] != got["b"] {
		t.Errorf("callers of another region: got %v, want equal weights", got)
	}
}

func BenchmarkServersFor(b *testing.B) {
	h := NewPlacement(servers(138), nil, nil)
	h.ServersFor(Object{Name: "fff"})
	b.ReportAllocs()
	for b.Loop() {
		h.ServersFor(Object{Name: "1b"})
	}
}
