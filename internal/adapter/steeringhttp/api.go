// Package steeringhttp is the operators' view of a proxy that forwards
// requests on the platform: what it believes, and why a request ended as it
// did. It changes nothing.
package steeringhttp

import (
	"net/netip"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// PathStatus describes one proxy.
	PathStatus = "/v1/steering"
	// PathEvents lists one proxy's decisions; ?request= picks one request's.
	PathEvents = "/v1/steering/events"
)

type (
	// Status is one proxy's view.
	Status struct {
		VM                   string   `json:"vm"`
		ConfigurationVersion uint64   `json:"configuration-version"`
		ReplicaRevision      uint64   `json:"copy-revision"`
		ReplicaAge           string   `json:"copy-age"`
		InFlight             int      `json:"in-flight"`
		Stopping             bool     `json:"stopping"`
		EvacuatedDomains     []string `json:"evacuated-failure-domains,omitempty"`
		// RegionsWithoutProxies regions have no proxies; their callers ask those of others.
		RegionsWithoutProxies []string `json:"regions-without-proxies,omitempty"`
		// MechanismsOff lists the mechanisms that are not used.
		MechanismsOff []steering.Mechanism `json:"mechanisms-off,omitempty"`
		// ConcurrencyLimits lists services whose servers slow down when full.
		ConcurrencyLimits []steering.Held `json:"holding-back,omitempty"`
		// QuarantinedWork is work that is refused because servers ended with it.
		QuarantinedWork []QuarantinedWork `json:"condemned-work,omitempty"`
		// Accounts are the client accounts; limits are divided among Holders proxies, and
		// Pool is the proxy that this one gives its part to.
		Accounts     []Account       `json:"client-accounts,omitempty"`
		QuotaProxies int             `json:"limits-divided-among,omitempty"`
		QuotaPool    string          `json:"pool-of-limits,omitempty"`
		Proxies      []Proxy         `json:"proxies"`
		Servers      []BackendServer `json:"backend-servers"`
		Routes       []Route         `json:"routes"`
		At           time.Time       `json:"at"`
	}

	// Proxy is a proxy that the asked one knows.
	Proxy struct {
		Name            string         `json:"name"`
		Domain          string         `json:"failure-domain"`
		Region          string         `json:"region"`
		OperatorAddress netip.AddrPort `json:"operators"`
		Leaving         bool           `json:"leaving,omitempty"`
	}

	// BackendServer is one backend server as the asked proxy sees it.
	BackendServer struct {
		ID           string  `json:"id"`
		Service      string  `json:"service"`
		Domain       string  `json:"failure-domain"`
		State        string  `json:"state"`
		InFlight     int     `json:"in-flight"`
		Slots        int     `json:"slots"`
		Load         float64 `json:"load"`
		Slowdown     float64 `json:"speed"`
		FailureShare float64 `json:"failed-share"`
		// Limit is how many requests a second it takes from all proxies together, nil if it
		// names no limit.
		Limit *float64 `json:"limit-per-second,omitempty"`
		// PausedFor is for how long it wants nothing from the asked proxy.
		PausedFor string `json:"paused-for,omitempty"`
		// ReportsDraining is set if it leaves by its own word.
		ReportsDraining bool `json:"leaves,omitempty"`
	}

	// Route is one route in force.
	Route struct {
		Name       string   `json:"name"`
		Host       string   `json:"host"`
		Prefix     string   `json:"path-prefix"`
		Services   []string `json:"services"`
		Idempotent bool     `json:"idempotent"`
		Timeout    string   `json:"timeout"`
	}

	// QuarantinedWork is refused because servers ended with it.
	QuarantinedWork struct {
		Fingerprint string `json:"work"`
		// Crashes counts the servers, For is how much longer it is refused.
		Crashes        int    `json:"ends"`
		QuarantinedFor string `json:"for"`
	}

	// Account is a client account as the asked proxy sees it.
	Account struct {
		Name string `json:"name"`
		// Keys are fingerprints, which tell keys apart and nothing of them.
		Keys     []string `json:"key-fingerprints"`
		Regions  []string `json:"regions,omitempty"`
		Priority *int     `json:"priority,omitempty"`
		// LimitPerSecond and Burst are the limit over all proxies, zero for none.
		LimitPerSecond float64 `json:"limit-per-second,omitempty"`
		Burst          float64 `json:"burst,omitempty"`
		// HeldShare is the part of the limit that the proxy holds by itself, PerSecond the
		// rate of requests there; Admitted and Refused count them since the account was
		// last idle.
		HeldShare float64 `json:"held-share"`
		PerSecond float64 `json:"per-second"`
		Admitted  uint64  `json:"admitted"`
		Refused   uint64  `json:"refused"`
	}

	// Event is one decision of one proxy.
	Event struct {
		At      time.Time `json:"at"`
		VM      string    `json:"vm"`
		Kind    string    `json:"kind"`
		Request string    `json:"request,omitempty"`
		Route   string    `json:"route,omitempty"`
		// Account is the client account.
		Account              string `json:"account,omitempty"`
		ConfigurationVersion uint64 `json:"configuration,omitempty"`
		Service              string `json:"service,omitempty"`
		Server               string `json:"server,omitempty"`
		Object               string `json:"object,omitempty"`
		// Fingerprint names what the request asks a server to do; requests with the same one
		// have the same path, client account and body.
		Fingerprint string `json:"work,omitempty"`
		Domain      string `json:"failure-domain,omitempty"`
		Region      string `json:"region,omitempty"`
		// CallersElsewhere tells of a region without proxies that its callers count
		// with other regions.
		CallersElsewhere bool    `json:"elsewhere,omitempty"`
		Attempt          int     `json:"attempt,omitempty"`
		Result           string  `json:"result,omitempty"`
		Outcome          string  `json:"outcome,omitempty"`
		Reason           string  `json:"reason,omitempty"`
		Expected         string  `json:"expected,omitempty"`
		Load             float64 `json:"load,omitempty"`
		LoadAge          string  `json:"load-age,omitempty"`
		Warm             bool    `json:"warm,omitempty"`
		Draining         bool    `json:"draining,omitempty"`
		Duration         string  `json:"took,omitempty"`
		RetryAfter       string  `json:"come-back,omitempty"`
		Pressure         float64 `json:"pressure,omitempty"`
		Error            string  `json:"error,omitempty"`
		// Limit is what a server takes from all proxies together.
		Limit string `json:"limit,omitempty"`
		// ExpectedWait is the part of Expected until a slot is free.
		ExpectedWait string `json:"wait,omitempty"`
		// ServerState is how the server stood when the request was sent there last.
		ServerState string `json:"server-state,omitempty"`
		// Cause says where the time of a late request went, Target is the route's.
		Cause  string `json:"cause,omitempty"`
		Target string `json:"target,omitempty"`
	}
)

// NewEvent is a kernel's event as operators see it.
func NewEvent(vm string, e steering.Event) Event {
	out := Event{
		At: e.At, VM: vm, Kind: string(e.Kind), Request: e.Request, Route: e.Route, Account: e.Account, ConfigurationVersion: e.Version,
		Service: e.Service, Server: e.Server, Object: e.Object, Fingerprint: e.Work.String(), Domain: e.Domain, Region: e.Region, CallersElsewhere: e.Elsewhere, Attempt: e.Attempt,
		Reason: string(e.Reason), Load: e.Load, Warm: e.Warm, Draining: e.Draining,
		Expected: formatDuration(e.Expected), Duration: formatDuration(e.Took), RetryAfter: formatDuration(e.ComeBack), Pressure: e.Pressure,
		ExpectedWait: formatDuration(e.Wait), ServerState: string(e.State), Cause: string(e.Cause), Target: formatDuration(e.Target), Limit: e.Limit.String(),
	}
	if e.Result != 0 {
		out.Result = e.Result.String()
	}
	if e.Outcome != 0 {
		out.Outcome = e.Outcome.String()
	}
	if e.Kind == steering.EventSent {
		out.LoadAge = formatDuration(e.LoadAge)
	}
	if e.Err != nil {
		out.Error = e.Err.Error()
	}
	return out
}

func formatDuration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.Round(10 * time.Microsecond).String()
}

// ServerState names a server's state, the most telling first.
func ServerState(s steering.ServerStatus) string {
	switch {
	case s.Draining:
		return "draining"
	case s.Absent:
		return "absent"
	case s.PausedFor > 0:
		return "pauses for " + s.PausedFor.Round(time.Millisecond).String()
	case s.OutFor > 0:
		return "out for " + s.OutFor.Round(time.Millisecond).String()
	case s.ColdFor > 0:
		return "cold for " + s.ColdFor.Round(time.Millisecond).String()
	case s.Limit.Named:
		return "takes " + s.Limit.String()
	}
	return "in use"
}
