package forward

import (
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/gypsumquay/gypsumquay/internal/adapter/steeringhttp"
	"github.com/gypsumquay/gypsumquay/internal/kernel/ratelimit"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// lookupTTL is how long callers should cache a lookup response. It is short so that callers
	// learn of a leaving proxy before its graceful shutdown ends.
	lookupTTL = 2 * time.Second
)

func (d *Daemon) readinessHandler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(d.deps.Names.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if d.isStopping() || !d.configured() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	}).Methods(http.MethodGet)
	return router
}

func (d *Daemon) configured() bool {
	version := uint64(0)
	d.withKernel(func(k *steering.Kernel, _ time.Time) { version = k.Version() })
	return version > 0
}

func (d *Daemon) directoryHandler() http.Handler {
	n := d.deps.Names
	router := mux.NewRouter()
	router.HandleFunc(n.LookupPath, func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		var list []netip.AddrPort
		d.withKernel(func(k *steering.Kernel, _ time.Time) {
			list = k.Lookup(q.Get(n.LookupHost), q.Get(n.LookupRegion), q.Get(n.LookupDomain))
		})
		if len(list) == 0 || !d.configured() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		data, err := d.deps.Codec.EncodeLookupResponse(list, min(lookupTTL, d.bounds().MaxLookupTTL))
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(data)
	}).Methods(http.MethodGet)
	return router
}

// status describes this proxy for the operators' API.
func (d *Daemon) status() steeringhttp.Status {
	var status steering.Status
	var table *routing.Table
	d.withKernel(func(k *steering.Kernel, now time.Time) { status, table = k.Status(now), k.Table() })
	s := steeringhttp.Status{
		VM: d.settings.Name, ConfigurationVersion: status.Version, ReplicaRevision: d.replica.revision().Revision(), StoreEra: d.replica.revision().Era(),
		ReplicaAge: d.replica.age().Round(time.Millisecond).String(), InFlight: status.InFlight, Stopping: d.isStopping(), CutOff: status.CutOff,
		EvacuatedDomains: status.Evacuated, RegionsWithoutProxies: status.RegionsWithoutProxies, MechanismsOff: status.MechanismsOff, ConcurrencyLimits: status.ConcurrencyLimits, Proxies: d.replica.proxies(), At: time.Now(),
	}
	s.ServerCount = len(status.Servers)
	for _, b := range status.Servers {
		s.Servers = append(s.Servers, serverStatus(b))
	}
	for _, c := range status.QuarantinedWork {
		s.QuarantinedWork = append(s.QuarantinedWork, steeringhttp.QuarantinedWork{Fingerprint: c.Fingerprint.String(), Crashes: c.UnclearedCrashes(), QuarantinedFor: c.QuarantinedFor.Round(time.Second).String()})
	}
	s.QuotaProxies, s.QuotaPool = status.QuotaProxies, status.QuotaPool
	for _, a := range status.Accounts {
		s.Accounts = append(s.Accounts, accountStatus(a))
	}
	if table == nil {
		return s
	}
	for _, r := range table.Routes {
		route := steeringhttp.Route{Name: r.Name, Host: r.Host, Prefix: r.Prefix, Idempotent: r.Idempotent, Timeout: r.Timeout.String()}
		for _, p := range r.Parts {
			route.Services = append(route.Services, p.Service)
		}
		s.Routes = append(s.Routes, route)
	}
	slices.SortFunc(s.Routes, func(a, b steeringhttp.Route) int { return strings.Compare(a.Name, b.Name) })
	return s
}

// serverStatus describes a backend server for the operators' API.
func serverStatus(b steering.ServerStatus) steeringhttp.BackendServer {
	out := steeringhttp.BackendServer{
		ID: b.ID, Service: b.Service, Domain: b.Domain, State: steeringhttp.ServerState(b), InFlight: b.InFlight,
		Slots: b.Slots, Load: b.Load, Slowdown: b.Slowdown, FailureShare: b.FailureShare, WorkFactor: b.WorkFactor, ReportsDraining: b.ReportsDraining,
	}
	if b.Limit.Set {
		out.Limit = &b.Limit.PerSecond
	}
	if b.PausedFor > 0 {
		out.PausedFor = b.PausedFor.Round(time.Millisecond).String()
	}
	return out
}

// accountStatus describes a client account for the operators' API.
func accountStatus(a steering.AccountStatus) steeringhttp.Account {
	out := steeringhttp.Account{
		Name: a.Name, Regions: a.Regions, Priority: a.Priority, LimitPerSecond: a.Limit.PerSecond, Burst: a.Limit.Burst,
		HeldShare: float64(a.Share) / float64(ratelimit.FullShare), PerSecond: a.PerSecond, Admitted: a.Admitted, Rejected: a.Denied,
	}
	for _, key := range a.Keys {
		out.Keys = append(out.Keys, key.Fingerprint())
	}
	return out
}
