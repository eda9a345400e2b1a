package steering

import (
	"slices"
	"strings"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/account"
	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/ratelimit"
)

type (
	// Status is what one proxy knows and believes at one moment.
	Status struct {
		Version  uint64
		InFlight int
		Proxies  []Proxy
		// Evacuated failure domains take no requests.
		Evacuated []string
		// RegionsWithoutProxies regions have no proxies, and their callers count with others.
		RegionsWithoutProxies []string
		Servers               []ServerStatus
		// MechanismsOff are the mechanisms that are not used; Holding are the services that are
		// held back, with what was learned of them.
		MechanismsOff     []Mechanism
		ConcurrencyLimits []ServiceLimit
		// QuarantinedWork is work that is refused because servers ended with it.
		QuarantinedWork []QuarantinedWork
		// Accounts are the client accounts; limits are divided among Holders proxies, and
		// Pool is the one that this proxy reports to.
		Accounts     []AccountStatus
		QuotaProxies int
		QuotaPool    string
	}

	// AccountStatus is a client account and what this proxy knows of its use.
	AccountStatus struct {
		*account.Account
		ratelimit.Held
	}

	// ServerStatus is one backend server as one proxy sees it.
	ServerStatus struct {
		ID       string
		Service  string
		Domain   string
		Slots    int
		InFlight int
		Draining bool
		// Absent servers' registrations are missing for the moment.
		Absent bool
		// ColdFor and EjectedFor are zero for a warm server in use.
		ColdFor    time.Duration
		EjectedFor time.Duration
		// Load is what it was last said to run and queue, LoadAge ago.
		Load    float64
		LoadAge time.Duration
		// Limit is what it takes from all proxies together, if it names a limit.
		Limit backpressure.Limit
		// PausedFor is for how long it wants nothing from this proxy.
		PausedFor time.Duration
		// ReportsDraining is set if it leaves by its own word.
		ReportsDraining bool
		// Slowdown is observed over expected time, Failed the share of failures.
		Slowdown     float64
		FailureShare float64
	}
)

// Status describes the kernel at one moment.
func (k *Kernel) Status(now time.Time) Status {
	s := Status{Version: k.Version(), Proxies: slices.Clone(k.proxies), Evacuated: k.EvacuatedDomains(), RegionsWithoutProxies: k.regionsWithoutProxies(), MechanismsOff: k.config.Off, ConcurrencyLimits: k.ConcurrencyLimits(now), QuarantinedWork: k.QuarantinedWork(now)}
	s.Accounts, s.QuotaProxies, s.QuotaPool = k.accounts(now), max(k.quotas.fleetSize, k.quotas.knownProxies), k.quotas.limiter.Pool()
	for _, b := range k.servers {
		s.InFlight += b.inFlight
		s.Servers = append(s.Servers, ServerStatus{
			ID: b.id, Service: b.Service, Domain: b.Domain, Slots: b.Slots, InFlight: b.inFlight,
			Draining: b.Draining || b.backpressure.Leaving(), Absent: !b.absentUntil.IsZero(),
			ColdFor: max(0, b.coldUntil.Sub(now)), EjectedFor: max(0, b.ejectedUntil.Sub(now)),
			Load: b.load(now), LoadAge: b.loadAge(now), Limit: b.backpressure.Limit(now), PausedFor: b.backpressure.PausedFor(now), ReportsDraining: b.backpressure.Leaving(), Slowdown: b.slowdown, FailureShare: b.failureShare,
		})
	}
	slices.SortFunc(s.Servers, func(a, b ServerStatus) int { return strings.Compare(a.Service+a.ID, b.Service+b.ID) })
	return s
}

// accounts lists the client accounts with their use here, by name.
func (k *Kernel) accounts(now time.Time) []AccountStatus {
	if k.table == nil {
		return nil
	}
	held := make(map[string]ratelimit.Held)
	for _, h := range k.quotas.limiter.Held(now) {
		held[h.Account] = h
	}
	var list []AccountStatus
	for _, a := range k.table.Accounts.All() {
		list = append(list, AccountStatus{Account: a, Held: held[a.Name]})
	}
	return list
}
