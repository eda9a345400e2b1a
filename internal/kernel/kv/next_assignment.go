package kv

import (
	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
)

type (
	// ProxyView is what a proxy knows when it looks for a useful change.
	ProxyView struct {
		Self       SlotHolder
		Region     string
		Bundle     *operator.Bundle
		Assignment *Assignment
		Machines   *MachineList
		// CapacityBundle is the bundle whose capacities a holder is known to go by, zero
		// when nothing is known of it.
		CapacityBundle func(SlotHolder) uint64
		// HasPeerWithoutSlots reports whether a live proxy without a slot is known.
		HasPeerWithoutSlots bool
		// MayClaimMoreSlots permits a second slot. A proxy waits with that, because
		// at a cold start the others may only be a little later.
		MayClaimMoreSlots bool
		// MayClaimOtherRegions permits a slot of another region, after its own proxies
		// had time to take it.
		MayClaimOtherRegions bool
		// HasLentQuota means that loans from the own slots may still be in use.
		HasLentQuota bool
		// Leaving means that this proxy is about to stop and idle.
		Leaving bool
	}
)

// NextAssignment returns the next assignment that this proxy should try to store, or
// nil. A proxy only ever takes slots for itself or gives its own away; that
// and the store's compare-and-swap keep two holders off one slot. Steps are
// taken in order of urgency: give back, settle a bundle, take one slot.
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

// adoptCapacities takes a bundle's capacities over once every holder is known to go by
// them. Until then all use the lower of two shares. Bundles that change none
// need nothing of this.
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
			// A slot beyond the new number is still owned: its holder gives
			// it back first, or loses it when the list says it is dead.
			continue
		}
		next.Slots[i] = SlotHolder{}
	}
	next.BaseVersion = v.Bundle.Version
	next.BaseCapacities = CapacitiesOf(v.Bundle)
	return next
}

// claimSlot claims a slot that nobody holds, or whose holder is dead by the
// platform's word: its VM has left the list, or runs a later incarnation,
// which is this very process.
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

// bestFreeSlot finds a free slot, one of the own region if there is one: it holds
// most of the capacity that the own callers need.
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
		// The process listens on the VM's own address, so the earlier one
		// that did has ended.
		return h.Incarnation < v.Self.Incarnation
	}
	if v.Machines == nil {
		return false
	}
	_, listed := v.Machines.State(h.Name)
	return !listed
}
