// Package routing selects the route of a request and, for a route that is split between services,
// the service. A routing table is built once per configuration version and is immutable.
package routing

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/account"
)

type (
	// Table is the routing table built from one version of the configuration.
	Table struct {
		Version  uint64
		Routes   map[string]*Route
		Services map[string]*Service
		Limits   Limits
		// Accounts holds the client accounts. It is nil if requests need no API key.
		Accounts     *account.Table `json:"-"`
		routesByHost map[string][]*Route
	}

	// Limits bounds what a caller may send: sizes in bytes, and timeouts.
	Limits struct {
		HeaderBytes   int64
		BodyBytes     int64
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}

	// Route configures how requests with a host and path prefix are handled.
	Route struct {
		Name   string
		Host   string
		Prefix string
		// Idempotent marks requests that are safe to run more than once.
		Idempotent bool
		// Timeout is the maximum time that a caller waits for a response.
		Timeout time.Duration
		// Target is the latency target: a response within this time has its full value.
		Target time.Duration
		// Attempts is the maximum number of backend servers that one request is sent to.
		Attempts int
		// Priority is the priority of the route's requests; 0 is the highest.
		Priority int
		// Sticky marks routes with object affinity: a server handles a request faster if it has
		// recently handled the same object.
		Sticky bool
		// Regions lists the regions that may serve the route. If it is empty, all may.
		Regions []string
		// Public marks routes that need no API key.
		Public bool
		// Parts lists the services that the route's requests are split between.
		Parts []WeightedService
	}

	// WeightedService is a service of a route and its weight in the traffic split.
	WeightedService struct {
		Service string
		Weight  int
	}

	// Service is the configuration of one service.
	Service struct {
		Name       string
		HealthPath string
		// Connections is the number of connections that one server accepts from all proxies
		// together.
		Connections int
		// ColdStart is how long a server is cold after its start.
		ColdStart time.Duration
		// ColdPerSecond is the request rate that a cold server sustains.
		ColdPerSecond float64
	}

	// Server is one incarnation of a backend server as it registered itself.
	Server struct {
		ID      string
		Service string
		Address netip.AddrPort
		Domain  string
		Slots   int
		// Draining marks servers that accept no new requests.
		Draining bool
		// ColdFor is how much longer the server was cold when the entry was written.
		ColdFor time.Duration
		// Started distinguishes incarnations with the same ID. It is read from the server's own
		// clock, and is zero if the server does not report it.
		Started time.Time
		// Sequence counts the writes of the entry in this incarnation. It orders the states that a
		// server has registered even if the store returns an older one.
		Sequence uint64
	}
)

// NewTable builds a table and indexes its routes and services.
func NewTable(version uint64, routes []*Route, services []*Service, limits Limits) *Table {
	t := &Table{
		Version: version, Limits: limits,
		Routes:       make(map[string]*Route, len(routes)),
		Services:     make(map[string]*Service, len(services)),
		routesByHost: make(map[string][]*Route),
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for _, r := range routes {
		t.Routes[r.Name] = r
		t.routesByHost[r.Host] = append(t.routesByHost[r.Host], r)
	}
	for _, list := range t.routesByHost {
		slices.SortFunc(list, func(a, b *Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Name, b.Name))
		})
	}
	return t
}

// WithAccounts sets the client accounts and returns t. It must only be called while the table is
// being built.
func (t *Table) WithAccounts(accounts *account.Table) *Table {
	t.Accounts = accounts
	return t
}

// LowestPriorities returns the priority of the least urgent requests of each service. The priority
// of an account overrides that of a route.
func (t *Table) LowestPriorities() map[string]int {
	lowest := make(map[string]int)
	accounts := t.Accounts.All()
	for _, r := range t.Routes {
		priority := r.Priority
		for i, a := range accounts {
			if r.Public || a.Priority == nil {
				priority = max(priority, r.Priority)
			} else if priority = max(priority, *a.Priority); i == 0 {
				priority = *a.Priority
			}
		}
		for _, part := range r.Parts {
			lowest[part.Service] = max(lowest[part.Service], priority)
		}
	}
	return lowest
}

// Match returns the host's route with the longest prefix of path, or nil if none matches.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HostRegions returns the regions in which at least one route of the host may be served, or nil if
// all regions may serve it. An entry proxy in any other region would accept requests that it must
// not forward.
func (t *Table) HostRegions(host string) []string {
	var regions []string
	for _, r := range t.routesByHost[host] {
		if len(r.Regions) == 0 {
			return nil
		}
		regions = append(regions, r.Regions...)
	}
	return regions
}
