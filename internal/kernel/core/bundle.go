package core

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backend"
	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
	"github.com/gypsumquay/gypsumquay/internal/kernel/kv"
	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
	"github.com/gypsumquay/gypsumquay/internal/kernel/region"
)

// ApplyBundle applies a bundle from any source: the platform, a peer or an operator. Older versions
// are ignored, so that a stale read, a slow peer or a platform restored from a backup cannot bring
// back an old bundle. Each proxy verifies both signatures itself, so that no source has to be
// trusted.
func (k *Kernel) ApplyBundle(now time.Time, data []byte) {
	e, err := operator.ParseEnvelope(data)
	if err != nil {
		k.logBundleRejection(now, 0, err)
		return
	}
	b, err := k.config.Trust.Verify(e)
	if err != nil {
		k.logBundleRejection(now, 0, err)
		return
	}
	if b.Version <= k.BundleVersion() && !k.config.Faults.BundleRollback {
		return
	}
	planner, ok := region.FindPlanner(b.Shift.Planner)
	if !ok {
		// The client that signs bundles validates names against its own registry, and a newer
		// client may know planners that this proxy does not. Falling back to the default planner
		// keeps the bundle in force on all proxies.
		planner, _ = region.FindPlanner(region.DefaultPlanner)
		k.logBundleRejection(now, b.Version, &operator.FieldError{Field: "shift.planner", Want: "a known planner", Got: b.Shift.Planner})
	}
	k.planner = planner
	k.envelope = data
	k.installBundle(now, b)
	k.log(now, Event{Kind: EventBundleApplied, Version: b.Version, Detail: string(e.Digest)[:12]})
	k.scheduleGossip(now)
}

// logBundleRejection logs that a bundle, or a part of it, was rejected.
func (k *Kernel) logBundleRejection(now time.Time, version uint64, err error) {
	k.log(now, Event{Kind: EventBundleRejected, Version: version, Detail: err.Error()})
}

// installBundle builds the state for a bundle. The state of regions and servers that remain is
// kept.
func (k *Kernel) installBundle(now time.Time, b *operator.Bundle) {
	oldRegions := k.regions
	oldServers := k.serversByName()
	previous := k.bundle
	k.bundle = b
	k.quotaSlots = b.QuotaSlots()
	k.capsChangedAt = now
	k.installRegions(b, oldRegions)
	k.services = make(map[string]*service)
	for i := range b.Services {
		k.installService(b, &b.Services[i], oldServers)
	}
	k.installLinks(b)
	k.listResources()
	k.reconfigureQuotas(now, b, previous)
	k.prefixes = clientPrefixTable(b)
	k.applyQuota(now)
	k.applyDraining(now)
}

func (k *Kernel) serversByName() map[string]*backend.Server {
	servers := make(map[string]*backend.Server)
	for _, r := range k.regions {
		for _, s := range r.servers {
			servers[s.Name] = s
		}
	}
	return servers
}

func (k *Kernel) installRegions(b *operator.Bundle, old []*regionState) {
	rows := preferredRows(b)
	sameRegions := len(old) == len(b.Regions)
	for i := range old {
		sameRegions = sameRegions && old[i].Name == b.Regions[i].Name
	}
	k.regions = make([]*regionState, len(b.Regions))
	for i := range b.Regions {
		state := &regionState{}
		if sameRegions {
			state = old[i]
			state.servers = nil
		} else {
			// A proxy that has just started, or whose regions have changed, has no previous row to
			// shift from. It starts with the row that its peers shift towards.
			state.shifter = region.NewShifter(rows[i])
		}
		state.Region = b.Regions[i]
		k.regions[i] = state
	}
}

func (k *Kernel) installService(b *operator.Bundle, s *operator.Service, old map[string]*backend.Server) {
	state := &service{Service: *s, byRegion: make([][]*backend.Server, len(k.regions))}
	random := rand.New(rand.NewPCG(k.random.Uint64(), k.random.Uint64()))
	picker, ok := backend.NewPicker(b.Balancer, random)
	if !ok {
		picker, _ = backend.NewPicker(backend.SpareSlots, random)
	}
	state.picker = picker
	for i := range s.Servers {
		server := backend.NewServer(s.Servers[i], s.SlowStart.Std())
		if existing := old[server.Name]; existing != nil && existing.Address == server.Address {
			existing.Reconfigure(s.Servers[i], s.SlowStart.Std())
			server = existing
		}
		regionIndex := k.regionIndex(server.Region)
		state.servers = append(state.servers, server)
		state.byRegion[regionIndex] = append(state.byRegion[regionIndex], server)
		k.regions[regionIndex].servers = append(k.regions[regionIndex].servers, server)
	}
	k.services[s.Name] = state
}

func (k *Kernel) installLinks(b *operator.Bundle) {
	old := k.links
	k.links = make(map[linkKey]*peer.Quota)
	for _, l := range b.Links {
		key := linkKey{k.regionIndex(l.From), k.regionIndex(l.To)}
		if q := old[key]; q != nil {
			k.links[key] = q
			continue
		}
		k.links[key] = &peer.Quota{}
	}
}

// listResources lists the quotas once per bundle, since every tick iterates over them.
func (k *Kernel) listResources() {
	k.resources = nil
	for _, r := range k.regions {
		k.resources = append(k.resources, resource{name: peer.Resource("region/" + r.Name), quota: &r.quota})
	}
	keys := slices.SortedFunc(maps.Keys(k.links), func(a, b linkKey) int {
		return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to))
	})
	for _, key := range keys {
		name := "link/" + k.regions[key.from].Name + "/" + k.regions[key.to].Name
		k.resources = append(k.resources, resource{name: peer.Resource(name), quota: k.links[key]})
	}
}

// reconfigureQuotas sets the bundle's longest deadline on all quotas, and drops borrowed quota if
// the capacities have changed.
func (k *Kernel) reconfigureQuotas(now time.Time, b, previous *operator.Bundle) {
	longest := time.Duration(0)
	for i := range b.Services {
		longest = max(longest, b.Services[i].Deadline.Std())
	}
	sameCapacities := previous != nil && kv.CapacitiesOf(previous).Equal(kv.CapacitiesOf(b))
	k.eachQuota(func(_ peer.Resource, q *peer.Quota) {
		q.SetMaxDeadline(longest)
		if !sameCapacities {
			q.DropBorrowed()
		}
	})
	if !sameCapacities {
		k.members.UpdateSelf(now, func(m *peer.Member) { m.CapacityBundle = b.Version })
	}
}

// clientPrefixTable returns the table that maps the client prefixes of the bundle to region
// indexes.
func clientPrefixTable(b *operator.Bundle) *caller.PrefixTable {
	var list []caller.PrefixSite
	for i, r := range b.Regions {
		for _, p := range r.ClientPrefixes {
			list = append(list, caller.PrefixSite{Prefix: p, Site: caller.Site(i)})
		}
	}
	return caller.NewPrefixTable(list)
}
