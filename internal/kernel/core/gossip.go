package core

import (
	"slices"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
	"github.com/gypsumquay/gypsumquay/internal/kernel/kv"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
)

const (
	// exchangeEvery is how often a proxy compares versions with a random peer.
	// News reaches all in about log2(n) rounds even if every urgent message
	// is lost.
	exchangeEvery = 400 * time.Millisecond
	// seedEvery is how often a seed is asked although members are known.
	seedEvery = 10 * time.Second
	// newsFanout is how many peers are told of news at once.
	newsFanout = 3
	// smallFleet members fit into any message.
	smallFleet = 24
	// settledViews without a change should be alike everywhere.
	settledViews = 5 * time.Second
	// newsLife is how long a changed record goes along with exchanges. In that
	// time it has been offered to more peers than the spread takes rounds.
	newsLife = 10 * time.Second
	// newestMembers is how many member records an exchange carries.
	newestMembers = 8
)

// versions sums up what this proxy knows.
func (k *Kernel) versions() peer.Versions {
	v := peer.Versions{Bundle: k.BundleVersion(), Members: k.members.Digest(), Known: k.members.Len()}
	if k.assignment != nil {
		v.Assignment = k.assignment.Version
	}
	if k.machines != nil {
		v.Machines = k.machines.Version
	}
	return v
}

// exchange sends the periodic message to one random peer, and one to each
// peer in urgent, who was found to know more or is to be told news.
func (k *Kernel) exchange(now time.Time, actions []Action) []Action {
	due := !now.Before(k.nextExchange)
	if !due && len(k.urgent) == 0 {
		return actions
	}
	peers := k.members.Reachable(now)
	if due {
		k.nextExchange = now.Add(exchangeEvery + time.Duration(k.random.Int64N(int64(exchangeEvery/4))))
	}
	chosen := -1
	if due && len(peers) > 0 {
		chosen = k.random.IntN(len(peers))
	}
	for i, p := range peers {
		if i == chosen || k.urgent[p.Name] {
			actions = append(actions, SendExchange{To: p, Message: k.question(now)})
		}
	}
	clear(k.urgent)
	if due && (len(peers) == 0 || now.Sub(k.lastSeed) >= seedEvery) {
		actions = k.askSeed(now, actions)
	}
	return actions
}

// askSeed sends an exchange to a seed address. It is the only way in for a
// new proxy, and repeated now and then it joins two groups that each took the
// other for dead.
func (k *Kernel) askSeed(now time.Time, actions []Action) []Action {
	k.lastSeed = now
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
	return append(actions, SendExchange{To: seed, Message: k.question(now)})
}

// spreadNews marks a few random peers to be told at the next tick.
func (k *Kernel) spreadNews(now time.Time) {
	peers := k.members.Reachable(now)
	for range min(newsFanout, len(peers)) {
		k.urgent[peers[k.random.IntN(len(peers))].Name] = true
	}
}

func (k *Kernel) message(now time.Time) peer.Exchange {
	return peer.Exchange{
		From:     k.config.Self.Name,
		Stamp:    k.clock.Now(now),
		Versions: k.versions(),
		Members:  k.members.Newest(newestMembers, now.Add(-newsLife)),

		Suspicions: k.quarantine.Reports(now, false),
		Signals:    k.signals.Reports(now, false),
	}
}

// question is a message that a peer is asked with. It always carries the own
// record: a peer that does not know this proxy could not ask it back, and two
// groups that found each other through a seed would stay apart.
func (k *Kernel) question(now time.Time) peer.Exchange {
	m := k.message(now)
	own := k.members.Self()
	if !slices.ContainsFunc(m.Members, func(n peer.Member) bool { return n.Name == own.Name }) {
		m.Members = append(m.Members, own)
	}
	return m
}

// HearExchange answers a peer's message with whatever it lacks.
func (k *Kernel) HearExchange(now time.Time, m peer.Exchange) peer.Exchange {
	k.learn(now, m)
	if k.behind(m.Versions) {
		k.urgent[m.From] = true
	}
	reply := k.message(now)
	if k.tellAllMembers(now, m.Versions) {
		reply.Members = k.members.All()
	}
	if asker, _ := k.members.Get(m.From); asker.State == peer.Joining && k.members.Self().State == peer.Live {
		reply.Rows = k.rows()
		reply.Suspicions, reply.Signals = k.quarantine.Reports(now, true), k.signals.Reports(now, true)
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

// tellAllMembers reports whether a peer needs the whole list of members. News
// travels with the newest records of every exchange; the whole list is for a
// newcomer, and for views that differ although nothing has changed for a
// while. Sent at each difference, it would cost a large fleet more than its
// budget, because views differ for seconds after each of many changes.
func (k *Kernel) tellAllMembers(now time.Time, v peer.Versions) bool {
	if v.Members == k.members.Digest() {
		return false
	}
	own := k.members.Len()
	return own <= smallFleet || 2*v.Known < own || now.Sub(k.members.Changed()) > settledViews
}

func (k *Kernel) behind(v peer.Versions) bool {
	own := k.versions()
	return v.Bundle > own.Bundle || v.Assignment > own.Assignment || v.Machines > own.Machines
}

// HearReply takes in the answer to an exchange asked for at the given time. Documents come before the
// fence is lifted, so a thawed proxy learns first that its slot is gone.
func (k *Kernel) HearReply(now, asked time.Time, m peer.Exchange) {
	k.members.Answered(m.From)
	if len(m.Machines) > 0 {
		if list, err := kv.ParseMachines(m.Machines); err == nil {
			k.HearMachines(now, list)
		}
	}
	if len(m.Bundle) > 0 {
		k.HearBundle(now, m.Bundle)
	}
	if len(m.Assignment) > 0 {
		if a, err := kv.ParseAssignment(m.Assignment); err == nil {
			k.HearAssignment(now, a)
		}
	}
	k.learn(now, m)
	k.adoptRows(m)
	k.heardAnyone(now, asked)
}

// ExchangeLost notes that a peer did not answer.
func (k *Kernel) ExchangeLost(now time.Time, name string) {
	if k.members.Failed(name, now) {
		k.log(now, Event{Kind: EventMember, Target: name, Detail: peer.Suspect.String()})
		k.spreadNews(now)
	}
}

func (k *Kernel) learn(now time.Time, m peer.Exchange) {
	k.clock.Hear(m.Stamp)
	k.quarantine.Merge(now, m.Suspicions)
	k.signals.Merge(now, m.Signals)
	news := false
	for _, member := range m.Members {
		if k.members.Hear(member, now) {
			news = true
			k.log(now, Event{Kind: EventMember, Target: member.Name, Detail: member.State.String()})
		}
	}
	if news {
		k.spreadNews(now)
	}
}

// HearMachines takes in a version of the platform's list of VMs.
func (k *Kernel) HearMachines(now time.Time, list *kv.Machines) {
	if k.machines != nil && list.Version <= k.machines.Version {
		return
	}
	k.machines = list
	k.spreadNews(now)
}

// HearHandover takes over a stopping minter's records.
func (k *Kernel) HearHandover(now time.Time, from string, stamp peer.Stamp, records []caller.Handover) {
	k.clock.Hear(stamp)
	for _, h := range records {
		k.records.Inherit(h)
		k.log(now, Event{Kind: EventInherited, Target: h.Minter.Name, Detail: from})
	}
}

// ForwardHeard notes the stamp of a forwarded request.
func (k *Kernel) ForwardHeard(s peer.Stamp) { k.clock.Hear(s) }

// Stamp issues a stamp for an outgoing message.
func (k *Kernel) Stamp(now time.Time) peer.Stamp { return k.clock.Now(now) }
