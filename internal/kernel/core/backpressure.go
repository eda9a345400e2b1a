package core

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backend"
	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
)

const (
	// noServerRetryAfter is the least retry delay given to a caller when no server could take its
	// request.
	noServerRetryAfter = time.Second
)

// signalKey identifies a server in backpressure reports. The key has no start time, since a server
// keeps its name across restarts; signals of an earlier incarnation are replaced with the first
// responses of the next.
func signalKey(server string) quarantine.InstanceID {
	return quarantine.NewInstanceID(server, time.Time{})
}

// backpressureOf returns the backpressure state of a server, or nil if there is none.
func (k *Kernel) backpressureOf(s *backend.Server) *backpressure.ServerState {
	if k.backpressure.Empty() {
		return nil
	}
	return k.backpressure.State(signalKey(s.Name))
}

// recordSignal applies the backpressure signal in a server's response.
func (k *Kernel) recordSignal(now, sent time.Time, s *backend.Server, r backend.Report) {
	k.backpressure.RecordSignal(now, sent, signalKey(s.Name), r.Signal, true)
}

// serverAccepts reports whether the backpressure of a server permits a request of this proxy now.
// It applies to requests and probes alike.
func (k *Kernel) serverAccepts(now time.Time, s *backend.Server) bool {
	state := k.backpressureOf(s)
	if state.Paused(now) {
		return false
	}
	window, limited := state.RequestsPerWindow(now)
	return !limited || state.HasRoom(now, k.backpressureRank(s.Region).Share(window))
}

// pauseRetryAfter returns the retry delay for a caller whose request no server can take: the time
// until the first server resumes if all of them are paused, and at least noServerRetryAfter.
func (k *Kernel) pauseRetryAfter(now time.Time, servers []*backend.Server) time.Duration {
	soonest := time.Duration(0)
	for _, s := range servers {
		remaining := k.backpressureOf(s).PauseRemaining(now)
		if remaining == 0 {
			return noServerRetryAfter
		}
		if soonest == 0 || remaining < soonest {
			soonest = remaining
		}
	}
	return max(soonest, noServerRetryAfter)
}

// backpressureRank returns this proxy's rank among all proxies for the servers of a region, which
// determines its share of a server's limit. The proxy counts come from the bundle instead of the
// membership, so that the sides of a network partition do not each use the whole limit. A proxy in
// an unlisted region, or beyond the configured number of its region, has no rank of its own and is
// placed after all others.
func (k *Kernel) backpressureRank(serverRegion string) backpressure.ProxyRank {
	self := k.config.Self
	rank, localRank := backpressure.ProxyRank{}, -1
	for _, r := range k.regions {
		if r.Name == serverRegion {
			rank.InRegion = r.QuotaSlots
		}
		if r.Name == self.Region {
			localRank = k.rankInRegion()
			if localRank >= r.QuotaSlots {
				localRank = -1
			}
		}
		rank.Total += r.QuotaSlots
	}
	if localRank < 0 {
		return backpressure.ProxyRank{Position: rank.Total, InRegion: rank.InRegion, Total: rank.Total}
	}
	rank.Position = localRank
	if self.Region == serverRegion {
		return rank
	}
	rank.Position += rank.InRegion
	for _, r := range k.regions {
		if r.Name == self.Region {
			break
		}
		if r.Name != serverRegion {
			rank.Position += r.QuotaSlots
		}
	}
	return rank
}

// rankInRegion returns the number of proxies in the local region whose names sort before this one.
func (k *Kernel) rankInRegion() (rank int) {
	for _, m := range k.members.All() {
		if m.State != peer.StateGone && m.Region == k.config.Self.Region && m.Name < k.config.Self.Name {
			rank++
		}
	}
	return rank
}

// logSignalChange logs a change of the limit that a server sends. Draining is logged by
// applyDraining, together with the other reasons for it.
func (k *Kernel) logSignalChange(event backpressure.Event) {
	if event.Type != backpressure.EventLimit {
		return
	}
	for _, r := range k.regions {
		for _, s := range r.servers {
			if signalKey(s.Name) == event.Server {
				k.log(k.lastTick, Event{Kind: EventServerLimit, Target: s.Name, Detail: event.Limit.String()})
			}
		}
	}
}
