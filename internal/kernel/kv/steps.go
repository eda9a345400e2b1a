package kv

import (
	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
)

type (
	// View is what a proxy knows when it looks for a useful change.
	View struct {
		Self       Holder
		Region     string
		Bundle     *operator.Bundle
		Assignment *Assignment
		Machines   *Machines
		// Using is the bundle whose capacities a holder is known to go by, zero
		// when nothing is known of it.
		Using func(Holder) uint64
		// Unseated reports whether a live proxy without a slot is known.
		Unseated bool
		// MayTakeMore permits a second slot. A proxy waits with that, because
		// at a cold start the others may only be a little later.
		MayTakeMore bool
		// MayTakeOther permits a slot of another region, after its own proxies
		// had time to take it.
		MayTakeOther bool
		// Lent means that loans from the own slots may still be in use.
		Lent bool
		// Leaving means that this proxy is about to stop and idle.
		Leaving bool
	}
)

// Step returns the next assignment that this proxy should try to store, or
// nil. A proxy only ever takes slots for itself or gives its own away; that
// and the store's compare-and-swap keep two holders off one slot. Steps are
// taken in order of urgency: give back, settle a bundle, take one slot.
func Step(v View) *Assignment {
	if v.Bundle == nil {
		return nil
	}
	if n := giveBack(v); n != nil {
		return n
	}
	if v.Leaving {
		return nil
	}
	if n := settle(v); n != nil {
		return n
	}
	return take(v)
}

func giveBack(v View) *Assignment {
	owned := v.Assignment.Owned(v.Self)
	release := 0
	switch {
	case v.Leaving:
		release = len(owned)
	case v.Unseated && len(owned) > 1 && !v.vacant():
		release = 1
	}
	if release == 0 {
		return nil
	}
	n := v.Assignment.next(0)
	for _, slot := range owned[len(owned)-release:] {
		n.Slots[slot] = Holder{Seized: v.Lent}
	}
	return n
}

// settle takes a bundle's capacities over once every holder is known to go by
// them. Until then all use the lower of two shares. Bundles that change none
// need nothing of this.
func settle(v View) *Assignment {
	a := v.Assignment
	if a == nil {
		n := a.next(v.Bundle.QuotaSlots())
		n.Settled = v.Bundle.Version
		n.Base = CapacitiesOf(v.Bundle)
		return n
	}
	if a.Base.Equal(CapacitiesOf(v.Bundle)) || len(a.Owned(v.Self)) == 0 {
		return nil
	}
	for _, h := range a.Slots {
		if h.Name != "" && v.Using(h) < v.Using(v.Self) {
			return nil
		}
	}
	slots := v.Bundle.QuotaSlots()
	n := a.next(slots)
	for i := slots; i < len(n.Slots); i++ {
		if h := n.Slots[i]; h.Name != "" && (h.Name != v.Self.Name || h.Incarnation != v.Self.Incarnation) {
			// A slot beyond the new number is still owned: its holder gives
			// it back first, or loses it when the list says it is dead.
			continue
		}
		n.Slots[i] = Holder{}
	}
	n.Settled = v.Bundle.Version
	n.Base = CapacitiesOf(v.Bundle)
	return n
}

// take claims a slot that nobody holds, or whose holder is dead by the
// platform's word: its VM has left the list, or runs a later incarnation,
// which is this very process.
func take(v View) *Assignment {
	a := v.Assignment
	owned := len(a.Owned(v.Self))
	if owned > 0 && (v.Unseated || !v.MayTakeMore) {
		return nil
	}
	i := v.bestFree()
	if i < 0 {
		return nil
	}
	n := a.next(0)
	n.Slots[i] = v.Self
	n.Slots[i].Seized = a.Slots[i] != (Holder{})
	return n
}

// bestFree finds a free slot, one of the own region if there is one: it holds
// most of the capacity that the own callers need.
func (v View) bestFree() int {
	other := -1
	for i := range v.Assignment.Slots[:min(len(v.Assignment.Slots), v.usableSlots())] {
		if !v.free(v.Assignment.Slots[i]) {
			continue
		}
		if v.Assignment.Base.SlotRegion(i) == v.Region {
			return i
		}
		if other < 0 {
			other = i
		}
	}
	if !v.MayTakeOther {
		return -1
	}
	return other
}

func (v View) usableSlots() int {
	return min(v.Bundle.QuotaSlots(), v.Assignment.Base.slots())
}

func (v View) vacant() bool {
	for _, h := range v.Assignment.Slots[:min(len(v.Assignment.Slots), v.usableSlots())] {
		if v.free(h) {
			return true
		}
	}
	return false
}

func (v View) free(h Holder) bool {
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
