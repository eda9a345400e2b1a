package core

import (
	"slices"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
	"github.com/gypsumquay/gypsumquay/internal/kernel/kv"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
)

const (
	// exchangeInterval is how often a proxy compares versions with a random peer. An update reaches
	// all n proxies in about log2(n) rounds even if every urgent message is lost.
	exchangeInterval = 400 * time.Millisecond
	// seedExchangeInterval is how often a proxy exchanges with a seed although it knows other
	// members.
	seedExchangeInterval = 10 * time.Second
	// gossipFanout is the number of peers that are sent an update at once.
	gossipFanout = 3
	// smallFleetSize is the number of members whose complete list fits into any message.
	smallFleetSize = 24
	// viewSettleTime is the time without a membership change after which all views should be equal.
	viewSettleTime = 5 * time.Second
	// updateTTL is how long a changed member record is included in exchanges. In that time it has
	// been offered to more peers than gossip takes rounds to reach all.
	updateTTL = 10 * time.Second
	// maxMembersPerExchange bounds the member records that an exchange carries, unless it carries
	// the full list.
	maxMembersPerExchange = 8
)

// documentVersions returns the versions of the documents and the digest of the membership known to
// this proxy.
func (k *Kernel) documentVersions() peer.Versions {
	v := peer.Versions{Bundle: k.BundleVersion(), Members: k.members.Digest(), MemberCount: k.members.Len()}
	if k.assignment != nil {
		v.Assignment = k.assignment.Version
	}
	if k.vmList != nil {
		v.VMList = k.vmList.Version
	}
	return v
}

// sendExchanges sends the periodic exchange to one random peer, and an exchange to each peer in
// gossipTargets: peers that have newer versions or are to be sent an update.
func (k *Kernel) sendExchanges(now time.Time, actions []Action) []Action {
	due := !now.Before(k.nextExchange)
	if !due && len(k.gossipTargets) == 0 {
		return actions
	}
	peers := k.members.Reachable(now)
	if due {
		k.nextExchange = now.Add(exchangeInterval + time.Duration(k.random.Int64N(int64(exchangeInterval/4))))
	}
	chosen := -1
	if due && len(peers) > 0 {
		chosen = k.random.IntN(len(peers))
	}
	for i, p := range peers {
		if i == chosen || k.gossipTargets[p.Name] {
			actions = append(actions, SendExchange{To: p, Message: k.exchangeRequest(now)})
		}
	}
	clear(k.gossipTargets)
	if due && (len(peers) == 0 || now.Sub(k.lastSeedExchange) >= seedExchangeInterval) {
		actions = k.exchangeWithSeed(now, actions)
	}
	return actions
}

// exchangeWithSeed sends an exchange to a seed address. This is how a new proxy joins. Repeated
// from time to time, it also merges two groups of proxies that have each declared the other dead.
func (k *Kernel) exchangeWithSeed(now time.Time, actions []Action) []Action {
	k.lastSeedExchange = now
	if len(k.config.Seeds) == 0 {
		return actions
	}
	index := k.random.IntN(len(k.config.Seeds))
	if k.config.Seeds[index] == k.config.Self.PeerAddress {
		index = (index + 1) % len(k.config.Seeds)
	}
	if k.config.Seeds[index] == k.config.Self.PeerAddress {
		return actions
	}
	seed := peer.Member{PeerAddress: k.config.Seeds[index]}
	return append(actions, SendExchange{To: seed, Message: k.exchangeRequest(now)})
}

// scheduleGossip selects a few random peers to exchange with at the next tick.
func (k *Kernel) scheduleGossip(now time.Time) {
	peers := k.members.Reachable(now)
	for range min(gossipFanout, len(peers)) {
		k.gossipTargets[peers[k.random.IntN(len(peers))].Name] = true
	}
}

// exchangeMessage builds the content common to exchange requests and replies.
func (k *Kernel) exchangeMessage(now time.Time) peer.Exchange {
	return peer.Exchange{
		From:     k.config.Self.Name,
		Stamp:    k.clock.Now(now),
		Versions: k.documentVersions(),
		Members:  k.members.RecentlyChanged(maxMembersPerExchange, now.Add(-updateTTL)),

		QuarantineReports:   k.quarantine.Reports(now, false),
		BackpressureReports: k.backpressure.Reports(now, false),
	}
}

// exchangeRequest builds an exchange request. It always includes this proxy's own member record: a
// peer that does not know this proxy could not contact it in return, and two groups that find each
// other through a seed would stay separate.
func (k *Kernel) exchangeRequest(now time.Time) peer.Exchange {
	m := k.exchangeMessage(now)
	own := k.members.Self()
	if !slices.ContainsFunc(m.Members, func(n peer.Member) bool { return n.Name == own.Name }) {
		m.Members = append(m.Members, own)
	}
	return m
}

// HandleExchange processes a peer's exchange and returns a reply with the documents for which the
// peer has an older version.
func (k *Kernel) HandleExchange(now time.Time, m peer.Exchange) peer.Exchange {
	k.mergeExchange(now, m)
	if k.isBehind(m.Versions) {
		k.gossipTargets[m.From] = true
	}
	reply := k.exchangeMessage(now)
	if k.needsFullMemberList(now, m.Versions) {
		reply.Members = k.members.All()
	}
	if sender, _ := k.members.Get(m.From); sender.State == peer.StateJoining && k.members.Self().State == peer.StateLive {
		reply.Rows = k.currentRows()
		reply.QuarantineReports, reply.BackpressureReports = k.quarantine.Reports(now, true), k.backpressure.Reports(now, true)
	}
	if reply.Versions.Bundle > m.Versions.Bundle {
		reply.Bundle = k.envelope
	}
	if reply.Versions.Assignment > m.Versions.Assignment {
		reply.Assignment = k.assignment.Encode()
	}
	if reply.Versions.VMList > m.Versions.VMList {
		reply.VMList = k.vmList.Encode()
	}
	return reply
}

// needsFullMemberList reports whether a peer needs the full member list. Changes propagate with the
// newest records of every exchange. The full list is for new proxies, and for views that differ
// although nothing has changed for viewSettleTime. In a large fleet, views differ for seconds after
// each of many changes, and sending the full list at each difference would exceed the bandwidth
// budget.
func (k *Kernel) needsFullMemberList(now time.Time, v peer.Versions) bool {
	if v.Members == k.members.Digest() {
		return false
	}
	own := k.members.Len()
	return own <= smallFleetSize || 2*v.MemberCount < own || now.Sub(k.members.LastChanged()) > viewSettleTime
}

// isBehind reports whether the versions include a newer document than this proxy has.
func (k *Kernel) isBehind(v peer.Versions) bool {
	own := k.documentVersions()
	return v.Bundle > own.Bundle || v.Assignment > own.Assignment || v.VMList > own.VMList
}

// HandleExchangeReply processes the reply to an exchange sent at sentAt. Documents are applied
// before the fence is lifted, so that a proxy resuming after a freeze first learns that it has lost
// its slots.
func (k *Kernel) HandleExchangeReply(now, sentAt time.Time, m peer.Exchange) {
	k.members.RecordSuccess(m.From)
	if len(m.VMList) > 0 {
		if list, err := kv.ParseVMList(m.VMList); err == nil {
			k.ApplyVMList(now, list)
		}
	}
	if len(m.Bundle) > 0 {
		k.ApplyBundle(now, m.Bundle)
	}
	if len(m.Assignment) > 0 {
		if a, err := kv.ParseAssignment(m.Assignment); err == nil {
			k.ApplyAssignment(now, a)
		}
	}
	k.mergeExchange(now, m)
	k.adoptRows(m)
	k.maybeLiftFence(now, sentAt)
}

// HandleExchangeFailure records that a peer did not reply to an exchange.
func (k *Kernel) HandleExchangeFailure(now time.Time, name string) {
	if k.members.RecordFailure(name, now) {
		k.log(now, Event{Kind: EventMember, Target: name, Detail: peer.StateSuspect.String()})
		k.scheduleGossip(now)
	}
}

// mergeExchange merges the clock, backpressure, quarantine and member records of an exchange or its
// reply.
func (k *Kernel) mergeExchange(now time.Time, m peer.Exchange) {
	k.clock.Observe(m.Stamp)
	k.quarantine.Merge(now, m.QuarantineReports)
	k.backpressure.Merge(now, m.BackpressureReports)
	changed := false
	for _, member := range m.Members {
		if k.members.Merge(member, now) {
			changed = true
			k.log(now, Event{Kind: EventMember, Target: member.Name, Detail: member.State.String()})
		}
	}
	if changed {
		k.scheduleGossip(now)
	}
}

// ApplyVMList applies a version of the platform's VM list. Older versions are ignored.
func (k *Kernel) ApplyVMList(now time.Time, list *kv.VMList) {
	if k.vmList != nil && list.Version <= k.vmList.Version {
		return
	}
	k.vmList = list
	k.scheduleGossip(now)
}

// HandleHandover takes over the token records of a stopping proxy.
func (k *Kernel) HandleHandover(now time.Time, from string, stamp peer.Stamp, records []caller.Handover) {
	k.clock.Observe(stamp)
	for _, h := range records {
		k.tokenRecords.Import(h)
		k.log(now, Event{Kind: EventInherited, Target: h.Minter.Name, Detail: from})
	}
}

// ObserveStamp advances the clock with the stamp of a forwarded request or its response.
func (k *Kernel) ObserveStamp(s peer.Stamp) { k.clock.Observe(s) }

// Stamp returns a stamp for an outgoing message.
func (k *Kernel) Stamp(now time.Time) peer.Stamp { return k.clock.Now(now) }
