// Package kv holds what the system keeps in the platform's key-value
// service and how a proxy reads it: the assignment of quota slots, the list
// of VMs, and the rules that make a lost or stale answer harmless.
package kv

import (
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
)

const (
	// KeyBundle holds the envelope of the bundle in force.
	KeyBundle Key = "gypsumquay/bundle"
	// KeyAssignment holds who owns which quota slot.
	KeyAssignment Key = "gypsumquay/assignment"
	// ProposalKeyPrefix is the prefix of proposed bundles, by digest.
	ProposalKeyPrefix Key = "gypsumquay/proposals/"
)

const (
	// ownSlotsWeight to otherSlotsWeight is how a region's capacity is divided between its
	// own slots and all others. What others hold is there at once when a region
	// fails over; beyond it, quota is borrowed.
	ownSlotsWeight   = 7
	otherSlotsWeight = 1
)

const (
	// MachineLive VMs run.
	MachineLive MachineState = "live"
	// MachineLeaving VMs are about to be taken away.
	MachineLeaving MachineState = "leaving"
)

type (
	// Key names a value in the key-value service.
	Key string

	// Revision is the service's own version of a value. Zero means absent.
	Revision uint64

	// MachineState is a VM's state in the platform's list.
	MachineState string

	// Machine is one line of the platform's list of VMs. The list lags.
	Machine struct {
		Name  string       `json:"name"`
		State MachineState `json:"state"`
	}

	// MachineList is one version of the list.
	MachineList struct {
		Version  uint64    `json:"version"`
		Machines []Machine `json:"machines"`
	}

	// SlotHolder is the process that owns a quota slot. The zero value means that
	// nobody does.
	SlotHolder struct {
		Name        string `json:"name,omitempty"`
		Incarnation uint64 `json:"incarnation,omitempty"`
		// MayHaveLoans marks a slot whose loans may still be in use, because its
		// holder died or left in haste. The next holder waits before use.
		MayHaveLoans bool `json:"seized,omitempty"`
	}

	// Assignment says who owns which quota slot. Settled is the newest bundle
	// version that all holders are known to use; shares are the lower of what
	// that one and the holder's own bundle give, so that a change of capacity
	// or of the number of slots never sums to more than either allows.
	Assignment struct {
		Version     uint64 `json:"version"`
		BaseVersion uint64 `json:"settled-bundle"`
		// BaseCapacities is the content of the settled bundle that shares depend on.
		BaseCapacities Capacities   `json:"base"`
		Slots          []SlotHolder `json:"slots"`
	}

	// Capacities are the figures of a bundle that quotas are computed from.
	Capacities struct {
		Regions []RegionCapacity `json:"regions"`
		Links   []LinkCapacity   `json:"links,omitempty"`
	}

	// RegionCapacity is a region's capacity in requests per second, and how
	// many quota slots belong to it. Slots are numbered in region order.
	RegionCapacity struct {
		Name     string `json:"name"`
		Capacity int    `json:"capacity"`
		Slots    int    `json:"slots"`
	}

	// LinkCapacity is a link's limit in requests per second.
	LinkCapacity struct {
		From  string `json:"from"`
		To    string `json:"to"`
		Limit int    `json:"limit"`
	}
)

// CapacitiesOf extracts the figures from a bundle.
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

// Equal compares the figures.
func (c Capacities) Equal(other Capacities) bool {
	return slices.Equal(c.Regions, other.Regions) && slices.Equal(c.Links, other.Links)
}

// slots counts all quota slots.
func (c *Capacities) slots() int {
	total := 0
	for _, r := range c.Regions {
		total += r.Slots
	}
	return total
}

// SlotRegion names the region that a slot belongs to.
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

// RegionShare is one slot's share of a region's capacity. The region's own
// slots hold ownSlotsWeight of it to otherSlotsWeight of all others, however many there
// are of either, because its own proxies carry most of its traffic. The shares
// of all slots sum to the capacity.
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

// LinkShare is one slot's share of a link's limit, which only slots of the
// region that it leads from have. It reports false when there is no limit.
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

// proportionalShare is what falls to own units after before units, of total, such that all
// parts sum to the whole.
func proportionalShare(amount, weightBefore, weight, totalWeight int) int {
	if totalWeight == 0 {
		return 0
	}
	return amount*(weightBefore+weight)/totalWeight - amount*weightBefore/totalWeight
}

// ParseAssignment decodes an assignment.
func ParseAssignment(data []byte) (*Assignment, error) {
	var a Assignment
	if err := operator.DecodeStrict(data, &a); err != nil {
		return nil, errors.Wrap(err, "assignment")
	}
	return &a, nil
}

// Encode writes the assignment as stored and sent.
func (a *Assignment) Encode() []byte { return mustEncode(a) }

// ParseMachineList decodes a list of VMs.
func ParseMachineList(data []byte) (*MachineList, error) {
	var m MachineList
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, errors.Wrap(err, "list of VMs")
	}
	return &m, nil
}

// Encode writes the list as sent.
func (l *MachineList) Encode() []byte { return mustEncode(l) }

func mustEncode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic("platform: value does not encode: " + err.Error())
	}
	return data
}

// WithState is the next version of the list with one VM's state changed. An empty
// state takes the VM out.
func (l *MachineList) WithState(name string, state MachineState) MachineList {
	next := MachineList{Version: l.Version + 1}
	for _, machine := range l.Machines {
		if machine.Name != name {
			next.Machines = append(next.Machines, machine)
		}
	}
	if state != "" {
		next.Machines = append(next.Machines, Machine{Name: name, State: state})
	}
	return next
}

// State finds a VM in the list; false means that the list does not show it.
func (l *MachineList) State(name string) (MachineState, bool) {
	if l == nil {
		return "", false
	}
	for i := range l.Machines {
		if l.Machines[i].Name == name {
			return l.Machines[i].State, true
		}
	}
	return "", false
}

// SlotsOf lists the slots of a holder.
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

// nextVersion copies the assignment under the following version.
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
