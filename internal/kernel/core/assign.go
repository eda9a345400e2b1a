package core

import (
	"slices"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/kv"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
)

const (
	// minStoreInterval is the minimum time between two attempts to store an assignment. It is
	// extended at random so that proxies that want the same change do not collide.
	minStoreInterval = 200 * time.Millisecond
)

// ApplyAssignment applies an assignment of quota slots. Older versions are ignored.
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

// HandlePlatformReply records a reply of the platform to a request sent at sentAt. This proxy then
// knows the latest assignment.
func (k *Kernel) HandlePlatformReply(now, sentAt time.Time) { k.maybeLiftFence(now, sentAt) }

// applyQuota sets this proxy's share of each resource: the lower of the shares by the settled
// capacities and by the bundle in force here. A slot that is being released no longer counts.
func (k *Kernel) applyQuota(now time.Time) {
	if k.bundle == nil {
		return
	}
	var owned []int
	if !k.releasingAll {
		owned = k.assignment.SlotsOf(k.holder())
	}
	if k.releasingOne && len(owned) > 1 {
		owned = owned[:len(owned)-1]
	}
	current := kv.CapacitiesOf(k.bundle)
	settled := current
	if k.assignment != nil {
		settled = k.assignment.BaseCapacities
	}
	immediate := k.canRaiseImmediately(owned)
	for _, r := range k.regions {
		share := 0
		for _, slot := range owned {
			share += min(current.RegionShare(r.Name, slot), settled.RegionShare(r.Name, slot))
		}
		r.quota.SetBase(share, immediate, now)
	}
	for key, q := range k.links {
		share := 0
		if k.regions[key.from].Name == k.config.Self.Region {
			share = linkQuotaShare(&current, &settled, k.regions[key.from].Name, k.regions[key.to].Name, owned)
		}
		q.SetBase(share, immediate, now)
	}
}

// canRaiseImmediately reports whether a higher share may be used at once: the capacities are the
// settled ones, and every newly owned slot was released by its previous holder.
func (k *Kernel) canRaiseImmediately(owned []int) bool {
	if k.assignment == nil || !k.assignment.BaseCapacities.Equal(kv.CapacitiesOf(k.bundle)) {
		return false
	}
	immediate := k.sharesBundle == k.assignment.BaseVersion || k.sharesBundle == 0
	for _, slot := range owned {
		if !slices.Contains(k.ownedSlots, slot) && k.assignment.Slots[slot].MayHaveLoans {
			immediate = false
		}
	}
	k.sharesBundle = k.assignment.BaseVersion
	k.ownedSlots = owned
	return immediate
}

// linkQuotaShare sums the shares of a link's limit over the owned slots. A link without a limit in
// the settled capacities was unlimited under them.
func linkQuotaShare(current, settled *kv.Capacities, from, to string, owned []int) int {
	total := 0
	for _, slot := range owned {
		share, _ := current.LinkShare(from, to, slot)
		if settledShare, ok := settled.LinkShare(from, to, slot); ok {
			share = min(share, settledShare)
		}
		total += share
	}
	return total
}

// proposeAssignment determines whether the assignment should change and, if so, requests that the
// change be stored.
func (k *Kernel) proposeAssignment(now time.Time, actions []Action) []Action {
	if k.bundle == nil || !k.mayUseQuota(now) || k.stopping || now.Before(k.nextStore) {
		return actions
	}
	k.nextStore = now.Add(minStoreInterval + time.Duration(k.random.Int64N(int64(minStoreInterval))))
	peerWithoutSlots := k.hasPeerWithoutSlots()
	if k.prepareRelease(now, peerWithoutSlots) {
		return actions
	}
	next := kv.NextAssignment(kv.ProxyView{
		Self:                 k.holder(),
		Region:               k.config.Self.Region,
		Bundle:               k.bundle,
		Assignment:           k.assignment,
		VMList:               k.vmList,
		CapacityBundle:       k.capacityBundleOf,
		HasPeerWithoutSlots:  peerWithoutSlots,
		MayClaimMoreSlots:    k.mayClaimMoreSlots(now),
		MayClaimOtherRegions: now.Sub(k.assignmentChangedAt) > assignmentSettleTime,
	})
	if next == nil {
		return actions
	}
	return append(actions, StoreAssignment{ExpectedVersion: next.Version - 1, Value: next})
}

// mayClaimMoreSlots reports whether this proxy need not wait for other proxies to join: it has run
// for startupPeriod, or the assignment has not changed for assignmentSettleTime.
func (k *Kernel) mayClaimMoreSlots(now time.Time) bool {
	return now.Sub(k.startedAt) > startupPeriod || now.Sub(k.assignmentChangedAt) > assignmentSettleTime
}

// prepareRelease stops using and lending the quota of a slot that is to be released to a proxy
// without slots. It returns true until all loans have ended, since the next holder uses the whole
// slot.
func (k *Kernel) prepareRelease(now time.Time, peerWithoutSlots bool) bool {
	releasing := peerWithoutSlots && len(k.assignment.SlotsOf(k.holder())) > 1
	if releasing != k.releasingOne {
		k.releasingOne = releasing
		k.releaseStartedAt = now
		k.applyQuota(now)
	}
	return releasing && (k.hasLentQuota(now) || now.Sub(k.releaseStartedAt) < peer.WindowLength)
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

// hasUsedQuota reports whether any admission is counted in the last window.
func (k *Kernel) hasUsedQuota(now time.Time) bool {
	used := false
	k.eachQuota(func(_ peer.Resource, q *peer.Quota) { used = used || q.Used(now) > 0 })
	return used
}

// capacityBundleOf returns the version of the bundle whose capacities a slot holder is known to
// use, or 0.
func (k *Kernel) capacityBundleOf(h kv.SlotHolder) uint64 {
	m, ok := k.members.Get(h.Name)
	if !ok || m.Incarnation != h.Incarnation {
		return 0
	}
	return m.CapacityBundle
}

// hasPeerWithoutSlots reports whether another live or joining proxy owns no slot.
func (k *Kernel) hasPeerWithoutSlots() bool {
	for _, m := range k.members.All() {
		if m.Name == k.config.Self.Name || (m.State != peer.StateLive && m.State != peer.StateJoining) {
			continue
		}
		h := kv.SlotHolder{Name: m.Name, Incarnation: m.Incarnation}
		if len(k.assignment.SlotsOf(h)) == 0 {
			return true
		}
	}
	return false
}
