package core

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
	"github.com/gypsumquay/gypsumquay/internal/kernel/kv"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
)

const (
	// stopGracePeriod is added to the lookup TTL for the time in which peers learn of the stop and
	// may still return this proxy in lookups.
	stopGracePeriod = 2 * time.Second
)

// BeginStop starts a graceful shutdown. Peers are notified, lookups exclude this proxy, and it
// continues to serve until no cached lookup response names it.
func (k *Kernel) BeginStop(now time.Time) {
	if k.stopping {
		return
	}
	k.stopping = true
	k.stopStartedAt = now
	k.members.UpdateSelf(now, func(m *peer.Member) { m.State = peer.StateLeaving })
	k.log(now, Event{Kind: EventStopping})
	k.scheduleGossip(now)
}

// MayStopServing reports whether a stopping proxy may reject new requests because every cached
// lookup response that names it has expired.
func (k *Kernel) MayStopServing(now time.Time) bool {
	if !k.stopping {
		return false
	}
	lookupTTL := time.Duration(0)
	if k.bundle != nil {
		lookupTTL = k.bundle.Lookup.TTL.Std()
	}
	return !now.Before(k.stopStartedAt.Add(lookupTTL + stopGracePeriod))
}

// Drained reports whether no request is in flight.
func (k *Kernel) Drained() bool { return k.inFlight == 0 && k.tokenRecords.Running() == 0 }

// CloseRecords stops dispatching and returns the token records to hand over and the peers to try in
// order. Peers in the same failure domain come last, since the whole domain may fail.
func (k *Kernel) CloseRecords() ([]caller.Handover, []peer.Member) {
	k.tokenRecords.Close()
	self := k.config.Self
	var sameDomain, otherDomains []peer.Member
	for _, m := range k.members.Serving() {
		switch {
		case m.Name == self.Name:
		case m.Domain == self.Domain:
			sameDomain = append(sameDomain, m)
		default:
			otherDomains = append(otherDomains, m)
		}
	}
	k.random.Shuffle(len(otherDomains), func(i, j int) { otherDomains[i], otherDomains[j] = otherDomains[j], otherDomains[i] })
	return k.tokenRecords.Export(), append(otherDomains, sameDomain...)
}

// FinishHandover records which peer holds the token records now and leaves the membership.
func (k *Kernel) FinishHandover(now time.Time, successor string) []Action {
	k.members.UpdateSelf(now, func(m *peer.Member) {
		m.State = peer.StateGone
		m.Successor = successor
	})
	k.log(now, Event{Kind: EventHandover, Target: successor})
	var actions []Action
	for _, p := range k.members.Reachable(now) {
		actions = append(actions, SendExchange{To: p, Message: k.exchangeMessage(now)})
	}
	return actions
}

// ReleaseSlots returns the assignment without this proxy's slots, or nil if it has none.
// Outstanding loans need not have ended: the next holder of the slots waits for that, and the VM
// need not.
func (k *Kernel) ReleaseSlots(now time.Time) *kv.Assignment {
	if k.bundle == nil || k.assignment == nil {
		return nil
	}
	k.releasingAll = true
	k.applyQuota(now)
	return kv.NextAssignment(kv.ProxyView{
		Self:         k.holder(),
		Bundle:       k.bundle,
		Assignment:   k.assignment,
		HasLentQuota: k.hasLentQuota(now) || k.hasUsedQuota(now),
		Leaving:      true,
	})
}
