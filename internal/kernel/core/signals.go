package core

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backend"
	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
)

const (
	// noServerFor is after how long a caller may come back if no server could take its
	// request.
	noServerFor = time.Second
)

// signalKey names a server among all proxies. It has one name for good, so what an earlier
// start has asked ends with the first answers of the next.
func signalKey(server string) quarantine.InstanceID {
	return quarantine.NewInstanceID(server, time.Time{})
}

// signalsOf is what a server asks of its senders, nil for nothing.
func (k *Kernel) signalsOf(s *backend.Server) *backpressure.ServerState {
	if k.signals.Empty() {
		return nil
	}
	return k.signals.State(signalKey(s.Name))
}

// hearSignal takes in what a server's answer asks.
func (k *Kernel) hearSignal(now, sent time.Time, s *backend.Server, r backend.Report) {
	k.signals.RecordSignal(now, sent, signalKey(s.Name), r.Signal, true)
}

// permits reports whether a server takes a request of this proxy now, by what it asks of
// its senders. Requests and probes ask this.
func (k *Kernel) permits(now time.Time, s *backend.Server) bool {
	state := k.signalsOf(s)
	if state.Paused(now) {
		return false
	}
	window, limited := state.RequestsPerWindow(now)
	return !limited || state.HasRoom(now, k.rankAt(s.Region).Share(window))
}

// pausedFor is after how long a caller may come back that no server takes: if all of them
// pause, when the first of them takes requests again.
func (k *Kernel) pausedFor(now time.Time, servers []*backend.Server) time.Duration {
	first := time.Duration(0)
	for _, s := range servers {
		left := k.signalsOf(s).PauseRemaining(now)
		if left == 0 {
			return noServerFor
		}
		if first == 0 || left < first {
			first = left
		}
	}
	return max(first, noServerFor)
}

// rankAt is this proxy's place among all proxies at the servers of a region. Their numbers
// are the bundle's, so that parts of a fleet that are cut off from each other do not each
// take a whole limit; in an unlisted region, or beyond its number, there is no place.
func (k *Kernel) rankAt(server string) backpressure.ProxyRank {
	self := k.config.Self
	rank, own := backpressure.ProxyRank{}, -1
	for _, r := range k.regions {
		if r.Name == server {
			rank.InRegion = r.Proxies
		}
		if r.Name == self.Region {
			own = k.placeInRegion()
			if own >= r.Proxies {
				own = -1
			}
		}
		rank.Total += r.Proxies
	}
	if own < 0 {
		return backpressure.ProxyRank{Position: rank.Total, InRegion: rank.InRegion, Total: rank.Total}
	}
	rank.Position = own
	if self.Region == server {
		return rank
	}
	rank.Position += rank.InRegion
	for _, r := range k.regions {
		if r.Name == self.Region {
			break
		}
		if r.Name != server {
			rank.Position += r.Proxies
		}
	}
	return rank
}

// placeInRegion counts the proxies of the own region before this one.
func (k *Kernel) placeInRegion() (place int) {
	for _, m := range k.members.All() {
		if m.State != peer.Gone && m.Region == k.config.Self.Region && m.Name < k.config.Self.Name {
			place++
		}
	}
	return place
}

// observeSignal tells of the limit that a server names from now on. That it leaves is told
// with the other reasons for it.
func (k *Kernel) observeSignal(n backpressure.Event) {
	if n.Type != backpressure.EventLimit {
		return
	}
	for _, r := range k.regions {
		for _, s := range r.servers {
			if signalKey(s.Name) == n.Server {
				k.log(k.lastTick, Event{Kind: EventServerLimit, Target: s.Name, Detail: n.Limit.String()})
			}
		}
	}
}
