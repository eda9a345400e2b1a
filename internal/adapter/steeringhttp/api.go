// Package steeringhttp implements the read-only HTTP API for operators of a proxy that forwards
// requests on the platform. It shows the state of the proxy and the decisions that led to a
// request's outcome.
package steeringhttp

import (
	"net/netip"
	"slices"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// PathStatus returns the status of the proxy. With the query parameter summary, it leaves out
	// proxies, routes and the backend servers that signal nothing: from each proxy of a large fleet,
	// these would be megabytes.
	PathStatus = "/v1/steering"
	// PathEvents lists the decisions of the proxy; the query parameter request selects those about
	// one request.
	PathEvents = "/v1/steering/events"
)

type (
	// Status is the state of a proxy and of the system as the proxy sees it.
	Status struct {
		VM                   string `json:"vm"`
		ConfigurationVersion uint64 `json:"configuration-version"`
		ReplicaRevision      uint64 `json:"copy-revision"`
		ReplicaAge           string `json:"copy-age"`
		// StoreEra counts the returns of the store from an older copy, as the store reports them.
		StoreEra uint64 `json:"store-era,omitempty"`
		InFlight int    `json:"in-flight"`
		Stopping bool   `json:"stopping"`
		// CutOff is set while the proxy is cut off from all backend servers.
		CutOff           bool     `json:"cut-off,omitempty"`
		EvacuatedDomains []string `json:"evacuated-failure-domains,omitempty"`
		// RegionsWithoutProxies lists regions without proxies, whose callers use proxies of other
		// regions.
		RegionsWithoutProxies []string `json:"regions-without-proxies,omitempty"`
		// MechanismsOff lists the mechanisms that are disabled.
		MechanismsOff []steering.Mechanism `json:"mechanisms-off,omitempty"`
		// ConcurrencyLimits lists the services whose concurrency is limited because their servers
		// slow down when all slots are in use.
		ConcurrencyLimits []steering.ServiceLimit `json:"holding-back,omitempty"`
		// QuarantinedWork lists work that is rejected because it crashed servers.
		QuarantinedWork []QuarantinedWork `json:"condemned-work,omitempty"`
		// Accounts lists the client accounts. Their limits are divided among QuotaProxies proxies;
		// QuotaPool is the proxy to which this one gives its share.
		Accounts     []Account       `json:"client-accounts,omitempty"`
		QuotaProxies int             `json:"limits-divided-among,omitempty"`
		QuotaPool    string          `json:"pool-of-limits,omitempty"`
		Proxies      []Proxy         `json:"proxies"`
		Servers      []BackendServer `json:"backend-servers"`
		// ServerCount is the number of all backend servers.
		ServerCount int       `json:"backend-server-count,omitempty"`
		Routes      []Route   `json:"routes"`
		At          time.Time `json:"at"`
	}

	// Proxy is a proxy that the responding proxy knows.
	Proxy struct {
		Name            string         `json:"name"`
		Domain          string         `json:"failure-domain"`
		Region          string         `json:"region"`
		OperatorAddress netip.AddrPort `json:"operators"`
		Leaving         bool           `json:"leaving,omitempty"`
		// CutOff is set while the proxy is cut off from all backend servers.
		CutOff bool `json:"cut-off,omitempty"`
		// LinkMbps is the bandwidth of its link in Mbit/s; zero if unknown.
		LinkMbps int `json:"link-mbps,omitempty"`
		// Overflow is the level at which lookups return further proxies beside the preferred ones.
		Overflow int `json:"overflow,omitempty"`
	}

	// BackendServer is a backend server as the responding proxy sees it.
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
		// WorkFactor is the duration of work, as a multiple of the usual, that the server reports.
		WorkFactor float64 `json:"work-factor,omitempty"`
		// Limit is the number of requests per second that the server accepts from all proxies
		// together, or nil if it advertises no limit.
		Limit *float64 `json:"limit-per-second,omitempty"`
		// PausedFor is how much longer the server accepts no requests from the responding proxy.
		PausedFor string `json:"paused-for,omitempty"`
		// ReportsDraining is set if the server itself has reported that it is draining.
		ReportsDraining bool `json:"leaves,omitempty"`
	}

	// Route is a route of the current configuration.
	Route struct {
		Name       string   `json:"name"`
		Host       string   `json:"host"`
		Prefix     string   `json:"path-prefix"`
		Services   []string `json:"services"`
		Idempotent bool     `json:"idempotent"`
		Timeout    string   `json:"timeout"`
	}

	// QuarantinedWork is work that is rejected because it crashed servers.
	QuarantinedWork struct {
		Fingerprint string `json:"work"`
		// Crashes is the number of servers that it crashed, QuarantinedFor how much longer it is
		// rejected.
		Crashes        int    `json:"ends"`
		QuarantinedFor string `json:"for"`
	}

	// Account is a client account as the responding proxy sees it.
	Account struct {
		Name string `json:"name"`
		// Keys holds fingerprints, which distinguish the keys but don't reveal them.
		Keys     []string `json:"key-fingerprints"`
		Regions  []string `json:"regions,omitempty"`
		Priority *int     `json:"priority,omitempty"`
		// LimitPerSecond and Burst are the rate limit over all proxies; zero means no limit.
		LimitPerSecond float64 `json:"limit-per-second,omitempty"`
		Burst          float64 `json:"burst,omitempty"`
		// HeldShare is the share of the limit that the proxy itself holds, PerSecond the rate of
		// requests at the proxy. Admitted and Refused count these requests since the account was
		// last idle.
		HeldShare float64 `json:"held-share"`
		PerSecond float64 `json:"per-second"`
		Admitted  uint64  `json:"admitted"`
		Rejected  uint64  `json:"refused"`
	}

	// Event is a decision of a proxy.
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
		// Fingerprint identifies the work that the request asks for. Requests with the same
		// fingerprint have the same path, client account and body.
		Fingerprint string `json:"work,omitempty"`
		Domain      string `json:"failure-domain,omitempty"`
		Region      string `json:"region,omitempty"`
		// CallersElsewhere is set for a region without proxies whose callers are counted in other
		// regions.
		CallersElsewhere bool `json:"elsewhere,omitempty"`
		Attempt          int  `json:"attempt,omitempty"`
		// Connection identifies the proxy's connection to the server that the attempt was sent on, and
		// ConnectionUses is how many requests it had carried, including this one.
		Connection     uint64 `json:"connection,omitempty"`
		ConnectionUses int    `json:"connection-uses,omitempty"`
		Result         string `json:"result,omitempty"`
		Outcome        string `json:"outcome,omitempty"`
		// Proof is what proves that an attempt has not run or, for a request that ended as not run, its
		// last attempt.
		Proof      string  `json:"proof,omitempty"`
		Reason     string  `json:"reason,omitempty"`
		Expected   string  `json:"expected,omitempty"`
		Load       float64 `json:"load,omitempty"`
		LoadAge    string  `json:"load-age,omitempty"`
		WorkFactor float64 `json:"work-factor,omitempty"`
		Warm       bool    `json:"warm,omitempty"`
		Draining   bool    `json:"draining,omitempty"`
		Duration   string  `json:"took,omitempty"`
		RetryAfter string  `json:"come-back,omitempty"`
		Pressure   float64 `json:"pressure,omitempty"`
		Error      string  `json:"error,omitempty"`
		// Share is the share that changed: the part of a route's objects that are placed in Region,
		// or of the slots there that are in use.
		Share float64 `json:"share,omitempty"`
		// Measured is set if the demand of the regions is measured from now on.
		Measured bool `json:"measured,omitempty"`
		// CutOff is set if the proxy is cut off from all backend servers from now on.
		CutOff bool `json:"cut-off,omitempty"`
		// From is the proxy that handed the request over.
		From string `json:"from,omitempty"`
		// Limit is the rate limit that a server advertises for all proxies together.
		Limit string `json:"limit,omitempty"`
		// ExpectedWait is the part of Expected that is spent waiting for a slot. For a request that was
		// rejected because of the queues it is the expected wait there, and WaitLimit the wait from
		// which such requests are rejected.
		ExpectedWait string `json:"wait,omitempty"`
		WaitLimit    string `json:"wait-limit,omitempty"`
		// ShedRatio is the share of requests that were to be rejected because of the queues, and
		// AccountShedRatio the share of those of the account.
		ShedRatio        float64 `json:"shed-ratio,omitempty"`
		AccountShedRatio float64 `json:"account-shed-ratio,omitempty"`
		// ServerState is the state of the server when the request was last sent to it.
		ServerState string `json:"server-state,omitempty"`
		// Cause is the main cause of a late request's latency, Target the route's target latency.
		Cause  string `json:"cause,omitempty"`
		Target string `json:"target,omitempty"`
		// IsHedge marks the second of two attempts that were in flight together. Hedge is what the
		// second attempt of a request that ended achieved: won or lost.
		IsHedge bool   `json:"is-hedge,omitempty"`
		Hedge   string `json:"hedge,omitempty"`
		// RetriesCharged counts the retries that the retry budget granted, RetryDenied is set if it
		// granted no more. Retries, RetriesAllowed and SlackShare describe the budget at that time:
		// the retries of the time in which it is the closest to being exhausted, how many are allowed
		// in it, and the share of the slack that this proxy earns.
		RetriesCharged int     `json:"retries-charged,omitempty"`
		RetryDenied    bool    `json:"retry-denied,omitempty"`
		Retries        int     `json:"retries,omitempty"`
		RetriesAllowed float64 `json:"retries-allowed,omitempty"`
		SlackShare     float64 `json:"slack-share,omitempty"`
	}
)

// NewEvent returns the API's form of an event of the kernel.
func NewEvent(vm string, e steering.Event) Event {
	out := Event{
		At: e.At, VM: vm, Kind: string(e.Kind), Request: e.Request, Route: e.Route, Account: e.Account, ConfigurationVersion: e.Version,
		Service: e.Service, Server: e.Server, Object: e.Object, Fingerprint: e.Fingerprint.String(), Domain: e.Domain, Region: e.Region, CallersElsewhere: e.CallersElsewhere, Share: e.Share, Measured: e.Measured, CutOff: e.CutOff, From: e.From, Attempt: e.Attempt, Connection: e.Connection, ConnectionUses: e.ConnectionUses,
		Proof: string(e.Proof), Reason: string(e.Reason), Load: e.Load, WorkFactor: e.WorkFactor, Warm: e.Warm, Draining: e.Draining,
		Expected: formatDuration(e.Expected), Duration: formatDuration(e.Duration), RetryAfter: formatDuration(e.RetryAfter), Pressure: e.Pressure,
		ExpectedWait: formatDuration(e.ExpectedWait), WaitLimit: formatDuration(e.WaitLimit), ShedRatio: e.ShedRatio, AccountShedRatio: e.AccountShedRatio, ServerState: string(e.State), Cause: string(e.Cause), Target: formatDuration(e.Target), Limit: e.Limit.String(), IsHedge: e.IsHedge, Hedge: string(e.Hedge),
		RetriesCharged: e.RetriesCharged, RetryDenied: e.RetryDenied, Retries: e.RetryBudget.Retries, RetriesAllowed: e.RetryBudget.Allowed, SlackShare: e.RetryBudget.SlackShare,
	}
	if e.Result != 0 {
		out.Result = e.Result.String()
	}
	if e.Outcome != 0 {
		out.Outcome = e.Outcome.String()
	}
	if e.Kind == steering.EventRequestSent {
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

// ServerState describes a server's state. If several conditions hold, it returns the most
// significant one, in the order of the cases.
func ServerState(s steering.ServerStatus) string {
	switch {
	case s.Draining:
		return "draining"
	case s.Absent:
		return "absent"
	case s.PausedFor > 0:
		return "pauses for " + s.PausedFor.Round(time.Millisecond).String()
	case s.EjectedFor > 0:
		return "out for " + s.EjectedFor.Round(time.Millisecond).String()
	case s.ColdFor > 0:
		return "cold for " + s.ColdFor.Round(time.Millisecond).String()
	case s.Limit.Set:
		return "takes " + s.Limit.String()
	}
	return "in use"
}

// Summary returns the status without proxies, routes and the backend servers that signal nothing.
func (s Status) Summary() Status {
	s.Proxies, s.Routes = nil, nil
	s.Servers = slices.DeleteFunc(s.Servers, func(b BackendServer) bool { return !b.HasSignals() })
	return s
}

// HasSignals reports whether the server signals a limit, a pause or a drain.
func (b BackendServer) HasSignals() bool {
	return b.Limit != nil || b.PausedFor != "" || b.ReportsDraining
}
