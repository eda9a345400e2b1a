// Package directory decides which proxies a lookup returns to a caller, and when a proxy that is
// overloaded asks for more proxies to be returned.
package directory

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// MinProxies is the smallest number of proxies that a lookup returns if there are that many. A
	// caller that knows only one proxy has no alternative when it fails.
	MinProxies = 2
	// maxProxies is the largest number of proxies that a lookup returns.
	maxProxies = 64
	// minPreferredProxies is the number up to which preferred proxies of other failure domains are
	// added. With two addresses, callers whose two proxies end at once would have none until the
	// entries expire.
	minPreferredProxies = 4
	// preferredLinkRatio is the smallest ratio of the bandwidth of a preferred proxy's link to that
	// of the widest one.
	preferredLinkRatio = 0.5
)

type (
	// Proxy is a live proxy.
	Proxy struct {
		Name   string
		Domain string
		Region string
		// Address is the address at which callers reach it.
		Address netip.AddrPort
		// Leaving marks a proxy that still serves requests but is no longer returned by lookups.
		Leaving bool
		// LinkMbps is the bandwidth of its link in Mbit/s; zero if unknown.
		LinkMbps int
		// Overflow is the level that it has published.
		Overflow Level
		// CutOff marks a proxy that has published that it is cut off from all servers.
		CutOff bool
		// Handovers is the address at which it takes requests from other proxies; invalid if it
		// takes none.
		Handovers netip.AddrPort
	}

	// Caller is where a lookup comes from.
	Caller struct {
		Region, Domain string
	}

	// Directory holds the proxies that lookups choose from. It is not safe for concurrent use.
	Directory struct {
		proxies     []Proxy
		ignoreLinks bool
		// lists caches the proxies for the callers of each failure domain that has any.
		lists map[Caller][]Proxy
	}
)

// New returns a directory of the live proxies, in an order that is the same at all proxies. The list
// must not be modified afterwards. With ignoreLinks, the bandwidth of links and the overflow levels
// make no difference.
func New(proxies []Proxy, ignoreLinks bool) *Directory {
	return &Directory{proxies: proxies, ignoreLinks: ignoreLinks, lists: make(map[Caller][]Proxy)}
}

// Lookup returns the proxies that a caller should use: those of its failure domain or, if there are
// too few, those of its region. If its region has too few as well, just enough others are added,
// because callers choose any returned proxy and those of their own region are nearer. If its region
// has none, all others are returned. Of the regions other than the caller's, only those that
// mayServe allows are used, because proxies elsewhere would accept requests that they may not
// forward. The result must not be modified.
func (d *Directory) Lookup(c Caller, mayServe func(region string) bool) []Proxy {
	if list := d.currentProxies(c); len(list) >= MinProxies {
		return list
	}
	own := d.accepting(func(p *Proxy) bool { return p.Region == c.Region })
	if len(own) >= MinProxies {
		return truncate(own)
	}
	others := d.accepting(func(p *Proxy) bool { return p.Region != c.Region && mayServe(p.Region) })
	if len(others) == 0 && len(own) == 0 {
		others = d.accepting(func(*Proxy) bool { return true })
	}
	if len(own) > 0 {
		sortByHash(others, c.Domain)
		others = others[:min(len(others), MinProxies-len(own))]
	}
	return truncate(slices.Concat(own, others))
}

// CountReturned returns how many proxies lookups return to the callers of a region, or zero if they
// return all of its proxies.
func (d *Directory) CountReturned(region string) int {
	returned := make(map[string]bool)
	for _, c := range d.callersOf(region) {
		for _, p := range d.currentProxies(c) {
			returned[p.Name] = true
		}
	}
	if len(returned) >= len(d.accepting(func(p *Proxy) bool { return p.Region == region })) {
		return 0
	}
	return len(returned)
}

// currentProxies returns the result of domainProxies at the current levels.
func (d *Directory) currentProxies(c Caller) []Proxy {
	list, cached := d.lists[c]
	if !cached {
		list = d.domainProxies(c, MaxLevel)
		// Callers can send any names. Only those of existing domains are worth memory.
		if slices.ContainsFunc(list, func(p Proxy) bool { return p.Domain == c.Domain && p.Region == c.Region }) {
			d.lists[c] = list
		}
	}
	return list
}

// domainProxies returns the proxies for the callers of a failure domain, as far as they depend on
// the domain's own proxies: all of them, or the preferred ones and those that their overflow level
// adds. The level is limited to maxLevel.
func (d *Directory) domainProxies(c Caller, maxLevel Level) []Proxy {
	own := d.inDomain(c.Domain)
	preferred, further := d.preferredProxies(c, own)
	if preferred == nil {
		return truncate(own)
	}
	level := Level(0)
	for _, p := range preferred {
		level = max(level, p.Overflow)
	}
	switch min(level, maxLevel) {
	case 0:
		return truncate(preferred)
	case 1:
		return truncate(slices.Concat(preferred, further[:min(len(further), len(preferred))]))
	}
	local := slices.DeleteFunc(preferred, func(p Proxy) bool { return p.Domain != c.Domain })
	return truncate(slices.Concat(local, further))
}

// preferredProxies returns the proxies with wide links that callers of a failure domain should use,
// and the other proxies of the domain in the order in which overflow adds them. own are the
// accepting proxies of the domain. The result is nil if the bandwidth of links makes no difference,
// or if there are too few proxies with wide links.
func (d *Directory) preferredProxies(c Caller, own []Proxy) (preferred, further []Proxy) {
	if d.ignoreLinks || len(own) < MinProxies || slices.ContainsFunc(own, func(p Proxy) bool { return p.LinkMbps <= 0 }) {
		return nil, nil
	}
	widest := widestLink(own)
	for _, p := range own {
		if p.isPreferred(widest) {
			preferred = append(preferred, p)
		} else {
			further = append(further, p)
		}
	}
	if len(further) == 0 {
		return nil, nil
	}
	if missing := minPreferredProxies - len(preferred); missing > 0 {
		others := d.preferredElsewhere(c, widest)
		sortByHash(others, c.Domain)
		preferred = append(preferred, others[:min(len(others), missing)]...)
	}
	if len(preferred) < MinProxies {
		return nil, nil
	}
	sortByHash(further, c.Domain)
	slices.SortStableFunc(further, func(a, b Proxy) int { return cmp.Compare(b.LinkMbps, a.LinkMbps) })
	return preferred, further
}

// preferredElsewhere returns the proxies of the other failure domains of a region that are
// preferred both in their own domain and beside a link of the given bandwidth. A domain that has
// lost its wide links offers none of its narrow ones.
func (d *Directory) preferredElsewhere(c Caller, linkMbps int) []Proxy {
	others := d.accepting(func(p *Proxy) bool { return p.Region == c.Region && p.Domain != c.Domain })
	widest := make(map[string]int)
	for _, p := range others {
		widest[p.Domain] = max(widest[p.Domain], linkMbps, p.LinkMbps)
	}
	return slices.DeleteFunc(others, func(p Proxy) bool { return !p.isPreferred(widest[p.Domain]) })
}

// inDomain lists the proxies of a failure domain that accept callers.
func (d *Directory) inDomain(domain string) []Proxy {
	return d.accepting(func(p *Proxy) bool { return p.Domain == domain })
}

// accepting lists the matching proxies that accept callers, in order.
func (d *Directory) accepting(matches func(*Proxy) bool) []Proxy {
	var list []Proxy
	for i := range d.proxies {
		if p := &d.proxies[i]; !p.Leaving && matches(p) {
			list = append(list, *p)
		}
	}
	return list
}

// isPreferred reports whether a proxy is preferred where the widest link has the given bandwidth.
func (p Proxy) isPreferred(widestMbps int) bool {
	return float64(p.LinkMbps) >= preferredLinkRatio*float64(widestMbps)
}

// widestLink returns the bandwidth of the widest link in Mbit/s.
func widestLink(list []Proxy) (mbps int) {
	for _, p := range list {
		mbps = max(mbps, p.LinkMbps)
	}
	return mbps
}

// sortByHash sorts proxies by a hash of their names and a failure domain, so that the callers of
// different domains use different proxies and all lookups agree.
func sortByHash(list []Proxy, domain string) {
	rank := func(p Proxy) uint64 { return xxhash.Sum64String(p.Name + " " + domain) }
	slices.SortFunc(list, func(a, b Proxy) int { return cmp.Compare(rank(a), rank(b)) })
}

func truncate(list []Proxy) []Proxy { return list[:min(len(list), maxProxies)] }
