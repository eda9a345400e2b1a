package core

import (
	"slices"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
	"github.com/gypsumquay/gypsumquay/internal/kernel/kv"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
)

const (
	// exchangeInterval is how often a proxy compares versions with a random peer.
	// News reaches all in about log2(n) rounds even if every urgent message
	// is lost.
	exchangeInterval = 400 * time.Millisecond
	// seedExchangeInterval is how often a seed is asked although members are known.
	seedExchangeInterval = 10 * time.Second
	// gossipFanout is how many peers are told of news at once.
	gossipFanout = 3
	// smallFleetSize members fit into any message.
	smallFleetSize = 24
	// viewSettleTime without a change should be alike everywhere.
	viewSettleTime = 5 * time.Second
	// updateTTL is how long a changed record goes along with exchanges. In that
	// time it has been offered to more peers than the spread takes rounds.
	updateTTL = 10 * time.Second
	// maxMembersPerExchange is how many member records an exchange carries.
	maxMembersPerExchange = 8
)

// documentVersions sums up what this proxy knows.
func (k *Kernel) documentVersions() peer.Versions {
	v := peer.Versions{Bundle: k.BundleVersion(), Members: k.members.Digest(), Known: k.members.Len()}
	if k.assignment != nil {
		v.Assignment = k.assignment.Version
	}
	if k.machines != nil {
		v.Machines = k.machines.Version
	}
	return v
}

// sendExchanges sends the periodic message to one random peer, and one to each
// peer in urgent, who was found to know more or is to be told news.
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

// exchangeWithSeed sends an exchange to a seed address. It is the only way in for a
// new proxy, and repeated now and then it joins two groups that each took the
// other for dead.
func (k *Kernel) exchangeWithSeed(now time.Time, actions []Action) []Action {
	k.lastSeedExchange = now
	if len(k.config.Seeds) == 0 {
		return actions
	}
	at := k.random.IntN(len(k.config.Seeds))
	if k.config.Seeds[at] == k.config.Self.PeerAddress {
		at = (at + 1) % len(k.config.Seeds)
	}
	if k.config.Seeds[at] == k.config.Self.PeerAddress {
		return actions
	}
	seed := peer.Member{PeerAddress: k.config.Seeds[at]}
	return append(actions, SendExchange{To: seed, Message: k.exchangeRequest(now)})
}

// scheduleGossip marks a few random peers to be told at the next tick.
func (k *Kernel) scheduleGossip(now time.Time) {
	peers := k.members.Reachable(now)
	for range min(gossipFanout, len(peers)) {
		k.gossipTargets[peers[k.random.IntN(len(peers))].Name] = true
	}
}

func (k *Kernel) exchangeMessage(now time.Time) peer.Exchange {
	return peer.Exchange{
		From:     k.config.Self.Name,
		Stamp:    k.clock.Now(now),
		Versions: k.documentVersions(),
		Members:  k.members.Newest(maxMembersPerExchange, now.Add(-updateTTL)),

		Suspicions: k.quarantine.Reports(now, false),
		Signals:    k.backpressure.Reports(now, false),
	}
}

// exchangeRequest is a message that a peer is asked with. It always carries the own
// record: a peer that does not know this proxy could not ask it back, and two
// groups that found each other through a seed would stay apart.
func (k *Kernel) exchangeRequest(now time.Time) peer.Exchange {
	m := k.exchangeMessage(now)
	own := k.members.Self()
	if !slices.ContainsFunc(m.Members, func(n peer.Member) bool { return n.Name == own.Name }) {
		m.Members = append(m.Members, own)
	}
	return m
}

// HandleExchange answers a peer's message with whatever it lacks.
func (k *Kernel) HandleExchange(now time.Time, m peer.Exchange) peer.Exchange {
	k.mergeExchange(now, m)
	if k.isBehind(m.Versions) {
		k.gossipTargets[m.From] = true
	}
	reply := k.exchangeMessage(now)
	if k.needsFullMemberList(now, m.Versions) {
		reply.Members = k.members.All()
	}
	if asker, _ := k.members.Get(m.From); asker.State == peer.Joining && k.members.Self().State == peer.Live {
		reply.Rows = k.currentRows()
		reply.Suspicions, reply.Signals = k.quarantine.Reports(now, true), k.backpressure.Reports(now, true)
	}
	if reply.Versions.Bundle > m.Versions.Bundle {
		reply.Bundle = k.envelope
	}
	if reply.Versions.Assignment > m.Versions.Assignment {
		reply.Assignment = k.assignment.Encode()
	}
	if reply.Versions.Machines > m.Versions.Machines {
		reply.Machines = k.machines.Encode()
	}
	return reply
}

// needsFullMemberList reports whether a peer needs the whole list of members. News
// travels with the newest records of every exchange; the whole list is for a
// newcomer, and for views that differ although nothing has changed for a
// while. Sent at each difference, it would cost a large fleet more than its
// budget, because views differ for seconds after each of many changes.
func (k *Kernel) needsFullMemberList(now time.Time, v peer.Versions) bool {
	if v.Members == k.members.Digest() {
		return false
	}
	own := k.members.Len()
	return own <= smallFleetSize || 2*v.Known < own || now.Sub(k.members.Changed()) > viewSettleTime
}

func (k *Kernel) isBehind(v peer.Versions) bool {
	own := k.documentVersions()
	return v.Bundle > own.Bundle || v.Assignment > own.Assignment || v.Machines > own.Machines
}

// HandleExchangeReply takes in the answer to an exchange asked for at the given time. Documents come before the
// fence is lifted, so a thawed proxy learns first that its slot is gone.
func (k *Kernel) HandleExchangeReply(now, asked time.Time, m peer.Exchange) {
	k.members.Answered(m.From)
	if len(m.Machines) > 0 {
		if list, err := kv.ParseMachines(m.Machines); err == nil {
			k.ApplyMachines(now, list)
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
	k.maybeLiftFence(now, asked)
}

// HandleExchangeFailure notes that a peer did not answer.
func (k *Kernel) HandleExchangeFailure(now time.Time, name string) {
	if k.members.Failed(name, now) {
		k.log(now, Event{Kind: EventMember, Target: name, Detail: peer.Suspect.String()})
		k.scheduleGossip(now)
	}
}

func (k *Kernel) mergeExchange(now time.Time, m peer.Exchange) {
	k.clock.Hear(m.Stamp)
	k.quarantine.Hear(now, m.Suspicions)
	k.backpressure.Hear(now, m.Signals)
	news := false
	for _, member := range m.Members {
		if k.members.Hear(member, now) {
			news = true
			k.log(now, Event{Kind: EventMember, Target: member.Name, Detail: member.State.String()})
		}
	}
	if news {
		k.scheduleGossip(now)
	}
}

// ApplyMachines takes in a version of the platform's list of VMs.
func (k *Kernel) ApplyMachines(now time.Time, list *kv.Machines) {
	if k.machines != nil && list.Version <= k.machines.Version {
		return
	}
	k.machines = list
	k.scheduleGossip(now)
}

// HandleHandover takes over a stopping minter's records.
func (k *Kernel) HandleHandover(now time.Time, from string, stamp peer.Stamp, records []caller.Handover) {
	k.clock.Hear(stamp)
	for _, h := range records {
		k.tokenRecords.Inherit(h)
		k.log(now, Event{Kind: EventInherited, Target: h.Minter.Name, Detail: from})
	}
}

// ObserveStamp notes the stamp of a forwarded request.
func (k *Kernel) ObserveStamp(s peer.Stamp) { k.clock.Hear(s) }

// Stamp issues a stamp for an outgoing message.
func (k *Kernel) Stamp(now time.Time) peer.Stamp { return k.clock.Now(now) }
