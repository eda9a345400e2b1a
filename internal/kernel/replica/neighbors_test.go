package replica

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
)

// peerAddress returns the address of the nth proxy of a region.
func peerAddress(region, n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(region), byte(n >> 8), byte(n)}), 7000)
}

func peersOf(regions, perRegion int) Peers {
	peers := make(Peers)
	for r := range regions {
		for n := range perRegion {
			peers[fmt.Sprint(r)] = append(peers[fmt.Sprint(r)], peerAddress(r, n))
		}
	}
	return peers
}

// Guards against a proxy that holds connections to hundreds of peers: over an hour, its neighbors
// within any minute stay few, whatever the size of the fleet.
func TestNeighborsStayFewInLargeFleet(t *testing.T) {
	for _, fleet := range []struct{ regions, perRegion int }{{3, 3}, {3, 330}, {22, 60}, {3, 870}} {
		peers := peersOf(fleet.regions, fleet.perRegion)
		n := NewNeighbors("0", rand.New(rand.NewPCG(1, 2)))
		now, seen := start, make(map[netip.AddrPort]bool)
		for range 60 {
			now = now.Add(time.Second)
			n.Update(now, peers, 0)
			for _, a := range n.Local() {
				seen[a] = true
			}
			for _, list := range n.Remote() {
				for _, a := range list {
					seen[a] = true
				}
			}
		}
		if got, bound := len(seen), 80+6*fleet.regions; got > bound {
			t.Errorf("%d regions of %d: %d neighbors within a minute, want at most %d", fleet.regions, fleet.perRegion, got, bound)
		}
		if got, want := len(n.Remote()), fleet.regions-1; got != want {
			t.Errorf("%d regions of %d: neighbors in %d other regions, want in all %d", fleet.regions, fleet.perRegion, got, want)
		}
	}
}

// Guards against neighbors that have left: exchanges with them fail, and the proxy would be cut off.
func TestNeighborsThatLeaveAreReplaced(t *testing.T) {
	peers := peersOf(2, 100)
	n := NewNeighbors("0", rand.New(rand.NewPCG(1, 2)))
	n.Update(start, peers, 32)
	if got := len(n.Local()); got != 32 {
		t.Errorf("%d neighbors of a proxy that sends changes to its region, want 32", got)
	}
	left := make(map[netip.AddrPort]bool)
	for _, a := range n.Local() {
		left[a] = true
	}
	var remaining []netip.AddrPort
	for _, a := range peers["0"] {
		if !left[a] {
			remaining = append(remaining, a)
		}
	}
	n.Update(start, Peers{"0": remaining}, 0)
	if len(n.Local()) < minNeighbors || len(n.Remote()) != 0 {
		t.Errorf("got %d neighbors and %d other regions, want at least %d and none", len(n.Local()), len(n.Remote()), minNeighbors)
	}
	for _, a := range n.Local() {
		if left[a] {
			t.Errorf("%v is a neighbor although it has left", a)
		}
	}
}

// Guards against proxies that a change does not reach, because no neighbor of theirs has it: a
// change in one copy must be in all after a few exchanges of each proxy, at the target size and at
// twice it, also after half of all proxies have been lost at once.
func TestChangeReachesWholeFleetThroughNeighbors(t *testing.T) {
	// maxSeconds is within what operators allow until all proxies have acknowledged a change, without
	// the messages that spread it at once.
	const maxSeconds = 8
	for _, fleet := range []struct{ regions, perRegion int }{{3, 330}, {22, 60}, {22, 120}, {3, 870}} {
		random := rand.New(rand.NewPCG(5, 6))
		peers := peersOf(fleet.regions, fleet.perRegion)
		views := make(map[netip.AddrPort]*Neighbors)
		for region, list := range peers {
			for _, a := range list {
				views[a] = NewNeighbors(region, random)
				views[a].Update(start, peers, 0)
			}
		}
		for region, list := range peers {
			for _, a := range list[len(list)/2:] {
				delete(views, a)
			}
			peers[region] = list[:len(list)/2]
		}
		informed := map[netip.AddrPort]bool{peerAddress(0, 0): true}
		seconds := 0
		for ; seconds < 2*maxSeconds && len(informed) < len(views); seconds++ {
			now := start.Add(time.Duration(seconds) * time.Second)
			for a, n := range views {
				n.Update(now, peers, 0)
				for range 2 {
					b := exchangePartner(random, n)
					informed[a], informed[b] = informed[a] || informed[b], informed[a] || informed[b]
				}
			}
			for a, is := range informed {
				if !is {
					delete(informed, a)
				}
			}
		}
		if seconds > maxSeconds {
			t.Errorf("%d regions of %d: a change reached %d of %d proxies after %d s, want all within %d s", fleet.regions, fleet.perRegion, len(informed), len(views), seconds, maxSeconds)
		}
	}
}

// exchangePartner picks a neighbor for an exchange, one in four in another region.
func exchangePartner(random *rand.Rand, n *Neighbors) netip.AddrPort {
	list := n.Local()
	if random.IntN(4) == 0 {
		for _, remote := range n.Remote() {
			list = remote
			break
		}
	}
	return list[random.IntN(len(list))]
}
