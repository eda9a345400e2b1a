package steering

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

// lookupProxies makes proxies at addresses that tell them apart and lists which of
// them a caller in a failure domain is named.
func lookupProxies(region, domain, host string, proxies ...Proxy) []string {
	k := New(Config{Name: "self", Domain: "elsewhere", Region: "elsewhere"})
	at := make(map[netip.AddrPort]string)
	for i := range proxies {
		proxies[i].Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)
		at[proxies[i].Address] = proxies[i].Name
	}
	free := &routing.Route{Name: "free", Host: "free", Prefix: "/", Parts: []routing.Part{{Service: "s", Weight: 1}}}
	bound := &routing.Route{Name: "bound", Host: "bound", Prefix: "/", Regions: []string{"south"}, Parts: []routing.Part{{Service: "s", Weight: 1}}}
	k.SetTable(routing.NewTable(1, []*routing.Route{free, bound}, nil, routing.Limits{}))
	k.SetProxies(time.Time{}, proxies)
	k.proxies = slices.DeleteFunc(k.proxies, func(p Proxy) bool { return p.Name == "self" })
	var names []string
	for _, a := range k.Lookup(host, region, domain) {
		names = append(names, at[a])
	}
	slices.Sort(names)
	return names
}

func TestLookup(t *testing.T) {
	north := func(n int, domain string) Proxy {
		return Proxy{Name: fmt.Sprintf("north-%d", n), Domain: domain, Region: "north"}
	}
	south := func(n int) Proxy { return Proxy{Name: fmt.Sprintf("south-%d", n), Domain: "south-a", Region: "south"} }
	west := Proxy{Name: "west-1", Domain: "west-a", Region: "west"}
	leaving := north(2, "north-a")
	leaving.Leaving = true
	for name, c := range map[string]struct {
		host    string
		proxies []Proxy
		want    []string
	}{
		"two of the failure domain": {"free", []Proxy{north(1, "north-a"), north(2, "north-a"), north(3, "north-b"), south(1)}, []string{"north-1", "north-2"}},
		"one there, two in region":  {"free", []Proxy{north(1, "north-a"), north(3, "north-b"), south(1)}, []string{"north-1", "north-3"}},
		"leaving ones are not":      {"free", []Proxy{north(1, "north-a"), leaving, north(3, "north-b"), south(1)}, []string{"north-1", "north-3"}},
		"none in the region":        {"free", []Proxy{south(1), south(2), west}, []string{"south-1", "south-2", "west-1"}},
		"homes bind the others":     {"bound", []Proxy{south(1), west}, []string{"south-1"}},
		"homes and one of its own":  {"bound", []Proxy{north(1, "north-a"), south(1), west}, []string{"north-1", "south-1"}},
		"no other may":              {"bound", []Proxy{north(1, "north-a"), west}, []string{"north-1"}},
		"only those that may not":   {"bound", []Proxy{west}, []string{"west-1"}},
	} {
		if got := lookupProxies("north", "north-a", c.host, c.proxies...); !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}

// All proxies of a region but one are gone. If all others were named beside it,
// eight of nine callers would take the way to another region and back.
func TestOnlyProxyOfARegionKeepsHalfOfItsCallers(t *testing.T) {
	proxies := []Proxy{{Name: "north-1", Domain: "north-a", Region: "north"}}
	for i := range 8 {
		proxies = append(proxies, Proxy{Name: fmt.Sprintf("south-%d", i), Domain: "south-a", Region: "south"})
	}
	others := make(map[string]bool)
	for i := range 20 {
		got := lookupProxies("north", fmt.Sprintf("north-%d", i), "free", proxies...)
		if len(got) != minLookupProxies || got[0] != "north-1" {
			t.Fatalf("got %v, want north-1 and one other", got)
		}
		others[got[1]] = true
	}
	if len(others) < 4 {
		t.Errorf("twenty failure domains are sent to %d other proxies, want them spread", len(others))
	}
}
