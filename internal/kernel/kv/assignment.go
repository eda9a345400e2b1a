// Package kv defines the values that the system stores in the platform's key-value service, such as
// the assignment of quota slots, and the platform's list of VMs. It also implements the operations
// on them, so that lost or stale responses do no harm.
package kv

import (
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
)

const (
	// KeyBundle is the key of the current bundle's envelope.
	KeyBundle Key = "gypsumquay/bundle"
	// KeyAssignment is the key of the assignment of quota slots to proxies.
	KeyAssignment Key = "gypsumquay/assignment"
	// ProposalKeyPrefix is the key prefix of proposed bundles; the rest of the key is the digest.
	ProposalKeyPrefix Key = "gypsumquay/proposals/"
)

const (
	// ownSlotsWeight and otherSlotsWeight divide a region's capacity between its own slots and all
	// other slots. The part of the others is available immediately when a region fails over to this
	// one; quota beyond it has to be borrowed.
	ownSlotsWeight   = 7
	otherSlotsWeight = 1
)

const (
	// VMLive is the state of a running VM.
	VMLive VMState = "live"
	// VMLeaving is the state of a VM that is about to be removed.
	VMLeaving VMState = "leaving"
)

type (
	// Key is the key of a value in the key-value service.
	Key string

	// Revision is the version that the service gives a value. Zero means that there is no value.
	Revision uint64

	// VMState is a VM's state in the platform's list.
	VMState string

	// VM is an entry of the platform's list of VMs, which lags behind their actual state.
	VM struct {
		Name  string  `json:"name"`
		State VMState `json:"state"`
	}

	// VMList is a version of the platform's list of VMs.
	VMList struct {
		Version uint64 `json:"version"`
		VMs     []VM   `json:"machines"`
	}

	// SlotHolder identifies the process that owns a quota slot. The zero value means that the slot
	// is free.
	SlotHolder struct {
		Name        string `json:"name,omitempty"`
		Incarnation uint64 `json:"incarnation,omitempty"`
		// MayHaveLoans is set if quota lent from the slot may still be in use because its previous
		// holder died, or left before its loans expired. The next holder waits before using the
		// slot.
		MayHaveLoans bool `json:"seized,omitempty"`
	}

	// Assignment maps quota slots to the processes that own them. BaseVersion is the newest bundle
	// version that all holders are known to use. A share is the lower of the values computed from
	// that version and from the holder's own bundle, so that while the capacity or the number of
	// slots changes, the shares never sum to more than either bundle allows.
	Assignment struct {
		Version     uint64 `json:"version"`
		BaseVersion uint64 `json:"settled-bundle"`
		// BaseCapacities holds the capacities of the bundle of BaseVersion.
		BaseCapacities Capacities   `json:"base"`
		Slots          []SlotHolder `json:"slots"`
	}

	// Capacities holds the values of a bundle that quotas are computed from.
	Capacities struct {
		Regions []RegionCapacity `json:"regions"`
		Links   []LinkCapacity   `json:"links,omitempty"`
	}

	// RegionCapacity is the capacity of a region in requests per second, with the number of its
	// quota slots. Slots are numbered consecutively in the order of the regions.
	RegionCapacity struct {
		Name     string `json:"name"`
		Capacity int    `json:"capacity"`
		Slots    int    `json:"slots"`
	}

	// LinkCapacity is the limit of a link between regions, in requests per second.
	LinkCapacity struct {
		From  string `json:"from"`
		To    string `json:"to"`
		Limit int    `json:"limit"`
	}
)

// CapacitiesOf returns the capacities that a bundle configures.
func CapacitiesOf(b *operator.Bundle) Capacities {
	var c Capacities
	for _, r := range b.Regions {
		c.Regions = append(c.Regions, RegionCapacity{Name: r.Name, Capacity: r.Capacity, Slots: r.QuotaSlots})
	}
	for _, l := range b.Links {
		c.Links = append(c.Links, LinkCapacity{From: l.From, To: l.To, Limit: l.Limit})
	}
	return c
}

// Equal reports whether c and other configure the same capacities, in the same order.
func (c Capacities) Equal(other Capacities) bool {
	return slices.Equal(c.Regions, other.Regions) && slices.Equal(c.Links, other.Links)
}

// slots returns the number of quota slots over all regions.
func (c *Capacities) slots() int {
	total := 0
	for _, r := range c.Regions {
		total += r.Slots
	}
	return total
}

// SlotRegion returns the name of the region that a slot belongs to, or "" if there is no such slot.
func (c *Capacities) SlotRegion(slot int) string {
	end := 0
	for _, r := range c.Regions {
		end += r.Slots
		if slot < end {
			return r.Name
		}
	}
	return ""
}

// RegionShare returns a slot's share of a region's capacity. The region's own slots and all other
// slots divide the capacity in the ratio of ownSlotsWeight to otherSlotsWeight, regardless of their
// numbers, because a region's own proxies carry most of its traffic. The shares of all slots sum to
// the capacity.
func (c *Capacities) RegionShare(region string, slot int) int {
	ownSlots, capacity := 0, 0
	for _, r := range c.Regions {
		if r.Name == region {
			ownSlots = r.Slots
			capacity = r.Capacity
		}
	}
	ownWeight, otherWeight := ownSlotsWeight*(c.slots()-ownSlots), otherSlotsWeight*ownSlots
	if ownSlots == 0 || ownSlots == c.slots() {
		ownWeight, otherWeight = 1, 1
	}
	weightBefore, slotWeight, totalWeight, firstSlot := 0, 0, 0, 0
	for _, r := range c.Regions {
		weight := otherWeight
		if r.Name == region {
			weight = ownWeight
		}
		switch {
		case slot >= firstSlot+r.Slots:
			weightBefore += weight * r.Slots
		case slot >= firstSlot:
			weightBefore += weight * (slot - firstSlot)
			slotWeight = weight
		}
		totalWeight += weight * r.Slots
		firstSlot += r.Slots
	}
	return proportionalShare(capacity, weightBefore, slotWeight, totalWeight)
}

// LinkShare returns a slot's share of the limit of a link. Only slots of the link's source region
// have a share. The result is false if the link has no limit.
func (c *Capacities) LinkShare(from, to string, slot int) (int, bool) {
	firstSlot := 0
	slots := 0
	for _, r := range c.Regions {
		if r.Name == from {
			slots = r.Slots
			break
		}
		firstSlot += r.Slots
	}
	for _, l := range c.Links {
		if l.From != from || l.To != to {
			continue
		}
		if slot < firstSlot || slot >= firstSlot+slots {
			return 0, true
		}
		return proportionalShare(l.Limit, slot-firstSlot, 1, slots), true
	}
	return 0, false
}

// proportionalShare returns the part of amount that belongs to a weight which follows weightBefore
// in a sequence of weights that sums to totalWeight. Rounding is cumulative, so that the parts of
// the whole sequence sum to amount.
func proportionalShare(amount, weightBefore, weight, totalWeight int) int {
	if totalWeight == 0 {
		return 0
	}
	return amount*(weightBefore+weight)/totalWeight - amount*weightBefore/totalWeight
}

// ParseAssignment decodes an assignment from JSON.
func ParseAssignment(data []byte) (*Assignment, error) {
	var a Assignment
	if err := operator.DecodeStrict(data, &a); err != nil {
		return nil, errors.Wrap(err, "decode assignment")
	}
	return &a, nil
}

// Encode returns the assignment as JSON.
func (a *Assignment) Encode() []byte { return mustEncode(a) }

// ParseVMList decodes a list of VMs from JSON.
func ParseVMList(data []byte) (*VMList, error) {
	var m VMList
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, errors.Wrap(err, "decode list of VMs")
	}
	return &m, nil
}

// Encode returns the list as JSON.
func (l *VMList) Encode() []byte { return mustEncode(l) }

func mustEncode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic("kv: cannot encode value: " + err.Error())
	}
	return data
}

// WithState returns the next version of the list, in which a VM has the given state. An empty state
// removes the VM.
func (l *VMList) WithState(name string, state VMState) VMList {
	next := VMList{Version: l.Version + 1}
	for _, vm := range l.VMs {
		if vm.Name != name {
			next.VMs = append(next.VMs, vm)
		}
	}
	if state != "" {
		next.VMs = append(next.VMs, VM{Name: name, State: state})
	}
	return next
}

// State returns the state of a VM. The result is false if the VM is not in the list.
func (l *VMList) State(name string) (VMState, bool) {
	if l == nil {
		return "", false
	}
	for i := range l.VMs {
		if l.VMs[i].Name == name {
			return l.VMs[i].State, true
		}
	}
	return "", false
}

// SlotsOf returns the numbers of the slots that a holder owns.
func (a *Assignment) SlotsOf(h SlotHolder) []int {
	if a == nil {
		return nil
	}
	var slots []int
	for i, holder := range a.Slots {
		if holder.Name == h.Name && holder.Incarnation == h.Incarnation {
			slots = append(slots, i)
		}
	}
	return slots
}

// nextVersion returns a copy of the assignment with the version incremented and at least the given
// number of slots.
func (a *Assignment) nextVersion(slots int) *Assignment {
	next := &Assignment{Version: 1}
	if a != nil {
		*next = *a
		next.Version = a.Version + 1
		next.Slots = slices.Clone(a.Slots)
	}
	for len(next.Slots) < slots {
		next.Slots = append(next.Slots, SlotHolder{})
	}
	return next
}
