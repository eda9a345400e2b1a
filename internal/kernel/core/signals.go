package core

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backend"
	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
)

const (
	// noServerRetryAfter is after how long a caller may come back if no server could take its
	// request.
	noServerRetryAfter = time.Second
)

// signalKey names a server among all proxies. It has one name for good, so what an earlier
// start has asked ends with the first answers of the next.
func signalKey(server string) quarantine.Server { return quarantine.ServerOf(server, time.Time{}) }

// backpressureOf is what a server asks of its senders, nil for nothing.
func (k *Kernel) backpressureOf(s *backend.Server) *backpressure.State {
	if k.backpressure.Empty() {
		return nil
	}
	return k.backpressure.Of(signalKey(s.Name))
}

// recordSignal takes in what a server's answer asks.
func (k *Kernel) recordSignal(now, sent time.Time, s *backend.Server, r backend.Report) {
	k.backpressure.Heard(now, sent, signalKey(s.Name), r.Signal, true)
}

// serverAccepts reports whether a server takes a request of this proxy now, by what it asks of
// its senders. Requests and probes ask this.
func (k *Kernel) serverAccepts(now time.Time, s *backend.Server) bool {
	state := k.backpressureOf(s)
	if state.Paused(now) {
		return false
	}
	window, limited := state.Window(now)
	return !limited || state.Room(now, k.backpressureRank(s.Region).Share(window))
}

// pauseRetryAfter is after how long a caller may come back that no server takes: if all of them
// pause, when the first of them takes requests again.
func (k *Kernel) pauseRetryAfter(now time.Time, servers []*backend.Server) time.Duration {
	first := time.Duration(0)
	for _, s := range servers {
		left := k.backpressureOf(s).PausedFor(now)
		if left == 0 {
			return noServerRetryAfter
		}
		if first == 0 || left < first {
			first = left
		}
	}
	return max(first, noServerRetryAfter)
}

// backpressureRank is this proxy's place among all proxies at the servers of a region. Their numbers
// are the bundle's, so that parts of a fleet that are cut off from each other do not each
// take a whole limit; in an unlisted region, or beyond its number, there is no place.
func (k *Kernel) backpressureRank(server string) backpressure.Rank {
	self := k.config.Self
	rank, own := backpressure.Rank{}, -1
	for _, r := range k.regions {
		if r.Name == server {
			rank.Near = r.Proxies
		}
		if r.Name == self.Region {
			own = k.rankInRegion()
			if own >= r.Proxies {
				own = -1
			}
		}
		rank.All += r.Proxies
	}
	if own < 0 {
		return backpressure.Rank{Place: rank.All, Near: rank.Near, All: rank.All}
	}
	rank.Place = own
	if self.Region == server {
		return rank
	}
	rank.Place += rank.Near
	for _, r := range k.regions {
		if r.Name == self.Region {
			break
		}
		if r.Name != server {
			rank.Place += r.Proxies
		}
	}
	return rank
}

// rankInRegion counts the proxies of the own region before this one.
func (k *Kernel) rankInRegion() (place int) {
	for _, m := range k.members.All() {
		if m.State != peer.Gone && m.Region == k.config.Self.Region && m.Name < k.config.Self.Name {
			place++
		}
	}
	return place
}

// logSignalChange tells of the limit that a server names from now on. That it leaves is told
// with the other reasons for it.
func (k *Kernel) logSignalChange(n backpressure.Notice) {
	if n.Change != backpressure.ChangeLimit {
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
