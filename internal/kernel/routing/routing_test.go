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
		t.Errorf("host without a matching prefix: got %s, want no route", got.Name)
	}
	if got := table.Match("c", "/"); got != nil {
		t.Errorf("unknown host: got %s, want no route", got.Name)
	}
}

// An operator sends a tenth of a route's requests to a new service. With a random choice, none of
// thirty requests might reach it.
func TestSplitFollowsWeightsExactly(t *testing.T) {
	s := NewSplitter()
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
	s := NewSplitter()
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
	if len(s.credit) != 0 {
		t.Errorf("state of %d removed routes is kept, want none", len(s.credit))
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
