package placing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// Servers join and leave, some under an ID that was used before. A proxy that has seen all the
// changes and one that has just started must choose the same servers, or every object would run
// cold on two of them.
func TestPlacementDoesNotDependOnRankingHistory(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	regions := []string{"north/4", "south/4", "west/3"}
	var list []Server
	add := func(n int) {
		list = append(list, Server{ID: fmt.Sprint("server-", n), Class: regions[n%3], Weight: []int{12, 40, 9}[n%3]})
	}
	for n := range 70 {
		add(n)
	}
	r := NewRanking()
	for step := range 60 {
		r.Update(list)
		ranked, plain := NewPlacement(list, r, nil), NewPlacement(list, nil, nil)
		for n := 0; n < 8*windowSize; n += 5 {
			object := fmt.Sprintf("%x", n)
			if got, want := ranked.ServersFor(Object{Name: object}), plain.ServersFor(Object{Name: object}); !slices.Equal(got, want) {
				t.Fatalf("after %d changes of %d servers, object %s: got %v, want %v", step, len(list), object, got, want)
			}
		}
		for range 1 + random.IntN(6) {
			if i := random.IntN(len(list)); len(list) > 3 && random.IntN(3) > 0 {
				list = slices.Delete(list, i, i+1)
			} else if n := random.IntN(100); !slices.ContainsFunc(list, func(s Server) bool { return s.ID == fmt.Sprint("server-", n) }) {
				add(n)
			}
		}
	}
}

// A placement that is given a ranking of a different set of servers must not omit the servers
// that the ranking lacks.
func TestRankingOfDifferentServersIsIgnored(t *testing.T) {
	list := servers(30)
	r := NewRanking()
	r.Update(list[:20])
	got, want := NewPlacement(list, r, nil), NewPlacement(list, nil, nil)
	for n := range 3 * windowSize {
		if object := fmt.Sprintf("%x", n); !slices.Equal(got.ServersFor(Object{Name: object}), want.ServersFor(Object{Name: object})) {
			t.Fatalf("object %s: got %v, want %v", object, got.ServersFor(Object{Name: object}), want.ServersFor(Object{Name: object}))
		}
	}
}
