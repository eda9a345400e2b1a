package core

import (
	"slices"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/kv"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
)

const (
	// minStoreInterval is the least time between two tries to store an assignment,
	// stretched at random so that proxies that want the same do not collide.
	minStoreInterval = 200 * time.Millisecond
)

// ApplyAssignment takes in an assignment of quota slots; versions only go up.
func (k *Kernel) ApplyAssignment(now time.Time, a *kv.Assignment) {
	if k.assignment != nil && a.Version <= k.assignment.Version {
		return
	}
	k.assignment = a
	k.assignmentChangedAt = now
	k.applyQuota(now)
	k.log(now, Event{Kind: EventAssignment, Version: a.Version})
	k.scheduleGossip(now)
}

// HandlePlatformReply notes an answer of the platform, asked for at the given time,
// after which this proxy knows the newest assignment.
func (k *Kernel) HandlePlatformReply(now, asked time.Time) { k.maybeLiftFence(now, asked) }

// applyQuota sets the own share of each resource: the lower of what the
// settled figures and the bundle in force here give. A slot that is being
// given back counts no more.
func (k *Kernel) applyQuota(now time.Time) {
	if k.bundle == nil {
		return
	}
	var owned []int
	if !k.releasingAll {
		owned = k.assignment.Owned(k.holder())
	}
	if k.releasingOne && len(owned) > 1 {
		owned = owned[:len(owned)-1]
	}
	current := kv.CapacitiesOf(k.bundle)
	settled := current
	if k.assignment != nil {
		settled = k.assignment.Base
	}
	clean := k.canRaiseImmediately(owned)
	for _, r := range k.regions {
		share := 0
		for _, slot := range owned {
			share += min(current.RegionShare(r.Name, slot), settled.RegionShare(r.Name, slot))
		}
		r.quota.SetBase(share, clean, now)
	}
	for key, q := range k.links {
		share := 0
		if k.regions[key.from].Name == k.config.Self.Region {
			share = linkQuotaShare(&current, &settled, k.regions[key.from].Name, k.regions[key.to].Name, owned)
		}
		q.SetBase(share, clean, now)
	}
}

// canRaiseImmediately reports whether a higher share may be used at once: figures
// are the settled ones, and each slot that is new here was given back by its
// last holder.
func (k *Kernel) canRaiseImmediately(owned []int) bool {
	if k.assignment == nil || !k.assignment.Base.Equal(kv.CapacitiesOf(k.bundle)) {
		return false
	}
	clean := k.sharesBundle == k.assignment.Settled || k.sharesBundle == 0
	for _, slot := range owned {
		if !slices.Contains(k.ownedSlots, slot) && k.assignment.Slots[slot].Seized {
			clean = false
		}
	}
	k.sharesBundle = k.assignment.Settled
	k.ownedSlots = owned
	return clean
}

// linkQuotaShare sums the own slots' parts of a link's limit. A limit that the
// settled bundle lacks was no limit then.
func linkQuotaShare(current, settled *kv.Capacities, from, to string, owned []int) int {
	total := 0
	for _, slot := range owned {
		share, _ := current.LinkShare(from, to, slot)
		if before, ok := settled.LinkShare(from, to, slot); ok {
			share = min(share, before)
		}
		total += share
	}
	return total
}

// proposeAssignment looks for a useful change of the assignment and asks for it.
func (k *Kernel) proposeAssignment(now time.Time, actions []Action) []Action {
	if k.bundle == nil || !k.mayUseQuota(now) || k.stopping || now.Before(k.nextStore) {
		return actions
	}
	k.nextStore = now.Add(minStoreInterval + time.Duration(k.random.Int64N(int64(minStoreInterval))))
	unseated := k.hasPeerWithoutSlots()
	if k.prepareRelease(now, unseated) {
		return actions
	}
	next := kv.Step(kv.View{
		Self:         k.holder(),
		Region:       k.config.Self.Region,
		Bundle:       k.bundle,
		Assignment:   k.assignment,
		Machines:     k.machines,
		Using:        k.capacityBundleOf,
		Unseated:     unseated,
		MayTakeMore:  k.mayClaimMoreSlots(now),
		MayTakeOther: now.Sub(k.assignmentChangedAt) > assignmentSettleTime,
	})
	if next == nil {
		return actions
	}
	return append(actions, StoreAssignment{ExpectedVersion: next.Version - 1, Value: next})
}

// mayClaimMoreSlots reports whether this proxy need not wait for others to turn up:
// it has run for a while, or nobody has taken a slot lately.
func (k *Kernel) mayClaimMoreSlots(now time.Time) bool {
	return now.Sub(k.startedAt) > startupPeriod || now.Sub(k.assignmentChangedAt) > assignmentSettleTime
}

// prepareRelease stops using and lending quota of a slot that is to be given
// to a proxy without one, and reports true until all loans have ended. The
// next holder counts the whole slot as its own.
func (k *Kernel) prepareRelease(now time.Time, unseated bool) bool {
	releasing := unseated && len(k.assignment.Owned(k.holder())) > 1
	if releasing != k.releasingOne {
		k.releasingOne = releasing
		k.releaseStartedAt = now
		k.applyQuota(now)
	}
	return releasing && (k.hasLentQuota(now) || now.Sub(k.releaseStartedAt) < peer.WindowSpan)
}

// hasLentQuota reports whether a peer may still use quota of this proxy.
func (k *Kernel) hasLentQuota(now time.Time) bool {
	lent := false
	k.eachQuota(func(_ peer.Resource, q *peer.Quota) {
		q.Limit(now)
		lent = lent || q.HasLent()
	})
	return lent
}

// hasUsedQuota reports whether the last window still counts an admission.
func (k *Kernel) hasUsedQuota(now time.Time) bool {
	used := false
	k.eachQuota(func(_ peer.Resource, q *peer.Quota) { used = used || q.Used(now) > 0 })
	return used
}

// capacityBundleOf is the bundle whose capacities a holder is known to go by.
func (k *Kernel) capacityBundleOf(h kv.Holder) uint64 {
	m, ok := k.members.Get(h.Name)
	if !ok || m.Incarnation != h.Incarnation {
		return 0
	}
	return m.Figures
}

// hasPeerWithoutSlots reports whether another live proxy owns no slot.
func (k *Kernel) hasPeerWithoutSlots() bool {
	for _, m := range k.members.All() {
		if m.Name == k.config.Self.Name || (m.State != peer.Live && m.State != peer.Joining) {
			continue
		}
		h := kv.Holder{Name: m.Name, Incarnation: m.Incarnation}
		if len(k.assignment.Owned(h)) == 0 {
			return true
		}
	}
	return false
}
