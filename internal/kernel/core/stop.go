package core

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
	"github.com/gypsumquay/gypsumquay/internal/kernel/kv"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
)

const (
	// stopGracePeriod covers the time in which peers learn of the stop and may
	// still name this proxy in answers.
	stopGracePeriod = 2 * time.Second
)

// BeginStop starts a planned stop: peers are told, look-ups leave this proxy
// out, and it serves on until no cached answer names it any more.
func (k *Kernel) BeginStop(now time.Time) {
	if k.stopping {
		return
	}
	k.stopping = true
	k.stopStartedAt = now
	k.members.UpdateSelf(now, func(m *peer.Member) { m.State = peer.Leaving })
	k.log(now, Event{Kind: EventStopping})
	k.scheduleGossip(now)
}

// MayStopServing reports whether a stopping proxy may refuse new requests:
// every cached answer that names it has run out.
func (k *Kernel) MayStopServing(now time.Time) bool {
	if !k.stopping {
		return false
	}
	lifetime := time.Duration(0)
	if k.bundle != nil {
		lifetime = k.bundle.Lookup.Lifetime.Std()
	}
	return !now.Before(k.stopStartedAt.Add(lifetime + stopGracePeriod))
}

// Drained reports whether no request is in flight.
func (k *Kernel) Drained() bool { return k.inFlight == 0 && k.tokenRecords.Running() == 0 }

// CloseRecords ends dispatching and returns what a peer should take over, and
// the peers to try in order: same failure domain last, for it may go as a
// whole.
func (k *Kernel) CloseRecords() ([]caller.Handover, []peer.Member) {
	k.tokenRecords.Close()
	self := k.config.Self
	var near, far []peer.Member
	for _, m := range k.members.Serving() {
		switch {
		case m.Name == self.Name:
		case m.Domain == self.Domain:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	k.random.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	return k.tokenRecords.Export(), append(far, near...)
}

// FinishHandover notes who holds the records now, and leaves the membership.
func (k *Kernel) FinishHandover(now time.Time, successor string) []Action {
	k.members.UpdateSelf(now, func(m *peer.Member) {
		m.State = peer.Gone
		m.Successor = successor
	})
	k.log(now, Event{Kind: EventHandover, Target: successor})
	var actions []Action
	for _, p := range k.members.Reachable(now) {
		actions = append(actions, SendExchange{To: p, Message: k.exchangeMessage(now)})
	}
	return actions
}

// ReleaseSlots is the assignment without this proxy's slots, or nil when it
// has none. Loans from them need not have ended: whoever takes the slots next
// waits for that, and the VM need not.
func (k *Kernel) ReleaseSlots(now time.Time) *kv.Assignment {
	if k.bundle == nil || k.assignment == nil {
		return nil
	}
	k.releasingAll = true
	k.applyQuota(now)
	return kv.Step(kv.View{
		Self:       k.holder(),
		Bundle:     k.bundle,
		Assignment: k.assignment,
		Lent:       k.hasLentQuota(now) || k.hasUsedQuota(now),
		Leaving:    true,
	})
}
