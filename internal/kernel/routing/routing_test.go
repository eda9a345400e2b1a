package routing

import (
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
		t.Errorf("a host without a matching prefix: got %s, want none", got.Name)
	}
	if got := table.Match("c", "/"); got != nil {
		t.Errorf("an unknown host: got %s, want none", got.Name)
	}
}

// An operator moves a tenth of a route's requests to a new service. Drawn at
// random, thirty requests could miss it altogether.
func TestSplitFollowsWeightsExactly(t *testing.T) {
	s := NewSplitter()
	r := &Route{Name: "r", Parts: []WeightedService{{"old", 90}, {"new", 10}}}
	for round := range 5 {
		count := make(map[string]int)
		for range 10 {
			count[s.Next(r)]++
		}
		if count["new"] != 1 || count["old"] != 9 {
			t.Errorf("round %d: %v, want 9 old and 1 new", round, count)
		}
	}
}

// A new version gives the route other parts; what was counted for the old ones
// must not be taken for them.
func TestSplitAfterServicesChange(t *testing.T) {
	s := NewSplitter()
	s.Next(&Route{Name: "r", Parts: []WeightedService{{"a", 1}, {"b", 1}}})
	r := &Route{Name: "r", Parts: []WeightedService{{"a", 1}, {"b", 1}, {"c", 2}}}
	count := make(map[string]int)
	for range 8 {
		count[s.Next(r)]++
	}
	if count["a"] != 2 || count["b"] != 2 || count["c"] != 4 {
		t.Errorf("shares are %v, want 2, 2 and 4", count)
	}
	s.Prune(NewTable(2, nil, nil, Limits{}))
	if len(s.credit) != 0 {
		t.Errorf("%d routes are kept after they are gone, want none", len(s.credit))
	}
	if got := s.Next(&Route{Name: "none"}); got != "" {
		t.Errorf("a route without services goes to %q, want none", got)
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
		t.Errorf("regions of a are %v, want %v", got, want)
	}
	if got := table.HostRegions("b"); got != nil {
		t.Errorf("regions of b are %v, want all", got)
	}
}
