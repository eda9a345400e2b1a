package placing

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"testing"
)

const (
	// singleRouteHomes is the digest of the choices that services with one sticky route had before
	// objects belonged to routes.
	singleRouteHomes = 0x86046c2819d117ae
)

var (
	urgentAndOthers = NewRouteGroups(map[string]int{"urgent": 0, "usual": 1, "also-usual": 1, "batch": 5})
)

// countHomes returns how many of a route's objects from first to before end each server is home of.
func countHomes(h *Placement, route string, first, end int) map[string]int {
	count := make(map[string]int)
	for n := first; n < end; n++ {
		count[h.ServersFor(Object{route, fmt.Sprintf("%x", n)})[0]]++
	}
	return count
}

// Deployments with one sticky route per service must keep their homes when proxies are upgraded:
// each object whose home differs between old and new proxies runs cold on two servers.
func TestSingleRouteKeepsItsHomes(t *testing.T) {
	list := servers(50)
	for i := range list {
		list[i].Weight = 1 + i%5*i%7
	}
	for _, g := range []*RouteGroups{nil, NewRouteGroups(map[string]int{"route": 2})} {
		h := NewPlacement(list, nil, g)
		sum := fnv.New64a()
		for n := range objectIndexCount {
			_, _ = fmt.Fprintln(sum, h.ServersFor(Object{"route", fmt.Sprintf("%x", n)}))
		}
		if got := sum.Sum64(); got != singleRouteHomes {
			t.Errorf("groups %v: digest of the choices is %x, want %x", g, got, uint64(singleRouteHomes))
		}
	}
}

// The server that was home of an urgent object was also home of the equally named object of a less
// urgent route with five times the work, and urgent requests waited behind it.
func TestPrioritiesHaveHomesOnDifferentServers(t *testing.T) {
	r := NewRanking()
	list := servers(78)
	r.Update(list)
	h := NewPlacement(list, r, urgentAndOthers)
	count := make(map[string]int)
	for _, route := range []string{"urgent", "batch"} {
		for id, n := range countHomes(h, route, 0, windowSize) {
			if count[id] += n; count[id] > 1 {
				t.Errorf("%s is the home of %d objects, want at most one: 48 objects have 78 servers", id, count[id])
			}
		}
	}
	usual, sameGroup := Object{"usual", "f"}, Object{"also-usual", "f"}
	if a, b := h.ServersFor(usual), h.ServersFor(sameGroup); !slices.Equal(a, b) {
		t.Errorf("routes that are not urgent have homes %v and %v, want the same", a, b)
	}
	if a, b := r.Nearest("", urgentAndOthers, usual), r.Nearest("", urgentAndOthers, Object{"urgent", "f"}); slices.Equal(a, b) {
		t.Errorf("equally named objects, one of them urgent, have the same replicas %v, want different ones", a)
	}
}

// With fewer servers than objects, the servers must share the objects of each route and of all
// routes evenly. If only the sum were balanced, a server could be home of twice its share of the
// most urgent route.
func TestEachRouteIsSpreadEvenly(t *testing.T) {
	for n := 1; n <= 80; n++ {
		list := servers(n)
		h := NewPlacement(list, nil, urgentAndOthers)
		for end := windowSize; end <= 4*windowSize; end += windowSize {
			total := make(map[string]int)
			for _, route := range []string{"urgent", "batch"} {
				for id, got := range countHomes(h, route, 0, end) {
					total[id] += got
					if most := (end + n - 1) / n; got > most {
						t.Errorf("%d servers: %s is the home of %d of the first %d objects of %s, want at most %d", n, id, got, end, route, most)
					}
				}
			}
			for id, got := range total {
				if most := (2*end+n-1)/n + 1; got > most {
					t.Errorf("%d servers: %s is the home of %d of the first %d objects of both routes, want at most %d", n, id, got, end, most)
				}
			}
		}
	}
}

// A proxy that has seen servers join and leave must choose the same servers as one that has just
// started, for every group and in whichever order the objects are requested.
func TestGroupsDoNotDependOnHistory(t *testing.T) {
	list := servers(40)
	r := NewRanking()
	r.Update(list[:30])
	NewPlacement(list[:30], r, urgentAndOthers).ServersFor(Object{"batch", "50"})
	r.Update(list[5:])
	again := NewRouteGroups(map[string]int{"batch": 9, "also-usual": 3, "usual": 3, "urgent": 0})
	ranked, plain := NewPlacement(list[5:], r, urgentAndOthers), NewPlacement(list[5:], nil, again)
	for n := 4 * windowSize; n >= 0; n-- {
		for _, route := range []string{"batch", "urgent", "usual"} {
			o := Object{route, fmt.Sprintf("%x", n)}
			if got, want := ranked.ServersFor(o), plain.ServersFor(o); !slices.Equal(got, want) {
				t.Fatalf("%v: got %v, want %v", o, got, want)
			}
		}
	}
	if !urgentAndOthers.Equal(again) || urgentAndOthers.Equal(nil) {
		t.Error("groups are compared by priority values, want by which routes are urgent")
	}
}

// When an operator adds or removes a route of any priority, the objects of all other routes must
// stay where they are. Groups that followed from all priorities of a service moved up to six tenths
// of the requests of a region to other regions at once.
func TestOtherRoutesDoNotMoveHomes(t *testing.T) {
	list := servers(40)
	all := map[string]int{"urgent": 0, "usual": 1, "batch": 5}
	h := NewPlacement(list, nil, NewRouteGroups(all))
	for removed := range all {
		rest := maps.Clone(all)
		delete(rest, removed)
		other := NewPlacement(list, nil, NewRouteGroups(rest))
		for route := range rest {
			for n := range 4 * windowSize {
				o := Object{route, fmt.Sprintf("%x", n)}
				if got, want := other.ServersFor(o), h.ServersFor(o); !slices.Equal(got, want) {
					t.Fatalf("%v without route %s: got %v, want %v", o, removed, got, want)
				}
			}
		}
	}
}
