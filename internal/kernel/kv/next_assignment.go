package kv

import (
	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
)

type (
	// ProxyView is the state that a proxy derives the next assignment from.
	ProxyView struct {
		Self       SlotHolder
		Region     string
		Bundle     *operator.Bundle
		Assignment *Assignment
		VMList     *VMList
		// CapacityBundle returns the version of the bundle whose capacities a holder is known to
		// use, or zero if it is not known.
		CapacityBundle func(SlotHolder) uint64
		// HasPeerWithoutSlots is set if a live proxy without a slot is known.
		HasPeerWithoutSlots bool
		// MayClaimMoreSlots allows the proxy to claim a second slot. A proxy delays this because at
		// a cold start the other proxies may start slightly later.
		MayClaimMoreSlots bool
		// MayClaimOtherRegions allows the proxy to claim a slot of another region, once that
		// region's own proxies have had time to claim it.
		MayClaimOtherRegions bool
		// HasLentQuota is set if quota lent from the proxy's own slots may still be in use.
		HasLentQuota bool
		// Leaving is set if the proxy is about to stop and has no requests in progress.
		Leaving bool
	}
)

// NextAssignment returns the next assignment that the proxy should try to store, or nil if none is
// needed. A proxy only claims slots for itself or releases its own. Together with the store's
// compare-and-swap this ensures that no two processes hold the same slot. The changes are tried in
// order of urgency: release slots, adopt the bundle's capacities, claim a slot.
func NextAssignment(v ProxyView) *Assignment {
	if v.Bundle == nil {
		return nil
	}
	if next := releaseSlots(v); next != nil {
		return next
	}
	if v.Leaving {
		return nil
	}
	if next := adoptCapacities(v); next != nil {
		return next
	}
	return claimSlot(v)
}

// releaseSlots releases all slots of a leaving proxy, or one if another proxy has none and no slot
// is free.
func releaseSlots(v ProxyView) *Assignment {
	owned := v.Assignment.SlotsOf(v.Self)
	count := 0
	switch {
	case v.Leaving:
		count = len(owned)
	case v.HasPeerWithoutSlots && len(owned) > 1 && !v.hasFreeSlot():
		count = 1
	}
	if count == 0 {
		return nil
	}
	next := v.Assignment.nextVersion(0)
	for _, slot := range owned[len(owned)-count:] {
		next.Slots[slot] = SlotHolder{MayHaveLoans: v.HasLentQuota}
	}
	return next
}

// adoptCapacities makes the bundle's capacities the base capacities once every holder is known to
// use them. Until then each holder uses the lower of its two shares. Nothing is stored for a bundle
// that leaves the capacities unchanged.
func adoptCapacities(v ProxyView) *Assignment {
	a := v.Assignment
	if a == nil {
		next := a.nextVersion(v.Bundle.QuotaSlots())
		next.BaseVersion = v.Bundle.Version
		next.BaseCapacities = CapacitiesOf(v.Bundle)
		return next
	}
	if a.BaseCapacities.Equal(CapacitiesOf(v.Bundle)) || len(a.SlotsOf(v.Self)) == 0 {
		return nil
	}
	for _, h := range a.Slots {
		if h.Name != "" && v.CapacityBundle(h) < v.CapacityBundle(v.Self) {
			return nil
		}
	}
	slots := v.Bundle.QuotaSlots()
	next := a.nextVersion(slots)
	for i := slots; i < len(next.Slots); i++ {
		if h := next.Slots[i]; h.Name != "" && (h.Name != v.Self.Name || h.Incarnation != v.Self.Incarnation) {
			// The slot is beyond the new number of slots but still owned. Its holder releases it
			// first, or loses it when the list of VMs shows that the holder is dead.
			continue
		}
		next.Slots[i] = SlotHolder{}
	}
	next.BaseVersion = v.Bundle.Version
	next.BaseCapacities = CapacitiesOf(v.Bundle)
	return next
}

// claimSlot claims a slot that is free or whose holder is known to be dead: the holder's VM is no
// longer in the platform's list, or is this VM and now runs this process, which is a later
// incarnation.
func claimSlot(v ProxyView) *Assignment {
	a := v.Assignment
	ownedCount := len(a.SlotsOf(v.Self))
	if ownedCount > 0 && (v.HasPeerWithoutSlots || !v.MayClaimMoreSlots) {
		return nil
	}
	slot := v.bestFreeSlot()
	if slot < 0 {
		return nil
	}
	next := a.nextVersion(0)
	next.Slots[slot] = v.Self
	next.Slots[slot].MayHaveLoans = a.Slots[slot] != (SlotHolder{})
	return next
}

// bestFreeSlot returns a free slot, or -1. It prefers slots of the proxy's own region, which hold
// most of the capacity that the region's callers need.
func (v ProxyView) bestFreeSlot() int {
	otherRegionSlot := -1
	for i := range v.Assignment.Slots[:min(len(v.Assignment.Slots), v.usableSlots())] {
		if !v.isFree(v.Assignment.Slots[i]) {
			continue
		}
		if v.Assignment.BaseCapacities.SlotRegion(i) == v.Region {
			return i
		}
		if otherRegionSlot < 0 {
			otherRegionSlot = i
		}
	}
	if !v.MayClaimOtherRegions {
		return -1
	}
	return otherRegionSlot
}

func (v ProxyView) usableSlots() int {
	return min(v.Bundle.QuotaSlots(), v.Assignment.BaseCapacities.slots())
}

func (v ProxyView) hasFreeSlot() bool {
	for _, h := range v.Assignment.Slots[:min(len(v.Assignment.Slots), v.usableSlots())] {
		if v.isFree(h) {
			return true
		}
	}
	return false
}

func (v ProxyView) isFree(h SlotHolder) bool {
	if h.Name == "" {
		return true
	}
	if h.Name == v.Self.Name {
		// This process listens on the VM's address, so the earlier process that did has exited.
		return h.Incarnation < v.Self.Incarnation
	}
	if v.VMList == nil {
		return false
	}
	_, listed := v.VMList.State(h.Name)
	return !listed
}
