package directory

import (
	"fmt"
	"slices"
	"testing"
)

var (
	northA = Caller{Region: "north", Domain: "north-a"}
)

// domainOf returns proxies of one failure domain of the region north with the given links. Their
// names are the domain, the bandwidth and a number.
func domainOf(domain string, links ...int) []Proxy {
	var list []Proxy
	for i, mbps := range links {
		list = append(list, Proxy{Name: fmt.Sprintf("%s-%d-%d", domain, mbps, i), Domain: domain, Region: "north", LinkMbps: mbps})
	}
	return list
}

func lookupNames(d *Directory, c Caller) []string {
	var names []string
	for _, p := range d.Lookup(c, func(string) bool { return true }) {
		names = append(names, p.Name)
	}
	slices.Sort(names)
	return names
}

func withLevel(l Level, list []Proxy) []Proxy {
	for i := range list {
		list[i].Overflow = l
	}
	return list
}

// Guards against sending callers to proxies whose links are narrow, against answers of two proxies
// that may end at once, and against any change where the bandwidth makes no difference.
func TestLookupPrefersWideLinks(t *testing.T) {
	const n = "north-a"
	a := []int{200, 200, 10, 10, 10}
	for name, c := range map[string]struct {
		proxies [][]Proxy
		want    []string
	}{
		"two wide links, and two of the region": {
			[][]Proxy{domainOf(n, a...), domainOf("north-b", a...)},
			[]string{n + "-200-0", n + "-200-1", "north-b-200-0", "north-b-200-1"},
		},
		"no other domain": {[][]Proxy{domainOf(n, a...)}, []string{n + "-200-0", n + "-200-1"}},
		"half the bandwidth of the widest": {
			[][]Proxy{domainOf(n, 200, 100, 99)}, []string{n + "-100-1", n + "-200-0"},
		},
		"four wide links need no others": {
			[][]Proxy{domainOf(n, 200, 200, 200, 200, 10), domainOf("north-b", a...)},
			[]string{n + "-200-0", n + "-200-1", n + "-200-2", n + "-200-3"},
		},
		"the other domain has lost its wide links": {
			[][]Proxy{domainOf(n, a...), domainOf("north-b", 10, 10)}, []string{n + "-200-0", n + "-200-1"},
		},
		"one wide link, and those of the region": {
			[][]Proxy{domainOf(n, 200, 10, 10), domainOf("north-b", a...)},
			[]string{n + "-200-0", "north-b-200-0", "north-b-200-1"},
		},
		"one wide link in the region": {
			[][]Proxy{domainOf(n, 200, 10), domainOf("north-b", 10, 10)}, []string{n + "-10-1", n + "-200-0"},
		},
		"no wide link is left": {
			[][]Proxy{domainOf(n, 10, 10, 10), domainOf("north-b", a...)},
			[]string{n + "-10-0", n + "-10-1", n + "-10-2"},
		},
		"one link is unknown": {
			[][]Proxy{domainOf(n, 200, 200, 0), domainOf("north-b", a...)},
			[]string{n + "-0-2", n + "-200-0", n + "-200-1"},
		},
		"all wide enough": {[][]Proxy{domainOf(n, 14, 12), domainOf("north-b", a...)}, []string{n + "-12-1", n + "-14-0"}},
		"level 1 adds the widest of the others": {
			[][]Proxy{withLevel(1, domainOf(n, 200, 200, 10, 12, 11))},
			[]string{n + "-11-4", n + "-12-3", n + "-200-0", n + "-200-1"},
		},
		"level 1 of a proxy of another domain": {
			[][]Proxy{domainOf(n, a...), withLevel(1, domainOf("north-b", 200, 200, 10))},
			[]string{n + "-10-2", n + "-10-3", n + "-10-4", n + "-200-0", n + "-200-1", "north-b-200-0", "north-b-200-1"},
		},
		"level 2 returns the failure domain": {
			[][]Proxy{withLevel(7, domainOf(n, 200, 200, 10, 10)), domainOf("north-b", a...)},
			[]string{n + "-10-2", n + "-10-3", n + "-200-0", n + "-200-1"},
		},
		"the level of a proxy with a narrow link": {
			[][]Proxy{domainOf(n, 200, 200), withLevel(2, domainOf(n, 10))}, []string{n + "-200-0", n + "-200-1"},
		},
	} {
		d := New(slices.Concat(c.proxies...), false)
		if got := lookupNames(d, northA); !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}

// Guards the deployments in which the mechanism must change nothing: dozens of equal links, and
// wide links whose preference an operator has switched off.
func TestLookupWithoutPreference(t *testing.T) {
	equal := domainOf("north-a", slices.Repeat([]int{1000}, 48)...)
	if got, want := len(lookupNames(New(equal, false), northA)), 48; got != want {
		t.Errorf("%d of the proxies with equal links are returned, want %d", got, want)
	}
	if got := New(equal, false).Growth(equal[0].Name, 1); got != 0 {
		t.Errorf("load grows by %.2f where all proxies are returned, want 0, so that no level is published", got)
	}
	d := New(domainOf("north-a", 200, 200, 10, 10), true)
	if got, want := len(lookupNames(d, northA)), 4; got != want {
		t.Errorf("switched off, %d proxies are returned, want %d", got, want)
	}
}

// Proxies that end must leave the answer with their entry, and the leaving ones before.
func TestProxiesThatEndAreNotReturned(t *testing.T) {
	a, b := domainOf("north-a", 200, 200, 10, 10), domainOf("north-b", 200, 200, 10)
	a[0].Leaving = true
	got := lookupNames(New(slices.Concat(a, b[1:]), false), northA)
	if want := []string{a[1].Name, b[1].Name}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// BenchmarkLookup measures the first lookup of a failure domain among the proxies of the largest deployment.
func BenchmarkLookup(b *testing.B) {
	var list []Proxy
	for i := range 47 {
		list = append(list, domainOf(fmt.Sprintf("domain-%d", i), slices.Concat([]int{200, 200}, slices.Repeat([]int{10}, 26))...)...)
		for j := range list[28*i:] {
			list[28*i+j].Region = fmt.Sprintf("region-%d", i/2)
		}
	}
	c := Caller{Region: "region-11", Domain: "domain-23"}
	for b.Loop() {
		New(list, false).Lookup(c, func(string) bool { return true })
	}
}
