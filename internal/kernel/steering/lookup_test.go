package steering

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/directory"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

// lookupProxies gives each proxy a distinct address and returns the names of the proxies that a
// lookup returns to a caller in a failure domain.
func lookupProxies(region, domain, host string, proxies ...Proxy) []string {
	k := New(Config{Name: "self", Domain: "elsewhere", Region: "elsewhere"})
	nameByAddress := make(map[netip.AddrPort]string)
	for i := range proxies {
		proxies[i].Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)
		nameByAddress[proxies[i].Address] = proxies[i].Name
	}
	anywhere := &routing.Route{Name: "anywhere", Host: "anywhere", Prefix: "/", Parts: []routing.WeightedService{{Service: "s", Weight: 1}}}
	southOnly := &routing.Route{Name: "south-only", Host: "south-only", Prefix: "/", Regions: []string{"south"}, Parts: []routing.WeightedService{{Service: "s", Weight: 1}}}
	k.SetTable(routing.NewTable(1, []*routing.Route{anywhere, southOnly}, nil, routing.Limits{}))
	k.SetProxies(time.Time{}, proxies)
	k.proxies = slices.DeleteFunc(k.proxies, func(p Proxy) bool { return p.Name == "self" })
	k.resetDirectory()
	var names []string
	for _, a := range k.Lookup(host, region, domain) {
		names = append(names, nameByAddress[a])
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
		"two in the failure domain":      {"anywhere", []Proxy{north(1, "north-a"), north(2, "north-a"), north(3, "north-b"), south(1)}, []string{"north-1", "north-2"}},
		"one there, two in the region":   {"anywhere", []Proxy{north(1, "north-a"), north(3, "north-b"), south(1)}, []string{"north-1", "north-3"}},
		"leaving proxies are omitted":    {"anywhere", []Proxy{north(1, "north-a"), leaving, north(3, "north-b"), south(1)}, []string{"north-1", "north-3"}},
		"none in the region":             {"anywhere", []Proxy{south(1), south(2), west}, []string{"south-1", "south-2", "west-1"}},
		"only allowed regions":           {"south-only", []Proxy{south(1), west}, []string{"south-1"}},
		"allowed regions and own region": {"south-only", []Proxy{north(1, "north-a"), south(1), west}, []string{"north-1", "south-1"}},
		"no other region is allowed":     {"south-only", []Proxy{north(1, "north-a"), west}, []string{"north-1"}},
		"none is allowed":                {"south-only", []Proxy{west}, []string{"west-1"}},
	} {
		if got := lookupProxies("north", "north-a", c.host, c.proxies...); !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}

// Only one proxy of a region is left. If a lookup returned all proxies of other regions with it,
// eight of nine callers would send their requests through another region.
func TestOnlyProxyOfARegionKeepsHalfOfItsCallers(t *testing.T) {
	proxies := []Proxy{{Name: "north-1", Domain: "north-a", Region: "north"}}
	for i := range 8 {
		proxies = append(proxies, Proxy{Name: fmt.Sprintf("south-%d", i), Domain: "south-a", Region: "south"})
	}
	others := make(map[string]bool)
	for i := range 20 {
		got := lookupProxies("north", fmt.Sprintf("north-%d", i), "anywhere", proxies...)
		if len(got) != directory.MinProxies || got[0] != "north-1" {
			t.Fatalf("got %v, want north-1 and one other", got)
		}
		others[got[1]] = true
	}
	if len(others) < 4 {
		t.Errorf("lookups of twenty failure domains return %d other proxies, want at least 4", len(others))
	}
}

// A recording that lost the links or the overflow levels would replay other lookups than were
// answered. The proxy's own level must take effect when it is published, and the mechanism must be
// possible to disable.
func TestReplayRepeatsLookupsByLinks(t *testing.T) {
	for _, c := range []struct {
		off  []Mechanism
		want int
	}{{nil, 4}, {[]Mechanism{MechanismWideLinks}, 5}} {
		var recording bytes.Buffer
		encoder := json.NewEncoder(&recording)
		k := New(Config{
			Name: "self", Domain: "north-a", Region: "north", LinkMbps: 200, Address: netip.MustParseAddrPort("10.0.0.9:80"), Off: c.off,
			Record: func(c Call) { _ = encoder.Encode(c) },
		})
		proxies := []Proxy{{Name: "self", Domain: "north-a", Region: "north", Overflow: 1}}
		for i, mbps := range []int{200, 10, 11, 12} {
			proxies = append(proxies, Proxy{
				Name: fmt.Sprintf("p-%d", i), Domain: "north-a", Region: "north", LinkMbps: mbps, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
			})
		}
		k.SetProxies(time.Time{}, proxies)
		r := &replayer{}
		for decoder := json.NewDecoder(&recording); decoder.More(); {
			var call Call
			if err := decoder.Decode(&call); err != nil {
				t.Fatal(err)
			}
			if err := r.replayCall(call); err != nil {
				t.Fatal(err)
			}
		}
		got, want := r.kernel.Lookup("host", "north", "north-a"), k.Lookup("host", "north", "north-a")
		if !slices.Equal(got, want) || len(got) != c.want {
			t.Errorf("off %v: replay returns %v, recorded were %v, want %d", c.off, got, want, c.want)
		}
	}
}
