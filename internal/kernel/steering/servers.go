package steering

import (
	"time"
	"unique"

	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

// RegisterServer records the registration of a server. A server that has restarted under the same
// ID is treated as a new one and the state of the earlier start is discarded. Otherwise its objects
// would be sent there as if it were warm, the earlier slowness and draining would count against it,
// and its cold start would be ignored. Registrations of an earlier start than the known one are
// late and ignored.
func (k *Kernel) RegisterServer(now time.Time, r routing.Server) {
	k.record(Call{Method: callServer, At: now, Server: &r})
	r.Service, r.Domain = unique.Make(r.Service).Value(), unique.Make(r.Domain).Value()
	s := k.servers[r.ID]
	if s != nil && s.isNewerThan(r) {
		return
	}
	if s != nil && !s.Started.IsZero() && r.Started.After(s.Started) {
		k.config.Observe(Event{Kind: EventServerRestarted, Server: r.ID, Service: r.Service, Address: s.Address})
		k.quarantine.RecordServerRestart(now, s.startID)
		k.forgetServer(s)
		s = nil
	}
	if s == nil {
		start := quarantine.NewInstanceID(r.ID, r.Started)
		s = &server{id: r.ID, startID: start, backpressure: k.backpressure.State(start), serverUse: unused}
		k.servers[r.ID] = s
	}
	delete(k.absentServers, r.ID)
	changed := s.Service != r.Service || s.Slots != r.Slots || s.Draining != r.Draining || s.Domain != r.Domain || s.unreadable
	if changed {
		k.service(s.Service).removeServer(s)
		k.service(r.Service).addServer(s)
	}
	s.Server = r
	s.unreadable = false
	s.absentUntil = time.Time{}
	s.region = k.config.RegionOf[r.Domain]
	s.regionBit = k.regionBit(s.region)
	if changed {
		s.class = classOf(s.region, s.Slots)
	}
	s.rtt = k.rttTo(r.Domain)
	if r.ColdFor > 0 {
		s.coldUntil = laterOf(s.coldUntil, now.Add(r.ColdFor))
	}
	if changed {
		k.config.Observe(Event{Kind: EventServerChanged, Server: r.ID, Service: r.Service, Draining: r.Draining})
	}
}

// MarkServerUnreadable records that the registration of a server cannot be parsed. The server gets
// no requests until it registers again. Its state is kept, because the entry may have been written
// by another program while the server is unchanged.
func (k *Kernel) MarkServerUnreadable(id string) {
	k.record(Call{Method: callUnreadable, ID: id})
	s := k.servers[id]
	if s == nil || s.unreadable {
		return
	}
	s.unreadable = true
	k.service(s.Service).stale = true
	k.config.Observe(Event{Kind: EventServerChanged, Server: id, Service: s.Service, Draining: true})
}

// RemoveServer removes a server that has left.
func (k *Kernel) RemoveServer(now time.Time, id string) {
	k.record(Call{Method: callRemove, At: now, ID: id})
	k.remove(now, id)
}

func (k *Kernel) remove(now time.Time, id string) {
	s := k.servers[id]
	if s == nil {
		return
	}
	k.quarantine.RecordServerGone(now, s.startID)
	k.forgetServer(s)
	k.config.Observe(Event{Kind: EventServerGone, Server: id, Service: s.Service})
}

// forgetServer removes a server and its state. Requests in flight there still end normally.
func (k *Kernel) forgetServer(s *server) {
	s.removed = true
	delete(k.servers, s.id)
	delete(k.absentServers, s.id)
	k.service(s.Service).removeServer(s)
}

// MarkServerAbsent records that the registration of a server is missing. The server is removed if
// it does not register again before the given time.
func (k *Kernel) MarkServerAbsent(id string, deadline time.Time) {
	k.record(Call{Method: callAbsent, ID: id, Until: deadline})
	if s := k.servers[id]; s != nil && s.absentUntil.IsZero() {
		s.absentUntil = deadline
		k.absentServers[id] = s
	}
}

// Tick removes servers whose registration did not return, expires other state, and updates which
// regions have no proxies.
func (k *Kernel) Tick(now time.Time) {
	k.record(Call{Method: callTick, At: now})
	k.expireSharers(now)
	k.updateRegionStates(now)
	k.expireLimiters(now)
	k.expireHandoverBackoffs(now)
	k.quotas.tick(now)
	k.earnRetrySlack(now)
	k.movePinnedShares(now)
	k.movePlacement(now)
	for id, s := range k.absentServers {
		if now.After(s.absentUntil) {
			k.remove(now, id)
		}
	}
	k.quarantine.Tick(now)
	k.backpressure.Tick(now)
}

// ServerIDs lists the IDs of all registered servers.
func (k *Kernel) ServerIDs() []string {
	ids := make([]string, 0, len(k.servers))
	for id := range k.servers {
		ids = append(ids, id)
	}
	return ids
}

// UnmeasuredServers returns one server of each failure domain to which no round-trip time has been
// measured yet.
func (k *Kernel) UnmeasuredServers() []routing.Server {
	var list []routing.Server
	for domain, d := range k.roundTrips {
		if d.measured {
			continue
		}
		for _, s := range k.servers {
			if s.Domain == domain && s.isEligible() && k.isRouted(s.Service) {
				list = append(list, s.Server)
				break
			}
		}
	}
	return list
}

// isRouted reports whether a route of the active configuration leads to a service.
func (k *Kernel) isRouted(service string) bool {
	_, named := k.lowestPriority[service]
	return named
}

// RecordRoundTrip records a measured round-trip time to a failure domain.
func (k *Kernel) RecordRoundTrip(domain string, roundTrip time.Duration) {
	k.record(Call{Method: callRoundTrip, Domain: domain, RoundTrip: roundTrip})
	k.rttTo(domain).observe(roundTrip)
}

// SetDomainEvacuated sets whether a failure domain is evacuated. Servers of an evacuated domain get
// no requests. Servers that return from an evacuation were idle for a while and are treated as
// cold, whatever their last registration says.
func (k *Kernel) SetDomainEvacuated(now time.Time, domain string, evacuated bool) {
	if k.evacuatedDomains[domain] == evacuated {
		return
	}
	k.record(Call{Method: callEvacuated, At: now, Domain: domain, Flag: evacuated})
	if evacuated {
		k.evacuatedDomains[domain] = true
	} else {
		delete(k.evacuatedDomains, domain)
		for _, s := range k.servers {
			if s.Domain == domain {
				s.coldUntil = laterOf(s.coldUntil, now.Add(k.coldStart(s.Service)))
			}
		}
	}
	for _, svc := range k.services {
		svc.stale = true
	}
	k.config.Observe(Event{Kind: EventDomainEvacuated, Domain: domain, Draining: evacuated})
}

// EvacuatedDomains lists the evacuated failure domains.
func (k *Kernel) EvacuatedDomains() []string {
	list := make([]string, 0, len(k.evacuatedDomains))
	for domain := range k.evacuatedDomains {
		list = append(list, domain)
	}
	return list
}

func (k *Kernel) coldStart(service string) time.Duration {
	if k.table == nil || k.table.Services[service] == nil {
		return 0
	}
	return k.table.Services[service].ColdStart
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
