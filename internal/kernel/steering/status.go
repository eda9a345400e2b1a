package steering

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/account"
	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/ratelimit"
)

type (
	// Status is a snapshot of the state of one proxy.
	Status struct {
		Version  uint64
		InFlight int
		// CutOff is set while this proxy is cut off from all servers.
		CutOff  bool
		Proxies []Proxy
		// Evacuated are the failure domains that take no requests.
		Evacuated []string
		// RegionsWithoutProxies are the regions without proxies, whose callers are counted in other
		// regions.
		RegionsWithoutProxies []string
		Servers               []ServerStatus
		// MechanismsOff are the disabled mechanisms. ConcurrencyLimits are the services that are
		// subject to concurrency limits, with the limits learned for them.
		MechanismsOff     []Mechanism
		ConcurrencyLimits []ServiceLimit
		// QuarantinedWork are the request fingerprints that are rejected because they crashed
		// servers.
		QuarantinedWork []QuarantinedWork
		// Accounts are the client accounts. Their limits are divided among QuotaProxies proxies,
		// and QuotaPool is the pool that this proxy reports to.
		Accounts     []AccountStatus
		QuotaProxies int
		QuotaPool    string
	}

	// Counts summarizes the state of one proxy without listing servers.
	Counts struct {
		Version                            uint64
		InFlight, Proxies, Servers         int
		LimitedServers, PausedServers      int
		DrainingServers                    int
		RegionsWithoutProxies, Quarantined int
		// CutOff is 1 while this proxy is cut off from all servers.
		CutOff int
	}

	// AccountStatus is a client account and its usage at this proxy.
	AccountStatus struct {
		*account.Account
		ratelimit.AccountUsage
	}

	// ServerStatus is the state of one backend server as seen by one proxy.
	ServerStatus struct {
		ID       string
		Service  string
		Domain   string
		Slots    int
		InFlight int
		Draining bool
		// Absent is set while the registration of the server is missing.
		Absent bool
		// ColdFor and EjectedFor are zero for a warm server in use.
		ColdFor    time.Duration
		EjectedFor time.Duration
		// Load is the estimated number of running and waiting requests at the server. LoadAge is
		// the age of its last load report.
		Load    float64
		LoadAge time.Duration
		// Limit is the rate limit that the server announced for all proxies together, if any.
		Limit backpressure.Limit
		// PausedFor is the remainder of the pause that the server requested of this proxy.
		PausedFor time.Duration
		// ReportsDraining is set if the server announced that it drains.
		ReportsDraining bool
		// Slowdown is the ratio of observed to expected response times. FailureShare is the share
		// of failed attempts.
		Slowdown     float64
		FailureShare float64
		// WorkFactor is the duration of work, as a multiple of the usual, that the server reports.
		WorkFactor float64
	}
)

// Counts returns a summary of the kernel.
func (k *Kernel) Counts(now time.Time) Counts {
	c := Counts{
		Version: k.Version(), Proxies: len(k.proxies), Servers: len(k.servers),
		RegionsWithoutProxies: len(k.regionsWithoutProxies()), Quarantined: len(k.QuarantinedWork(now)),
	}
	if k.CutOff() {
		c.CutOff = 1
	}
	for _, s := range k.servers {
		c.InFlight += s.inFlight
		if s.backpressure.Limit(now).Set {
			c.LimitedServers++
		}
		if s.backpressure.Paused(now) {
			c.PausedServers++
		}
		if s.backpressure.Draining() {
			c.DrainingServers++
		}
	}
	return c
}

// Status returns a snapshot of the kernel.
func (k *Kernel) Status(now time.Time) Status {
	s := Status{Version: k.Version(), CutOff: k.CutOff(), Proxies: slices.Clone(k.proxies), Evacuated: k.EvacuatedDomains(), RegionsWithoutProxies: k.regionsWithoutProxies(), MechanismsOff: k.config.Off, ConcurrencyLimits: k.ConcurrencyLimits(now), QuarantinedWork: k.QuarantinedWork(now)}
	s.Accounts, s.QuotaProxies, s.QuotaPool = k.accounts(now), max(k.quotas.fleetSize, k.quotas.knownProxies), k.quotas.limiter.Pool()
	for _, server := range k.servers {
		s.InFlight += server.inFlight
		s.Servers = append(s.Servers, ServerStatus{
			ID: server.id, Service: server.Service, Domain: server.Domain, Slots: server.Slots, InFlight: server.inFlight,
			Draining: server.Draining || server.backpressure.Draining(), Absent: !server.absentUntil.IsZero(),
			ColdFor: max(0, server.coldUntil.Sub(now)), EjectedFor: max(0, server.ejectedUntil.Sub(now)),
			Load: server.load(now), LoadAge: server.loadAge(now), Limit: server.backpressure.Limit(now), PausedFor: server.backpressure.PauseRemaining(now), ReportsDraining: server.backpressure.Draining(), Slowdown: server.slowdown, FailureShare: server.failureShare,
			WorkFactor: server.reported.Factor(now),
		})
	}
	slices.SortFunc(s.Servers, func(a, b ServerStatus) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.ID, b.ID))
	})
	return s
}

// accounts lists the client accounts with their usage at this proxy, by name.
func (k *Kernel) accounts(now time.Time) []AccountStatus {
	if k.table == nil {
		return nil
	}
	usages := make(map[string]ratelimit.AccountUsage)
	for _, usage := range k.quotas.limiter.AccountUsages(now) {
		usages[usage.Account] = usage
	}
	var list []AccountStatus
	for _, a := range k.table.Accounts.All() {
		list = append(list, AccountStatus{Account: a, AccountUsage: usages[a.Name]})
	}
	return list
}
