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
	// lookupLifetime is how long callers should keep an answer: short, so
	// that they learn of proxies that left within a planned stop.
	lookupLifetime = 2 * time.Second
)

func (d *Daemon) readinessHandler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(d.seams.Names.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
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
	d.do(func(k *steering.Kernel, _ time.Time) { version = k.Version() })
	return version > 0
}

func (d *Daemon) directoryHandler() http.Handler {
	n := d.seams.Names
	router := mux.NewRouter()
	router.HandleFunc(n.LookupPath, func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		var list []netip.AddrPort
		d.do(func(k *steering.Kernel, _ time.Time) {
			list = k.Lookup(q.Get(n.LookupHost), q.Get(n.LookupRegion), q.Get(n.LookupDomain))
		})
		if len(list) == 0 || !d.configured() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		data, err := d.seams.Codec.LookupAnswer(list, min(lookupLifetime, d.bounds().LookupLifetime))
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(data)
	}).Methods(http.MethodGet)
	return router
}

// status is what operators see of this proxy.
func (d *Daemon) status() steeringhttp.Status {
	var view steering.Status
	var table *routing.Table
	d.do(func(k *steering.Kernel, now time.Time) { view, table = k.Status(now), k.Table() })
	s := steeringhttp.Status{
		VM: d.settings.Name, ConfigurationVersion: view.Version, ReplicaRevision: d.feed.revision(),
		ReplicaAge: d.feed.age().Round(time.Millisecond).String(), InFlight: view.InFlight, Stopping: d.isStopping(),
		EvacuatedDomains: view.Evacuated, RegionsWithoutProxies: view.Stranded, MechanismsOff: view.Off, ConcurrencyLimits: view.Holding, Proxies: d.feed.proxies(), At: time.Now(),
	}
	for _, b := range view.Servers {
		s.Servers = append(s.Servers, serverOf(b))
	}
	for _, c := range view.Condemned {
		s.QuarantinedWork = append(s.QuarantinedWork, steeringhttp.QuarantinedWork{Fingerprint: c.Work.String(), Crashes: c.Open(), QuarantinedFor: c.For.Round(time.Second).String()})
	}
	s.QuotaProxies, s.QuotaPool = view.Holders, view.Pool
	for _, a := range view.Accounts {
		s.Accounts = append(s.Accounts, accountOf(a))
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

// serverOf is a backend server as operators see it.
func serverOf(b steering.ServerStatus) steeringhttp.BackendServer {
	out := steeringhttp.BackendServer{
		ID: b.ID, Service: b.Service, Domain: b.Domain, State: steeringhttp.ServerState(b), InFlight: b.InFlight,
		Slots: b.Slots, Load: b.Load, Slowdown: b.Speed, FailureShare: b.Failed, ReportsDraining: b.Leaves,
	}
	if b.Limit.Named {
		out.Limit = &b.Limit.PerSecond
	}
	if b.PausedFor > 0 {
		out.PausedFor = b.PausedFor.Round(time.Millisecond).String()
	}
	return out
}

// accountOf is a client account as operators see it.
func accountOf(a steering.AccountStatus) steeringhttp.Account {
	out := steeringhttp.Account{
		Name: a.Name, Regions: a.Regions, Priority: a.Priority, LimitPerSecond: a.Limit.PerSecond, Burst: a.Limit.Burst,
		HeldShare: float64(a.Share) / float64(ratelimit.FullShare), PerSecond: a.PerSecond, Admitted: a.Admitted, Refused: a.Denied,
	}
	for _, key := range a.Keys {
		out.Keys = append(out.Keys, key.Fingerprint())
	}
	return out
}
