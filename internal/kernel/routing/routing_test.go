package routing

import (
	"math/rand/v2"
	"slices"
	"testing"
)

func TestMatchPrefersLongestPrefixOfHost(t *testing.T) {
	table := NewTable(1, []*Route{
		{Name: "all", Host: "a", Prefix: "/"},
		{Name: "deep", Host: "a", Prefix: "/x/y/"},
		{Name: "mid", Host: "a", Prefix: "/x/"},
		{Name: "other", Host: "b", Prefix: "/x/y/z/"},
	}, nil, Limits{})
	for path, want := range map[string]string{"/": "all", "/x/1": "mid", "/x/y/1": "deep", "/x/y/z/1": "deep", "/x": "all"} {
		if got := table.Match("a", path); got == nil || got.Name != want {
			t.Errorf("%s: got %v, want %s", path, got, want)
		}
	}
	if got := table.Match("b", "/x/"); got != nil {
		t.Errorf("host without a matching prefix: got %s, want no route", got.Name)
	}
	if got := table.Match("c", "/"); got != nil {
		t.Errorf("unknown host: got %s, want no route", got.Name)
	}
}

func newTestSplitter() *Splitter { return NewSplitter(rand.New(rand.NewPCG(1, 1))) }

// Guards against a new version of a split that goes on with the credit of the earlier weights: a withdrawn service
// gets all requests, or a service that gets half of them gets none.
func TestSplitAfterWeightsChange(t *testing.T) {
	for _, requests := range []int{1, 60, 85, 100, 130, 215, 400} {
		for _, c := range []struct {
			name           string
			stable, trial  int
			want, maxError int
		}{
			{"withdrawn", 1, 0, 0, 0}, {"halved", 1, 1, 50, 0}, {"a tenth", 900, 100, 10, 0}, {"nine in ten", 1, 9, 90, 0}, {"odd weights", 7, 3, 30, 1},
		} {
			s := newTestSplitter()
			before := &Route{Name: "r", Parts: []WeightedService{{"stable", 995}, {"trial", 5}}}
			for range requests {
				s.Next(before)
			}
			after := &Route{Name: "r", Parts: []WeightedService{{"stable", c.stable}, {"trial", c.trial}}}
			got := 0
			for range 100 {
				if s.Next(after) == "trial" {
					got++
				}
			}
			if got < c.want-c.maxError || got > c.want+c.maxError {
				t.Errorf("%s after %d requests: the trial gets %d of 100 requests, want %d", c.name, requests, got, c.want)
			}
		}
	}
}

// Guards against proxies of a large fleet that all send their first request after a change to the same service.
func TestFirstRequestsFollowWeights(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	r := &Route{Name: "r", Parts: []WeightedService{{"a", 3}, {"b", 1}}}
	const proxies = 1000
	got := 0
	for range proxies {
		if NewSplitter(random).Next(r) == "b" {
			got++
		}
	}
	if got < proxies/5 || got > proxies*3/10 {
		t.Errorf("%d of %d first requests go to a service with a quarter of the weight", got, proxies)
	}
}

// An operator sends a tenth of a route's requests to a new service. With a random choice, none of
// thirty requests might reach it.
func TestSplitFollowsWeightsExactly(t *testing.T) {
	s := newTestSplitter()
	r := &Route{Name: "r", Parts: []WeightedService{{"old", 90}, {"new", 10}}}
	for round := range 5 {
		count := make(map[string]int)
		for range 10 {
			count[s.Next(r)]++
		}
		if count["new"] != 1 || count["old"] != 9 {
			t.Errorf("round %d: got %v, want 9 old and 1 new", round, count)
		}
	}
}

// A new configuration version changes the services of a route. The credit of the old services must
// not be applied to the new ones.
func TestSplitAfterServicesChange(t *testing.T) {
	s := newTestSplitter()
	s.Next(&Route{Name: "r", Parts: []WeightedService{{"a", 1}, {"b", 1}}})
	r := &Route{Name: "r", Parts: []WeightedService{{"a", 1}, {"b", 1}, {"c", 2}}}
	count := make(map[string]int)
	for range 8 {
		count[s.Next(r)]++
	}
	if count["a"] != 2 || count["b"] != 2 || count["c"] != 4 {
		t.Errorf("got requests %v, want 2, 2 and 4", count)
	}
	s.Prune(NewTable(2, nil, nil, Limits{}))
	if len(s.splits) != 0 {
		t.Errorf("state of %d removed routes is kept, want none", len(s.splits))
	}
	if got := s.Next(&Route{Name: "none"}); got != "" {
		t.Errorf("route without services: got service %q, want none", got)
	}
}

func TestHostRegions(t *testing.T) {
	table := NewTable(1, []*Route{
		{Name: "1", Host: "a", Prefix: "/1/", Regions: []string{"north"}},
		{Name: "2", Host: "a", Prefix: "/2/", Regions: []string{"south"}},
		{Name: "3", Host: "b", Prefix: "/1/", Regions: []string{"north"}},
		{Name: "4", Host: "b", Prefix: "/2/"},
	}, nil, Limits{})
	got := table.HostRegions("a")
	slices.Sort(got)
	if want := []string{"north", "south"}; !slices.Equal(got, want) {
		t.Errorf("host a: got regions %v, want %v", got, want)
	}
	if got := table.HostRegions("b"); got != nil {
		t.Errorf("host b: got regions %v, want none, which means all", got)
	}
}
