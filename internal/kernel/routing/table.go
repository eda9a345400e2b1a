// Package routing decides which route a request takes and which service a
// split route hands it to. A table is built once for each version of the
// configuration and never changes.
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
	// Table is one version of the configuration in force.
	Table struct {
		Version  uint64
		Routes   map[string]*Route
		Services map[string]*Service
		Limits   Limits
		// Accounts are the client accounts; nil if requests need no key.
		Accounts     *account.Table `json:"-"`
		routesByHost map[string][]*Route
	}

	// Limits bounds what a caller may send, in bytes and time.
	Limits struct {
		HeaderBytes   int64
		BodyBytes     int64
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}

	// Route says how the requests of one host and path prefix are handled.
	Route struct {
		Name   string
		Host   string
		Prefix string
		// Idempotent requests may run more than once.
		Idempotent bool
		// Timeout is the longest that a caller is kept waiting.
		Timeout time.Duration
		// Target is the time within which an answer has its full worth.
		Target time.Duration
		// Attempts is the number of backend servers one request may be sent to.
		Attempts int
		// Priority ranks routes, 0 first.
		Priority int
		// Sticky routes are faster where the same object was handled lately.
		Sticky bool
		// Regions that may serve the route; none means all.
		Regions []string
		// Public routes need no API key.
		Public bool
		// Parts are the services that share the route's requests.
		Parts []WeightedService
	}

	// WeightedService is a service's share of a route.
	WeightedService struct {
		Service string
		Weight  int
	}

	// Service is what the configuration says of one service.
	Service struct {
		Name       string
		HealthPath string
		// Connections is how many one server accepts from all proxies.
		Connections int
		// ColdStart is how long a new server stays cold.
		ColdStart time.Duration
		// ColdPerSecond is the request rate that a cold server bears.
		ColdPerSecond float64
	}

	// Server is one start of a backend server as it registered itself.
	Server struct {
		ID      string
		Service string
		Address netip.AddrPort
		Domain  string
		Slots   int
		// Draining servers take no new requests.
		Draining bool
		// ColdFor is how much longer the server stays cold, as of the entry.
		ColdFor time.Duration
		// Started tells the starts under one id apart; zero if the server does not
		// say. It is of the server's own clock.
		Started time.Time
	}
)

// NewTable indexes routes and services.
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

// WithAccounts adds the client accounts, while the table is being built.
func (t *Table) WithAccounts(accounts *account.Table) *Table {
	t.Accounts = accounts
	return t
}

// Match finds the route with the longest prefix of path among the host's.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HostRegions lists the regions in which any route of the host may be served;
// none means all. An entry proxy elsewhere would take in requests that it may
// not pass on.
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
