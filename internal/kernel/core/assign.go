package core

import (
	"slices"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/kv"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
)

const (
	// storeEvery is the least time between two tries to store an assignment,
	// stretched at random so that proxies that want the same do not collide.
	storeEvery = 200 * time.Millisecond
)

// ApplyAssignment takes in an assignment of quota slots; versions only go up.
func (k *Kernel) ApplyAssignment(now time.Time, a *kv.Assignment) {
	if k.assignment != nil && a.Version <= k.assignment.Version {
		return
	}
	k.assignment = a
	k.assignedSince = now
	k.applyQuota(now)
	k.log(now, Event{Kind: EventAssignment, Version: a.Version})
	k.spreadNews(now)
}

// HandlePlatformReply notes an answer of the platform, asked for at the given time,
// after which this proxy knows the newest assignment.
func (k *Kernel) HandlePlatformReply(now, asked time.Time) { k.heardAnyone(now, asked) }

// applyQuota sets the own share of each resource: the lower of what the
// settled figures and the bundle in force here give. A slot that is being
// given back counts no more.
func (k *Kernel) applyQuota(now time.Time) {
	if k.bundle == nil {
		return
	}
	var owned []int
	if !k.givingUp {
		owned = k.assignment.Owned(k.holder())
	}
	if k.releasing && len(owned) > 1 {
		owned = owned[:len(owned)-1]
	}
	current := kv.CapacitiesOf(k.bundle)
	settled := current
	if k.assignment != nil {
		settled = k.assignment.Base
	}
	clean := k.raisesCleanly(owned)
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
			share = linkShare(&current, &settled, k.regions[key.from].Name, k.regions[key.to].Name, owned)
		}
		q.SetBase(share, clean, now)
	}
}

// raisesCleanly reports whether a higher share may be used at once: figures
// are the settled ones, and each slot that is new here was given back by its
// last holder.
func (k *Kernel) raisesCleanly(owned []int) bool {
	if k.assignment == nil || !k.assignment.Base.Equal(kv.CapacitiesOf(k.bundle)) {
		return false
	}
	clean := k.shareFigures == k.assignment.Settled || k.shareFigures == 0
	for _, slot := range owned {
		if !slices.Contains(k.ownedSlots, slot) && k.assignment.Slots[slot].Seized {
			clean = false
		}
	}
	k.shareFigures = k.assignment.Settled
	k.ownedSlots = owned
	return clean
}

// linkShare sums the own slots' parts of a link's limit. A limit that the
// settled bundle lacks was no limit then.
func linkShare(current, settled *kv.Capacities, from, to string, owned []int) int {
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

// store looks for a useful change of the assignment and asks for it.
func (k *Kernel) store(now time.Time, actions []Action) []Action {
	if k.bundle == nil || !k.mayUseQuota(now) || k.stopping || now.Before(k.nextStore) {
		return actions
	}
	k.nextStore = now.Add(storeEvery + time.Duration(k.random.Int64N(int64(storeEvery))))
	unseated := k.unseated()
	if k.prepareRelease(now, unseated) {
		return actions
	}
	next := kv.Step(kv.View{
		Self:         k.holder(),
		Region:       k.config.Self.Region,
		Bundle:       k.bundle,
		Assignment:   k.assignment,
		Machines:     k.machines,
		Using:        k.bundleOf,
		Unseated:     unseated,
		MayTakeMore:  k.mayTakeMore(now),
		MayTakeOther: now.Sub(k.assignedSince) > settleAfter,
	})
	if next == nil {
		return actions
	}
	return append(actions, StoreAssignment{ExpectedVersion: next.Version - 1, Value: next})
}

// mayTakeMore reports whether this proxy need not wait for others to turn up:
// it has run for a while, or nobody has taken a slot lately.
func (k *Kernel) mayTakeMore(now time.Time) bool {
	return now.Sub(k.started) > youngFor || now.Sub(k.assignedSince) > settleAfter
}

// prepareRelease stops using and lending quota of a slot that is to be given
// to a proxy without one, and reports true until all loans have ended. The
// next holder counts the whole slot as its own.
func (k *Kernel) prepareRelease(now time.Time, unseated bool) bool {
	releasing := unseated && len(k.assignment.Owned(k.holder())) > 1
	if releasing != k.releasing {
		k.releasing = releasing
		k.releasingSince = now
		k.applyQuota(now)
	}
	return releasing && (k.lent(now) || now.Sub(k.releasingSince) < peer.WindowSpan)
}

// lent reports whether a peer may still use quota of this proxy.
func (k *Kernel) lent(now time.Time) bool {
	lent := false
	k.eachQuota(func(_ peer.Resource, q *peer.Quota) {
		q.Limit(now)
		lent = lent || q.HasLent()
	})
	return lent
}

// used reports whether the last window still counts an admission.
func (k *Kernel) used(now time.Time) bool {
	used := false
	k.eachQuota(func(_ peer.Resource, q *peer.Quota) { used = used || q.Used(now) > 0 })
	return used
}

// bundleOf is the bundle whose capacities a holder is known to go by.
func (k *Kernel) bundleOf(h kv.Holder) uint64 {
	m, ok := k.members.Get(h.Name)
	if !ok || m.Incarnation != h.Incarnation {
		return 0
	}
	return m.Figures
}

// unseated reports whether another live proxy owns no slot.
func (k *Kernel) unseated() bool {
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
