package forward

import (
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/gypsumquay/gypsumquay/internal/kernel/replica"
)

const (
	// The borders that a connection to a peer may cross.
	borderNone    border = "none"
	borderDomain  border = "failure-domain"
	borderRegion  border = "region"
	borderUnknown border = "unknown"
)

type (
	// border is what lies between this proxy and a peer, for metrics.
	border string

	// peerView is what follows from the list of live proxies. It is derived once for each change of
	// the list: in a large fleet, several messages arrive for each change and need it.
	peerView struct {
		version, memberCount int
		// peers are the peer addresses of the other proxies, by region.
		peers replica.Peers
		// rank is this proxy's rank among those of its region.
		rank int
	}
)

// view returns the current view of the other proxies. f.mu must be held.
func (f *storeReplica) view() *peerView {
	v := f.currentView
	if v != nil && v.version == f.membershipChanges && v.memberCount == len(f.members) {
		return v
	}
	settings := f.daemon.settings
	v = &peerView{version: f.membershipChanges, memberCount: len(f.members), peers: make(replica.Peers)}
	var candidates []replica.Candidate
	for name, m := range f.members {
		if name != settings.Name {
			v.peers[m.Region] = append(v.peers[m.Region], m.Peers)
		}
		if m.Region == settings.Region && !m.Leaving {
			candidates = append(candidates, replica.Candidate{Name: m.Name, LinkMbps: m.LinkMbps})
		}
	}
	// While no proxies are known, as when a whole fleet starts, only the seeds are relays: when
	// hundreds of proxies each considered themselves the first, each made a store call for every
	// other proxy's entry.
	v.rank = replica.Rank(settings.Name, candidates)
	if len(candidates) == 0 && len(settings.Seeds) > 0 && !slices.Contains(settings.Seeds, settings.Listen.Peers) {
		v.rank = replica.RelaysPerRegion
	}
	f.currentView = v
	return v
}

// rank is this proxy's rank among those of its region.
func (f *storeReplica) rank() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view().rank
}

// borderTo returns what lies between this proxy and a peer.
func (f *storeReplica) borderTo(peer netip.AddrPort) border {
	f.mu.Lock()
	defer f.mu.Unlock()
	settings := f.daemon.settings
	for _, m := range f.members {
		switch {
		case m.Peers != peer:
		case m.Domain == settings.Domain:
			return borderNone
		case m.Region == settings.Region:
			return borderDomain
		default:
			return borderRegion
		}
	}
	return borderUnknown
}

// neighborPeers returns the peers with which this proxy exchanges changes, in its own region and in
// each other one, and the number of peers in its own region.
func (f *storeReplica) neighborPeers() (local []netip.AddrPort, remote map[string][]netip.AddrPort, localCount int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.view()
	localMin := 0
	if v.rank < replica.RelaysPerRegion {
		localMin = spreadFanout
	}
	if now := f.daemon.now(); f.neighborsView != v || f.neighbors.RotationDue(now) {
		f.neighborsView = v
		f.neighbors.Update(now, v.peers, localMin)
	}
	remote = make(map[string][]netip.AddrPort, len(f.neighbors.Remote()))
	for region, list := range f.neighbors.Remote() {
		remote[region] = slices.Clone(list)
	}
	return slices.Clone(f.neighbors.Local()), remote, len(v.peers[f.daemon.settings.Region])
}

// namePeers picks a few peers for a proxy that starts, most of them in its failure domain: hundreds
// may start at once and know only the same three seeds, which couldn't send a full copy to all of
// them.
func (f *storeReplica) namePeers(domain string) []netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	var near, others []netip.AddrPort
	for name, m := range f.members {
		switch {
		case name == f.daemon.settings.Name:
		case m.Domain == domain:
			near = append(near, m.Peers)
		default:
			others = append(others, m.Peers)
		}
	}
	named := sample(near, maxNamedNear)
	return append(named, sample(others, maxNamedPeers-len(named))...)
}

// sample returns up to limit random elements of a list, which it shuffles.
func sample(list []netip.AddrPort, limit int) []netip.AddrPort {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), limit)]
}
